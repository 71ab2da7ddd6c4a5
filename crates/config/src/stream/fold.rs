//! The fold of the configuration stream, which applies its records in the order of their offsets.
//!
//! A daemon receives new versions of the configuration from two sources: its own reads of the log,
//! and peers that have read further. Their states are stored separately, because the outcome of a
//! record depends on the exact state at its offset, and a state received from a peer belongs to no
//! known offset. The newer of both is the current configuration. When the daemon's own reads reach
//! the version of the peer, the fold compares the digests of both.

use super::change::{ConfigRecord, RecordError, RecordId};
use super::mutation::Flaw;
use super::peer::AcceptedChange;
use super::snapshot::Snapshot;
use super::state::{ConfigState, Outcome, RecordOutcome};
use anvilgw_core::{LogRecord, LogSlice, Offset};
use indexmap::IndexMap;
use quick_error::quick_error;
use std::collections::VecDeque;
use std::sync::Arc;

/// Number of outcomes retained for the answers to authors and for the recognition of duplicate
/// records. At 1,200 changes a day they cover about 10 hours; a lost append is repeated within
/// seconds.
const RETAINED_OUTCOMES: usize = 512;

/// Number of accepted changes retained for peers that are behind.
const RETAINED_CHANGES: usize = 64;

quick_error! {
    /// Reason why a record cannot be folded. The record leaves the fold unchanged.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum FoldError {
        /// Records between the expected offset and the offset found are missing.
        Gap(expected: Offset, found: Offset) {
            display("records are missing: expected offset {}, found offset {}", expected, found)
        }
        /// The record was written by a newer version of anvilgw, whose rules for accepting changes
        /// may differ.
        NewerFormat(offset: Offset, format: u32) {
            display("the record at offset {} has format {}, which this version cannot read", offset, format)
        }
        /// The log leads to other content of a version than a peer has sent.
        Diverged(offset: Offset, version: u64) {
            display("version {} at offset {} differs from the same version received from a peer", version, offset)
        }
    }
}

/// Effect of folding one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The change of the record was accepted or rejected.
    Decided(RecordOutcome),
    /// A record with this identifier was decided earlier; this one has no effect.
    Duplicate(RecordId),
    /// The payload cannot be decoded as a record. It has no effect in any daemon.
    Unreadable(RecordError),
    /// This offset was folded earlier.
    AlreadyFolded,
}

/// State after the records of the log below `next_offset`, independent of any peer.
#[derive(Clone, Debug)]
pub(super) struct LogState {
    pub(super) next_offset: Offset,
    pub(super) state: Arc<ConfigState>,
    pub(super) outcomes: IndexMap<RecordId, RecordOutcome>,
}

/// Configuration of a daemon, from the log and from peers. The current version never decreases.
#[derive(Clone, Debug)]
pub struct ConfigFold {
    /// State from the daemon's own reads of the log. `None` if the daemon started from a peer and
    /// has not read the log yet.
    pub(super) log: Option<LogState>,
    /// Current configuration, if it is newer than that of `log`: received from a peer, or read from
    /// the log before a resync.
    pub(super) newer_state: Option<Arc<ConfigState>>,
    /// Latest accepted changes, oldest first, without gaps between their versions.
    pub(super) changes: VecDeque<AcceptedChange>,
    pub(super) flaw: Option<Flaw>,
}

impl ConfigFold {
    /// Creates the fold of a stream that is read from its first record, offset 0.
    #[must_use]
    pub fn new() -> Self {
        Self::from_log_state(LogState {
            next_offset: Offset(0),
            state: Arc::default(),
            outcomes: IndexMap::new(),
        })
    }

    pub(super) fn from_log_state(log_state: LogState) -> Self {
        Self {
            log: Some(log_state),
            newer_state: None,
            changes: VecDeque::new(),
            flaw: None,
        }
    }

    /// Creates the fold of a daemon that has received a state from a peer and cannot read the log.
    /// [`Self::resync_with_log`] adds the state of the log later.
    #[must_use]
    pub fn from_peer(state: ConfigState) -> Self {
        Self {
            log: None,
            newer_state: Some(Arc::new(state)),
            changes: VecDeque::new(),
            flaw: None,
        }
    }

    /// Injects a fault, which the model checker has to find.
    #[doc(hidden)]
    #[must_use]
    pub fn with_flaw(mut self, flaw: Option<Flaw>) -> Self {
        self.flaw = flaw;
        self
    }

    /// Returns the newest known configuration.
    #[must_use]
    pub fn current(&self) -> Arc<ConfigState> {
        match (&self.newer_state, &self.log) {
            (Some(newer_state), _) => Arc::clone(newer_state),
            (None, Some(log)) => Arc::clone(&log.state),
            (None, None) => Arc::default(),
        }
    }

    /// Returns the offset to read next. `None` after a start from a peer, until
    /// [`Self::resync_with_log`].
    #[must_use]
    pub fn next_offset(&self) -> Option<Offset> {
        self.log.as_ref().map(|log| log.next_offset)
    }

    /// Returns the version that the daemon's own reads of the log have reached. `None` as for
    /// [`Self::next_offset`].
    #[must_use]
    pub fn log_version(&self) -> Option<u64> {
        self.log.as_ref().map(|log| log.state.version)
    }

    /// Returns the outcome of a record. `None` if the fold has not reached its offset or 512 later
    /// records were decided since.
    #[must_use]
    pub fn outcome(&self, record_id: RecordId) -> Option<&RecordOutcome> {
        self.log
            .as_ref()
            .and_then(|log| log.outcomes.get(&record_id))
    }

    /// Returns a snapshot of the state of the log. `None` before the first record and after a start
    /// from a peer.
    #[must_use]
    pub fn snapshot(&self) -> Option<Snapshot> {
        let log = self.log.as_ref()?;
        let through_offset = log.next_offset.0.checked_sub(1).map(Offset)?;
        Some(Snapshot {
            through_offset,
            state: ConfigState::clone(&log.state),
            outcomes: log.outcomes.values().cloned().collect(),
        })
    }

    /// Folds the records of one read. Calls `on_folded` with each result of [`Self::fold`].
    ///
    /// # Errors
    ///
    /// [`FoldError`] of the first record that cannot be folded; those before it remain folded.
    pub fn fold_slice(
        &mut self,
        slice: &LogSlice,
        mut on_folded: impl FnMut(FoldOutcome),
    ) -> Result<(), FoldError> {
        let gap_at = self.next_offset().filter(|next| slice.first_offset > *next);
        if let Some(expected) = gap_at.filter(|_| self.flaw != Some(Flaw::GapSkipped)) {
            return Err(FoldError::Gap(expected, slice.first_offset));
        }
        slice
            .records
            .iter()
            .try_for_each(|record| self.fold(record).map(&mut on_folded))
    }

    /// Folds one record.
    ///
    /// # Errors
    ///
    /// [`FoldError`]; the fold is then unchanged.
    pub fn fold(&mut self, record: &LogRecord) -> Result<FoldOutcome, FoldError> {
        let Some(log) = &mut self.log else {
            return Err(FoldError::Gap(Offset(0), record.offset));
        };
        if record.offset < log.next_offset {
            return Ok(FoldOutcome::AlreadyFolded);
        }
        if record.offset > log.next_offset && self.flaw != Some(Flaw::GapSkipped) {
            return Err(FoldError::Gap(log.next_offset, record.offset));
        }
        let decoded = match ConfigRecord::decode(&record.payload) {
            Err(RecordError::NewerFormat(format)) => {
                return Err(FoldError::NewerFormat(record.offset, format));
            }
            decoded => decoded,
        };
        let folded = match decoded {
            Err(error) => FoldOutcome::Unreadable(error),
            Ok(decoded) if log.outcomes.contains_key(&decoded.record_id) => {
                FoldOutcome::Duplicate(decoded.record_id)
            }
            Ok(decoded) => FoldOutcome::Decided(self.decide(record.offset, decoded)?),
        };
        if let Some(log) = &mut self.log {
            log.next_offset = Offset(record.offset.0 + 1);
        }
        Ok(folded)
    }

    /// Accepts or rejects the change of a record that is no duplicate.
    fn decide(
        &mut self,
        offset: Offset,
        mut record: ConfigRecord,
    ) -> Result<RecordOutcome, FoldError> {
        let log = self
            .log
            .as_mut()
            .expect("the caller has checked that the log state is set");
        let record_id = record.record_id;
        if let Some(flaw) = self.flaw {
            flaw.alter_inputs(Arc::make_mut(&mut log.state), &mut record);
        }
        let outcome = match log.state.apply_record(&record) {
            Err(rejection) => Outcome::Rejected(rejection),
            Ok(next) => {
                let version = next.version;
                let same_version = self
                    .newer_state
                    .as_ref()
                    .filter(|newer_state| newer_state.version == version);
                if same_version.is_some_and(|newer_state| newer_state.digest() != next.digest()) {
                    return Err(FoldError::Diverged(offset, version));
                }
                log.state = Arc::new(next);
                self.newer_state = self
                    .newer_state
                    .take()
                    .filter(|newer_state| newer_state.version > version);
                if self.newer_state.is_none() {
                    let digest = log.state.digest();
                    self.retain_change(AcceptedChange {
                        version,
                        digest,
                        record,
                    });
                }
                Outcome::Accepted { version }
            }
        };
        let outcome = RecordOutcome {
            record_id,
            offset,
            outcome,
        };
        if let Some(log) = &mut self.log {
            if log.outcomes.len() >= RETAINED_OUTCOMES {
                log.outcomes.shift_remove_index(0);
            }
            log.outcomes.insert(record_id, outcome.clone());
        }
        Ok(outcome)
    }

    /// Retains an accepted change for peers that are behind. After a gap in the versions the
    /// earlier changes are dropped.
    pub(super) fn retain_change(&mut self, change: AcceptedChange) {
        match self.changes.back().map(|last| last.version) {
            Some(last) if change.version <= last => return,
            Some(last) if change.version > last + 1 => self.changes.clear(),
            _ => {}
        }
        if self.changes.len() >= RETAINED_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }
}

impl Default for ConfigFold {
    fn default() -> Self {
        Self::new()
    }
}
