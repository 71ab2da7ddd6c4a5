//! Receives the messages of the other daemons.

use super::rollouts::{on_directive, on_report};
use crate::gateway::Gateway;
use crate::log::Event;
use crate::notice_reports::{NoticeReport, apply_report, reports_of_all};
use crate::peer_message::PeerMessage;
use crate::peers::{DATAGRAM_MAX_BYTES, LoadReport};
use crate::permit_client::answer_permit_request;
use crate::server_notices::log_reported_change;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Receives messages until the daemon ends.
pub(crate) async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, sender)) => match PeerMessage::decode(&buffer[..length]) {
                Ok(message) => on_message(&gateway, &socket, message, sender),
                Err(_) => gateway.metrics.count("peer_datagrams_unreadable"),
            },
            // The error concerns an earlier datagram, which was sent to a peer that does not exist.
            Err(_) => gateway.metrics.count("peer_datagrams_failed"),
        }
    }
}

fn on_message(gateway: &Rc<Gateway>, socket: &UdpSocket, message: PeerMessage, sender: SocketAddr) {
    match message {
        PeerMessage::Load(report) => on_load_report(gateway, report),
        PeerMessage::Notices(report) => on_notice_report(gateway, &report),
        PeerMessage::NoticeQuery => {
            let reports = reports_of_all(&gateway.state.borrow().servers, gateway.now());
            for report in reports {
                send_message(gateway, socket, &PeerMessage::Notices(report), &[sender]);
            }
        }
        PeerMessage::EvidenceNews => {
            // A daemon that reads the metadata store itself learns of new records from there.
            let store_reads = gateway.state.borrow().store_reads;
            if store_reads.source().is_some() {
                gateway.evidence_news.notify_one();
            }
        }
        PeerMessage::PermitRequest(request) => {
            let reply = answer_permit_request(gateway, &request);
            send_message(gateway, socket, &PeerMessage::PermitReply(reply), &[sender]);
        }
        PeerMessage::PermitReply(reply) => gateway.permit_client.on_reply(reply),
        PeerMessage::RolloutReport(report) => on_report(gateway, socket, report, sender),
        PeerMessage::RolloutDirective(directive) => on_directive(gateway, directive, sender),
    }
}

fn on_load_report(gateway: &Gateway, report: LoadReport) {
    let now = gateway.now();
    let state = &mut *gateway.state.borrow_mut();
    if let Some(role) = &state.role {
        state.peer_loads.on_report(role, report, now);
    }
}

fn on_notice_report(gateway: &Gateway, report: &NoticeReport) {
    let now = gateway.now();
    let state = &mut *gateway.state.borrow_mut();
    if let Some(role) = &state.role {
        for change in apply_report(&mut state.servers, role, report, now) {
            log_reported_change(gateway, &mut state.servers, change);
        }
    }
}

/// Sends a message to some daemons.
pub(crate) fn send_message(
    gateway: &Gateway,
    socket: &UdpSocket,
    message: &PeerMessage,
    recipients: &[SocketAddr],
) {
    let datagram = match message.encode() {
        Ok(datagram) => datagram,
        Err(error) => {
            gateway.log_notable(&Event::DependencyLost {
                dependency: "messages between daemons",
                reason: &error.to_string(),
            });
            return;
        }
    };
    for recipient in recipients {
        // If the socket buffer is full, the datagram is lost, as it may be in the network.
        if socket.try_send_to(&datagram, *recipient).is_err() {
            gateway.metrics.count("peer_datagrams_failed");
        }
    }
}
