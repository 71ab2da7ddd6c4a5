//! Load of a backend server, estimated from lagging reports and the daemon's own sends.

use crate::price::EngineRates;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Own sends remembered per server. Reports lag by seconds, in which a daemon sends fewer.
const REMEMBERED_SENDS: usize = 256;

/// What a backend server reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Start time of the process in milliseconds since 1970.
    pub started_ms: u64,
    /// Time of the measurement on the clock of the daemon.
    pub measured_at: Duration,
    /// Prompt tokens that wait for prefill.
    pub queued_prefill_tokens: u64,
    /// Requests in execution.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests completed since the start, of all daemons.
    pub completed: u64,
    /// Requests that failed because of overload since the start.
    pub overloads: u64,
    /// Blocks in the prefix cache.
    pub cached_blocks: u64,
    /// Whether the server says that it is warm, if it says anything about it.
    pub reported_warm: Option<bool>,
}

#[derive(Clone, Copy, Debug)]
struct Send {
    at: Duration,
    prefill_tokens: u64,
}

/// Estimated load of one backend server.
#[derive(Clone, Debug, Default)]
pub struct ServerLoad {
    report: Option<LoadReport>,
    sends: VecDeque<Send>,
    backlog_tokens: f64,
    backlog_at: Duration,
    own_running: u32,
    own_since_report: u32,
    own_completed_since_report: u32,
}

impl ServerLoad {
    /// Takes a report. Own sends after its measurement are added to it, since it cannot include them.
    pub fn on_load_report(&mut self, report: LoadReport, rates: &EngineRates) {
        if self
            .report
            .is_some_and(|known| known.measured_at > report.measured_at)
        {
            return;
        }
        self.backlog_tokens = report.queued_prefill_tokens as f64;
        self.backlog_at = report.measured_at;
        self.report = Some(report);
        self.own_completed_since_report = 0;
        while self
            .sends
            .front()
            .is_some_and(|send| send.at <= report.measured_at)
        {
            self.sends.pop_front();
        }
        self.own_since_report = self.sends.len() as u32;
        for at in 0..self.sends.len() {
            let send = self.sends[at];
            self.add(send, rates);
        }
    }

    /// Notes a request that the daemon sends now.
    pub fn on_request_sent(&mut self, prefill_tokens: u64, now: Duration, rates: &EngineRates) {
        let send = Send {
            at: now,
            prefill_tokens,
        };
        if self.sends.len() == REMEMBERED_SENDS {
            self.sends.pop_front();
        }
        self.sends.push_back(send);
        self.own_running += 1;
        self.own_since_report += 1;
        self.add(send, rates);
    }

    /// Notes the end of a request that the daemon sent.
    pub fn on_request_ended(&mut self) {
        self.own_running = self.own_running.saturating_sub(1);
        self.own_completed_since_report += 1;
    }

    /// Forgets what belonged to an earlier process of the server.
    pub fn on_server_restart(&mut self, now: Duration) {
        self.report = None;
        self.sends.clear();
        self.backlog_tokens = 0.0;
        self.backlog_at = now;
        self.own_since_report = 0;
        self.own_completed_since_report = 0;
    }

    /// The newest report.
    #[must_use]
    pub fn report(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// Requests of this daemon on the server.
    #[must_use]
    pub fn own_running(&self) -> u32 {
        self.own_running
    }

    /// Requests on the server: those of the report, corrected by what the daemon did since.
    #[must_use]
    pub fn requests(&self) -> u32 {
        let reported = self
            .report
            .map_or(0, |report| report.running + report.waiting);
        (reported + self.own_since_report)
            .saturating_sub(self.own_completed_since_report)
            .max(self.own_running)
    }

    /// Prompt tokens that wait for prefill now.
    #[must_use]
    pub fn backlog_tokens(&self, now: Duration, rates: &EngineRates) -> f64 {
        let elapsed_s = now.saturating_sub(self.backlog_at).as_secs_f64();
        (self.backlog_tokens - elapsed_s * rates.prefill_tokens_per_s).max(0.0)
    }

    /// Expected time until a new request starts its prefill, in milliseconds.
    #[must_use]
    pub fn queue_ms(&self, now: Duration, rates: &EngineRates) -> f64 {
        let backlog_ms = self.backlog_tokens(now, rates) / rates.prefill_tokens_per_s * 1e3;
        backlog_ms + self.slot_ms(rates)
    }

    /// Time to compute the backlog as it was known last.
    pub(crate) fn backlog_ms(&self, rates: &EngineRates) -> f64 {
        self.backlog_tokens / rates.prefill_tokens_per_s * 1e3
    }

    /// Time at which that backlog is computed.
    pub(crate) fn backlog_end_ms(&self, rates: &EngineRates) -> f64 {
        self.backlog_at.as_secs_f64() * 1e3 + self.backlog_ms(rates)
    }

    /// Wait for a place in a full batch, which accepts the next request when one of its requests
    /// ends.
    pub(crate) fn slot_ms(&self, rates: &EngineRates) -> f64 {
        let ahead = self
            .requests()
            .saturating_sub(rates.max_concurrency.saturating_sub(1));
        f64::from(ahead) * rates.mean_decode_tokens * rates.decode_ms_per_token
            / f64::from(rates.max_concurrency.max(1))
    }

    fn add(&mut self, send: Send, rates: &EngineRates) {
        self.backlog_tokens = self.backlog_tokens(send.at, rates) + send.prefill_tokens as f64;
        self.backlog_at = self.backlog_at.max(send.at);
    }
}
