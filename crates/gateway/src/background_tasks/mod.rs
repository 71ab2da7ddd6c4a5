//! Tasks that run in the background, independently of requests.

pub(crate) mod cache_events;
pub(crate) mod cache_store_log;
pub(crate) mod client_limits;
pub(crate) mod evidence;
pub(crate) mod fleet_orders;
pub(crate) mod load_reports;
pub(crate) mod maintenance;
pub(crate) mod membership;
pub(crate) mod notice_reports;
pub(crate) mod operators;
pub(crate) mod peer_messages;
mod retired_parts;
pub(crate) mod rollouts;
pub(crate) mod servers;
mod skipped_entries;
mod snapshot;
mod store_statements;
pub(crate) mod weight_switches;
