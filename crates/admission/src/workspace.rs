//! Queue, limits and statistics of one workspace.

use crate::fair::Flow;
use crate::plan::{PlanLimits, TokenBucket};
use crate::queue::AdmissionRequest;
use std::collections::VecDeque;
use std::time::Duration;

/// Weight of the newest request in the moving average of service times.
const SERVICE_TIME_SMOOTHING: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) request: AdmissionRequest,
    /// Uptime at which the request was queued.
    pub(crate) queued_at: Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct Workspace {
    pub(crate) limits: PlanLimits,
    /// Bucket for the rate of requests.
    pub(crate) requests: TokenBucket,
    /// Bucket for the rate of tokens.
    pub(crate) tokens: TokenBucket,
    pub(crate) flow: Flow,
    pub(crate) queue: VecDeque<QueuedRequest>,
    /// Estimated tokens of the queued requests.
    pub(crate) queued_tokens: u64,
    /// Number of requests in execution.
    pub(crate) running: u32,
    /// Number of requests refused so far.
    pub(crate) refused: u64,
    /// Moving average of the time from start to end of a request in seconds, 0 before the first
    /// end.
    pub(crate) mean_service_s: f64,
}

impl Workspace {
    /// Returns the time until the plan's limits allow the first queued request to start. `None` if
    /// no request is queued, a rate is zero, or the concurrency is used up.
    pub(crate) fn limit_wait(&self, now: Duration) -> Option<Duration> {
        let first = self.queue.front()?;
        if self.running >= self.limits.share.concurrency {
            return None;
        }
        let requests = self.requests.time_until(1.0, 0.0, now)?;
        let cost = first.request.cost_tokens as f64;
        let tokens = self.tokens.time_until(cost, 0.0, now)?;
        Some(requests.max(tokens))
    }

    /// Adds the time from start to end of a request to the moving average.
    pub(crate) fn observe_service_time(&mut self, service_time: Duration) {
        let service_s = service_time.as_secs_f64();
        if self.mean_service_s == 0.0 {
            self.mean_service_s = service_s;
        }
        self.mean_service_s += SERVICE_TIME_SMOOTHING * (service_s - self.mean_service_s);
    }

    /// Returns the expected wait of a new request behind the workspace's queue while the
    /// concurrency is used up. The requests in execution are assumed to be half done, so the wait
    /// is half a service time shorter than if they had just started.
    pub(crate) fn concurrency_wait(&self) -> Duration {
        let concurrency = self.limits.share.concurrency;
        if self.running < concurrency {
            return Duration::ZERO;
        }
        let rounds = (self.queue.len() as f64 + 0.5) / f64::from(concurrency.max(1));
        Duration::try_from_secs_f64(rounds * self.mean_service_s).unwrap_or(Duration::MAX)
    }

    /// Returns the time until the plan's rates allow a new request to start after the queued ones.
    /// `None` if a rate or the concurrency is zero.
    pub(crate) fn limit_wait_behind_queue(
        &self,
        request: &AdmissionRequest,
        now: Duration,
    ) -> Option<Duration> {
        let requests = self
            .requests
            .time_until(1.0, self.queue.len() as f64, now)?;
        let cost = request.cost_tokens as f64;
        let tokens = self
            .tokens
            .time_until(cost, self.queued_tokens as f64, now)?;
        (self.limits.share.concurrency > 0).then_some(requests.max(tokens))
    }
}
