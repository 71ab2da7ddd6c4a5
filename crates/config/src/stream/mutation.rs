//! Faults that the model checker injects into the fold.

use super::change::ConfigRecord;
use super::state::ConfigState;

/// Fault that the model checker injects to show that it would find it. It is never set in a running
/// daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Flaw {
    /// Of several records that expect the same version the last one is accepted instead of the
    /// first.
    LastChangeWins,
    /// A record is accepted whichever version it expects.
    VersionUnchecked,
    /// A gap in the offsets is skipped instead of being an error.
    GapSkipped,
    /// A snapshot is used although its digest is wrong.
    SnapshotUnchecked,
    /// An update from a peer is applied although it is older than the current version.
    OlderUpdateApplied,
}

impl Flaw {
    /// Alters the inputs of the acceptance check: the state before a record, and the record.
    pub(super) fn alter_inputs(self, state: &mut ConfigState, record: &mut ConfigRecord) {
        match self {
            Self::LastChangeWins => state.version = state.version.min(record.expected_version),
            Self::VersionUnchecked => record.expected_version = state.version,
            Self::GapSkipped | Self::SnapshotUnchecked | Self::OlderUpdateApplied => {}
        }
    }
}
