//! Tests of the lease on weight switches.

mod log;
mod restored;
mod seeded_restores;

use crate::log::Log;
use anvilgw_gateway::lease::{
    AppendResult, LeaseRecord, LeaseStep, LeaseView, ServerWeights, StartedAppend, StoredRecord,
};
use std::time::Duration;

const ORDER_GAP: Duration = Duration::from_secs(3);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn view(holder: &str) -> LeaseView {
    LeaseView::new(holder.to_owned(), 1, ORDER_GAP)
}

fn to_version_2(server: &str) -> ServerWeights {
    ServerWeights {
        server: server.to_owned(),
        model: "lumen".to_owned(),
        version: 2,
    }
}

fn record(holder: &str, fencing_token: u64, switching: &[&str]) -> LeaseRecord {
    LeaseRecord {
        holder: holder.to_owned(),
        incarnation: 1,
        fencing_token,
        switching: switching.iter().map(|id| to_version_2(id)).collect(),
        loaded: Vec::new(),
        cancelled: Vec::new(),
        is_released: false,
    }
}

fn stored(offset: u64, record: LeaseRecord) -> StoredRecord {
    StoredRecord { offset, record }
}

/// Appends a record as the daemon's view demands. Returns whether the record was stored.
fn append(
    log: &mut Log,
    view: &mut LeaseView,
    holder: &str,
    switching: &[&str],
    now: Duration,
) -> bool {
    log.append(view, |token| record(holder, token, switching), now)
}

/// Guards against two daemons that give orders at the same time because they started together.
#[test]
fn only_one_of_two_daemons_that_start_together_holds_the_lease() {
    let (mut first, mut second) = (view("a"), view("b"));
    let mut log = Log::default();
    assert!(append(&mut log, &mut first, "a", &[], at(0)));
    assert!(!append(&mut log, &mut second, "b", &[], at(0)));
    assert!(first.fencing_token(at(10)).is_some());
    assert_eq!(second.fencing_token(at(10)), None);
    log.read(&mut second, at(20));
    assert_eq!(second.acquisition(at(30)), LeaseStep::Wait);
}

/// Guards against a holder that was paused and gives orders at the same time as its successor.
#[test]
fn holder_gives_no_orders_once_a_successor_can_take_over() {
    let (mut first, mut second) = (view("a"), view("b"));
    let mut log = Log::default();
    assert!(append(&mut log, &mut first, "a", &["s1"], at(0)));
    log.read(&mut second, at(5));
    let taken_at = (0..10_000)
        .map(at)
        .find(|now| second.acquisition(*now) != LeaseStep::Wait)
        .expect("the lease of a vanished holder is taken over");
    assert_eq!(first.fencing_token(taken_at), None);
    assert!(append(&mut log, &mut second, "b", &["s2"], taken_at));
    assert!(
        second.fencing_token(taken_at) > Some(1),
        "fencing tokens increase"
    );
}

/// Guards against a switch that stands still because the holder's daemon stops: the others waited
/// for its lease to end, once for each daemon when all are restarted in turn.
#[test]
fn a_released_lease_is_taken_at_once() {
    let (mut first, mut second) = (view("a"), view("b"));
    let mut log = Log::default();
    assert!(append(&mut log, &mut first, "a", &["s1"], at(0)));
    let released = LeaseRecord {
        is_released: true,
        ..record("a", 1, &[])
    };
    let release = StartedAppend {
        record: released.clone(),
        started_at: at(500),
    };
    let outcome = log.append_at(1, released);
    assert_eq!(
        first.on_append_answer(release, outcome, at(500)),
        AppendResult::Stored
    );
    assert_eq!(first.fencing_token(at(500)), None);
    log.read(&mut second, at(510));
    assert!(append(&mut log, &mut second, "b", &["s2"], at(520)));
    assert!(second.fencing_token(at(530)) > Some(1), "tokens increase");
    assert!(second.is_reserved_by_other("s1", at(530)));
    log.read(&mut first, at(540));
    assert_eq!(first.acquisition(at(550)), LeaseStep::Wait);
}

/// Guards against records of a daemon that does not know all fields of this one's.
#[test]
fn records_without_the_newer_fields_are_read() {
    let text = r#"{"holder":"a","incarnation":1,"fencing_token":1,"switching":[]}"#;
    let parsed: LeaseRecord = serde_json::from_str(text).expect("record");
    assert_eq!(parsed, record("a", 1, &[]));
}

/// Guards against orders of two daemons to one server within the minimum gap between holders.
#[test]
fn successor_waits_before_it_orders_announced_servers() {
    let (mut first, mut second) = (view("a"), view("b"));
    let mut log = Log::default();
    assert!(append(&mut log, &mut first, "a", &["s1"], at(0)));
    log.read(&mut second, at(100));
    let last_order = (0..10_000)
        .map(at)
        .rfind(|now| first.fencing_token(*now).is_some())
        .expect("the first daemon holds the lease");
    assert!(second.is_reserved_by_other("s1", last_order + ORDER_GAP));
    assert!(!second.is_reserved_by_other("s1", at(100) + ORDER_GAP * 3));
    assert!(!second.is_reserved_by_other("s2", at(100)));
}

struct LossCase {
    name: &'static str,
    lose: fn(&mut LeaseView),
}

/// Guards against orders under a lease that may have been lost.
#[test]
fn holder_stops_at_once_when_its_lease_may_be_lost() {
    let cases = [
        LossCase {
            name: "another daemon appended",
            lose: |view| view.on_append_unconfirmed(),
        },
        LossCase {
            name: "a server saw a higher fencing token",
            lose: |view| view.on_fenced(at(100)),
        },
        LossCase {
            name: "another daemon's record was read",
            lose: |view| view.on_read(&[stored(1, record("b", 2, &[]))], 2, at(100)),
        },
    ];
    for case in cases {
        let mut view = view("a");
        assert!(
            append(&mut Log::default(), &mut view, "a", &[], at(0)),
            "{}",
            case.name
        );
        (case.lose)(&mut view);
        assert_eq!(view.fencing_token(at(100)), None, "{}", case.name);
    }
}
