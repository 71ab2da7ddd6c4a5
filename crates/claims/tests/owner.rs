//! The owner over an in-memory log that loses answers.

mod common;

use anvilgw_claims::{
    AppendFailure, Attempt, Batch, BatchId, ClaimRequest, KeyState, OwnerAction, OwnerConfig,
    OwnerEvent, PartitionFold, PartitionOwner, Record, RecordedAnswer, Submission, SubmitError,
    Unavailable, Verdict,
};
use anvilgw_core::{LogRecord, LogSlice, Offset};
use common::{attempt, claim, daemon, now, quick, rule};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const KEYS: u64 = 3;
const STEP_MS: u64 = 25;

/// Two owners of one partition and their log.
struct Harness {
    owners: Vec<PartitionOwner>,
    appends: Vec<Option<(BatchId, Vec<u8>)>>,
    reads: Vec<Option<Offset>>,
    log: Vec<Vec<u8>>,
    late: Vec<Vec<u8>>,
    asked: Vec<ClaimRequest>,
    verdicts: BTreeMap<Attempt, Vec<Verdict>>,
    time_ms: u64,
}

impl Harness {
    fn new(owners: u32) -> Self {
        let mut harness = Self {
            owners: (0..owners)
                .map(|index| PartitionOwner::new(OwnerConfig::new(daemon(index))))
                .collect(),
            appends: vec![None; owners as usize],
            reads: vec![None; owners as usize],
            log: Vec::new(),
            late: Vec::new(),
            asked: Vec::new(),
            verdicts: BTreeMap::new(),
            time_ms: 0,
        };
        for owner in 0..owners as usize {
            harness.tell(owner, OwnerEvent::Tick);
        }
        harness
    }

    fn tell(&mut self, owner: usize, event: OwnerEvent) {
        let actions = self.owners[owner].handle(event, now(self.time_ms));
        self.take(owner, actions);
    }

    fn submit(&mut self, owner: usize, submission: Submission) {
        let actions = self.owners[owner]
            .submit(submission, now(self.time_ms))
            .unwrap();
        self.take(owner, actions);
    }

    fn take(&mut self, owner: usize, actions: Vec<OwnerAction>) {
        for action in actions {
            match action {
                OwnerAction::Append { batch, payload } => {
                    assert!(self.appends[owner].is_none(), "two appends in flight");
                    self.appends[owner] = Some((batch, payload));
                }
                OwnerAction::Read { from } => self.reads[owner] = Some(from),
                OwnerAction::Verdict {
                    attempt, verdict, ..
                } => {
                    if verdict == Verdict::Granted {
                        self.assert_won(attempt);
                    }
                    self.verdicts.entry(attempt).or_default().push(verdict);
                }
                OwnerAction::Halted(error) => panic!("{error}"),
            }
        }
    }

    fn observed(&self) -> PartitionFold {
        let mut fold = PartitionFold::new(rule(), Offset(0));
        for (offset, payload) in self.log.iter().enumerate() {
            let offset = Offset(offset as u64);
            fold.apply(&LogRecord {
                offset,
                payload: payload.clone(),
            })
            .unwrap();
        }
        fold
    }

    fn assert_won(&self, attempt: Attempt) {
        let fold = self.observed();
        let won = (0..KEYS).any(|key| {
            fold.entry(claim(key, 0, 0).key)
                .is_some_and(|entry| entry.claim.attempt == attempt)
        });
        assert!(won, "a claim was granted that does not hold its key");
    }

    fn ask(&mut self, owner: usize, key: u64) {
        let mut request = claim(key, 7, self.asked.len() as u64);
        request.deadline_ms = self.time_ms + 1_000_000;
        self.asked.push(request);
        self.submit(owner, Submission::Claim(request));
    }

    fn append(&mut self, owner: usize, fault: u8) {
        let Some((batch, payload)) = self.appends[owner].take() else {
            return;
        };
        let failed = |failure| OwnerEvent::AppendFailed { batch, failure };
        let event = match fault {
            0 => {
                self.log.push(payload);
                let offset = Offset(self.log.len() as u64 - 1);
                OwnerEvent::Appended { batch, offset }
            }
            1 => {
                self.log.push(payload);
                failed(AppendFailure::MaybeAppended)
            }
            2 => {
                self.late.push(payload);
                failed(AppendFailure::MaybeAppended)
            }
            3 => failed(AppendFailure::MaybeAppended),
            _ => failed(AppendFailure::NotAppended),
        };
        self.tell(owner, event);
    }

    fn read(&mut self, owner: usize, fault: u8) {
        let Some(from) = self.reads[owner].take() else {
            return;
        };
        match fault {
            1 => return self.tell(owner, OwnerEvent::ReadFailed),
            // The owner starts a new fold and meets its own batches again.
            2 => return self.tell(owner, OwnerEvent::ReadTrimmed { first: Offset(0) }),
            _ => {}
        }
        let records = self
            .log
            .iter()
            .enumerate()
            .skip(from.0 as usize)
            .map(|(offset, payload)| LogRecord {
                offset: Offset(offset as u64),
                payload: payload.clone(),
            });
        let slice = LogSlice {
            first_offset: Offset(0),
            next_offset: Offset(self.log.len() as u64),
            records: records.collect(),
        };
        self.tell(owner, OwnerEvent::ReadCompleted(slice));
    }

    fn step(&mut self, kind: u8, choice: u8) {
        let owner = usize::from(choice) % self.owners.len();
        match kind % 8 {
            0 | 1 => self.ask(owner, u64::from(choice / 2) % KEYS),
            2 | 3 => self.append(owner, 0),
            4 => self.append(owner, choice / 2 % 5),
            5 => self.read(owner, choice / 2 % 8),
            6 if !self.late.is_empty() => {
                let payload = self.late.remove(usize::from(choice) % self.late.len());
                self.log.push(payload);
            }
            _ => self.pass(STEP_MS * u64::from(choice)),
        }
    }

    fn pass(&mut self, ms: u64) {
        self.time_ms += ms;
        for owner in 0..self.owners.len() {
            self.tell(owner, OwnerEvent::Tick);
        }
    }

    /// Runs without faults until nothing is left to do.
    fn settle(&mut self) {
        self.log.append(&mut self.late);
        for _ in 0..40 {
            for owner in 0..self.owners.len() {
                self.read(owner, 0);
                self.append(owner, 0);
            }
            self.pass(1_000);
        }
    }

    fn assert_settled(&self) {
        let fold = self.observed();
        let mut granted = BTreeSet::new();
        for request in &self.asked {
            let verdicts = &self.verdicts[&request.attempt];
            assert_eq!(verdicts.len(), 1, "a claim gets one verdict");
            if verdicts[0] == Verdict::Granted {
                assert!(granted.insert(request.key), "a key was granted twice");
            }
        }
        for key in 0..KEYS {
            let key = claim(key, 0, 0).key;
            // A claim that nobody was told of is freed again; a granted one stays.
            let is_claimed = fold
                .entry(key)
                .is_some_and(|entry| entry.state == KeyState::Claimed);
            assert_eq!(is_claimed, granted.contains(&key));
        }
        assert!(self.owners.iter().all(PartitionOwner::is_idle));
    }
}

/// Guards against two grants on one key, a grant that the log does not show, a claim without a
/// verdict and a claim that stays although its requester was refused.
#[test]
fn random_schedules() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut harness = Harness::new(2);
        for (kind, choice) in steps {
            harness.step(kind, choice);
        }
        harness.settle();
        harness.assert_settled();
        true
    }
    quick(3_000, property as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against a claim that costs a read or a second append when nobody else writes.
#[test]
fn a_claim_costs_one_append() {
    let mut harness = Harness::new(1);
    harness.read(0, 0);
    harness.ask(0, 0);
    harness.ask(0, 1);
    harness.append(0, 0);
    assert_eq!(harness.verdicts[&attempt(7, 0)], [Verdict::Granted]);
    assert_eq!(harness.reads[0], None);
    // The second claim arrived during the append.
    assert!(!harness.verdicts.contains_key(&attempt(7, 1)));
    harness.pass(10);
    harness.append(0, 0);
    assert_eq!(harness.log.len(), 2);
    assert_eq!(harness.verdicts[&attempt(7, 1)], [Verdict::Granted]);
}

/// Guards against a late batch whose claims block their keys although everybody was refused.
#[test]
fn late_batch_is_abandoned() {
    let mut harness = Harness::new(1);
    harness.read(0, 0);
    harness.ask(0, 0);
    harness.append(0, 2);
    harness.read(0, 1);
    let refused = Verdict::Unavailable(Unavailable::Log);
    assert_eq!(harness.verdicts[&attempt(7, 0)], [refused]);
    harness.settle();
    assert!(harness.observed().is_empty());
    let last = Batch::decode(harness.log.last().unwrap()).unwrap();
    assert!(matches!(last.records[..], [Record::Abandon { .. }]));
}

/// Guards against a queue without a bound.
#[test]
fn full_queue_is_refused() {
    let mut owner = PartitionOwner::new(OwnerConfig {
        max_queue: 2,
        ..OwnerConfig::new(daemon(0))
    });
    let results: Vec<_> = (0..3)
        .map(|number| {
            owner
                .submit(Submission::Claim(claim(number, 0, number)), now(0))
                .map(|_| ())
        })
        .collect();
    assert_eq!(results, [Ok(()), Ok(()), Err(SubmitError::QueueFull)]);
}

/// Guards against claims that never end because their holder is gone, and against an expiry before
/// deadline and grace are over.
#[test]
fn open_claims_expire() {
    let mut harness = Harness::new(1);
    harness.read(0, 0);
    harness.submit(0, Submission::Claim(claim(0, 7, 0)));
    harness.append(0, 0);
    let state = |harness: &Harness| {
        harness
            .observed()
            .entry(claim(0, 0, 0).key)
            .unwrap()
            .state
            .clone()
    };
    harness.pass(90_000);
    harness.append(0, 0);
    assert_eq!(state(&harness), KeyState::Claimed);
    harness.pass(1);
    harness.read(0, 0);
    harness.append(0, 0);
    assert_eq!(state(&harness), KeyState::Unknown);
}

/// Guards against keys that are refused as too old after a quiet time.
#[test]
fn quiet_stream_is_dated() {
    let mut harness = Harness::new(1);
    let first = Offset(9);
    harness.tell(0, OwnerEvent::ReadTrimmed { first });
    harness.tell(
        0,
        OwnerEvent::ReadCompleted(LogSlice {
            first_offset: first,
            next_offset: first,
            records: Vec::new(),
        }),
    );
    let (_, payload) = harness.appends[0].clone().expect("an empty batch");
    assert!(Batch::decode(&payload).unwrap().records.is_empty());
    harness.submit(0, Submission::Claim(claim(0, 7, 0)));
    let undated = Verdict::Unavailable(Unavailable::Undated);
    assert_eq!(harness.verdicts[&attempt(7, 0)], [undated]);
    assert!(
        harness.owners[0]
            .next_append_at()
            .is_none_or(|at| at <= Duration::from_millis(10))
    );
}

/// Guards against a repeat that is told to come back although the answer is already known here, and
/// against the answer of another attempt.
#[test]
fn a_reported_answer_is_repeated_before_it_is_in_the_log() {
    let mut harness = Harness::new(1);
    harness.read(0, 0);
    harness.ask(0, 0);
    harness.append(0, 0);
    let answer = RecordedAnswer::new(200, "text/plain", b"on", 100);
    let key = claim(0, 0, 0).key;
    for (holder, expected) in [
        (attempt(7, 99), Verdict::InProgress),
        (attempt(7, 0), Verdict::Done(answer.clone())),
    ] {
        let outcome = Submission::Outcome {
            key,
            attempt: holder,
            answer: answer.clone(),
        };
        harness.submit(0, outcome);
        harness.ask(0, 0);
        let asked = harness.asked.last().unwrap().attempt;
        assert_eq!(harness.verdicts[&asked], [expected]);
    }
}

/// Appends that follow each other at once in an owner with this burst, and the most in any second.
fn appends(append_burst: u32) -> (u64, u64) {
    let config = OwnerConfig {
        min_interval: Duration::from_millis(80),
        append_burst,
        ..OwnerConfig::new(daemon(0))
    };
    let mut harness = Harness::new(1);
    harness.owners[0] = PartitionOwner::new(config);
    harness.tell(0, OwnerEvent::Tick);
    let empty = LogSlice {
        first_offset: Offset(0),
        next_offset: Offset(0),
        records: Vec::new(),
    };
    harness.tell(0, OwnerEvent::ReadCompleted(empty));
    let (mut offset, mut at_once) = (0, 0);
    for step in 0..1_000 {
        let request = Submission::Claim(claim(step, 7, step));
        let actions = harness.owners[0].submit(request, now(10_000 + step));
        let appended = actions
            .unwrap()
            .into_iter()
            .find_map(|action| match action {
                OwnerAction::Append { batch, .. } => Some(batch),
                _ => None,
            });
        if let Some(batch) = appended {
            at_once += u64::from(offset == step);
            let appended = OwnerEvent::Appended {
                batch,
                offset: Offset(offset),
            };
            offset += 1;
            harness.owners[0].handle(appended, now(10_000 + step));
        }
    }
    (at_once, offset)
}

/// Guards against a claim that waits for the interval of the outcome before it, and against bursts
/// beyond the partition's part of the log service's rate.
#[test]
fn burst_is_bounded() {
    assert_eq!(appends(0), (1, 13));
    assert_eq!(appends(2), (3, 15));
}
