//! Queue and limits of one workspace.

use crate::fair::Flow;
use crate::plan::{Bucket, PlanLimits};
use crate::queue::AdmissionRequest;
use std::collections::VecDeque;
use std::time::Duration;

/// Weight of the newest observation in the average service time.
const SERVICE_SMOOTHING: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) request: AdmissionRequest,
    pub(crate) queued_at: Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct Workspace {
    pub(crate) limits: PlanLimits,
    pub(crate) requests: Bucket,
    pub(crate) tokens: Bucket,
    pub(crate) flow: Flow,
    pub(crate) queue: VecDeque<QueuedRequest>,
    pub(crate) queued_tokens: u64,
    pub(crate) running: u32,
    pub(crate) refused: u64,
    /// Time from start to end of a request, on average.
    pub(crate) service_s: f64,
}

impl Workspace {
    /// Time until the first waiting request is within the limits. `None` without one, without a
    /// rate, or while the concurrency is used up.
    pub(crate) fn limit_wait(&self, now: Duration) -> Option<Duration> {
        let first = self.queue.front()?;
        if self.running >= self.limits.share.concurrency {
            return None;
        }
        let requests = self.requests.wait(1.0, 0.0, now)?;
        let cost = first.request.cost_tokens as f64;
        let tokens = self.tokens.wait(cost, 0.0, now)?;
        Some(requests.max(tokens))
    }

    pub(crate) fn observe_service(&mut self, service: Duration) {
        let service_s = service.as_secs_f64();
        if self.service_s == 0.0 {
            self.service_s = service_s;
        }
        self.service_s += SERVICE_SMOOTHING * (service_s - self.service_s);
    }

    /// Expected wait behind the own queue while the concurrency is used up. Half a service time
    /// less than the time until the queue has passed, since the requests in execution are under
    /// way.
    pub(crate) fn concurrency_wait(&self) -> Duration {
        let concurrency = self.limits.share.concurrency;
        if self.running < concurrency {
            return Duration::ZERO;
        }
        let rounds = (self.queue.len() as f64 + 0.5) / f64::from(concurrency.max(1));
        Duration::try_from_secs_f64(rounds * self.service_s).unwrap_or(Duration::MAX)
    }

    /// Time until a new request is within the rates, behind those that wait.
    pub(crate) fn limit_wait_behind_queue(
        &self,
        request: &AdmissionRequest,
        now: Duration,
    ) -> Option<Duration> {
        let requests = self.requests.wait(1.0, self.queue.len() as f64, now)?;
        let cost = request.cost_tokens as f64;
        let tokens = self.tokens.wait(cost, self.queued_tokens as f64, now)?;
        (self.limits.share.concurrency > 0).then_some(requests.max(tokens))
    }
}
