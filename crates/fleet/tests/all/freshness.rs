//! Tests of the age of the view: isolation, outages of the log, stopped clocks and old datagrams.

use crate::driver::{Daemon, Fleet, daemon_id, epoch, ms, secs};
use anvilgw_fleet::{DaemonStatus, Freshness, PeerReport, PeerVerdict, StaleReason};

fn formed_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(18, seed);
    fleet.run(secs(20));
    fleet
}

fn disconnect_log(fleet: &mut Fleet, daemons: impl IntoIterator<Item = usize>) {
    for index in daemons {
        fleet.daemons[index].reaches_log = false;
    }
}

fn daemons_taking_work(fleet: &Fleet) -> Vec<u32> {
    (0..18)
        .filter(|&index| fleet.may_take_work(index).is_ok())
        .collect()
}

/// Guards against a daemon that continues with an old configuration after it is cut off from the
/// log and all peers, and against other daemons that stop because of it.
#[test]
fn an_isolated_daemon_takes_no_work_and_the_others_do() {
    let mut fleet = formed_fleet(1);
    fleet.partition(&[4]);
    disconnect_log(&mut fleet, [4]);
    fleet.run_with(secs(30), |fleet| {
        let working = daemons_taking_work(fleet);
        assert!((0..18).filter(|&i| i != 4).all(|i| working.contains(&i)));
        if fleet.now > secs(20) + ms(2_600) {
            assert_eq!(
                fleet.may_take_work(4).unwrap_err().reason,
                StaleReason::Isolated
            );
        }
    });
}

/// Guards against daemons that stop, even for a moment, because the log service is down.
#[test]
fn all_daemons_take_work_during_an_outage_of_the_log() {
    for seed in 1..4 {
        let mut fleet = formed_fleet(seed);
        fleet.loss = 0.01;
        disconnect_log(&mut fleet, 0..18);
        fleet.run_with(secs(60), |fleet| {
            assert_eq!(
                daemons_taking_work(fleet).len(),
                18,
                "at {:?}, seed {seed}",
                fleet.now
            );
        });
    }
}

/// Guards against a minority that continues without the log, a majority that stops without the log,
/// and a side that stops although it reaches the log.
#[test]
fn sides_of_a_partition_work_with_the_log_or_with_the_majority() {
    struct Sides {
        log: std::ops::Range<usize>,
        working: std::ops::Range<u32>,
    }
    let cases = [
        Sides {
            log: 0..18,
            working: 0..18,
        },
        Sides {
            log: 0..0,
            working: 7..18,
        },
        Sides {
            log: 0..7,
            working: 0..18,
        },
        Sides {
            log: 7..18,
            working: 7..18,
        },
    ];
    for case in cases {
        let mut fleet = formed_fleet(2);
        fleet.partition(&[0, 1, 2, 3, 4, 5, 6]);
        disconnect_log(
            &mut fleet,
            (0..18).filter(|index| !case.log.contains(index)),
        );
        fleet.run(secs(4));
        let expected: Vec<u32> = case.working.clone().collect();
        fleet.run_with(secs(20), |fleet| {
            assert_eq!(daemons_taking_work(fleet), expected, "log {:?}", case.log);
        });
    }
}

/// Guards against a majority of only the remaining members: after half of the members are gone, the
/// others cannot tell a failure from a partition.
#[test]
fn dead_members_of_the_epoch_count_towards_the_majority() {
    let mut fleet = formed_fleet(3);
    for index in 0..9 {
        fleet.daemons[index].down = true;
    }
    disconnect_log(&mut fleet, 0..18);
    fleet.run(secs(10));
    assert!((9..18).all(|index| fleet.may_take_work(index).is_err()));
}

/// Guards against the use of evidence from before the clock stopped, with which the view would look
/// younger than it is.
#[test]
fn a_stopped_clock_discards_all_evidence() {
    let mut fleet = formed_fleet(4);
    disconnect_log(&mut fleet, [6]);
    fleet.daemons[6].paused = true;
    fleet.run(secs(3));
    fleet.daemons[6].lose_uptime(secs(3));
    fleet.daemons[6].paused = false;
    let mut stops = 0;
    fleet.run_with(secs(3), |fleet| {
        if fleet.daemons[6].clock_stops > stops {
            stops = fleet.daemons[6].clock_stops;
            assert!(
                fleet.daemons[6]
                    .freshness
                    .age(fleet.daemons[6].uptime(fleet.now))
                    .is_none()
            );
        }
    });
    assert_eq!(stops, 1);
    assert!(
        fleet.may_take_work(6).is_ok(),
        "new evidence makes the view fresh"
    );
    assert!(
        fleet
            .daemons
            .iter()
            .map(|n: &Daemon| n.clock_stops)
            .sum::<u32>()
            == 1
    );
}

/// Guards against datagrams that were queued in the socket during a pause being taken for new
/// evidence.
#[test]
fn datagrams_from_before_a_pause_are_no_evidence() {
    let mut fleet = formed_fleet(5);
    fleet.daemons[8].paused = true;
    fleet.run(secs(5));
    fleet.partition(&[8]);
    disconnect_log(&mut fleet, [8]);
    fleet.run(secs(30));
    fleet.daemons[8].paused = false;
    fleet.run_with(secs(5), |fleet| assert!(fleet.may_take_work(8).is_err()));
}

/// Guards against a daemon whose view counts as fresh although a peer has a later configuration,
/// and against one that uses a peer's evidence for a configuration that it lacks itself.
#[test]
fn a_daemon_behind_a_peer_takes_no_work() {
    let mut fleet = formed_fleet(6);
    disconnect_log(&mut fleet, [2]);
    fleet.config_version = 2;
    fleet.run(secs(5));
    assert_eq!(
        fleet.may_take_work(2).unwrap_err().reason,
        StaleReason::Behind
    );
    fleet.daemons[2].freshness.set_config_version(2);
    fleet.run(secs(2));
    assert!(fleet.may_take_work(2).is_ok());
}

struct Case {
    description: &'static str,
    probe_sent_ms: Option<u64>,
    age_ms: Option<u32>,
    version: u64,
    expected_age_ms: Option<u64>,
}

const ANSWER: Case = Case {
    description: "answer",
    probe_sent_ms: Some(9_900),
    age_ms: Some(400),
    version: 5,
    expected_age_ms: Some(500),
};

const REPORTS: [Case; 6] = [
    ANSWER,
    Case {
        description: "older version than the own",
        version: 4,
        ..ANSWER
    },
    Case {
        description: "later version than the own",
        version: 6,
        expected_age_ms: None,
        ..ANSWER
    },
    Case {
        description: "peer without evidence",
        age_ms: None,
        expected_age_ms: None,
        ..ANSWER
    },
    Case {
        description: "report of a peer with an unknown clock",
        probe_sent_ms: None,
        expected_age_ms: None,
        ..ANSWER
    },
    Case {
        description: "before the clock began",
        age_ms: Some(u32::MAX),
        expected_age_ms: None,
        ..ANSWER
    },
];

/// Guards against a wrong age of the view after a single report. The view must be fresh exactly at
/// the freshness limit and stale 1 ms later.
#[test]
fn a_report_sets_the_age_that_it_proves() {
    for case in REPORTS {
        let mut freshness = Freshness::new(daemon_id(0));
        freshness.set_config_version(5);
        freshness.set_epoch(&epoch(1, 0..3));
        let daemon_status = DaemonStatus {
            config_version: case.version,
            view_age_ms: case.age_ms,
            epoch: 1,
            // Without this, the peer and this daemon would be a majority that does not reach the
            // log.
            reaches_log: true,
            ..DaemonStatus::default()
        };
        let probe_sent = case.probe_sent_ms.map(ms);
        let report = PeerReport {
            peer: daemon_id(1),
            daemon_status,
            probe_sent,
        };
        let verdict = freshness.on_peer_report(secs(10), &report);
        assert_eq!(
            verdict == PeerVerdict::Current,
            case.version <= 5,
            "{}",
            case.description
        );
        assert_eq!(
            freshness.age(secs(10)),
            case.expected_age_ms.map(ms),
            "{}",
            case.description
        );
        let limit = case.expected_age_ms.map(|age| secs(10) + ms(2_000 - age));
        assert_eq!(
            limit.is_some_and(|at| freshness.may_take_new_work(at).is_ok()),
            limit.is_some()
        );
        assert!(limit.is_none_or(|at| freshness.may_take_new_work(at + ms(1)).is_err()));
    }
}

/// Guards against a change that stays unknown to a daemon because a member that lacks the change
/// passes on the outage reports of members that have it. Only member 0 reaches the log here.
#[test]
fn a_daemon_that_is_behind_passes_on_no_outage_ages() {
    let mut members: Vec<Freshness> = (0..5)
        .map(|index| Freshness::new(daemon_id(index)))
        .collect();
    for member in &mut members {
        member.set_epoch(&epoch(1, 0..5));
        member.on_log_read(secs(10));
    }
    let answer = |members: &[Freshness], from: u32, now| PeerReport {
        peer: daemon_id(from),
        daemon_status: members[from as usize].daemon_status(now),
        probe_sent: Some(now),
    };
    // Members 0, 1 and 2 are the majority that has the change.
    for member in &mut members[..3] {
        member.set_config_version(1);
    }
    for second in 13..20 {
        let now = secs(second);
        members[0].on_log_read(now);
        for from in [1, 2] {
            let report = answer(&members, from, now);
            let verdict = members[3].on_peer_report(now, &report);
            assert!(matches!(verdict, PeerVerdict::Behind { .. }));
        }
        let report = answer(&members, 3, now);
        members[4].on_peer_report(now, &report);
        assert!(
            members[4].may_take_new_work(now).is_err(),
            "at {second} s, {:?} without log",
            members[4].members_without_log(now)
        );
    }
}
