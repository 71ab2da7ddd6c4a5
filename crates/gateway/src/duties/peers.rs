//! Exchanges load reports with the other daemons.

use crate::caches::name_hash;
use crate::gateway::Gateway;
use crate::log::Event;
use crate::peers::{DATAGRAM_MAX_BYTES, EngineLoad, LoadReport, report_period};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Receives reports until the daemon ends.
pub(crate) async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => match LoadReport::decode(&buffer[..length]) {
                Ok(report) => {
                    let now = gateway.now();
                    gateway.state.borrow_mut().peer_loads.on_report(report, now);
                }
                Err(_) => gateway.metrics.count("peer_datagrams_unreadable"),
            },
            // An earlier datagram reached a peer that is not there.
            Err(_) => gateway.metrics.count("peer_datagrams_failed"),
        }
    }
}

/// Sends reports until the daemon ends.
pub(crate) async fn send(gateway: Rc<Gateway>, socket: Rc<UdpSocket>, own: SocketAddr) {
    let sender_hash = name_hash(&gateway.settings.instance);
    let mut previous: Option<LoadReport> = None;
    loop {
        let peers: Vec<SocketAddr> = {
            let state = gateway.state.borrow();
            let peers = state.peers.iter().copied();
            peers.filter(|peer| *peer != own).collect()
        };
        let report = {
            let now = gateway.now();
            let state = &mut *gateway.state.borrow_mut();
            state.peer_loads.expire(peers.len(), now);
            LoadReport {
                sender_hash,
                sequence: gateway.ports.clock.wall_ms(),
                loads: own_loads(state.servers.iter().map(|(_, server)| server)),
            }
        };
        if report.is_due_after(previous.as_ref()) {
            send_to_all(&gateway, &socket, report.clone(), &peers);
        }
        previous = Some(report);
        sleep(report_period(peers.len())).await;
    }
}

fn own_loads<'a>(servers: impl Iterator<Item = &'a crate::server::Server>) -> Vec<EngineLoad> {
    servers
        .filter(|server| server.tokens_in_flight > 0)
        .map(|server| EngineLoad {
            server_hash: server.id_hash(),
            tokens: u32::try_from(server.tokens_in_flight).unwrap_or(u32::MAX),
        })
        .collect()
}

fn send_to_all(gateway: &Gateway, socket: &UdpSocket, report: LoadReport, peers: &[SocketAddr]) {
    let datagram = match report.encode() {
        Ok(datagram) => datagram,
        Err(error) => {
            gateway.log_notable(&Event::DependencyLost {
                dependency: "load reports",
                reason: &error.to_string(),
            });
            return;
        }
    };
    for peer in peers {
        // A full socket buffer loses the hint, as the network may.
        if socket.try_send_to(&datagram, *peer).is_err() {
            gateway.metrics.count("peer_datagrams_failed");
        }
    }
}
