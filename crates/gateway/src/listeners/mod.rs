//! Listeners: clients, readiness checks, metrics and other daemons.

mod clients;
mod internal;
mod peer_reads;
mod request_checks;
mod status;

pub(crate) use clients::ClientListener;
pub(crate) use internal::{Answer, InternalListener};
pub(crate) use peer_reads::{TopicRead, answer_peer, store_log_target, topic_log_target};
pub(crate) use status::answer_status;
