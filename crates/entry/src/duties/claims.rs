//! The claims service, whose worker owns the state machines of the claim partitions that this
//! daemon serves.
//!
//! The worker thread never waits for the log service. Each partition has a thread for the blocking
//! appends and reads, of which at most one each is under way, and this thread sends the results
//! to the worker over its channel.

use super::send::send_until_accepted;
use anvilgw_claims::{
    AppendFailure, Attempt, ClaimRequest, KeyAgeLimits, Now, OwnerAction, OwnerConfig, OwnerEvent,
    PartitionOwner, Submission, SubmitError, Unavailable, Verdict,
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

/// Number of messages that may wait for the worker.
const CHANNEL_CAPACITY: usize = 4096;
/// Number of calls that may wait for the log thread of a partition, which needs room for one append
/// and one read.
const CALLS_CAPACITY: usize = 4;
/// Longest interval at which partition owners check their timers and threads check whether to stop.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest sleep of the worker. It keeps a batch that is already due from causing a busy loop.
const MIN_SLEEP: Duration = Duration::from_micros(100);
/// Interval at which the worker checks for partitions to close.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time without submissions after which a partition that another daemon owns is closed.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of records in one read.
const READ_MAX: usize = 512;

enum Message {
    Submit {
        submission: Submission,
        reply: Option<oneshot::Sender<Verdict>>,
    },
    OwnerEvent {
        partition: u16,
        event: OwnerEvent,
    },
    SetOwnedPartitions(Vec<u16>),
    Status(oneshot::Sender<Vec<PartitionStatus>>),
}

enum LogCall {
    Append(anvilgw_claims::BatchId, Vec<u8>),
    Read(Offset),
}

/// Parameters of the claims worker.
#[derive(Clone)]
pub(crate) struct ClaimsSetup {
    /// Index and incarnation of this daemon.
    pub(crate) daemon: DaemonId,
    /// Number of claim partitions of the fleet.
    pub(crate) partitions: u16,
    /// Prefix of the stream names, to which the number of the partition is appended.
    pub(crate) stream_prefix: String,
    /// Shortest interval between two appends to a partition in a steady state.
    pub(crate) min_interval: Duration,
    /// Number of appends to a partition that may follow each other without the interval after a
    /// time without appends.
    pub(crate) append_burst: u32,
    /// Time in milliseconds from the deadline of a claim until its outcome is recorded as unknown.
    pub(crate) grace_ms: u64,
    /// Limits on the age of idempotency keys.
    pub(crate) age: KeyAgeLimits,
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

/// Returns the burst of a partition: the appends per second that `appends_per_s` allows it beyond
/// those at the regular interval. With this burst, all partitions together stay within
/// `appends_per_s` in any second.
pub(crate) fn append_burst(claims: &ClaimSettings) -> u32 {
    let max_appends_per_s = u64::from(claims.appends_per_s) / u64::from(claims.partitions.max(1));
    let regular_appends_per_s = 1_000_u64.div_ceil(claims.min_interval_ms.max(1));
    u32::try_from(max_appends_per_s.saturating_sub(regular_appends_per_s)).unwrap_or(0)
}

/// Handle through which other services and request handlers reach the claims worker.
pub(crate) struct ClaimsService {
    messages: Sender<Message>,
    partitions: u16,
}

impl ClaimsService {
    /// Starts the worker thread.
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
        let (messages, receiver) = bounded_channel(CHANNEL_CAPACITY);
        let partitions = setup.partitions;
        let own_messages = messages.clone();
        let worker_thread = WorkerThread::spawn("claims", stop.clone(), move |stop| {
            Worker {
                setup,
                log,
                clock,
                journal,
                messages: own_messages,
                partitions: IndexMap::new(),
                replies: IndexMap::new(),
                owned: Vec::new(),
                next_sequences: IndexMap::new(),
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
            worker_thread,
        ))
    }

    /// Returns the number of claim partitions of the fleet.
    pub(crate) fn partitions(&self) -> u16 {
        self.partitions
    }

    /// Claims an idempotency key in the partition that this daemon serves and returns the verdict.
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

    /// Submits the outcome, abandonment or expiry of a claim, for which no reply is awaited.
    pub(crate) fn record(&self, submission: Submission) {
        let message = Message::Submit {
            submission,
            reply: None,
        };
        send_until_accepted(&self.messages, message);
    }

    /// Sets the partitions that this daemon owns in the current epoch. The worker reads their
    /// streams at once, so that the first claim does not wait for it.
    pub(crate) fn set_owned_partitions(&self, partitions: Vec<u16>) {
        send_until_accepted(&self.messages, Message::SetOwnedPartitions(partitions));
    }

    /// Returns the state of the open partitions.
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
    owner: PartitionOwner,
    calls: Sender<LogCall>,
    /// Uptime at which the last submission arrived.
    last_used: Duration,
    _log_thread: WorkerThread,
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
    /// Next sequence numbers of closed partitions. A partition that is opened again continues from
    /// its number, so that no batch number is used twice.
    next_sequences: IndexMap<u16, u64>,
    next_sweep: Duration,
    stop: StopSignal,
}

impl Worker {
    fn run(mut self, messages: &Receiver<Message>, stop: &StopSignal) {
        while !stop.is_raised() {
            match messages.recv_timeout(self.sleep_duration()) {
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

    fn sleep_duration(&self) -> Duration {
        let now = self.clock.uptime();
        self.partitions
            .values()
            .filter_map(|partition| partition.owner.next_append_at())
            .map(|wake_at| wake_at.saturating_sub(now))
            .min()
            .unwrap_or(TICK_INTERVAL)
            .clamp(MIN_SLEEP, TICK_INTERVAL)
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Submit { submission, reply } => self.submit(submission, reply),
            Message::OwnerEvent { partition, event } => {
                let now = Now::read(&*self.clock);
                if let Some(state) = self.partitions.get_mut(&partition) {
                    let actions = state.owner.handle(event, now);
                    self.execute(partition, actions);
                }
            }
            Message::SetOwnedPartitions(partitions) => {
                self.owned = partitions;
                for index in 0..self.owned.len() {
                    self.open_partition(self.owned[index]);
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
        self.open_partition(partition);
        let Some(state) = self.partitions.get_mut(&partition) else {
            return;
        };
        state.last_used = now.uptime;
        if let Some(reply) = reply {
            self.replies.insert(attempt, reply);
        }
        match state.owner.submit(submission, now) {
            Ok(actions) => self.execute(partition, actions),
            Err(SubmitError::QueueFull | SubmitError::TooLarge) => {
                self.send_verdict(attempt, Verdict::Unavailable(Unavailable::QueueFull));
            }
        }
    }

    fn tick(&mut self) {
        let now = Now::read(&*self.clock);
        if now.uptime >= self.next_sweep {
            self.next_sweep = now.uptime + SWEEP_INTERVAL;
            self.close_unused(now.uptime);
        }
        for index in 0..self.partitions.len() {
            let Some((&partition, state)) = self.partitions.get_index_mut(index) else {
                return;
            };
            let actions = state.owner.handle(OwnerEvent::Tick, now);
            self.execute(partition, actions);
        }
    }

    /// Closes partitions that other daemons own and that have neither work under way nor recent
    /// submissions.
    fn close_unused(&mut self, now: Duration) {
        let (owned, next_sequences) = (&self.owned, &mut self.next_sequences);
        self.partitions.retain(|partition, state| {
            let in_use = owned.contains(partition)
                || !state.owner.is_idle()
                || now.saturating_sub(state.last_used) < UNUSED_TIMEOUT;
            if !in_use {
                next_sequences.insert(*partition, state.owner.next_sequence());
            }
            in_use
        });
    }

    fn execute(&mut self, partition: u16, actions: Vec<OwnerAction>) {
        for action in actions {
            match action {
                OwnerAction::Append { batch, payload } => {
                    self.call_log(partition, LogCall::Append(batch, payload));
                }
                OwnerAction::Read { from } => self.call_log(partition, LogCall::Read(from)),
                OwnerAction::Verdict {
                    attempt, verdict, ..
                } => self.send_verdict(attempt, verdict),
                OwnerAction::Halted(error) => self.journal.record(
                    self.clock.wall_ms(),
                    EventKind::InvariantViolated,
                    self.setup.stream(partition),
                    format!("the claim stream cannot be folded: {error}"),
                ),
            }
        }
    }

    fn call_log(&self, partition: u16, call: LogCall) {
        if let Some(state) = self.partitions.get(&partition) {
            let sent = state.calls.send(call);
            // The owner has at most one append and one read under way, so the channel has room. It is
            // closed if the daemon stops and the log thread has ended before this one; its calls
            // are then no longer made, as if the process had ended.
            debug_assert!(
                sent != Err(SendError::Full),
                "the owner has too many calls of the log service under way"
            );
        }
    }

    fn send_verdict(&mut self, attempt: Attempt, verdict: Verdict) {
        if let Some(reply) = self.replies.swap_remove(&attempt) {
            let _ = reply.send(verdict);
        }
    }

    fn open_partition(&mut self, partition: u16) {
        if self.partitions.contains_key(&partition) {
            return;
        }
        let (calls, receiver) = bounded_channel(CALLS_CAPACITY);
        let log = Arc::clone(&self.log);
        let stream = self.setup.stream(partition);
        let messages = self.messages.clone();
        let log_thread = WorkerThread::spawn("claim-log", self.stop.clone(), move |stop| {
            while !stop.is_raised() {
                match receiver.recv_timeout(TICK_INTERVAL) {
                    Ok(call) => {
                        let event = perform_call(&*log, &stream, call);
                        send_until_accepted(&messages, Message::OwnerEvent { partition, event });
                    }
                    Err(RecvTimeoutError::Timeout) => {}
                    Err(RecvTimeoutError::Disconnected) => return,
                }
            }
        });
        match log_thread {
            Ok(log_thread) => {
                let first_sequence = self.next_sequences.get(&partition).copied().unwrap_or(0);
                let config = OwnerConfig {
                    first_sequence,
                    ..self.setup.owner_config()
                };
                let opened = Partition {
                    owner: PartitionOwner::new(config),
                    calls,
                    last_used: self.clock.uptime(),
                    _log_thread: log_thread,
                };
                self.partitions.insert(partition, opened);
            }
            Err(error) => self.journal.record(
                self.clock.wall_ms(),
                EventKind::LogUnavailable,
                self.setup.stream(partition),
                format!("cannot start the log thread of the claim stream: {error}"),
            ),
        }
    }

    fn status(&self) -> Vec<PartitionStatus> {
        self.partitions
            .iter()
            .map(|(partition, state)| PartitionStatus {
                partition: *partition,
                caught_up: state.owner.is_caught_up(),
                next_offset: state.owner.fold().next_offset().0,
                keys: state.owner.fold().len() as u64,
            })
            .collect()
    }
}

fn perform_call(log: &dyn LogService, stream: &str, call: LogCall) -> OwnerEvent {
    match call {
        LogCall::Append(batch, payload) => match log.append(stream, &payload) {
            Ok(offset) => OwnerEvent::Appended { batch, offset },
            Err(LogError::Unavailable(_)) => OwnerEvent::AppendFailed {
                batch,
                failure: AppendFailure::NotAppended,
            },
            Err(_) => OwnerEvent::AppendFailed {
                batch,
                failure: AppendFailure::MaybeAppended,
            },
        },
        LogCall::Read(from) => match log.read(stream, from, READ_MAX, Duration::ZERO) {
            Ok(slice) => OwnerEvent::ReadCompleted(slice),
            Err(LogError::Trimmed(first, _)) => OwnerEvent::ReadTrimmed { first },
            Err(_) => OwnerEvent::ReadFailed,
        },
    }
}
