//! Deliberate faults for the model checker.

use super::change::ConfigRecord;
use super::state::ConfigState;

/// A fault that the model checker plants to show that it would be found. Nothing else sets one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// Of the records that expect one version the last wins instead of the first.
    LastChangeWins,
    /// A record is accepted whatever version it expects.
    VersionUnchecked,
    /// Missing records are skipped.
    GapSkipped,
    /// A snapshot is used without a check of its digest.
    SnapshotUnchecked,
    /// An update from a peer is applied although it is older.
    OlderUpdateApplied,
}

impl Mutation {
    /// Alters what the fold compares: the state before a record, and the record.
    pub(super) fn plant(self, state: &mut ConfigState, record: &mut ConfigRecord) {
        match self {
            Self::LastChangeWins => state.version = state.version.min(record.expected_version),
            Self::VersionUnchecked => record.expected_version = state.version,
            Self::GapSkipped | Self::SnapshotUnchecked | Self::OlderUpdateApplied => {}
        }
    }
}
