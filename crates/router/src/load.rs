//! Load of a backend server, estimated from its lagging reports and the requests that this daemon
//! has sent to it since.

use crate::price::EngineRates;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Sent requests tracked per server. A daemon sends fewer than this within the few seconds by which
/// reports lag.
const TRACKED_REQUESTS_MAX: usize = 256;

/// Load and cache state that a backend server reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Start time of the server's process in milliseconds since 1970. A later one means a restart.
    pub started_ms: u64,
    /// Time of the measurement on this daemon's clock.
    pub measured_at: Duration,
    /// Prompt tokens that wait for their prefill.
    pub queued_prefill_tokens: u64,
    /// Requests that the server is executing.
    pub running: u32,
    /// Requests that wait in the server's queue.
    pub waiting: u32,
    /// Requests of all daemons that the server has completed since its start.
    pub completed: u64,
    /// Requests that have failed because of overload since the server's start.
    pub overloads: u64,
    /// Blocks in the server's prefix cache.
    pub cached_blocks: u64,
    /// Whether the server reports that it is warm; `None` if it does not report this.
    pub reported_warm: Option<bool>,
}

#[derive(Clone, Copy, Debug)]
struct SentRequest {
    sent_at: Duration,
    prefill_tokens: u64,
}

/// Estimated load of one backend server.
#[derive(Clone, Debug, Default)]
pub struct ServerLoad {
    report: Option<LoadReport>,
    sent_requests: VecDeque<SentRequest>,
    backlog_tokens: f64,
    backlog_updated_at: Duration,
    own_running: u32,
    own_sent_since_report: u32,
    own_ended_since_report: u32,
}

impl ServerLoad {
    /// Applies a load report, unless it is older than the last one. Requests that this daemon sent
    /// after the measurement are added, since the report cannot include them.
    pub fn on_load_report(&mut self, report: LoadReport, rates: &EngineRates) {
        if self
            .report
            .is_some_and(|previous| previous.measured_at > report.measured_at)
        {
            return;
        }
        self.backlog_tokens = report.queued_prefill_tokens as f64;
        self.backlog_updated_at = report.measured_at;
        self.report = Some(report);
        self.own_ended_since_report = 0;
        while self
            .sent_requests
            .front()
            .is_some_and(|request| request.sent_at <= report.measured_at)
        {
            self.sent_requests.pop_front();
        }
        self.own_sent_since_report = self.sent_requests.len() as u32;
        for index in 0..self.sent_requests.len() {
            let request = self.sent_requests[index];
            self.add_to_backlog(request, rates);
        }
    }

    /// Records a request that this daemon sends now.
    pub fn on_request_sent(&mut self, prefill_tokens: u64, now: Duration, rates: &EngineRates) {
        let request = SentRequest {
            sent_at: now,
            prefill_tokens,
        };
        if self.sent_requests.len() == TRACKED_REQUESTS_MAX {
            self.sent_requests.pop_front();
        }
        self.sent_requests.push_back(request);
        self.own_running += 1;
        self.own_sent_since_report += 1;
        self.add_to_backlog(request, rates);
    }

    /// Records the end of a request that this daemon sent.
    pub fn on_request_ended(&mut self) {
        self.own_running = self.own_running.saturating_sub(1);
        self.own_ended_since_report += 1;
    }

    /// Discards the report and the backlog of the server's earlier process.
    pub fn on_server_restarted(&mut self, now: Duration) {
        self.report = None;
        self.sent_requests.clear();
        self.backlog_tokens = 0.0;
        self.backlog_updated_at = now;
        self.own_sent_since_report = 0;
        self.own_ended_since_report = 0;
    }

    /// Returns the newest report of the server's current process, if any.
    #[must_use]
    pub fn report(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// Returns the number of this daemon's requests that have not ended on the server.
    #[must_use]
    pub fn own_running(&self) -> u32 {
        self.own_running
    }

    /// Estimates the requests on the server: those in the report, plus the requests that this
    /// daemon sent since, minus those that ended.
    #[must_use]
    pub fn requests(&self) -> u32 {
        let reported = self
            .report
            .map_or(0, |report| report.running + report.waiting);
        (reported + self.own_sent_since_report)
            .saturating_sub(self.own_ended_since_report)
            .max(self.own_running)
    }

    /// Estimates the prompt tokens that wait for their prefill at `now`.
    #[must_use]
    pub fn backlog_tokens(&self, now: Duration, rates: &EngineRates) -> f64 {
        let elapsed_s = now.saturating_sub(self.backlog_updated_at).as_secs_f64();
        (self.backlog_tokens - elapsed_s * rates.prefill_tokens_per_s).max(0.0)
    }

    /// Estimates the time until a new request starts its prefill, in milliseconds.
    #[must_use]
    pub fn queue_ms(&self, now: Duration, rates: &EngineRates) -> f64 {
        let backlog_ms = self.backlog_tokens(now, rates) / rates.prefill_tokens_per_s * 1e3;
        backlog_ms + self.batch_wait_ms(rates)
    }

    /// Returns the time to compute the backlog as of its last update.
    pub(crate) fn backlog_ms(&self, rates: &EngineRates) -> f64 {
        self.backlog_tokens / rates.prefill_tokens_per_s * 1e3
    }

    /// Returns the time at which the server will have computed that backlog.
    pub(crate) fn backlog_end_ms(&self, rates: &EngineRates) -> f64 {
        self.backlog_updated_at.as_secs_f64() * 1e3 + self.backlog_ms(rates)
    }

    /// Estimates the wait for a place in the batch. A full batch accepts the next request when one
    /// of its requests ends.
    pub(crate) fn batch_wait_ms(&self, rates: &EngineRates) -> f64 {
        let ahead = self
            .requests()
            .saturating_sub(rates.max_concurrency.saturating_sub(1));
        f64::from(ahead) * rates.mean_decode_tokens * rates.decode_ms_per_token
            / f64::from(rates.max_concurrency.max(1))
    }

    fn add_to_backlog(&mut self, request: SentRequest, rates: &EngineRates) {
        self.backlog_tokens =
            self.backlog_tokens(request.sent_at, rates) + request.prefill_tokens as f64;
        self.backlog_updated_at = self.backlog_updated_at.max(request.sent_at);
    }
}
