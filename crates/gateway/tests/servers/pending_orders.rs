//! Engines that may still carry out an order to load weights are not read from.

use crate::fixture::{Fixture, MODEL, at, entry, events, named_prompt, store};
use anvilgw_gateway::lease::{CancelledSwitch, LeaseRecord, ServerWeights};
use anvilgw_gateway::server::{ServedModel, Server};
use anvilgw_gateway::weights::apply_records;

/// Returns an engine other than the selected one, from which the prompt's long part is read.
fn read_engine(fixture: &mut Fixture) -> Option<String> {
    let selected = fixture.place(&named_prompt(), at(2)).expect("server");
    let source = selected.cache.expect("a generation").plan.parts[1].fetch?;
    let mut servers = fixture.servers.iter();
    let (_, server) = servers.find(|(_, server)| server.entry.address == source)?;
    Some(server.entry.id.clone())
}

fn fixture() -> Fixture {
    let mut fixture = Fixture::new(&["s1", "s2"]);
    let store = fixture.caches.set_stores(&[store(8001)])[0];
    fixture.caches.on_events(store, events(&[], 1), at(1));
    fixture
}

fn weights(server: &str, version: u64) -> ServerWeights {
    ServerWeights {
        server: server.to_owned(),
        model: MODEL.to_owned(),
        version,
    }
}

fn record() -> LeaseRecord {
    LeaseRecord {
        holder: "g1".to_owned(),
        incarnation: 1,
        fencing_token: 1,
        switching: Vec::new(),
        loaded: Vec::new(),
        cancelled: Vec::new(),
        is_released: false,
    }
}

fn announced(server: &str, version: u64) -> LeaseRecord {
    LeaseRecord {
        switching: vec![weights(server, version)],
        ..record()
    }
}

fn cancelled(server: &str, version: u64, order_left_ms: u64) -> LeaseRecord {
    let cancelled = CancelledSwitch {
        weights: weights(server, version),
        order_left_ms,
    };
    LeaseRecord {
        cancelled: vec![cancelled],
        ..record()
    }
}

fn loaded(server: &str, version: u64) -> LeaseRecord {
    LeaseRecord {
        loaded: vec![weights(server, version)],
        ..record()
    }
}

struct RecordCase {
    name: &'static str,
    records: fn(&str) -> Vec<LeaseRecord>,
    /// Time in milliseconds up to which the engine gets no requests.
    blocked_until_ms: u64,
    /// Time in milliseconds up to which nothing is read from the engine.
    unread_until_ms: u64,
    /// Whether the old engine reads from it at once.
    is_read: bool,
}

fn record_cases() -> [RecordCase; 5] {
    [
        RecordCase {
            name: "announced, and the holder vanished",
            records: |id| vec![announced(id, 2)],
            blocked_until_ms: 6_000,
            unread_until_ms: 13_700,
            is_read: false,
        },
        RecordCase {
            name: "cancelled without an answer to the order",
            records: |id| vec![announced(id, 2), cancelled(id, 2, 11_000)],
            blocked_until_ms: 0,
            unread_until_ms: 11_000,
            is_read: false,
        },
        RecordCase {
            name: "rejected",
            records: |id| vec![announced(id, 2), cancelled(id, 2, 0)],
            blocked_until_ms: 0,
            unread_until_ms: 0,
            is_read: true,
        },
        RecordCase {
            name: "a second order is rejected after one without an answer",
            records: |id| {
                let first = [announced(id, 2), cancelled(id, 2, 11_000)];
                [first, [announced(id, 2), cancelled(id, 2, 9_000)]].concat()
            },
            blocked_until_ms: 0,
            unread_until_ms: 9_000,
            is_read: false,
        },
        RecordCase {
            name: "loaded after a later order",
            records: |id| {
                let first = [announced(id, 2), cancelled(id, 2, 11_000)];
                [first, [announced(id, 3), loaded(id, 3)]].concat()
            },
            blocked_until_ms: 0,
            unread_until_ms: 0,
            is_read: false,
        },
    ]
}

/// Guards against parts of two weights that are mixed: an order without an answer is carried out up
/// to 12 s after it was sent, although the server reported before that it loads nothing. Also guards
/// against servers that get no requests, or are not read from, after that is ruled out.
#[test]
fn nothing_is_read_from_an_engine_while_an_order_may_take_effect() {
    for case in record_cases() {
        let mut fixture = fixture();
        let id = read_engine(&mut fixture).expect("an engine");
        let records = (case.records)(&id);
        apply_records(&mut fixture.servers, &records, at(0));
        let key = fixture.servers.key_of(&id).expect("known");
        let server = fixture.servers.get(key).expect("known");
        for ms in [
            1, 5_999, 6_000, 8_999, 9_000, 10_999, 11_000, 13_699, 13_700,
        ] {
            let is_blocked = ms < case.blocked_until_ms;
            assert_eq!(
                server.is_switching(at(ms)),
                is_blocked,
                "{}: {ms} ms",
                case.name
            );
            let is_pending = ms < case.unread_until_ms;
            let until = server.order_pending_until(at(ms));
            assert_eq!(until.is_some(), is_pending, "{}: {ms} ms", case.name);
        }
        let is_read = read_engine(&mut fixture) == Some(id);
        assert_eq!(is_read, case.is_read, "{}", case.name);
    }
}

struct StatementCase {
    name: &'static str,
    change: fn(&mut Fixture, &str),
    is_pending: bool,
}
fn with_server(fixture: &mut Fixture, id: &str, change: fn(&mut Server)) {
    let key = fixture.servers.key_of(id).expect("known");
    change(fixture.servers.get_mut(key).expect("known"));
}

fn statement_cases() -> [StatementCase; 7] {
    [
        StatementCase {
            name: "heartbeat",
            change: |fixture, id| {
                fixture.servers.on_entry_published(entry(id), at(10));
            },
            is_pending: true,
        },
        StatementCase {
            name: "restart",
            change: |fixture, id| {
                let mut started = entry(id);
                started.started_at_ms = Some(2);
                fixture.servers.on_entry_published(started, at(10));
            },
            is_pending: false,
        },
        StatementCase {
            name: "new version in the entry",
            change: |fixture, id| {
                let mut switched = entry(id);
                switched.models[0].version = 2;
                fixture.servers.on_entry_published(switched, at(10));
            },
            is_pending: false,
        },
        StatementCase {
            name: "entry that expired and came back",
            change: |fixture, id| {
                fixture.servers.on_entry_removed(id, at(0), at(10));
                fixture.servers.on_entry_published(entry(id), at(20));
            },
            is_pending: true,
        },
        StatementCase {
            name: "idle, with as many accepted orders as before",
            change: |fixture, id| with_server(fixture, id, |server| server.on_orders_reported(3)),
            is_pending: true,
        },
        StatementCase {
            name: "idle, with one more accepted order",
            change: |fixture, id| with_server(fixture, id, |server| server.on_orders_reported(4)),
            is_pending: false,
        },
        StatementCase {
            name: "idle, with fewer accepted orders after a restart",
            change: |fixture, id| with_server(fixture, id, |server| server.on_orders_reported(0)),
            is_pending: false,
        },
    ]
}

/// Guards against engines that are not read from for 12 s although their entry or their report rules
/// the order out, and against engines that are read from although it does not.
#[test]
fn what_a_server_tells_ends_the_wait_for_an_order() {
    for case in statement_cases() {
        let mut fixture = fixture();
        let key = fixture.servers.key_of("s2").expect("known");
        let server = fixture.servers.get_mut(key).expect("known");
        server.on_order_pending(MODEL, 2, at(12_000), Some(3));
        (case.change)(&mut fixture, "s2");
        let key = fixture.servers.key_of("s2").expect("known");
        let server = fixture.servers.get(key).expect("known");
        let is_pending = server.order_pending_until(at(30)).is_some();
        assert_eq!(is_pending, case.is_pending, "{}", case.name);
    }
}

/// Guards against reads from an engine whose switch a daemon of an earlier release has cancelled:
/// its record does not tell whether the order was answered.
#[test]
fn a_cancellation_without_a_time_counts_as_an_order_that_was_just_sent() {
    let text = r#"{"holder":"g1","incarnation":1,"fencing_token":1,"switching":[],
        "cancelled":[{"server":"s2","model":"lumen","version":2}]}"#;
    let record: LeaseRecord = serde_json::from_str(text).expect("record");
    let mut fixture = fixture();
    apply_records(&mut fixture.servers, &[record], at(0));
    let key = fixture.servers.key_of("s2").expect("known");
    let server = fixture.servers.get(key).expect("known");
    assert!(!server.is_switching(at(1)));
    assert_eq!(server.order_pending_until(at(1)), Some(at(12_000)));
}

/// A model that the engines hold beside [`MODEL`].
const OTHER_MODEL: &str = "umbra";

fn weights_of_other(server: &str) -> ServerWeights {
    ServerWeights {
        model: OTHER_MODEL.to_owned(),
        ..weights(server, 2)
    }
}

/// Returns the records of announcements of both models, the other one last.
fn both_announced(server: &str) -> Vec<LeaseRecord> {
    let other = LeaseRecord {
        switching: vec![weights_of_other(server)],
        ..record()
    };
    vec![announced(server, 2), other]
}

struct TwoModelsCase {
    name: &'static str,
    /// Records that follow the announcements.
    records: fn(&str) -> Vec<LeaseRecord>,
    is_switching: bool,
    is_pending: bool,
}

fn two_models_cases() -> [TwoModelsCase; 4] {
    [
        TwoModelsCase {
            name: "the second is loaded",
            records: |id| {
                vec![LeaseRecord {
                    loaded: vec![weights_of_other(id)],
                    ..record()
                }]
            },
            is_switching: true,
            is_pending: true,
        },
        TwoModelsCase {
            name: "the second is cancelled",
            records: |id| {
                let cancelled = CancelledSwitch {
                    weights: weights_of_other(id),
                    order_left_ms: 0,
                };
                vec![LeaseRecord {
                    cancelled: vec![cancelled],
                    ..record()
                }]
            },
            is_switching: true,
            is_pending: true,
        },
        TwoModelsCase {
            name: "the first is loaded",
            records: |id| vec![loaded(id, 2)],
            is_switching: true,
            is_pending: true,
        },
        TwoModelsCase {
            name: "both are loaded",
            records: |id| {
                vec![LeaseRecord {
                    loaded: vec![weights(id, 2), weights_of_other(id)],
                    ..record()
                }]
            },
            is_switching: false,
            is_pending: false,
        },
    ]
}

/// Guards against parts of two weights that are mixed, and requests to a server that loads weights,
/// when new weights of two models are published at once: the announcement of one order hid that of the
/// other, so that the end of one ended both.
#[test]
fn orders_for_two_models_of_a_server_end_one_by_one() {
    for case in two_models_cases() {
        let mut fixture = fixture();
        let mut engine = entry("s2");
        engine.models.push(ServedModel {
            model: OTHER_MODEL.to_owned(),
            version: 1,
        });
        let key = fixture.servers.on_entry_published(engine.clone(), at(0));
        let records = [both_announced("s2"), (case.records)("s2")].concat();
        apply_records(&mut fixture.servers, &records, at(0));
        let server = fixture.servers.get(key).expect("known");
        let is_switching = server.is_switching(at(1));
        assert_eq!(is_switching, case.is_switching, "{}", case.name);
        let is_pending = server.order_pending_until(at(1)).is_some();
        assert_eq!(is_pending, case.is_pending, "{}", case.name);
        fixture.servers.on_entry_removed("s2", at(0), at(1));
        let key = fixture.servers.on_entry_published(engine, at(2));
        let server = fixture.servers.get(key).expect("known");
        let is_pending = server.order_pending_until(at(3)).is_some();
        assert_eq!(is_pending, case.is_pending, "{}, entry expired", case.name);
    }
}
