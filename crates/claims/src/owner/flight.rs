//! The append in flight: its batch, its answer, and what follows a lost answer.

use super::{
    AppendFailure, Attempt, BATCH_BYTES, BTreeSet, Batch, BatchId, ClaimKey, Flaw, MAX_BATCH_BYTES,
    MAX_BATCH_RECORDS, Now, Offset, OwnerAction, PartitionOwner, Record, Unavailable, Verdict,
    record_bytes, verdict_action,
};
use anvilgw_core::LogRecord;

/// Number of batches with a lost answer that an owner remembers. The claims of a forgotten one that
/// turns up later end as unknown instead of being abandoned.
const MAX_UNSEEN: usize = 1_024;

/// Sequences of own batches that may be in the stream and were not folded yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Unseen(BTreeSet<u64>);

impl Unseen {
    fn insert(&mut self, sequence: u64) {
        if self.0.len() >= MAX_UNSEEN {
            self.0.pop_first();
        }
        self.0.insert(sequence);
    }

    pub(super) fn remove(&mut self, sequence: u64) -> bool {
        self.0.remove(&sequence)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum FlightState {
    /// The append was not answered yet.
    Sent,
    /// The append was not answered yet, but a read has shown the batch.
    Seen,
    /// The append was answered, but records in front of it are not folded.
    Appended,
    /// The answer was lost: a read shows whether the batch is in the stream.
    Lost,
    /// The batch was not found and is to be appended again under the same id.
    Repeat,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Flight {
    pub(super) batch: Batch,
    pub(super) state: FlightState,
    repeats: u32,
}

impl Flight {
    pub(super) fn wants_read(&self) -> bool {
        matches!(self.state, FlightState::Appended | FlightState::Lost)
    }

    fn claims(&self) -> impl Iterator<Item = Attempt> {
        self.batch.records.iter().filter_map(|record| match record {
            Record::Claim(claim) => Some(claim.attempt),
            Record::Outcome { .. } | Record::Abandon { .. } | Record::Expire { .. } => None,
        })
    }
}

impl PartitionOwner {
    pub(super) fn append(&mut self, now: Now, actions: &mut Vec<OwnerAction>) {
        let batch = match &mut self.flight {
            Some(flight) if flight.state == FlightState::Repeat => {
                flight.state = FlightState::Sent;
                flight.batch.clone()
            }
            Some(_) => return,
            None => match self.next_batch(now) {
                Some(batch) => batch,
                None => return,
            },
        };
        self.pace(now);
        let payload = batch
            .encode()
            .expect("a batch is kept within the limits while it is filled");
        actions.push(OwnerAction::Append {
            batch: batch.id,
            payload,
        });
    }

    /// Decides when the next append may follow one that is made now. Calls come in pairs of a claim
    /// and its outcome, and strict spacing would make the next claim wait for the outcome's interval.
    fn pace(&mut self, now: Now) {
        let interval = self.config.min_interval;
        if self.config.append_burst == 0 {
            self.append_not_before = now.uptime + interval;
            return;
        }
        self.paced_until = self.paced_until.max(now.uptime) + interval;
        let credit = interval * self.config.append_burst;
        self.append_not_before = self.paced_until.saturating_sub(credit);
    }

    fn next_batch(&mut self, now: Now) -> Option<Batch> {
        if !self.caught_up {
            return None;
        }
        let mut records = self.overdue_claims(now);
        let mut bytes = BATCH_BYTES + records.iter().map(record_bytes).sum::<usize>();
        let most = self.config.max_batch_records.min(MAX_BATCH_RECORDS);
        while records.len() < most
            && let Some(record) = self.pending.front()
            && bytes + record_bytes(record) <= MAX_BATCH_BYTES
        {
            bytes += record_bytes(record);
            records.extend(self.pending.pop_front());
        }
        if records.is_empty() && !self.is_heartbeat_due(now) {
            return None;
        }
        let batch = Batch {
            id: BatchId {
                writer: self.config.daemon,
                sequence: self.next_sequence,
            },
            wall_ms: now.wall_ms,
            after: self.fold.next_offset(),
            records,
        };
        self.next_sequence += 1;
        self.unseen.insert(batch.id.sequence);
        self.flight = Some(Flight {
            batch: batch.clone(),
            state: FlightState::Sent,
            repeats: 0,
        });
        Some(batch)
    }

    /// Expiry records for open claims past deadline and grace. At most half a batch, so that claims
    /// are not held up.
    fn overdue_claims(&self, now: Now) -> Vec<Record> {
        let queued: BTreeSet<ClaimKey> = self
            .pending
            .iter()
            .filter_map(|record| match record {
                // Each ends the claim, and an abandon better than an expiry.
                Record::Expire { key, .. }
                | Record::Outcome { key, .. }
                | Record::Abandon { key, .. } => Some(*key),
                Record::Claim(_) => None,
            })
            .collect();
        let grace_ms = self.config.grace_ms;
        self.fold
            .open_claims()
            .take_while(|claim| claim.deadline_ms.saturating_add(grace_ms) < now.wall_ms)
            .filter(|claim| !queued.contains(&claim.key))
            .take(self.config.max_batch_records.min(MAX_BATCH_RECORDS) / 2)
            .map(|claim| Record::Expire {
                key: claim.key,
                attempt: claim.attempt,
            })
            .collect()
    }

    fn is_heartbeat_due(&self, now: Now) -> bool {
        let is_old = |newest: u64| newest.saturating_add(self.config.heartbeat_ms) <= now.wall_ms;
        !self.fold.has_trim_bound() || self.fold.newest_wall_ms().is_some_and(is_old)
    }

    /// The append that an answer belongs to, unless nothing is left to do for it.
    fn answered_flight(&mut self, batch: BatchId) -> Option<&mut Flight> {
        let is_seen =
            |flight: &mut Flight| flight.batch.id == batch && flight.state == FlightState::Seen;
        self.flight.take_if(is_seen);
        self.flight
            .as_mut()
            .filter(|flight| flight.batch.id == batch)
    }

    /// Notes that a batch was folded. An append that is not answered yet stays in flight.
    pub(super) fn flight_folded(&mut self, batch: BatchId) {
        let Some(flight) = self
            .flight
            .as_mut()
            .filter(|flight| flight.batch.id == batch)
        else {
            return;
        };
        if flight.state == FlightState::Sent {
            flight.state = FlightState::Seen;
        } else {
            self.flight = None;
        }
    }

    pub(super) fn appended(
        &mut self,
        batch: BatchId,
        offset: Offset,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(flight) = self.answered_flight(batch) else {
            return;
        };
        flight.state = FlightState::Appended;
        if offset == self.fold.next_offset() {
            self.fold_own(offset, actions);
        } else if self.flaw == Some(Flaw::GrantBeforeFold) {
            self.grant_flight(actions);
        }
    }

    /// Folds the batch in flight without reading it back: everything before it is folded.
    fn fold_own(&mut self, offset: Offset, actions: &mut Vec<OwnerAction>) {
        let Some(Ok(payload)) = self.flight.as_ref().map(|flight| flight.batch.encode()) else {
            return;
        };
        if let Ok(crate::ApplyResult::Applied(batch)) =
            self.fold.apply(&LogRecord { offset, payload })
        {
            self.folded(&batch, actions);
        }
    }

    fn grant_flight(&mut self, actions: &mut Vec<OwnerAction>) {
        let attempts: Vec<_> = self.flight.iter().flat_map(Flight::claims).collect();
        for attempt in attempts {
            if let Some(waiting) = self.waiting.remove(&attempt) {
                actions.push(verdict_action(&waiting.claim, Verdict::Granted));
            }
        }
    }

    pub(super) fn append_failed(
        &mut self,
        batch: BatchId,
        failure: AppendFailure,
        now: Now,
        actions: &mut Vec<OwnerAction>,
    ) {
        self.append_not_before = now.uptime + self.config.retry_interval;
        let Some(flight) = self.answered_flight(batch) else {
            return;
        };
        // A repeated batch may be in the stream through its earlier append.
        if failure == AppendFailure::NotAppended && flight.repeats == 0 {
            self.unseen.remove(batch.sequence);
            self.drop_flight(actions);
            return;
        }
        flight.state = FlightState::Lost;
        // A read that is under way may have begun before the append took effect.
        self.reading = self.reading.map(|_| false);
    }

    /// A read that began after the answer was lost reached the end of the stream. The append may
    /// still take effect later, so the batch is appended again under its id, which cannot take effect
    /// twice. Once nobody waits for its claims it is given up.
    pub(super) fn not_found(&mut self, actions: &mut Vec<OwnerAction>) {
        let Some(flight) = &mut self.flight else {
            return;
        };
        if flight.state != FlightState::Lost {
            return;
        }
        let is_awaited = flight
            .claims()
            .any(|attempt| self.waiting.contains_key(&attempt));
        if is_awaited && flight.repeats < self.config.max_append_retries {
            flight.repeats += 1;
            flight.state = FlightState::Repeat;
        } else {
            self.drop_flight(actions);
        }
    }

    /// Refuses the claims of the batch in flight if its answer was lost.
    pub(super) fn refuse_flight(&mut self, actions: &mut Vec<OwnerAction>) {
        let Some(flight) = &self.flight else {
            return;
        };
        if !flight.wants_read() {
            return;
        }
        for attempt in flight.claims() {
            if let Some(waiting) = self.waiting.remove(&attempt) {
                let verdict = Verdict::Unavailable(Unavailable::Log);
                actions.push(verdict_action(&waiting.claim, verdict));
            }
        }
    }

    /// Gives up the batch in flight: its claims are refused, everything else goes into the next
    /// batch. Outcomes, abandons and expiries have no further effect if both batches are folded.
    fn drop_flight(&mut self, actions: &mut Vec<OwnerAction>) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        for record in flight.batch.records.into_iter().rev() {
            match record {
                Record::Claim(claim) => {
                    if self.waiting.remove(&claim.attempt).is_some() {
                        let verdict = Verdict::Unavailable(Unavailable::Log);
                        actions.push(verdict_action(&claim, verdict));
                    }
                }
                other => self.pending.push_front(other),
            }
        }
    }
}
