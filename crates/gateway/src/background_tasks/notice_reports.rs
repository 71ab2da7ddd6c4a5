//! Tells the other daemons what backend servers have stated in their answers.

use super::peer_messages::send_message;
use crate::gateway::Gateway;
use crate::notice_reports::{NOTICE_PERIOD, NoticeReporter, QUERY_TIME, queried_daemons};
use crate::peer_message::PeerMessage;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Sends reports until the daemon ends.
pub(crate) async fn send(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut reporter = NoticeReporter::default();
    loop {
        let addressed = {
            let state = gateway.state.borrow();
            let now = gateway.now();
            let role = state.role.as_ref();
            role.map(|role| reporter.next_reports(&state.servers, role, now))
        };
        query_at_start(&gateway, &socket);
        for reports in addressed.into_iter().flatten() {
            for report in reports.reports {
                let message = PeerMessage::Notices(report);
                send_message(&gateway, &socket, &message, &reports.recipients);
            }
        }
        // A daemon that starts asks as soon as it knows whom to ask.
        tokio::select! {
            () = gateway.role_changed.notified() => {}
            () = sleep(NOTICE_PERIOD) => {}
        }
    }
}

/// Asks other daemons for the statements that they know, if this daemon has just started.
fn query_at_start(gateway: &Gateway, socket: &UdpSocket) {
    if gateway.uptime() >= QUERY_TIME {
        return;
    }
    let state = gateway.state.borrow();
    if let Some(role) = &state.role {
        let queried = queried_daemons(role);
        send_message(gateway, socket, &PeerMessage::NoticeQuery, queried);
    }
}
