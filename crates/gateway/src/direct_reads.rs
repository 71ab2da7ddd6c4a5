//! Decides when a daemon that reads its leader's copy of the metadata store reads the store itself.
//!
//! A leader may fail while the metadata store is available, so a daemon reads the store itself
//! whenever the leader's copy cannot be used. If the store is unavailable as well, each failed read
//! doubles the pause to the next one, because failed calls are limited and charged too. Meanwhile
//! the leader's copy shows when the store is available again.

use std::time::Duration;

/// Time for which the metadata store is read directly after the leader's copy could not be used.
const DIRECT_READ_TIME: Duration = Duration::from_millis(1500);
/// Pause in direct reads after the first one that failed.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Longest pause in direct reads.
const BACKOFF_MAX: Duration = Duration::from_millis(1600);

/// Back-off state of the direct reads of a daemon that has a leader.
#[derive(Clone, Copy, Debug, Default)]
pub struct DirectReads {
    direct_until: Duration,
    blocked_until: Duration,
    backoff: Duration,
}

impl DirectReads {
    /// Returns whether the leader's copy is to be read before the metadata store.
    #[must_use]
    pub fn reads_leader_first(&self, now: Duration) -> bool {
        now >= self.direct_until
    }

    /// Records that the leader's copy could not be used, and returns whether the store may be
    /// read now. If so, the store is read directly for some time.
    pub fn on_leader_failed(&mut self, now: Duration) -> bool {
        let is_allowed = now >= self.blocked_until;
        if is_allowed {
            self.direct_until = now + DIRECT_READ_TIME;
        }
        is_allowed
    }

    /// Records that the metadata store answered, which ends any pause in direct reads.
    pub fn on_store_answer(&mut self) {
        self.backoff = Duration::ZERO;
        self.blocked_until = Duration::ZERO;
    }

    /// Records that the metadata store did not answer or refused the read. Direct reads pause, and
    /// the leader's copy is read first again.
    pub fn on_store_failure(&mut self, now: Duration) {
        self.backoff = (self.backoff * 2).clamp(BACKOFF_MIN, BACKOFF_MAX);
        self.blocked_until = now + self.backoff;
        self.direct_until = Duration::ZERO;
    }
}
