//! The gateway's view of backend servers, and the selection among them.

mod cache_sources;
mod entries;
mod fixture;
mod notices;
mod pending_orders;
mod placement;
mod zones;
