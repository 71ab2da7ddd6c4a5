//! State of all keys of one partition, derived from its stream.

use crate::codec::CodecError;
use crate::key::{ClaimKey, RequestDigest};
use crate::mutation::Flaw;
use crate::record::{
    Attempt, Batch, BatchId, ClaimRequest, Record, RecordedAnswer, Unavailable, Verdict,
};
use anvilgw_core::{LogRecord, Offset};
use quick_error::quick_error;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How old or new a key may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyAgeLimits {
    /// Once records were trimmed, a key has to be at least this much newer than the trimmed batches
    /// can be. It covers the difference between the clocks of callers and writers.
    pub margin_ms: u64,
    /// A key may be this much newer than the batch that claims it. A key from the far future would
    /// still look new after its records were trimmed, so this is less than the margin; the rest of
    /// the margin covers the difference between the clocks of two writers.
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
    /// Why a record cannot be folded.
    #[derive(Clone, Debug, PartialEq, Eq, Hash)]
    pub enum FoldError {
        /// Records in between are missing.
        Gap(expected: Offset, found: Offset) {
            display("expected the record at offset {}, found offset {}", expected, found)
        }
        /// The record was written by a newer program; skipping it could lose a claim.
        UnknownFormat(offset: Offset, version: u8) {
            display("the record at offset {} has the unknown format {}", offset, version)
        }
    }
}

/// What became of a folded record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The batch took effect.
    Applied(Batch),
    /// The batch took effect at an earlier offset.
    DuplicateBatch(BatchId),
    /// The record was folded before.
    AlreadyApplied,
    /// The record is not a batch; it is counted and skipped.
    NotABatch,
}

/// State of a claimed key. A key without a state is free.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyState {
    /// An attempt holds the claim and has no outcome yet.
    Claimed,
    /// The attempt was executed with this answer.
    Done(RecordedAnswer),
    /// The claim ended without an outcome.
    Unknown,
}

/// A claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyEntry {
    /// The winning claim.
    pub claim: ClaimRequest,
    /// Where the claim is in the stream.
    pub offset: Offset,
    /// What became of it.
    pub state: KeyState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct DatedBatch {
    offset: Offset,
    id: BatchId,
    wall_ms: u64,
}

/// Fold of one claim stream. Two folds that started at the same offset, have read up to the same
/// offset and know the same first offset are equal.
///
/// Memory is bounded by the stream's retention: what was derived from a trimmed record is dropped.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PartitionFold {
    rule: KeyAgeLimits,
    flaw: Option<Flaw>,
    start: Offset,
    first: Offset,
    next: Offset,
    keys: BTreeMap<ClaimKey, KeyEntry>,
    claims: VecDeque<(Offset, ClaimKey)>,
    /// Claimed keys by deadline.
    open: BTreeSet<(u64, ClaimKey)>,
    batches: VecDeque<DatedBatch>,
    batch_ids: BTreeSet<BatchId>,
    /// Bound for the wall time of everything below the offset at which the fold started. Not known
    /// until a batch was folded whose writer had read up to there.
    start_bound_ms: Option<u64>,
    trimmed_wall_ms: u64,
    skipped: u64,
}

impl PartitionFold {
    /// Creates a fold that starts at the oldest retained offset.
    #[must_use]
    pub fn new(rule: KeyAgeLimits, first: Offset) -> Self {
        Self {
            rule,
            flaw: None,
            start: first,
            first,
            next: first,
            keys: BTreeMap::new(),
            claims: VecDeque::new(),
            open: BTreeSet::new(),
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

    /// Oldest retained offset that is known.
    #[must_use]
    pub fn first_offset(&self) -> Offset {
        self.first
    }

    /// Offset of the next record to fold.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Number of records that were no batches.
    #[must_use]
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Number of keys with a state.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether all keys are free.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// State of a key, or none if it is free.
    #[must_use]
    pub fn entry(&self, key: ClaimKey) -> Option<&KeyEntry> {
        self.keys.get(&key)
    }

    /// Claims without an outcome, in order of their deadlines.
    pub fn open_claims(&self) -> impl Iterator<Item = &ClaimRequest> {
        self.open
            .iter()
            .filter_map(|(_, key)| self.keys.get(key))
            .map(|entry| &entry.claim)
    }

    /// Wall time of the oldest retained batch.
    #[must_use]
    pub fn oldest_wall_ms(&self) -> Option<u64> {
        self.batches.front().map(|batch| batch.wall_ms)
    }

    /// Wall time of the newest batch.
    #[must_use]
    pub fn newest_wall_ms(&self) -> Option<u64> {
        self.batches.back().map(|batch| batch.wall_ms)
    }

    /// Whether it is known how new a trimmed record can be.
    #[must_use]
    pub fn has_trim_bound(&self) -> bool {
        self.start_bound_ms.is_some()
    }

    /// Latest wall time that a trimmed batch can have.
    ///
    /// The wall time of the oldest retained batch is no such bound: its append may have taken effect
    /// long after it was made, with newer batches in front of it that are trimmed by now.
    fn trimmed_bound_ms(&self) -> Option<u64> {
        self.start_bound_ms
            .map(|bound| bound.max(self.trimmed_wall_ms))
    }

    /// Folds a record.
    ///
    /// # Errors
    ///
    /// [`FoldError`] if records in between are missing or the record has an unknown format; nothing
    /// is changed then.
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
        for change in &batch.records {
            self.change(change, record.offset, batch.wall_ms);
        }
        Ok(ApplyResult::Applied(batch))
    }

    fn change(&mut self, record: &Record, offset: Offset, wall_ms: u64) {
        match record {
            Record::Claim(claim) => self.claim(claim, offset, wall_ms),
            Record::Outcome {
                key,
                attempt,
                answer,
            } => {
                if let Some(entry) = self.held(*key, *attempt)
                    && !matches!(entry.state, KeyState::Done(_))
                {
                    entry.state = KeyState::Done(answer.clone());
                    let opened = (entry.claim.deadline_ms, *key);
                    self.open.remove(&opened);
                }
            }
            Record::Abandon { key, attempt } => {
                if let Some(entry) = self.held(*key, *attempt)
                    && entry.state == KeyState::Claimed
                {
                    self.drop_key(*key);
                }
            }
            Record::Expire { key, attempt } => {
                if let Some(entry) = self.held(*key, *attempt)
                    && entry.state == KeyState::Claimed
                {
                    entry.state = KeyState::Unknown;
                    let opened = (entry.claim.deadline_ms, *key);
                    self.open.remove(&opened);
                }
            }
        }
    }

    fn drop_key(&mut self, key: ClaimKey) {
        if let Some(entry) = self.keys.remove(&key) {
            self.open.remove(&(entry.claim.deadline_ms, key));
        }
    }

    fn claim(&mut self, claim: &ClaimRequest, offset: Offset, wall_ms: u64) {
        let wins = !self.keys.contains_key(&claim.key) || self.flaw == Some(Flaw::LastClaimWins);
        if wins && !self.is_from_future(claim, wall_ms) {
            self.drop_key(claim.key);
            self.keys.insert(
                claim.key,
                KeyEntry {
                    claim: *claim,
                    offset,
                    state: KeyState::Claimed,
                },
            );
            self.claims.push_back((offset, claim.key));
            self.open.insert((claim.deadline_ms, claim.key));
        }
    }

    fn held(&mut self, key: ClaimKey, attempt: Attempt) -> Option<&mut KeyEntry> {
        self.keys
            .get_mut(&key)
            .filter(|entry| entry.claim.attempt == attempt)
    }

    /// Drops everything that was derived from records before `first`, which were trimmed.
    ///
    /// # Errors
    ///
    /// [`FoldError::Gap`] if records were trimmed that were not folded; nothing is changed then and
    /// a new fold has to be started at `first`.
    pub fn retain_from(&mut self, first: Offset) -> Result<(), FoldError> {
        if first > self.next {
            return Err(FoldError::Gap(self.next, first));
        }
        self.first = self.first.max(first);
        while let Some(batch) = self.batches.pop_front_if(|batch| batch.offset < first) {
            self.batch_ids.remove(&batch.id);
            self.trimmed_wall_ms = self.trimmed_wall_ms.max(batch.wall_ms);
        }
        while let Some((offset, key)) = self.claims.pop_front_if(|(offset, _)| *offset < first) {
            // An abandoned key may have been claimed again at a later offset.
            if self
                .keys
                .get(&key)
                .is_some_and(|entry| entry.offset == offset)
            {
                self.drop_key(key);
            }
        }
        Ok(())
    }

    /// Verdict for a claim that is not in the stream. [`Verdict::Granted`] means that it would win
    /// if it were appended next.
    #[must_use]
    pub fn verdict(&self, claim: &ClaimRequest, wall_ms: u64) -> Verdict {
        match self.keys.get(&claim.key) {
            Some(entry) => entry.verdict_for(claim.body),
            None if self.is_from_future(claim, wall_ms) => Verdict::FromFuture,
            None => self.age_verdict(claim),
        }
    }

    /// Verdict for a claim whose batch was folded.
    #[must_use]
    pub fn verdict_of_appended(&self, claim: &ClaimRequest) -> Verdict {
        match self.keys.get(&claim.key) {
            Some(entry) if entry.claim.attempt != claim.attempt => entry.verdict_for(claim.body),
            Some(entry) if entry.state == KeyState::Claimed => self.age_verdict(claim),
            Some(entry) => entry.verdict_for(claim.body),
            // The claim had no effect, or was freed or trimmed since.
            None => Verdict::Unavailable(Unavailable::Log),
        }
    }

    fn is_from_future(&self, claim: &ClaimRequest, wall_ms: u64) -> bool {
        claim.key_time.0 > wall_ms.saturating_add(self.rule.max_future_ms)
    }

    fn age_verdict(&self, claim: &ClaimRequest) -> Verdict {
        if self.first == Offset(0) || self.flaw == Some(Flaw::AgeIgnored) {
            return Verdict::Granted;
        }
        match self.trimmed_bound_ms() {
            None => Verdict::Unavailable(Unavailable::Undated),
            Some(until) if claim.key_time.0 < until.saturating_add(self.rule.margin_ms) => {
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
