//! Calls between daemons.

mod messages;
mod transport;

pub(crate) use messages::{PeerAnswer, PeerRequest, decode, encode};
pub(crate) use transport::{CallError, PeerClient, PeerHandler, serve};
