//! The append in flight: building its batch, its result, and the retry if the result is unknown.

use super::{
    AppendFailure, Attempt, BATCH_BYTES, BTreeSet, Batch, BatchId, ClaimKey, Flaw, MAX_BATCH_BYTES,
    MAX_BATCH_RECORDS, Now, Offset, OwnerAction, PartitionOwner, Record, Unavailable, Verdict,
    record_bytes, verdict_action,
};
use anvilgw_core::LogRecord;

/// Largest number of own batches that an owner tracks until they are folded. If an append takes
/// effect after its batch was dropped from the set, its claims expire as unknown instead of being
/// abandoned.
const MAX_UNFOLDED_BATCHES: usize = 1_024;

/// Sequence numbers of own batches that may be in the stream and are not folded yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct UnfoldedBatches(BTreeSet<u64>);

impl UnfoldedBatches {
    fn insert(&mut self, sequence: u64) {
        if self.0.len() >= MAX_UNFOLDED_BATCHES {
            self.0.pop_first();
        }
        self.0.insert(sequence);
    }

    pub(super) fn remove(&mut self, sequence: u64) -> bool {
        self.0.remove(&sequence)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum AppendState {
    /// The log service has not answered the append yet.
    Unconfirmed,
    /// The log service has not answered the append yet, but a read returned the batch and it was
    /// folded.
    Folded,
    /// The append succeeded, but records at lower offsets are not folded yet.
    Appended,
    /// The append's result is unknown; a read shows whether the batch is in the stream.
    MaybeAppended,
    /// A read did not return the batch, which is to be appended again under the same id.
    Retry,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct InFlightBatch {
    pub(super) batch: Batch,
    pub(super) state: AppendState,
    /// Number of times that the batch was appended again.
    retries: u32,
}

impl InFlightBatch {
    pub(super) fn needs_read(&self) -> bool {
        matches!(
            self.state,
            AppendState::Appended | AppendState::MaybeAppended
        )
    }

    fn claim_attempts(&self) -> impl Iterator<Item = Attempt> {
        self.batch.records.iter().filter_map(|record| match record {
            Record::Claim(claim) => Some(claim.attempt),
            Record::Outcome { .. } | Record::Abandon { .. } | Record::Expire { .. } => None,
        })
    }
}

impl PartitionOwner {
    /// Appends the next batch, or the one in flight again, if there is one to append.
    pub(super) fn append_next(&mut self, now: Now, actions: &mut Vec<OwnerAction>) {
        let batch = match &mut self.in_flight {
            Some(in_flight) if in_flight.state == AppendState::Retry => {
                in_flight.state = AppendState::Unconfirmed;
                in_flight.batch.clone()
            }
            Some(_) => return,
            None => match self.next_batch(now) {
                Some(batch) => batch,
                None => return,
            },
        };
        self.update_pacing(now);
        let payload = batch
            .encode()
            .expect("`next_batch` keeps a batch within the encoding limits");
        actions.push(OwnerAction::Append {
            batch: batch.id,
            payload,
        });
    }

    /// Sets the earliest time of the next append after one that is made now. Each request leads to
    /// a claim and an outcome soon after; with strict spacing a claim would have to wait for the
    /// interval after the outcome of the request before it. A burst allowance avoids that.
    fn update_pacing(&mut self, now: Now) {
        let interval = self.config.min_interval;
        if self.config.append_burst == 0 {
            self.append_not_before = now.uptime + interval;
            return;
        }
        self.rate_used_until = self.rate_used_until.max(now.uptime) + interval;
        let burst = interval * self.config.append_burst;
        self.append_not_before = self.rate_used_until.saturating_sub(burst);
    }

    /// Builds the next batch and puts it in flight. An empty batch is built only as a heartbeat.
    fn next_batch(&mut self, now: Now) -> Option<Batch> {
        if !self.caught_up {
            return None;
        }
        let mut records = self.due_expiries(now);
        let mut bytes = BATCH_BYTES + records.iter().map(record_bytes).sum::<usize>();
        let max_records = self.config.max_batch_records.min(MAX_BATCH_RECORDS);
        while records.len() < max_records
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
        self.unfolded_batches.insert(batch.id.sequence);
        self.in_flight = Some(InFlightBatch {
            batch: batch.clone(),
            state: AppendState::Unconfirmed,
            retries: 0,
        });
        Some(batch)
    }

    /// Returns expiry records for open claims whose deadline and grace period have passed. They
    /// fill at most half a batch, so that new claims are not delayed.
    fn due_expiries(&self, now: Now) -> Vec<Record> {
        let ending: BTreeSet<ClaimKey> = self
            .pending
            .iter()
            .filter_map(|record| match record {
                // Each of these ends the claim already. An expiry before a queued abandonment would
                // leave the key unknown instead of free.
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
            .filter(|claim| !ending.contains(&claim.key))
            .take(self.config.max_batch_records.min(MAX_BATCH_RECORDS) / 2)
            .map(|claim| Record::Expire {
                key: claim.key,
                attempt: claim.attempt,
            })
            .collect()
    }

    fn is_heartbeat_due(&self, now: Now) -> bool {
        let is_too_old =
            |newest: u64| newest.saturating_add(self.config.heartbeat_ms) <= now.wall_ms;
        !self.fold.has_trim_bound() || self.fold.newest_wall_ms().is_some_and(is_too_old)
    }

    /// Returns the batch in flight if the log service's answer is about it. A batch that is folded
    /// already needs nothing more and leaves the in-flight state.
    fn answered_batch(&mut self, batch: BatchId) -> Option<&mut InFlightBatch> {
        let is_folded = |in_flight: &mut InFlightBatch| {
            in_flight.batch.id == batch && in_flight.state == AppendState::Folded
        };
        self.in_flight.take_if(is_folded);
        self.in_flight
            .as_mut()
            .filter(|in_flight| in_flight.batch.id == batch)
    }

    /// Ends the append of a batch that was folded, unless the log service has not answered it yet.
    pub(super) fn on_in_flight_folded(&mut self, batch: BatchId) {
        let Some(in_flight) = self
            .in_flight
            .as_mut()
            .filter(|in_flight| in_flight.batch.id == batch)
        else {
            return;
        };
        if in_flight.state == AppendState::Unconfirmed {
            in_flight.state = AppendState::Folded;
        } else {
            self.in_flight = None;
        }
    }

    pub(super) fn on_appended(
        &mut self,
        batch: BatchId,
        offset: Offset,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(in_flight) = self.answered_batch(batch) else {
            return;
        };
        in_flight.state = AppendState::Appended;
        if offset == self.fold.next_offset() {
            self.fold_in_flight(offset, actions);
        } else if self.flaw == Some(Flaw::GrantBeforeFold) {
            self.grant_in_flight_claims(actions);
        }
    }

    /// Folds the batch in flight without reading it back, since all records before it are folded.
    fn fold_in_flight(&mut self, offset: Offset, actions: &mut Vec<OwnerAction>) {
        let Some(Ok(payload)) = self
            .in_flight
            .as_ref()
            .map(|in_flight| in_flight.batch.encode())
        else {
            return;
        };
        if let Ok(crate::ApplyResult::Applied(batch)) =
            self.fold.apply(&LogRecord { offset, payload })
        {
            self.on_batch_folded(&batch, actions);
        }
    }

    fn grant_in_flight_claims(&mut self, actions: &mut Vec<OwnerAction>) {
        let attempts: Vec<_> = self
            .in_flight
            .iter()
            .flat_map(InFlightBatch::claim_attempts)
            .collect();
        for attempt in attempts {
            if let Some(waiting) = self.waiting.remove(&attempt) {
                actions.push(verdict_action(&waiting.claim, Verdict::Granted));
            }
        }
    }

    pub(super) fn on_append_failed(
        &mut self,
        batch: BatchId,
        failure: AppendFailure,
        now: Now,
        actions: &mut Vec<OwnerAction>,
    ) {
        self.append_not_before = now.uptime + self.config.retry_interval;
        let Some(in_flight) = self.answered_batch(batch) else {
            return;
        };
        // After a retry the batch may be in the stream through an earlier append.
        if failure == AppendFailure::NotAppended && in_flight.retries == 0 {
            self.unfolded_batches.remove(batch.sequence);
            self.discard_in_flight(actions);
            return;
        }
        in_flight.state = AppendState::MaybeAppended;
        // A read in flight may have begun before the append took effect.
        self.reading = self.reading.map(|_| false);
    }

    /// Handles a read to the end of the stream that began after an append of unknown result and did
    /// not return its batch. The append may still take effect later, so the batch is appended again
    /// under its id, which cannot take effect twice. Once no claim of the batch waits for a
    /// verdict, the batch is discarded.
    pub(super) fn on_batch_not_found(&mut self, actions: &mut Vec<OwnerAction>) {
        let Some(in_flight) = &mut self.in_flight else {
            return;
        };
        if in_flight.state != AppendState::MaybeAppended {
            return;
        }
        let is_awaited = in_flight
            .claim_attempts()
            .any(|attempt| self.waiting.contains_key(&attempt));
        if is_awaited && in_flight.retries < self.config.max_append_retries {
            in_flight.retries += 1;
            in_flight.state = AppendState::Retry;
        } else {
            self.discard_in_flight(actions);
        }
    }

    /// Refuses the claims of the batch in flight if only a read can show their verdicts.
    pub(super) fn refuse_in_flight_claims(&mut self, actions: &mut Vec<OwnerAction>) {
        let Some(in_flight) = &self.in_flight else {
            return;
        };
        if !in_flight.needs_read() {
            return;
        }
        for attempt in in_flight.claim_attempts() {
            if let Some(waiting) = self.waiting.remove(&attempt) {
                let verdict = Verdict::Unavailable(Unavailable::Log);
                actions.push(verdict_action(&waiting.claim, verdict));
            }
        }
    }

    /// Discards the batch in flight: its claims are refused and its other records go into the next
    /// batch. If both batches are folded after all, the second outcome, abandonment or expiry has
    /// no effect.
    fn discard_in_flight(&mut self, actions: &mut Vec<OwnerAction>) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        for record in in_flight.batch.records.into_iter().rev() {
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
