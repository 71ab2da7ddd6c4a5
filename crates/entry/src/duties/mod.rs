//! Duties of the daemon: one thread each, reached through bounded rings.

pub(crate) mod admission;
pub(crate) mod block_export;
pub(crate) mod claims;
pub(crate) mod control;
mod deliver;
pub(crate) mod routing;
