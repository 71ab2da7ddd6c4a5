//! Whole fleets, small and large, in front of a server that names a limit.

use crate::simulation::{COLD_PER_S, Outcome, Setup, Sharing, Trouble, simulate};
use std::time::Duration;

/// Time from the first answer that names the limit until the limit has to hold.
const CONTACT: Duration = Duration::from_secs(3);
/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// When the server begins to name a limit.
const NAMED_AT: Duration = Duration::from_secs(15);
/// When the troubles begin.
const TROUBLE_AT: Duration = Duration::from_secs(25);
const LENGTH: Duration = Duration::from_secs(55);
/// Least usage of the limit while nothing happens.
const USAGE_MIN: f64 = 0.7;

fn setup(daemons: usize, seed: u64) -> Setup {
    Setup {
        daemons,
        servers: 3,
        requests_per_s: 150.0 + daemons as f64,
        loss: 0.01,
        sharing: Sharing::Permits,
        seed,
        length: LENGTH,
    }
}

/// Returns the most requests in any window between two times. A daemon that is cut off from the
/// others cannot know what they send, so its requests are not counted.
fn most_in_window(outcome: &Outcome, from: Duration, to: Duration) -> usize {
    most_in(outcome, WINDOW, from, to)
}

fn most_in(outcome: &Outcome, window: Duration, from: Duration, to: Duration) -> usize {
    let counted = outcome.arrivals.iter();
    let counted = counted.filter(|arrival| !outcome.cut_off.contains(&arrival.daemon));
    let counted = counted.filter(|arrival| (from..to).contains(&arrival.at));
    let times: Vec<Duration> = counted.map(|arrival| arrival.at).collect();
    let in_window = |start: &Duration| {
        let window = *start..*start + window;
        times.iter().filter(|at| window.contains(at)).count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// Returns the requests per second between two times, as a fraction of a limit.
fn usage(outcome: &Outcome, limit_per_s: f64, from: Duration, to: Duration) -> f64 {
    let times = outcome.arrivals.iter().map(|arrival| arrival.at);
    let count = times.filter(|at| (from..to).contains(at)).count();
    count as f64 / ((to - from).as_secs_f64() * limit_per_s)
}

fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

struct Case {
    name: &'static str,
    /// Troubles, after [`TROUBLE_AT`] in milliseconds, given the number of daemons.
    troubles: fn(usize) -> Vec<(u64, Trouble)>,
    /// Share of lost messages between daemons.
    loss: f64,
    /// Least usage of the limit before the troubles and at the end.
    usage_min: f64,
    /// Whether requests of daemons count that the server has not told of its limit yet. They do,
    /// unless the daemons cannot find each other.
    counts_untold: bool,
}

const CASES: [Case; 11] = [
    Case {
        name: "nothing else",
        troubles: |_| Vec::new(),
        loss: 0.01,
        usage_min: USAGE_MIN,
        counts_untold: true,
    },
    Case {
        name: "a few messages are lost",
        troubles: |_| Vec::new(),
        loss: 0.05,
        usage_min: USAGE_MIN,
        counts_untold: true,
    },
    Case {
        name: "many messages are lost",
        troubles: |_| Vec::new(),
        loss: 0.3,
        usage_min: USAGE_MIN / 2.0,
        counts_untold: true,
    },
    Case {
        name: "the issuer freezes and goes on",
        troubles: |_| vec![(0, Trouble::Freeze(1, Duration::from_secs(6)))],
        loss: 0.01,
        usage_min: USAGE_MIN,
        counts_untold: true,
    },
    Case {
        name: "a sixth of the daemons freeze",
        troubles: |daemons| vec![(0, Trouble::Freeze(daemons / 6, Duration::from_secs(6)))],
        loss: 0.01,
        usage_min: USAGE_MIN,
        counts_untold: true,
    },
    Case {
        name: "a sixth of the daemons are cut off from the others",
        troubles: |daemons| vec![(0, Trouble::Cut(daemons / 6, Duration::from_secs(8)))],
        loss: 0.01,
        usage_min: USAGE_MIN,
        counts_untold: true,
    },
    Case {
        name: "the issuer is killed",
        troubles: |_| vec![(0, Trouble::Kill(1))],
        loss: 0.01,
        usage_min: USAGE_MIN,
        counts_untold: true,
    },
    Case {
        name: "a third of the daemons are killed",
        troubles: |daemons| vec![(0, Trouble::Kill(daemons / 3))],
        loss: 0.01,
        usage_min: USAGE_MIN,
        counts_untold: true,
    },
    Case {
        name: "daemons start while the store is away",
        troubles: |daemons| {
            vec![
                (0, Trouble::StoreAway(Duration::from_secs(8))),
                (500, Trouble::Start(daemons / 4)),
            ]
        },
        loss: 0.01,
        usage_min: USAGE_MIN,
        counts_untold: false,
    },
    Case {
        name: "daemons are replaced one after the other",
        troubles: |_| {
            let steps = (0..5).flat_map(|step| {
                let at_ms = 1_500 * step;
                [
                    (at_ms, Trouble::Kill(1)),
                    (at_ms + 1_000, Trouble::Start(1)),
                ]
            });
            steps.collect()
        },
        loss: 0.01,
        usage_min: USAGE_MIN,
        counts_untold: true,
    },
    Case {
        name: "many daemons start",
        troubles: |daemons| vec![(0, Trouble::Start(daemons / 2))],
        loss: 0.01,
        usage_min: USAGE_MIN,
        counts_untold: true,
    },
];

/// Guards against a fleet that sends a server more than the limit that it names, and against one
/// that hardly uses the server: a fixed share of a small limit is less than a request per minute
/// for each of some hundred daemons.
#[test]
fn a_fleet_of_any_size_uses_a_limit_and_keeps_to_it() {
    let fleets = [(12, 2.5, 0), (12, 2.5, 1), (12, 30.0, 2), (295, 2.5, 3)];
    for (daemons, limit_per_s, seed) in fleets {
        for case in &CASES {
            check_case(case, daemons, limit_per_s, seed);
        }
    }
}

fn check_case(case: &Case, daemons: usize, limit_per_s: f64, seed: u64) {
    let mut troubles = vec![(NAMED_AT, Trouble::Limit(Some(limit_per_s)))];
    for (ms, trouble) in (case.troubles)(daemons) {
        troubles.push((TROUBLE_AT + Duration::from_millis(ms), trouble));
    }
    let setup = Setup {
        loss: case.loss,
        ..setup(daemons, seed)
    };
    let mut outcome = simulate(setup, &troubles);
    let label = format!("{}, {daemons} daemons, {limit_per_s}/s", case.name);
    let end = LENGTH - Duration::from_secs(8);
    for (from, to) in [(NAMED_AT + CONTACT, TROUBLE_AT), (end, LENGTH)] {
        let used = usage(&outcome, limit_per_s, from, to);
        let is_used = used >= case.usage_min;
        assert!(is_used, "{label}: {used:.2} used from {from:?} on");
    }
    if !case.counts_untold {
        outcome.arrivals.retain(|arrival| arrival.was_told);
    }
    let most = most_in_window(&outcome, NAMED_AT + CONTACT, LENGTH);
    assert!(most <= allowed(limit_per_s), "{label}: {most} in a window");
}

/// Guards against permits that leave more of a limit unused than fixed shares do, at any size of
/// the fleet and any demand.
#[test]
fn permits_use_more_of_a_limit_than_fixed_shares() {
    for daemons in [3, 12, 295] {
        for servers in [3, 18] {
            let limit_per_s = 2.5;
            let used = |sharing| {
                let setup = Setup {
                    servers,
                    sharing,
                    ..setup(daemons, 1)
                };
                let outcome = simulate(setup, &[(NAMED_AT, Trouble::Limit(Some(limit_per_s)))]);
                usage(&outcome, limit_per_s, NAMED_AT + CONTACT, LENGTH)
            };
            let (permits, shares) = (used(Sharing::Permits), used(Sharing::FixedShares));
            assert!(permits >= USAGE_MIN, "{daemons} daemons: {permits:.2}");
            assert!(
                permits > shares,
                "{daemons} daemons: {permits:.2}, {shares:.2}"
            );
        }
    }
}

/// Guards against a limit that is applied after the server has changed or ended it: a new figure
/// must be in force everywhere within seconds, whoever learns it first.
#[test]
fn a_changed_limit_is_in_force_in_the_whole_fleet() {
    let changed_at = Duration::from_secs(30);
    let settled_at = changed_at + CONTACT;
    for daemons in [12, 295] {
        for (before, after) in [(30.0, 2.5), (2.5, 30.0)] {
            let troubles = [
                (NAMED_AT, Trouble::Limit(Some(before))),
                (changed_at, Trouble::Limit(Some(after))),
            ];
            let outcome = simulate(setup(daemons, 1), &troubles);
            let label = format!("{daemons} daemons, {before}/s to {after}/s");
            let most = most_in_window(&outcome, settled_at, LENGTH);
            assert!(most <= allowed(after), "{label}: {most} in a window");
            let used = usage(&outcome, after, settled_at, LENGTH);
            assert!(used >= USAGE_MIN, "{label}: {used:.2} of the limit is used");
        }
        let troubles = [
            (NAMED_AT, Trouble::Limit(Some(2.5))),
            (changed_at, Trouble::Limit(None)),
        ];
        let outcome = simulate(setup(daemons, 1), &troubles);
        let before = usage(&outcome, 1.0, Duration::from_secs(2), NAMED_AT);
        let after = usage(&outcome, 1.0, settled_at, LENGTH);
        assert!(
            after > before / 2.0,
            "{daemons} daemons: {after} of {before} a second"
        );
    }
}

/// Guards against refusals without a time to come back while every server has a limit.
#[test]
fn requests_are_refused_with_a_time_to_come_back_when_all_servers_are_at_their_limits() {
    let setup = Setup {
        servers: 1,
        ..setup(12, 1)
    };
    let outcome = simulate(setup, &[(NAMED_AT, Trouble::Limit(Some(2.5)))]);
    let retry_after = &outcome.retry_after;
    assert!(!retry_after.is_empty());
    let shortest = retry_after.iter().min().expect("refusals");
    let longest = retry_after.iter().max().expect("refusals");
    assert!(
        *shortest > Duration::ZERO && *longest <= Duration::from_secs(7),
        "{longest:?}"
    );
}

/// Guards against a cold server that gets more requests than it takes while cold, and against one
/// that gets none because the share of each daemon is too small.
#[test]
fn a_cold_server_is_used_by_a_fleet_of_any_size() {
    const COLD_TIME: Duration = Duration::from_secs(6);
    const COLD_WINDOW: Duration = Duration::from_secs(1);
    let allowed = (1.5 * COLD_PER_S + 5.0) as usize;
    for daemons in [12, 295] {
        let outcome = simulate(setup(daemons, 1), &[(NAMED_AT, Trouble::Cold(COLD_TIME))]);
        let end = NAMED_AT + COLD_TIME;
        let most = most_in(&outcome, COLD_WINDOW, NAMED_AT, end);
        assert!(most <= allowed, "{daemons} daemons: {most} in a second");
        let used = usage(&outcome, COLD_PER_S, NAMED_AT, end);
        assert!(used >= USAGE_MIN, "{daemons} daemons: {used:.2} used");
    }
}
