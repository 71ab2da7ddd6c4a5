//! Positions in the logs of the metadata store.

use bincode::{Decode, Encode};
use std::fmt;
use std::time::Duration;

/// Number of the store's current history.
///
/// A store that is restored from an older copy loses the newest records of all logs and assigns
/// their offsets again. It then states a higher epoch, so offsets are comparable only within one
/// epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct StoreEpoch(pub u64);

impl fmt::Display for StoreEpoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Position of a reader in a log, or of a record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct LogPosition {
    /// Epoch in which the offset was assigned.
    pub epoch: StoreEpoch,
    /// Number of records before this position.
    pub offset: u64,
}

impl LogPosition {
    /// Returns the position `count` records later.
    #[must_use]
    pub fn after(self, count: usize) -> Self {
        Self {
            offset: self.offset + count as u64,
            ..self
        }
    }
}

/// Time at which a daemon first received an answer of the store's newest epoch, for any log.
#[derive(Clone, Copy, Debug, Default)]
pub struct EpochSighting {
    epoch: StoreEpoch,
    seen_at: Duration,
}

impl EpochSighting {
    /// Records that an answer of an epoch was received.
    pub fn on_answer(&mut self, epoch: StoreEpoch, now: Duration) {
        if epoch > self.epoch {
            *self = Self {
                epoch,
                seen_at: now,
            };
        }
    }

    /// Returns the newest epoch that was seen.
    #[must_use]
    pub fn epoch(&self) -> StoreEpoch {
        self.epoch
    }

    /// Returns a time at which this daemon had received an answer of the epoch, the first one if no
    /// later epoch was seen.
    #[must_use]
    pub fn seen_at(&self, epoch: StoreEpoch, now: Duration) -> Duration {
        if epoch == self.epoch {
            self.seen_at
        } else {
            now
        }
    }
}
