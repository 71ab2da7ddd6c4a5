//! Where and when the records of a log were read.

use crate::log::OriginFields;
use crate::log_position::LogPosition;
use std::net::SocketAddr;
use std::time::Duration;

/// Source, position and time of a read of the metadata store or of a leader's copy.
#[derive(Clone, Debug)]
pub(crate) struct ReadOrigin {
    /// Position after the last record, where the next read starts.
    pub(crate) next: LogPosition,
    /// Time at which the log was known to end after these records, or slightly before. Zero if
    /// there are newer ones.
    pub(crate) verified_at: Duration,
    /// Time at which the store is known to have served the read, or the one of the other daemon.
    pub(crate) served_at: Duration,
    source: String,
}

impl ReadOrigin {
    /// Creates the origin of records that were read from the metadata store, which answered at
    /// `answered_at`.
    pub(crate) fn store(next: LogPosition, verified_at: Duration, answered_at: Duration) -> Self {
        Self {
            next,
            verified_at,
            served_at: answered_at,
            source: "store".to_owned(),
        }
    }

    /// Creates the origin of records that were read from the copy of another daemon.
    pub(crate) fn copy(daemon: SocketAddr, next: LogPosition, verified_at: Duration) -> Self {
        Self {
            next,
            verified_at,
            served_at: verified_at,
            source: daemon.to_string(),
        }
    }

    /// Returns whether the log ended after these records.
    pub(crate) fn is_complete(&self) -> bool {
        !self.verified_at.is_zero()
    }

    /// Returns the time since the log was known to end after these records, or `None` if there were
    /// newer ones.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        self.is_complete()
            .then(|| now.saturating_sub(self.verified_at))
    }

    /// Returns the fields of log lines.
    pub(crate) fn fields(&self, now: Duration) -> OriginFields<'_> {
        OriginFields {
            epoch: self.next.epoch.0,
            offset: self.next.offset,
            source: &self.source,
            age_ms: self.age(now).map(|age| age.as_millis() as u64),
        }
    }
}
