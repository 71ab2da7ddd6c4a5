//! What the gateway believes of backend servers, and which it selects.

mod entries;
mod holders;
mod notices;
mod placement;
mod world;
