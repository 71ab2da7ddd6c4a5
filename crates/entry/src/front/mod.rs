//! HTTP front end towards callers.

mod auth;
mod body;
mod respond;
mod server;

pub(crate) use server::{ServerLimits, serve};
