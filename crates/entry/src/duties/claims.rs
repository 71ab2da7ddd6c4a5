//! The claims duty: owns the state machines of the claim partitions that this daemon serves.
//!
//! The duty thread never waits for the log service. Each partition has a second thread that makes
//! the blocking appends and reads, at most one of each at a time, and reports back over the ring.

use super::deliver::deliver;
use anvilgw_claims::{
    AgeRule, AppendFailure, Attempt, ClaimOwner, ClaimRequest, Now, OwnerAction, OwnerConfig,
    OwnerEvent, Submission, SubmitError, Unavailable, Verdict,
};
use anvilgw_config::{ClaimSettings, PartitionStatus};
use anvilgw_core::{Clock, DaemonId, LogError, LogService, Offset};
use anvilgw_kernel::{
    EventKind, Journal, Receiver, RecvTimeoutError, SendError, Sender, StopSignal, WorkerThread,
    bounded_channel,
};
use indexmap::IndexMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Submissions that may wait for the duty.
const RING_CAPACITY: usize = 4096;
/// Calls of the log service that may wait for a partition's worker: one append and one read.
const CALLS_CAPACITY: usize = 4;
/// Interval in which owners check their timers.
const TICK: Duration = Duration::from_millis(20);
/// Shortest sleep, so that a due batch does not spin.
const WAKEUP_MIN: Duration = Duration::from_micros(100);
/// Interval of looking for partitions to close.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a partition that another daemon owns is closed here.
const UNUSED_LIMIT: Duration = Duration::from_secs(30);
/// Records of one read.
const READ_MAX: usize = 512;

enum Message {
    Submit {
        submission: Submission,
        reply: Option<oneshot::Sender<Verdict>>,
    },
    Event {
        partition: u16,
        event: OwnerEvent,
    },
    Own(Vec<u16>),
    Status(oneshot::Sender<Vec<PartitionStatus>>),
}

enum Call {
    Append(anvilgw_claims::BatchId, Vec<u8>),
    Read(Offset),
}

/// What the duty needs to know.
#[derive(Clone)]
pub(crate) struct ClaimsSetup {
    /// This daemon.
    pub(crate) daemon: DaemonId,
    /// Number of partitions of the fleet.
    pub(crate) partitions: u16,
    /// Name of the stream of partition 0; the number is appended.
    pub(crate) stream_prefix: String,
    /// Template of the owners' settings.
    pub(crate) min_interval: Duration,
    /// Appends of a partition that may exceed the interval after a quiet time.
    pub(crate) append_burst: u32,
    /// Time after a claim's deadline before it ends as unknown.
    pub(crate) grace_ms: u64,
    /// How old keys may be.
    pub(crate) age: AgeRule,
    /// Retention of the claim streams.
    pub(crate) retention: Duration,
}

impl ClaimsSetup {
    fn stream(&self, partition: u16) -> String {
        format!("{}-{partition:02}", self.stream_prefix)
    }

    fn owner_config(&self) -> OwnerConfig {
        OwnerConfig {
            min_interval: self.min_interval,
            append_burst: self.append_burst,
            grace_ms: self.grace_ms,
            age: self.age,
            heartbeat_ms: (self.retention / 4).as_millis() as u64,
            ..OwnerConfig::new(self.daemon)
        }
    }
}

/// Appends per partition beyond the interval, so that all partitions together stay within the claims'
/// appends in any second.
pub(crate) fn append_burst(claims: &ClaimSettings) -> u32 {
    let most = u64::from(claims.appends_per_s) / u64::from(claims.partitions.max(1));
    let spaced = 1_000_u64.div_ceil(claims.min_interval_ms.max(1));
    u32::try_from(most.saturating_sub(spaced)).unwrap_or(0)
}

/// Handle of the claims duty.
pub(crate) struct ClaimsService {
    messages: Sender<Message>,
    partitions: u16,
}

impl ClaimsService {
    /// Starts the duty.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a thread.
    pub(crate) fn start(
        setup: ClaimsSetup,
        log: Arc<dyn LogService>,
        clock: Arc<dyn Clock>,
        journal: Arc<Journal>,
        stop: &StopSignal,
    ) -> io::Result<(Self, WorkerThread)> {
        let (messages, receiver) = bounded_channel(RING_CAPACITY);
        let partitions = setup.partitions;
        let own_messages = messages.clone();
        let duty = WorkerThread::spawn("claims", stop.clone(), move |stop| {
            Worker {
                setup,
                log,
                clock,
                journal,
                messages: own_messages,
                partitions: IndexMap::new(),
                replies: IndexMap::new(),
                owned: Vec::new(),
                sequences: IndexMap::new(),
                next_sweep: Duration::ZERO,
                stop: stop.clone(),
            }
            .run(&receiver, &stop);
        })?;
        Ok((
            Self {
                messages,
                partitions,
            },
            duty,
        ))
    }

    /// Number of partitions.
    pub(crate) fn partitions(&self) -> u16 {
        self.partitions
    }

    /// Claims a key as the owner of its partition.
    pub(crate) async fn claim(&self, claim: ClaimRequest) -> Verdict {
        let (reply, verdict) = oneshot::channel();
        let message = Message::Submit {
            submission: Submission::Claim(claim),
            reply: Some(reply),
        };
        if self.messages.send(message).is_err() {
            return Verdict::Unavailable(Unavailable::QueueFull);
        }
        verdict
            .await
            .unwrap_or(Verdict::Unavailable(Unavailable::Owner))
    }

    /// Records an outcome, an abandonment or an expiry.
    pub(crate) fn record(&self, submission: Submission) {
        let message = Message::Submit {
            submission,
            reply: None,
        };
        deliver(&self.messages, message);
    }

    /// Tells which partitions this daemon owns by the current epoch. Their streams are read ahead, so
    /// that the first claim does not wait for it.
    pub(crate) fn set_owned(&self, partitions: Vec<u16>) {
        deliver(&self.messages, Message::Own(partitions));
    }

    /// State of the partitions.
    pub(crate) async fn status(&self) -> Vec<PartitionStatus> {
        let (reply, answer) = oneshot::channel();
        let sent: Result<(), SendError> = self.messages.send(Message::Status(reply));
        match sent {
            Ok(()) => answer.await.unwrap_or_default(),
            Err(_) => Vec::new(),
        }
    }
}

struct Partition {
    owner: ClaimOwner,
    calls: Sender<Call>,
    /// When the last submission arrived.
    used: Duration,
    _worker: WorkerThread,
}

struct Worker {
    setup: ClaimsSetup,
    log: Arc<dyn LogService>,
    clock: Arc<dyn Clock>,
    journal: Arc<Journal>,
    messages: Sender<Message>,
    partitions: IndexMap<u16, Partition>,
    replies: IndexMap<Attempt, oneshot::Sender<Verdict>>,
    owned: Vec<u16>,
    /// Sequences at which owners that are opened again continue, so that no batch number is used
    /// twice.
    sequences: IndexMap<u16, u64>,
    next_sweep: Duration,
    stop: StopSignal,
}

impl Worker {
    fn run(mut self, messages: &Receiver<Message>, stop: &StopSignal) {
        while !stop.is_raised() {
            match messages.recv_timeout(self.pause()) {
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Ok(message) = messages.try_recv() {
                self.handle(message);
            }
            self.tick();
        }
    }

    fn pause(&self) -> Duration {
        let now = self.clock.uptime();
        self.partitions
            .values()
            .filter_map(|partition| partition.owner.wake_at())
            .map(|at| at.saturating_sub(now))
            .min()
            .unwrap_or(TICK)
            .clamp(WAKEUP_MIN, TICK)
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Submit { submission, reply } => self.submit(submission, reply),
            Message::Event { partition, event } => {
                let now = Now::read(&*self.clock);
                if let Some(known) = self.partitions.get_mut(&partition) {
                    let actions = known.owner.handle(event, now);
                    self.act(partition, actions);
                }
            }
            Message::Own(partitions) => {
                self.owned = partitions;
                for at in 0..self.owned.len() {
                    self.open(self.owned[at]);
                }
            }
            Message::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn submit(&mut self, submission: Submission, reply: Option<oneshot::Sender<Verdict>>) {
        let attempt = submission.attempt();
        let partition = submission.key().partition(self.setup.partitions);
        let now = Now::read(&*self.clock);
        self.open(partition);
        let Some(known) = self.partitions.get_mut(&partition) else {
            return;
        };
        known.used = now.uptime;
        if let Some(reply) = reply {
            self.replies.insert(attempt, reply);
        }
        match known.owner.submit(submission, now) {
            Ok(actions) => self.act(partition, actions),
            Err(SubmitError::QueueFull | SubmitError::TooLarge) => {
                self.answer(attempt, Verdict::Unavailable(Unavailable::QueueFull));
            }
        }
    }

    fn tick(&mut self) {
        let now = Now::read(&*self.clock);
        if now.uptime >= self.next_sweep {
            self.next_sweep = now.uptime + SWEEP_INTERVAL;
            self.close_unused(now.uptime);
        }
        for at in 0..self.partitions.len() {
            let Some((&partition, known)) = self.partitions.get_index_mut(at) else {
                return;
            };
            let actions = known.owner.handle(OwnerEvent::Tick, now);
            self.act(partition, actions);
        }
    }

    /// Closes partitions that belong to other daemons now and have nothing under way.
    fn close_unused(&mut self, now: Duration) {
        let (owned, sequences) = (&self.owned, &mut self.sequences);
        self.partitions.retain(|partition, known| {
            let in_use = owned.contains(partition)
                || !known.owner.is_idle()
                || now.saturating_sub(known.used) < UNUSED_LIMIT;
            if !in_use {
                sequences.insert(*partition, known.owner.next_sequence());
            }
            in_use
        });
    }

    fn act(&mut self, partition: u16, actions: Vec<OwnerAction>) {
        for action in actions {
            match action {
                OwnerAction::Append { batch, payload } => {
                    self.call(partition, Call::Append(batch, payload));
                }
                OwnerAction::Read { from } => self.call(partition, Call::Read(from)),
                OwnerAction::Verdict {
                    attempt, verdict, ..
                } => self.answer(attempt, verdict),
                OwnerAction::Halted(error) => self.journal.record(
                    self.clock.wall_ms(),
                    EventKind::InvariantViolated,
                    self.setup.stream(partition),
                    format!("the claim stream cannot be folded: {error}"),
                ),
            }
        }
    }

    fn call(&self, partition: u16, call: Call) {
        if let Some(known) = self.partitions.get(&partition) {
            // The owner keeps at most one append and one read under way, so the ring has room.
            let sent = known.calls.send(call);
            debug_assert!(sent.is_ok(), "more calls under way than the owner may make");
        }
    }

    fn answer(&mut self, attempt: Attempt, verdict: Verdict) {
        if let Some(reply) = self.replies.swap_remove(&attempt) {
            let _ = reply.send(verdict);
        }
    }

    fn open(&mut self, partition: u16) {
        if self.partitions.contains_key(&partition) {
            return;
        }
        let (calls, receiver) = bounded_channel(CALLS_CAPACITY);
        let log = Arc::clone(&self.log);
        let stream = self.setup.stream(partition);
        let messages = self.messages.clone();
        let worker = WorkerThread::spawn("claim-log", self.stop.clone(), move |stop| {
            while !stop.is_raised() {
                match receiver.recv_timeout(TICK) {
                    Ok(call) => {
                        let event = perform(&*log, &stream, call);
                        deliver(&messages, Message::Event { partition, event });
                    }
                    Err(RecvTimeoutError::Timeout) => {}
                    Err(RecvTimeoutError::Disconnected) => return,
                }
            }
        });
        match worker {
            Ok(worker) => {
                let first_sequence = self.sequences.get(&partition).copied().unwrap_or(0);
                let config = OwnerConfig {
                    first_sequence,
                    ..self.setup.owner_config()
                };
                let opened = Partition {
                    owner: ClaimOwner::new(config),
                    calls,
                    used: self.clock.uptime(),
                    _worker: worker,
                };
                self.partitions.insert(partition, opened);
            }
            Err(error) => self.journal.record(
                self.clock.wall_ms(),
                EventKind::LogUnavailable,
                self.setup.stream(partition),
                format!("no thread for the claim stream: {error}"),
            ),
        }
    }

    fn status(&self) -> Vec<PartitionStatus> {
        self.partitions
            .iter()
            .map(|(partition, known)| PartitionStatus {
                partition: *partition,
                caught_up: known.owner.is_caught_up(),
                next_offset: known.owner.fold().next_offset().0,
                keys: known.owner.fold().len() as u64,
            })
            .collect()
    }
}

fn perform(log: &dyn LogService, stream: &str, call: Call) -> OwnerEvent {
    match call {
        Call::Append(batch, payload) => match log.append(stream, &payload) {
            Ok(offset) => OwnerEvent::Appended { batch, offset },
            Err(LogError::Unavailable(_)) => OwnerEvent::AppendFailed {
                batch,
                failure: AppendFailure::NotAppended,
            },
            Err(_) => OwnerEvent::AppendFailed {
                batch,
                failure: AppendFailure::AnswerLost,
            },
        },
        Call::Read(from) => match log.read(stream, from, READ_MAX, Duration::ZERO) {
            Ok(slice) => OwnerEvent::Read(slice),
            Err(LogError::Trimmed(first, _)) => OwnerEvent::ReadTrimmed { first },
            Err(_) => OwnerEvent::ReadFailed,
        },
    }
}
