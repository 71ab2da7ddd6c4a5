//! The entry daemon: HTTP front end, request dispatch, streamed answers, calls between daemons, and
//! background services.
//!
//! [`Daemon`] assembles the services. The decisions are made by crates without I/O (router,
//! admission, claims, fleet, config); this crate connects them with sockets, threads and the clock.

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
