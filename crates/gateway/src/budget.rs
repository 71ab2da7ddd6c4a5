//! Limits the retries to a service to this daemon's share of a fleet-wide budget.

use std::time::Duration;

/// Fleet-wide bound on retries to a service: in any window, there are at most `ratio` times as many
/// retries as requests, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Retries that are allowed in each window regardless of the number of requests.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Fraction of the ratio that is used. The rest covers requests that are counted but end before
/// they are sent.
const RATIO_FRACTION: f64 = 0.8;
/// Fraction of the slack that may be used at once, and again over the following window.
const SLACK_FRACTION: f64 = 0.45;

/// Token bucket that limits this daemon's retries to one service. `share` is the daemon's current
/// share of the fleet's budget, from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    tokens: f64,
    refilled_at: Duration,
}

impl RetryBudget {
    /// Creates an empty budget: a daemon that restarts may have spent its share just before.
    #[must_use]
    pub fn new(bound: RetryBound, now: Duration) -> Self {
        Self {
            bound,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Records the first attempt of a request, which adds to the budget.
    pub fn on_request(&mut self, share: f64, now: Duration) {
        self.refill(share, now);
        let cap = self.cap(share);
        self.tokens = (self.tokens + self.bound.ratio * RATIO_FRACTION).min(cap);
    }

    /// Returns whether a retry may be sent at `now`.
    pub fn allows(&mut self, share: f64, now: Duration) -> bool {
        self.refill(share, now);
        self.tokens >= 1.0
    }

    /// Takes a retry from the budget. Returns `false` if the budget does not allow one.
    pub fn take(&mut self, share: f64, now: Duration) -> bool {
        if !self.allows(share, now) {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns a retry that was taken and not sent.
    pub fn put_back(&mut self, share: f64) {
        self.tokens = (self.tokens + 1.0).min(self.cap(share));
    }

    fn cap(&self, share: f64) -> f64 {
        // The cap is at least one token: a smaller one, due to a small share, would never allow a
        // retry.
        (self.bound.slack * share * SLACK_FRACTION).max(1.0)
    }

    fn refill(&mut self, share: f64, now: Duration) {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        let window_s = self.bound.window.as_secs_f64().max(0.001);
        let per_s = self.bound.slack * share * SLACK_FRACTION / window_s;
        self.tokens = (self.tokens + elapsed_s * per_s).min(self.cap(share));
        self.refilled_at = self.refilled_at.max(now);
    }
}
