//! Tests of budgets that all daemons share (requests to cold servers, retries) and of the memory
//! for request bodies.

use anvilgw_gateway::body_memory::BodyMemory;
use anvilgw_gateway::budget::{RetryBound, RetryBudget};
use anvilgw_gateway::share_budget::ShareBudget;
use std::net::Ipv4Addr;
use std::time::Duration;

struct ColdCase {
    name: &'static str,
    daemons: u32,
    per_s: f64,
    /// Upper bound on the requests of the whole fleet in any second.
    allowed_per_s: f64,
}

/// Guards against overloaded cold servers, which happens when each daemon applies the whole limit
/// by itself.
#[test]
fn all_daemons_together_respect_the_limit_of_a_cold_server() {
    let cases = [
        ColdCase {
            name: "one daemon",
            daemons: 1,
            per_s: 16.0,
            allowed_per_s: 29.0,
        },
        ColdCase {
            name: "twelve daemons",
            daemons: 12,
            per_s: 16.0,
            allowed_per_s: 29.0,
        },
        ColdCase {
            name: "a large fleet",
            daemons: 139,
            per_s: 200.0,
            allowed_per_s: 305.0,
        },
        ColdCase {
            name: "slow server",
            daemons: 3,
            per_s: 2.0,
            allowed_per_s: 8.0,
        },
    ];
    for case in cases {
        let share = 1.0 / f64::from(case.daemons);
        let mut budgets = vec![ShareBudget::new(Duration::ZERO); case.daemons as usize];
        let mut sent_at: Vec<Duration> = Vec::new();
        for step in 0..600_u64 {
            let now = Duration::from_millis(step * 10);
            for budget in &mut budgets {
                if budget.take(case.per_s, share, now) {
                    sent_at.push(now);
                }
            }
        }
        let most = max_in_window(&sent_at, Duration::from_secs(1));
        assert!(
            most as f64 <= case.allowed_per_s,
            "{}: {most} in a second",
            case.name
        );
        assert!(
            !sent_at.is_empty(),
            "{}: the server is never used",
            case.name
        );
    }
}

struct RetryCase {
    name: &'static str,
    daemons: u32,
    requests_per_s: u64,
    bound: RetryBound,
}

/// Guards against retries that multiply the load on a failing service.
#[test]
fn retries_of_all_daemons_stay_below_the_bound_in_any_window() {
    let bound = |ratio, slack, window_s| RetryBound {
        ratio,
        slack,
        window: Duration::from_secs(window_s),
    };
    let cases = [
        RetryCase {
            name: "many requests",
            daemons: 12,
            requests_per_s: 240,
            bound: bound(0.2, 104.0, 10),
        },
        RetryCase {
            name: "no requests",
            daemons: 12,
            requests_per_s: 0,
            bound: bound(0.2, 104.0, 10),
        },
        RetryCase {
            name: "one daemon",
            daemons: 1,
            requests_per_s: 50,
            bound: bound(0.1, 5.0, 5),
        },
        RetryCase {
            name: "no slack",
            daemons: 5,
            requests_per_s: 100,
            bound: bound(0.2, 0.0, 10),
        },
    ];
    for case in cases {
        let share = 1.0 / f64::from(case.daemons);
        let mut budgets = vec![RetryBudget::new(case.bound, Duration::ZERO); case.daemons as usize];
        let mut retries: Vec<Duration> = Vec::new();
        let mut requests = 0.0;
        for step in 0..4_000_u64 {
            let now = Duration::from_millis(step * 10);
            requests += case.requests_per_s as f64 / 100.0;
            for (index, budget) in budgets.iter_mut().enumerate() {
                while requests >= 1.0 && index as u64 == step % u64::from(case.daemons) {
                    requests -= 1.0;
                    budget.on_request(share, now);
                }
                if budget.take(share, now) {
                    retries.push(now);
                }
            }
        }
        let window_s = case.bound.window.as_secs();
        let allowed = case.bound.ratio * (case.requests_per_s * window_s) as f64 + case.bound.slack;
        let most = max_in_window(&retries, case.bound.window);
        // Each daemon may always have one retry available.
        let allowed = allowed.max(f64::from(case.daemons));
        assert!(most as f64 <= allowed, "{}: {most} of {allowed}", case.name);
    }
}

/// Returns the largest number of times within any window.
fn max_in_window(times: &[Duration], window: Duration) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, time) in times.iter().enumerate() {
        while *time - times[first] >= window {
            first += 1;
        }
        most = most.max(last - first + 1);
    }
    most
}

/// Guards against large request bodies that fill the memory of the process, after which the
/// platform kills it.
#[test]
fn request_bodies_use_at_most_a_third_of_the_memory() {
    let memory = BodyMemory::new(3_000_000);
    let connections: Vec<_> = (0..10)
        .map(|number| memory.open(Ipv4Addr::new(127, 0, 0, number).into()))
        .collect();
    let reserve = |index: usize, bytes| {
        let mut reservation = connections[index].reserve();
        reservation.try_grow(bytes).then_some(reservation)
    };
    let held: Vec<_> = (0..10).map_while(|index| reserve(index, 150_000)).collect();
    assert_eq!(held.len(), 6);
    assert!(
        reserve(9, 150_000).is_none(),
        "a body of unknown length grows its reservation as others do"
    );
    drop(held);
    assert!(
        reserve(0, 750_000).is_some(),
        "three quarters of the bodies"
    );
    assert!(reserve(0, 750_001).is_none(), "no address takes all of it");
    assert!(reserve(0, u64::MAX).is_none());
    assert_eq!(memory.held().bodies_bytes, 0, "everything is released");
}
