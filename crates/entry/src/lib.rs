//! The entry daemon: HTTP front end, dispatch, streaming, peer RPC and duties.

mod duties;
mod front;
pub mod observe;
mod peer;
