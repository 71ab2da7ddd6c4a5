//! Retry budget: this daemon's share of the fleet-wide rate of retries.
//!
//! Retries multiply the load on a fleet that is already failing. The budget bounds them to a share
//! of the first attempts, whatever the number of failures.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Limits and wait times of retries.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetrySettings {
    /// Retries that may follow each other without a pause after a time without retries, expressed
    /// as the time in which the share grants that many.
    pub burst: Duration,
    /// Upper bound of the wait before the first retry. It doubles with each further retry.
    pub wait: Duration,
    /// Maximum of the upper bound of a wait.
    pub wait_max: Duration,
    /// Maximum number of attempts per request, including the first.
    pub attempts_max: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            burst: Duration::from_secs(2),
            wait: Duration::from_millis(20),
            wait_max: Duration::from_secs(1),
            attempts_max: 3,
        }
    }
}

/// Properties of a failed request that decide whether it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Number of attempts so far, at least one.
    pub attempts: u32,
    /// Whether executing the request twice has the same effect as executing it once.
    pub idempotent: bool,
    /// Time by which the request must be answered. No retry starts at or after it.
    pub deadline: Duration,
}

/// Reason why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryRefusal {
    /// The request is not idempotent.
    NotIdempotent,
    /// The request has used up its attempts.
    Attempts,
    /// The retry would start at or after the deadline.
    Deadline,
    /// This daemon's share of the retry budget is used up.
    Budget,
}

/// Token bucket over this daemon's share of the retry budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    share_per_s: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl RetryBudget {
    /// Creates an empty budget. It holds no burst, because the daemon may replace one that has just
    /// spent its burst.
    #[must_use]
    pub fn new(settings: RetrySettings, share_per_s: f64, now: Duration) -> Self {
        Self {
            settings,
            share_per_s,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Changes the share, in retries per second. Tokens above the new burst are lost.
    pub fn set_share(&mut self, share_per_s: f64, now: Duration) {
        self.refill(now);
        self.share_per_s = share_per_s.max(0.0);
        self.tokens = self.tokens.min(self.burst());
    }

    /// Takes one retry from the budget and returns the wait before it starts.
    ///
    /// # Errors
    ///
    /// Returns a [`RetryRefusal`] if the request must not be retried; no retry is taken then.
    pub fn retry(
        &mut self,
        attempt: &FailedAttempt,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Result<Duration, RetryRefusal> {
        if !attempt.idempotent {
            return Err(RetryRefusal::NotIdempotent);
        }
        if attempt.attempts >= self.settings.attempts_max {
            return Err(RetryRefusal::Attempts);
        }
        let doublings = attempt.attempts.saturating_sub(1).min(16);
        let bound = (self.settings.wait * (1 << doublings)).min(self.settings.wait_max);
        // Full jitter, so that requests that failed together are not retried together.
        let wait = bound.mul_f64(rng.random::<f64>());
        if now + wait >= attempt.deadline {
            return Err(RetryRefusal::Deadline);
        }
        self.refill(now);
        if self.tokens < 1.0 {
            return Err(RetryRefusal::Budget);
        }
        self.tokens -= 1.0;
        Ok(wait)
    }

    fn burst(&self) -> f64 {
        // With less than one token, a small share would never allow a retry.
        (self.share_per_s * self.settings.burst.as_secs_f64()).max(1.0)
    }

    fn refill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.share_per_s).min(self.burst());
        self.refilled_at = self.refilled_at.max(now);
    }
}
