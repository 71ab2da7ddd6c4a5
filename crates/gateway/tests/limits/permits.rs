//! Permits that one daemon issues to all.

use anvilgw_gateway::fleet_view::FleetView;
use anvilgw_gateway::permits::{
    Decision, PermitHolder, PermitIssuer, PermitOutcome, PermitPurpose, PermitState, Rate,
    issuer_of,
};
use anvilgw_gateway::request_limit::RequestRate;
use std::net::SocketAddr;
use std::time::Duration;

use PermitOutcome::{Denied, Granted, NoAnswer};
use Step::{Outcome, Take};

const SERVER: u64 = 7;
const SHARE: f64 = 0.1;

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).expect("rate")
}

fn addresses(count: u16) -> Vec<SocketAddr> {
    (0..count)
        .map(|port| ([10, 0, 0, 1], port + 1).into())
        .collect()
}

/// Returns the number of permits issued in ten seconds to daemons that ask every ten milliseconds.
fn issued_in_ten_seconds(rates: &[Rate], purpose: PermitPurpose) -> u32 {
    let mut issuer = PermitIssuer::default();
    let mut issued = 0;
    for step in 0..1_000 {
        let rate = rates[step % rates.len()];
        if let Decision::Granted(permits) =
            issuer.decide(SERVER, rate, purpose, at(step as u64 * 10))
        {
            issued += permits;
        }
    }
    issued
}

/// Guards against an issuer that exceeds the rate, also when daemons name different limits, and
/// against one that issues hardly any permits.
#[test]
fn permits_are_issued_at_the_rate_of_the_server() {
    let settled = |per_s| Rate {
        limit: rate(per_s),
        is_settled: true,
    };
    let unsettled = |per_s| Rate {
        limit: rate(per_s),
        is_settled: false,
    };
    let cases = [
        ("small", vec![settled(0.2)], 1..=4),
        ("fraction", vec![settled(2.5)], 20..=25),
        ("large", vec![settled(400.0)], 3_200..=4_000),
        ("unsettled", vec![unsettled(20.0)], 120..=145),
        (
            "differing limits",
            vec![settled(2.5), settled(50.0)],
            20..=27,
        ),
    ];
    for (name, rates, expected) in cases {
        let issued = issued_in_ten_seconds(&rates, PermitPurpose::Request);
        assert!(expected.contains(&issued), "{name}: {issued}");
    }
    let control = issued_in_ten_seconds(&[settled(2.5)], PermitPurpose::Control { calls: 1 });
    assert!((20..=27).contains(&control), "control calls: {control}");
}

/// Guards against orders that wait behind the requests of clients.
#[test]
fn control_calls_get_permits_ahead_of_time() {
    let mut issuer = PermitIssuer::default();
    let rate = Rate {
        limit: rate(1.0),
        is_settled: true,
    };
    let mut granted = |purpose, ms| {
        let decision = issuer.decide(SERVER, rate, purpose, at(ms));
        matches!(decision, Decision::Granted(_))
    };
    assert!(!granted(PermitPurpose::Request, 0));
    assert!(granted(PermitPurpose::Control { calls: 1 }, 0));
    assert!(granted(PermitPurpose::Control { calls: 1 }, 0));
    assert!(
        !granted(PermitPurpose::Control { calls: 1 }, 0),
        "the debt is limited"
    );
    assert!(
        !granted(PermitPurpose::Request, 2_000),
        "the debt is paid first"
    );
    assert!(granted(PermitPurpose::Request, 4_000));
}

enum Step {
    /// A request for permits has an outcome.
    Outcome(PermitOutcome, u64),
    /// A request is sent if a permit is available.
    Take(u64),
}

/// What has happened, a time in milliseconds, and whether a request may be sent then.
type HolderCase = (&'static str, &'static [Step], u64, PermitState);

const HOLDER_CASES: [HolderCase; 11] = [
    ("nothing yet", &[], 0, PermitState::MustAsk),
    (
        "granted",
        &[Outcome(Granted(2), 0)],
        10,
        PermitState::Available,
    ),
    (
        "used",
        &[Outcome(Granted(1), 0), Take(0)],
        10,
        PermitState::MustAsk,
    ),
    (
        "expired",
        &[Outcome(Granted(2), 0)],
        300,
        PermitState::MustAsk,
    ),
    (
        "denied",
        &[Outcome(Denied(at(500)), 0)],
        100,
        PermitState::Paused(at(400)),
    ),
    (
        "pause over",
        &[Outcome(Denied(at(500)), 0)],
        500,
        PermitState::MustAsk,
    ),
    (
        "no answer",
        &[Outcome(NoAnswer, 0)],
        100,
        PermitState::Paused(at(400)),
    ),
    (
        "asked again later",
        &[Outcome(NoAnswer, 0)],
        500,
        PermitState::MustAsk,
    ),
    (
        "own share, no answer for long",
        &[Outcome(NoAnswer, 0), Outcome(NoAnswer, 600)],
        1_090,
        PermitState::Available,
    ),
    (
        "own share is used up",
        &[Outcome(NoAnswer, 0), Outcome(NoAnswer, 600), Take(1_090)],
        1_090,
        PermitState::Paused(at(10)),
    ),
    (
        "own share starts anew after an answer",
        &[
            Outcome(NoAnswer, 0),
            Outcome(Denied(at(10)), 900),
            Outcome(NoAnswer, 1_000),
        ],
        1_100,
        PermitState::Paused(at(400)),
    ),
];

/// Guards against a daemon that uses permits after they have expired, asks during a pause, or sends
/// at will while the issuer does not answer.
#[test]
fn a_daemon_sends_only_with_a_valid_permit() {
    let limit = rate(15.0);
    for (name, steps, ms, expected) in HOLDER_CASES {
        let mut holder = PermitHolder::default();
        for step in steps {
            match step {
                Outcome(outcome, ms) => holder.on_outcome(*outcome, limit, at(*ms)),
                Take(ms) => assert!(holder.take(limit, SHARE, at(*ms)), "{name}"),
            }
        }
        assert_eq!(holder.state(limit, SHARE, at(ms)), expected, "{name}");
    }
}

/// Guards against a damaged or forged reply of an issuer that lets this daemon send without limit,
/// stops it from sending to a server for weeks, or ends it with an overflow.
#[test]
fn a_reply_counts_no_more_than_an_issuer_can_give() {
    let limit = rate(15.0);
    let mut holder = PermitHolder::default();
    for _ in 0..2 {
        holder.on_outcome(Granted(u32::MAX), limit, at(0));
    }
    let taken = (0..1_000).take_while(|_| holder.take(limit, SHARE, at(10)));
    let taken = taken.count();
    // Two permits that can accumulate, two issued ahead of time, and 0.3 s of the rate.
    assert_eq!(taken, 9);

    let mut holder = PermitHolder::default();
    let pause = Duration::from_millis(u64::from(u32::MAX));
    holder.on_outcome(Denied(pause), limit, at(0));
    assert_eq!(
        holder.state(limit, SHARE, at(0)),
        PermitState::Paused(at(10_000))
    );
    assert_eq!(holder.state(limit, SHARE, at(10_000)), PermitState::MustAsk);
}

/// Guards against an order that is never sent while the issuer does not answer: it takes two calls,
/// and a daemon's share never amounts to two permits.
#[test]
fn an_order_needs_no_issuer() {
    let limit = rate(2.5);
    let mut holder = PermitHolder::default();
    holder.on_outcome(NoAnswer, limit, at(0));
    let mut take = |purpose| holder.take_for(purpose, limit, SHARE, at(10));
    assert!(!take(PermitPurpose::Request));
    assert!(take(PermitPurpose::Control { calls: 2 }));
    assert!(
        !take(PermitPurpose::Control { calls: 1 }),
        "the debt is limited"
    );
}

/// Guards against an order that is never sent: its two permits come at once or not at all, so that
/// none is spent without the other.
#[test]
fn an_order_gets_its_permits_again_and_again() {
    let mut issuer = PermitIssuer::default();
    let rate = Rate {
        limit: rate(2.0),
        is_settled: true,
    };
    let order = PermitPurpose::Control { calls: 2 };
    let mut decide = |ms| issuer.decide(SERVER, rate, order, at(ms));
    let granted = (0..100).map(|round| decide(round * 100));
    let granted = granted.filter(|decision| *decision == Decision::Granted(2));
    let orders = granted.count();
    assert!((8..=10).contains(&orders), "{orders} orders in ten seconds");
}

/// Guards against issuers that change for many servers when one daemon joins or leaves, and against
/// one daemon that issues the permits of all servers.
#[test]
fn a_member_that_joins_takes_over_few_servers() {
    let before = addresses(20);
    let after = addresses(21);
    let servers = 0..1_000_u64;
    let issuer = |server, members: &[SocketAddr]| issuer_of(server, members);
    let changed = servers
        .clone()
        .filter(|server| issuer(*server, &before) != issuer(*server, &after));
    assert!(changed.count() < 100);
    let first = Some(before[0]);
    let of_first = servers
        .filter(|server| issuer(*server, &before) == first)
        .count();
    assert!((10..150).contains(&of_first), "{of_first} of 1000");
    assert_eq!(issuer_of(SERVER, &[]), None);
}

/// Guards against an issuer that uses the whole rate while another daemon may issue permits, too.
#[test]
fn the_fleet_is_settled_only_while_its_members_are_known_to_be_unchanged() {
    let mut fleet = FleetView::default();
    assert!(!fleet.is_settled(at(60_000)), "nothing is known");
    fleet.on_members(addresses(3), at(0));
    fleet.on_confirmed(at(9_000));
    assert!(
        !fleet.is_settled(at(9_500)),
        "others may not have read the list"
    );
    fleet.on_confirmed(at(11_000));
    assert!(fleet.is_settled(at(11_500)));
    assert!(!fleet.is_settled(at(15_000)), "not confirmed for long");
    fleet.on_members(addresses(3).into_iter().rev().collect(), at(15_500));
    fleet.on_confirmed(at(16_000));
    assert!(
        fleet.is_settled(at(16_500)),
        "the same members in another order"
    );
    fleet.on_outdated(at(17_000));
    fleet.on_confirmed(at(18_500));
    assert!(!fleet.is_settled(at(19_000)), "the membership has changed");
}
