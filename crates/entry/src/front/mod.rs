//! HTTP front end towards callers.

mod body;
mod handlers;
mod respond;
mod server;
mod sse;

pub(crate) use body::read as read_body;
pub(crate) use handlers::router;
pub(crate) use respond::{failure, json};
pub(crate) use server::{ServerLimits, serve};
