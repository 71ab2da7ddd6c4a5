//! Applies the notices in backend servers' answers about further requests of this daemon.

use crate::gateway::Gateway;
use crate::log::Event;
use crate::notice_reports::NoticeChange;
use crate::request::ServerNotice;
use crate::request_limit::{RequestRate, StatementSource};
use crate::server::{Server, ServerKey, Servers};

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
        let has_announced =
            notice.is_draining && server.on_drain_notice(StatementSource::Answer, now);
        (server.entry.id.clone(), has_announced)
    };
    if has_announced {
        log(gateway, &id, "leaving, as its answer says");
    }
    if let Some(limit) = notice.request_limit {
        update_limit(gateway, key, |server| {
            server.request_limit.on_named(limit, now)
        });
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

/// Records that a server answered a request with success and without naming a limit.
pub(crate) fn on_limit_not_named(gateway: &Gateway, key: ServerKey) {
    let now = gateway.now();
    update_limit(gateway, key, |server| {
        server.request_limit.on_not_named(now)
    });
}

/// Updates the limit of a server, and logs it if `update` returns that it has changed.
fn update_limit(gateway: &Gateway, key: ServerKey, update: impl FnOnce(&mut Server) -> bool) {
    let mut state = gateway.state.borrow_mut();
    if let Some(server) = state.servers.get_mut(key)
        && update(server)
    {
        log_limit(gateway, server);
    }
}

/// Logs the limit of a server and the number of requests sent to it since the last such line.
pub(crate) fn log_limit(gateway: &Gateway, server: &mut Server) {
    gateway.log_notable(&Event::RequestLimit {
        server: &server.entry.id,
        limit_per_s: server.request_limit.in_force().map(RequestRate::per_s),
        sent: std::mem::take(&mut server.sent_since_logged),
    });
}

/// Logs a change that another daemon has reported.
pub(crate) fn log_reported_change(gateway: &Gateway, servers: &mut Servers, change: NoticeChange) {
    match change {
        NoticeChange::Limit(key) => {
            if let Some(server) = servers.get_mut(key) {
                log_limit(gateway, server);
            }
        }
        NoticeChange::Draining(key) => {
            if let Some(server) = servers.get(key) {
                log(gateway, &server.entry.id, "leaving, as another daemon says");
            }
        }
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
