//! The lease on weight switches after the metadata store was restored from an older copy.

use crate::log::Log;
use crate::{ORDER_GAP, append, at, record, stored, view};
use anvilgw_gateway::fencing_token::{epoch_of, fencing_token};
use anvilgw_gateway::lease::{AppendResult, LeaseRecord, LeaseStep, LeaseView, StartedAppend};
use anvilgw_gateway::log_position::{LogPosition, StoreEpoch};
use anvilgw_gateway::ports::AppendOutcome;
use std::time::Duration;

/// Longest time for which an order is in transit.
const TRANSIT: Duration = Duration::from_millis(500);
/// Largest integer up to which all are exact in a JSON number that is read as a floating-point one.
const EXACT_MAX: u64 = 1 << 53;

fn position(epoch: u64, offset: u64) -> LogPosition {
    LogPosition {
        epoch: StoreEpoch(epoch),
        offset,
    }
}

fn released(holder: &str, fencing_token: u64) -> LeaseRecord {
    LeaseRecord {
        is_released: true,
        ..record(holder, fencing_token, &[])
    }
}

/// Returns the first time from `from_ms` on at which a daemon may take the lease.
fn free_at(view: &LeaseView, from_ms: u64) -> Duration {
    let times = (from_ms..from_ms + 20_000).map(at);
    let mut free = times.filter(|now| view.acquisition(*now) != LeaseStep::Wait);
    free.next().expect("the lease is free at some time")
}

/// Returns the last time at which a daemon gives orders.
fn last_order_at(view: &LeaseView) -> Duration {
    let mut held = (0..10_000)
        .map(at)
        .filter(|now| view.fencing_token(*now).is_some());
    held.next_back().expect("the daemon holds the lease")
}

struct TokenCase {
    name: &'static str,
    position: LogPosition,
    token: u64,
}

/// Guards against orders that backend servers refuse because tokens fall after a restore, and
/// against tokens that change where the store states no epoch.
#[test]
fn tokens_rise_with_epoch_and_offset() {
    let cases = [
        TokenCase {
            name: "no epoch, first record",
            position: position(0, 0),
            token: 1,
        },
        TokenCase {
            name: "no epoch",
            position: position(0, 70_000),
            token: 70_001,
        },
        TokenCase {
            name: "first restore, first record",
            position: position(1, 0),
            token: (1 << 36) + 1,
        },
        TokenCase {
            name: "first restore",
            position: position(1, 9),
            token: (1 << 36) + 10,
        },
        TokenCase {
            name: "second restore",
            position: position(2, 3),
            token: (2 << 36) + 4,
        },
    ];
    let mut highest = 0;
    for case in cases {
        let token = fencing_token(case.position);
        assert_eq!(token, case.token, "{}", case.name);
        assert_eq!(epoch_of(token), case.position.epoch, "{}", case.name);
        assert!(token > highest, "{}", case.name);
        highest = token;
    }
    let many_restores = fencing_token(position(u64::MAX, 1_000_000_000));
    assert!(many_restores < EXACT_MAX, "the token is exact in JSON");
}

/// Guards against two daemons with one token: an append that got no answer was carried out in the
/// next epoch, and its daemon took the lease with the token of that record.
#[test]
fn the_token_of_a_late_append_is_not_used_again() {
    let mut first = view("a");
    let mut log = Log::default();
    assert!(append(&mut log, &mut first, "a", &[], at(0)));
    let unanswered = first.renewal(at(400), false);
    let LeaseStep::Append {
        offset,
        fencing_token,
    } = unanswered
    else {
        panic!("no renewal");
    };
    let copy = log.records.clone();
    log.restore(&copy);
    let late = log.append_at(offset, record("a", fencing_token, &[]));
    assert_eq!(late, AppendOutcome::Stored(position(1, 1)));
    first.on_append_unconfirmed();
    log.read(&mut first, at(1700));
    let taken_at = free_at(&first, 1700);
    assert!(append(&mut log, &mut first, "a", &[], taken_at));
    let token = first.fencing_token(taken_at);
    assert!(token > Some(fencing_token), "the token rises");
}

struct AnswerCase {
    name: &'static str,
    /// Answer to a renewal at the offset 1 of epoch 0.
    outcome: AppendOutcome,
}

/// Guards against a holder that does not know the records before its own, because its append was
/// answered in another epoch than the one in which it had read the log.
#[test]
fn an_append_in_another_epoch_takes_no_lease() {
    let cases = [
        AnswerCase {
            name: "stored at the expected offset",
            outcome: AppendOutcome::Stored(position(1, 1)),
        },
        AnswerCase {
            name: "the log ends before the offset",
            outcome: AppendOutcome::Conflict(position(1, 0)),
        },
        AnswerCase {
            name: "the log ends beyond the offset",
            outcome: AppendOutcome::Conflict(position(1, 5)),
        },
        AnswerCase {
            name: "stored after two restores",
            outcome: AppendOutcome::Stored(position(2, 1)),
        },
    ];
    for case in cases {
        let mut view = view("a");
        assert!(append(&mut Log::default(), &mut view, "a", &[], at(0)));
        let renewal = StartedAppend {
            record: record("a", 1, &[]),
            started_at: at(400),
        };
        let result = view.on_append_answer(renewal, case.outcome, at(420));
        assert_eq!(result, AppendResult::Restored, "{}", case.name);
        assert_eq!(view.fencing_token(at(420)), None, "{}", case.name);
        let (AppendOutcome::Stored(answer) | AppendOutcome::Conflict(answer)) = case.outcome;
        let start = position(answer.epoch.0, 0);
        assert_eq!(
            view.position(),
            start,
            "{}: the log is read anew",
            case.name
        );
    }
}

/// Guards against an answer of a leader's copy that does not know the newest epoch yet: it must not
/// take a daemon back to an epoch in which offsets mean something else.
#[test]
fn an_answer_of_an_earlier_epoch_changes_nothing() {
    let mut view = view("a");
    view.on_epoch(StoreEpoch(2), at(0));
    view.on_read(&[], 3, at(10));
    view.on_epoch(StoreEpoch(1), at(20));
    assert_eq!(view.position(), position(2, 3));
}

struct CopyCase {
    name: &'static str,
    /// Records that the restored store still has.
    copy: fn() -> Vec<LeaseRecord>,
}

fn copies() -> [CopyCase; 5] {
    [
        CopyCase {
            name: "an empty log",
            copy: Vec::new,
        },
        CopyCase {
            name: "the holder before released the lease",
            copy: || vec![record("c", 1, &[]), released("c", 1)],
        },
        CopyCase {
            name: "a record of the waiting daemon",
            copy: || vec![record("b", 1, &[])],
        },
        CopyCase {
            name: "the holder's first record",
            copy: || vec![record("c", 1, &[]), released("c", 1), record("a", 3, &[])],
        },
        CopyCase {
            name: "the holder released the lease in a late append",
            copy: || {
                let first = [record("c", 1, &[]), released("c", 1)];
                [first, [record("a", 3, &[]), released("a", 3)]].concat()
            },
        },
    ]
}

/// Guards against two daemons that give orders at the same time: the holder's record is lost, and
/// the holder does not know it before it renews the lease.
#[test]
fn no_other_daemon_takes_the_lease_while_an_earlier_holder_may_order() {
    for case in copies() {
        for is_new in [false, true] {
            let mut log = Log {
                records: vec![record("c", 1, &[]), released("c", 1)],
                ..Log::default()
            };
            let (mut first, mut second) = (view("a"), view("b"));
            log.read(&mut first, at(0));
            assert!(append(&mut log, &mut first, "a", &[], at(0)));
            if !is_new {
                log.read(&mut second, at(10));
            }
            log.restore(&(case.copy)());
            log.read(&mut second, at(20));
            let taken_at = free_at(&second, 20);
            let no_order_from = last_order_at(&first) + TRANSIT;
            assert!(taken_at > no_order_from, "{}, {is_new}", case.name);
            assert!(taken_at < at(20) + at(1800), "{}, {is_new}", case.name);
            assert!(append(&mut log, &mut second, "b", &[], taken_at));
            let token = second.fencing_token(taken_at);
            assert!(token > Some(3), "{}: the token rises", case.name);
        }
    }
}

/// Guards against a daemon that waits at its start though the store was never restored.
#[test]
fn a_free_lease_is_taken_at_once_where_the_store_was_not_restored() {
    let mut view = view("a");
    assert!(append(&mut Log::default(), &mut view, "a", &[], at(0)));
    assert!(!view.is_reserved_by_other("s1", at(0)));
}

/// Guards against orders of two daemons to one server within the minimum gap between holders: the
/// announcement of the first order is lost.
#[test]
fn a_successor_orders_no_server_that_an_earlier_holder_may_have_ordered() {
    let (mut first, mut second) = (view("a"), view("b"));
    let mut log = Log::default();
    log.read(&mut second, at(0));
    assert!(append(&mut log, &mut first, "a", &["s1"], at(0)));
    log.restore(&[]);
    log.read(&mut second, at(50));
    let taken_at = free_at(&second, 50);
    assert!(append(&mut log, &mut second, "b", &[], taken_at));
    let last_order_at = last_order_at(&first);
    assert!(second.is_reserved_by_other("s1", last_order_at + ORDER_GAP));
    assert!(!second.is_reserved_by_other("s1", at(50) + ORDER_GAP * 2));
}

struct RetakeCase {
    name: &'static str,
    /// Times from the holder's record on at which the store is restored and the holder reads the log.
    restored_at_ms: &'static [u64],
    is_fenced: bool,
    is_retaken: bool,
}

fn retake_cases() -> [RetakeCase; 5] {
    [
        RetakeCase {
            name: "a restore while the lease is valid",
            restored_at_ms: &[200],
            is_fenced: false,
            is_retaken: true,
        },
        RetakeCase {
            name: "two restores while the lease is valid",
            restored_at_ms: &[200, 900],
            is_fenced: false,
            is_retaken: true,
        },
        RetakeCase {
            name: "a restore after the end of the lease",
            restored_at_ms: &[1300],
            is_fenced: false,
            is_retaken: false,
        },
        RetakeCase {
            name: "a second restore after the end of the lease",
            restored_at_ms: &[200, 1300],
            is_fenced: false,
            is_retaken: false,
        },
        RetakeCase {
            name: "a server has seen a higher token",
            restored_at_ms: &[200],
            is_fenced: true,
            is_retaken: false,
        },
    ]
}

/// Guards against switches that stand still for seconds after a restore, though no daemon but the
/// holder can have given orders. Later, another daemon may have done so.
#[test]
fn a_holder_takes_its_lease_anew_at_once_while_it_is_valid() {
    for case in retake_cases() {
        let mut view = view("a");
        let mut log = Log {
            records: vec![record("c", 1, &["s1"])],
            ..Log::default()
        };
        log.read(&mut view, at(0));
        let held_from = at(10_000);
        assert!(append(&mut log, &mut view, "a", &[], held_from));
        if case.is_fenced {
            view.on_fenced(held_from + at(100));
        }
        let mut read_at = held_from;
        for restored_at_ms in case.restored_at_ms {
            read_at = held_from + at(*restored_at_ms);
            log.restore(&[record("c", 1, &["s1"])]);
            log.read(&mut view, read_at);
            assert_eq!(view.fencing_token(read_at), None, "{}", case.name);
        }
        let is_retaken = append(&mut log, &mut view, "a", &[], read_at);
        assert_eq!(is_retaken, case.is_retaken, "{}", case.name);
        if is_retaken {
            let token = view.fencing_token(read_at);
            assert!(token > Some(2), "{}: the token rises", case.name);
            let is_reserved = view.is_reserved_by_other("s1", read_at);
            assert!(!is_reserved, "{}: nobody else ordered", case.name);
        }
    }
}

/// Guards against orders of two daemons to one server within the minimum gap between holders: a
/// holder of the second epoch takes its lease anew in the third, and an order of the first epoch is
/// still unknown.
#[test]
fn a_lease_that_is_taken_anew_keeps_what_is_unknown_of_earlier_holders() {
    let mut view = view("a");
    let mut log = Log::default();
    log.restore(&[]);
    log.read(&mut view, at(0));
    let taken_at = free_at(&view, 0);
    assert!(append(&mut log, &mut view, "a", &[], taken_at));
    log.restore(&[]);
    let read_at = taken_at + at(100);
    log.read(&mut view, read_at);
    assert!(append(&mut log, &mut view, "a", &[], read_at));
    assert!(view.is_reserved_by_other("s1", taken_at + at(2_900)));
    assert!(!view.is_reserved_by_other("s1", taken_at + at(3_100)));
}

/// Guards against a late append of an earlier epoch that frees the lease of a later holder.
#[test]
fn a_late_release_does_not_free_the_lease_of_another_daemon() {
    let mut third = view("c");
    let mut log = Log::default();
    log.restore(&[]);
    let first_token = fencing_token(position(1, 0));
    assert_eq!(
        log.append_at(0, record("b", first_token, &[])),
        AppendOutcome::Stored(position(1, 0))
    );
    assert_eq!(
        log.append_at(1, released("a", 2)),
        AppendOutcome::Stored(position(1, 1))
    );
    third.on_epoch(log.epoch, at(0));
    log.read(&mut third, at(5_000));
    assert_eq!(third.acquisition(at(5_010)), LeaseStep::Wait);
}

struct EndCase {
    name: &'static str,
    /// Number of records of the new holder, after a copy of one record.
    new_records: u64,
}

/// Guards against a daemon that reads on at its old offset and does not learn of a new holder.
#[test]
fn the_holder_is_known_wherever_the_restored_log_ends() {
    let cases = [
        EndCase {
            name: "before the offset read on from",
            new_records: 1,
        },
        EndCase {
            name: "at the offset",
            new_records: 2,
        },
        EndCase {
            name: "beyond the offset",
            new_records: 4,
        },
    ];
    for case in cases {
        let mut second = view("b");
        let mut log = Log {
            records: vec![record("a", 1, &[]); 3],
            ..Log::default()
        };
        log.read(&mut second, at(0));
        assert_eq!(second.position(), position(0, 3), "{}", case.name);
        log.restore(&[record("a", 1, &[])]);
        let token = fencing_token(position(1, 1));
        for _ in 0..case.new_records {
            log.records.push(record("c", token, &["s1"]));
        }
        second.on_epoch(log.epoch, at(100));
        log.read(&mut second, at(9_000));
        assert_eq!(second.position(), log.end(), "{}", case.name);
        assert_eq!(
            second.acquisition(at(9_010)),
            LeaseStep::Wait,
            "{}",
            case.name
        );
        assert!(
            second.is_reserved_by_other("s1", at(9_010)),
            "{}",
            case.name
        );
    }
}

struct KnownCase {
    name: &'static str,
    offset: u64,
    fencing_token: u64,
    is_known: bool,
}

/// Guards against records that are applied again when the log is read anew, and replace what newer
/// records told that the store has lost.
#[test]
fn records_that_were_read_in_an_earlier_epoch_are_known() {
    let in_epoch_1 = fencing_token(position(1, 2));
    let cases = [
        KnownCase {
            name: "read before",
            offset: 2,
            fencing_token: 1,
            is_known: true,
        },
        KnownCase {
            name: "not read before",
            offset: 3,
            fencing_token: 1,
            is_known: false,
        },
        KnownCase {
            name: "written after the restore",
            offset: 2,
            fencing_token: in_epoch_1,
            is_known: false,
        },
    ];
    let mut view = view("b");
    let first = stored(0, record("a", 1, &[]));
    assert!(!view.is_known(&first));
    view.on_read(&[first], 3, at(0));
    assert!(!view.is_known(&stored(2, record("a", 1, &[]))));
    // A second restore before the log was read anew.
    for epoch in [1, 2] {
        view.on_epoch(StoreEpoch(epoch), at(100));
        for case in &cases {
            let read = stored(case.offset, record("a", case.fencing_token, &[]));
            assert_eq!(view.is_known(&read), case.is_known, "{}", case.name);
        }
    }
}
