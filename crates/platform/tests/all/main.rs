//! Failure tests of the clients against the stand-ins.

mod control;
mod engine;
mod engine_events;
mod instances;
mod log;
mod scripted;
mod service;
mod store;

use anvilgw_platform::{CallOptions, ConnectionSettings};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Limit for steps that succeed. Tests must not fail because the machine is busy.
const PATIENCE_MS: u64 = 60_000;
/// Limit for steps in which a connection is silent.
const SILENCE: Duration = Duration::from_millis(500);

/// A free port on the loopback interface.
fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Settings under which only a broken connection fails.
fn settings() -> ConnectionSettings {
    ConnectionSettings {
        connect_ms: PATIENCE_MS,
        silence_ms: PATIENCE_MS,
        ..ConnectionSettings::default()
    }
}

/// Options of a call whose connection goes silent.
fn silent() -> CallOptions {
    CallOptions {
        silence_timeout: Some(SILENCE),
        ..CallOptions::default()
    }
}

/// A socket that holds a port of the loopback interface and refuses connections.
fn refusing() -> (tokio::net::TcpSocket, SocketAddr) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind(loopback()).unwrap();
    let addr = socket.local_addr().unwrap();
    (socket, addr)
}
