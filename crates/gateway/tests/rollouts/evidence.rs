//! Evidence rows and their sums.

use anvilgw_gateway::peers::DATAGRAM_MAX_BYTES;
use anvilgw_gateway::rollout::{
    Evidence, ExposureCounts, FleetEvidence, OrderId, Phase, RolloutReport, RouteKey, Side,
    bucket_of,
};
use std::time::Duration;

const ROUTE: RouteKey = RouteKey { route: 9, work: 2 };

/// Guards against reports that do not fit into a datagram or that leave out the target.
#[test]
fn a_report_fits_and_contains_the_target_first() {
    let mut evidence = Evidence::default();
    for server in 0..400 {
        let route = RouteKey {
            route: (server % 5) as u16 * 9_000,
            work: (server % 7) as u8,
        };
        let time = Duration::from_millis(u64::from(server) * 97 + 1);
        for _ in 0..50 {
            evidence.record(Side::Base, route, server, false, Some(time));
        }
        if server < 20 {
            evidence.record(Side::Target, route, server, true, Some(time));
        }
    }
    let rows = evidence.snapshot();
    let of_target = rows.iter().filter(|row| row.key.side == Side::Target);
    assert_eq!(of_target.count(), 20);
    assert!(rows.len() > 40, "{} rows", rows.len());
    let report = RolloutReport {
        order: OrderId(u64::MAX),
        sender: u64::MAX,
        order_age_ms: u32::MAX,
        phase: Phase::Ramp { step: 1 },
        counts: ExposureCounts {
            requests: u64::MAX,
            target: u64::MAX,
        },
        base_in_flight: u32::MAX,
        target_in_flight: u32::MAX,
        rows,
    };
    let config = bincode::config::standard();
    let encoded = bincode::encode_to_vec(&report, config).expect("encoded");
    // One byte is the tag of the datagram.
    assert!(encoded.len() < DATAGRAM_MAX_BYTES, "{}", encoded.len());
    let limited = config.with_limit::<{ 4 * DATAGRAM_MAX_BYTES }>();
    let (decoded, _) = bincode::decode_from_slice::<RolloutReport, _>(&encoded, limited)
        .expect("decoded within the limit of datagrams");
    assert_eq!(decoded, report);
}

/// Guards against answers that are counted twice, or lost, when reports arrive late, twice, or
/// after a restart of their sender.
#[test]
fn sums_follow_the_newest_report_of_each_start() {
    let mut daemon = Evidence::default();
    daemon.record(Side::Target, ROUTE, 1, true, None);
    let first = daemon.snapshot();
    daemon.record(
        Side::Target,
        ROUTE,
        1,
        false,
        Some(Duration::from_millis(40)),
    );
    let second = daemon.snapshot();
    let mut fleet = FleetEvidence::default();
    for (sender, rows, answers) in [
        (1, &first, 1),
        (1, &first, 1),
        (1, &second, 2),
        (1, &first, 2),
        (2, &first, 3),
        (2, &second, 4),
    ] {
        fleet.on_rows(sender, rows.clone(), 0);
        assert_eq!(fleet.counts(Side::Target).answers, answers);
    }
    assert_eq!(fleet.counts(Side::Target).failures, 2);
    assert_eq!(fleet.counts(Side::Base).answers, 0);
}

/// Guards against buckets that differ from a factor of two for each three of them.
#[test]
fn three_buckets_are_a_factor_of_two() {
    let cases = [(0, 0), (1, 0), (2, 3), (8, 9), (1_024, 30), (3_600_000, 47)];
    for (time_ms, bucket) in cases {
        assert_eq!(bucket_of(Duration::from_millis(time_ms)), bucket);
    }
}
