//! Tells outages of the metadata store from outages of this daemon's own connection to it.
//!
//! Entries of running servers expire while the metadata store is unavailable, and return after it. If
//! only this daemon could not read the store, entries that are missing afterwards belong to servers
//! that have left. The heartbeats that the servers have published meanwhile tell the two apart.

use crate::ports::Change;
use crate::server::ServerEntry;
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Heartbeats of the median server that may be missing although the store served the servers. None is
/// expected to be, but an outage begins and ends between heartbeats, whose interval varies. An outage
/// of the store in which entries expire costs two: an entry expires after three intervals without a
/// heartbeat, and the last one may have come right before the outage.
const MISSING_HEARTBEATS_MAX: f64 = 1.0;
/// Number of heartbeats that have to be expected in an outage to tell its kind.
const EXPECTED_HEARTBEATS_MIN: f64 = 1.5;
/// Number of heartbeats from which on the interval between them counts as known.
const OBSERVED_HEARTBEATS_MIN: u64 = 4;

/// A heartbeat of a server, and the time of the read that returned it.
#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    number: u64,
    read_at: Duration,
}

/// Heartbeats of one start of a server.
#[derive(Clone, Copy, Debug)]
struct ServerHeartbeats {
    started_at_ms: Option<u64>,
    first: Heartbeat,
    last: Heartbeat,
}

impl ServerHeartbeats {
    /// Returns the mean time between two heartbeats, or `None` if too few are known.
    fn interval_s(&self) -> Option<f64> {
        let count = self.last.number.saturating_sub(self.first.number);
        let time = self.last.read_at.saturating_sub(self.first.read_at);
        let is_known = count >= OBSERVED_HEARTBEATS_MIN && !time.is_zero();
        is_known.then(|| time.as_secs_f64() / count as f64)
    }

    fn is_next(&self, entry: &ServerEntry) -> bool {
        entry.started_at_ms == self.started_at_ms && entry.heartbeat > self.last.number
    }
}

/// Heartbeats of all servers, as far as this daemon has read them.
#[derive(Debug, Default)]
pub struct HeartbeatHistory {
    by_server: IndexMap<String, ServerHeartbeats>,
}

impl HeartbeatHistory {
    /// Adds the heartbeats among changes that were read at `read_at`.
    pub fn on_changes(&mut self, changes: &[Change], read_at: Duration) {
        for change in changes {
            match change {
                Change::ServerUpdated(entry) => self.on_entry(entry, read_at),
                Change::ServerRemoved(id) => {
                    self.by_server.swap_remove(id);
                }
                _ => {}
            }
        }
    }

    fn on_entry(&mut self, entry: &ServerEntry, read_at: Duration) {
        let heartbeat = Heartbeat {
            number: entry.heartbeat,
            read_at,
        };
        match self.by_server.get_mut(&entry.id) {
            Some(known) if known.is_next(entry) => known.last = heartbeat,
            Some(known) if known.started_at_ms == entry.started_at_ms => {}
            _ => {
                let heartbeats = ServerHeartbeats {
                    started_at_ms: entry.started_at_ms,
                    first: heartbeat,
                    last: heartbeat,
                };
                self.by_server.insert(entry.id.clone(), heartbeats);
            }
        }
    }

    /// Discards all heartbeats. Their interval cannot be told across an outage of the store.
    pub fn clear(&mut self) {
        self.by_server.clear();
    }

    /// Returns whether the metadata store served the servers during an outage that this daemon saw.
    /// `changes` are all changes in the time `window`, which contains the outage. Returns `false` if
    /// that cannot be told.
    #[must_use]
    pub fn was_store_available(&self, changes: &[Change], window: Duration) -> bool {
        let removed = removed_servers(changes);
        let kept = self
            .by_server
            .iter()
            .filter(|(id, _)| !removed.contains(id.as_str()));
        let missing = kept.filter_map(|(id, known)| {
            let expected = window.as_secs_f64() / known.interval_s()?;
            let is_enough = expected >= EXPECTED_HEARTBEATS_MIN;
            is_enough.then(|| expected - heartbeat_count(id, known, changes) as f64)
        });
        median(missing.collect()).is_some_and(|missing| missing <= MISSING_HEARTBEATS_MAX)
    }
}

fn removed_servers(changes: &[Change]) -> IndexSet<&str> {
    let removed = changes.iter().filter_map(|change| match change {
        Change::ServerRemoved(id) => Some(id.as_str()),
        _ => None,
    });
    removed.collect()
}

/// Returns the number of different new heartbeats of a server. A write may be stored twice.
fn heartbeat_count(id: &str, known: &ServerHeartbeats, changes: &[Change]) -> usize {
    let numbers: IndexSet<u64> = changes
        .iter()
        .filter_map(|change| match change {
            Change::ServerUpdated(entry) if entry.id == id && known.is_next(entry) => {
                Some(entry.heartbeat)
            }
            _ => None,
        })
        .collect();
    numbers.len()
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
