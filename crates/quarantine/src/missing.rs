//! Records that the restored metadata store does not contain, until they are stored again.
//!
//! Each daemon stores its own reports again at once. The other records are left to few daemons at
//! first, and to more of them as long as the records do not appear in the log, because those that
//! wrote them may have ended.

use crate::mixed;
use crate::record::RecordKey;
use indexmap::IndexSet;
use std::time::Duration;

/// Time after the listing until more daemons store the missing records of others. In this time most
/// daemons read what was appended before.
const MISSING_PAUSE: Duration = Duration::from_millis(700);
/// Number of daemons, on average, that store a missing record at once.
const FIRST_WRITERS: u64 = 2;
/// Factor by which the number of daemons grows after each pause.
const WRITERS_GROWTH: u64 = 4;

/// Keys of missing records.
#[derive(Clone, Debug, Default)]
pub(crate) struct MissingRecords {
    keys: IndexSet<RecordKey>,
    /// When the listing that lacks them was read.
    listed_at: Duration,
}

impl MissingRecords {
    /// Replaces the keys by those that a listing lacks.
    pub(crate) fn set(&mut self, keys: impl IntoIterator<Item = RecordKey>, now: Duration) {
        self.keys = keys.into_iter().collect();
        self.listed_at = now;
    }

    pub(crate) fn remove(&mut self, key: &RecordKey) {
        self.keys.shift_remove(key);
    }

    pub(crate) fn contains(&self, key: &RecordKey) -> bool {
        self.keys.contains(key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the keys whose records the daemon with the random number `reporter` stores now.
    pub(crate) fn due(&self, reporter: u64, fleet_size: u64, now: Duration) -> Vec<RecordKey> {
        let waited = now.saturating_sub(self.listed_at);
        let pauses = (waited.as_millis() / MISSING_PAUSE.as_millis()) as u32;
        let writers = FIRST_WRITERS.saturating_mul(WRITERS_GROWTH.saturating_pow(pauses));
        let is_due =
            |key: &&RecordKey| mixed(key.number() ^ reporter) % fleet_size.max(1) < writers;
        self.keys.iter().filter(is_due).copied().collect()
    }
}
