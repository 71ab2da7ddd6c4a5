//! WarmUpState of backend servers and the limit of concurrent weight loads.
//!
//! A cold server fails under full load. Its capacity is the fleet-wide budget of concurrent requests
//! on it, over all daemons together. It grows with completions that the server itself reports, so
//! every daemon derives the same capacity from the same report, and a server that completes nothing
//! does not grow.

use crate::load::LoadReport;
use anvilgw_core::ServerId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of cold starts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdSettings {
    /// Concurrent requests that a cold server sustains.
    pub cold_concurrency: u32,
    /// Concurrent requests that a warm server sustains.
    pub full_concurrency: u32,
    /// Completions after which the capacity grows by one.
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

/// Why a server counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ColdCause {
    /// The daemon has seen no report of the server yet.
    Unknown,
    /// The server started.
    Started,
    /// The server restarted without an announcement: new start time.
    Restarted,
    /// The server lost its cache without a new start time.
    CacheLost,
    /// The server failed requests in a way typical of overload.
    Overloaded,
    /// A request broke, as it does when a server restarts. A report measured later decides.
    Suspected,
}

/// A change of temperature, for the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WarmUpChange {
    /// The server became cold.
    Cold(ColdCause),
    /// The server reached full capacity.
    Warm,
}

/// WarmUpState of one backend server.
#[derive(Clone, Copy, Debug)]
pub struct WarmUpState {
    settings: ColdSettings,
    cause: Option<ColdCause>,
    /// Completions in the report at which the server became cold.
    completed_base: u64,
    known: Option<LoadReport>,
    suspected_at: Option<Duration>,
}

impl WarmUpState {
    /// Creates the temperature of a server of which nothing is known, which is cold.
    #[must_use]
    pub fn new(settings: ColdSettings) -> Self {
        Self {
            settings,
            cause: Some(ColdCause::Unknown),
            completed_base: 0,
            known: None,
            suspected_at: None,
        }
    }

    /// Changes the settings; the temperature is kept.
    pub fn set_settings(&mut self, settings: ColdSettings) {
        self.settings = settings;
    }

    /// Whether the server is cold, and why.
    #[must_use]
    pub fn cold_cause(&self) -> Option<ColdCause> {
        self.cause
    }

    /// Concurrent requests that the server sustains now, over all daemons together. It is the size
    /// of the fleet-wide budget of permits.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        let full = self.settings.full_concurrency;
        if self.cause.is_none() {
            return full;
        }
        let completed = self.known.map_or(0, |report| {
            report.completed.saturating_sub(self.completed_base)
        });
        let steps = (completed as f64 / self.settings.completions_per_step.max(1e-9)) as u64;
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        self.settings
            .cold_concurrency
            .saturating_add(steps)
            .min(full)
    }

    /// Takes a load report.
    pub fn on_load_report(&mut self, report: &LoadReport) -> Option<WarmUpChange> {
        let Some(known) = self.known.replace(*report) else {
            // Without a history the server's own word counts, or else its completions since the
            // start. Later reports can only show that it became cold again.
            self.completed_base = 0;
            if report.reported_warm == Some(true) {
                self.cause = None;
                return Some(WarmUpChange::Warm);
            }
            self.cause = Some(ColdCause::Started);
            return self.warm_if_full();
        };
        if report.started_ms < known.started_ms {
            self.known = Some(known);
            return None;
        }
        if report.started_ms > known.started_ms {
            return self.cool(ColdCause::Restarted, 0);
        }
        if report.measured_at < known.measured_at {
            self.known = Some(known);
            return None;
        }
        if report.overloads > known.overloads {
            return self.cool(ColdCause::Overloaded, report.completed);
        }
        if report.cached_blocks == 0 && known.cached_blocks > 0 {
            return self.cool(ColdCause::CacheLost, report.completed);
        }
        self.clear_suspicion(report).or_else(|| self.warm_if_full())
    }

    /// Notes that a request of this daemon broke. Reports lag, so a server that restarted would get
    /// full load until the first report of the new process; it counts as cold until a report that
    /// was measured after the failure shows that the process is the same.
    pub fn on_request_failed(&mut self, now: Duration) -> Option<WarmUpChange> {
        if self.cause.is_none() {
            let completed = self.known.map_or(0, |report| report.completed);
            let change = self.cool(ColdCause::Suspected, completed);
            self.suspected_at = Some(now);
            return change;
        }
        if self.suspected_at.is_some() {
            self.suspected_at = Some(now);
        }
        None
    }

    fn clear_suspicion(&mut self, report: &LoadReport) -> Option<WarmUpChange> {
        self.suspected_at
            .take_if(|suspected_at| report.measured_at > *suspected_at)?;
        self.cause = None;
        Some(WarmUpChange::Warm)
    }

    /// Notes an error typical of overload that a request of this daemon met.
    pub fn on_request_overloaded(&mut self) -> Option<WarmUpChange> {
        let completed = self.known.map_or(0, |report| report.completed);
        self.cool(ColdCause::Overloaded, completed)
    }

    fn cool(&mut self, cause: ColdCause, completed_base: u64) -> Option<WarmUpChange> {
        self.completed_base = completed_base;
        self.cause = Some(cause);
        self.suspected_at = None;
        // A restarted server may have completed enough by the time of its first report.
        self.warm_if_full()
            .is_none()
            .then_some(WarmUpChange::Cold(cause))
    }

    fn warm_if_full(&mut self) -> Option<WarmUpChange> {
        let full = self.cause.is_some() && self.capacity() >= self.settings.full_concurrency;
        full.then(|| {
            self.cause = None;
            self.suspected_at = None;
            WarmUpChange::Warm
        })
    }
}

/// Why a weight load must wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WeightLoadRefusal {
    /// As many servers load weights as are allowed.
    Limit,
    /// The server loads weights already.
    Running,
}

/// Limit of concurrent weight loads. The weight store is rate-limited, so more loads at once only
/// make each of them longer.
#[derive(Clone, Debug)]
pub struct WeightLoadLimiter {
    limit: usize,
    longest: Duration,
    running: IndexMap<ServerId, Duration>,
}

impl WeightLoadLimiter {
    /// Loads at once unless operators specify otherwise.
    pub const DEFAULT_LIMIT: usize = 3;

    /// Creates the limit. A load without an end after `longest` counts as failed.
    #[must_use]
    pub fn new(limit: usize, longest: Duration) -> Self {
        Self {
            limit,
            longest,
            running: IndexMap::new(),
        }
    }

    /// Starts a load.
    ///
    /// # Errors
    ///
    /// The [`WeightLoadRefusal`]; the caller tries again after the end of another load.
    pub fn start(&mut self, server: ServerId, now: Duration) -> Result<(), WeightLoadRefusal> {
        let longest = self.longest;
        self.running
            .retain(|_, started| now.saturating_sub(*started) < longest);
        if self.running.contains_key(&server) {
            return Err(WeightLoadRefusal::Running);
        }
        if self.running.len() >= self.limit {
            return Err(WeightLoadRefusal::Limit);
        }
        self.running.insert(server, now);
        Ok(())
    }

    /// Ends a load, with or without success.
    pub fn end(&mut self, server: ServerId) {
        self.running.shift_remove(&server);
    }

    /// Servers that load weights.
    pub fn running(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.running.keys().copied()
    }
}
