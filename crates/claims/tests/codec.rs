//! Tests of the encoding of batches.

mod common;

use anvilgw_claims::{
    AnswerBody, Batch, CodecError, MAX_BATCH_BYTES, MAX_BATCH_RECORDS, PartitionFold, Record,
    RecordedAnswer,
};
use anvilgw_core::{LogRecord, Offset};
use common::{age_limits, attempt, batch, check_property, claim};
use quickcheck::TestResult;

/// Returns a batch of `count` claims on different keys.
fn sample(count: usize) -> Batch {
    batch(
        0,
        5,
        (0..count as u64)
            .map(|n| Record::Claim(claim(n, 0, n)))
            .collect(),
    )
}

/// Guards against panics on payloads that are not batches, and against batches that take effect in
/// part.
#[test]
fn undecodable_payload_has_no_effect() {
    fn property(bytes: Vec<u8>, with_magic: bool) -> TestResult {
        let mut payload = if with_magic {
            b"agc\x01".to_vec()
        } else {
            Vec::new()
        };
        payload.extend(bytes);
        if Batch::decode(&payload).is_ok() {
            return TestResult::discard();
        }
        let mut fold = PartitionFold::new(age_limits(), Offset(0));
        let record = LogRecord {
            offset: Offset(0),
            payload,
        };
        let _ = fold.apply(&record);
        TestResult::from_bool(fold.is_empty())
    }
    check_property(2_000, property as fn(Vec<u8>, bool) -> TestResult);
}

/// Guards against a truncated or damaged batch of which only the first records take effect.
#[test]
fn damaged_batch_takes_effect_as_a_whole_or_not_at_all() {
    fn property(truncated: usize, flipped: usize, bit: u8) -> bool {
        let mut payload = sample(3).encode().unwrap();
        let at = flipped % payload.len();
        payload[at] ^= 1 << (bit % 8);
        payload.truncate(payload.len() - truncated % 3);
        let mut fold = PartitionFold::new(age_limits(), Offset(0));
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
    check_property(2_000, property as fn(usize, usize, u8) -> bool);
}

/// Guards against limits that only the encoder or only the decoder applies.
#[test]
fn encoder_and_decoder_apply_the_same_limits() {
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

/// Guards against skipping claims of a newer release as payloads that are not batches.
#[test]
fn unknown_format_version_is_an_error() {
    assert_eq!(
        Batch::decode(b"agc\x02rest"),
        Err(CodecError::UnknownFormat(2))
    );
    assert_eq!(Batch::decode(b"something else"), Err(CodecError::NotABatch));
}

/// Guards against an answer above the size limit whose body is recorded in part.
#[test]
fn large_answer_is_recorded_as_a_digest() {
    let kept = RecordedAnswer::new(200, "a/b", &[7; 97], 100);
    assert!(matches!(kept.body, AnswerBody::Kept { .. }));
    let dropped = RecordedAnswer::new(200, "a/b", &[7; 98], 100);
    assert!(matches!(
        dropped.body,
        AnswerBody::NotKept { length: 98, .. }
    ));
}
