//! Work that goes on beside requests, one task each.

pub(crate) mod caches;
pub(crate) mod fleet;
pub(crate) mod operators;
pub(crate) mod peers;
pub(crate) mod servers;
mod snapshot;
pub(crate) mod stores;
pub(crate) mod upkeep;
pub(crate) mod weights;
