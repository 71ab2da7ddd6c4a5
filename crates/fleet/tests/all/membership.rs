//! Tests of failure detection: killed and paused daemons, loss, partitions, restarts and wrong seed
//! addresses.

use crate::driver::{Daemon, Fleet, contact, daemon_id, ms, secs};
use anvilgw_fleet::{MemberEvent, RemovalCause};

const ALL: [u32; 18] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17];
const DETECTION_LIMIT: std::time::Duration = std::time::Duration::from_secs(3);

fn formed_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(18, seed);
    fleet.run(secs(5));
    for index in 0..18 {
        assert_eq!(fleet.live(index), ALL, "view of {index}");
    }
    fleet
}

/// Guards against members that others do not find if all know only the same seed address.
#[test]
fn members_find_each_other_through_one_seed_address() {
    formed_fleet(1);
}

/// Guards against slow or incomplete detection, also when a whole failure domain fails at once.
#[test]
fn killed_members_are_removed_by_all_within_the_limit() {
    struct Case {
        seed: u64,
        killed: &'static [u32],
        loss: f64,
    }
    let cases = [
        Case {
            seed: 1,
            killed: &[4],
            loss: 0.0,
        },
        Case {
            seed: 2,
            killed: &[0],
            loss: 0.05,
        },
        Case {
            seed: 3,
            killed: &[5, 6],
            loss: 0.05,
        },
        Case {
            seed: 4,
            killed: &[0, 3, 6, 9, 12, 15],
            loss: 0.0,
        },
        Case {
            seed: 5,
            killed: &[1, 4, 7, 10, 13, 16],
            loss: 0.02,
        },
    ];
    for case in cases {
        let mut fleet = formed_fleet(case.seed);
        fleet.loss = case.loss;
        for &index in case.killed {
            fleet.daemons[index as usize].down = true;
        }
        fleet.run(DETECTION_LIMIT);
        let expected: Vec<u32> = ALL
            .into_iter()
            .filter(|i| !case.killed.contains(i))
            .collect();
        for &index in &expected {
            assert_eq!(
                fleet.live(index),
                expected,
                "seed {}, view of {index}",
                case.seed
            );
        }
    }
}

/// Guards against the removal of members that answer probes, when datagrams are lost, when a member
/// processes them late, and when one member cannot be reached directly by another.
#[test]
fn members_that_answer_are_not_removed() {
    struct Case {
        seed: u64,
        loss: f64,
        handling_delay_ms: u64,
        blocked: Option<(u32, u32)>,
    }
    let cases = [
        Case {
            seed: 1,
            loss: 0.05,
            handling_delay_ms: 0,
            blocked: None,
        },
        Case {
            seed: 2,
            loss: 0.05,
            handling_delay_ms: 300,
            blocked: None,
        },
        Case {
            seed: 3,
            loss: 0.05,
            handling_delay_ms: 600,
            blocked: None,
        },
        Case {
            seed: 4,
            loss: 0.0,
            handling_delay_ms: 0,
            blocked: Some((3, 4)),
        },
        Case {
            seed: 5,
            loss: 0.05,
            handling_delay_ms: 400,
            blocked: Some((9, 8)),
        },
    ];
    for case in cases {
        let mut fleet = formed_fleet(case.seed);
        fleet.loss = case.loss;
        fleet.daemons[7].handling_delay = ms(case.handling_delay_ms);
        fleet.blocked.extend(case.blocked);
        fleet.run(secs(120));
        let removals: Vec<_> = fleet.daemons.iter().map(Daemon::removals).collect();
        let none = removals.iter().all(Vec::is_empty);
        assert!(none, "seed {}: {removals:?}", case.seed);
    }
}

/// Guards against a member staying in the list although it only sends and receives nothing.
#[test]
fn a_member_that_receives_nothing_is_removed() {
    let mut fleet = formed_fleet(6);
    fleet
        .blocked
        .extend((0..18).filter(|&i| i != 5).map(|i| (i, 5)));
    fleet.run(secs(4));
    assert!(!fleet.live(0).contains(&5));
    fleet.blocked.clear();
    fleet.run(secs(6));
    for index in 0..18 {
        assert_eq!(fleet.live(index), ALL, "view of {index}");
    }
}

/// Guards against a daemon that removes others after a pause because its own timers ran out, and
/// against one that is not accepted again.
#[test]
fn a_paused_member_is_removed_and_rejoins_without_removing_others() {
    let mut fleet = formed_fleet(7);
    fleet.daemons[3].paused = true;
    fleet.run(secs(20));
    assert!(!fleet.live(0).contains(&3));
    fleet.daemons[3].paused = false;
    fleet.run(secs(6));
    for index in 0..18 {
        assert_eq!(fleet.live(index), ALL, "view of {index}");
    }
    assert!(
        fleet.daemons[3].removals().is_empty(),
        "{:?}",
        fleet.daemons[3].events
    );
}

/// Guards against the old process staying in the list beside the new one, and against the new one
/// being ignored because of updates about the old one.
#[test]
fn a_restart_with_the_same_address_replaces_the_old_process() {
    for after in [ms(50), secs(10)] {
        let mut fleet = formed_fleet(8);
        fleet.daemons[9].down = true;
        fleet.run(after);
        fleet.restart(9, 2_000);
        fleet.run(secs(5));
        for index in 0..18 {
            assert_eq!(fleet.live(index), ALL, "view of {index} after {after:?}");
            let ids = fleet.daemons[index as usize].membership.live();
            assert!(ids.contains(&contact(9, 2_000).id) && !ids.contains(&daemon_id(9)));
        }
    }
}

/// Guards against two processes with the same number running on: the one with the earlier start
/// time has to stop. Here the wall clock was set back between their starts.
#[test]
fn a_process_with_an_earlier_start_time_learns_that_it_is_superseded() {
    let mut fleet = formed_fleet(9);
    fleet.restart(2, 500);
    fleet.run(secs(5));
    let events = &fleet.daemons[2].events;
    let superseded =
        |(_, event): &_| matches!(event, MemberEvent::Superseded(id) if *id == daemon_id(2));
    assert!(events.iter().any(superseded), "{events:?}");
}

/// Guards against a leave that is treated as a failure or that reaches only some members.
#[test]
fn a_leave_reaches_all_members() {
    let mut fleet = formed_fleet(10);
    let daemon = &mut fleet.daemons[11];
    let uptime = daemon.uptime(fleet.now);
    let daemon_status = daemon.freshness.daemon_status(uptime);
    let actions = daemon.membership.leave(uptime, &daemon_status);
    fleet.carry_out(11, actions);
    fleet.daemons[11].down = true;
    fleet.run(ms(1_500));
    for index in (0..18).filter(|&i| i != 11) {
        let left = MemberEvent::Removed(contact(11, 1_000), RemovalCause::Left);
        let events = &fleet.daemons[index].events;
        assert!(
            events.iter().any(|(_, event)| *event == left),
            "{index}: {events:?}"
        );
    }
}

/// Guards against the platform's list of instances changing the list of members: its entries come
/// and go, and some name addresses at which no daemon answers.
#[test]
fn flapping_seed_addresses_do_not_change_membership() {
    let mut fleet = formed_fleet(11);
    for round in 0..60 {
        let present = (0..30).filter(|i| (i + round) % 3 != 0);
        let list: Vec<_> = present.map(|i| contact(i, 0).address).collect();
        for daemon in &mut fleet.daemons {
            daemon.membership.add_seed_addresses(&list);
        }
        fleet.run(secs(1));
    }
    for index in 0..18 {
        assert_eq!(fleet.live(index), ALL, "view of {index}");
        assert!(fleet.daemons[index as usize].removals().is_empty());
    }
}

/// Guards against a fleet that stays divided after a partition has ended.
#[test]
fn both_sides_of_a_partition_merge_again() {
    let mut fleet = formed_fleet(12);
    fleet.partition(&[0, 1, 2, 3, 4, 5, 6]);
    fleet.run(secs(120));
    assert_eq!(fleet.live(0), ALL[..7]);
    assert_eq!(fleet.live(17), ALL[7..]);
    fleet.blocked.clear();
    fleet.run(secs(15));
    for index in 0..18 {
        assert_eq!(fleet.live(index), ALL, "view of {index}");
    }
}
