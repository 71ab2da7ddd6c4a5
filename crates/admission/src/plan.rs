//! Limits of a workspace's plan, this daemon's part of them, and the token buckets that enforce
//! rates.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Priority class of a plan. While several classes have waiting requests, a higher class gets a
/// larger part of the capacity, but never all of it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Highest class: a user waits for the answer.
    Interactive,
    /// Middle class and the default of this type. The plans list has no value for it.
    #[default]
    Normal,
    /// Lowest class: no user waits for the answer.
    Batch,
}

impl Priority {
    /// All classes, in the order of [`Self::index`].
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Normal, Self::Batch];

    /// Returns the index of the class in tables with one entry per class, from 0 for the highest
    /// class.
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }
}

/// This daemon's part of the limits of a workspace's plan. The limits of the plan are fleet-wide;
/// the parts of all daemons add up to at most these limits.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanShare {
    /// Requests that may start per second.
    pub requests_per_s: f64,
    /// Prompt and generated tokens of the requests that may start per second.
    pub tokens_per_s: f64,
    /// Requests that may start at once after an idle time.
    pub burst_requests: f64,
    /// Tokens of the requests that may start at once after an idle time. A request with more tokens
    /// can start when the full burst is available.
    pub burst_tokens: f64,
    /// Largest number of requests in execution at once.
    pub concurrency: u32,
}

/// The plan of a workspace, as far as admission needs it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanLimits {
    /// Weight among the workspaces of the same class, from 1; zero counts as 1.
    pub weight: u32,
    /// Priority class of the workspace.
    pub priority: Priority,
    /// This daemon's part of the limits.
    pub share: PlanShare,
}

/// Token bucket for a rate of requests or of tokens. Requests larger than the burst and corrections
/// of their cost can make its level negative.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    /// Amount that can be taken now, as of `updated`.
    level: f64,
    updated: Duration,
}

impl TokenBucket {
    pub(crate) fn new(rate_per_s: f64, burst: f64, now: Duration) -> Self {
        Self {
            rate_per_s,
            burst,
            level: burst,
            updated: now,
        }
    }

    /// Changes rate and burst. A positive level keeps its proportion to the burst, so that moving
    /// shares between daemons back and forth creates no tokens.
    pub(crate) fn set_rate(&mut self, rate_per_s: f64, burst: f64, now: Duration) {
        self.refill(now);
        if self.level > 0.0 && self.burst > 0.0 {
            self.level *= burst / self.burst;
        }
        self.level = self.level.min(burst);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
    }

    /// Adds what the rate yields since the last refill, up to the burst.
    pub(crate) fn refill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.updated).as_secs_f64();
        self.level = (self.level + elapsed_s * self.rate_per_s).min(self.burst);
        self.updated = self.updated.max(now);
    }

    /// Returns the time until `amount` can be taken, if earlier requests take `ahead` before.
    /// `None` if that is never the case. An amount above the burst needs a full bucket and makes
    /// its level negative.
    pub(crate) fn time_until(&self, amount: f64, ahead: f64, now: Duration) -> Option<Duration> {
        if self.burst <= 0.0 {
            return None;
        }
        let elapsed_s = now.saturating_sub(self.updated).as_secs_f64();
        let level = (self.level + elapsed_s * self.rate_per_s).min(self.burst);
        let missing = amount.min(self.burst) + ahead - level;
        if missing <= ROUNDING_TOLERANCE {
            return Some(Duration::ZERO);
        }
        if self.rate_per_s <= 0.0 {
            return None;
        }
        // The added nanosecond covers rounding, so that the amount is available after that time.
        let wait_s = missing / self.rate_per_s;
        Duration::try_from_secs_f64(wait_s)
            .ok()
            .map(|wait| wait + Duration::from_nanos(1))
    }

    /// Takes an amount from the bucket, or returns it to the bucket if negative.
    pub(crate) fn take(&mut self, amount: f64, now: Duration) {
        self.refill(now);
        self.level = (self.level - amount).min(self.burst);
    }
}

/// Largest missing amount that is attributed to rounding errors of the refill and ignored.
const ROUNDING_TOLERANCE: f64 = 1e-6;
