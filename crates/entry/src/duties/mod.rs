//! The duties of the daemon: services that own their state on a thread of their own and receive
//! messages over a bounded ring.

pub(crate) mod admission;
pub(crate) mod block_export;
pub(crate) mod claims;
pub(crate) mod control;
pub(crate) mod routing;
mod send;
