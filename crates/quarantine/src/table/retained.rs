//! Records that a table retains although the restored metadata store does not contain them.

use super::{EvidenceTable, KeptReport, is_current};
use crate::record::{EndReport, KeyedRecord, Record, RecordKey};
use crate::{PartKey, Suspect};
use indexmap::IndexMap;
use std::time::Duration;

/// Longest time whose records a restored store may have lost. A record that was read longer ago and
/// is not listed any more was removed for good.
pub const LOST_TIME_MAX: Duration = Duration::from_secs(60);

/// Maximum number of removed reports that are remembered.
const REMOVED_MAX: usize = 1024;

/// Reports that were removed from the log lately.
#[derive(Clone, Debug, Default)]
pub(super) struct RemovedReports {
    removed_at: IndexMap<RecordKey, Duration>,
}

impl RemovedReports {
    pub(super) fn on_removed(&mut self, key: RecordKey, now: Duration) {
        if self.removed_at.len() >= REMOVED_MAX {
            self.removed_at.shift_remove_index(0);
        }
        self.removed_at.insert(key, now);
    }

    fn contains(&self, key: &RecordKey, now: Duration) -> bool {
        let removed_at = self.removed_at.get(key);
        removed_at.is_some_and(|at| may_be_lost(*at, now))
    }
}

/// Returns whether a record that was read at `read_at` may have been lost by a restore since.
fn may_be_lost(read_at: Duration, now: Duration) -> bool {
    now.saturating_sub(read_at) <= LOST_TIME_MAX
}

impl EvidenceTable {
    /// Forgets the records that a restored store cannot have lost, and those that do not name their
    /// epoch. Called before a listing in a new epoch is applied.
    pub fn retain_newest(&mut self, now: Duration) {
        let older = self
            .reports
            .iter()
            .filter(|(_, kept)| kept.position.is_some() && !may_be_lost(kept.read_at, now));
        let older: Vec<RecordKey> = older.map(|(key, _)| *key).collect();
        for key in older {
            self.remove_report(key);
        }
        self.cleared
            .retain(|_, kept| kept.clearance.issued.is_some() && may_be_lost(kept.read_at, now));
        self.trials.retain(|_, kept| may_be_lost(kept.read_at, now));
        self.dropped.clear();
    }

    /// Applies a record of a complete listing, and returns whether it is in force. It is not if this
    /// daemon knows a newer one with its key, or knows that the report was removed.
    pub fn apply_listed(&mut self, keyed: KeyedRecord, offset: u64, now: Duration) -> bool {
        if self.removed.contains(&keyed.key, now) {
            self.dropped.insert(keyed.key);
            return false;
        }
        let is_older = match (keyed.key, &keyed.record) {
            (RecordKey::Cleared(part), Some(Record::Cleared(listed))) => {
                let known = self.cleared.get(&part);
                known.is_some_and(|known| known.clearance.issued > listed.issued)
            }
            (RecordKey::Trial(part), Some(Record::Trial(listed))) => {
                let known = self.trials.get(&part);
                known.is_some_and(|known| known.trial.at_ms > listed.at_ms)
            }
            _ => false,
        };
        if !is_older {
            self.apply(keyed, offset, now);
        }
        !is_older
    }

    /// Returns the keys of all records that were not read in the epoch of the last listing, and of
    /// listed ones that are to be removed.
    #[must_use]
    pub fn unlisted_keys(&self) -> Vec<RecordKey> {
        let epoch = self.next.epoch;
        let is_unlisted = |kept: &KeptReport| kept.position.is_none_or(|at| at.epoch != epoch);
        let reports = self.reports.iter();
        let reports = reports.filter(|(_, kept)| is_unlisted(kept));
        let cleared = self.cleared.iter();
        let cleared = cleared.filter(|(_, kept)| kept.position.epoch != epoch);
        let trials = self.trials.iter();
        let trials = trials.filter(|(_, kept)| kept.position.epoch != epoch);
        reports
            .map(|(key, _)| *key)
            .chain(cleared.map(|(part, _)| RecordKey::Cleared(*part)))
            .chain(trials.map(|(part, _)| RecordKey::Trial(*part)))
            .chain(self.dropped.iter().copied())
            .collect()
    }

    /// Returns the report under a key.
    #[must_use]
    pub fn report(&self, key: RecordKey) -> Option<&EndReport> {
        self.reports.get(&key).map(|kept| &kept.report)
    }

    /// Returns the record under a key to be stored again, or its removal. Returns `None` if it no
    /// longer counts.
    #[must_use]
    pub fn record_to_store(&self, key: RecordKey, now_ms: u64) -> Option<KeyedRecord> {
        if self.dropped.contains(&key) {
            return Some(KeyedRecord { key, record: None });
        }
        let record = Some(self.counting_record(key, now_ms)?);
        Some(KeyedRecord { key, record })
    }

    fn counting_record(&self, key: RecordKey, now_ms: u64) -> Option<Record> {
        match key {
            RecordKey::End { .. } => {
                let kept = self.reports.get(&key)?;
                let suspects: Vec<Suspect> = self.live_suspects(kept).collect();
                let counts = is_current(kept, now_ms) && !suspects.is_empty();
                let report = EndReport {
                    suspects,
                    ..kept.report
                };
                counts.then_some(Record::End(report))
            }
            RecordKey::Cleared(part) => {
                let kept = self.cleared.get(&part)?;
                let record = Record::Cleared(kept.clearance);
                self.is_reported(part).then_some(record)
            }
            RecordKey::Trial(part) => {
                let kept = self.trials.get(&part)?;
                let record = Record::Trial(kept.trial);
                self.is_reported(part).then_some(record)
            }
        }
    }

    /// Forgets the record under a key.
    pub fn forget(&mut self, key: RecordKey) {
        match key {
            RecordKey::End { .. } => self.remove_report(key),
            RecordKey::Cleared(part) => {
                self.cleared.swap_remove(&part);
            }
            RecordKey::Trial(part) => {
                self.trials.swap_remove(&part);
            }
        }
    }

    fn is_reported(&self, part: PartKey) -> bool {
        let mut reports = self.reports.values();
        reports.any(|kept| {
            let mut suspects = kept.report.suspects.iter();
            suspects.any(|suspect| suspect.part == part)
        })
    }
}
