//! Listeners: clients, readiness checks, metrics and other daemons.

mod checks;
mod clients;
mod copies;
mod internal;
mod status;

pub(crate) use clients::ClientListener;
pub(crate) use copies::{TopicRead, answer_daemon, store_log_target, topic_log_target};
pub(crate) use internal::{Answer, InternalListener};
pub(crate) use status::answer_status;
