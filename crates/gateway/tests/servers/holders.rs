//! From where the parts of a prompt are read.

use crate::world::{MODEL, World, at, entry, events, named_prompt, store};
use anvilgw_gateway::caches::{CacheDirectory, CacheEvents};
use anvilgw_gateway::weights::{NamedWeights, Naming};
use indexmap::IndexMap;

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

/// Guards against long histories that are computed again because the server dropped them a moment ago:
/// it reads what it lacks, and only that.
#[test]
fn a_source_is_named_also_for_what_the_server_probably_holds() {
    let mut world = World::new(&["s1"]);
    let store_key = world.caches.on_stores(&[store(8001)])[0];
    let engines = IndexMap::from([(entry("s1").address, "a".to_owned())]);
    let engine_key = world.caches.on_engines(&engines)[0];
    for key in [store_key, engine_key] {
        let held = events(&[("manual", 500), ("history", 8_000)], 1);
        world.caches.on_events(key, held, at(1));
    }
    let selected = world.place(&named_prompt(), at(2)).expect("server");
    let plan = selected.cache.expect("a generation").plan;
    assert_eq!(plan.parts[1].fetch, Some(store(8001).address));
    assert_eq!(plan.fetched_tokens, 0, "nothing is likely to be moved");
}

/// Guards against parts that are computed because an engine, which would have been the faster source,
/// dropped them a moment ago while a store has them.
#[test]
fn a_store_is_read_before_an_engine_that_may_have_dropped_the_part() {
    let mut world = World::new(&["s1", "s2"]);
    let store_key = world.caches.on_stores(&[store(8001)])[0];
    let engines = ["s1", "s2"].map(|id| (entry(id).address, "a".to_owned()));
    let mut holders = world.caches.on_engines(&IndexMap::from(engines));
    let source_of = |world: &mut World| {
        let selected = world.place(&named_prompt(), at(2)).expect("server");
        let plan = selected.cache.expect("a generation").plan;
        plan.parts[1].fetch.expect("a source")
    };
    holders.push(store_key);
    for key in &holders {
        let held = events(&[("manual", 500), ("history", 8_000)], 1);
        world.caches.on_events(*key, held, at(1));
    }
    assert_eq!(source_of(&mut world), store(8001).address);

    world.caches.on_lost(store_key);
    let engines = ["s1", "s2"].map(|id| entry(id).address);
    assert!(engines.contains(&source_of(&mut world)), "better than none");
}

/// Guards against reads of parts of replaced weights after the time at which they may be freed.
#[test]
fn parts_of_replaced_weights_are_read_for_a_limited_time() {
    let mut world = World::new(&["s1"]);
    let key = world.caches.on_stores(&[store(8001)])[0];
    let held = events(&[("manual", 500), ("history", 8_000)], 1);
    world.caches.on_events(key, held, at(1));
    world.named = Some(NamedWeights::new(Naming {
        version: 2,
        named_after: Some(at(1_000)),
        learnt_at: at(1_500),
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
    let engines: IndexMap<_, _> = ["s1", "s2"]
        .iter()
        .map(|id| (entry(id).address, "a".to_owned()))
        .collect();
    let keys = world.caches.on_engines(&engines);
    let prompt = named_prompt();
    let chosen = world.place(&prompt, at(1)).expect("server");
    let other = if world.id_of(&chosen) == "s1" {
        "s2"
    } else {
        "s1"
    };
    let other_key = keys
        .into_iter()
        .find(|key| world.caches.get(*key).expect("holder").address() == entry(other).address)
        .expect("holder of the other engine");
    world
        .caches
        .on_events(other_key, events(&[("history", 8_000)], 1), at(1));
    let fetch = |world: &mut World| {
        let selected = world.place(&prompt, at(2)).expect("server");
        selected.cache.expect("a generation").plan.parts[1].fetch
    };
    assert_eq!(fetch(&mut world), Some(entry(other).address));
    let key = world.servers.key_of(other).expect("known");
    let server = world.servers.get_mut(key).expect("server");
    server.on_switch_ordered(MODEL, 2, at(5_000));
    assert_eq!(fetch(&mut world), None);
}

/// Guards against lists that stall the runs of all engines when a daemon starts or events are lost,
/// and against parts that are read from an engine which has dropped them.
#[test]
fn lost_events_cost_a_list_of_a_store_and_the_knowledge_of_an_engine() {
    let mut world = World::new(&["s1"]);
    let store_key = world.caches.on_stores(&[store(8001)])[0];
    let engines = IndexMap::from([(entry("s1").address, "a".to_owned())]);
    let engine_key = world.caches.on_engines(&engines)[0];
    let lost = |parts: &[(&str, u32)]| CacheEvents {
        has_gap: true,
        ..events(parts, 1)
    };
    assert!(world.caches.on_events(store_key, lost(&[]), at(1)));
    assert!(
        !world
            .caches
            .on_events(engine_key, lost(&[("history", 8_000)]), at(1))
    );
    let is_fetched = |world: &mut World| {
        world
            .caches
            .on_events(store_key, events(&[("history", 8_000)], 1), at(2));
        let selected = world.place(&named_prompt(), at(2)).expect("server");
        let plan = selected.cache.expect("a generation").plan;
        plan.fetched_tokens > 0
    };
    assert!(!is_fetched(&mut world), "the engine holds the part");
    assert!(!world.caches.on_events(engine_key, lost(&[]), at(3)));
    assert!(
        is_fetched(&mut world),
        "whether the engine still holds the part is not known"
    );
}
