//! Runs authenticated requests: admission, selection of a backend server, attempts and answer.

mod claimed;
pub(crate) mod completion;
pub(crate) mod completion_request;
mod engine_errors;
pub(crate) mod service;
