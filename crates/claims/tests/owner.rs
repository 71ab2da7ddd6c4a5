//! Tests of the partition owner over an in-memory log whose appends and reads can fail.

mod common;

use anvilgw_claims::{
    AppendFailure, Attempt, Batch, BatchId, ClaimRequest, KeyState, OwnerAction, OwnerConfig,
    OwnerEvent, PartitionFold, PartitionOwner, Record, RecordedAnswer, Submission, SubmitError,
    Unavailable, Verdict,
};
use anvilgw_core::{LogRecord, LogSlice, Offset};
use common::{age_limits, attempt, check_property, claim, daemon, now};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const KEYS: u64 = 3;
const STEP_MS: u64 = 25;

/// Owners of one partition and their log.
struct Harness {
    owners: Vec<PartitionOwner>,
    /// Append in flight of each owner.
    appends: Vec<Option<(BatchId, Vec<u8>)>>,
    /// First offset of the read in flight of each owner.
    reads: Vec<Option<Offset>>,
    /// Payloads in the log, by offset.
    log: Vec<Vec<u8>>,
    /// Payloads of appends that failed for their owner and will take effect later.
    late_appends: Vec<Vec<u8>>,
    /// Submitted claims.
    claims: Vec<ClaimRequest>,
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
            late_appends: Vec::new(),
            claims: Vec::new(),
            verdicts: BTreeMap::new(),
            time_ms: 0,
        };
        for owner in 0..owners as usize {
            harness.handle(owner, OwnerEvent::Tick);
        }
        harness
    }

    fn handle(&mut self, owner: usize, event: OwnerEvent) {
        let actions = self.owners[owner].handle(event, now(self.time_ms));
        self.carry_out(owner, actions);
    }

    fn submit(&mut self, owner: usize, submission: Submission) {
        let actions = self.owners[owner]
            .submit(submission, now(self.time_ms))
            .unwrap();
        self.carry_out(owner, actions);
    }

    fn carry_out(&mut self, owner: usize, actions: Vec<OwnerAction>) {
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
                        self.assert_holds_key(attempt);
                    }
                    self.verdicts.entry(attempt).or_default().push(verdict);
                }
                OwnerAction::Halted(error) => panic!("{error}"),
            }
        }
    }

    /// Folds the whole log.
    fn fold_log(&self) -> PartitionFold {
        let mut fold = PartitionFold::new(age_limits(), Offset(0));
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

    /// Checks that the log shows the attempt as the holder of its key.
    fn assert_holds_key(&self, attempt: Attempt) {
        let fold = self.fold_log();
        let holds_key = (0..KEYS).any(|key| {
            fold.entry(claim(key, 0, 0).key)
                .is_some_and(|entry| entry.claim.attempt == attempt)
        });
        assert!(holds_key, "a granted claim does not hold its key");
    }

    fn submit_claim(&mut self, owner: usize, key: u64) {
        let mut request = claim(key, 7, self.claims.len() as u64);
        request.deadline_ms = self.time_ms + 1_000_000;
        self.claims.push(request);
        self.submit(owner, Submission::Claim(request));
    }

    /// Ends the owner's append in flight. Fault 0 is success. With faults 1 to 3 the result is
    /// unknown: the batch is in the log, gets there later, or never does. With others it is not
    /// appended.
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
                self.late_appends.push(payload);
                failed(AppendFailure::MaybeAppended)
            }
            3 => failed(AppendFailure::MaybeAppended),
            _ => failed(AppendFailure::NotAppended),
        };
        self.handle(owner, event);
    }

    /// Ends the owner's read in flight. Fault 1 is a failure, fault 2 a start below the oldest
    /// retained offset; others are success.
    fn read(&mut self, owner: usize, fault: u8) {
        let Some(from) = self.reads[owner].take() else {
            return;
        };
        match fault {
            1 => return self.handle(owner, OwnerEvent::ReadFailed),
            // The owner starts a new fold and reads its own batches again.
            2 => return self.handle(owner, OwnerEvent::ReadTrimmed { first: Offset(0) }),
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
        self.handle(owner, OwnerEvent::ReadCompleted(slice));
    }

    fn step(&mut self, kind: u8, choice: u8) {
        let owner = usize::from(choice) % self.owners.len();
        match kind % 8 {
            0 | 1 => self.submit_claim(owner, u64::from(choice / 2) % KEYS),
            2 | 3 => self.append(owner, 0),
            4 => self.append(owner, choice / 2 % 5),
            5 => self.read(owner, choice / 2 % 8),
            6 if !self.late_appends.is_empty() => {
                let payload = self
                    .late_appends
                    .remove(usize::from(choice) % self.late_appends.len());
                self.log.push(payload);
            }
            _ => self.advance_time(STEP_MS * u64::from(choice)),
        }
    }

    fn advance_time(&mut self, ms: u64) {
        self.time_ms += ms;
        for owner in 0..self.owners.len() {
            self.handle(owner, OwnerEvent::Tick);
        }
    }

    /// Lets the late appends take effect and runs without faults until nothing is left to do.
    fn settle(&mut self) {
        self.log.append(&mut self.late_appends);
        for _ in 0..40 {
            for owner in 0..self.owners.len() {
                self.read(owner, 0);
                self.append(owner, 0);
            }
            self.advance_time(1_000);
        }
    }

    fn assert_settled(&self) {
        let fold = self.fold_log();
        let mut granted = BTreeSet::new();
        for request in &self.claims {
            let verdicts = &self.verdicts[&request.attempt];
            assert_eq!(verdicts.len(), 1, "a claim must get one verdict");
            if verdicts[0] == Verdict::Granted {
                assert!(granted.insert(request.key), "a key was granted twice");
            }
        }
        for key in 0..KEYS {
            let key = claim(key, 0, 0).key;
            // A claim in the log whose holder was refused is abandoned; a granted claim holds its
            // key.
            let is_claimed = fold
                .entry(key)
                .is_some_and(|entry| entry.state == KeyState::Claimed);
            assert_eq!(is_claimed, granted.contains(&key));
        }
        assert!(self.owners.iter().all(PartitionOwner::is_idle));
    }
}

/// Guards against two grants on one key, a grant that the log does not show, a claim without a
/// verdict, and a claim that holds its key although its holder was refused.
#[test]
fn random_schedules_grant_each_key_once() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut harness = Harness::new(2);
        for (kind, choice) in steps {
            harness.step(kind, choice);
        }
        harness.settle();
        harness.assert_settled();
        true
    }
    check_property(3_000, property as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against a claim that needs a read or a second append although no other owner writes.
#[test]
fn claim_needs_one_append_and_no_read() {
    let mut harness = Harness::new(1);
    harness.read(0, 0);
    harness.submit_claim(0, 0);
    harness.submit_claim(0, 1);
    harness.append(0, 0);
    assert_eq!(harness.verdicts[&attempt(7, 0)], [Verdict::Granted]);
    assert_eq!(harness.reads[0], None);
    // The second claim was submitted during the first append.
    assert!(!harness.verdicts.contains_key(&attempt(7, 1)));
    harness.advance_time(10);
    harness.append(0, 0);
    assert_eq!(harness.log.len(), 2);
    assert_eq!(harness.verdicts[&attempt(7, 1)], [Verdict::Granted]);
}

/// Guards against claims that hold their keys although their holders were refused: the append takes
/// effect after its result was reported as unknown.
#[test]
fn claims_of_a_late_batch_are_abandoned() {
    let mut harness = Harness::new(1);
    harness.read(0, 0);
    harness.submit_claim(0, 0);
    harness.append(0, 2);
    harness.read(0, 1);
    let refused = Verdict::Unavailable(Unavailable::Log);
    assert_eq!(harness.verdicts[&attempt(7, 0)], [refused]);
    harness.settle();
    assert!(harness.fold_log().is_empty());
    let last = Batch::decode(harness.log.last().unwrap()).unwrap();
    assert!(matches!(last.records[..], [Record::Abandon { .. }]));
}

/// Guards against a queue that grows without a bound.
#[test]
fn full_queue_refuses_claims() {
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

/// Guards against claims that never end because their holder has failed, and against an expiry
/// before the deadline and the grace period have passed.
#[test]
fn open_claim_expires_after_deadline_and_grace() {
    let mut harness = Harness::new(1);
    harness.read(0, 0);
    harness.submit(0, Submission::Claim(claim(0, 7, 0)));
    harness.append(0, 0);
    let state = |harness: &Harness| {
        harness
            .fold_log()
            .entry(claim(0, 0, 0).key)
            .unwrap()
            .state
            .clone()
    };
    harness.advance_time(90_000);
    harness.append(0, 0);
    assert_eq!(state(&harness), KeyState::Claimed);
    harness.advance_time(1);
    harness.read(0, 0);
    harness.append(0, 0);
    assert_eq!(state(&harness), KeyState::Unknown);
}

/// Guards against keys that stay refused on an idle stream: the owner has to append an empty batch,
/// which bounds the age of the trimmed records.
#[test]
fn idle_stream_gets_a_heartbeat() {
    let mut harness = Harness::new(1);
    let first = Offset(9);
    harness.handle(0, OwnerEvent::ReadTrimmed { first });
    harness.handle(
        0,
        OwnerEvent::ReadCompleted(LogSlice {
            first_offset: first,
            next_offset: first,
            records: Vec::new(),
        }),
    );
    let (_, payload) = harness.appends[0]
        .clone()
        .expect("the owner appends an empty batch");
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

/// Guards against a repeated request that is refused as in progress although the owner has the
/// answer in its queue, and against returning the answer of an attempt that does not hold the key.
#[test]
fn submitted_answer_is_returned_before_it_is_folded() {
    let mut harness = Harness::new(1);
    harness.read(0, 0);
    harness.submit_claim(0, 0);
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
        harness.submit_claim(0, 0);
        let attempt = harness.claims.last().unwrap().attempt;
        assert_eq!(harness.verdicts[&attempt], [expected]);
    }
}

/// Submits a claim per millisecond for a second to an owner whose appends succeed at once. Returns
/// how many of the first appends followed each other without an interval, and the number of all
/// appends.
fn count_appends(append_burst: u32) -> (u64, u64) {
    let config = OwnerConfig {
        min_interval: Duration::from_millis(80),
        append_burst,
        ..OwnerConfig::new(daemon(0))
    };
    let mut harness = Harness::new(1);
    harness.owners[0] = PartitionOwner::new(config);
    harness.handle(0, OwnerEvent::Tick);
    let empty = LogSlice {
        first_offset: Offset(0),
        next_offset: Offset(0),
        records: Vec::new(),
    };
    harness.handle(0, OwnerEvent::ReadCompleted(empty));
    let (mut offset, mut without_interval) = (0, 0);
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
            without_interval += u64::from(offset == step);
            let appended = OwnerEvent::Appended {
                batch,
                offset: Offset(offset),
            };
            offset += 1;
            harness.owners[0].handle(appended, now(10_000 + step));
        }
    }
    (without_interval, offset)
}

/// Guards against a claim that waits for the interval after the previous request's outcome, and
/// against bursts beyond the partition's part of the log service's append rate.
#[test]
fn append_burst_is_bounded() {
    assert_eq!(count_appends(0), (1, 13));
    assert_eq!(count_appends(2), (3, 15));
}
