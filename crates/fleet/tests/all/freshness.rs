//! Age of the view: isolation, outages of the log, stopped clocks and old datagrams.

use crate::driver::{Fleet, Node, daemon, epoch, ms, secs};
use anvilgw_fleet::{DaemonStatus, Freshness, PeerReport, PeerVerdict, StaleReason};

fn formed(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(18, seed);
    fleet.run(secs(20));
    fleet
}

fn without_log(fleet: &mut Fleet, nodes: impl IntoIterator<Item = usize>) {
    for index in nodes {
        fleet.nodes[index].reaches_log = false;
    }
}

fn workers(fleet: &Fleet) -> Vec<u32> {
    (0..18)
        .filter(|&index| fleet.may_work(index).is_ok())
        .collect()
}

/// Guards against a daemon that is cut off from everything and goes on with an old configuration,
/// and against others that stop because of it.
#[test]
fn an_isolated_daemon_stops_and_the_others_go_on() {
    let mut fleet = formed(1);
    fleet.partition(&[4]);
    without_log(&mut fleet, [4]);
    fleet.run_with(secs(30), |fleet| {
        let at_work = workers(fleet);
        assert!((0..18).filter(|&i| i != 4).all(|i| at_work.contains(&i)));
        if fleet.now > secs(20) + ms(2_600) {
            assert_eq!(fleet.may_work(4).unwrap_err().reason, StaleReason::Isolated);
        }
    });
}

/// Guards against a fleet that stops, even for a moment, because the log service is down.
#[test]
fn an_outage_of_the_log_for_all_stops_nobody() {
    for seed in 1..4 {
        let mut fleet = formed(seed);
        fleet.loss = 0.01;
        without_log(&mut fleet, 0..18);
        fleet.run_with(secs(60), |fleet| {
            assert_eq!(workers(fleet).len(), 18, "at {:?}, seed {seed}", fleet.now);
        });
    }
}

/// Guards against a minority that goes on without the log, a majority that stops, and a side with
/// the log that stops.
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
        let mut fleet = formed(2);
        fleet.partition(&[0, 1, 2, 3, 4, 5, 6]);
        without_log(
            &mut fleet,
            (0..18).filter(|index| !case.log.contains(index)),
        );
        fleet.run(secs(4));
        let expected: Vec<u32> = case.working.clone().collect();
        fleet.run_with(secs(20), |fleet| {
            assert_eq!(workers(fleet), expected, "log {:?}", case.log);
        });
    }
}

/// Guards against a majority that is counted among the survivors only: after half of the members
/// were cut off, the rest cannot tell their death from a partition.
#[test]
fn dead_members_of_the_epoch_count_in_the_base() {
    let mut fleet = formed(3);
    for index in 0..9 {
        fleet.nodes[index].down = true;
    }
    without_log(&mut fleet, 0..18);
    fleet.run(secs(10));
    assert!((9..18).all(|index| fleet.may_work(index).is_err()));
}

/// Guards against evidence being used after the clock stopped: the age would look smaller than it is.
#[test]
fn a_stopped_clock_discards_all_evidence() {
    let mut fleet = formed(4);
    without_log(&mut fleet, [6]);
    fleet.nodes[6].paused = true;
    fleet.run(secs(3));
    fleet.nodes[6].lose_time(secs(3));
    fleet.nodes[6].paused = false;
    let mut stops = 0;
    fleet.run_with(secs(3), |fleet| {
        if fleet.nodes[6].clock_stops > stops {
            stops = fleet.nodes[6].clock_stops;
            assert!(
                fleet.nodes[6]
                    .freshness
                    .age(fleet.nodes[6].uptime(fleet.now))
                    .is_none()
            );
        }
    });
    assert_eq!(stops, 1);
    assert!(fleet.may_work(6).is_ok(), "new evidence ends the stop");
    assert!(
        fleet
            .nodes
            .iter()
            .map(|n: &Node| n.clock_stops)
            .sum::<u32>()
            == 1
    );
}

/// Guards against datagrams that waited in the socket during a pause being taken for new evidence.
#[test]
fn datagrams_from_before_a_pause_are_no_evidence() {
    let mut fleet = formed(5);
    fleet.nodes[8].paused = true;
    fleet.run(secs(5));
    fleet.partition(&[8]);
    without_log(&mut fleet, [8]);
    fleet.run(secs(30));
    fleet.nodes[8].paused = false;
    fleet.run_with(secs(5), |fleet| assert!(fleet.may_work(8).is_err()));
}

/// Guards against a daemon that counts as fresh although a peer knows a later configuration, and
/// against one that counts a peer's evidence for a configuration that it lacks itself.
#[test]
fn a_later_version_elsewhere_is_no_evidence() {
    let mut fleet = formed(6);
    without_log(&mut fleet, [2]);
    fleet.config_version = 2;
    fleet.run(secs(5));
    assert_eq!(fleet.may_work(2).unwrap_err().reason, StaleReason::Behind);
    fleet.nodes[2].freshness.set_config_version(2);
    fleet.run(secs(2));
    assert!(fleet.may_work(2).is_ok());
}

struct Case {
    about: &'static str,
    probe_sent_ms: Option<u64>,
    age_ms: Option<u32>,
    version: u64,
    expected_age_ms: Option<u64>,
}

const ANSWER: Case = Case {
    about: "answer",
    probe_sent_ms: Some(9_900),
    age_ms: Some(400),
    version: 5,
    expected_age_ms: Some(500),
};

const REPORTS: [Case; 6] = [
    ANSWER,
    Case {
        about: "older version than the own",
        version: 4,
        ..ANSWER
    },
    Case {
        about: "later version than the own",
        version: 6,
        expected_age_ms: None,
        ..ANSWER
    },
    Case {
        about: "peer without evidence",
        age_ms: None,
        expected_age_ms: None,
        ..ANSWER
    },
    Case {
        about: "report of an unknown clock",
        probe_sent_ms: None,
        expected_age_ms: None,
        ..ANSWER
    },
    Case {
        about: "before the clock began",
        age_ms: Some(u32::MAX),
        expected_age_ms: None,
        ..ANSWER
    },
];

/// Guards against errors in the age that single reports give, at the limit and beside it.
#[test]
fn reports_give_the_age_they_prove() {
    for case in REPORTS {
        let mut freshness = Freshness::new(daemon(0));
        freshness.set_config_version(5);
        freshness.set_epoch(&epoch(1, 0..3));
        let daemon_status = DaemonStatus {
            config_version: case.version,
            view_age_ms: case.age_ms,
            epoch: 1,
            // Otherwise the peer and this daemon are a majority without the log.
            reaches_log: true,
            ..DaemonStatus::default()
        };
        let probe_sent = case.probe_sent_ms.map(ms);
        let report = PeerReport {
            peer: daemon(1),
            daemon_status,
            probe_sent,
        };
        let verdict = freshness.on_peer_report(secs(10), &report);
        assert_eq!(
            verdict == PeerVerdict::Current,
            case.version <= 5,
            "{}",
            case.about
        );
        assert_eq!(
            freshness.age(secs(10)),
            case.expected_age_ms.map(ms),
            "{}",
            case.about
        );
        let limit = case.expected_age_ms.map(|age| secs(10) + ms(2_000 - age));
        assert_eq!(
            limit.is_some_and(|at| freshness.may_take_new_work(at).is_ok()),
            limit.is_some()
        );
        assert!(limit.is_none_or(|at| freshness.may_take_new_work(at + ms(1)).is_err()));
    }
}

/// Guards against a change that stays unknown to a daemon while the reports of members that have
/// applied it reach that daemon through one that has not. All members but one have no log here.
#[test]
fn a_daemon_that_is_behind_does_not_vouch_for_those_ahead() {
    let mut members: Vec<Freshness> = (0..5).map(|index| Freshness::new(daemon(index))).collect();
    for member in &mut members {
        member.set_epoch(&epoch(1, 0..5));
        member.on_log_read(secs(10));
    }
    let answer = |members: &[Freshness], from: u32, now| PeerReport {
        peer: daemon(from),
        daemon_status: members[from as usize].daemon_status(now),
        probe_sent: Some(now),
    };
    // Members 0, 1 and 2 are the majority that has the change; only member 0 reads the log.
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
