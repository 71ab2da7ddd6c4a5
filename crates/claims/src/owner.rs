//! State machine of a partition's owner, which batches the claims of all daemons into appends.

mod in_flight;
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
use in_flight::{InFlightBatch, UnfoldedBatches};
pub use messages::{AppendFailure, OwnerAction, OwnerConfig, OwnerEvent, Submission, SubmitError};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Upper bound for the encoded bytes of a record without the answer's body and content type.
const RECORD_BYTES: usize = 192;
/// Upper bound for the encoded bytes of a batch without its records.
const BATCH_BYTES: usize = 64;

/// A claim whose holder has not got a verdict yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct WaitingClaim {
    claim: ClaimRequest,
    /// Uptime at which the claim was submitted.
    submitted_at: Duration,
}

/// State machine of the owner of one partition.
///
/// One owner per partition saves appends but is not needed for correctness: with two owners the
/// offsets in the stream still decide which claim wins. At most one append is in flight;
/// submissions that arrive meanwhile go into the next one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PartitionOwner {
    config: OwnerConfig,
    flaw: Option<Flaw>,
    fold: PartitionFold,
    caught_up: bool,
    /// Whether the stream holds a record of an unknown format, after which nothing is folded.
    halted: bool,
    /// Records for the next batch.
    pending: VecDeque<Record>,
    /// Claims that are queued or in flight.
    waiting: BTreeMap<Attempt, WaitingClaim>,
    in_flight: Option<InFlightBatch>,
    unfolded_batches: UnfoldedBatches,
    next_sequence: u64,
    /// The read in flight, if any: true if it began after the last append of unknown result.
    reading: Option<bool>,
    /// Uptime at which the last read began.
    last_read: Option<Duration>,
    append_not_before: Duration,
    /// Uptime until which the appends made so far use up the rate of one append per `min_interval`.
    rate_used_until: Duration,
    read_not_before: Duration,
}

impl PartitionOwner {
    /// Creates an owner, which reads the stream from its beginning before its first append.
    #[must_use]
    pub fn new(config: OwnerConfig) -> Self {
        Self {
            flaw: None,
            fold: PartitionFold::new(config.age, Offset(0)),
            caught_up: false,
            halted: false,
            pending: VecDeque::new(),
            waiting: BTreeMap::new(),
            in_flight: None,
            unfolded_batches: UnfoldedBatches::default(),
            next_sequence: config.first_sequence,
            reading: None,
            last_read: None,
            append_not_before: Duration::ZERO,
            rate_used_until: Duration::ZERO,
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

    /// Returns the state of the partition's keys, as far as the stream was read.
    #[must_use]
    pub fn fold(&self) -> &PartitionFold {
        &self.fold
    }

    /// Returns the sequence number of the next batch.
    #[must_use]
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns whether the owner has read the stream to its end since it was created or last had to
    /// start a new fold.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Returns whether no record is queued or in flight and no claim waits for its verdict. A
    /// daemon that no longer owns the partition keeps the state machine until it is idle.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.waiting.is_empty() && self.in_flight.is_none()
    }

    /// Returns the uptime at which the next batch can be appended, or none unless the limit on the
    /// append rate is all that it waits for.
    #[must_use]
    pub fn next_append_at(&self) -> Option<Duration> {
        let waits_for_rate = self.caught_up && self.in_flight.is_none() && !self.pending.is_empty();
        waits_for_rate.then_some(self.append_not_before)
    }

    /// Queues a record for the next append. A claim that the folded state decides already gets its
    /// verdict at once.
    ///
    /// # Errors
    ///
    /// Returns a [`SubmitError`] if the record was not queued.
    pub fn submit(
        &mut self,
        submission: Submission,
        now: Now,
    ) -> Result<Vec<OwnerAction>, SubmitError> {
        let mut actions = Vec::new();
        match submission {
            Submission::Claim(claim) => self.submit_claim(claim, now, &mut actions)?,
            Submission::Abandon { attempt, .. } if self.waiting.remove(&attempt).is_some() => {
                // If the claim is in flight, `on_batch_folded` abandons it.
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
        let submitted_at = now.uptime;
        self.waiting.insert(
            claim.attempt,
            WaitingClaim {
                claim,
                submitted_at,
            },
        );
        Ok(())
    }

    /// Returns the answer that the holder of the claim on `key` has submitted, if its record is not
    /// folded yet. It is the answer of the only execution, even if the append fails.
    fn unfolded_answer(&self, key: ClaimKey) -> Option<RecordedAnswer> {
        let holder = self.fold.entry(key)?.claim.attempt;
        let in_flight = self
            .in_flight
            .iter()
            .flat_map(|in_flight| &in_flight.batch.records);
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

    /// Handles an event and returns the actions that it leads to.
    pub fn handle(&mut self, event: OwnerEvent, now: Now) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        match event {
            OwnerEvent::Tick => {}
            OwnerEvent::Appended { batch, offset } => self.on_appended(batch, offset, &mut actions),
            OwnerEvent::AppendFailed { batch, failure } => {
                self.on_append_failed(batch, failure, now, &mut actions);
            }
            OwnerEvent::ReadCompleted(slice) => self.on_read_completed(&slice, &mut actions),
            OwnerEvent::ReadFailed => {
                self.reading = None;
                self.read_not_before = now.uptime + self.config.retry_interval;
                // Without the log service it is not known whether the claims in flight won.
                self.refuse_in_flight_claims(&mut actions);
            }
            OwnerEvent::ReadTrimmed { first } => {
                self.reading = None;
                self.restart_fold(first);
            }
        }
        self.refuse_overdue(now, &mut actions);
        self.advance(now, &mut actions);
        actions
    }

    fn on_read_completed(&mut self, slice: &LogSlice, actions: &mut Vec<OwnerAction>) {
        let began_after_append = self.reading.take() == Some(true);
        if self.fold.retain_from(slice.first_offset).is_err() {
            self.restart_fold(slice.first_offset);
        }
        for record in &slice.records {
            match self.fold.apply(record) {
                Ok(ApplyResult::Applied(batch)) => self.on_batch_folded(&batch, actions),
                Ok(
                    ApplyResult::DuplicateBatch(_)
                    | ApplyResult::AlreadyApplied
                    | ApplyResult::NotABatch,
                ) => {}
                Err(FoldError::Gap(..)) => return self.restart_fold(slice.first_offset),
                Err(error) => return self.halt(error, actions),
            }
        }
        self.caught_up = self.fold.next_offset() >= slice.next_offset;
        if self.caught_up && began_after_append {
            self.on_batch_not_found(actions);
        }
    }

    /// Starts a new fold at the oldest retained record. This is safe because a new fold refuses
    /// every key whose records may have been trimmed.
    fn restart_fold(&mut self, first: Offset) {
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

    /// Sends the verdicts for the claims of a batch that this owner wrote. Abandons each claim that
    /// holds its key although it was not reported as granted. Each batch is handled once, even if a
    /// new fold reads it again: a claim that was reported as granted must not be abandoned here.
    fn on_batch_folded(&mut self, batch: &Batch, actions: &mut Vec<OwnerAction>) {
        if batch.id.writer != self.config.daemon || !self.unfolded_batches.remove(batch.id.sequence)
        {
            return;
        }
        for record in &batch.records {
            let Record::Claim(claim) = record else {
                continue;
            };
            let verdict = self.fold.verdict_of_appended(claim);
            let is_held = self.is_claim_held(claim);
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
        self.on_in_flight_folded(batch.id);
    }

    fn is_claim_held(&self, claim: &ClaimRequest) -> bool {
        self.fold.entry(claim.key).is_some_and(|entry| {
            entry.claim.attempt == claim.attempt && entry.state == KeyState::Claimed
        })
    }

    fn refuse_overdue(&mut self, now: Now, actions: &mut Vec<OwnerAction>) {
        let max_wait = self.config.max_wait;
        let overdue = self.waiting.extract_if(.., |_, waiting| {
            // The claim's deadline is not checked, since it is wall time of another daemon: an
            // owner whose clock is ahead would refuse every claim. The holder checks its deadline
            // itself.
            now.uptime >= waiting.submitted_at + max_wait
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
        if self.reading.is_none() && now.uptime >= self.read_not_before && self.is_read_due(now) {
            self.reading = Some(true);
            self.last_read = Some(now.uptime);
            let from = self.fold.next_offset();
            actions.push(OwnerAction::Read { from });
        }
        if now.uptime >= self.append_not_before {
            self.append_next(now, actions);
        }
    }

    fn is_read_due(&self, now: Now) -> bool {
        let is_interval_over = self
            .last_read
            .is_none_or(|last| now.uptime >= last + self.config.read_interval);
        is_interval_over
            || !self.caught_up
            || self
                .in_flight
                .as_ref()
                .is_some_and(InFlightBatch::needs_read)
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
