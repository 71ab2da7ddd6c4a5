//! Circuit breaker of a backend server or link.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Thresholds and times of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BreakerSettings {
    /// Number of consecutive failures after which the breaker opens.
    pub failures_to_open: u32,
    /// Time that the breaker stays open at first. Each failed probe doubles it.
    pub open_time: Duration,
    /// Upper bound of the time that the breaker stays open.
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

/// State of a circuit breaker at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BreakerState {
    /// All requests pass.
    Closed,
    /// No request passes.
    Open,
    /// One request passes as a probe. Its outcome closes the breaker or opens it again.
    HalfOpen,
}

/// A circuit breaker, which stops requests to a failing server or link for a time.
#[derive(Clone, Copy, Debug)]
pub struct Breaker {
    settings: BreakerSettings,
    consecutive_failures: u32,
    open_until: Option<Duration>,
    open_time: Duration,
    probe_until: Option<Duration>,
    /// Whether all failures since the last success were timeouts.
    has_only_timeouts: bool,
}

impl Breaker {
    /// Creates a closed circuit breaker.
    #[must_use]
    pub fn new(settings: BreakerSettings) -> Self {
        Self {
            settings,
            consecutive_failures: 0,
            open_until: None,
            open_time: settings.open_time,
            probe_until: None,
            has_only_timeouts: true,
        }
    }

    /// Returns the state at `now`.
    #[must_use]
    pub fn state(&self, now: Duration) -> BreakerState {
        match self.open_until {
            None => BreakerState::Closed,
            Some(until) if now < until => BreakerState::Open,
            Some(_) => BreakerState::HalfOpen,
        }
    }

    /// Returns true if a request may pass at `now`.
    #[must_use]
    pub fn allows(&self, now: Duration) -> bool {
        now >= self.blocked_until()
    }

    /// Returns the time before which [`Self::allows`] is false: the end of the open state or of the
    /// wait for a probe.
    #[must_use]
    pub fn blocked_until(&self) -> Duration {
        let open_until = self.open_until.unwrap_or_default();
        open_until.max(self.probe_until.unwrap_or_default())
    }

    /// Records that a request is sent. In the half-open state, the request is the probe. A probe
    /// without an outcome expires after the open time, so that a lost outcome does not block the
    /// breaker.
    pub fn on_request_sent(&mut self, now: Duration) {
        if self.state(now) == BreakerState::HalfOpen {
            self.probe_until = Some(now + self.open_time);
        }
    }

    /// Records a successful request. Returns true if the breaker closed.
    pub fn on_success(&mut self, now: Duration) -> bool {
        self.consecutive_failures = 0;
        // The request was sent before the breaker opened, so its success does not show a recovery,
        // except from silence: an answer ends that.
        if self.state(now) == BreakerState::Open && !self.has_only_timeouts {
            return false;
        }
        self.has_only_timeouts = true;
        self.open_time = self.settings.open_time;
        self.probe_until = None;
        self.open_until.take().is_some()
    }

    /// Records a failed request. Returns true if the breaker opened.
    pub fn on_failure(&mut self, now: Duration) -> bool {
        self.has_only_timeouts = false;
        self.count_failure(now)
    }

    /// Records a request that got no answer in time. Returns true if the breaker opened. Unlike
    /// other failures, this one is over with the next answer.
    pub fn on_timeout(&mut self, now: Duration) -> bool {
        self.count_failure(now)
    }

    fn count_failure(&mut self, now: Duration) -> bool {
        match self.state(now) {
            BreakerState::Open => false,
            BreakerState::HalfOpen => {
                self.open_time = (self.open_time * 2).min(self.settings.open_time_max);
                self.open(now)
            }
            BreakerState::Closed => {
                self.consecutive_failures += 1;
                self.consecutive_failures >= self.settings.failures_to_open && self.open(now)
            }
        }
    }

    fn open(&mut self, now: Duration) -> bool {
        self.probe_until = None;
        self.open_until = Some(now + self.open_time);
        true
    }
}
