//! One daemon's view of the quarantine, and what it contributes to the fleet's evidence.

use crate::attribution::{Attribution, ENDS_TO_CLEAR, QuarantinedParts, attribute, count_ends};
use crate::completions::{AnswerCount, Completions};
use crate::missing::MissingRecords;
use crate::record::{
    Clearance, EndReport, Issued, KeyedRecord, Record, RecordKey, SUSPECTS_MAX, Trial,
};
use crate::table::EvidenceTable;
use crate::{PartKey, ServerStart, Suspect, WorkspaceKey, mixed};
use anvilgw_core::log_position::{LogPosition, StoreEpoch};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Time from the end that is one too many until a part is quarantined. Meanwhile daemons that know
/// the part to be sound say so.
pub const OBJECTION_TIME: Duration = Duration::from_millis(800);
/// Time from the last end under a quarantined part until the first trial. Each further trial waits
/// twice as long as the one before.
pub const COOLDOWN: Duration = Duration::from_secs(120);
/// Longest time between two trials.
pub const COOLDOWN_MAX: Duration = Duration::from_secs(4 * 3600);
/// Time for which the outcome of a trial is awaited before a request of a workspace for which the
/// part is not quarantined may be the next one.
const TRIAL_TIME: Duration = Duration::from_secs(5);
/// Time after an end during which a request that loses its server is not sent to another one if it
/// has a part under which that other server ended.
const NO_REPEAT_TIME: Duration = Duration::from_secs(30);
/// Time for which an attribution is used. Parts that got a whole answer are left out of it, and
/// that changes with time.
const ATTRIBUTION_TIME: Duration = Duration::from_secs(1);
/// Minimum time between two clearances of one part by this daemon.
const CLEARANCE_PAUSE: Duration = Duration::from_millis(300);
/// Number of daemons, on average, that clear a part at once.
const FIRST_CLEARANCES: u64 = 16;
/// Time after which the others clear it too.
const SECOND_CLEARANCES_AFTER: Duration = Duration::from_millis(350);
/// Minimum time between two attempts of this daemon to claim a trial.
const CLAIM_PAUSE: Duration = Duration::from_secs(1);
/// Maximum number of reports that wait to be stored.
const OUTBOX_MAX: usize = 64;
/// Maximum number of records in one append.
const APPEND_RECORDS_MAX: usize = 64;
/// Maximum number of obsolete records that one append removes.
const REMOVALS_MAX: usize = 32;

/// The current time on both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Times {
    /// Time since an arbitrary moment; never goes back.
    pub uptime: Duration,
    /// Unix milliseconds, comparable between daemons within seconds.
    pub wall_ms: u64,
}

/// Requests with prompts that one daemon lost at the end of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRequests {
    /// The start of the server that ended.
    pub server: ServerStart,
    /// Number of requests.
    pub count: u32,
    /// Shared parts of their prompts.
    pub suspects: Vec<Suspect>,
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Allowed,
    /// It has a quarantined part.
    Refused {
        /// Time until the next trial of the part.
        retry_after: Duration,
    },
    /// It has a quarantined part whose next trial is due. The request may be sent once the trial
    /// was claimed.
    TrialDue(PartKey),
}

/// Change of the quarantine, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Parts are quarantined now.
    Quarantined(QuarantinedParts),
    /// Parts are no longer quarantined.
    Released(Vec<PartKey>),
}

/// State of the quarantine at one daemon.
#[derive(Clone, Debug)]
pub struct Quarantine {
    table: EvidenceTable,
    completions: Completions,
    answers: AnswerCount,
    attribution: Attribution,
    /// When the attribution was made, or `None` if the evidence has changed since.
    attributed_at: Option<Duration>,
    /// When this daemon first attributed enough ends to parts.
    quarantined_since: IndexMap<Vec<PartKey>, Duration>,
    changes: Vec<QuarantineChange>,
    /// Random number of this daemon in the keys of its reports.
    reporter: u64,
    reports_made: u32,
    /// Own reports that are not stored yet.
    outbox: IndexMap<RecordKey, EndReport>,
    /// Other records that the restored store does not contain.
    missing: MissingRecords,
    cleared_at: IndexMap<PartKey, Duration>,
    /// Since when this daemon could clear parts that are not cleared yet.
    clearable_since: IndexMap<PartKey, Duration>,
    /// Number of daemons in the fleet.
    fleet_size: u64,
    claimed_at: Option<Duration>,
}

impl Quarantine {
    /// Creates the view of a daemon that has read nothing. `reporter` is a random number that tells
    /// its reports from those of others.
    #[must_use]
    pub fn new(reporter: u64) -> Self {
        Self {
            table: EvidenceTable::default(),
            completions: Completions::default(),
            answers: AnswerCount::default(),
            attribution: Attribution::default(),
            attributed_at: None,
            quarantined_since: IndexMap::new(),
            changes: Vec::new(),
            reporter,
            reports_made: 0,
            outbox: IndexMap::new(),
            missing: MissingRecords::default(),
            cleared_at: IndexMap::new(),
            clearable_since: IndexMap::new(),
            fleet_size: 1,
            claimed_at: None,
        }
    }

    /// Returns the records that this daemon has read.
    #[must_use]
    pub fn table(&self) -> &EvidenceTable {
        &self.table
    }

    /// Replaces all records that were read by a complete listing of key, record and offset.
    ///
    /// In a new epoch the store was restored from an older copy. What this daemon has read a short
    /// time ago and the copy lacks stays in force, and is stored again.
    pub fn on_listing(
        &mut self,
        records: impl IntoIterator<Item = (KeyedRecord, u64)>,
        next: LogPosition,
        now: Duration,
    ) {
        let is_restored = next.epoch != self.table.next().epoch;
        if is_restored {
            self.table.retain_newest(now);
        } else {
            let missing = &self.missing;
            self.table.clear_stored(|key| missing.contains(&key));
        }
        self.table.set_next(next);
        for (record, offset) in records {
            let key = record.key;
            if self.table.apply_listed(record, offset, now) {
                self.outbox.shift_remove(&key);
                self.missing.remove(&key);
            }
        }
        if is_restored {
            self.store_unlisted(now);
        }
        self.attributed_at = None;
    }

    /// Prepares to store again what the restored store lacks: own reports at once, other records
    /// unless another daemon does.
    fn store_unlisted(&mut self, now: Duration) {
        let mut missing = Vec::new();
        for key in self.table.unlisted_keys() {
            let is_own =
                matches!(key, RecordKey::End { reporter, .. } if reporter == self.reporter);
            match self.table.report(key).filter(|_| is_own).cloned() {
                Some(report) => self.queue(key, report),
                None => missing.push(key),
            }
        }
        self.missing.set(missing, now);
    }

    /// Applies a record that was read at `offset`, in the epoch of the last listing.
    pub fn on_record(&mut self, record: KeyedRecord, offset: u64, now: Duration) {
        self.outbox.shift_remove(&record.key);
        self.missing.remove(&record.key);
        self.table.apply(record, offset, now);
        self.attributed_at = None;
    }

    /// Records that the log was read up to `next_offset`, in the epoch of the last listing.
    pub fn on_read(&mut self, next_offset: u64) {
        let epoch = self.table.next().epoch;
        self.table.set_next(LogPosition {
            epoch,
            offset: next_offset,
        });
    }

    /// Records the end of a server at which prompts were in flight.
    pub fn on_server_ended(&mut self, lost: &LostRequests, times: Times) {
        let (server, suspects) = (lost.server, lost.suspects.as_slice());
        let accused = self.accused(server, suspects, times.uptime);
        if accused.is_empty() {
            return;
        }
        let key = RecordKey::End {
            server,
            reporter: self.reporter,
            number: self.reports_made,
        };
        self.reports_made += 1;
        let report = EndReport {
            server,
            seen_at_ms: times.wall_ms,
            lost: lost.count,
            completed: self.answers.take(times.uptime),
            suspects: accused,
        };
        self.queue(key, report.clone());
        self.table.add_own(key, report, times.uptime);
        self.attributed_at = None;
    }

    fn queue(&mut self, key: RecordKey, report: EndReport) {
        if self.outbox.len() >= OUTBOX_MAX {
            self.outbox.shift_remove_index(0);
        }
        self.outbox.insert(key, report);
    }

    /// Returns the suspects to report: all that are not known to be sound. If there are too many,
    /// each workspace gets an equal part, and parts that are suspected already come first. The
    /// choice among the others differs from end to end, so that a part cannot hide among many.
    fn accused(&self, server: ServerStart, suspects: &[Suspect], now: Duration) -> Vec<Suspect> {
        let unsound: IndexSet<Suspect> = suspects
            .iter()
            .copied()
            .filter(|suspect| !self.completions.has_recent(suspect.part, now))
            .collect();
        let mut by_workspace: IndexMap<WorkspaceKey, Vec<Suspect>> = IndexMap::new();
        for suspect in unsound {
            by_workspace
                .entry(suspect.workspace)
                .or_default()
                .push(suspect);
        }
        for list in by_workspace.values_mut() {
            list.sort_by_cached_key(|suspect| {
                (
                    !self.is_accused(suspect.part),
                    mixed(suspect.part.0 ^ server.0),
                )
            });
        }
        let longest = by_workspace.values().map(Vec::len).max().unwrap_or(0);
        let by_rank = (0..longest).flat_map(|rank| {
            by_workspace
                .values()
                .filter_map(move |list| list.get(rank).copied())
        });
        by_rank.take(SUSPECTS_MAX).collect()
    }

    /// Records that a request with these parts got a whole answer. Returns whether servers ended
    /// under one of them, so that there may be something to append.
    pub fn on_completed(&mut self, suspects: &[Suspect], now: Duration) -> bool {
        self.answers.on_answer();
        for suspect in suspects.iter().take(SUSPECTS_MAX) {
            self.completions.on_completed(*suspect, now);
            if !self.table.is_empty() {
                self.table.clear_unstored(suspect.part);
            }
        }
        let is_accused = suspects.iter().any(|suspect| self.is_accused(suspect.part));
        if is_accused {
            self.attributed_at = None;
        }
        is_accused
    }

    /// Records that servers get new weights, on which parts that were sound may end them.
    pub fn on_new_weights(&mut self) {
        self.completions.clear();
        self.attributed_at = None;
    }

    /// Returns whether servers ended under a part, as far as is known.
    fn is_accused(&self, part: PartKey) -> bool {
        let mut quarantined = self.attribution.quarantined.iter();
        self.attribution.suspected.contains_key(&part)
            || quarantined.any(|found| found.parts.contains(&part))
    }

    /// Decides whether a request with these parts may be sent to a server.
    pub fn admit(&mut self, suspects: &[Suspect], times: Times) -> Admission {
        if self.table.is_empty() {
            return Admission::Allowed;
        }
        self.refresh(times);
        let last_due = self
            .attribution
            .quarantined
            .iter()
            .filter(|found| found.are_in(suspects) && self.is_in_force(found, times))
            .filter_map(|found| {
                let due_in = if found.concerns(suspects) {
                    self.trial_due_in(found, times)
                } else {
                    self.first_trial_due_in(found, times)
                };
                Some((due_in, *found.parts.first()?))
            })
            .max();
        match last_due {
            None => Admission::Allowed,
            Some((due_in, part)) if due_in.is_zero() => self.admit_trial(part, times),
            Some((due_in, _)) => Admission::Refused {
                retry_after: due_in,
            },
        }
    }

    fn admit_trial(&self, part: PartKey, times: Times) -> Admission {
        let next_claim = self.claimed_at.map(|at| at + CLAIM_PAUSE);
        let pause = next_claim.map_or(Duration::ZERO, |at| at.saturating_sub(times.uptime));
        if pause.is_zero() {
            Admission::TrialDue(part)
        } else {
            Admission::Refused { retry_after: pause }
        }
    }

    /// Returns whether other daemons have had the time to state that the parts are sound.
    fn is_in_force(&self, found: &QuarantinedParts, times: Times) -> bool {
        let since = self.quarantined_since.get(&found.parts);
        let is_noticed = since.is_some_and(|since| times.uptime >= *since + OBJECTION_TIME);
        let objection_end_ms = found.reached_at_ms + 2 * OBJECTION_TIME.as_millis() as u64;
        is_noticed || times.wall_ms >= objection_end_ms
    }

    /// Returns the time until the next trial of quarantined parts.
    fn trial_due_in(&self, found: &QuarantinedParts, times: Times) -> Duration {
        let trial = found.parts.first().and_then(|part| self.table.trial(*part));
        let trials = trial.map_or(0, |trial| trial.count);
        let from_ms = trial.map_or(0, |trial| trial.at_ms).max(found.last_end_ms);
        let cooldown = COOLDOWN
            .saturating_mul(1 << trials.min(16))
            .min(COOLDOWN_MAX);
        let due_at_ms = from_ms + cooldown.as_millis() as u64;
        // A record from a clock that is far ahead must not extend the cooldown.
        Duration::from_millis(due_at_ms.saturating_sub(times.wall_ms)).min(COOLDOWN_MAX)
    }

    /// Returns the time until the next trial by a workspace for which the parts are not quarantined.
    /// It need not wait, as the parts may be sound in its requests, but only one request at a time may
    /// end a server.
    fn first_trial_due_in(&self, found: &QuarantinedParts, times: Times) -> Duration {
        let trial = found.parts.first().and_then(|part| self.table.trial(*part));
        let Some(trial) = trial.filter(|trial| trial.at_ms > found.last_end_ms) else {
            return Duration::ZERO;
        };
        let due_at_ms = trial.at_ms + TRIAL_TIME.as_millis() as u64;
        Duration::from_millis(due_at_ms.saturating_sub(times.wall_ms)).min(TRIAL_TIME)
    }

    /// Starts to claim the trial of a part. Returns the record with the position at which the log
    /// has to end for the claim to succeed.
    pub fn claim_trial(&mut self, part: PartKey, times: Times) -> (KeyedRecord, LogPosition) {
        self.claimed_at = Some(times.uptime);
        let count = self.table.trial(part).map_or(0, |trial| trial.count);
        let trial = Trial {
            count: count.saturating_add(1),
            at_ms: times.wall_ms,
        };
        let record = KeyedRecord {
            key: RecordKey::Trial(part),
            record: Some(Record::Trial(trial)),
        };
        (record, self.table.next())
    }

    /// Applies a claim of a trial that was stored at a position, and returns whether the trial may be
    /// made. `at` is the position that [`Self::claim_trial`] returned.
    ///
    /// A store that was restored meanwhile may accept the claim at an offset of another epoch,
    /// although it contains a claim of another daemon, or may have lost the claim already.
    pub fn on_claim_stored(
        &mut self,
        claimed: &KeyedRecord,
        at: LogPosition,
        stored: LogPosition,
        now: Duration,
    ) -> bool {
        if stored != at || at.epoch != self.table.next().epoch {
            return false;
        }
        if let (RecordKey::Trial(part), Some(Record::Trial(trial))) = (claimed.key, &claimed.record)
        {
            self.table.set_trial(part, *trial, stored, now);
        }
        true
    }

    /// Returns whether a request whose server ended may be sent to another one. Not if another
    /// server has ended under one of its parts a short time ago.
    pub fn may_repeat(&mut self, suspects: &[Suspect], times: Times) -> bool {
        if self.table.is_empty() {
            return true;
        }
        self.refresh(times);
        let is_recent = |last_end_ms: u64| {
            let age_ms = times.wall_ms.saturating_sub(last_end_ms);
            u128::from(age_ms) < NO_REPEAT_TIME.as_millis()
        };
        let is_suspected = |suspect: &Suspect| {
            let found = self.attribution.suspected.get(&suspect.part);
            found.is_some_and(|found| is_recent(found.last_end_ms))
                && !self.completions.has_recent(suspect.part, times.uptime)
        };
        let mut quarantined = self.attribution.quarantined.iter();
        !suspects.iter().any(is_suspected) && !quarantined.any(|found| found.are_in(suspects))
    }

    /// Returns whether there is something to append.
    #[must_use]
    pub fn has_outgoing(&mut self, times: Times) -> bool {
        !self.outbox.is_empty()
            || !self.due_missing(times).is_empty()
            || !self.due_clearances(times).is_empty()
    }

    /// Returns the records to append: own reports, records that the restored store lacks, clearances of
    /// parts that are sound, and removals of obsolete records. Reports are returned again until they were read, or
    /// [`Self::on_appended`] was called.
    pub fn outgoing(&mut self, times: Times) -> Vec<KeyedRecord> {
        let reports = self.outbox.iter().map(|(key, report)| KeyedRecord {
            key: *key,
            record: Some(Record::End(report.clone())),
        });
        let mut records: Vec<KeyedRecord> = reports.collect();
        records.extend(self.take_due_missing(times));
        let clearance = self.clearance(times);
        for part in self.due_clearances(times) {
            self.cleared_at.insert(part, times.uptime);
            records.push(KeyedRecord {
                key: RecordKey::Cleared(part),
                record: Some(Record::Cleared(clearance)),
            });
        }
        records.truncate(APPEND_RECORDS_MAX);
        if !records.is_empty() {
            let obsolete = self.table.obsolete_keys(times.wall_ms, REMOVALS_MAX);
            records.extend(
                obsolete
                    .into_iter()
                    .map(|key| KeyedRecord { key, record: None }),
            );
        }
        records
    }

    /// Returns a clearance that concerns all reports that this daemon has read.
    fn clearance(&self, times: Times) -> Clearance {
        let next = self.table.next();
        let issued = Issued {
            epoch: next.epoch,
            at_ms: times.wall_ms,
        };
        Clearance {
            before_offset: next.offset,
            issued: Some(issued),
        }
    }

    /// Returns missing records of others that this daemon stores now. Those that no longer count are
    /// forgotten.
    fn take_due_missing(&mut self, times: Times) -> Vec<KeyedRecord> {
        let mut records = Vec::new();
        for key in self.due_missing(times) {
            match self.table.record_to_store(key, times.wall_ms) {
                Some(record) => records.push(record),
                None => {
                    self.missing.remove(&key);
                    self.table.forget(key);
                }
            }
        }
        records
    }

    fn due_missing(&self, times: Times) -> Vec<RecordKey> {
        let (reporter, now) = (self.reporter, times.uptime);
        self.missing.due(reporter, self.fleet_size, now)
    }

    /// Records that these records were stored in an epoch. Those of an earlier epoch than that of the
    /// last listing may be lost.
    pub fn on_appended(&mut self, records: &[KeyedRecord], epoch: StoreEpoch) {
        if epoch < self.table.next().epoch {
            return;
        }
        for record in records {
            self.outbox.shift_remove(&record.key);
            self.missing.remove(&record.key);
        }
    }

    /// Returns the parts that are suspected although this daemon knows them to be sound. In a large
    /// fleet many daemons may know it; a few of them say so at once, the others only if that did not
    /// help.
    fn due_clearances(&mut self, times: Times) -> Vec<PartKey> {
        if self.table.is_empty() {
            self.cleared_at.clear();
            self.clearable_since.clear();
            return Vec::new();
        }
        self.cleared_at
            .retain(|_, at| times.uptime < *at + CLEARANCE_PAUSE);
        let counts = count_ends(&self.table.evidence(times.wall_ms));
        let clearable: IndexSet<PartKey> = counts
            .into_iter()
            .filter(|(part, ends)| {
                *ends >= ENDS_TO_CLEAR
                    && !self.cleared_at.contains_key(part)
                    && self.completions.has_recent(*part, times.uptime)
            })
            .map(|(part, _)| part)
            .collect();
        self.clearable_since
            .retain(|part, _| clearable.contains(part));
        let (reporter, fleet_size) = (self.reporter, self.fleet_size.max(1));
        let is_first = |part: PartKey| mixed(part.0 ^ reporter) % fleet_size < FIRST_CLEARANCES;
        let since = &mut self.clearable_since;
        let is_due = |part: &PartKey| {
            let since = *since.entry(*part).or_insert(times.uptime);
            is_first(*part) || times.uptime >= since + SECOND_CLEARANCES_AFTER
        };
        clearable.into_iter().filter(is_due).collect()
    }

    /// Returns whether this daemon waits for other daemons to state that a part is sound, or to store
    /// records that the restored store lacks.
    #[must_use]
    pub fn awaits_records(&self) -> bool {
        !self.clearable_since.is_empty() || !self.missing.is_empty()
    }

    /// Sets the number of daemons in the fleet.
    pub fn set_fleet_size(&mut self, daemons: u64) {
        self.fleet_size = daemons;
    }

    /// Returns what has changed since the last call.
    pub fn take_changes(&mut self, times: Times) -> Vec<QuarantineChange> {
        self.refresh(times);
        std::mem::take(&mut self.changes)
    }

    fn refresh(&mut self, times: Times) {
        let is_current = |at: Duration| times.uptime < at + ATTRIBUTION_TIME;
        if self.attributed_at.is_some_and(is_current) {
            return;
        }
        self.attributed_at = Some(times.uptime);
        let evidence = self.table.evidence(times.wall_ms);
        let completions = &self.completions;
        self.attribution = attribute(&evidence, |part| completions.has_recent(part, times.uptime));
        self.update_quarantined(times.uptime);
    }

    fn update_quarantined(&mut self, now: Duration) {
        let quarantined = &self.attribution.quarantined;
        let changes = &mut self.changes;
        self.quarantined_since.retain(|parts, _| {
            let is_kept = quarantined.iter().any(|found| found.parts == *parts);
            if !is_kept {
                changes.push(QuarantineChange::Released(parts.clone()));
            }
            is_kept
        });
        for found in quarantined {
            if !self.quarantined_since.contains_key(&found.parts) {
                self.quarantined_since.insert(found.parts.clone(), now);
                changes.push(QuarantineChange::Quarantined(found.clone()));
            }
        }
    }
}
