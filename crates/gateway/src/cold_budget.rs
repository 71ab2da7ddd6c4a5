//! Requests per second to a cold backend server, as this daemon's part of the fleet's allowance.

use std::time::Duration;

/// Part of the allowance that is used. The rest covers daemons whose share is not up to date and
/// requests that arrive closer together than they were sent.
const USED_FRACTION: f64 = 0.7;
/// Requests that may follow each other at once.
const BURST: f64 = 1.0;

/// Token bucket of requests to one cold backend server.
#[derive(Clone, Copy, Debug)]
pub struct ColdBudget {
    tokens: f64,
    updated: Duration,
}

impl ColdBudget {
    /// Creates an empty budget: all daemons notice a cold server at about the same time.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            tokens: 0.0,
            updated: now,
        }
    }

    /// Whether a request may be sent, and notes it.
    pub fn take(&mut self, fleet_per_s: f64, share: f64, now: Duration) -> bool {
        self.refill(fleet_per_s, share, now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Whether a request may be sent.
    pub fn allows(&mut self, fleet_per_s: f64, share: f64, now: Duration) -> bool {
        self.refill(fleet_per_s, share, now);
        self.tokens >= 1.0
    }

    fn refill(&mut self, fleet_per_s: f64, share: f64, now: Duration) {
        let elapsed_s = now.saturating_sub(self.updated).as_secs_f64();
        let per_s = fleet_per_s * share * USED_FRACTION;
        self.tokens = (self.tokens + elapsed_s * per_s).min(BURST);
        self.updated = self.updated.max(now);
    }
}
