//! Tests of epochs: concurrent writers, repeated and missing records, and the conditions for a
//! proposal.

use crate::driver::{daemon_id, ms, secs};
use anvilgw_core::{DaemonId, Offset};
use anvilgw_fleet::{
    EpochAction, EpochFold, EpochProposer, EpochRecord, EpochStatus, EpochVerdict, FoldError,
    OwnedResource, OwnershipTracker, RecordId, owner_of,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn record(id: u128, expected: u64, members: &[u32]) -> EpochRecord {
    EpochRecord {
        id: RecordId(id),
        expected,
        members: members.iter().copied().map(daemon_id).collect(),
        proposer: daemon_id(members[0]),
    }
}

/// Guards against two epochs with the same number, a repeated append that counts twice, and an
/// unreadable record that stops the fold.
#[test]
fn the_first_record_with_the_expected_epoch_wins() {
    let mut fold = EpochFold::new();
    let first = record(1, 0, &[1, 2, 3]);
    let steps = [
        (first.encode(), EpochVerdict::Accepted, 1),
        (record(2, 0, &[4]).encode(), EpochVerdict::Lost, 1),
        (first.encode(), EpochVerdict::Lost, 1),
        (vec![0xff; 40], EpochVerdict::Undecodable, 1),
        (record(3, 1, &[1, 2]).encode(), EpochVerdict::Accepted, 2),
        (record(4, 1, &[1]).encode(), EpochVerdict::Lost, 2),
        (record(5, u64::MAX, &[1]).encode(), EpochVerdict::Lost, 2),
    ];
    for (at, (payload, verdict, number)) in steps.iter().enumerate() {
        assert_eq!(
            fold.apply(Offset(at as u64), payload).as_ref(),
            Ok(verdict),
            "step {at}"
        );
        assert_eq!(fold.number(), *number, "step {at}");
    }
    let gap = fold.apply(Offset(9), &record(6, 2, &[1]).encode());
    assert_eq!(gap, Err(FoldError::Gap(Offset(7), Offset(9))));
    assert_eq!(
        fold.apply(Offset(0), &first.encode()),
        Ok(EpochVerdict::AlreadyApplied)
    );
    assert_eq!(fold.number(), 2);
}

/// Guards against a member that is listed twice after a restart, which would give it two shares.
#[test]
fn the_later_process_with_a_number_is_the_member() {
    let mut fold = EpochFold::new();
    let later = DaemonId {
        index: 2,
        incarnation: 5_000,
    };
    let mut both = record(1, 0, &[2, 1]);
    both.members.push(later);
    fold.apply(Offset(0), &both.encode()).unwrap();
    assert_eq!(fold.current().unwrap().members, [daemon_id(1), later]);
}

struct Proposer {
    proposer: EpochProposer,
    rng: StdRng,
}

impl Proposer {
    fn new() -> Self {
        Self {
            proposer: EpochProposer::new(daemon_id(0)),
            rng: StdRng::seed_from_u64(1),
        }
    }

    fn tick(
        &mut self,
        at_ms: u64,
        fold: &EpochFold,
        live: &[u32],
        lease: bool,
    ) -> Option<EpochRecord> {
        let live: Vec<_> = live.iter().copied().map(daemon_id).collect();
        let action = self.proposer.tick(
            ms(at_ms),
            fold,
            &live,
            &[daemon_id(9)],
            lease,
            &mut self.rng,
        );
        action.map(|EpochAction::Append(record)| record)
    }
}

/// Guards against an epoch for every short change, a proposal without the lease, and a second
/// record when the answer to the first append was lost.
#[test]
fn settled_changes_are_proposed_once() {
    let mut fold = EpochFold::new();
    let mut proposer = Proposer::new();
    assert!(proposer.tick(1_000, &fold, &[0, 1, 2], false).is_none());
    assert!(
        proposer.tick(1_500, &fold, &[0, 1, 2], true).is_none(),
        "not settled"
    );
    let first = proposer
        .tick(2_000, &fold, &[0, 1, 2], true)
        .expect("settled");
    assert!(
        proposer.tick(2_100, &fold, &[0, 1, 2], true).is_none(),
        "already appended"
    );
    assert_eq!(
        proposer.tick(4_000, &fold, &[0, 1, 2], true),
        Some(first.clone()),
        "appended again after a lost answer"
    );
    fold.apply(Offset(0), &first.encode()).unwrap();
    fold.apply(Offset(1), &first.encode()).unwrap();
    assert!(proposer.tick(4_100, &fold, &[0, 1, 2], true).is_none());
    assert_eq!(proposer.proposer.status(), EpochStatus::Settled);
    assert!(proposer.tick(5_000, &fold, &[0, 1], true).is_none());
    assert!(
        proposer.tick(8_000, &fold, &[0, 1], true).is_none(),
        "too soon after the last epoch"
    );
    let second = proposer
        .tick(9_200, &fold, &[0, 1], true)
        .expect("settled again");
    assert_eq!((second.expected, second.members.len()), (1, 2));
}

/// Guards against an epoch without members that may run with their shares on the other side of a
/// partition.
#[test]
fn no_epoch_is_proposed_without_a_majority_of_the_last_one() {
    struct Case {
        live: &'static [u32],
        accounted: usize,
    }
    let cases = [
        Case {
            live: &[0, 1, 20, 21, 22, 23],
            accounted: 3,
        },
        Case {
            live: &[0, 20, 21, 22, 23],
            accounted: 2,
        },
        Case {
            live: &[0, 1, 2],
            accounted: 4,
        },
    ];
    for case in cases {
        let mut fold = EpochFold::new();
        fold.apply(Offset(0), &record(1, 0, &[0, 1, 2, 3, 4, 9]).encode())
            .unwrap();
        let mut proposer = Proposer::new();
        proposer.tick(0, &fold, case.live, true);
        let proposed = proposer.tick(20_000, &fold, case.live, true).is_some();
        assert_eq!(proposed, case.accounted > 3, "{:?}", case.live);
        if !proposed {
            let expected = EpochStatus::NoMajority {
                accounted: case.accounted,
                members: 6,
            };
            assert_eq!(proposer.proposer.status(), expected);
            proposer.proposer.force_next_epoch();
            assert!(
                proposer.tick(20_100, &fold, case.live, true).is_some(),
                "forced by an operator"
            );
        }
    }
}

/// Guards against ownership that moves more than needed, and against an owner that acts before its
/// predecessor is certain to have stopped.
#[test]
fn added_ownership_is_delayed_and_kept_ownership_is_not() {
    let members: Vec<_> = (0..18).map(daemon_id).collect();
    let without: Vec<_> = members.iter().copied().filter(|m| m.index != 5).collect();
    let resources: Vec<_> = (0..64).map(OwnedResource::ClaimPartition).collect();
    for &resource in &resources {
        let before = owner_of(resource, &members);
        let moved = before != owner_of(resource, &without);
        assert_eq!(
            moved,
            before == Some(daemon_id(5)),
            "only resources of member 5 move"
        );
    }
    let epoch = |number, members: &[DaemonId]| anvilgw_fleet::Epoch {
        number,
        members: members.to_vec(),
        record: RecordId(number.into()),
    };
    for own in without.iter().copied() {
        let mut tracker = OwnershipTracker::new(own);
        tracker.on_epoch(&epoch(1, &members), secs(1));
        for &resource in &resources {
            assert!(
                !tracker.may_act(resource, secs(3)),
                "ownership of the first epoch is delayed"
            );
            let owns = owner_of(resource, &members) == Some(own);
            assert_eq!(tracker.may_act(resource, ms(3_500)), owns);
        }
        tracker.on_epoch(&epoch(2, &without), secs(10));
        tracker.on_epoch(&epoch(3, &without), secs(11));
        for &resource in &resources {
            let owned = owner_of(resource, &members) == Some(own);
            let owns = owner_of(resource, &without) == Some(own);
            assert_eq!(
                tracker.may_act(resource, secs(12)),
                owned && owns,
                "kept without a delay"
            );
            assert_eq!(
                tracker.may_act(resource, ms(12_600)),
                owns,
                "added after the delay"
            );
        }
    }
}
