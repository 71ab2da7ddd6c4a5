//! Entries of a restored metadata store that belong to servers whose removal this daemon has read.

use crate::ports::Change;
use crate::server::ServerEntry;
use indexmap::IndexMap;
use std::time::Duration;

/// Time after a restore in which the entry of a server that has ended expires. One that is left then
/// belongs to a running server.
const EXPIRY_TIME: Duration = Duration::from_secs(5);

/// Entries that are not used until it is known whether their servers are running.
#[derive(Debug, Default)]
pub(super) struct SkippedEntries {
    by_id: IndexMap<String, ServerEntry>,
    due_at: Duration,
}

impl SkippedEntries {
    /// Replaces the entries by those of a listing that was read at `now`.
    pub(super) fn set(&mut self, entries: Vec<ServerEntry>, now: Duration) {
        let entries = entries.into_iter();
        self.by_id = entries.map(|entry| (entry.id.clone(), entry)).collect();
        self.due_at = now + EXPIRY_TIME;
    }

    /// Forgets the entries that changes replace or remove.
    pub(super) fn on_changes(&mut self, changes: &[Change]) {
        for change in changes {
            if let Some(id) = changed_server(change) {
                self.by_id.swap_remove(id);
            }
        }
    }

    /// Returns the entries that are left once their time is over.
    pub(super) fn take_due(&mut self, now: Duration) -> Vec<ServerEntry> {
        if now < self.due_at {
            return Vec::new();
        }
        let left = std::mem::take(&mut self.by_id);
        left.into_values().collect()
    }
}

fn changed_server(change: &Change) -> Option<&str> {
    match change {
        Change::ServerUpdated(entry) => Some(&entry.id),
        Change::ServerRemoved(id) => Some(id),
        Change::Malformed { key, .. } => Some(key),
        _ => None,
    }
}
