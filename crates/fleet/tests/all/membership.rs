//! Failure detection: kills, pauses, loss, partitions, restarts and wrong seed_addresses.

use crate::driver::{Fleet, Node, contact, daemon, ms, secs};
use anvilgw_fleet::{MemberEvent, RemovalCause};

const ALL: [u32; 18] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17];
const LIMIT: std::time::Duration = std::time::Duration::from_secs(3);

fn formed(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(18, seed);
    fleet.run(secs(5));
    for index in 0..18 {
        assert_eq!(fleet.live(index), ALL, "view of {index}");
    }
    fleet
}

/// Guards against members that are not found through a single seed, or only by some.
#[test]
fn all_find_each_other_through_one_seed() {
    formed(1);
}

/// Guards against slow or incomplete detection, also when a whole failure domain dies at once.
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
        let mut fleet = formed(case.seed);
        fleet.loss = case.loss;
        for &index in case.killed {
            fleet.nodes[index as usize].down = true;
        }
        fleet.run(LIMIT);
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

/// Guards against removals of members that answer: lost datagrams, one member whose handling is
/// delayed, and one that cannot be reached directly by another.
#[test]
fn members_that_answer_are_not_removed() {
    struct Case {
        seed: u64,
        loss: f64,
        slowness_ms: u64,
        cut: Option<(u32, u32)>,
    }
    let cases = [
        Case {
            seed: 1,
            loss: 0.05,
            slowness_ms: 0,
            cut: None,
        },
        Case {
            seed: 2,
            loss: 0.05,
            slowness_ms: 300,
            cut: None,
        },
        Case {
            seed: 3,
            loss: 0.05,
            slowness_ms: 600,
            cut: None,
        },
        Case {
            seed: 4,
            loss: 0.0,
            slowness_ms: 0,
            cut: Some((3, 4)),
        },
        Case {
            seed: 5,
            loss: 0.05,
            slowness_ms: 400,
            cut: Some((9, 8)),
        },
    ];
    for case in cases {
        let mut fleet = formed(case.seed);
        fleet.loss = case.loss;
        fleet.nodes[7].slowness = ms(case.slowness_ms);
        fleet.cut.extend(case.cut);
        fleet.run(secs(120));
        let removals: Vec<_> = fleet.nodes.iter().map(Node::removals).collect();
        let none = removals.iter().all(Vec::is_empty);
        assert!(none, "seed {}: {removals:?}", case.seed);
    }
}

/// Guards against a member that receives nothing but still sends being kept in the view.
#[test]
fn a_member_that_receives_nothing_is_removed() {
    let mut fleet = formed(6);
    fleet
        .cut
        .extend((0..18).filter(|&i| i != 5).map(|i| (i, 5)));
    fleet.run(secs(4));
    assert!(!fleet.live(0).contains(&5));
    fleet.cut.clear();
    fleet.run(secs(6));
    for index in 0..18 {
        assert_eq!(fleet.live(index), ALL, "view of {index}");
    }
}

/// Guards against a paused daemon that judges others by its own late timers, and against one that is
/// never taken back.
#[test]
fn a_paused_member_is_removed_returns_and_removes_nobody() {
    let mut fleet = formed(7);
    fleet.nodes[3].paused = true;
    fleet.run(secs(20));
    assert!(!fleet.live(0).contains(&3));
    fleet.nodes[3].paused = false;
    fleet.run(secs(6));
    for index in 0..18 {
        assert_eq!(fleet.live(index), ALL, "view of {index}");
    }
    assert!(
        fleet.nodes[3].removals().is_empty(),
        "{:?}",
        fleet.nodes[3].events
    );
}

/// Guards against the old process staying in the view beside the new one, and against the new one
/// being refused because of news about the old one.
#[test]
fn a_restart_with_the_same_address_replaces_the_old_process() {
    for after in [ms(50), secs(10)] {
        let mut fleet = formed(8);
        fleet.nodes[9].down = true;
        fleet.run(after);
        fleet.restart(9, 2_000);
        fleet.run(secs(5));
        for index in 0..18 {
            assert_eq!(fleet.live(index), ALL, "view of {index} after {after:?}");
            let ids = fleet.nodes[index as usize].membership.live();
            assert!(ids.contains(&contact(9, 2_000).id) && !ids.contains(&daemon(9)));
        }
    }
}

/// Guards against two processes with one number running on: the one with the earlier start time,
/// here after a step back of the wall clock, has to stop.
#[test]
fn a_process_with_an_earlier_start_time_learns_that_it_is_superseded() {
    let mut fleet = formed(9);
    fleet.restart(2, 500);
    fleet.run(secs(5));
    let events = &fleet.nodes[2].events;
    let superseded =
        |(_, event): &_| matches!(event, MemberEvent::Superseded(id) if *id == daemon(2));
    assert!(events.iter().any(superseded), "{events:?}");
}

/// Guards against a leave that is taken for a failure or reaches only some members.
#[test]
fn a_leave_is_known_to_all_at_once() {
    let mut fleet = formed(10);
    let node = &mut fleet.nodes[11];
    let uptime = node.uptime(fleet.now);
    let daemon_status = node.freshness.daemon_status(uptime);
    let actions = node.membership.leave(uptime, &daemon_status);
    fleet.carry_out(11, actions);
    fleet.nodes[11].down = true;
    fleet.run(ms(1_500));
    for index in (0..18).filter(|&i| i != 11) {
        let left = MemberEvent::Removed(contact(11, 1_000), RemovalCause::Left);
        let events = &fleet.nodes[index].events;
        assert!(
            events.iter().any(|(_, event)| *event == left),
            "{index}: {events:?}"
        );
    }
}

/// Guards against the platform's list of instances deciding on membership: its entries flap, and
/// some name addresses at which nobody answers.
#[test]
fn a_flapping_list_changes_nothing() {
    let mut fleet = formed(11);
    for round in 0..60 {
        let present = (0..30).filter(|i| (i + round) % 3 != 0);
        let list: Vec<_> = present.map(|i| contact(i, 0).address).collect();
        for node in &mut fleet.nodes {
            node.membership.add_seed_addresses(&list);
        }
        fleet.run(secs(1));
    }
    for index in 0..18 {
        assert_eq!(fleet.live(index), ALL, "view of {index}");
        assert!(fleet.nodes[index as usize].removals().is_empty());
    }
}

/// Guards against a fleet that stays divided after a partition.
#[test]
fn both_sides_of_a_partition_merge_again() {
    let mut fleet = formed(12);
    fleet.partition(&[0, 1, 2, 3, 4, 5, 6]);
    fleet.run(secs(120));
    assert_eq!(fleet.live(0), ALL[..7]);
    assert_eq!(fleet.live(17), ALL[7..]);
    fleet.cut.clear();
    fleet.run(secs(15));
    for index in 0..18 {
        assert_eq!(fleet.live(index), ALL, "view of {index}");
    }
}
