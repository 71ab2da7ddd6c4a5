//! Services that own their state on a worker thread each and receive messages over a bounded
//! channel. The duties that members of the fleet lease are declared in `control::agreement`.

pub(crate) mod admission;
pub(crate) mod block_export;
pub(crate) mod claims;
pub(crate) mod control;
pub(crate) mod quarantine;
pub(crate) mod routing;
mod send;
