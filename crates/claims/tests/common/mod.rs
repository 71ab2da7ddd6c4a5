//! Builders of claims, batches and times for the tests, and the runner of property tests.

#![allow(dead_code, reason = "each test file uses some of the items")]

use anvilgw_claims::{
    Attempt, Batch, BatchId, ClaimKey, ClaimRequest, KeyAgeLimits, KeyTime, Now, Record,
    RequestDigest,
};
use anvilgw_core::{AttemptId, DaemonId, Offset};
use quickcheck::{Gen, QuickCheck, Testable};
use std::time::Duration;

/// Seed of the generated cases, fixed so that every run tests the same ones.
const SEED: u64 = 20;

/// Checks a property with `tests` generated cases.
pub(crate) fn check_property<T: Testable>(tests: u64, property: T) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, SEED))
        .tests(tests)
        .quickcheck(property);
}

pub(crate) fn age_limits() -> KeyAgeLimits {
    KeyAgeLimits::default()
}

pub(crate) fn daemon(index: u32) -> DaemonId {
    DaemonId {
        index,
        incarnation: 1,
    }
}

pub(crate) fn attempt(holder: u32, number: u64) -> Attempt {
    Attempt {
        holder: daemon(holder),
        number: AttemptId(number),
    }
}

pub(crate) fn claim(key: u64, holder: u32, number: u64) -> ClaimRequest {
    ClaimRequest {
        key: ClaimKey(u128::from(key)),
        body: RequestDigest([0; 32]),
        attempt: attempt(holder, number),
        deadline_ms: 60_000,
        key_time: KeyTime(0),
    }
}

pub(crate) fn batch(sequence: u64, wall_ms: u64, records: Vec<Record>) -> Batch {
    Batch {
        id: BatchId {
            writer: daemon(0),
            sequence,
        },
        wall_ms,
        after: Offset(sequence),
        records,
    }
}

pub(crate) fn now(ms: u64) -> Now {
    Now {
        uptime: Duration::from_millis(ms),
        wall_ms: ms,
    }
}
