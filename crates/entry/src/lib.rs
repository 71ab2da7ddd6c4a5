//! The entry daemon: HTTP front, dispatch, streaming, peer RPC and duties.
