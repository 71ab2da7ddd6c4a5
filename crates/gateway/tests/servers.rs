//! What the gateway believes of backend servers, and which it selects.

use anvilgw_gateway::caches::{CacheDirectory, CacheEvents, HeldPart, StoreSpec, name_hash};
use anvilgw_gateway::configuration::{EngineSpec, Service};
use anvilgw_gateway::groups::Role;
use anvilgw_gateway::peers::{EngineLoad, LoadReport, PeerLoads, Scope};
use anvilgw_gateway::places::Places;
use anvilgw_gateway::request::{Prompt, PromptPart};
use anvilgw_gateway::select::{NoServer, PromptQuery, Query, Selected, has_usable, select};
use anvilgw_gateway::server::{
    ServedModel, ServerEntry, ServerKey, ServerState, Servers, load_hash,
};
use anvilgw_gateway::weights::{NamedWeights, Naming, OldPartTimes};
use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

const SERVICE: &str = "engines";
const MODEL: &str = "lumen";

fn service(cold_requests_per_s: f64) -> Service {
    Service {
        name: SERVICE.to_owned(),
        connections_max: 100,
        cold_requests_per_s,
        engine: Some(EngineSpec {
            kv_capacity_tokens: 100_000,
            link_tokens_per_ms: 5_000.0,
        }),
        store: None,
    }
}

fn entry(id: &str) -> ServerEntry {
    let port = 9000 + (name_hash(id) % 1000);
    ServerEntry {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address: format!("127.0.0.1:{port}").parse().expect("address"),
        failure_domain: "a".to_owned(),
        state: ServerState::Ready,
        cold_for: Duration::ZERO,
        slots: 8,
        models: vec![ServedModel {
            model: MODEL.to_owned(),
            version: 1,
        }],
        started_at_ms: Some(1),
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(7)
}

fn prompt(session: u64) -> Prompt {
    let part = |id_hash, tokens| PromptPart { id_hash, tokens };
    Prompt {
        model: MODEL.to_owned(),
        prompt_tokens: 12_000,
        output_tokens_max: 400,
        parts: vec![
            part(1, 500),
            part(session, 8_600),
            part(session ^ 0xffff, 2_900),
        ],
    }
}

struct World {
    regions: IndexMap<String, String>,
    confined_to: Vec<String>,
    servers: Servers,
    caches: CacheDirectory,
    peers: PeerLoads,
    named: Option<NamedWeights>,
}

impl World {
    fn new(ids: &[&str]) -> Self {
        let mut servers = Servers::default();
        for id in ids {
            servers.on_seen(entry(id), at(0));
        }
        let region = |domain: &str, region: &str| (domain.to_owned(), region.to_owned());
        Self {
            regions: IndexMap::from([region("a", "north"), region("b", "south")]),
            confined_to: Vec::new(),
            servers,
            caches: CacheDirectory::default(),
            peers: PeerLoads::default(),
            named: None,
        }
    }

    /// Takes over the report of another daemon about tokens on engines.
    fn on_peer_loads(&mut self, sequence: u64, loads: &[(&str, u64)], now: Duration) {
        let loads = loads.iter();
        let report = LoadReport {
            scope: Scope::Daemon,
            sender_hash: 1,
            sequence,
            part: 0,
            loads: loads
                .map(|(id, tokens)| EngineLoad::new(load_hash(id), *tokens))
                .collect(),
        };
        self.peers.on_report(&Role::default(), report, now);
    }

    /// Whether a server could take a request that was tried at another one.
    fn has_usable_but(&mut self, tried: ServerKey, now: Duration) -> bool {
        let service = service(0.0);
        let query = Query {
            service: &service,
            places: Places {
                regions: &self.regions,
                route: &self.confined_to,
                workspace: &[],
            },
            prompt: None,
            tried: &[tried],
            share: 1.0,
        };
        has_usable(&mut self.servers, &query, now)
    }

    fn place(&mut self, prompt: &Prompt, now: Duration) -> Result<Selected, NoServer> {
        self.place_within(prompt, 90_000.0, now)
    }

    fn place_within(
        &mut self,
        prompt: &Prompt,
        memory_limit_tokens: f64,
        now: Duration,
    ) -> Result<Selected, NoServer> {
        let service = service(0.0);
        let query = Query {
            service: &service,
            places: Places {
                regions: &self.regions,
                route: &self.confined_to,
                workspace: &[],
            },
            prompt: Some(PromptQuery {
                prompt,
                caches: &self.caches,
                peer_loads: &self.peers,
                isolated_workspace: None,
                oldest_version: None,
                engine_tokens_per_ms: 5_000.0,
                engine_capacity_tokens: 100_000,
                memory_limit_tokens,
                named: self.named.as_ref(),
                old_part_times: OldPartTimes {
                    trust_limit: at(3_000),
                    weight_switch: at(9_000),
                },
                is_configuration_current: true,
                are_switches_current: self.named.is_some(),
            }),
            tried: &[],
            share: 0.1,
        };
        select(&mut self.servers, &query, now, &mut rng())
    }

    fn id_of(&self, selected: &Selected) -> String {
        let server = self.servers.get(selected.server).expect("selected server");
        server.entry.id.clone()
    }
}

fn plain_choice(
    servers: &mut Servers,
    service: &Service,
    now: Duration,
) -> Result<String, NoServer> {
    let regions = IndexMap::new();
    let query = Query {
        service,
        places: Places {
            regions: &regions,
            route: &[],
            workspace: &[],
        },
        prompt: None,
        tried: &[],
        share: 0.1,
    };
    let selected = select(servers, &query, now, &mut rng())?;
    Ok(servers
        .get(selected.server)
        .expect("server")
        .entry
        .id
        .clone())
}

struct EntryCase {
    name: &'static str,
    change: fn(&mut Servers),
    is_selected: bool,
}

/// Guards against work for servers that leave, are gone, or whose address belongs to another one.
#[test]
#[expect(clippy::too_many_lines, reason = "one row a case")]
fn only_servers_in_service_are_selected() {
    let drain = |servers: &mut Servers| {
        let draining = ServerEntry {
            state: ServerState::Draining,
            ..entry("s")
        };
        servers.on_seen(draining, at(10));
    };
    let cases = [
        EntryCase {
            name: "ready",
            change: |_| {},
            is_selected: true,
        },
        EntryCase {
            name: "draining",
            change: drain,
            is_selected: false,
        },
        EntryCase {
            name: "a delayed ready entry after the drain",
            change: |servers| {
                let draining = ServerEntry {
                    state: ServerState::Draining,
                    ..entry("s")
                };
                servers.on_seen(draining, at(10));
                servers.on_seen(entry("s"), at(20));
            },
            is_selected: false,
        },
        EntryCase {
            name: "entry removed",
            change: |servers| servers.on_removed("s", Duration::ZERO, at(10)),
            is_selected: false,
        },
        EntryCase {
            name: "entry lapsed while the store was away",
            change: |servers| servers.on_removed("s", Duration::from_secs(2), at(10)),
            is_selected: true,
        },
        EntryCase {
            name: "lapsed entry did not come back",
            change: |servers| {
                servers.on_removed("s", Duration::from_millis(20), at(10));
                servers.expire(at(40));
            },
            is_selected: false,
        },
        EntryCase {
            name: "lapsed entry came back",
            change: |servers| {
                servers.on_removed("s", Duration::from_millis(20), at(10));
                servers.on_seen(entry("s"), at(20));
                servers.expire(at(40));
            },
            is_selected: true,
        },
        EntryCase {
            name: "missing in a complete listing",
            change: |servers| servers.retain_listed(&IndexSet::new(), Duration::ZERO, at(10)),
            is_selected: false,
        },
        EntryCase {
            name: "failure domain out of service",
            change: |servers| servers.take_out("a"),
            is_selected: false,
        },
        EntryCase {
            name: "failure domain returned",
            change: |servers| {
                servers.take_out("a");
                servers.take_in("a");
            },
            is_selected: true,
        },
        EntryCase {
            name: "another server has the address",
            change: |servers| {
                let key = servers.key_of("s").expect("known");
                servers.get_mut(key).expect("server").is_misdirected = true;
            },
            is_selected: false,
        },
        EntryCase {
            name: "switching weights",
            change: |servers| {
                let key = servers.key_of("s").expect("known");
                servers.get_mut(key).expect("server").switching_until = at(500);
            },
            is_selected: false,
        },
    ];
    for case in cases {
        let mut servers = Servers::default();
        servers.on_seen(entry("s"), at(0));
        (case.change)(&mut servers);
        let choice = plain_choice(&mut servers, &service(0.0), at(50));
        assert_eq!(
            choice.is_ok(),
            case.is_selected,
            "{}: {choice:?}",
            case.name
        );
    }
}

/// Guards against a restart under the same identifier that is taken for the server before it.
#[test]
fn a_restart_under_the_same_identifier_starts_anew() {
    let mut servers = Servers::default();
    let key = servers.on_seen(entry("s"), at(0));
    servers.get_mut(key).expect("server").is_misdirected = true;
    let restarted = ServerEntry {
        started_at_ms: Some(2),
        ..entry("s")
    };
    servers.on_seen(restarted.clone(), at(10));
    assert!(plain_choice(&mut servers, &service(0.0), at(20)).is_ok());
    let delayed = ServerEntry {
        state: ServerState::Draining,
        ..entry("s")
    };
    servers.on_seen(delayed, at(30));
    let server = servers.get(key).expect("server");
    assert_eq!(
        server.entry, restarted,
        "a heartbeat of the earlier start is ignored"
    );
}

/// Guards against full load on a server that just started.
#[test]
fn a_cold_server_gets_its_share_of_a_few_requests() {
    let mut servers = Servers::default();
    let cold = ServerEntry {
        cold_for: Duration::from_secs(3),
        ..entry("s")
    };
    servers.on_seen(cold, at(0));
    let service = service(10.0);
    let taken = (0..200)
        .filter(|step| plain_choice(&mut servers, &service, at(step * 10)).is_ok())
        .count();
    assert!(
        (1..=3).contains(&taken),
        "{taken} requests in two seconds at a tenth of 10/s"
    );
    assert!(
        plain_choice(&mut servers, &service, at(3_100)).is_ok(),
        "it is warm after 3 s"
    );
}

/// Guards against returning prompts that are computed anew because each daemon sends them elsewhere.
#[test]
fn requests_of_one_session_meet_on_one_server() {
    let ids = ["s1", "s2", "s3", "s4", "s5"];
    let mut world = World::new(&ids);
    let mut reversed = World::new(&["s5", "s4", "s3", "s2", "s1"]);
    for session in 100..130 {
        let prompt = prompt(session);
        let one = world.place(&prompt, at(1)).expect("server");
        let other = reversed.place(&prompt, at(1)).expect("server");
        assert_eq!(
            world.id_of(&one),
            reversed.id_of(&other),
            "session {session}"
        );
    }
}

/// Guards against sessions that move when a server that never had them leaves.
#[test]
fn a_server_that_leaves_moves_only_its_own_sessions() {
    let mut before = World::new(&["s1", "s2", "s3", "s4"]);
    let mut after = World::new(&["s1", "s2", "s3"]);
    for session in 100..160 {
        let prompt = prompt(session);
        let old = before.place(&prompt, at(1)).expect("server");
        let new = after.place(&prompt, at(1)).expect("server");
        if before.id_of(&old) != "s4" {
            assert_eq!(before.id_of(&old), after.id_of(&new), "session {session}");
        }
    }
}

/// Guards against a popular prompt that fills the memory of one engine (flash crowd on one prompt).
/// The load is put on by other daemons, which this one knows only from their reports.
#[test]
fn a_flash_crowd_on_one_prompt_spills_to_other_servers() {
    let mut world = World::new(&["s1", "s2", "s3", "s4"]);
    let prompt = prompt(42);
    let home = world.place(&prompt, at(1)).expect("server");
    let home = world.id_of(&home);
    world.on_peer_loads(1, &[(home.as_str(), 90_000)], at(2));
    let spilled = world.place(&prompt, at(3)).expect("server");
    assert_ne!(world.id_of(&spilled), home);
    world.peers.expire(&Role::default(), at(60_000));
    let back = world.place(&prompt, at(60_000)).expect("server");
    assert_eq!(world.id_of(&back), home, "the report is outdated");
}

fn events(parts: &[(&str, u32)], epoch: u64) -> CacheEvents {
    CacheEvents {
        epoch,
        clock_ms: Some(1_000),
        next: 10,
        has_gap: false,
        changes: parts
            .iter()
            .map(|(id, tokens)| HeldPart {
                scope: "w1".to_owned(),
                id: (*id).to_owned(),
                tokens: *tokens,
            })
            .collect(),
    }
}

fn store(port: u16) -> StoreSpec {
    StoreSpec {
        address: format!("127.0.0.1:{port}").parse().expect("address"),
        failure_domain: "a".to_owned(),
        capacity_tokens: 100_000,
        link_tokens_per_ms: 1_000.0,
        first_byte: Duration::from_millis(1),
    }
}

fn named_prompt() -> Prompt {
    let part = |id: &str, tokens| PromptPart {
        id_hash: name_hash(id),
        tokens,
    };
    Prompt {
        model: MODEL.to_owned(),
        prompt_tokens: 9_000,
        output_tokens_max: 10,
        parts: vec![
            part("manual", 500),
            part("history", 8_000),
            part("question", 500),
        ],
    }
}

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
    world.servers.get_mut(key).expect("server").switching_until = at(5_000);
    assert_eq!(fetch(&mut world), None);
}

/// Guards against prompts that go on to an engine that rejects them (all daemons restart at once, so none
/// knows the load of the others), and against refusals because each engine rejected one prompt.
#[test]
fn an_engine_that_rejects_prompts_is_spared_while_others_have_room() {
    let ids = ["s1", "s2", "s3", "s4"];
    let mut world = World::new(&ids);
    let prompt = prompt(42);
    let home = world.place(&prompt, at(1)).expect("server").server;
    let server = world.servers.get_mut(home).expect("known");
    server.on_full(100_000, at(2));
    let spilled = world.place(&prompt, at(100)).expect("server").server;
    assert_ne!(spilled, home);
    let back = world.place(&prompt, at(2_000)).expect("server").server;
    assert_eq!(back, home, "the rejection is long past");
    for id in ids {
        let key = world.servers.key_of(id).expect("known");
        let server = world.servers.get_mut(key).expect("known");
        server.on_full(100_000, at(2_000));
    }
    let placed = world.place(&prompt, at(2_100)).expect("no refusal");
    assert_eq!(placed.server, home, "all are alike");
}

/// Guards against a slow stream that is given up for a server that may not take it: the stream would be
/// cut although it was sound.
#[test]
fn only_servers_that_could_take_a_request_are_an_alternative() {
    struct Case {
        name: &'static str,
        change: fn(&mut World, ServerKey),
        expected: bool,
    }
    let cases = [
        Case {
            name: "sound",
            change: |_, _| {},
            expected: true,
        },
        Case {
            name: "out of the regions of the route",
            change: |world, _| world.confined_to = vec!["south".to_owned()],
            expected: false,
        },
        Case {
            name: "unreachable",
            change: |world, key| {
                let server = world.servers.get_mut(key).expect("known");
                server.on_unreachable(at(1));
            },
            expected: false,
        },
        Case {
            name: "switching weights",
            change: |world, key| {
                let server = world.servers.get_mut(key).expect("known");
                server.switching_until = at(5_000);
            },
            expected: false,
        },
        Case {
            name: "leaving",
            change: |world, _| {
                let mut leaving = entry("s2");
                leaving.state = ServerState::Draining;
                world.servers.on_seen(leaving, at(1));
            },
            expected: false,
        },
    ];
    for case in cases {
        let mut world = World::new(&["s1", "s2"]);
        let current = world.servers.key_of("s1").expect("known");
        let other = world.servers.key_of("s2").expect("known");
        (case.change)(&mut world, other);
        let found = world.has_usable_but(current, at(2));
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

/// Guards against engines that run out of memory because a prompt goes to one of them anyway.
#[test]
fn a_prompt_for_which_no_engine_has_memory_is_refused() {
    let mut world = World::new(&["s1", "s2"]);
    let prompt = prompt(42);
    let mut outcome = |tokens: [u64; 2], sequence: u64| {
        let loads = [("s1", tokens[0]), ("s2", tokens[1])];
        world.on_peer_loads(sequence, &loads, at(sequence));
        world.place_within(&prompt, 80_000.0, at(50)).err()
    };
    assert_eq!(outcome([50_000, 50_000], 1), None);
    assert_eq!(
        outcome([81_000, 79_000], 2),
        None,
        "the other engine has room"
    );
    assert_eq!(outcome([81_000, 81_000], 3), Some(NoServer::NoMemory));
    assert_eq!(outcome([20_000, 81_000], 4), None);
}

/// Guards against prompts that leave the regions to which their route is confined, as requests or as
/// kept cache.
#[test]
fn a_confined_prompt_stays_in_its_regions() {
    let mut world = World::new(&["s1"]);
    let south = ServerEntry {
        failure_domain: "b".to_owned(),
        ..entry("s2")
    };
    world.servers.on_seen(south, at(0));
    let mut specs = [store(8001), store(8002)];
    specs[1].failure_domain = "b".to_owned();
    for key in world.caches.on_stores(&specs) {
        world.caches.on_events(key, events(&[], 1), at(1));
    }
    for (region, server, store) in [("north", "s1", &specs[0]), ("south", "s2", &specs[1])] {
        world.confined_to = vec![region.to_owned()];
        let selected = world.place(&named_prompt(), at(1)).expect("server");
        assert_eq!(world.id_of(&selected), server, "{region}");
        let plan = selected.cache.expect("a generation").plan;
        assert_eq!(plan.parts[1].save, Some(store.address), "{region}");
    }
    world.confined_to = vec!["elsewhere".to_owned()];
    let refused = world.place(&named_prompt(), at(1)).err();
    assert_eq!(refused, Some(NoServer::NoneInService));
}

/// Guards against requests that wait for a connection to a server that is known to be unreachable.
#[test]
fn an_unreachable_server_is_avoided_at_once_and_tried_again_later() {
    let mut servers = Servers::default();
    let key = servers.on_seen(entry("s"), at(0));
    servers.get_mut(key).expect("server").on_unreachable(at(10));
    assert!(plain_choice(&mut servers, &service(0.0), at(20)).is_err());
    assert!(plain_choice(&mut servers, &service(0.0), at(5_000)).is_ok());
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
