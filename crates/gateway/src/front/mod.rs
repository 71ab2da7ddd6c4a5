//! Listeners: clients, readiness checks, metrics and other daemons.

mod checks;
mod clients;
mod status;

pub(crate) use clients::ClientListener;
pub(crate) use status::{StatusListener, TopicRead, store_log_target, topic_log_target};
