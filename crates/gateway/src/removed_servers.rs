//! Heartbeat, drain state, back-off, limit and pending orders of backend servers whose entries were
//! removed.
//!
//! An entry may reappear although its server has not restarted, because the entry had expired
//! or because a delayed heartbeat arrives. What the server said about further requests is then
//! still valid.

use crate::loaded_weights::PendingOrders;
use crate::request_limit::RequestLimit;
use crate::server::{Server, ServerEntry, ServerState};
use indexmap::IndexMap;
use std::cmp::Ordering;
use std::time::Duration;

/// Time for which the state of a removed server is kept. Entries reappear within seconds.
const RETENTION_TIME: Duration = Duration::from_secs(600);

#[derive(Clone, Debug)]
struct RemovedServer {
    started_at_ms: Option<u64>,
    heartbeat: u64,
    is_draining: bool,
    backoff_until: Duration,
    request_limit: RequestLimit,
    pending_orders: PendingOrders,
    removed_at: Duration,
}

/// Servers without an entry, with what still holds if their entry reappears.
#[derive(Debug, Default)]
pub(crate) struct RemovedServers {
    by_id: IndexMap<String, RemovedServer>,
}

impl RemovedServers {
    /// Keeps the state of a removed server.
    pub(crate) fn on_server_removed(&mut self, server: &Server, now: Duration) {
        self.by_id
            .retain(|_, removed| now < removed.removed_at + RETENTION_TIME);
        let removed = RemovedServer {
            started_at_ms: server.entry.started_at_ms,
            heartbeat: server.entry.heartbeat,
            is_draining: server.entry.state == ServerState::Draining,
            backoff_until: server.backoff_until(),
            request_limit: server.request_limit,
            pending_orders: server.unexpired_orders(now),
            removed_at: now,
        };
        self.by_id.insert(server.entry.id.clone(), removed);
    }

    /// Returns whether the server's entry was removed after it had published this one.
    pub(crate) fn is_outdated(&self, entry: &ServerEntry) -> bool {
        let Some(removed) = self.by_id.get(&entry.id) else {
            return false;
        };
        match entry.started_at_ms.cmp(&removed.started_at_ms) {
            Ordering::Less => true,
            Ordering::Equal => entry.heartbeat <= removed.heartbeat,
            Ordering::Greater => false,
        }
    }

    /// Restores the state kept for a server whose entry reappeared, unless the server has
    /// restarted.
    pub(crate) fn restore(&mut self, server: &mut Server) {
        let Some(removed) = self.by_id.get(&server.entry.id) else {
            return;
        };
        if server.entry.started_at_ms > removed.started_at_ms {
            self.by_id.swap_remove(&server.entry.id);
            return;
        }
        if removed.is_draining {
            server.mark_draining();
        }
        server.back_off_until(removed.backoff_until);
        server.request_limit = removed.request_limit;
        server.restore_pending_orders(removed.pending_orders.clone());
    }
}
