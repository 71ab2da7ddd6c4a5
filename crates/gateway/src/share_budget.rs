//! Rate limit of requests to one backend server: this daemon's share of what the fleet may send.

use std::time::Duration;

/// Fraction of the fleet's rate that is used. The rest covers daemons whose share is out of date
/// and requests that arrive closer together than they were sent.
const USED_FRACTION: f64 = 0.7;
/// Capacity of the token bucket, in requests.
const BURST: f64 = 1.0;

/// Token bucket that limits this daemon's requests to one backend server.
#[derive(Clone, Copy, Debug)]
pub struct ShareBudget {
    tokens: f64,
    refilled_at: Duration,
}

impl ShareBudget {
    /// Creates an empty budget. It must be empty because all daemons begin to limit their requests
    /// to a server at about the same time.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Takes one request from the budget and returns whether it may be sent. The fleet may send
    /// `fleet_per_s` requests per second, of which this daemon has the fraction `share`.
    pub fn take(&mut self, fleet_per_s: f64, share: f64, now: Duration) -> bool {
        self.take_ahead(1, 0.0, fleet_per_s, share, now)
    }

    /// Takes several requests, ahead of time if no more than `debt` are owed afterwards. Returns
    /// whether they may be sent.
    pub fn take_ahead(
        &mut self,
        requests: u32,
        debt: f64,
        fleet_per_s: f64,
        share: f64,
        now: Duration,
    ) -> bool {
        self.refill(fleet_per_s, share, now);
        let left = self.tokens - f64::from(requests);
        let is_allowed = left >= -debt;
        if is_allowed {
            self.tokens = left;
        }
        is_allowed
    }

    /// Returns whether a request may be sent, without taking it from the budget.
    pub fn allows(&mut self, fleet_per_s: f64, share: f64, now: Duration) -> bool {
        self.refill(fleet_per_s, share, now);
        self.tokens >= 1.0
    }

    fn refill(&mut self, fleet_per_s: f64, share: f64, now: Duration) {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        let per_s = fleet_per_s * share * USED_FRACTION;
        self.tokens = (self.tokens + elapsed_s * per_s).min(BURST);
        self.refilled_at = self.refilled_at.max(now);
    }
}
