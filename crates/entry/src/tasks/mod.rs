//! Tasks on the daemon's async runtime that pass configuration and polled state to its services.

pub(crate) mod apply_config;
pub(crate) mod polls;
