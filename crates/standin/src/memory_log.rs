//! The log service in memory, for tests without sockets and behind the HTTP stand-in.

use crate::fault_rng::FaultRng;
use crate::limits::RequestLimit;
use anvilgw_core::{Clock, LogError, LogRecord, LogService, LogSlice, Offset, SystemClock};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Settings of the log service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogConfig {
    /// Appends accepted in any second over all streams; 0 for no limit.
    pub appends_per_s: u32,
    /// Age at which records are dropped; 0 for no limit.
    pub retention_ms: u64,
    /// Records kept per stream; 0 for no limit.
    pub retention_records: usize,
    /// Seed of the faults of chance.
    pub seed: u64,
    /// Faults at start.
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

/// Faults of the log service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// All calls are refused.
    pub outage: bool,
    /// Delay of every answer.
    pub slow_ms: u64,
    /// Probability that an append takes effect and its answer is lost.
    pub lose_answer_probability: f64,
    /// Number of appends from now on that take effect and whose answers are lost.
    pub lose_next_answers: u32,
    /// Probability that the request of an append is lost before it takes effect.
    pub lose_request_probability: f64,
}

/// Counters of the log service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogCounters {
    /// Appends that took effect.
    pub appended: u64,
    /// Appends refused because of the rate limit.
    pub over_rate: u64,
    /// Appends refused because of an outage.
    pub refused: u64,
    /// Appends that took effect and whose answers were lost.
    pub answers_lost: u64,
    /// Read calls.
    pub reads: u64,
    /// Largest number of append calls in any second.
    pub peak_appends_per_s: u64,
}

/// What became of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Appended {
    At(Offset),
    OverRate,
    Outage,
    RequestLost,
    AnswerLost,
}

/// The log service in memory. Clones share the same streams.
#[derive(Clone)]
pub struct MemoryLog {
    inner: Arc<Inner>,
}

struct Inner {
    config: LogConfig,
    clock: Arc<dyn Clock>,
    fault_rng: FaultRng,
    state: Mutex<State>,
    appended: Condvar,
    version: watch::Sender<u64>,
}

#[derive(Default)]
struct State {
    streams: IndexMap<String, Stream>,
    faults: LogFaults,
    counters: LogCounters,
    limit: RequestLimit,
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
            let is_old = config.retention_ms > 0 && *time + max_age < now;
            let is_over =
                config.retention_records > 0 && self.records.len() > config.retention_records;
            if !is_old && !is_over {
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
    /// slow answers take real time.
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
                appended: Condvar::new(),
                version: watch::Sender::new(0),
            }),
        }
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LogFaults) {
        self.state().faults = faults;
    }

    /// Faults in force.
    #[must_use]
    pub fn faults(&self) -> LogFaults {
        self.state().faults.clone()
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> LogCounters {
        let state = self.state();
        LogCounters {
            peak_appends_per_s: state.limit.peak_attempts() as u64,
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

    pub(crate) fn try_append(&self, stream: &str, payload: &[u8]) -> Appended {
        let now = self.inner.clock.uptime();
        let mut state = self.state();
        let state = &mut *state;
        let in_rate = state.limit.admit(now, self.inner.config.appends_per_s);
        if state.faults.outage {
            state.counters.refused += 1;
            return Appended::Outage;
        }
        if !in_rate {
            state.counters.over_rate += 1;
            return Appended::OverRate;
        }
        if self
            .inner
            .fault_rng
            .chance(state.faults.lose_request_probability)
        {
            return Appended::RequestLost;
        }
        let stream = state.streams.entry(stream.to_owned()).or_default();
        let offset = stream.next_offset();
        stream.records.push_back((now, payload.to_vec()));
        stream.trim(now, &self.inner.config);
        state.counters.appended += 1;
        self.inner.appended.notify_all();
        self.inner.version.send_modify(|version| *version += 1);
        let is_next_lost = state.faults.lose_next_answers > 0;
        state.faults.lose_next_answers -= u32::from(is_next_lost);
        if is_next_lost
            || self
                .inner
                .fault_rng
                .chance(state.faults.lose_answer_probability)
        {
            state.counters.answers_lost += 1;
            return Appended::AnswerLost;
        }
        Appended::At(Offset(offset))
    }

    pub(crate) fn try_read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
    ) -> Result<LogSlice, LogError> {
        Self::read_locked(&self.inner, &mut self.state(), stream, from, max)
    }

    /// Signals each append.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.inner.version.subscribe()
    }

    pub(crate) fn slow(&self) -> Duration {
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
        let slow = self.slow();
        if !slow.is_zero() {
            std::thread::sleep(slow);
        }
        match self.try_append(stream, payload) {
            Appended::At(offset) => Ok(offset),
            Appended::OverRate => Err(LogError::Unavailable("over the append rate".to_owned())),
            Appended::Outage => Err(LogError::Unavailable("outage".to_owned())),
            // Over a network both look the same to the caller.
            Appended::RequestLost | Appended::AnswerLost => {
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
        let slow = self.slow();
        if !slow.is_zero() {
            std::thread::sleep(slow);
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
                .appended
                .wait_timeout(state, left)
                .expect("log lock")
                .0;
        }
    }
}
