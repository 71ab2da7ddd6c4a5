//! Encoding of batches.

mod common;

use anvilgw_claims::{
    AnswerBody, Batch, CodecError, MAX_BATCH_BYTES, MAX_BATCH_RECORDS, PartitionFold, Record,
    RecordedAnswer,
};
use anvilgw_core::{LogRecord, Offset};
use common::{attempt, batch, claim, quick, rule};
use quickcheck::TestResult;

fn sample(count: usize) -> Batch {
    batch(
        0,
        5,
        (0..count as u64)
            .map(|n| Record::Claim(claim(n, 0, n)))
            .collect(),
    )
}

/// Guards against panics on foreign data and against batches that take effect in part.
#[test]
fn arbitrary_bytes_change_nothing() {
    fn property(bytes: Vec<u8>, with_mark: bool) -> TestResult {
        let mut payload = if with_mark {
            b"agc\x01".to_vec()
        } else {
            Vec::new()
        };
        payload.extend(bytes);
        if Batch::decode(&payload).is_ok() {
            return TestResult::discard();
        }
        let mut fold = PartitionFold::new(rule(), Offset(0));
        let record = LogRecord {
            offset: Offset(0),
            payload,
        };
        let _ = fold.apply(&record);
        TestResult::from_bool(fold.is_empty())
    }
    quick(2_000, property as fn(Vec<u8>, bool) -> TestResult);
}

/// Guards against a cut or damaged batch whose first records take effect.
#[test]
fn damaged_batches_apply_as_a_whole_or_not_at_all() {
    fn property(cut: usize, flip: usize, bit: u8) -> bool {
        let mut payload = sample(3).encode().unwrap();
        let at = flip % payload.len();
        payload[at] ^= 1 << (bit % 8);
        payload.truncate(payload.len() - cut % 3);
        let mut fold = PartitionFold::new(rule(), Offset(0));
        let decoded = Batch::decode(&payload);
        let _ = fold.apply(&LogRecord {
            offset: Offset(0),
            payload,
        });
        match decoded {
            Ok(batch) => {
                // A flipped bit may make two keys equal, or a key too new for its batch.
                batch.records.len() == 3 && fold.len() <= 3
            }
            Err(_) => fold.is_empty(),
        }
    }
    quick(2_000, property as fn(usize, usize, u8) -> bool);
}

/// Guards against limits that only one side applies.
#[test]
fn limits_hold_on_both_sides() {
    let answer = |bytes: usize| Record::Outcome {
        key: claim(0, 0, 0).key,
        attempt: attempt(0, 0),
        answer: RecordedAnswer {
            status: 200,
            body: AnswerBody::Kept {
                content_type: String::new(),
                bytes: vec![0; bytes],
            },
        },
    };
    struct Case {
        batch: Batch,
        fits: bool,
    }
    let cases = [
        Case {
            batch: sample(MAX_BATCH_RECORDS),
            fits: true,
        },
        Case {
            batch: sample(MAX_BATCH_RECORDS + 1),
            fits: false,
        },
        Case {
            batch: batch(0, 0, vec![answer(MAX_BATCH_BYTES - 1_000)]),
            fits: true,
        },
        Case {
            batch: batch(0, 0, vec![answer(MAX_BATCH_BYTES)]),
            fits: false,
        },
    ];
    for case in cases {
        match case.batch.encode() {
            Ok(payload) => {
                assert!(case.fits);
                assert_eq!(Batch::decode(&payload), Ok(case.batch));
            }
            Err(error) => assert!(!case.fits, "{error}"),
        }
    }
}

/// Guards against skipping the claims of a newer program.
#[test]
fn newer_format_is_an_error() {
    assert_eq!(
        Batch::decode(b"agc\x02rest"),
        Err(CodecError::UnknownFormat(2))
    );
    assert_eq!(Batch::decode(b"something else"), Err(CodecError::NotABatch));
}

/// Guards against a large answer that is kept in part.
#[test]
fn large_answers_keep_a_digest() {
    let kept = RecordedAnswer::new(200, "a/b", &[7; 97], 100);
    assert!(matches!(kept.body, AnswerBody::Kept { .. }));
    let dropped = RecordedAnswer::new(200, "a/b", &[7; 98], 100);
    assert!(matches!(
        dropped.body,
        AnswerBody::NotKept { length: 98, .. }
    ));
}
