//! Calls between daemons: messages, transport, and the handler of received calls.

mod handler;
mod messages;
mod transport;

pub(crate) use handler::PeerRequestHandler;
pub(crate) use messages::{PeerAnswer, PeerRequest, decode, encode};
pub(crate) use transport::{CallError, PeerClient, serve};
