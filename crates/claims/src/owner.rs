//! The daemon that owns a partition: collects claims of all daemons into appends.

mod flight;
mod messages;

use crate::codec::{MAX_BATCH_BYTES, MAX_BATCH_RECORDS};
use crate::fold::{ApplyResult, FoldError, KeyState, PartitionFold};
use crate::key::ClaimKey;
use crate::mutation::Flaw;
use crate::record::{
    AnswerBody, Attempt, Batch, BatchId, ClaimRequest, Now, Record, RecordedAnswer, Unavailable,
    Verdict,
};
use anvilgw_core::{LogSlice, Offset};
use flight::{Flight, Unseen};
pub use messages::{AppendFailure, OwnerAction, OwnerConfig, OwnerEvent, Submission, SubmitError};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Bytes of a record without its answer body, rounded up.
const RECORD_BYTES: usize = 192;
/// Bytes of a batch without its records, rounded up.
const BATCH_BYTES: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Waiting {
    claim: ClaimRequest,
    since: Duration,
}

/// State machine of the owner of one partition.
///
/// Ownership only saves appends: two owners of one partition are safe, since the offset decides
/// which claim wins. At most one append is in flight; what arrives meanwhile goes into the next one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PartitionOwner {
    config: OwnerConfig,
    flaw: Option<Flaw>,
    fold: PartitionFold,
    caught_up: bool,
    halted: bool,
    pending: VecDeque<Record>,
    waiting: BTreeMap<Attempt, Waiting>,
    flight: Option<Flight>,
    unseen: Unseen,
    next_sequence: u64,
    /// Whether a read is in flight, and whether it began after the last lost append answer.
    reading: Option<bool>,
    last_read: Option<Duration>,
    append_not_before: Duration,
    /// Time until which the appends made so far use up the rate of one per `min_interval`.
    paced_until: Duration,
    read_not_before: Duration,
}

impl PartitionOwner {
    /// Creates an owner that begins by reading the stream.
    #[must_use]
    pub fn new(config: OwnerConfig) -> Self {
        Self {
            flaw: None,
            fold: PartitionFold::new(config.age, Offset(0)),
            caught_up: false,
            halted: false,
            pending: VecDeque::new(),
            waiting: BTreeMap::new(),
            flight: None,
            unseen: Unseen::default(),
            next_sequence: config.first_sequence,
            reading: None,
            last_read: None,
            append_not_before: Duration::ZERO,
            paced_until: Duration::ZERO,
            read_not_before: Duration::ZERO,
            config,
        }
    }

    #[doc(hidden)]
    #[must_use]
    pub fn with_flaw(mut self, flaw: Option<Flaw>) -> Self {
        self.flaw = flaw;
        self.fold = self.fold.with_flaw(flaw);
        self
    }

    /// State of the partition as far as it was read.
    #[must_use]
    pub fn fold(&self) -> &PartitionFold {
        &self.fold
    }

    /// Sequence of the next batch.
    #[must_use]
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Whether the owner has read the stream to its end since it began or lost track.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Whether nothing waits for the log service. A daemon that loses a partition keeps its owner
    /// until then.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.waiting.is_empty() && self.flight.is_none()
    }

    /// Uptime at which a batch that waits only for the minimum interval can be appended.
    #[must_use]
    pub fn next_append_at(&self) -> Option<Duration> {
        let waits = self.caught_up && self.flight.is_none() && !self.pending.is_empty();
        waits.then_some(self.append_not_before)
    }

    /// Takes a submission.
    ///
    /// # Errors
    ///
    /// [`SubmitError`] if it was not taken.
    pub fn submit(
        &mut self,
        submission: Submission,
        now: Now,
    ) -> Result<Vec<OwnerAction>, SubmitError> {
        let mut actions = Vec::new();
        match submission {
            Submission::Claim(claim) => self.submit_claim(claim, now, &mut actions)?,
            Submission::Abandon { attempt, .. } if self.waiting.remove(&attempt).is_some() => {
                // A claim in flight is abandoned when its batch is folded.
                self.drop_pending_claims(|claim| claim.attempt == attempt);
            }
            record => self.enqueue(record)?,
        }
        self.advance(now, &mut actions);
        Ok(actions)
    }

    fn submit_claim(
        &mut self,
        claim: ClaimRequest,
        now: Now,
        actions: &mut Vec<OwnerAction>,
    ) -> Result<(), SubmitError> {
        let known = if self.halted {
            Verdict::Unavailable(Unavailable::Log)
        } else if self.caught_up {
            match self.fold.verdict(&claim, now.wall_ms) {
                Verdict::InProgress => self
                    .unfolded_answer(claim.key)
                    .map_or(Verdict::InProgress, Verdict::Done),
                verdict => verdict,
            }
        } else {
            Verdict::Granted
        };
        if known != Verdict::Granted {
            actions.push(verdict_action(&claim, known));
            return Ok(());
        }
        if self.waiting.contains_key(&claim.attempt) {
            return Ok(());
        }
        if self.waiting.len() >= self.config.max_queue {
            return Err(SubmitError::QueueFull);
        }
        self.enqueue(Record::Claim(claim))?;
        let since = now.uptime;
        self.waiting.insert(claim.attempt, Waiting { claim, since });
        Ok(())
    }

    /// The answer that the holder of a claim has reported and that is on its way to the log. It is the
    /// answer of the one execution, whether or not its record arrives there.
    fn unfolded_answer(&self, key: ClaimKey) -> Option<RecordedAnswer> {
        let holder = self.fold.entry(key)?.claim.attempt;
        let in_flight = self.flight.iter().flat_map(|flight| &flight.batch.records);
        in_flight
            .chain(&self.pending)
            .find_map(|record| match record {
                Record::Outcome {
                    key: known,
                    attempt,
                    answer,
                } if *known == key && *attempt == holder => Some(answer.clone()),
                _ => None,
            })
    }

    fn enqueue(&mut self, record: Record) -> Result<(), SubmitError> {
        if self.pending.len() >= self.config.max_queue {
            return Err(SubmitError::QueueFull);
        }
        if BATCH_BYTES + record_bytes(&record) > MAX_BATCH_BYTES {
            return Err(SubmitError::TooLarge);
        }
        self.pending.push_back(record);
        Ok(())
    }

    /// Handles an event.
    pub fn handle(&mut self, event: OwnerEvent, now: Now) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        match event {
            OwnerEvent::Tick => {}
            OwnerEvent::Appended { batch, offset } => self.appended(batch, offset, &mut actions),
            OwnerEvent::AppendFailed { batch, failure } => {
                self.append_failed(batch, failure, now, &mut actions);
            }
            OwnerEvent::ReadCompleted(slice) => self.read(&slice, &mut actions),
            OwnerEvent::ReadFailed => {
                self.reading = None;
                self.read_not_before = now.uptime + self.config.retry_interval;
                // The log service is down: nobody can tell whether the claims in flight won.
                self.refuse_flight(&mut actions);
            }
            OwnerEvent::ReadTrimmed { first } => {
                self.reading = None;
                self.restart(first);
            }
        }
        self.refuse_overdue(now, &mut actions);
        self.advance(now, &mut actions);
        actions
    }

    fn read(&mut self, slice: &LogSlice, actions: &mut Vec<OwnerAction>) {
        let began_after_loss = self.reading.take() == Some(true);
        if self.fold.retain_from(slice.first_offset).is_err() {
            self.restart(slice.first_offset);
        }
        for record in &slice.records {
            match self.fold.apply(record) {
                Ok(ApplyResult::Applied(batch)) => self.folded(&batch, actions),
                Ok(
                    ApplyResult::DuplicateBatch(_)
                    | ApplyResult::AlreadyApplied
                    | ApplyResult::NotABatch,
                ) => {}
                Err(FoldError::Gap(..)) => return self.restart(slice.first_offset),
                Err(error) => return self.halt(error, actions),
            }
        }
        self.caught_up = self.fold.next_offset() >= slice.next_offset;
        if self.caught_up && began_after_loss {
            self.not_found(actions);
        }
    }

    /// Starts a new fold at the oldest retained record. Safe because a new fold refuses every key
    /// whose records may have been trimmed.
    fn restart(&mut self, first: Offset) {
        self.fold = PartitionFold::new(self.config.age, first).with_flaw(self.flaw);
        self.caught_up = false;
    }

    fn halt(&mut self, error: FoldError, actions: &mut Vec<OwnerAction>) {
        self.halted = true;
        for (_, waiting) in std::mem::take(&mut self.waiting) {
            let verdict = Verdict::Unavailable(Unavailable::Log);
            actions.push(verdict_action(&waiting.claim, verdict));
        }
        actions.push(OwnerAction::Halted(error));
    }

    /// Handles a batch that took effect. Batches of this owner are handled once, even if a new fold
    /// reads them again: a claim that was reported as granted must not be abandoned here.
    fn folded(&mut self, batch: &Batch, actions: &mut Vec<OwnerAction>) {
        if batch.id.writer != self.config.daemon || !self.unseen.remove(batch.id.sequence) {
            return;
        }
        for record in &batch.records {
            let Record::Claim(claim) = record else {
                continue;
            };
            let verdict = self.fold.verdict_of_appended(claim);
            let is_held = self.holds(claim);
            let is_granted = verdict == Verdict::Granted;
            let waiting = self.waiting.remove(&claim.attempt);
            if waiting.is_some() {
                actions.push(verdict_action(claim, verdict));
            }
            if is_held && (waiting.is_none() || !is_granted) {
                self.pending.push_back(Record::Abandon {
                    key: claim.key,
                    attempt: claim.attempt,
                });
            }
        }
        self.flight_folded(batch.id);
    }

    fn holds(&self, claim: &ClaimRequest) -> bool {
        self.fold.entry(claim.key).is_some_and(|entry| {
            entry.claim.attempt == claim.attempt && entry.state == KeyState::Claimed
        })
    }

    fn refuse_overdue(&mut self, now: Now, actions: &mut Vec<OwnerAction>) {
        let max_wait = self.config.max_wait;
        let overdue = self.waiting.extract_if(.., |_, waiting| {
            // Not by the claim's deadline, which is wall time of another daemon: a clock that is
            // ahead would refuse every claim. The holder checks its deadline itself.
            now.uptime >= waiting.since + max_wait
        });
        let overdue: BTreeMap<_, _> = overdue.collect();
        if overdue.is_empty() {
            return;
        }
        self.drop_pending_claims(|claim| overdue.contains_key(&claim.attempt));
        for waiting in overdue.values() {
            let verdict = Verdict::Unavailable(Unavailable::Log);
            actions.push(verdict_action(&waiting.claim, verdict));
        }
    }

    fn drop_pending_claims(&mut self, is_dropped: impl Fn(&ClaimRequest) -> bool) {
        self.pending.retain(|record| match record {
            Record::Claim(claim) => !is_dropped(claim),
            Record::Outcome { .. } | Record::Abandon { .. } | Record::Expire { .. } => true,
        });
    }

    fn advance(&mut self, now: Now, actions: &mut Vec<OwnerAction>) {
        if self.halted {
            return;
        }
        if self.reading.is_none() && now.uptime >= self.read_not_before && self.wants_read(now) {
            self.reading = Some(true);
            self.last_read = Some(now.uptime);
            let from = self.fold.next_offset();
            actions.push(OwnerAction::Read { from });
        }
        if now.uptime >= self.append_not_before {
            self.append(now, actions);
        }
    }

    fn wants_read(&self, now: Now) -> bool {
        let is_due = self
            .last_read
            .is_none_or(|last| now.uptime >= last + self.config.read_interval);
        is_due || !self.caught_up || self.flight.as_ref().is_some_and(Flight::wants_read)
    }
}

fn verdict_action(claim: &ClaimRequest, verdict: Verdict) -> OwnerAction {
    OwnerAction::Verdict {
        key: claim.key,
        attempt: claim.attempt,
        verdict,
    }
}

fn record_bytes(record: &Record) -> usize {
    let body = match record {
        Record::Outcome { answer, .. } => match &answer.body {
            AnswerBody::Kept {
                content_type,
                bytes,
            } => content_type.len() + bytes.len(),
            AnswerBody::NotKept { .. } => 0,
        },
        Record::Claim(_) | Record::Abandon { .. } | Record::Expire { .. } => 0,
    };
    RECORD_BYTES + body
}
