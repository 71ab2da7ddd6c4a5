//! Tests of the times, hashes and partitions of idempotency keys.

use anvilgw_claims::{ClaimKey, KeyError, KeyTime, MAX_KEY_BYTES, RequestDigest};

/// UUIDv7 of 1,700,000,000,123 ms since 1970.
const UUID: &str = "018bcfe5-687b-7000-8000-000000000000";
const UUID_MS: u64 = 1_700_000_000_123;

/// Guards against keys that are accepted without a time, and against a key whose time can differ
/// between the requests that repeat it.
#[test]
fn key_time_comes_from_the_uuid_or_the_header() {
    struct Case {
        key: &'static str,
        header: Option<&'static str>,
        expected: Result<u64, KeyError>,
    }
    let case = |key, header, expected| Case {
        key,
        header,
        expected,
    };
    let bad = |text: &str| Err(KeyError::InvalidTime(text.to_owned()));
    let cases = [
        case(UUID, None, Ok(UUID_MS)),
        case(UUID, Some("1700000000123"), Ok(UUID_MS)),
        case(UUID, Some("5"), Err(KeyError::TimesDiffer(UUID_MS, 5))),
        case("booking-7", Some("5"), Ok(5)),
        case("booking-7", None, Err(KeyError::Undated)),
        case("booking-7", Some("-5"), bad("-5")),
        case("booking-7", Some("5 s"), bad("5 s")),
        // A UUIDv4 carries no time.
        case(
            "f47ac10b-58cc-4372-a567-0e02b2c3d479",
            None,
            Err(KeyError::Undated),
        ),
        case("", Some("5"), Err(KeyError::Malformed)),
        case("two words", Some("5"), Err(KeyError::Malformed)),
    ];
    for case in cases {
        let parsed = KeyTime::parse(case.key, case.header).map(|time| time.0);
        assert_eq!(parsed, case.expected, "{:?} {:?}", case.key, case.header);
    }
    let long = "k".repeat(MAX_KEY_BYTES + 1);
    assert_eq!(KeyTime::parse(&long, Some("5")), Err(KeyError::Malformed));
}

/// Guards against different requests that share a claim or a digest because their parts are
/// concatenated without a separation.
#[test]
fn hashes_of_different_parts_differ() {
    let base = ClaimKey::new("ab", "c", "k");
    for (workspace, service, key) in [("a", "bc", "k"), ("ab", "ck", ""), ("ab", "c", "l")] {
        assert_ne!(base, ClaimKey::new(workspace, service, key));
    }
    let body = RequestDigest::new("POST", "/a", b"b");
    assert_ne!(body, RequestDigest::new("POST", "/ab", b""));
    assert_ne!(body, RequestDigest::new("PUT", "/a", b"b"));
}

/// Guards against partitions that hold far fewer or more keys than others.
#[test]
fn keys_are_spread_evenly_over_partitions() {
    const PARTITIONS: u16 = 8;
    const KEYS: u32 = 8_000;
    let mut counts = [0_u32; PARTITIONS as usize];
    for number in 0..KEYS {
        let key = ClaimKey::new("w", "s", &number.to_string());
        counts[usize::from(key.partition(PARTITIONS))] += 1;
    }
    assert!(
        counts.iter().all(|count| (900..1_100).contains(count)),
        "{counts:?}"
    );
}
