//! Speed of engines: the rate at which those of a service compute prompts, and how much longer a
//! single server takes than the others.
//!
//! Sums of work and time are compared instead of single ratios, so that short answers, whose times
//! vary most, have little weight. Old sums decay, so that a change is noticed within seconds.

use std::time::Duration;

/// Rate that is assumed before the first answer, in tokens per millisecond.
const INITIAL_TOKENS_PER_MS: f64 = 60.0;
/// Work that counts as observed at the initial rate, in tokens.
const INITIAL_TOKENS: f64 = 20_000.0;
/// Lowest and highest rate that is assumed, in tokens per millisecond.
const TOKENS_PER_MS_RANGE: (f64, f64) = (8.0, 400.0);
/// Time in which the weight of an observation of a service halves.
const SERVICE_HALF_LIFE: Duration = Duration::from_secs(10);
/// Time that a request takes until its first event without any computation, in milliseconds.
const BASE_MS: f64 = 20.0;
/// Smallest work for which an answer counts, in tokens. For less work, fixed times prevail.
const SAMPLE_TOKENS_MIN: u64 = 500;
/// Assumed time for which a request occupies an engine, before any request has ended.
const INITIAL_HOLD: Duration = Duration::from_secs(2);
/// Weight of the newest request in the exponential moving average of these times.
const HOLD_STEP: f64 = 0.05;

/// Time in which the weight of an observation in a server's short window halves.
const SHORT_HALF_LIFE: Duration = Duration::from_millis(250);
/// Time that counts as observed at the server's long-term speed in the short window, in
/// milliseconds.
const SHORT_PRIOR_MS: f64 = 150.0;
/// Length of the intervals of which the long window consists. Each has the same weight, so that a
/// short disturbance has little influence, however many requests it delays.
const INTERVAL: Duration = Duration::from_millis(500);
/// Weight of the newest interval in the long window.
const INTERVAL_STEP: f64 = 0.12;
/// Time that counts as observed at the usual speed in each interval, in milliseconds.
const INTERVAL_PRIOR_MS: f64 = 50.0;
/// Lowest and highest slowness of one interval in the long window.
const INTERVAL_RANGE: (f64, f64) = (0.5, 2.0);
/// Lowest and highest slowness of a server.
const SLOWNESS_RANGE: (f64, f64) = (0.4, 6.0);
/// Time in which the weight of the speed that a server itself reports halves.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(150);

/// A prompt whose first event has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartSample {
    /// Tokens to be computed at the server when the request was sent, including its own.
    pub tokens: u64,
    /// Time from then to the first event.
    pub elapsed: Duration,
}

impl StartSample {
    fn compute_ms(&self) -> f64 {
        (millis(self.elapsed) - BASE_MS).max(1.0)
    }

    fn is_significant(&self) -> bool {
        self.tokens >= SAMPLE_TOKENS_MIN
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

/// Speed of the engines of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceSpeed {
    tokens: f64,
    elapsed_ms: f64,
    updated_at: Duration,
    hold_ms: f64,
}

impl Default for ServiceSpeed {
    fn default() -> Self {
        Self {
            tokens: 0.0,
            elapsed_ms: 0.0,
            updated_at: Duration::ZERO,
            hold_ms: millis(INITIAL_HOLD),
        }
    }
}

impl ServiceSpeed {
    /// Updates the rate with a prompt whose first event has arrived.
    pub fn on_first_event(&mut self, sample: &StartSample, now: Duration) {
        if !sample.is_significant() {
            return;
        }
        let kept = decay(now.saturating_sub(self.updated_at), SERVICE_HALF_LIFE);
        self.tokens = self.tokens * kept + sample.tokens as f64;
        self.elapsed_ms = self.elapsed_ms * kept + sample.compute_ms();
        self.updated_at = now;
    }

    /// Updates the time for which requests occupy an engine.
    pub fn on_request_ended(&mut self, held: Duration) {
        self.hold_ms += HOLD_STEP * (millis(held) - self.hold_ms);
    }

    /// Returns the number of tokens that an engine computes per millisecond.
    #[must_use]
    pub fn tokens_per_ms(&self) -> f64 {
        let elapsed_ms = self.elapsed_ms + INITIAL_TOKENS / INITIAL_TOKENS_PER_MS;
        let rate = (self.tokens + INITIAL_TOKENS) / elapsed_ms;
        rate.clamp(TOKENS_PER_MS_RANGE.0, TOKENS_PER_MS_RANGE.1)
    }

    /// Returns the time in which an engine of usual speed computes tokens.
    #[must_use]
    pub fn compute_ms(&self, tokens: f64) -> f64 {
        tokens / self.tokens_per_ms()
    }

    /// Returns the mean time for which a request occupies an engine, in milliseconds.
    #[must_use]
    pub fn hold_ms(&self) -> f64 {
        self.hold_ms
    }
}

/// Sums of expected and actual times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Times {
    expected_ms: f64,
    actual_ms: f64,
}

impl Times {
    /// Returns actual to expected time, if `prior_ms` of expected time was observed at the ratio
    /// `usual` besides.
    fn ratio(self, usual: f64, prior_ms: f64) -> f64 {
        (self.actual_ms + prior_ms * usual) / (self.expected_ms + prior_ms)
    }
}

/// How much longer one server takes than usual for its service. 1 is the usual time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSpeed {
    /// Slowness in the long window, a moving average over intervals.
    long: f64,
    /// Sums of the current interval.
    interval: Times,
    interval_at: Duration,
    /// Decaying sums of the short window.
    short: Times,
    short_at: Duration,
    /// Factor that the server itself has reported, relative to `long`, and when.
    reported: Option<(f64, Duration)>,
}

impl Default for ServerSpeed {
    fn default() -> Self {
        Self {
            long: 1.0,
            interval: Times::default(),
            interval_at: Duration::ZERO,
            short: Times::default(),
            short_at: Duration::ZERO,
            reported: None,
        }
    }
}

impl ServerSpeed {
    /// Updates the speed with a prompt whose first event has arrived.
    pub fn on_first_event(&mut self, sample: &StartSample, service: &ServiceSpeed, now: Duration) {
        if !sample.is_significant() {
            return;
        }
        let expected_ms = service.compute_ms(sample.tokens as f64);
        let actual_ms = sample.compute_ms();
        if now >= self.interval_at + INTERVAL {
            self.end_interval();
            self.interval_at = now;
        }
        self.interval.expected_ms += expected_ms;
        self.interval.actual_ms += actual_ms;
        let kept = decay(now.saturating_sub(self.short_at), SHORT_HALF_LIFE);
        self.short.expected_ms = self.short.expected_ms * kept + expected_ms;
        self.short.actual_ms = self.short.actual_ms * kept + actual_ms;
        self.short_at = now;
    }

    fn end_interval(&mut self) {
        let interval = std::mem::take(&mut self.interval);
        if interval.expected_ms > 0.0 {
            let ratio = interval.ratio(self.long, INTERVAL_PRIOR_MS);
            let ratio = ratio.clamp(INTERVAL_RANGE.0, INTERVAL_RANGE.1);
            self.long += INTERVAL_STEP * (ratio - self.long);
        }
    }

    /// Records the time that the server itself reports for its work, in percent of the usual time.
    pub fn on_reported(&mut self, percent: u32, now: Duration) {
        if percent > 0 {
            self.reported = Some((f64::from(percent) / 100.0, now));
        }
    }

    /// Returns the factor by which the server takes longer than usual for its service.
    #[must_use]
    pub fn slowness(&self, now: Duration) -> f64 {
        let kept = decay(now.saturating_sub(self.short_at), SHORT_HALF_LIFE);
        let short = Times {
            expected_ms: self.short.expected_ms * kept,
            actual_ms: self.short.actual_ms * kept,
        };
        let observed = short.ratio(self.long, SHORT_PRIOR_MS);
        let slowness = match self.reported {
            None => observed,
            Some((factor, at)) => {
                let weight = decay(now.saturating_sub(at), REPORT_HALF_LIFE);
                weight * self.long * factor + (1.0 - weight) * observed
            }
        };
        slowness.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1)
    }
}
