//! Warm-up of backend servers and the limit of concurrent weight loads.
//!
//! A cold server fails under full load. Its capacity is the number of concurrent requests that all
//! daemons together may have on it. The capacity grows with the completions that the server itself
//! reports, so every daemon derives the same capacity from the same report, and the capacity of a
//! server that completes nothing does not grow.

use crate::load::LoadReport;
use anvilgw_core::ServerId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of the warm-up of a server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdSettings {
    /// Concurrent requests that a server sustains when it has just become cold.
    pub cold_concurrency: u32,
    /// Concurrent requests that a warm server sustains.
    pub full_concurrency: u32,
    /// Number of completed requests after which the capacity grows by one.
    pub completions_per_step: f64,
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self {
            cold_concurrency: 2,
            full_concurrency: 32,
            completions_per_step: 2.0,
        }
    }
}

/// Reason why a server counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ColdCause {
    /// The daemon has not received a load report of the server yet.
    Unknown,
    /// The server started and has not completed enough requests yet.
    Started,
    /// The server restarted: it reported a later start time.
    Restarted,
    /// The server lost its cache without a restart.
    CacheLost,
    /// The server failed requests in a way typical of overload.
    Overloaded,
    /// A request failed, as happens when a server restarts. The next report that was measured after
    /// the failure decides.
    Suspected,
}

/// Change of a server between cold and warm, for the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WarmUpChange {
    /// The server became cold, for this reason.
    Cold(ColdCause),
    /// The server reached full capacity.
    Warm,
}

/// Whether one backend server is cold or warm, and how far its warm-up has progressed.
#[derive(Clone, Copy, Debug)]
pub struct WarmUpState {
    settings: ColdSettings,
    cold_cause: Option<ColdCause>,
    /// Completions that the server had reported when it became cold.
    completed_before: u64,
    last_report: Option<LoadReport>,
    /// Time of the last failed request while the cause is [`ColdCause::Suspected`].
    suspected_at: Option<Duration>,
}

impl WarmUpState {
    /// Creates the state of a server without reports, which counts as cold.
    #[must_use]
    pub fn new(settings: ColdSettings) -> Self {
        Self {
            settings,
            cold_cause: Some(ColdCause::Unknown),
            completed_before: 0,
            last_report: None,
            suspected_at: None,
        }
    }

    /// Changes the settings. A cold server stays cold and a warm one warm.
    pub fn set_settings(&mut self, settings: ColdSettings) {
        self.settings = settings;
    }

    /// Returns the reason why the server is cold; `None` if it is warm.
    #[must_use]
    pub fn cold_cause(&self) -> Option<ColdCause> {
        self.cold_cause
    }

    /// Returns the number of concurrent requests of all daemons that the server sustains now. It is
    /// the size of the fleet-wide budget of permits.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        let full = self.settings.full_concurrency;
        if self.cold_cause.is_none() {
            return full;
        }
        let completed = self.last_report.map_or(0, |report| {
            report.completed.saturating_sub(self.completed_before)
        });
        let steps = (completed as f64 / self.settings.completions_per_step.max(1e-9)) as u64;
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        self.settings
            .cold_concurrency
            .saturating_add(steps)
            .min(full)
    }

    /// Applies a load report. Returns the change between cold and warm that it caused, if any.
    pub fn on_load_report(&mut self, report: &LoadReport) -> Option<WarmUpChange> {
        let Some(last_report) = self.last_report.replace(*report) else {
            // Without an earlier report, the server is warm if it reports so or has completed
            // enough requests since its start. Later reports can only show that it became cold
            // again.
            self.completed_before = 0;
            if report.reported_warm == Some(true) {
                self.cold_cause = None;
                return Some(WarmUpChange::Warm);
            }
            self.cold_cause = Some(ColdCause::Started);
            return self.become_warm_if_full();
        };
        if report.started_ms < last_report.started_ms {
            self.last_report = Some(last_report);
            return None;
        }
        if report.started_ms > last_report.started_ms {
            return self.become_cold(ColdCause::Restarted, 0);
        }
        if report.measured_at < last_report.measured_at {
            self.last_report = Some(last_report);
            return None;
        }
        if report.overloads > last_report.overloads {
            return self.become_cold(ColdCause::Overloaded, report.completed);
        }
        if report.cached_blocks == 0 && last_report.cached_blocks > 0 {
            return self.become_cold(ColdCause::CacheLost, report.completed);
        }
        self.become_warm_if_same_process(report)
            .or_else(|| self.become_warm_if_full())
    }

    /// Records that a request of this daemon failed. Reports lag, so a server that restarted would
    /// get full load until the first report of its new process. The server therefore counts as cold
    /// until a report that was measured after the failure shows that the process is the same.
    pub fn on_request_failed(&mut self, now: Duration) -> Option<WarmUpChange> {
        if self.cold_cause.is_none() {
            let completed = self.last_report.map_or(0, |report| report.completed);
            let change = self.become_cold(ColdCause::Suspected, completed);
            self.suspected_at = Some(now);
            return change;
        }
        if self.suspected_at.is_some() {
            self.suspected_at = Some(now);
        }
        None
    }

    fn become_warm_if_same_process(&mut self, report: &LoadReport) -> Option<WarmUpChange> {
        self.suspected_at
            .take_if(|suspected_at| report.measured_at > *suspected_at)?;
        self.cold_cause = None;
        Some(WarmUpChange::Warm)
    }

    /// Records that a request of this daemon failed with an error typical of overload.
    pub fn on_request_overloaded(&mut self) -> Option<WarmUpChange> {
        let completed = self.last_report.map_or(0, |report| report.completed);
        self.become_cold(ColdCause::Overloaded, completed)
    }

    fn become_cold(
        &mut self,
        cold_cause: ColdCause,
        completed_before: u64,
    ) -> Option<WarmUpChange> {
        self.completed_before = completed_before;
        self.cold_cause = Some(cold_cause);
        self.suspected_at = None;
        // A restarted server may have completed enough requests by its first report.
        self.become_warm_if_full()
            .is_none()
            .then_some(WarmUpChange::Cold(cold_cause))
    }

    fn become_warm_if_full(&mut self) -> Option<WarmUpChange> {
        let full = self.cold_cause.is_some() && self.capacity() >= self.settings.full_concurrency;
        full.then(|| {
            self.cold_cause = None;
            self.suspected_at = None;
            WarmUpChange::Warm
        })
    }
}

/// Reason why a weight load may not start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WeightLoadRefusal {
    /// The maximum number of servers are loading weights.
    Limit,
    /// The server is already loading weights.
    Running,
}

/// Limits how many servers load weights concurrently. The weight store is rate-limited, so more
/// concurrent loads would only make each of them slower.
#[derive(Clone, Debug)]
pub struct WeightLoadLimiter {
    limit: usize,
    timeout: Duration,
    running: IndexMap<ServerId, Duration>,
}

impl WeightLoadLimiter {
    /// Maximum number of concurrent loads unless an operator sets another.
    pub const DEFAULT_LIMIT: usize = 3;

    /// Creates a limiter for `limit` concurrent loads. A load that has not ended after `timeout`
    /// counts as failed and no longer takes up the limit.
    #[must_use]
    pub fn new(limit: usize, timeout: Duration) -> Self {
        Self {
            limit,
            timeout,
            running: IndexMap::new(),
        }
    }

    /// Records the start of a load.
    ///
    /// # Errors
    ///
    /// Returns a [`WeightLoadRefusal`] if the load may not start; the caller tries again after the
    /// end of another load.
    pub fn start(&mut self, server: ServerId, now: Duration) -> Result<(), WeightLoadRefusal> {
        let timeout = self.timeout;
        self.running
            .retain(|_, started| now.saturating_sub(*started) < timeout);
        if self.running.contains_key(&server) {
            return Err(WeightLoadRefusal::Running);
        }
        if self.running.len() >= self.limit {
            return Err(WeightLoadRefusal::Limit);
        }
        self.running.insert(server, now);
        Ok(())
    }

    /// Records the end of a load, whether it succeeded or not.
    pub fn end(&mut self, server: ServerId) {
        self.running.shift_remove(&server);
    }

    /// Returns the servers that are loading weights.
    pub fn running(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.running.keys().copied()
    }
}
