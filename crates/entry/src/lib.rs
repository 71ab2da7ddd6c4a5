//! The entry daemon: HTTP front end, dispatch, streaming, peer RPC and duties.
//!
//! [`Daemon`] assembles the services. Decisions are made by the pure crates; this one connects them
//! with sockets, threads and the clock.

mod admin;
mod backends;
mod context;
mod daemon;
mod dispatch;
mod duties;
mod explain;
mod front;
mod keys;
mod log_client;
mod observe;
mod peer;
mod setup;
mod tasks;

pub use daemon::{Daemon, Shutdown, StartError};
