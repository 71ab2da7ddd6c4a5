//! Warm-up, circuit breakers, retry budget, imports, link reservations and recent blocks.

use anvilgw_core::ServerId;
use anvilgw_router::{
    Breaker, BreakerSettings, BreakerState, ColdCause, ColdSettings, FailedAttempt, ImportKey,
    ImportRole, Imports, LinkRefusal, LinkReservations, LoadReport, Location, RecentBlocks,
    RetryBudget, RetryRefusal, RetrySettings, ShortKey, WaiterId, WarmUpChange, WarmUpState,
    WeightLoadLimiter, WeightLoadRefusal,
};
use quickcheck::{Gen, QuickCheck};

/// Size and seed of the generated cases, fixed so that every run tests the same cases.
const GEN_SIZE: usize = 100;
const GEN_SEED: u64 = 1;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn report(started_ms: u64, at_s: u64, completed: u64, cached_blocks: u64) -> LoadReport {
    LoadReport {
        started_ms,
        measured_at: seconds(at_s),
        completed,
        cached_blocks,
        ..LoadReport::default()
    }
}

struct ColdCase {
    what: &'static str,
    next: LoadReport,
    expected: Option<WarmUpChange>,
    capacity: u32,
}

/// Guards against full load on a server that became cold without reporting so.
#[test]
fn reports_show_when_a_server_becomes_cold() {
    let settings = ColdSettings {
        cold_concurrency: 2,
        full_concurrency: 10,
        completions_per_step: 2.0,
    };
    let cold = |cause| Some(WarmUpChange::Cold(cause));
    let cases = [
        ColdCase {
            what: "more work",
            next: report(1, 2, 200, 9),
            expected: None,
            capacity: 10,
        },
        ColdCase {
            what: "restart",
            next: report(2, 2, 4, 3),
            expected: cold(ColdCause::Restarted),
            capacity: 4,
        },
        ColdCase {
            what: "empty cache",
            next: report(1, 2, 200, 0),
            expected: cold(ColdCause::CacheLost),
            capacity: 2,
        },
        ColdCase {
            what: "overload",
            next: LoadReport {
                overloads: 1,
                ..report(1, 2, 200, 9)
            },
            expected: cold(ColdCause::Overloaded),
            capacity: 2,
        },
        ColdCase {
            what: "report of the earlier process",
            next: report(0, 2, 1, 0),
            expected: None,
            capacity: 10,
        },
        ColdCase {
            what: "late report",
            next: report(1, 0, 1, 0),
            expected: None,
            capacity: 10,
        },
    ];
    for case in cases {
        let mut warm_up = WarmUpState::new(settings);
        assert_eq!(warm_up.capacity(), 2, "cold before the first report");
        warm_up.on_load_report(&report(1, 1, 100, 9));
        assert_eq!(warm_up.cold_cause(), None);
        assert_eq!(
            warm_up.on_load_report(&case.next),
            case.expected,
            "{}",
            case.what
        );
        assert_eq!(warm_up.capacity(), case.capacity, "{}", case.what);
    }
}

/// Guards against a capacity that grows with time instead of completions.
#[test]
fn capacity_grows_with_completions_only() {
    let settings = ColdSettings {
        cold_concurrency: 2,
        full_concurrency: 10,
        completions_per_step: 2.0,
    };
    let mut warm_up = WarmUpState::new(settings);
    warm_up.on_load_report(&report(1, 1, 0, 0));
    warm_up.on_load_report(&report(1, 1_000, 0, 0));
    assert_eq!(warm_up.capacity(), 2);
    warm_up.on_load_report(&report(1, 1_001, 7, 1));
    assert_eq!(warm_up.capacity(), 5);
    assert_eq!(
        warm_up.on_load_report(&report(1, 1_002, 16, 1)),
        Some(WarmUpChange::Warm)
    );
    warm_up.on_request_overloaded();
    assert_eq!(warm_up.capacity(), 2);
}

/// Guards against full load on a restarted server until its first report, and against a warm server
/// that stays limited after one failed request.
#[test]
fn a_failed_request_limits_the_server_until_a_later_report() {
    let settings = ColdSettings {
        cold_concurrency: 2,
        full_concurrency: 10,
        completions_per_step: 2.0,
    };
    let mut warm_up = WarmUpState::new(settings);
    warm_up.on_load_report(&report(1, 1, 100, 9));
    let cold = WarmUpChange::Cold(ColdCause::Suspected);
    assert_eq!(warm_up.on_request_failed(seconds(5)), Some(cold));
    assert_eq!(warm_up.capacity(), 2);
    assert_eq!(
        warm_up.on_load_report(&report(1, 4, 100, 9)),
        None,
        "measured before"
    );
    let mut restarted = warm_up;
    let warm = Some(WarmUpChange::Warm);
    assert_eq!(warm_up.on_load_report(&report(1, 6, 101, 9)), warm);
    let cold = WarmUpChange::Cold(ColdCause::Restarted);
    assert_eq!(restarted.on_load_report(&report(2, 6, 0, 0)), Some(cold));
    assert_eq!(restarted.capacity(), 2);
}

/// Guards against more concurrent weight loads than the weight store sustains, and against a load
/// that takes up the limit forever because its end was not recorded.
#[test]
fn weight_loads_are_limited() {
    let mut loads = WeightLoadLimiter::new(WeightLoadLimiter::DEFAULT_LIMIT, seconds(60));
    for id in 0..3 {
        assert_eq!(loads.start(ServerId(id), seconds(0)), Ok(()));
    }
    assert_eq!(
        loads.start(ServerId(0), seconds(1)),
        Err(WeightLoadRefusal::Running)
    );
    assert_eq!(
        loads.start(ServerId(3), seconds(1)),
        Err(WeightLoadRefusal::Limit)
    );
    loads.end(ServerId(1));
    assert_eq!(loads.start(ServerId(3), seconds(1)), Ok(()));
    assert_eq!(
        loads.start(ServerId(4), seconds(60)),
        Ok(()),
        "two loads never ended"
    );
}

/// Guards against a server that stays out of use after it was only silent for a second, and against
/// one that comes back with an answer to an earlier request although its answers also break.
#[test]
fn breaker_that_opened_for_silence_closes_with_the_next_answer() {
    for (breaks_too, closes) in [(false, true), (true, false)] {
        let settings = BreakerSettings {
            failures_to_open: 2,
            open_time: seconds(1),
            open_time_max: seconds(4),
        };
        let mut breaker = Breaker::new(settings);
        breaker.on_timeout(seconds(0));
        let is_open = if breaks_too {
            breaker.on_failure(seconds(0))
        } else {
            breaker.on_timeout(seconds(0))
        };
        assert!(is_open);
        assert_eq!(breaker.on_success(seconds(0)), closes, "{breaks_too}");
        assert_eq!(breaker.allows(seconds(0)), closes, "{breaks_too}");
    }
}

/// Guards against a breaker that never opens, never closes, or passes many requests while
/// half-open.
#[test]
fn breaker_opens_probes_and_closes() {
    let settings = BreakerSettings {
        failures_to_open: 2,
        open_time: seconds(1),
        open_time_max: seconds(3),
    };
    let mut breaker = Breaker::new(settings);
    assert!(!breaker.on_failure(seconds(0)));
    breaker.on_success(seconds(0));
    assert!(
        !breaker.on_failure(seconds(0)),
        "only consecutive failures count"
    );
    assert!(breaker.on_failure(seconds(0)));
    assert!(!breaker.allows(seconds(0)));
    assert!(
        !breaker.on_success(seconds(0)),
        "answer to an earlier request"
    );
    assert_eq!(breaker.state(seconds(1)), BreakerState::HalfOpen);
    assert!(breaker.allows(seconds(1)));
    breaker.on_request_sent(seconds(1));
    assert!(!breaker.allows(seconds(1)), "one probe at a time");
    assert!(breaker.on_failure(seconds(1)));
    assert!(!breaker.allows(seconds(2)), "open time doubled");
    breaker.on_request_sent(seconds(3));
    assert!(breaker.on_success(seconds(3)));
    assert!(breaker.allows(seconds(3)));
}

struct RetryCase {
    what: &'static str,
    attempt: FailedAttempt,
    share_per_s: f64,
    expected: Result<(), RetryRefusal>,
}

/// Guards against retries that execute a request twice, exceed the budget or miss the deadline.
#[test]
fn retries_need_idempotence_time_and_budget() {
    let attempt = FailedAttempt {
        attempts: 1,
        idempotent: true,
        deadline: seconds(100),
    };
    let cases = [
        RetryCase {
            what: "allowed",
            attempt,
            share_per_s: 1.0,
            expected: Ok(()),
        },
        RetryCase {
            what: "not idempotent",
            attempt: FailedAttempt {
                idempotent: false,
                ..attempt
            },
            share_per_s: 1.0,
            expected: Err(RetryRefusal::NotIdempotent),
        },
        RetryCase {
            what: "last attempt",
            attempt: FailedAttempt {
                attempts: 3,
                ..attempt
            },
            share_per_s: 1.0,
            expected: Err(RetryRefusal::Attempts),
        },
        RetryCase {
            what: "after the deadline",
            attempt: FailedAttempt {
                deadline: seconds(10),
                ..attempt
            },
            share_per_s: 1.0,
            expected: Err(RetryRefusal::Deadline),
        },
        RetryCase {
            what: "no share",
            attempt,
            share_per_s: 0.0,
            expected: Err(RetryRefusal::Budget),
        },
    ];
    for case in cases {
        let mut rng = StdRng::seed_from_u64(1);
        let mut budget = RetryBudget::new(RetrySettings::default(), case.share_per_s, seconds(0));
        let found = budget.retry(&case.attempt, seconds(10), &mut rng);
        assert_eq!(found.map(|_| ()), case.expected, "{}", case.what);
    }
}

/// Guards against a retry storm: retries stay within the share plus its burst.
#[test]
fn retries_stay_within_the_share() {
    fn property(steps: Vec<u8>) -> bool {
        let mut rng = StdRng::seed_from_u64(1);
        let mut budget = RetryBudget::new(RetrySettings::default(), 2.0, Duration::ZERO);
        let mut now = Duration::ZERO;
        let mut granted = 0.0;
        for step in steps {
            now += Duration::from_millis(u64::from(step));
            let attempt = FailedAttempt {
                attempts: 1,
                idempotent: true,
                deadline: now + seconds(9),
            };
            granted += f64::from(u8::from(budget.retry(&attempt, now, &mut rng).is_ok()));
        }
        granted <= now.as_secs_f64() * 2.0 + 4.0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, GEN_SEED))
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Guards against a link over its budget: the transfers that start in an interval carry at most the
/// share, the burst and one transfer.
#[test]
fn bursts_stay_within_the_budget() {
    fn property(steps: Vec<(u8, u16)>) -> bool {
        let burst_s = 0.5;
        let mut reservations =
            LinkReservations::new(1_000.0, Duration::from_secs_f64(burst_s), seconds(5));
        let mut now = Duration::ZERO;
        let mut starts = Vec::new();
        for (step, bytes) in steps {
            now += Duration::from_millis(u64::from(step));
            if let Ok(granted) = reservations.reserve(u64::from(bytes), now, seconds(2)) {
                starts.push((granted.start.as_secs_f64(), f64::from(bytes)));
            }
        }
        (0..starts.len()).all(|first| {
            let mut before = 0.0;
            starts[first..].iter().all(|&(start, bytes)| {
                let kept = before <= (start - starts[first].0 + burst_s) * 1_000.0 + 1e-3;
                before += bytes;
                kept
            })
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, GEN_SEED))
        .quickcheck(property as fn(Vec<(u8, u16)>) -> bool);
}

/// Guards against a link over its budget: without a burst, transfers at the rate of the share never
/// overlap.
#[test]
fn transfers_keep_to_the_share() {
    fn property(steps: Vec<(u8, u16, bool)>) -> bool {
        let mut reservations = LinkReservations::new(1_000.0, Duration::ZERO, seconds(5));
        let mut now = Duration::ZERO;
        let mut free_at = 0.0_f64;
        let mut last = None;
        let mut kept = true;
        for (step, bytes, release) in steps {
            now += Duration::from_millis(u64::from(step));
            if let Some((id, start, before)) = last.take_if(|_| release) {
                reservations.release(id, now);
                if now <= start {
                    free_at = before;
                }
            }
            if let Ok(granted) = reservations.reserve(u64::from(bytes), now, seconds(2)) {
                let start = granted.start.as_secs_f64();
                kept &= start >= free_at - 1e-6;
                last = Some((granted.id, granted.start, free_at));
                free_at = start + f64::from(bytes) / 1_000.0;
            }
        }
        kept
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, GEN_SEED))
        .quickcheck(property as fn(Vec<(u8, u16, bool)>) -> bool);
}

/// Guards against reservations that block a link forever, and against unbounded waits.
#[test]
fn reservations_expire_and_waits_are_bounded() {
    let mut reservations = LinkReservations::new(100.0, Duration::ZERO, seconds(5));
    reservations.reserve(300, seconds(0), seconds(1)).unwrap();
    assert_eq!(
        reservations.reserve(1, seconds(0), seconds(1)),
        Err(LinkRefusal::Wait(seconds(3)))
    );
    assert_eq!(reservations.expire(seconds(7)), 0);
    assert_eq!(reservations.expire(seconds(8)), 1);
    assert_eq!(reservations.reserved_bytes(), 0);
    assert_eq!(reservations.wait(seconds(8)), Duration::ZERO);
    reservations.set_share(0.0);
    assert_eq!(
        reservations.reserve(1, seconds(8), seconds(1)),
        Err(LinkRefusal::NoShare)
    );
}

/// Guards against a second import of a block that is being imported, and against requests that wait
/// forever.
#[test]
fn one_import_serves_all_waiters() {
    let mut imports = Imports::default();
    let key = ImportKey {
        server: ServerId(1),
        block: ShortKey(7),
    };
    assert_eq!(
        imports.join(key, WaiterId(1), seconds(5)),
        ImportRole::Importer
    );
    assert_eq!(
        imports.join(key, WaiterId(2), seconds(5)),
        ImportRole::Waiter
    );
    assert_eq!(
        imports.join(key, WaiterId(3), seconds(5)),
        ImportRole::Waiter
    );
    imports.remove_waiter(key, WaiterId(2));
    assert!(imports.expire(seconds(4)).is_empty());
    let late = imports.expire(seconds(5));
    assert!(!late[0].usable);
    assert_eq!(late[0].waiters, [WaiterId(3)]);
    assert!(imports.is_empty());
    assert_eq!(imports.end(key, true), None, "end after the expiry");
}

/// Guards against a full table that drops the newest blocks, and against a later request for a
/// block that replaces its import in progress.
#[test]
fn recent_blocks_are_dropped_oldest_first() {
    let location = Location::Server(ServerId(1));
    let mut recent = RecentBlocks::new(10, seconds(60));
    let known = |recent: &RecentBlocks, key| {
        let mut hints = Vec::new();
        recent.add_hint(ShortKey(key), &mut hints, seconds(1));
        hints.iter().any(|hint| hint.location == location)
    };
    for key in 0..100 {
        recent.record(ServerId(1), &[ShortKey(key)], Duration::from_nanos(key));
        for newer in key.saturating_sub(4)..=key {
            assert!(known(&recent, newer), "{newer} after {key}");
        }
    }
    assert!(!known(&recent, 50));
    recent.record_import(ServerId(1), &[ShortKey(99)], seconds(1), seconds(3));
    recent.record(ServerId(2), &[ShortKey(99)], seconds(2));
    assert_eq!(
        recent.import_target(ShortKey(99), seconds(2)),
        Some(ServerId(1))
    );
    assert_eq!(recent.import_target(ShortKey(99), seconds(3)), None);
}
