//! Listeners for clients, readiness checks, metrics and reads of other daemons.

mod client_socket;
mod clients;
mod idle_timer;
mod internal;
mod peer_reads;
mod refused_body;
mod request_checks;
mod status;

pub(crate) use clients::ClientListener;
pub(crate) use internal::{AnswerFn, InternalListener};
pub(crate) use peer_reads::{
    FLEET_ORDERS_PATH, STORE_SERVED_PATH, TopicRead, answer_peer, cache_store_log_target,
    topic_log_target,
};
pub(crate) use status::answer_status;
