//! Limit on the number of requests per second.

use std::collections::VecDeque;
use std::time::Duration;

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits the number of requests accepted within any second, and counts the attempts.
#[derive(Debug, Default)]
pub(crate) struct RateLimiter {
    accepted: VecDeque<Duration>,
    attempts: VecDeque<Duration>,
    peak_attempts: usize,
}

impl RateLimiter {
    /// Counts an attempt and returns whether it is accepted under a limit of `per_s`; 0 for no
    /// limit.
    pub(crate) fn admit(&mut self, now: Duration, per_s: u32) -> bool {
        Self::remove_expired(&mut self.accepted, now);
        Self::remove_expired(&mut self.attempts, now);
        self.attempts.push_back(now);
        self.peak_attempts = self.peak_attempts.max(self.attempts.len());
        let admitted = per_s == 0 || self.accepted.len() < per_s as usize;
        if admitted {
            self.accepted.push_back(now);
        }
        admitted
    }

    /// Returns the largest number of attempts within any second so far.
    pub(crate) fn peak_attempts(&self) -> usize {
        self.peak_attempts
    }

    fn remove_expired(times: &mut VecDeque<Duration>, now: Duration) {
        while times.front().is_some_and(|time| *time + WINDOW <= now) {
            times.pop_front();
        }
    }
}
