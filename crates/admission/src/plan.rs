//! Limits of a plan and this daemon's part of them.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Priority class of a plan. A higher class gets a larger part of the capacity, never all of it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Somebody waits for the answer.
    Interactive,
    /// The default.
    #[default]
    Normal,
    /// Nobody waits for the answer.
    Batch,
}

impl Priority {
    /// All classes, in the order of their indexes.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Normal, Self::Batch];

    /// Index into tables per class.
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }
}

/// This daemon's part of the limits of a workspace's plan. The whole limits are fleet-wide; the
/// parts of all daemons add up to at most the whole.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanShare {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Prompt and generated tokens per second.
    pub tokens_per_s: f64,
    /// Requests that may follow each other at once after a quiet time.
    pub burst_requests: f64,
    /// Tokens that may follow each other at once after a quiet time.
    pub burst_tokens: f64,
    /// Requests in execution at once.
    pub concurrency: u32,
}

/// What the scheduler needs to know about the plan of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanLimits {
    /// Weight among the workspaces of the same class.
    pub weight: u32,
    /// Class.
    pub priority: Priority,
    /// This daemon's part of the limits.
    pub share: PlanShare,
}

/// Token bucket that may be overdrawn by a correction after the fact.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    updated: Duration,
}

impl Bucket {
    pub(crate) fn new(rate_per_s: f64, burst: f64, now: Duration) -> Self {
        Self {
            rate_per_s,
            burst,
            level: burst,
            updated: now,
        }
    }

    /// Changes the rate. The level keeps its proportion to the burst, so that moving shares between
    /// daemons back and forth creates no tokens.
    pub(crate) fn set(&mut self, rate_per_s: f64, burst: f64, now: Duration) {
        self.refill(now);
        if self.level > 0.0 && self.burst > 0.0 {
            self.level *= burst / self.burst;
        }
        self.level = self.level.min(burst);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
    }

    pub(crate) fn refill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.updated).as_secs_f64();
        self.level = (self.level + elapsed_s * self.rate_per_s).min(self.burst);
        self.updated = self.updated.max(now);
    }

    /// Time until `amount` can be taken, counting `ahead` that others take first. `None` if never.
    /// An amount above the burst needs a full bucket and overdraws it.
    pub(crate) fn wait(&self, amount: f64, ahead: f64, now: Duration) -> Option<Duration> {
        if self.burst <= 0.0 {
            return None;
        }
        let elapsed_s = now.saturating_sub(self.updated).as_secs_f64();
        let level = (self.level + elapsed_s * self.rate_per_s).min(self.burst);
        let missing = amount.min(self.burst) + ahead - level;
        if missing <= ROUNDING {
            return Some(Duration::ZERO);
        }
        if self.rate_per_s <= 0.0 {
            return None;
        }
        // A nanosecond more, so that the bucket is certain to suffice when the time has come.
        let wait_s = missing / self.rate_per_s;
        Duration::try_from_secs_f64(wait_s)
            .ok()
            .map(|wait| wait + Duration::from_nanos(1))
    }

    /// Takes an amount, or gives it back if negative.
    pub(crate) fn take(&mut self, amount: f64, now: Duration) {
        self.refill(now);
        self.level = (self.level - amount).min(self.burst);
    }
}

/// Missing amount that counts as rounding error of the refill.
const ROUNDING: f64 = 1e-6;
