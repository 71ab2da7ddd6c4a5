//! Start of the fold from the newest valid snapshot and the records after it.

use super::fold::{ConfigFold, LogState};
use super::mutation::Flaw;
use super::snapshot::{Snapshot, SnapshotError};
use anvilgw_core::{LogRecord, Offset};
use quick_error::quick_error;
use std::sync::Arc;

quick_error! {
    /// Reason why the configuration cannot be rebuilt from the log.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum BootstrapError {
        /// There is no valid snapshot, and the log no longer retains the first records of the
        /// stream.
        HistoryMissing(first_offset: Offset, invalid_snapshots: usize) {
            display("there is no valid snapshot ({} are invalid), and the log no longer retains records below offset {}", invalid_snapshots, first_offset)
        }
        /// Records between the newest valid snapshot and the oldest retained record are missing.
        Gap(through_offset: Offset, first_offset: Offset) {
            display("the newest valid snapshot ends at offset {}, but the oldest retained record has offset {}", through_offset, first_offset)
        }
        /// The newest valid snapshot has the current version, but with other content.
        Diverged(version: u64) {
            display("version {} in the snapshot differs from the same version in use", version)
        }
    }
}

/// Selects the newest of the snapshots read from the log, from which a fold starts.
#[derive(Clone, Debug, Default)]
pub struct Bootstrap {
    newest: Option<Snapshot>,
    invalid_snapshots: usize,
    flaw: Option<Flaw>,
}

impl Bootstrap {
    /// Creates a bootstrap without a snapshot, which starts at the first record of the stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Injects a fault, which the model checker has to find.
    #[doc(hidden)]
    #[must_use]
    pub fn with_flaw(mut self, flaw: Option<Flaw>) -> Self {
        self.flaw = flaw;
        self
    }

    /// Adds a record of the `config-snapshot` stream. An invalid snapshot is counted and otherwise
    /// ignored, since an older valid one serves as well.
    ///
    /// # Errors
    ///
    /// [`SnapshotError`] if the snapshot is invalid; the bootstrap remains usable.
    pub fn add_snapshot(&mut self, record: &LogRecord) -> Result<(), SnapshotError> {
        let decoded = match self.flaw {
            Some(Flaw::SnapshotUnchecked) => {
                Snapshot::decode_unverified(&record.payload).map(|(snapshot, _)| snapshot)
            }
            _ => Snapshot::decode(&record.payload),
        };
        let snapshot = decoded.inspect_err(|_| self.invalid_snapshots += 1)?;
        let newest = self.newest.as_ref().map(|newest| newest.through_offset);
        if newest.is_none_or(|newest| newest < snapshot.through_offset) {
            self.newest = Some(snapshot);
        }
        Ok(())
    }

    /// Returns the offset from which to read the `config` stream: after the newest snapshot, or 0.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.newest
            .as_ref()
            .map_or(Offset(0), |snapshot| Offset(snapshot.through_offset.0 + 1))
    }

    /// Creates the fold. `first_offset` is the offset of the oldest record that the `config` stream
    /// retains.
    ///
    /// # Errors
    ///
    /// [`BootstrapError`] if records between the snapshot and that offset are missing.
    pub fn start(self, first_offset: Offset) -> Result<ConfigFold, BootstrapError> {
        let flaw = self.flaw;
        self.log_state(first_offset)
            .map(|log_state| ConfigFold::from_log_state(log_state).with_flaw(flaw))
    }

    fn log_state(self, first_offset: Offset) -> Result<LogState, BootstrapError> {
        let next_offset = self.next_offset();
        match self.newest {
            None if first_offset > next_offset => Err(BootstrapError::HistoryMissing(
                first_offset,
                self.invalid_snapshots,
            )),
            Some(snapshot) if first_offset > next_offset => {
                Err(BootstrapError::Gap(snapshot.through_offset, first_offset))
            }
            newest => {
                let (state, outcomes) = newest
                    .map(|snapshot| (snapshot.state, snapshot.outcomes))
                    .unwrap_or_default();
                Ok(LogState {
                    next_offset,
                    state: Arc::new(state),
                    outcomes: outcomes
                        .into_iter()
                        .map(|outcome| (outcome.record_id, outcome))
                        .collect(),
                })
            }
        }
    }
}

impl ConfigFold {
    /// Replaces the state that the fold has read from the log by that of a bootstrap: after a start
    /// from a peer, or when the log no longer retains the records that the fold needs next. The
    /// current version does not decrease; if the bootstrap is behind it, the fold catches up with
    /// the records that follow.
    ///
    /// # Errors
    ///
    /// [`BootstrapError`]; the fold is then unchanged.
    pub fn resync_with_log(
        &mut self,
        bootstrap: Bootstrap,
        first_offset: Offset,
    ) -> Result<(), BootstrapError> {
        let log_state = bootstrap.log_state(first_offset)?;
        let current = self.current();
        let version = log_state.state.version;
        if version == current.version && log_state.state.digest() != current.digest() {
            return Err(BootstrapError::Diverged(version));
        }
        self.newer_state = (version < current.version).then_some(current);
        self.log = Some(log_state);
        Ok(())
    }
}
