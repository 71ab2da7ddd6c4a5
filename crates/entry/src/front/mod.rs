//! HTTP server for callers: accept loop, routes, request bodies and answers.

mod body;
mod handlers;
mod respond;
mod server;
mod sse;

pub(crate) use body::read_body;
pub(crate) use handlers::router;
pub(crate) use respond::{failure_response, json_response};
pub(crate) use server::{ServerLimits, serve};
