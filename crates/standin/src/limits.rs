//! Limits on requests per second.

use std::collections::VecDeque;
use std::time::Duration;

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Accepts at most a number of requests in any second.
#[derive(Debug, Default)]
pub(crate) struct RequestLimit {
    accepted: VecDeque<Duration>,
    attempts: VecDeque<Duration>,
    peak_attempts: usize,
}

impl RequestLimit {
    /// Counts an attempt and tells whether it is within `per_s`. Zero stands for no limit.
    pub(crate) fn admit(&mut self, now: Duration, per_s: u32) -> bool {
        Self::trim(&mut self.accepted, now);
        Self::trim(&mut self.attempts, now);
        self.attempts.push_back(now);
        self.peak_attempts = self.peak_attempts.max(self.attempts.len());
        let admitted = per_s == 0 || self.accepted.len() < per_s as usize;
        if admitted {
            self.accepted.push_back(now);
        }
        admitted
    }

    /// Largest number of attempts in any second so far.
    pub(crate) fn peak_attempts(&self) -> usize {
        self.peak_attempts
    }

    fn trim(times: &mut VecDeque<Duration>, now: Duration) {
        while times.front().is_some_and(|time| *time + WINDOW <= now) {
            times.pop_front();
        }
    }
}
