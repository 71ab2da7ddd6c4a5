//! Failure tests of the clients against the stand-ins.

mod engine;
mod log;
mod service;

use std::net::{Ipv4Addr, SocketAddr};

/// A free port on the loopback interface.
fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
