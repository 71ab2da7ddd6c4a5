//! Calls between daemons.

mod handler;
mod messages;
mod transport;

pub(crate) use handler::PeerRequestHandler;
pub(crate) use messages::{PeerAnswer, PeerRequest, decode, encode};
pub(crate) use transport::{CallError, PeerClient, serve};
