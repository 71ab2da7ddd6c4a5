//! Runs authenticated requests: admission, selection of a backend server, attempts and answer.

mod claimed;
pub(crate) mod completion;
pub(crate) mod completion_request;
mod engine_errors;
pub(crate) mod service;

use std::time::Duration;

/// Time within which a server has to accept a request that a silent one may still work on. Two
/// servers may work on one request for 400 ms at most; the rest is for the network.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between two attempts to replace a silent server.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(250);
