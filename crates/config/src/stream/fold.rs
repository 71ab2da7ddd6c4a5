//! The fold of the configuration stream.
//!
//! Two sources advance a daemon: its own reads of the log, and peers that are ahead of it. They are
//! kept apart, because the outcome of a record depends on the exact state at its offset, which a
//! state received from a peer does not give. The newer of both is the current configuration, and the
//! fold compares their digests when its own reads reach the version of the peer.

use super::change::{ConfigRecord, RecordError, RecordId};
use super::mutation::Mutation;
use super::peer::AcceptedChange;
use super::snapshot::Snapshot;
use super::state::{ConfigState, Outcome, RecordOutcome};
use anvilgw_core::{LogRecord, LogSlice, Offset};
use indexmap::IndexMap;
use quick_error::quick_error;
use std::collections::VecDeque;
use std::sync::Arc;

/// Outcomes that are kept for authors and for the recognition of duplicates. At 1,200 changes a day
/// they cover about 10 hours; a lost append is repeated within seconds.
const OUTCOMES_KEPT: usize = 512;

/// Accepted changes that are kept for peers that are behind.
const CHANGES_KEPT: usize = 64;

quick_error! {
    /// Why a record cannot be folded. The fold is unchanged by it.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum FoldError {
        /// Records are missing.
        Gap(expected: Offset, found: Offset) {
            display("offset {} was expected and {} found: records are missing", expected, found)
        }
        /// The record was written by a newer version of anvilgw, which may decide differently.
        NewerFormat(offset: Offset, format: u32) {
            display("the record at offset {} has format {}, which this version cannot read", offset, format)
        }
        /// The log leads to another configuration than the one received from a peer.
        Diverged(offset: Offset, version: u64) {
            display("version {} at offset {} differs from the one received from a peer", version, offset)
        }
    }
}

/// What folding one record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The record is decided.
    Decided(RecordOutcome),
    /// A record with this identifier was decided earlier.
    Duplicate(RecordId),
    /// The payload is no record. It has no effect in any daemon.
    Unreadable(RecordError),
    /// The offset was folded earlier.
    AlreadyFolded,
}

/// State that follows from the records up to an offset and from nothing else.
#[derive(Clone, Debug)]
pub(super) struct LogPosition {
    pub(super) next_offset: Offset,
    pub(super) state: Arc<ConfigState>,
    pub(super) outcomes: IndexMap<RecordId, RecordOutcome>,
}

/// Configuration of a daemon, from the log and from peers. The current version never goes back.
#[derive(Clone, Debug)]
pub struct ConfigFold {
    /// `None` while a daemon that started from a peer has not read the log.
    pub(super) log: Option<LogPosition>,
    /// Newer configuration received from a peer.
    pub(super) ahead: Option<Arc<ConfigState>>,
    /// Changes that lead to the current version, oldest first, without gaps.
    pub(super) changes: VecDeque<AcceptedChange>,
    pub(super) mutation: Option<Mutation>,
}

impl ConfigFold {
    /// Creates the fold of a stream from its first record, offset 0.
    #[must_use]
    pub fn new() -> Self {
        Self::at(LogPosition {
            next_offset: Offset(0),
            state: Arc::default(),
            outcomes: IndexMap::new(),
        })
    }

    pub(super) fn at(position: LogPosition) -> Self {
        Self {
            log: Some(position),
            ahead: None,
            changes: VecDeque::new(),
            mutation: None,
        }
    }

    /// Creates the configuration of a daemon that has a peer's state and cannot read the log.
    /// [`Self::resync_with_log`] connects it with the log later.
    #[must_use]
    pub fn from_peer(state: ConfigState) -> Self {
        Self {
            log: None,
            ahead: Some(Arc::new(state)),
            changes: VecDeque::new(),
            mutation: None,
        }
    }

    /// Plants a fault for the model checker.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutation(mut self, mutation: Option<Mutation>) -> Self {
        self.mutation = mutation;
        self
    }

    /// The newest known configuration.
    #[must_use]
    pub fn current(&self) -> Arc<ConfigState> {
        match (&self.ahead, &self.log) {
            (Some(ahead), _) => Arc::clone(ahead),
            (None, Some(log)) => Arc::clone(&log.state),
            (None, None) => Arc::default(),
        }
    }

    /// Offset to read next. `None` until [`Self::resync_with_log`] after a start from a peer.
    #[must_use]
    pub fn next_offset(&self) -> Option<Offset> {
        self.log.as_ref().map(|log| log.next_offset)
    }

    /// Version that the daemon's own reads of the log have reached.
    #[must_use]
    pub fn log_version(&self) -> Option<u64> {
        self.log.as_ref().map(|log| log.state.version)
    }

    /// What became of a record, if its offset was reached and it is among the last 512.
    #[must_use]
    pub fn outcome(&self, record_id: RecordId) -> Option<&RecordOutcome> {
        self.log
            .as_ref()
            .and_then(|log| log.outcomes.get(&record_id))
    }

    /// The configuration for the snapshot stream. `None` before the first record.
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

    /// Folds the records of one read. What [`Self::fold`] returned is handed to `each`.
    ///
    /// # Errors
    ///
    /// [`FoldError`]; the records before the one that caused it stay folded.
    pub fn fold_slice(
        &mut self,
        slice: &LogSlice,
        mut each: impl FnMut(FoldOutcome),
    ) -> Result<(), FoldError> {
        let missing = self.next_offset().filter(|next| slice.first_offset > *next);
        if let Some(expected) = missing.filter(|_| self.mutation != Some(Mutation::GapSkipped)) {
            return Err(FoldError::Gap(expected, slice.first_offset));
        }
        slice
            .records
            .iter()
            .try_for_each(|record| self.fold(record).map(&mut each))
    }

    /// Folds one record.
    ///
    /// # Errors
    ///
    /// [`FoldError`]; the fold is unchanged.
    pub fn fold(&mut self, record: &LogRecord) -> Result<FoldOutcome, FoldError> {
        let Some(log) = &mut self.log else {
            return Err(FoldError::Gap(Offset(0), record.offset));
        };
        if record.offset < log.next_offset {
            return Ok(FoldOutcome::AlreadyFolded);
        }
        if record.offset > log.next_offset && self.mutation != Some(Mutation::GapSkipped) {
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

    fn decide(
        &mut self,
        offset: Offset,
        mut record: ConfigRecord,
    ) -> Result<RecordOutcome, FoldError> {
        let log = self.log.as_mut().expect("checked by the caller");
        let record_id = record.record_id;
        if let Some(mutation) = self.mutation {
            mutation.plant(Arc::make_mut(&mut log.state), &mut record);
        }
        let outcome = match log.state.apply_record(&record) {
            Err(rejection) => Outcome::Rejected(rejection),
            Ok(next) => {
                let version = next.version;
                let from_peer = self.ahead.as_ref().filter(|ahead| ahead.version == version);
                if from_peer.is_some_and(|ahead| ahead.digest() != next.digest()) {
                    return Err(FoldError::Diverged(offset, version));
                }
                log.state = Arc::new(next);
                self.ahead = self.ahead.take().filter(|ahead| ahead.version > version);
                if self.ahead.is_none() {
                    let digest = log.state.digest();
                    self.remember(AcceptedChange {
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
            if log.outcomes.len() >= OUTCOMES_KEPT {
                log.outcomes.shift_remove_index(0);
            }
            log.outcomes.insert(record_id, outcome.clone());
        }
        Ok(outcome)
    }

    /// Keeps an accepted change for peers that are behind.
    pub(super) fn remember(&mut self, change: AcceptedChange) {
        match self.changes.back().map(|last| last.version) {
            Some(last) if change.version <= last => return,
            Some(last) if change.version > last + 1 => self.changes.clear(),
            _ => {}
        }
        if self.changes.len() >= CHANGES_KEPT {
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
