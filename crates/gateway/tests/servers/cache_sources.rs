//! From where the shared parts of a prompt are read.

use crate::fixture::{Fixture, MODEL, at, entry, events, named_prompt, store};
use anvilgw_gateway::cache_store_log::{CacheStoreChange, CacheStorePage, CacheUpdate};
use anvilgw_gateway::caches::{CacheDirectory, CacheEvents, CacheStoreKey};
use anvilgw_gateway::prefill_rate::PrefillRate;
use anvilgw_gateway::server::Server;
use anvilgw_gateway::weights::{PublishedWeights, WeightPublication};
use std::net::SocketAddr;
use std::time::Duration;

/// Guards against long parts that are computed again although a store holds them, and against
/// reads from a store that has restarted empty or does not answer.
#[test]
fn parts_are_read_from_a_store_only_while_it_holds_them() {
    let mut fixture = Fixture::new(&["s1"]);
    let specs = [store(8001)];
    let key = fixture.caches.set_stores(&specs)[0];
    let plan_of = |fixture: &mut Fixture| {
        let selected = fixture.place(&named_prompt(), at(1)).expect("server");
        selected.cache.expect("a generation").plan
    };
    assert!(
        plan_of(&mut fixture)
            .parts
            .iter()
            .all(|part| part.save.is_none()),
        "the store has not answered yet"
    );

    fixture.caches.on_events(key, events(&[], 1), at(1));
    let empty = plan_of(&mut fixture);
    assert_eq!(empty.parts[1].save, Some(specs[0].address));
    assert_eq!(empty.parts.len(), 2, "the request's own part is not shared");

    fixture
        .caches
        .on_events(key, events(&[("history", 8_000)], 1), at(2));
    let held = plan_of(&mut fixture);
    assert_eq!(held.parts[1].fetch, Some(specs[0].address));
    assert_eq!(held.parts[1].save, None);
    assert_eq!(held.fetched_tokens, 8_000);

    fixture
        .caches
        .on_events(key, events(&[("history", 0)], 1), at(3));
    assert_eq!(plan_of(&mut fixture).parts[1].fetch, None, "dropped");

    fixture
        .caches
        .on_events(key, events(&[("history", 8_000)], 1), at(4));
    fixture.caches.on_events(key, events(&[], 2), at(5));
    assert_eq!(
        plan_of(&mut fixture).parts[1].fetch,
        None,
        "restarted empty"
    );

    fixture
        .caches
        .on_events(key, events(&[("history", 8_000)], 2), at(6));
    fixture.caches.on_unreachable(key);
    let lost = plan_of(&mut fixture);
    assert_eq!(
        (lost.parts[1].fetch, lost.parts[1].save),
        (None, None),
        "not answering"
    );
}

/// Guards against prompts that are computed again, and stores that have to list all their parts,
/// after a store was silent for some seconds.
#[test]
fn contents_of_a_store_are_known_again_when_it_goes_on() {
    struct Case {
        name: &'static str,
        answer: CacheEvents,
        fetched_tokens: u32,
        needs_list: bool,
        next_event: u64,
    }
    let with_gap = |epoch| CacheEvents {
        has_gap: true,
        ..events(&[], epoch)
    };
    let cases = [
        Case {
            name: "nothing happened meanwhile",
            answer: events(&[], 1),
            fetched_tokens: 8_000,
            needs_list: false,
            next_event: 10,
        },
        Case {
            name: "a part was dropped meanwhile",
            answer: events(&[("history", 0)], 1),
            fetched_tokens: 0,
            needs_list: false,
            next_event: 10,
        },
        Case {
            name: "events were lost meanwhile",
            answer: with_gap(1),
            fetched_tokens: 8_000,
            needs_list: true,
            next_event: 10,
        },
        Case {
            name: "it restarted empty, so its events are read from the first one on",
            answer: events(&[], 2),
            fetched_tokens: 0,
            needs_list: false,
            next_event: 0,
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new(&["s1"]);
        let key = fixture.caches.set_stores(&[store(8001)])[0];
        let held = events(&[("history", 8_000)], 1);
        fixture.caches.on_events(key, held, at(1));
        fixture.caches.on_unreachable(key);
        assert_eq!(fetched_tokens(&mut fixture), 0, "{}: silent", case.name);
        let needs_list = fixture.caches.on_events(key, case.answer, at(2));
        assert_eq!(needs_list, case.needs_list, "{}", case.name);
        let fetched = fetched_tokens(&mut fixture);
        assert_eq!(fetched, case.fetched_tokens, "{}", case.name);
        let next_event = fixture.caches.get(key).expect("store").next_event();
        assert_eq!(next_event, case.next_event, "{}", case.name);
    }
}

/// Guards against prompts that are computed and stored again for good: the position in the events of
/// an epoch says nothing about the next one, however the daemon learns of the restart.
#[test]
fn events_of_a_restarted_store_are_read_from_the_first_one_on() {
    type Before = fn(&mut CacheDirectory, CacheStoreKey);
    let cases: [(&str, Before); 3] = [
        ("the restart took less time than two reads", |_, _| {}),
        ("the store was silent", |caches, key| {
            caches.on_unreachable(key);
        }),
        ("a leader reported the restart meanwhile", |caches, key| {
            caches.on_unreachable(key);
            let reset = CacheStoreChange {
                store: store(8001).address,
                update: CacheUpdate::Reset,
            };
            let page = CacheStorePage {
                log_id: 7,
                next: 1,
                is_snapshot: false,
                clock_ms: None,
                changes: vec![reset],
                ages: Vec::new(),
            };
            caches.on_cache_store_log_page(page, at(2), at(2));
        }),
    ];
    for (name, before) in cases {
        let mut fixture = Fixture::new(&["s1"]);
        let key = fixture.caches.set_stores(&[store(8001)])[0];
        let caches = &mut fixture.caches;
        caches.on_events(key, events(&[("manual", 500)], 1), at(1));
        before(caches, key);
        assert!(!caches.on_events(key, events(&[], 2), at(3)), "{name}");
        let next_event = caches.get(key).expect("store").next_event();
        assert_eq!(next_event, 0, "{name}");
        let from_start = CacheEvents {
            has_gap: true,
            ..events(&[("history", 8_000)], 2)
        };
        assert!(caches.on_events(key, from_start, at(4)), "{name}: list");
        caches.on_listing(key, events(&[("history", 8_000)], 2), at(5));
        let next_event = caches.get(key).expect("store").next_event();
        assert_eq!(next_event, 10, "{name}: goes on after the list");
        assert_eq!(fetched_tokens(&mut fixture), 8_000, "{name}");
    }
}

/// Guards against parts that stay unknown because the store could not be listed once, and against
/// listings without a pause of a store that cannot list its parts.
#[test]
fn a_listing_that_failed_is_repeated_with_growing_pauses() {
    let mut caches = CacheDirectory::default();
    let key = caches.set_stores(&[store(8001)])[0];
    let with_gap = CacheEvents {
        has_gap: true,
        ..events(&[], 1)
    };
    assert!(caches.on_events(key, with_gap, at(0)));
    caches.on_listing_failed(key, at(0));
    let mut tries_ms = Vec::new();
    for ms in (500..20_000).step_by(500) {
        if caches.on_events(key, events(&[], 1), at(ms)) {
            tries_ms.push(ms);
            caches.on_listing_failed(key, at(ms));
        }
    }
    assert_eq!(tries_ms, [2_000, 6_000, 14_000]);
    caches.on_listing(key, events(&[("history", 8_000)], 1), at(20_000));
    assert!(!caches.on_events(key, events(&[], 1), at(60_000)));
}

fn fetched_tokens(fixture: &mut Fixture) -> u32 {
    let selected = fixture.place(&named_prompt(), at(3)).expect("server");
    selected.cache.expect("a generation").plan.fetched_tokens
}

/// Guards against calls to a store that does not answer, which hold up orders to other servers.
#[test]
fn no_parts_are_freed_at_a_store_that_does_not_answer() {
    let mut caches = CacheDirectory::default();
    let key = caches.set_stores(&[store(8001)])[0];
    caches.on_events(key, events(&[("history", 8_000)], 1), at(1));
    assert_eq!(caches.retired_parts(10, |_, _| true).len(), 1);
    caches.on_unreachable(key);
    assert!(caches.retired_parts(10, |_, _| true).is_empty());
}

/// Returns the identifier of the selected server and the source of the prompt's long part.
fn source_of(fixture: &mut Fixture) -> (String, Option<SocketAddr>) {
    let selected = fixture.place(&named_prompt(), at(2)).expect("server");
    let id = fixture.id_of(&selected);
    let plan = selected.cache.expect("a generation").plan;
    (id, plan.parts[1].fetch)
}

/// Returns the one of two engines that was not selected.
fn other_engine(selected: &str) -> &'static str {
    if selected == "s1" { "s2" } else { "s1" }
}

/// Guards against long parts that are computed again after a prompt moved to another engine,
/// because the engine that served it is overloaded and no store holds them. Also guards against
/// reads from an engine while a store, which evicts nothing, holds the part.
#[test]
fn parts_that_no_store_holds_are_read_from_the_engine_that_ranks_next() {
    let mut fixture = Fixture::new(&["s1", "s2"]);
    let store_key = fixture.caches.set_stores(&[store(8001)])[0];
    fixture.caches.on_events(store_key, events(&[], 1), at(1));
    let (selected, source) = source_of(&mut fixture);
    assert_eq!(source, Some(entry(other_engine(&selected)).address));

    let held = events(&[("manual", 500), ("history", 8_000)], 1);
    fixture.caches.on_events(store_key, held, at(1));
    assert_eq!(source_of(&mut fixture).1, Some(store(8001).address));

    fixture.caches.on_unreachable(store_key);
    let (selected, source) = source_of(&mut fixture);
    let next = entry(other_engine(&selected)).address;
    assert_eq!(
        source,
        Some(next),
        "the engine is read while the store is lost"
    );
}

/// Guards against reads of parts that belong to replaced weights and may be freed already.
#[test]
fn parts_of_replaced_weights_are_read_for_a_limited_time() {
    let mut fixture = Fixture::new(&["s1"]);
    let key = fixture.caches.set_stores(&[store(8001)])[0];
    let held = events(&[("manual", 500), ("history", 8_000)], 1);
    fixture.caches.on_events(key, held, at(1));
    fixture.published_weights = Some(PublishedWeights::new(WeightPublication {
        version: 2,
        published_after: Some(at(1_000)),
        learned_at: at(1_500),
    }));
    let mut fetched_at = |ms| {
        let selected = fixture.place(&named_prompt(), at(ms)).expect("server");
        selected.cache.expect("a generation").plan.fetched_tokens
    };
    assert_eq!(fetched_at(1_600), 8_500);
    assert_eq!(fetched_at(9_000), 0);
}

/// Guards against a part that is freed while a server reads it. The server needs a deadline for
/// the read, which requires the servers' clock.
#[test]
fn parts_are_not_read_without_the_servers_clock() {
    let mut fixture = Fixture::new(&["s1"]);
    let key = fixture.caches.set_stores(&[store(8001)])[0];
    let without_clock = CacheEvents {
        clock_ms: None,
        ..events(&[("history", 8_000)], 1)
    };
    fixture.caches.on_events(key, without_clock, at(1));
    let selected = fixture.place(&named_prompt(), at(2)).expect("server");
    assert_eq!(selected.cache.expect("a generation").plan.fetched_tokens, 0);
}

/// Guards against prompts that are computed again although a store holds them: a daemon that
/// has just started must not treat a store that it has not read yet as empty.
#[test]
fn store_contents_are_known_once_each_store_was_read_or_failed() {
    let mut caches = CacheDirectory::default();
    assert!(!caches.knows_store_contents(), "no configuration yet");
    let keys = caches.set_stores(&[store(8001), store(8002), store(8003)]);
    assert!(!caches.knows_store_contents(), "none was read");

    caches.on_events(keys[0], events(&[("history", 8_000)], 1), at(1));
    caches.on_unreachable(keys[1]);
    let with_gap = CacheEvents {
        has_gap: true,
        ..events(&[], 1)
    };
    assert!(caches.on_events(keys[2], with_gap, at(1)), "must be listed");
    assert!(
        !caches.knows_store_contents(),
        "the listing is still missing"
    );
    caches.on_listing(keys[2], events(&[("manual", 500)], 1), at(2));
    assert!(caches.knows_store_contents());

    let mut without_stores = CacheDirectory::default();
    without_stores.set_stores(&[]);
    assert!(
        without_stores.knows_store_contents(),
        "no stores are configured"
    );
}

/// Guards against reads from an engine that was ordered to switch weights: it continues its
/// running requests with the new weights.
#[test]
fn nothing_is_read_from_an_engine_that_switches_weights() {
    let mut fixture = Fixture::new(&["s1", "s2"]);
    let store_key = fixture.caches.set_stores(&[store(8001)])[0];
    fixture.caches.on_events(store_key, events(&[], 1), at(1));
    let (selected, source) = source_of(&mut fixture);
    let other = other_engine(&selected);
    assert_eq!(source, Some(entry(other).address));
    let key = fixture.servers.key_of(other).expect("known");
    let server = fixture.servers.get_mut(key).expect("server");
    server.on_switch_ordered(MODEL, 2, at(5_000));
    assert_eq!(source_of(&mut fixture), (selected, None));
}

/// Guards against outdated contents of a store whose events were lost: the store must be listed.
#[test]
fn lost_events_require_a_listing_of_the_store() {
    let mut caches = CacheDirectory::default();
    let key = caches.set_stores(&[store(8001)])[0];
    let with_gap = || CacheEvents {
        has_gap: true,
        ..events(&[], 1)
    };
    assert!(caches.on_events(key, with_gap(), at(1)), "at the start");
    caches.on_listing(key, events(&[("history", 8_000)], 1), at(2));
    assert!(!caches.on_events(key, events(&[], 1), at(3)));
    assert!(caches.on_events(key, with_gap(), at(4)), "later");
}

/// Guards against short shared parts that slow engines compute again although a store holds
/// them, and against reads that take longer than computing.
#[test]
fn short_parts_are_read_where_engines_compute_slowly() {
    struct Case {
        name: &'static str,
        first_event_ms: u64,
        is_read: bool,
    }
    let cases = [
        Case {
            name: "slow engines",
            first_event_ms: 400,
            is_read: true,
        },
        Case {
            name: "fast engines",
            first_event_ms: 4,
            is_read: false,
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new(&["s1"]);
        let key = fixture.caches.set_stores(&[store(8001)])[0];
        let held = events(&[("manual", 500), ("history", 8_000)], 1);
        fixture.caches.on_events(key, held, at(1));
        fixture
            .prefill_rate
            .on_first_event(8_000, at(case.first_event_ms));
        let selected = fixture.place(&named_prompt(), at(2)).expect("server");
        let plan = selected.cache.expect("a generation").plan;
        assert_eq!(plan.parts[0].fetch.is_some(), case.is_read, "{}", case.name);
    }
}

/// Guards against a rate that reflects queueing instead of computing, and one that never falls.
#[test]
fn prefill_rate_follows_the_fastest_answers() {
    let mut rate = PrefillRate::default();
    rate.on_first_event(8_000, at(100));
    assert!((rate.prefill_ms(8_000) - 100.0).abs() < 1.0);
    rate.on_first_event(8_000, at(2_000));
    assert!(rate.prefill_ms(8_000) < 110.0, "one answer from a queue");
    rate.on_first_event(100, at(50));
    assert!(
        rate.prefill_ms(8_000) < 110.0,
        "too few tokens to update the rate"
    );
    for _ in 0..300 {
        rate.on_first_event(8_000, at(400));
    }
    assert!(rate.prefill_ms(8_000) > 350.0, "slower engines");
}

/// Guards against reads from engines that cannot answer, for example when a third of them stops
/// responding: each such read costs the request some hundred milliseconds.
#[test]
fn nothing_is_read_from_an_engine_that_does_not_answer_or_is_cold() {
    type Change = fn(&mut Server);
    let cases: [(&str, Change); 3] = [
        ("unreachable", |server| server.on_unreachable(at(1))),
        ("one connection failed", |server| {
            for _ in 0..2 {
                server.breaker.on_failure(at(1));
            }
        }),
        ("cold", |server| {
            server.set_cold_for(Duration::from_secs(3), at(1));
        }),
    ];
    for (name, change) in cases {
        let mut fixture = Fixture::new(&["s1", "s2", "s3"]);
        let store_key = fixture.caches.set_stores(&[store(8001)])[0];
        fixture.caches.on_events(store_key, events(&[], 1), at(1));
        let (selected, source) = source_of(&mut fixture);
        let unresponsive = source.expect("the engine that ranks next");
        let (key, _) = fixture
            .servers
            .iter()
            .find(|(_, server)| server.entry.address == unresponsive)
            .expect("an engine");
        change(fixture.servers.get_mut(key).expect("server"));
        let (still, source) = source_of(&mut fixture);
        assert_eq!(still, selected, "{name}");
        assert!(
            source.is_some_and(|source| source != unresponsive),
            "{name}"
        );
    }
}
