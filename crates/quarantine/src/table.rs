//! The records of a fleet's evidence as one daemon has read them.

mod retained;

pub use retained::LOST_TIME_MAX;

use crate::attribution::Evidence;
use crate::record::{Clearance, EndReport, KeyedRecord, Record, RecordKey, Trial};
use crate::{PartKey, Suspect, WorkspaceKey};
use anvilgw_core::log_position::LogPosition;
use indexmap::{IndexMap, IndexSet};
use retained::RemovedReports;
use std::time::Duration;

/// Time for which a report counts. A part that stays quarantined is tried again within this time,
/// and each trial that ends a server is reported.
pub const REPORT_TIME: Duration = Duration::from_secs(24 * 3600);
/// Maximum number of reports that are kept.
pub const REPORTS_MAX: usize = 256;
/// Maximum number of suspects in all reports that are kept.
pub const SUSPECTS_TOTAL_MAX: usize = 16 * 1024;

/// Maximum number of dropped keys that are remembered until they are removed from the log.
const DROPPED_MAX: usize = 4096;

#[derive(Clone, Debug)]
struct KeptReport {
    /// Position of the record, or `None` until this daemon has read its own report.
    position: Option<LogPosition>,
    /// Uptime of this daemon at which it read the record, or made its own report.
    read_at: Duration,
    report: EndReport,
}

#[derive(Clone, Copy, Debug)]
struct KeptClearance {
    position: LogPosition,
    /// Uptime of this daemon at which it read the record.
    read_at: Duration,
    clearance: Clearance,
}

#[derive(Clone, Copy, Debug)]
struct KeptTrial {
    position: LogPosition,
    /// Uptime of this daemon at which it read the record.
    read_at: Duration,
    trial: Trial,
}

/// Evidence of a fleet, bounded in size.
#[derive(Clone, Debug, Default)]
pub struct EvidenceTable {
    reports: IndexMap<RecordKey, KeptReport>,
    /// Number of suspects in all reports, by workspace.
    suspect_counts: IndexMap<WorkspaceKey, usize>,
    cleared: IndexMap<PartKey, KeptClearance>,
    trials: IndexMap<PartKey, KeptTrial>,
    /// Position from which to read the log next. Offsets of records are of the same epoch.
    next: LogPosition,
    /// Keys that were dropped because there were too many, to be removed from the log.
    dropped: IndexSet<RecordKey>,
    removed: RemovedReports,
}

impl EvidenceTable {
    /// Returns the position from which to read the log next.
    #[must_use]
    pub fn next(&self) -> LogPosition {
        self.next
    }

    /// Sets the position from which to read the log next.
    pub fn set_next(&mut self, next: LogPosition) {
        self.next = next;
    }

    /// Returns whether there are no reports.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Returns the number of reports.
    #[must_use]
    pub fn report_count(&self) -> usize {
        self.reports.len()
    }

    /// Forgets all records but this daemon's own that it has not read yet, and those that are
    /// missing in the log. Called before a complete listing is applied.
    pub fn clear_stored(&mut self, is_missing: impl Fn(RecordKey) -> bool) {
        let stored = self
            .reports
            .iter()
            .filter(|(key, kept)| kept.position.is_some() && !is_missing(**key));
        let stored: Vec<RecordKey> = stored.map(|(key, _)| *key).collect();
        for key in stored {
            self.remove_report(key);
        }
        self.cleared
            .retain(|part, _| is_missing(RecordKey::Cleared(*part)));
        self.trials
            .retain(|part, _| is_missing(RecordKey::Trial(*part)));
        self.dropped.clear();
    }

    /// Applies the record at `offset`, in the epoch of the position from which the log is read next.
    pub fn apply(&mut self, keyed: KeyedRecord, offset: u64, now: Duration) {
        let epoch = self.next.epoch;
        let position = LogPosition { epoch, offset };
        match (keyed.key, keyed.record) {
            (key @ RecordKey::End { .. }, Some(Record::End(report))) => {
                let kept = KeptReport {
                    position: Some(position),
                    read_at: now,
                    report,
                };
                self.insert_report(key, kept);
            }
            (RecordKey::Cleared(part), Some(Record::Cleared(clearance))) => {
                let kept = KeptClearance {
                    position,
                    read_at: now,
                    clearance,
                };
                self.cleared.insert(part, kept);
            }
            (RecordKey::Trial(part), Some(Record::Trial(trial))) => {
                self.set_trial(part, trial, position, now);
            }
            (key, _) => self.remove(key, now),
        }
    }

    fn remove(&mut self, key: RecordKey, now: Duration) {
        self.dropped.swap_remove(&key);
        if let RecordKey::End { .. } = key {
            self.removed.on_removed(key, now);
        }
        self.forget(key);
    }

    /// Adds a report of this daemon that is not stored yet.
    pub fn add_own(&mut self, key: RecordKey, report: EndReport, now: Duration) {
        let kept = KeptReport {
            position: None,
            read_at: now,
            report,
        };
        self.insert_report(key, kept);
    }

    fn insert_report(&mut self, key: RecordKey, kept: KeptReport) {
        self.remove_report(key);
        for suspect in &kept.report.suspects {
            *self.suspect_counts.entry(suspect.workspace).or_default() += 1;
        }
        self.reports.insert(key, kept);
        self.drop_excess();
    }

    fn remove_report(&mut self, key: RecordKey) {
        let Some(removed) = self.reports.shift_remove(&key) else {
            return;
        };
        self.uncount(&removed.report.suspects);
    }

    fn uncount(&mut self, suspects: &[Suspect]) {
        for suspect in suspects {
            if let Some(count) = self.suspect_counts.get_mut(&suspect.workspace) {
                *count = count.saturating_sub(1);
            }
        }
        self.suspect_counts.retain(|_, count| *count > 0);
    }

    /// Records that a part is sound as far as reports are concerned that are not stored yet.
    pub fn clear_unstored(&mut self, part: PartKey) {
        let unstored = self
            .reports
            .values_mut()
            .filter(|kept| kept.position.is_none());
        let mut removed = Vec::new();
        for kept in unstored {
            let suspects = &mut kept.report.suspects;
            removed.extend(suspects.extract_if(.., |suspect| suspect.part == part));
        }
        self.uncount(&removed);
    }

    /// Returns the last trial of a part.
    #[must_use]
    pub fn trial(&self, part: PartKey) -> Option<Trial> {
        self.trials.get(&part).map(|kept| kept.trial)
    }

    /// Records the trial that is stored at a position.
    pub fn set_trial(&mut self, part: PartKey, trial: Trial, position: LogPosition, now: Duration) {
        let kept = KeptTrial {
            position,
            read_at: now,
            trial,
        };
        self.trials.insert(part, kept);
    }

    /// Returns the reports with the suspects that were not cleared since.
    #[must_use]
    pub fn evidence(&self, now_ms: u64) -> Vec<Evidence> {
        let current = self
            .reports
            .values()
            .filter(|kept| is_current(kept, now_ms));
        let live = current.map(|kept| Evidence {
            server: kept.report.server,
            seen_at_ms: kept.report.seen_at_ms,
            lost: kept.report.lost,
            completed: kept.report.completed,
            suspects: self.live_suspects(kept).collect(),
        });
        live.filter(|evidence| !evidence.suspects.is_empty())
            .collect()
    }

    fn live_suspects<'a>(&'a self, kept: &'a KeptReport) -> impl Iterator<Item = Suspect> + 'a {
        let suspects = kept.report.suspects.iter().copied();
        suspects.filter(move |suspect| {
            let cleared = self.cleared.get(&suspect.part);
            !cleared.is_some_and(|cleared| cleared.covers(kept))
        })
    }

    /// Returns up to `max` keys whose records no longer count, to be removed from the log.
    #[must_use]
    pub fn obsolete_keys(&self, now_ms: u64, max: usize) -> Vec<RecordKey> {
        let stored = self
            .reports
            .iter()
            .filter(|(_, kept)| kept.position.is_some());
        let obsolete_reports = stored
            .filter(|(_, kept)| {
                !is_current(kept, now_ms) || self.live_suspects(kept).next().is_none()
            })
            .map(|(key, _)| *key);
        let reported: IndexSet<PartKey> = self
            .reports
            .values()
            .flat_map(|kept| &kept.report.suspects)
            .map(|suspect| suspect.part)
            .collect();
        let is_unreported = |part: &&PartKey| !reported.contains(*part);
        let cleared = self.cleared.keys().filter(is_unreported);
        let trials = self.trials.keys().filter(is_unreported);
        self.dropped
            .iter()
            .copied()
            .chain(obsolete_reports)
            .chain(cleared.map(|part| RecordKey::Cleared(*part)))
            .chain(trials.map(|part| RecordKey::Trial(*part)))
            .take(max)
            .collect()
    }

    /// Drops reports while there are too many: the oldest one of the workspace that has most
    /// suspects, so that no workspace pushes out the evidence of another.
    fn drop_excess(&mut self) {
        loop {
            let suspects: usize = self.suspect_counts.values().sum();
            let is_full = self.reports.len() > REPORTS_MAX || suspects > SUSPECTS_TOTAL_MAX;
            if !is_full {
                return;
            }
            let Some(victim) = self.excess_report() else {
                return;
            };
            self.remove_report(victim);
            if self.dropped.len() < DROPPED_MAX {
                self.dropped.insert(victim);
            }
        }
    }

    fn excess_report(&self) -> Option<RecordKey> {
        let heaviest = self.suspect_counts.iter().max_by_key(|(_, count)| **count);
        let heaviest = heaviest.map(|(workspace, _)| *workspace);
        let is_of_heaviest = |kept: &KeptReport| {
            let mut suspects = kept.report.suspects.iter();
            suspects.any(|suspect| Some(suspect.workspace) == heaviest)
        };
        let mut reports = self.reports.iter();
        let own = reports.clone().filter(|(_, kept)| is_of_heaviest(kept));
        own.min_by_key(|(_, kept)| kept.report.seen_at_ms)
            .or_else(|| reports.next())
            .map(|(key, _)| *key)
    }
}

impl KeptClearance {
    /// Returns whether a report no longer counts. A report that is not stored yet still does.
    fn covers(&self, kept: &KeptReport) -> bool {
        let (clearance, seen_at_ms) = (self.clearance, kept.report.seen_at_ms);
        let report = kept.position;
        report.is_some_and(|report| clearance.covers(self.position, report, seen_at_ms))
    }
}

/// Returns whether a report is recent enough to count. The clocks of daemons differ a little, so a
/// report from the future counts too.
fn is_current(kept: &KeptReport, now_ms: u64) -> bool {
    let age_ms = now_ms.saturating_sub(kept.report.seen_at_ms);
    u128::from(age_ms) < REPORT_TIME.as_millis()
}
