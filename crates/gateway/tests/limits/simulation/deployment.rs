//! Addresses of the simulated daemons, and the servers that they know.

use super::SERVICE;
use anvilgw_gateway::groups::Member;
use anvilgw_gateway::server::{ServerEntry, ServerState, Servers};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

pub(super) fn address(index: usize) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    (Ipv4Addr::new(10, 0, high, low), 7401).into()
}

pub(super) fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("an address of a daemon: {address}");
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

pub(super) fn member(index: usize) -> Member {
    Member {
        address: address(index),
        failure_domain: ["a", "b", "c"][index % 3].to_owned(),
    }
}

/// Returns servers of one service that started at the same time.
pub(crate) fn servers(count: u16, started_at_ms: u64) -> Servers {
    let mut servers = Servers::default();
    for index in 0..count {
        let entry = ServerEntry {
            id: format!("s{index}"),
            service: SERVICE.to_owned(),
            address: ([10, 1, 0, 1], 9000 + index).into(),
            failure_domain: "a".to_owned(),
            state: ServerState::Ready,
            cold_for: Duration::ZERO,
            slots: 8,
            models: Vec::new(),
            version: None,
            started_at_ms: Some(started_at_ms),
            heartbeat: 1,
        };
        servers.on_entry_published(entry, Duration::ZERO);
    }
    servers
}
