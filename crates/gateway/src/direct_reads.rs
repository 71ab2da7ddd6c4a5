//! When a daemon that reads the copies of a leader reads the metadata store itself.
//!
//! A leader may fail while the store answers, so the store is read whenever the copy is of no use. The store
//! may also be away for everybody. Each failed read then doubles the time to the next one, because calls
//! that fail are limited and charged too; the return of the store shows in the copy meanwhile.

use std::time::Duration;

/// Time for which the store is read after the copy was of no use.
const DIRECT_READ_TIME: Duration = Duration::from_millis(1500);
/// Time without reads of the store after the first that failed.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Longest time without reads of the store.
const BACKOFF_MAX: Duration = Duration::from_millis(1600);

/// Reads of the store by a daemon that has a leader.
#[derive(Clone, Copy, Debug, Default)]
pub struct DirectReads {
    direct_until: Duration,
    blocked_until: Duration,
    backoff: Duration,
}

impl DirectReads {
    /// Whether the leader's copy is asked for first.
    #[must_use]
    pub fn asks_leader(&self, now: Duration) -> bool {
        now >= self.direct_until
    }

    /// Notes that the leader's copy is of no use, and returns whether the store may be read.
    pub fn on_leader_failed(&mut self, now: Duration) -> bool {
        let is_allowed = now >= self.blocked_until;
        if is_allowed {
            self.direct_until = now + DIRECT_READ_TIME;
        }
        is_allowed
    }

    /// Notes that the store answered.
    pub fn on_store_answer(&mut self) {
        self.backoff = Duration::ZERO;
        self.blocked_until = Duration::ZERO;
    }

    /// Notes that the store did not answer, or refused.
    pub fn on_store_failure(&mut self, now: Duration) {
        self.backoff = (self.backoff * 2).clamp(BACKOFF_MIN, BACKOFF_MAX);
        self.blocked_until = now + self.backoff;
        self.direct_until = Duration::ZERO;
    }
}
