//! Runs authenticated requests: admission, selection of a backend server, attempts and answer.

mod claimed;
pub(crate) mod completion;
pub(crate) mod completion_request;
mod engine_errors;
pub(crate) mod service;

use std::time::Duration;

/// Longest time in which two servers may work on a request: a silent one and the one that is to
/// replace it.
const OVERLAP_MAX: Duration = Duration::from_millis(400);
/// Pause between two attempts to replace a silent server.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(250);
