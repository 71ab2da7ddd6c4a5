//! Retry budget of a service, as this daemon's part of the fleet's budget.

use std::time::Duration;

/// The fleet-wide bound: in any window, retries stay below `ratio` times the requests plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries per request.
    pub ratio: f64,
    /// Retries that are always allowed in a window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Part of the ratio that is used; the rest covers requests that end before they are sent.
const RATIO_PART: f64 = 0.8;
/// Part of the slack that may be used at once, and again over a window.
const SLACK_PART: f64 = 0.45;

/// Token bucket of retries to one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    tokens: f64,
    updated: Duration,
}

impl RetryBudget {
    /// Creates an empty budget: a daemon that restarts may have spent its part just before.
    #[must_use]
    pub fn new(bound: RetryBound, now: Duration) -> Self {
        Self {
            bound,
            tokens: 0.0,
            updated: now,
        }
    }

    /// Notes a first attempt.
    pub fn on_request(&mut self, share: f64, now: Duration) {
        self.refill(share, now);
        let cap = self.cap(share);
        self.tokens = (self.tokens + self.bound.ratio * RATIO_PART).min(cap);
    }

    /// Whether a retry may be sent.
    pub fn allows(&mut self, share: f64, now: Duration) -> bool {
        self.refill(share, now);
        self.tokens >= 1.0
    }

    /// Whether a retry may be sent, and notes it.
    pub fn take(&mut self, share: f64, now: Duration) -> bool {
        if !self.allows(share, now) {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn cap(&self, share: f64) -> f64 {
        // At least one token, or a small share would never allow a retry.
        (self.bound.slack * share * SLACK_PART).max(1.0)
    }

    fn refill(&mut self, share: f64, now: Duration) {
        let elapsed_s = now.saturating_sub(self.updated).as_secs_f64();
        let window_s = self.bound.window.as_secs_f64().max(0.001);
        let per_s = self.bound.slack * share * SLACK_PART / window_s;
        self.tokens = (self.tokens + elapsed_s * per_s).min(self.cap(share));
        self.updated = self.updated.max(now);
    }
}
