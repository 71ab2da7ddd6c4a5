//! Backend servers whose entries are gone.
//!
//! An entry may come back although its server did not start anew: the entry lapsed, or a delayed
//! heartbeat arrives. What the server said about further requests still holds then.

use crate::server::{Server, ServerState};
use indexmap::IndexMap;
use std::time::Duration;

/// Time for which a server is remembered. Entries come back within seconds.
const RETENTION_TIME: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct RemovedServer {
    started_at_ms: Option<u64>,
    is_draining: bool,
    backoff_until: Duration,
    forgotten_at: Duration,
}

/// Servers that are no longer listed and must get no requests if they are listed again.
#[derive(Debug, Default)]
pub(crate) struct RemovedServers {
    by_id: IndexMap<String, RemovedServer>,
}

impl RemovedServers {
    /// Remembers a server whose entry is gone, if it should get no requests.
    pub(crate) fn on_server_removed(&mut self, server: &Server, now: Duration) {
        self.by_id
            .retain(|_, removed| now < removed.forgotten_at + RETENTION_TIME);
        let removed = RemovedServer {
            started_at_ms: server.entry.started_at_ms,
            is_draining: server.entry.state == ServerState::Draining,
            backoff_until: server.backoff_until(),
            forgotten_at: now,
        };
        if removed.is_draining || now < removed.backoff_until {
            self.by_id.insert(server.entry.id.clone(), removed);
        }
    }

    /// Gives a listed server what is remembered of it, unless it has started anew.
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
    }
}
