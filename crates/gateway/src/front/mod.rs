//! Listeners: clients, readiness checks, metrics and other daemons.

mod checks;
mod clients;
mod status;

pub(crate) use clients::ClientListener;
pub(crate) use status::{StatusListener, store_log_target};
