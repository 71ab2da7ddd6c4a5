//! From where the parts of a prompt are read.

use crate::world::{MODEL, World, at, entry, events, named_prompt, store};
use anvilgw_gateway::caches::{CacheDirectory, CacheEvents};
use anvilgw_gateway::computing_rate::ComputingRate;
use anvilgw_gateway::server::Server;
use anvilgw_gateway::weights::{PublishedWeights, WeightPublication};
use std::net::SocketAddr;
use std::time::Duration;

/// Guards against long histories that are computed again although a store has them, and against
/// reads of a store that has restarted empty or does not answer.
#[test]
fn parts_come_from_a_store_for_as_long_as_it_has_them() {
    let mut world = World::new(&["s1"]);
    let specs = [store(8001)];
    let key = world.caches.on_stores(&specs)[0];
    let plan_of = |world: &mut World| {
        let selected = world.place(&named_prompt(), at(1)).expect("server");
        selected.cache.expect("a generation").plan
    };
    assert!(
        plan_of(&mut world)
            .parts
            .iter()
            .all(|part| part.save.is_none()),
        "not seen up yet"
    );

    world.caches.on_events(key, events(&[], 1), at(1));
    let empty = plan_of(&mut world);
    assert_eq!(empty.parts[1].save, Some(specs[0].address));
    assert_eq!(empty.parts.len(), 2, "the request's own part is not shared");

    world
        .caches
        .on_events(key, events(&[("history", 8_000)], 1), at(2));
    let held = plan_of(&mut world);
    assert_eq!(held.parts[1].fetch, Some(specs[0].address));
    assert_eq!(held.parts[1].save, None);
    assert_eq!(held.fetched_tokens, 8_000);

    world
        .caches
        .on_events(key, events(&[("history", 0)], 1), at(3));
    assert_eq!(plan_of(&mut world).parts[1].fetch, None, "dropped");

    world
        .caches
        .on_events(key, events(&[("history", 8_000)], 1), at(4));
    world.caches.on_events(key, events(&[], 2), at(5));
    assert_eq!(plan_of(&mut world).parts[1].fetch, None, "restarted empty");

    world
        .caches
        .on_events(key, events(&[("history", 8_000)], 2), at(6));
    world.caches.on_lost(key);
    let lost = plan_of(&mut world);
    assert_eq!(
        (lost.parts[1].fetch, lost.parts[1].save),
        (None, None),
        "not answering"
    );
}

/// Source of the long part of the prompt, with the server that was selected.
fn source_of(world: &mut World) -> (String, Option<SocketAddr>) {
    let selected = world.place(&named_prompt(), at(2)).expect("server");
    let id = world.id_of(&selected);
    let plan = selected.cache.expect("a generation").plan;
    (id, plan.parts[1].fetch)
}

/// The engine of two that was not selected.
fn other_engine(selected: &str) -> &'static str {
    if selected == "s1" { "s2" } else { "s1" }
}

/// Guards against long histories that are computed again because no store has them and the engine that
/// served them is loaded (a prompt that spills to another engine), and against reads from an engine while
/// a store, which drops nothing, has the part.
#[test]
fn the_engine_that_ranks_next_is_read_for_what_no_store_has() {
    let mut world = World::new(&["s1", "s2"]);
    let store_key = world.caches.on_stores(&[store(8001)])[0];
    world.caches.on_events(store_key, events(&[], 1), at(1));
    let (selected, source) = source_of(&mut world);
    assert_eq!(source, Some(entry(other_engine(&selected)).address));

    let held = events(&[("manual", 500), ("history", 8_000)], 1);
    world.caches.on_events(store_key, held, at(1));
    assert_eq!(source_of(&mut world).1, Some(store(8001).address));

    world.caches.on_lost(store_key);
    let (selected, source) = source_of(&mut world);
    let next = entry(other_engine(&selected)).address;
    assert_eq!(source, Some(next), "better than none");
}

/// Guards against reads of parts of replaced weights after the time at which they may be freed.
#[test]
fn parts_of_replaced_weights_are_read_for_a_limited_time() {
    let mut world = World::new(&["s1"]);
    let key = world.caches.on_stores(&[store(8001)])[0];
    let held = events(&[("manual", 500), ("history", 8_000)], 1);
    world.caches.on_events(key, held, at(1));
    world.named = Some(PublishedWeights::new(WeightPublication {
        version: 2,
        published_after: Some(at(1_000)),
        learned_at: at(1_500),
    }));
    let mut fetched_at = |ms| {
        let selected = world.place(&named_prompt(), at(ms)).expect("server");
        selected.cache.expect("a generation").plan.fetched_tokens
    };
    assert_eq!(fetched_at(1_600), 8_500);
    assert_eq!(fetched_at(9_000), 0);
}

/// Guards against a part that is freed while a server reads it, for which the server needs to be told
/// when to give up.
#[test]
fn nothing_is_read_from_elsewhere_without_a_time_limit() {
    let mut world = World::new(&["s1"]);
    let key = world.caches.on_stores(&[store(8001)])[0];
    let without_clock = CacheEvents {
        clock_ms: None,
        ..events(&[("history", 8_000)], 1)
    };
    world.caches.on_events(key, without_clock, at(1));
    let selected = world.place(&named_prompt(), at(2)).expect("server");
    assert_eq!(selected.cache.expect("a generation").plan.fetched_tokens, 0);
}

/// Guards against prompts that are computed again by a daemon that has just started, although a store
/// has them: it must not take a store that it has not read yet for an empty one.
#[test]
fn stores_are_known_once_each_was_read_or_does_not_answer() {
    let mut caches = CacheDirectory::default();
    assert!(!caches.knows_stores(), "no configuration yet");
    let keys = caches.on_stores(&[store(8001), store(8002), store(8003)]);
    assert!(!caches.knows_stores(), "none was read");

    caches.on_events(keys[0], events(&[("history", 8_000)], 1), at(1));
    caches.on_lost(keys[1]);
    let with_gap = CacheEvents {
        has_gap: true,
        ..events(&[], 1)
    };
    assert!(caches.on_events(keys[2], with_gap, at(1)), "needs its list");
    assert!(!caches.knows_stores(), "the list is still missing");
    caches.on_list(keys[2], events(&[("manual", 500)], 1), at(2));
    assert!(caches.knows_stores());

    let mut without_stores = CacheDirectory::default();
    without_stores.on_stores(&[]);
    assert!(without_stores.knows_stores(), "nothing to wait for");
}

/// Guards against caches of an engine that was ordered to switch weights: it goes on with its runs
/// under the new ones.
#[test]
fn nothing_is_read_from_an_engine_that_switches_weights() {
    let mut world = World::new(&["s1", "s2"]);
    let store_key = world.caches.on_stores(&[store(8001)])[0];
    world.caches.on_events(store_key, events(&[], 1), at(1));
    let (selected, source) = source_of(&mut world);
    let other = other_engine(&selected);
    assert_eq!(source, Some(entry(other).address));
    let key = world.servers.key_of(other).expect("known");
    let server = world.servers.get_mut(key).expect("server");
    server.on_switch_ordered(MODEL, 2, at(5_000));
    assert_eq!(source_of(&mut world), (selected, None));
}

/// Guards against parts that count as held by a store although events were lost: it has to be listed.
#[test]
fn lost_events_cost_a_list_of_the_store() {
    let mut caches = CacheDirectory::default();
    let key = caches.on_stores(&[store(8001)])[0];
    let with_gap = || CacheEvents {
        has_gap: true,
        ..events(&[], 1)
    };
    assert!(caches.on_events(key, with_gap(), at(1)), "at the start");
    caches.on_list(key, events(&[("history", 8_000)], 1), at(2));
    assert!(!caches.on_events(key, events(&[], 1), at(3)));
    assert!(caches.on_events(key, with_gap(), at(4)), "later");
}

/// Guards against short shared parts that are computed again and again although a store has them (many
/// short prompts on engines that compute slowly), and against reads that take longer than computing.
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
        let mut world = World::new(&["s1"]);
        let key = world.caches.on_stores(&[store(8001)])[0];
        let held = events(&[("manual", 500), ("history", 8_000)], 1);
        world.caches.on_events(key, held, at(1));
        world
            .computing_rate
            .on_first_event(8_000, at(case.first_event_ms));
        let selected = world.place(&named_prompt(), at(2)).expect("server");
        let plan = selected.cache.expect("a generation").plan;
        assert_eq!(plan.parts[0].fetch.is_some(), case.is_read, "{}", case.name);
    }
}

/// Guards against a rate that follows queues instead of engines, and one that never falls again.
#[test]
fn the_computing_rate_follows_the_best_answers() {
    let mut rate = ComputingRate::default();
    rate.on_first_event(8_000, at(100));
    assert!((rate.computing_ms(8_000) - 100.0).abs() < 1.0);
    rate.on_first_event(8_000, at(2_000));
    assert!(rate.computing_ms(8_000) < 110.0, "one answer from a queue");
    rate.on_first_event(100, at(50));
    assert!(rate.computing_ms(8_000) < 110.0, "too short to tell");
    for _ in 0..300 {
        rate.on_first_event(8_000, at(400));
    }
    assert!(rate.computing_ms(8_000) > 350.0, "slower engines");
}

/// Guards against reads from engines that cannot answer them (a third of the engines goes silent): each
/// costs the request some hundred milliseconds.
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
        let mut world = World::new(&["s1", "s2", "s3"]);
        let store_key = world.caches.on_stores(&[store(8001)])[0];
        world.caches.on_events(store_key, events(&[], 1), at(1));
        let (selected, source) = source_of(&mut world);
        let silent = source.expect("the engine that ranks next");
        let (key, _) = world
            .servers
            .iter()
            .find(|(_, server)| server.entry.address == silent)
            .expect("an engine");
        change(world.servers.get_mut(key).expect("server"));
        let (still, source) = source_of(&mut world);
        assert_eq!(still, selected, "{name}");
        assert!(source.is_some_and(|source| source != silent), "{name}");
    }
}
