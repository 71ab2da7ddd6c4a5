//! State of all claimed keys of one partition, derived by folding its log stream.

use crate::codec::CodecError;
use crate::key::{ClaimKey, RequestDigest};
use crate::mutation::Flaw;
use crate::record::{
    Attempt, Batch, BatchId, ClaimRequest, Record, RecordedAnswer, Unavailable, Verdict,
};
use anvilgw_core::{LogRecord, Offset};
use quick_error::quick_error;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Limits on the age of the keys that are granted. All daemons must use the same limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyAgeLimits {
    /// Milliseconds by which a key must be newer than the newest record that the log service may
    /// have trimmed from the stream. Without trimmed records keys of any age are granted. The
    /// margin covers the difference between the clocks of callers and of the daemons that write
    /// batches.
    pub margin_ms: u64,
    /// Milliseconds by which a key may be newer than the batch that claims it. A key from the far
    /// future would still look new after its records were trimmed, so this limit is less than the
    /// margin; the rest of the margin covers the difference between the clocks of two writers.
    pub max_future_ms: u64,
}

impl Default for KeyAgeLimits {
    fn default() -> Self {
        Self {
            margin_ms: 120_000,
            max_future_ms: 60_000,
        }
    }
}

quick_error! {
    /// Why a record cannot be folded, or records cannot be dropped from the fold.
    #[derive(Clone, Debug, PartialEq, Eq, Hash)]
    pub enum FoldError {
        /// The records from `expected` up to `found` were not folded.
        Gap(expected: Offset, found: Offset) {
            display("expected the record at offset {}, found offset {}", expected, found)
        }
        /// The record has an unknown format version and was probably written by a newer release.
        /// Skipping it could lose a claim.
        UnknownFormat(offset: Offset, version: u8) {
            display("the record at offset {} has the unknown format version {}", offset, version)
        }
    }
}

/// Effect of a log record on the fold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The batch was applied for the first time.
    Applied(Batch),
    /// The batch was applied already at an earlier offset, so it has no effect here.
    DuplicateBatch(BatchId),
    /// The record at this offset was folded before.
    AlreadyApplied,
    /// The record is not a valid batch. It is counted in [`PartitionFold::skipped`] and has no
    /// other effect.
    NotABatch,
}

/// State of a claimed key. A key without an entry is free.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyState {
    /// The attempt that holds the claim has no outcome yet.
    Claimed,
    /// The attempt was executed with this answer.
    Done(RecordedAnswer),
    /// The claim expired without an outcome: whether the request was executed is not known.
    Unknown,
}

/// A claimed key with its winning claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyEntry {
    /// The winning claim.
    pub claim: ClaimRequest,
    /// Offset of the record that holds the claim.
    pub offset: Offset,
    /// State that the later records about the key led to.
    pub state: KeyState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct DatedBatch {
    offset: Offset,
    id: BatchId,
    wall_ms: u64,
}

/// Fold of one claim stream. Folds that started at the same offset, have read up to the same offset
/// and know the same oldest retained offset are equal.
///
/// The stream's retention bounds the memory: [`Self::retain_from`] drops what was derived from
/// trimmed records.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PartitionFold {
    age_limits: KeyAgeLimits,
    flaw: Option<Flaw>,
    /// Offset at which this fold started.
    start: Offset,
    first_retained: Offset,
    next: Offset,
    keys: BTreeMap<ClaimKey, KeyEntry>,
    /// Winning claims in the order of their offsets.
    winning_claims: VecDeque<(Offset, ClaimKey)>,
    /// Keys whose claims have no outcome yet, by deadline.
    open_by_deadline: BTreeSet<(u64, ClaimKey)>,
    batches: VecDeque<DatedBatch>,
    batch_ids: BTreeSet<BatchId>,
    /// Upper bound for the wall time of every record below `start`. Unknown until a batch is folded
    /// whose writer had read the stream up to `start`.
    start_bound_ms: Option<u64>,
    /// Latest wall time of the batches that were folded and then trimmed.
    trimmed_wall_ms: u64,
    skipped: u64,
}

impl PartitionFold {
    /// Creates a fold that starts at `first`, the oldest offset that the log service retains.
    #[must_use]
    pub fn new(age_limits: KeyAgeLimits, first: Offset) -> Self {
        Self {
            age_limits,
            flaw: None,
            start: first,
            first_retained: first,
            next: first,
            keys: BTreeMap::new(),
            winning_claims: VecDeque::new(),
            open_by_deadline: BTreeSet::new(),
            batches: VecDeque::new(),
            batch_ids: BTreeSet::new(),
            start_bound_ms: (first == Offset(0)).then_some(0),
            trimmed_wall_ms: 0,
            skipped: 0,
        }
    }

    #[doc(hidden)]
    #[must_use]
    pub fn with_flaw(mut self, flaw: Option<Flaw>) -> Self {
        self.flaw = flaw;
        self
    }

    /// Returns the oldest retained offset, as last passed to [`Self::new`] or
    /// [`Self::retain_from`].
    #[must_use]
    pub fn first_offset(&self) -> Offset {
        self.first_retained
    }

    /// Returns the offset of the next record to fold.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the number of folded records that were not valid batches.
    #[must_use]
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Returns the number of claimed keys, in any state.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether all keys are free.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the winning claim on a key and its state, or none if the key is free.
    #[must_use]
    pub fn entry(&self, key: ClaimKey) -> Option<&KeyEntry> {
        self.keys.get(&key)
    }

    /// Returns the claims without an outcome, in the order of their deadlines.
    pub fn open_claims(&self) -> impl Iterator<Item = &ClaimRequest> {
        self.open_by_deadline
            .iter()
            .filter_map(|(_, key)| self.keys.get(key))
            .map(|entry| &entry.claim)
    }

    /// Returns the wall time of the oldest retained batch, in milliseconds since 1970.
    #[must_use]
    pub fn oldest_wall_ms(&self) -> Option<u64> {
        self.batches.front().map(|batch| batch.wall_ms)
    }

    /// Returns the wall time of the newest batch, in milliseconds since 1970.
    #[must_use]
    pub fn newest_wall_ms(&self) -> Option<u64> {
        self.batches.back().map(|batch| batch.wall_ms)
    }

    /// Returns whether there is an upper bound for the wall time of the trimmed records. Without
    /// one no key of a trimmed stream is granted.
    #[must_use]
    pub fn has_trim_bound(&self) -> bool {
        self.start_bound_ms.is_some()
    }

    /// Returns the latest wall time that a trimmed batch can have.
    ///
    /// The wall time of the oldest retained batch is no such bound: its append may have taken
    /// effect long after the batch was built, behind newer batches that are trimmed by now.
    fn trimmed_bound_ms(&self) -> Option<u64> {
        self.start_bound_ms
            .map(|bound| bound.max(self.trimmed_wall_ms))
    }

    /// Folds the record at the next offset.
    ///
    /// # Errors
    ///
    /// Returns a [`FoldError`] and leaves the fold unchanged if records before this one are missing
    /// or the record has an unknown format.
    pub fn apply(&mut self, record: &LogRecord) -> Result<ApplyResult, FoldError> {
        if record.offset < self.next {
            return Ok(ApplyResult::AlreadyApplied);
        }
        if record.offset > self.next {
            return Err(FoldError::Gap(self.next, record.offset));
        }
        let decoded = match Batch::decode(&record.payload) {
            Err(CodecError::UnknownFormat(version)) => {
                return Err(FoldError::UnknownFormat(record.offset, version));
            }
            decoded => decoded,
        };
        self.next = Offset(record.offset.0 + 1);
        let Ok(batch) = decoded else {
            self.skipped += 1;
            return Ok(ApplyResult::NotABatch);
        };
        if !self.batch_ids.insert(batch.id) {
            return Ok(ApplyResult::DuplicateBatch(batch.id));
        }
        self.batches.push_back(DatedBatch {
            offset: record.offset,
            id: batch.id,
            wall_ms: batch.wall_ms,
        });
        if self.start_bound_ms.is_none() && batch.after >= self.start {
            self.start_bound_ms = Some(batch.wall_ms);
        }
        for claim_record in &batch.records {
            self.apply_record(claim_record, record.offset, batch.wall_ms);
        }
        Ok(ApplyResult::Applied(batch))
    }

    fn apply_record(&mut self, record: &Record, offset: Offset, wall_ms: u64) {
        match record {
            Record::Claim(claim) => self.apply_claim(claim, offset, wall_ms),
            Record::Outcome {
                key,
                attempt,
                answer,
            } => {
                if let Some(entry) = self.entry_held_by(*key, *attempt)
                    && !matches!(entry.state, KeyState::Done(_))
                {
                    entry.state = KeyState::Done(answer.clone());
                    let open_key = (entry.claim.deadline_ms, *key);
                    self.open_by_deadline.remove(&open_key);
                }
            }
            Record::Abandon { key, attempt } => {
                if let Some(entry) = self.entry_held_by(*key, *attempt)
                    && entry.state == KeyState::Claimed
                {
                    self.remove_key(*key);
                }
            }
            Record::Expire { key, attempt } => {
                if let Some(entry) = self.entry_held_by(*key, *attempt)
                    && entry.state == KeyState::Claimed
                {
                    entry.state = KeyState::Unknown;
                    let open_key = (entry.claim.deadline_ms, *key);
                    self.open_by_deadline.remove(&open_key);
                }
            }
        }
    }

    fn remove_key(&mut self, key: ClaimKey) {
        if let Some(entry) = self.keys.remove(&key) {
            self.open_by_deadline
                .remove(&(entry.claim.deadline_ms, key));
        }
    }

    fn apply_claim(&mut self, claim: &ClaimRequest, offset: Offset, wall_ms: u64) {
        let wins = !self.keys.contains_key(&claim.key) || self.flaw == Some(Flaw::LastClaimWins);
        if wins && !self.is_from_future(claim, wall_ms) {
            self.remove_key(claim.key);
            self.keys.insert(
                claim.key,
                KeyEntry {
                    claim: *claim,
                    offset,
                    state: KeyState::Claimed,
                },
            );
            self.winning_claims.push_back((offset, claim.key));
            self.open_by_deadline.insert((claim.deadline_ms, claim.key));
        }
    }

    fn entry_held_by(&mut self, key: ClaimKey, attempt: Attempt) -> Option<&mut KeyEntry> {
        self.keys
            .get_mut(&key)
            .filter(|entry| entry.claim.attempt == attempt)
    }

    /// Drops everything that was derived from the records below `first`, which the log service has
    /// trimmed.
    ///
    /// # Errors
    ///
    /// Returns [`FoldError::Gap`] and leaves the fold unchanged if records were trimmed that were
    /// not folded. The caller then has to start a new fold at `first`.
    pub fn retain_from(&mut self, first: Offset) -> Result<(), FoldError> {
        if first > self.next {
            return Err(FoldError::Gap(self.next, first));
        }
        self.first_retained = self.first_retained.max(first);
        while let Some(batch) = self.batches.pop_front_if(|batch| batch.offset < first) {
            self.batch_ids.remove(&batch.id);
            self.trimmed_wall_ms = self.trimmed_wall_ms.max(batch.wall_ms);
        }
        while let Some((offset, key)) = self
            .winning_claims
            .pop_front_if(|(offset, _)| *offset < first)
        {
            // An abandoned key may have been claimed again at a later offset.
            if self
                .keys
                .get(&key)
                .is_some_and(|entry| entry.offset == offset)
            {
                self.remove_key(key);
            }
        }
        Ok(())
    }

    /// Returns the verdict for a claim that is not in the stream and would be appended at
    /// `wall_ms`. [`Verdict::Granted`] means that the claim would win if it were the next record.
    #[must_use]
    pub fn verdict(&self, claim: &ClaimRequest, wall_ms: u64) -> Verdict {
        match self.keys.get(&claim.key) {
            Some(entry) => entry.verdict_for(claim.body),
            None if self.is_from_future(claim, wall_ms) => Verdict::FromFuture,
            None => self.age_verdict(claim),
        }
    }

    /// Returns the verdict for a claim whose batch was folded.
    #[must_use]
    pub fn verdict_of_appended(&self, claim: &ClaimRequest) -> Verdict {
        match self.keys.get(&claim.key) {
            Some(entry) if entry.claim.attempt != claim.attempt => entry.verdict_for(claim.body),
            Some(entry) if entry.state == KeyState::Claimed => self.age_verdict(claim),
            Some(entry) => entry.verdict_for(claim.body),
            // The claim had no effect, or its key was freed or its record trimmed since then.
            None => Verdict::Unavailable(Unavailable::Log),
        }
    }

    fn is_from_future(&self, claim: &ClaimRequest, wall_ms: u64) -> bool {
        claim.key_time.0 > wall_ms.saturating_add(self.age_limits.max_future_ms)
    }

    fn age_verdict(&self, claim: &ClaimRequest) -> Verdict {
        if self.first_retained == Offset(0) || self.flaw == Some(Flaw::AgeIgnored) {
            return Verdict::Granted;
        }
        match self.trimmed_bound_ms() {
            None => Verdict::Unavailable(Unavailable::Undated),
            Some(until) if claim.key_time.0 < until.saturating_add(self.age_limits.margin_ms) => {
                Verdict::TooOld
            }
            Some(_) => Verdict::Granted,
        }
    }
}

impl KeyEntry {
    fn verdict_for(&self, body: RequestDigest) -> Verdict {
        if self.claim.body != body {
            return Verdict::KeyReused;
        }
        match &self.state {
            KeyState::Claimed => Verdict::InProgress,
            KeyState::Done(answer) => Verdict::Done(answer.clone()),
            KeyState::Unknown => Verdict::Unknown,
        }
    }
}
