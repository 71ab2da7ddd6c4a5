//! The quarantine service: keeps prompts under which engines end from the other engines.
//!
//! The daemons of the fleet share what they see through a stream of the log service, which the
//! worker thread reads and writes. Request handlers only lock the state for a moment.

use anvilgw_core::log_position::{LogPosition, StoreEpoch};
use anvilgw_core::{Clock, ErrorKind, Failure, LogError, LogService, Offset, ServerId, Stage};
use anvilgw_kernel::{EventKind, Journal, StopSignal, WorkerThread};
use anvilgw_quarantine::pending_ends::PendingEnds;
use anvilgw_quarantine::record::KeyedRecord;
use anvilgw_quarantine::{
    Admission, PartKey, Quarantine, QuarantineChange, REFUSAL_DETAIL, ServerStart, Suspect, Times,
    UNCLAIMED_RETRY_AFTER,
};
use indexmap::IndexMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time between two reads of the stream. Reports of this daemon wait as long at most.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time until the worker thread notices that the daemon stops. The reads are not held back
/// by the log service, since the daemon would have to wait for their end.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of records in one read.
const READ_MAX: usize = 512;

/// What a poll of an engine has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EnginePoll {
    /// The engine answers; it was started at this Unix time in milliseconds.
    Started(u64),
    /// The engine does not answer.
    Unreachable,
}

/// Handle through which request handlers and polls reach the quarantine.
pub(crate) struct QuarantineService {
    state: Mutex<State>,
    log: Arc<dyn LogService>,
    stream: String,
    clock: Arc<dyn Clock>,
    journal: Arc<Journal>,
}

struct State {
    quarantine: Quarantine,
    /// Start times of the engines in Unix milliseconds, as far as they are known.
    started_ms: IndexMap<ServerId, u64>,
    /// Answers that broke off, until a poll shows whether the engine has ended.
    pending_ends: PendingEnds<ServerId>,
}

impl QuarantineService {
    /// Starts the worker thread.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a thread.
    pub(crate) fn start(
        stream: String,
        log: Arc<dyn LogService>,
        clock: Arc<dyn Clock>,
        journal: Arc<Journal>,
        stop: StopSignal,
    ) -> io::Result<(Arc<Self>, WorkerThread)> {
        let state = State {
            quarantine: Quarantine::new(rand::random()),
            started_ms: IndexMap::new(),
            pending_ends: PendingEnds::default(),
        };
        let service = Arc::new(Self {
            state: Mutex::new(state),
            log,
            stream,
            clock,
            journal,
        });
        let worker = Arc::clone(&service);
        let worker_thread = WorkerThread::spawn("quarantine", stop, move |stop| {
            while !stop.is_raised() {
                worker.exchange();
                let mut waited = Duration::ZERO;
                while waited < READ_INTERVAL && !stop.is_raised() {
                    std::thread::sleep(STOP_POLL_INTERVAL);
                    waited += STOP_POLL_INTERVAL;
                }
            }
        })?;
        Ok((service, worker_thread))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn times(&self) -> Times {
        Times {
            uptime: self.clock.uptime(),
            wall_ms: self.clock.wall_ms(),
        }
    }

    /// Checks a prompt before it is sent to an engine. If a trial of one of its parts is due, claims
    /// it.
    ///
    /// # Errors
    ///
    /// Returns a failure at stage `Queued` if a part is quarantined.
    pub(crate) async fn enter(self: &Arc<Self>, suspects: &[Suspect]) -> Result<(), Failure> {
        if suspects.is_empty() {
            return Ok(());
        }
        let times = self.times();
        let admission = self.state().quarantine.admit(suspects, times);
        match admission {
            Admission::Allowed => Ok(()),
            Admission::Refused { retry_after } => Err(quarantined(retry_after)),
            Admission::TrialDue(part) => {
                let service = Arc::clone(self);
                let claim = tokio::task::spawn_blocking(move || service.claim_trial(part));
                match claim.await {
                    Ok(true) => Ok(()),
                    _ => Err(quarantined(UNCLAIMED_RETRY_AFTER)),
                }
            }
        }
    }

    /// Claims the trial of a part. If another daemon has written since this one has read the stream,
    /// the other one may have claimed it, and the trial is not made.
    fn claim_trial(&self, part: PartKey) -> bool {
        let times = self.times();
        let (record, at) = self.state().quarantine.claim_trial(part, times);
        let Ok(payload) = record.encode() else {
            return false;
        };
        let is_claimed = match self.log.append(&self.stream, &payload) {
            Ok(offset) => {
                let stored = LogPosition {
                    offset: offset.0,
                    ..at
                };
                let mut state = self.state();
                let quarantine = &mut state.quarantine;
                quarantine.on_claim_stored(&record, at, stored, times.uptime)
            }
            Err(_) => false,
        };
        if is_claimed {
            self.record("trial", &[part]);
        }
        is_claimed
    }

    /// Records that a prompt got a whole answer.
    pub(crate) fn on_completed(&self, suspects: &[Suspect]) {
        let now = self.clock.uptime();
        self.state().quarantine.on_completed(suspects, now);
    }

    /// Records that the answer of an engine to a prompt broke off.
    pub(crate) fn on_answer_broken(&self, engine: ServerId, suspects: &[Suspect]) {
        let now = self.clock.uptime();
        let mut state = self.state();
        let started_ms = state.started_ms.get(&engine).copied().unwrap_or_default();
        state
            .pending_ends
            .on_broken(engine, started_ms, suspects, now);
    }

    /// Returns whether a prompt whose answer broke off may be sent to another engine.
    pub(crate) fn may_repeat(&self, suspects: &[Suspect]) -> bool {
        let times = self.times();
        self.state().quarantine.may_repeat(suspects, times)
    }

    /// Records what a poll of an engine has shown. An engine whose answers broke off has ended if
    /// it does not answer or was started again.
    /// `asked_at` is the uptime at which the poll began.
    pub(crate) fn on_polled(&self, engine: ServerId, poll: EnginePoll, asked_at: Duration) {
        let times = self.times();
        let mut state = self.state();
        let broken = state.pending_ends.take(&engine, asked_at, times.uptime);
        let has_ended = match poll {
            EnginePoll::Unreachable => true,
            EnginePoll::Started(started_ms) => {
                state.started_ms.insert(engine, started_ms);
                broken
                    .as_ref()
                    .is_some_and(|broken| broken.started_ms > 0 && broken.started_ms != started_ms)
            }
        };
        if let Some(broken) = broken.filter(|_| has_ended) {
            let start = engine_start(engine, broken.started_ms);
            let lost = broken.into_lost_requests(start);
            state.quarantine.on_server_ended(&lost, times);
        }
    }

    /// Writes what this daemon has to tell, and reads what the others have told.
    fn exchange(&self) {
        let times = self.times();
        let outgoing = self.state().quarantine.outgoing(times);
        for record in outgoing {
            let Ok(payload) = record.encode() else {
                continue;
            };
            if self.log.append(&self.stream, &payload).is_err() {
                break;
            }
            let epoch = StoreEpoch::default();
            self.state().quarantine.on_appended(&[record], epoch);
        }
        let from = Offset(self.state().quarantine.table().next().offset);
        match self.log.read(&self.stream, from, READ_MAX, Duration::ZERO) {
            Ok(slice) => {
                for record in slice.records {
                    self.apply(record.offset, &record.payload);
                }
            }
            Err(LogError::Trimmed(first_offset, _)) => {
                self.state().quarantine.on_read(first_offset.0);
            }
            // The next round reads again.
            Err(_) => {}
        }
        self.record_changes();
    }

    fn apply(&self, offset: Offset, payload: &[u8]) {
        let now = self.clock.uptime();
        let mut state = self.state();
        match KeyedRecord::decode(payload) {
            Ok(record) => state.quarantine.on_record(record, offset.0, now),
            Err(error) => self.journal.record(
                self.clock.wall_ms(),
                EventKind::InvariantViolated,
                self.stream.clone(),
                format!("a record cannot be decoded: {error}"),
            ),
        }
        state.quarantine.on_read(offset.0 + 1);
    }

    fn record_changes(&self) {
        let times = self.times();
        let changes = self.state().quarantine.take_changes(times);
        for change in changes {
            match change {
                QuarantineChange::Quarantined(found) => self.record("quarantined", &found.parts),
                QuarantineChange::Released(parts) => self.record("released", &parts),
            }
        }
    }

    fn record(&self, change: &str, parts: &[PartKey]) {
        let parts: Vec<String> = parts.iter().map(PartKey::to_string).collect();
        self.journal.record(
            self.clock.wall_ms(),
            EventKind::QuarantineChanged,
            format!("prompt blocks {}", parts.join(", ")),
            change.to_owned(),
        );
    }
}

fn engine_start(engine: ServerId, started_ms: u64) -> ServerStart {
    /// Bits of the start time; the others hold the number of the engine.
    const TIME_BITS: u32 = 44;
    ServerStart((u64::from(engine.0) << TIME_BITS) ^ started_ms)
}

fn quarantined(retry_after: Duration) -> Failure {
    Failure::new(ErrorKind::PromptQuarantined, Stage::Queued, REFUSAL_DETAIL)
        .with_retry_after(retry_after)
}
