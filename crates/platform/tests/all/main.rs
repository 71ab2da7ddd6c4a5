//! Tests of the clients against stand-ins for the servers, with their faults.

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

/// Time-out in milliseconds of steps that should succeed. It is long, since tests must not fail on
/// a busy machine.
const STEP_TIMEOUT_MS: u64 = 60_000;
/// Time-out of steps in which a connection is silent. Each such step takes this long.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns a loopback address with port 0, for which the system chooses a free port.
fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Returns settings whose time-outs are not reached, so that only broken connections fail.
fn settings() -> ConnectionSettings {
    ConnectionSettings {
        connect_ms: STEP_TIMEOUT_MS,
        silence_ms: STEP_TIMEOUT_MS,
        ..ConnectionSettings::default()
    }
}

/// Returns options for a call whose connection goes silent.
fn short_silence() -> CallOptions {
    CallOptions {
        silence_timeout: Some(SILENCE_TIMEOUT),
        ..CallOptions::default()
    }
}

/// Binds a loopback port without listening, so that connections to it are refused while the socket
/// exists.
fn refusing_socket() -> (tokio::net::TcpSocket, SocketAddr) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind(loopback()).unwrap();
    let addr = socket.local_addr().unwrap();
    (socket, addr)
}
