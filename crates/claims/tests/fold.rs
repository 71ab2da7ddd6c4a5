//! Tests of the fold of a claim stream.

mod common;

use anvilgw_claims::{
    ApplyResult, Batch, ClaimKey, FoldError, KeyState, PartitionFold, Record, RecordedAnswer,
    Unavailable, Verdict,
};
use anvilgw_core::{LogRecord, Offset};
use common::{age_limits, attempt, batch, check_property, claim};

/// Folds the batches as the records of a stream whose oldest retained offset is `first`.
fn fold_of(first: u64, batches: &[Batch]) -> PartitionFold {
    let mut fold = PartitionFold::new(age_limits(), Offset(first));
    for (index, batch) in batches.iter().enumerate() {
        let record = LogRecord {
            offset: Offset(first + index as u64),
            payload: batch.encode().unwrap(),
        };
        fold.apply(&record).unwrap();
    }
    fold
}

fn answer(status: u16) -> RecordedAnswer {
    RecordedAnswer::new(status, "", b"", 100)
}

/// Returns a record about key `key` and attempt `number`. Its kind is 0 for a claim, 1 for an
/// outcome, 2 for an abandonment and 3 for an expiry.
fn record(kind: u8, key: u64, number: u64) -> Record {
    let (key_hash, attempt) = (ClaimKey(u128::from(key)), attempt(0, number));
    match kind % 4 {
        0 => Record::Claim(claim(key, 0, number)),
        1 => Record::Outcome {
            key: key_hash,
            attempt,
            answer: answer(200 + number as u16),
        },
        2 => Record::Abandon {
            key: key_hash,
            attempt,
        },
        _ => Record::Expire {
            key: key_hash,
            attempt,
        },
    }
}

/// Records about one key and the verdict on a later claim.
struct Transition {
    name: &'static str,
    /// Kind and attempt number of each record.
    records: &'static [(u8, u64)],
    expected: Verdict,
}

fn transition_cases() -> Vec<Transition> {
    let case = |name, records, expected| Transition {
        name,
        records,
        expected,
    };
    let done = || Verdict::Done(answer(201));
    vec![
        case("free", &[], Verdict::Granted),
        case("claimed", &[(0, 1)], Verdict::InProgress),
        case("abandoned", &[(0, 1), (2, 1)], Verdict::Granted),
        case(
            "abandoned by the loser",
            &[(0, 1), (0, 2), (2, 2)],
            Verdict::InProgress,
        ),
        case("expired", &[(0, 1), (3, 1)], Verdict::Unknown),
        case(
            "abandoned after expiry",
            &[(0, 1), (3, 1), (2, 1)],
            Verdict::Unknown,
        ),
        case("done", &[(0, 1), (1, 1)], done()),
        case("done late", &[(0, 1), (3, 1), (1, 1)], done()),
        case("abandoned after done", &[(0, 1), (1, 1), (2, 1)], done()),
        case(
            "outcome of the loser",
            &[(0, 1), (0, 2), (1, 2)],
            Verdict::InProgress,
        ),
        case("outcome without claim", &[(1, 1)], Verdict::Granted),
    ]
}

/// Guards against wrong transitions of a key's state, such as a record of the losing attempt that
/// changes it.
#[test]
fn records_lead_to_the_expected_key_state() {
    for case in transition_cases() {
        let batches: Vec<_> = case
            .records
            .iter()
            .enumerate()
            .map(|(sequence, (kind, number))| {
                batch(sequence as u64, 0, vec![record(*kind, 7, *number)])
            })
            .collect();
        let fold = fold_of(0, &batches);
        assert_eq!(
            fold.verdict(&claim(7, 0, 9), 0),
            case.expected,
            "{}",
            case.name
        );
    }
    let mut other_body = claim(7, 0, 9);
    other_body.body.0[0] = 1;
    let fold = fold_of(0, &[batch(0, 0, vec![record(0, 7, 1), record(1, 7, 1)])]);
    assert_eq!(fold.verdict(&other_body, 0), Verdict::KeyReused);
}

/// Guards against a fold that skips records and so can miss a claim.
#[test]
fn missing_records_are_an_error() {
    let mut fold = fold_of(0, &[batch(0, 0, vec![])]);
    let late = LogRecord {
        offset: Offset(2),
        payload: Vec::new(),
    };
    assert_eq!(fold.apply(&late), Err(FoldError::Gap(Offset(1), Offset(2))));
    assert_eq!(
        fold.retain_from(Offset(2)),
        Err(FoldError::Gap(Offset(1), Offset(2)))
    );
    assert_eq!(fold.next_offset(), Offset(1));
}

/// Guards against a batch that takes effect at two offsets: its claim would hold the key again
/// after it was abandoned.
#[test]
fn duplicate_batch_has_no_effect() {
    let claims = batch(0, 0, vec![record(0, 7, 1)]);
    let abandon = batch(1, 0, vec![record(2, 7, 1)]);
    let mut fold = fold_of(0, &[claims.clone(), abandon]);
    let again = LogRecord {
        offset: Offset(2),
        payload: claims.encode().unwrap(),
    };
    assert_eq!(
        fold.apply(&again),
        Ok(ApplyResult::DuplicateBatch(claims.id))
    );
    assert!(fold.is_empty());
}

/// Guards against a grant for a key whose records may have been trimmed, or whose time is in the
/// far future.
#[test]
fn keys_outside_the_age_limits_are_not_granted() {
    struct Case {
        first: u64,
        key_ms: u64,
        expected: Verdict,
    }
    let cases = [
        Case {
            first: 0,
            key_ms: 0,
            expected: Verdict::Granted,
        },
        Case {
            first: 1,
            key_ms: 1_119_999,
            expected: Verdict::TooOld,
        },
        Case {
            first: 1,
            key_ms: 1_120_000,
            expected: Verdict::Granted,
        },
        Case {
            first: 1,
            key_ms: 2_060_000,
            expected: Verdict::Granted,
        },
        Case {
            first: 1,
            key_ms: 2_060_001,
            expected: Verdict::FromFuture,
        },
    ];
    for case in cases {
        let fold = fold_of(case.first, &[batch(case.first, 1_000_000, vec![])]);
        let mut claim = claim(7, 0, 1);
        claim.key_time.0 = case.key_ms;
        assert_eq!(
            fold.verdict(&claim, 2_000_000),
            case.expected,
            "{}",
            case.key_ms
        );
    }
    // A claim on a key from the future has no effect even if its batch is in the stream.
    let mut future = claim(7, 0, 1);
    future.key_time.0 = 60_001;
    assert!(fold_of(0, &[batch(0, 0, vec![Record::Claim(future)])]).is_empty());
}

/// Guards against a late batch whose wall time is taken as a bound for the trimmed records: the
/// claim at offset 0 is newer than the batch at offset 1, which was built first and is the oldest
/// retained one.
#[test]
fn late_batch_does_not_bound_the_age_of_trimmed_records() {
    const HOUR_MS: u64 = 3_600_000;
    let mut late = batch(0, 0, vec![]);
    let mut claimed = claim(7, 0, 1);
    claimed.key_time.0 = HOUR_MS;
    let claims = batch(5, HOUR_MS, vec![Record::Claim(claimed)]);
    late.after = Offset(0);
    let mut trimmed = fold_of(0, &[claims, late.clone()]);
    trimmed.retain_from(Offset(1)).unwrap();
    assert_eq!(trimmed.verdict(&claimed, HOUR_MS), Verdict::TooOld);
    let undated = Verdict::Unavailable(Unavailable::Undated);
    let fresh = fold_of(1, std::slice::from_ref(&late));
    assert_eq!(fresh.verdict(&claimed, HOUR_MS), undated);
    let fresh = fold_of(1, &[late, batch(2, HOUR_MS + 1, vec![])]);
    assert_eq!(fresh.verdict(&claimed, HOUR_MS), Verdict::TooOld);
}

/// Guards against memory that grows beyond the retained records, and against a fold that started
/// late or was trimmed and grants a key that was claimed before.
#[test]
fn trimmed_and_fresh_folds_grant_no_claimed_key() {
    fn property(kinds: Vec<(u8, u8, u8)>, trimmed_records: u8) -> bool {
        let batches: Vec<_> = kinds
            .into_iter()
            .enumerate()
            .map(|(sequence, (kind, key, number))| {
                let change = record(kind, u64::from(key % 4), u64::from(number % 4));
                batch(sequence as u64, 10 * sequence as u64, vec![change])
            })
            .collect();
        let first = u64::from(trimmed_records) % (batches.len() as u64 + 1);
        let mut trimmed = fold_of(0, &batches);
        let all = trimmed.clone();
        trimmed.retain_from(Offset(first)).unwrap();
        let fresh = fold_of(first, &batches[first as usize..]);
        let is_claimed = |key| all.entry(ClaimKey(key)).is_some();
        let retained = batches.len() - first as usize;
        (0..4).all(|key| {
            let request = claim(key, 1, 99);
            let verdicts = [fresh.verdict(&request, 0), trimmed.verdict(&request, 0)];
            !is_claimed(u128::from(key)) || !verdicts.contains(&Verdict::Granted)
        }) && trimmed.len() <= retained
            && fresh.len() <= retained
    }
    check_property(3_000, property as fn(Vec<(u8, u8, u8)>, u8) -> bool);
}

/// Guards against an open claim that is never expired because it is missing from the index by
/// deadline.
#[test]
fn open_claims_are_those_without_an_outcome() {
    fn property(kinds: Vec<(u8, u8, u8)>) -> bool {
        let records = kinds
            .into_iter()
            .map(|(kind, key, number)| record(kind, u64::from(key % 8), u64::from(number % 3)))
            .take(512)
            .collect();
        let fold = fold_of(0, &[batch(0, 0, records)]);
        let open = fold.open_claims().count();
        let claimed = (0..8)
            .filter_map(|key| fold.entry(ClaimKey(key)))
            .filter(|entry| entry.state == KeyState::Claimed);
        open == claimed.count()
    }
    check_property(2_000, property as fn(Vec<(u8, u8, u8)>) -> bool);
}
