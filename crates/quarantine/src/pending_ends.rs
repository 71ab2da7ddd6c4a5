//! Backend servers at which an answer broke off, until it is known whether the server has ended or
//! only the connection.

use crate::{LostRequests, ServerStart, Suspect};
use indexmap::IndexMap;
use std::hash::Hash;
use std::time::Duration;

/// Time after which a break without other signs of an end counts as that of a connection alone.
pub const PENDING_TIME: Duration = Duration::from_secs(10);
/// Maximum number of suspects of one workspace that are kept for one server, so that the parts of
/// one caller leave room for those of others.
pub const SUSPECTS_PER_WORKSPACE_MAX: usize = 4096;
/// Maximum number of suspects that are kept for all servers.
pub const SUSPECTS_MAX: usize = 64 * 1024;

/// Answers that broke off at one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingEnd {
    /// Uptime at which the first of them broke off.
    pub broken_at: Duration,
    /// Start time of the server at that moment, in Unix milliseconds; 0 if it was not known.
    pub started_ms: u64,
    /// Number of answers that broke off.
    pub count: u32,
    /// Parts of their prompts, as many as there was room for.
    pub suspects: Vec<Suspect>,
}

impl PendingEnd {
    /// Returns the report of the server's end.
    #[must_use]
    pub fn into_lost_requests(self, server: ServerStart) -> LostRequests {
        LostRequests {
            server,
            count: self.count,
            suspects: self.suspects,
        }
    }
}

/// Answers that broke off, by server. The number of their suspects is bounded, because polls of a
/// server may take long while its answers break off.
#[derive(Clone, Debug)]
pub struct PendingEnds<K> {
    by_server: IndexMap<K, PendingEnd>,
}

impl<K> Default for PendingEnds<K> {
    fn default() -> Self {
        Self {
            by_server: IndexMap::new(),
        }
    }
}

impl<K: Hash + Eq> PendingEnds<K> {
    /// Records that the answer to a request with these prompt parts of one workspace broke off.
    /// `started_ms` is the start time of the server, or 0 if it is not known.
    pub fn on_broken(&mut self, server: K, started_ms: u64, suspects: &[Suspect], now: Duration) {
        let all_suspects: usize = self.by_server.values().map(|end| end.suspects.len()).sum();
        let end = self.by_server.entry(server).or_insert_with(|| PendingEnd {
            broken_at: now,
            started_ms,
            count: 0,
            suspects: Vec::new(),
        });
        end.count += 1;
        let workspace = suspects.first().map(|suspect| suspect.workspace);
        let kept = end.suspects.iter();
        let of_workspace = kept.filter(|kept| Some(kept.workspace) == workspace);
        let room = SUSPECTS_PER_WORKSPACE_MAX
            .saturating_sub(of_workspace.count())
            .min(SUSPECTS_MAX.saturating_sub(all_suspects));
        end.suspects.extend(suspects.iter().take(room));
    }

    /// Takes the answers that broke off at a server before `asked_at`, the uptime at which a poll of
    /// the server began. Those of long ago are dropped.
    pub fn take(&mut self, server: &K, asked_at: Duration, now: Duration) -> Option<PendingEnd> {
        let end = self.by_server.get(server)?;
        if asked_at < end.broken_at {
            return None;
        }
        let end = self.by_server.shift_remove(server)?;
        (now < end.broken_at + PENDING_TIME).then_some(end)
    }
}
