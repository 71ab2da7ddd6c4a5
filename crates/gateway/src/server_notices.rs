//! Applies the notices in backend servers' answers about further requests of this daemon.

use crate::gateway::Gateway;
use crate::log::Event;
use crate::request::ServerNotice;
use crate::server::ServerKey;

/// Applies the notice in a server's answer to the server's state, and logs it.
pub(crate) fn on_server_notice(gateway: &Gateway, key: ServerKey, notice: ServerNotice) {
    if notice == ServerNotice::default() {
        return;
    }
    let now = gateway.now();
    let (id, has_announced) = {
        let mut state = gateway.state.borrow_mut();
        let Some(server) = state.servers.get_mut(key) else {
            return;
        };
        if let Some(backoff) = notice.backoff {
            server.on_backoff_requested(backoff, now);
        }
        let has_announced = notice.is_draining && server.mark_draining();
        (server.entry.id.clone(), has_announced)
    };
    if has_announced {
        log(gateway, &id, "leaving, as its answer says");
    }
    if let Some(backoff) = notice.backoff {
        let backoff_ms = backoff.as_millis();
        log(
            gateway,
            &id,
            &format!("wants no requests for {backoff_ms} ms"),
        );
    }
}

fn log(gateway: &Gateway, server: &str, change: &str) {
    gateway.log_notable(&Event::Server {
        server,
        change,
        service: "",
        address: "",
    });
}
