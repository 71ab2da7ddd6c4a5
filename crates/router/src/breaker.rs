//! Circuit breaker of a backend server or link.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BreakerSettings {
    /// Consecutive failures after which it opens.
    pub failures_to_open: u32,
    /// Time it stays open at first. Each failed probe doubles it.
    pub open_time: Duration,
    /// Longest time it stays open.
    pub open_time_max: Duration,
}

impl Default for BreakerSettings {
    fn default() -> Self {
        Self {
            failures_to_open: 3,
            open_time: Duration::from_millis(500),
            open_time_max: Duration::from_secs(15),
        }
    }
}

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BreakerState {
    /// Requests pass.
    Closed,
    /// No request passes.
    Open,
    /// One request passes and decides.
    HalfOpen,
}

/// A circuit breaker.
#[derive(Clone, Copy, Debug)]
pub struct Breaker {
    settings: BreakerSettings,
    failures: u32,
    open_until: Option<Duration>,
    open_time: Duration,
    probe_until: Option<Duration>,
}

impl Breaker {
    /// Creates a closed breaker.
    #[must_use]
    pub fn new(settings: BreakerSettings) -> Self {
        Self {
            settings,
            failures: 0,
            open_until: None,
            open_time: settings.open_time,
            probe_until: None,
        }
    }

    /// Current state.
    #[must_use]
    pub fn state(&self, now: Duration) -> BreakerState {
        match self.open_until {
            None => BreakerState::Closed,
            Some(until) if now < until => BreakerState::Open,
            Some(_) => BreakerState::HalfOpen,
        }
    }

    /// Whether a request may pass now.
    #[must_use]
    pub fn allows(&self, now: Duration) -> bool {
        now >= self.blocked_until()
    }

    /// Time before which [`Self::allows`] is false.
    #[must_use]
    pub fn blocked_until(&self) -> Duration {
        let open_until = self.open_until.unwrap_or_default();
        open_until.max(self.probe_until.unwrap_or_default())
    }

    /// Notes that a request is sent. In the half-open state it is the probe; a probe without an
    /// outcome is given up after the open time, so a lost outcome does not block the breaker.
    pub fn on_request_sent(&mut self, now: Duration) {
        if self.state(now) == BreakerState::HalfOpen {
            self.probe_until = Some(now + self.open_time);
        }
    }

    /// Notes a success. Returns true if the breaker closed.
    pub fn on_success(&mut self, now: Duration) -> bool {
        self.failures = 0;
        // The answer to a request that was sent before the breaker opened proves nothing new.
        if self.state(now) == BreakerState::Open {
            return false;
        }
        self.open_time = self.settings.open_time;
        self.probe_until = None;
        self.open_until.take().is_some()
    }

    /// Notes a failure. Returns true if the breaker opened.
    pub fn on_failure(&mut self, now: Duration) -> bool {
        match self.state(now) {
            BreakerState::Open => false,
            BreakerState::HalfOpen => {
                self.open_time = (self.open_time * 2).min(self.settings.open_time_max);
                self.open(now)
            }
            BreakerState::Closed => {
                self.failures += 1;
                self.failures >= self.settings.failures_to_open && self.open(now)
            }
        }
    }

    fn open(&mut self, now: Duration) -> bool {
        self.probe_until = None;
        self.open_until = Some(now + self.open_time);
        true
    }
}
