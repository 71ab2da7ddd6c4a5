//! Bounds the share of a daemon's requests that go to the target version of a rollout.

use super::evidence::Side;
use super::order::Phase;
use bincode::{Decode, Encode};
use std::time::Duration;

/// Parts per million in a whole.
const PPM: f64 = 1_000_000.0;
/// Fraction of the allowed share that a daemon uses on its own estimate of its requests up to the
/// deadline. The rest covers a falling load and requests that are still to be reported.
const USED_FRACTION: f64 = 0.9;
/// Fraction of the operators' slack that the daemons divide among each other. The rest covers
/// requests that are under way when the share is set to zero.
const SLACK_FRACTION: f64 = 0.8;
/// Age of an order up to which the number of requests is extrapolated with this age. Counts of a
/// shorter time are too small to extrapolate.
const EXTRAPOLATION_AGE_MIN: Duration = Duration::from_millis(500);

/// Share of the requests that go to the target version, in parts per million.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct TargetShare(pub u32);

impl TargetShare {
    /// No request goes to the target.
    pub const NONE: Self = Self(0);
    /// All requests go to the target.
    pub const ALL: Self = Self(1_000_000);

    /// Creates a share from a fraction.
    #[must_use]
    pub fn from_fraction(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * PPM).round() as u32)
    }

    /// Returns the share as a fraction.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / PPM
    }
}

/// Operators' bounds on a bad version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBounds {
    /// Largest share of all requests between the order and its deadline that a bad version may get.
    pub canary_share: f64,
    /// Number of requests that it may get besides.
    pub canary_slack: u32,
}

/// Requests of one daemon since it learned of the order. Counts never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ExposureCounts {
    /// Requests to the service.
    pub requests: u64,
    /// Requests that were sent to servers of the target version, retries included.
    pub target: u64,
}

/// One daemon's share of a service's exposure to the target version.
///
/// Every request adds the current share to a balance; a request goes to the target when the balance
/// reaches one. The balance starts at a random value, so that the sum over many daemons with few
/// requests each follows the share from the first request on.
#[derive(Clone, Debug)]
pub struct ExposureBudget {
    bounds: ExposureBounds,
    step: Duration,
    learned_at: Duration,
    /// Random value in `[0, 1)`, by which this daemon's cap is rounded. It is also the initial
    /// balance.
    rounding_offset: f64,
    /// Sum of the shares of past requests, less the requests that went to the target.
    balance: f64,
    /// This daemon's part of the requests that a bad version may get besides its share.
    own_slack: f64,
    counts: ExposureCounts,
}

impl ExposureBudget {
    /// Creates the budget of a daemon that learned of an order at `learned_at`. `rounding_offset`
    /// is a random value in `[0, 1)`.
    #[must_use]
    pub fn new(
        bounds: ExposureBounds,
        step: Duration,
        learned_at: Duration,
        rounding_offset: f64,
    ) -> Self {
        let rounding_offset = rounding_offset.clamp(0.0, 1.0 - f64::EPSILON);
        Self {
            bounds,
            step,
            learned_at,
            rounding_offset,
            balance: rounding_offset,
            own_slack: 0.0,
            counts: ExposureCounts::default(),
        }
    }

    /// Records the number of member daemons, which divide the operators' slack among each other.
    pub fn on_members(&mut self, members: usize) {
        let slack = f64::from(self.bounds.canary_slack) * SLACK_FRACTION;
        self.own_slack = slack / members.max(1) as f64;
    }

    /// Counts a client's request and returns the side that it goes to. `phase` and `share` are those
    /// of the directive in force; without one, `phase` is [`Phase::Waiting`].
    pub fn choose(&mut self, phase: Phase, share: TargetShare, now: Duration) -> Side {
        self.counts.requests += 1;
        match phase {
            Phase::Full | Phase::Completing if share == TargetShare::ALL => return Side::Target,
            Phase::Waiting | Phase::RollingBack => return Side::Base,
            _ => {}
        }
        // A larger balance would send a burst of requests to the target once the cap rises.
        self.balance = (self.balance + share.fraction()).min(1.0 + self.rounding_offset);
        if self.balance < 1.0 || self.counts.target as f64 + 1.0 > self.cap(now) {
            return Side::Base;
        }
        self.balance -= 1.0;
        Side::Target
    }

    /// Returns a chosen request to the balance, because no server of the target could take it.
    pub fn on_not_sent(&mut self) {
        self.balance = (self.balance + 1.0).min(1.0 + self.rounding_offset);
    }

    /// Counts a request that is sent to a server of a side, whether chosen or retried.
    pub fn on_sent(&mut self, side: Side) {
        if side == Side::Target {
            self.counts.target += 1;
        }
    }

    /// Returns the counts since the order.
    #[must_use]
    pub fn counts(&self) -> ExposureCounts {
        self.counts
    }

    /// Returns how many requests this daemon may send to the target before the full phase.
    fn cap(&self, now: Duration) -> f64 {
        let age = now
            .saturating_sub(self.learned_at)
            .max(EXTRAPOLATION_AGE_MIN);
        let rest = self.step.saturating_sub(age).as_secs_f64();
        let rate = self.counts.requests as f64 / age.as_secs_f64();
        let requests = self.counts.requests as f64 + rate * rest;
        let share = requests * self.bounds.canary_share * USED_FRACTION;
        share + self.own_slack + self.rounding_offset
    }
}
