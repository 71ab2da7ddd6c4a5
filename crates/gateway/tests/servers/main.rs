//! What the gateway believes of backend servers, and which it selects.

mod cache_sources;
mod entries;
mod fixture;
mod notices;
mod placement;
