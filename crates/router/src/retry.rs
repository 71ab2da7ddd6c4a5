//! Retry budget: this daemon's share of a fleet-wide rate of retries.
//!
//! Retries multiply the load on a fleet that already fails. The budget bounds them to a share of the
//! first attempts, whatever the number of failures.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of retries.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetrySettings {
    /// Retries that may follow each other at once after a quiet time, as time at the share's rate.
    pub burst: Duration,
    /// Upper bound of the first wait; each further one doubles it.
    pub wait: Duration,
    /// Longest upper bound of a wait.
    pub wait_max: Duration,
    /// Attempts per request, including the first.
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

/// A failed attempt for which a retry is considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Number of attempts so far, at least one.
    pub attempts: u32,
    /// Whether executing the request twice has the same effect as once.
    pub idempotent: bool,
    /// Deadline of the request.
    pub deadline: Duration,
}

/// Why there is no retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryRefusal {
    /// The request is not idempotent.
    NotIdempotent,
    /// The request used up its attempts.
    Attempts,
    /// The retry would start after the deadline.
    Deadline,
    /// The budget is used up.
    Budget,
}

/// Token bucket over this daemon's share of the retry budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    share_per_s: f64,
    tokens: f64,
    updated: Duration,
}

impl RetryBudget {
    /// Creates an empty budget. A new daemon may replace one that just spent its burst.
    #[must_use]
    pub fn new(settings: RetrySettings, share_per_s: f64, now: Duration) -> Self {
        Self {
            settings,
            share_per_s,
            tokens: 0.0,
            updated: now,
        }
    }

    /// Changes the share. Tokens above the new burst are lost.
    pub fn set_share(&mut self, share_per_s: f64, now: Duration) {
        self.refill(now);
        self.share_per_s = share_per_s.max(0.0);
        self.tokens = self.tokens.min(self.burst());
    }

    /// Decides whether to retry, and after which wait.
    ///
    /// # Errors
    ///
    /// The [`RetryRefusal`]; the budget is then unchanged.
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
        // Full jitter, so that requests that failed together do not come back together.
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
        // At least one token, or a small share would never allow a retry.
        (self.share_per_s * self.settings.burst.as_secs_f64()).max(1.0)
    }

    fn refill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.share_per_s).min(self.burst());
        self.updated = self.updated.max(now);
    }
}
