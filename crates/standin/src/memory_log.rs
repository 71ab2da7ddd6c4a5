//! In-memory log service, used by tests without sockets and by the HTTP stand-in.

use crate::fault_rng::FaultRng;
use crate::rate_limiter::RateLimiter;
use anvilgw_core::{Clock, LogError, LogRecord, LogService, LogSlice, Offset, SystemClock};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Settings of the log stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogConfig {
    /// Largest number of appends accepted within any second, over all streams; 0 for no limit.
    pub appends_per_s: u32,
    /// Age at which records are dropped; 0 for no limit.
    pub retention_ms: u64,
    /// Number of records kept per stream; 0 for no limit.
    pub retention_records: usize,
    /// Seed of the random generator that draws the faults with a probability.
    pub seed: u64,
    /// Faults in effect from the start.
    pub faults: LogFaults,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            appends_per_s: 0,
            retention_ms: 0,
            retention_records: 0,
            seed: 1,
            faults: LogFaults::default(),
        }
    }
}

/// Faults of the log stand-in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// All appends and reads are refused.
    pub outage: bool,
    /// Delay before each append and read.
    pub slow_ms: u64,
    /// Probability that an append takes effect but its answer is lost.
    pub lose_answer_probability: f64,
    /// Number of coming appends that take effect but whose answers are lost.
    pub lose_next_answers: u32,
    /// Probability that the request of an append is lost before it takes effect.
    pub lose_request_probability: f64,
}

/// Counters of the log stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogCounters {
    /// Appends that took effect.
    pub appended: u64,
    /// Appends refused because of the rate limit.
    pub over_rate: u64,
    /// Appends refused because of an outage.
    pub refused: u64,
    /// Appends that took effect but whose answers were lost.
    pub answers_lost: u64,
    /// Read calls, including failed ones.
    pub reads: u64,
    /// Largest number of append calls within any second, whether accepted or not.
    pub peak_appends_per_s: u64,
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendOutcome {
    Appended(Offset),
    OverRate,
    Outage,
    RequestLost,
    AnswerLost,
}

/// In-memory log service. Clones share the same streams, faults and counters.
#[derive(Clone)]
pub struct MemoryLog {
    inner: Arc<Inner>,
}

struct Inner {
    config: LogConfig,
    clock: Arc<dyn Clock>,
    fault_rng: FaultRng,
    state: Mutex<State>,
    /// Wakes the blocked readers after an append.
    append_signal: Condvar,
    /// Number of appends, which wakes the asynchronous readers.
    append_count: watch::Sender<u64>,
}

#[derive(Default)]
struct State {
    streams: IndexMap<String, Stream>,
    faults: LogFaults,
    counters: LogCounters,
    rate_limiter: RateLimiter,
}

#[derive(Default)]
struct Stream {
    first_offset: u64,
    records: VecDeque<(Duration, Vec<u8>)>,
}

impl Stream {
    fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn trim(&mut self, now: Duration, config: &LogConfig) {
        let max_age = Duration::from_millis(config.retention_ms);
        while let Some((time, _)) = self.records.front() {
            let is_expired = config.retention_ms > 0 && *time + max_age < now;
            let is_over_count =
                config.retention_records > 0 && self.records.len() > config.retention_records;
            if !is_expired && !is_over_count {
                break;
            }
            self.records.pop_front();
            self.first_offset += 1;
        }
    }

    fn read(&self, from: Offset, max: usize) -> Result<LogSlice, LogError> {
        let (first_offset, next_offset) = (Offset(self.first_offset), Offset(self.next_offset()));
        if from < first_offset {
            return Err(LogError::Trimmed(first_offset, next_offset));
        }
        let records = (from.0..next_offset.0).take(max).map(|offset| LogRecord {
            offset: Offset(offset),
            payload: self.records[(offset - self.first_offset) as usize]
                .1
                .clone(),
        });
        Ok(LogSlice {
            first_offset,
            next_offset,
            records: records.collect(),
        })
    }
}

impl MemoryLog {
    /// Creates an empty log that uses the operating system's clock.
    #[must_use]
    pub fn new(config: LogConfig) -> Self {
        Self::with_clock(config, Arc::new(SystemClock))
    }

    /// Creates an empty log whose retention and rate limit use the given clock. Waiting reads and
    /// the delay `slow_ms` take real time.
    #[must_use]
    pub fn with_clock(config: LogConfig, clock: Arc<dyn Clock>) -> Self {
        let state = State {
            faults: config.faults.clone(),
            ..State::default()
        };
        Self {
            inner: Arc::new(Inner {
                fault_rng: FaultRng::new(config.seed),
                config,
                clock,
                state: Mutex::new(state),
                append_signal: Condvar::new(),
                append_count: watch::Sender::new(0),
            }),
        }
    }

    /// Replaces all faults with `faults`, effective at once for all clones.
    pub fn set_faults(&self, faults: LogFaults) {
        self.state().faults = faults;
    }

    /// Returns the faults in effect.
    #[must_use]
    pub fn faults(&self) -> LogFaults {
        self.state().faults.clone()
    }

    /// Returns the counters since the log was created.
    #[must_use]
    pub fn counters(&self) -> LogCounters {
        let state = self.state();
        LogCounters {
            peak_appends_per_s: state.rate_limiter.peak_attempts() as u64,
            ..state.counters
        }
    }

    /// Drops the records of a stream below `offset`, as retention does.
    pub fn trim(&self, stream: &str, offset: Offset) {
        let mut state = self.state();
        let stream = state.streams.entry(stream.to_owned()).or_default();
        while stream.first_offset < offset.0 && stream.records.pop_front().is_some() {
            stream.first_offset += 1;
        }
    }

    /// Reads all records held in a stream, regardless of faults.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<LogRecord> {
        let state = self.state();
        state.streams.get(stream).map_or_else(Vec::new, |stream| {
            stream
                .read(Offset(stream.first_offset), usize::MAX)
                .map_or_else(|_| Vec::new(), |slice| slice.records)
        })
    }

    pub(crate) fn try_append(&self, stream: &str, payload: &[u8]) -> AppendOutcome {
        let now = self.inner.clock.uptime();
        let mut state = self.state();
        let state = &mut *state;
        let is_within_rate = state
            .rate_limiter
            .admit(now, self.inner.config.appends_per_s);
        if state.faults.outage {
            state.counters.refused += 1;
            return AppendOutcome::Outage;
        }
        if !is_within_rate {
            state.counters.over_rate += 1;
            return AppendOutcome::OverRate;
        }
        if self
            .inner
            .fault_rng
            .chance(state.faults.lose_request_probability)
        {
            return AppendOutcome::RequestLost;
        }
        let stream = state.streams.entry(stream.to_owned()).or_default();
        let offset = stream.next_offset();
        stream.records.push_back((now, payload.to_vec()));
        stream.trim(now, &self.inner.config);
        state.counters.appended += 1;
        self.inner.append_signal.notify_all();
        self.inner.append_count.send_modify(|count| *count += 1);
        let is_next_lost = state.faults.lose_next_answers > 0;
        state.faults.lose_next_answers -= u32::from(is_next_lost);
        if is_next_lost
            || self
                .inner
                .fault_rng
                .chance(state.faults.lose_answer_probability)
        {
            state.counters.answers_lost += 1;
            return AppendOutcome::AnswerLost;
        }
        AppendOutcome::Appended(Offset(offset))
    }

    pub(crate) fn try_read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
    ) -> Result<LogSlice, LogError> {
        Self::read_locked(&self.inner, &mut self.state(), stream, from, max)
    }

    /// Returns a receiver that is notified of each append.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.inner.append_count.subscribe()
    }

    /// Returns the delay that the fault `slow_ms` sets.
    pub(crate) fn injected_delay(&self) -> Duration {
        Duration::from_millis(self.state().faults.slow_ms)
    }

    pub(crate) fn count_read(&self) {
        self.state().counters.reads += 1;
    }

    fn read_locked(
        inner: &Inner,
        state: &mut State,
        stream: &str,
        from: Offset,
        max: usize,
    ) -> Result<LogSlice, LogError> {
        if state.faults.outage {
            return Err(LogError::Unavailable("outage".to_owned()));
        }
        let Some(stream) = state.streams.get_mut(stream) else {
            return Stream::default().read(from, max);
        };
        stream.trim(inner.clock.uptime(), &inner.config);
        stream.read(from, max)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().expect("log lock")
    }
}

impl fmt::Debug for MemoryLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemoryLog")
            .field("config", &self.inner.config)
            .finish_non_exhaustive()
    }
}

impl LogService for MemoryLog {
    fn append(&self, stream: &str, payload: &[u8]) -> Result<Offset, LogError> {
        let delay = self.injected_delay();
        if !delay.is_zero() {
            std::thread::sleep(delay);
        }
        match self.try_append(stream, payload) {
            AppendOutcome::Appended(offset) => Ok(offset),
            AppendOutcome::OverRate => {
                Err(LogError::Unavailable("over the append rate".to_owned()))
            }
            AppendOutcome::Outage => Err(LogError::Unavailable("outage".to_owned())),
            // Over a network, the caller cannot tell a lost request from a lost answer.
            AppendOutcome::RequestLost | AppendOutcome::AnswerLost => {
                Err(LogError::AnswerLost("connection closed".to_owned()))
            }
        }
    }

    fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<LogSlice, LogError> {
        self.count_read();
        let delay = self.injected_delay();
        if !delay.is_zero() {
            std::thread::sleep(delay);
        }
        let end = Instant::now() + wait;
        let mut state = self.state();
        loop {
            let slice = Self::read_locked(&self.inner, &mut state, stream, from, max)?;
            let left = end.saturating_duration_since(Instant::now());
            if !slice.records.is_empty() || left.is_zero() {
                return Ok(slice);
            }
            state = self
                .inner
                .append_signal
                .wait_timeout(state, left)
                .expect("log lock")
                .0;
        }
    }
}
