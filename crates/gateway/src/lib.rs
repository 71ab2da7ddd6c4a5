//! The gateway daemon for platforms whose metadata store is a linearizable log.
//!
//! One process per instance forwards requests to backend servers and keeps no persistent state.
//! Modules without I/O make the decisions (`configuration`, `server`, `select`, `budget`,
//! `share_budget`, `permits`, `freshness`, `lease`, `rollout`, `weights`); the others perform the I/O. Only
//! implementations of [`ports`] know the platform's protocols.

mod ack_timeout;
mod answer;
mod background_tasks;
mod cache_store;
mod daemon;
mod dependency;
mod dispatch;
mod framing;
mod gateway;
mod listeners;
mod loaded_weights;
mod log_metrics;
mod metrics;
mod pending_ends;
mod permit_client;
mod read_limit;
mod read_origin;
mod removed_servers;
mod retry;
mod rollout_metrics;
mod server_ends;
mod server_notices;
mod service_rollouts;
mod topic_reader;
mod upload_guard;

pub mod admission;
mod body_buffer;
pub mod body_memory;
pub mod budget;
pub mod cache_store_log;
pub mod caches;
pub mod configuration;
pub mod connection;
pub mod connection_limit;
pub mod direct_reads;
pub mod fencing_token;
pub mod fleet_view;
pub mod freshness;
pub mod groups;
pub mod http_client;
pub mod lease;
pub mod log;
pub mod notice_reports;
pub mod overload;
pub mod page;
pub mod peer_liveness;
pub mod peer_message;
pub mod peers;
pub mod permits;
pub mod pool;
pub mod ports;
pub mod prefill_rate;
pub mod region_constraints;
pub mod request;
pub mod request_limit;
pub mod rollout;
pub mod select;
pub mod server;
pub mod server_speed;
pub mod settings;
pub mod share_budget;
pub mod sse;
pub mod start_estimate;
pub mod store_availability;
pub mod store_outage;
pub mod tcp_info;
pub mod topic_log;
pub mod weights;
pub mod workspace_shares;
pub mod zone_choice;

pub use anvilgw_core::log_position;
pub use daemon::{Daemon, DaemonError, Reload, run};
pub use gateway::Ports;
