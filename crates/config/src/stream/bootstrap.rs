//! Start of a daemon from the newest good snapshot and the records after it.

use super::fold::{ConfigFold, LogPosition};
use super::mutation::Mutation;
use super::snapshot::{Snapshot, SnapshotError};
use anvilgw_core::{LogRecord, Offset};
use quick_error::quick_error;
use std::sync::Arc;

quick_error! {
    /// Why the configuration cannot be rebuilt from the log.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum BootstrapError {
        /// There is no good snapshot and the first records of the stream are gone.
        HistoryMissing(first_offset: Offset, bad_snapshots: usize) {
            display("no good snapshot ({} bad ones) and records below offset {} are gone", bad_snapshots, first_offset)
        }
        /// Records between the newest good snapshot and the oldest retained record are gone.
        Gap(through_offset: Offset, first_offset: Offset) {
            display("the newest good snapshot ends at offset {} and the oldest record is {}", through_offset, first_offset)
        }
        /// The newest good snapshot has the current version with another content.
        Diverged(version: u64) {
            display("version {} of the snapshot differs from the one in use", version)
        }
    }
}

/// Collects snapshots and decides where the fold starts.
#[derive(Clone, Debug, Default)]
pub struct Bootstrap {
    newest: Option<Snapshot>,
    bad_snapshots: usize,
    mutation: Option<Mutation>,
}

impl Bootstrap {
    /// Creates a bootstrap that has seen no snapshot.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Plants a fault for the model checker.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutation(mut self, mutation: Option<Mutation>) -> Self {
        self.mutation = mutation;
        self
    }

    /// Looks at a record of the `config-snapshot` stream. A damaged one is counted and otherwise
    /// ignored, since an older good one serves as well.
    ///
    /// # Errors
    ///
    /// [`SnapshotError`] for the log; the bootstrap can go on.
    pub fn add_snapshot(&mut self, record: &LogRecord) -> Result<(), SnapshotError> {
        let decoded = match self.mutation {
            Some(Mutation::SnapshotUnchecked) => {
                Snapshot::parse(&record.payload).map(|(any, _)| any)
            }
            _ => Snapshot::decode(&record.payload),
        };
        let snapshot = decoded.inspect_err(|_| self.bad_snapshots += 1)?;
        let newest = self.newest.as_ref().map(|newest| newest.through_offset);
        if newest.is_none_or(|newest| newest < snapshot.through_offset) {
            self.newest = Some(snapshot);
        }
        Ok(())
    }

    /// Offset of the `config` stream to read from.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.newest
            .as_ref()
            .map_or(Offset(0), |snapshot| Offset(snapshot.through_offset.0 + 1))
    }

    /// Starts the fold, given the offset of the oldest record that the `config` stream retains.
    ///
    /// # Errors
    ///
    /// [`BootstrapError`] if records between the snapshot and that offset are gone.
    pub fn start(self, first_offset: Offset) -> Result<ConfigFold, BootstrapError> {
        let mutation = self.mutation;
        self.position(first_offset)
            .map(|position| ConfigFold::at(position).with_mutation(mutation))
    }

    fn position(self, first_offset: Offset) -> Result<LogPosition, BootstrapError> {
        let next_offset = self.next_offset();
        match self.newest {
            None if first_offset > next_offset => Err(BootstrapError::HistoryMissing(
                first_offset,
                self.bad_snapshots,
            )),
            Some(snapshot) if first_offset > next_offset => {
                Err(BootstrapError::Gap(snapshot.through_offset, first_offset))
            }
            newest => {
                let (state, outcomes) = newest
                    .map(|snapshot| (snapshot.state, snapshot.outcomes))
                    .unwrap_or_default();
                Ok(LogPosition {
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
    /// Connects the fold with the log anew: after a start from a peer, or when the records it needs
    /// next are gone. The current version does not go back; a position in the log that is behind it
    /// catches up by reading.
    ///
    /// # Errors
    ///
    /// [`BootstrapError`]; the fold is unchanged.
    pub fn resync_with_log(
        &mut self,
        bootstrap: Bootstrap,
        first_offset: Offset,
    ) -> Result<(), BootstrapError> {
        let position = bootstrap.position(first_offset)?;
        let current = self.current();
        let version = position.state.version;
        if version == current.version && position.state.digest() != current.digest() {
            return Err(BootstrapError::Diverged(version));
        }
        self.ahead = (version < current.version).then_some(current);
        self.log = Some(position);
        Ok(())
    }
}
