//! Selection of the engine for a prompt.

use crate::fixture::{Fixture, MODEL, at, entry, events, named_prompt, prompt, store};
use anvilgw_gateway::groups::Role;
use anvilgw_gateway::overload::Rejection;
use anvilgw_gateway::select::NoServer;
use anvilgw_gateway::server::{ServerEntry, ServerKey, ServerState};

/// Guards against prompts of one session that are computed again because each daemon sends them
/// to another server.
#[test]
fn requests_of_one_session_go_to_one_server_from_all_daemons() {
    let ids = ["s1", "s2", "s3", "s4", "s5"];
    let mut fixture = Fixture::new(&ids);
    let mut reversed = Fixture::new(&["s5", "s4", "s3", "s2", "s1"]);
    for session in 100..130 {
        let prompt = prompt(session);
        let one = fixture.place(&prompt, at(1)).expect("server");
        let other = reversed.place(&prompt, at(1)).expect("server");
        assert_eq!(
            fixture.id_of(&one),
            reversed.id_of(&other),
            "session {session}"
        );
    }
}

/// Guards against requests to servers whose weights are expired or not known. Without a known
/// version the request demands none, so the server would run it with any.
#[test]
fn expired_and_unknown_weights_serve_no_request() {
    let mut fixture = Fixture::new(&["expired"]);
    let mut unknown = entry("unknown");
    unknown.models.clear();
    fixture.servers.on_entry_published(unknown, at(0));
    let prompt = prompt(42);
    assert!(fixture.place(&prompt, at(1)).is_ok());
    fixture.oldest_version = Some(2);
    let refused = fixture.place(&prompt, at(1)).map(|_| ());
    assert_eq!(refused, Err(NoServer::NoneInService));
    let mut newest = entry("newest");
    newest.models[0].version = 2;
    fixture.servers.on_entry_published(newest, at(0));
    let selected = fixture.place(&prompt, at(1)).expect("a server");
    assert_eq!(fixture.id_of(&selected), "newest");
}

/// Guards against sessions that move when a server is removed that never served them.
#[test]
fn removed_server_moves_only_its_own_sessions() {
    let mut before = Fixture::new(&["s1", "s2", "s3", "s4"]);
    let mut after = Fixture::new(&["s1", "s2", "s3"]);
    for session in 100..160 {
        let prompt = prompt(session);
        let old = before.place(&prompt, at(1)).expect("server");
        let new = after.place(&prompt, at(1)).expect("server");
        if before.id_of(&old) != "s4" {
            assert_eq!(before.id_of(&old), after.id_of(&new), "session {session}");
        }
    }
}

/// Guards against a popular prompt that fills the memory of one engine. The load comes from
/// other daemons and is known only from their load reports.
#[test]
fn a_flash_crowd_on_one_prompt_spills_to_other_servers() {
    let mut fixture = Fixture::new(&["s1", "s2", "s3", "s4"]);
    let prompt = prompt(42);
    let home = fixture.place(&prompt, at(1)).expect("server");
    let home = fixture.id_of(&home);
    fixture.on_peer_loads(1, &[(home.as_str(), 90_000)], at(2));
    let spilled = fixture.place(&prompt, at(3)).expect("server");
    assert_ne!(fixture.id_of(&spilled), home);
    fixture.peers.expire(&Role::default(), at(60_000));
    let back = fixture.place(&prompt, at(60_000)).expect("server");
    assert_eq!(fixture.id_of(&back), home, "the report is outdated");
}

/// Guards against prompts that still go to an engine that rejects them, which happens when all
/// daemons restart at once and none knows the load of the others. Also guards against refusals
/// because each engine has rejected one prompt.
#[test]
fn engine_that_rejects_prompts_is_avoided_while_others_have_memory() {
    let ids = ["s1", "s2", "s3", "s4"];
    let mut fixture = Fixture::new(&ids);
    let prompt = prompt(42);
    let home = fixture.place(&prompt, at(1)).expect("server").server;
    let server = fixture.servers.get_mut(home).expect("known");
    server.on_engine_full(100_000, at(2));
    let spilled = fixture.place(&prompt, at(100)).expect("server").server;
    assert_ne!(spilled, home);
    let back = fixture.place(&prompt, at(2_000)).expect("server").server;
    assert_eq!(back, home, "the assumed load has expired");
    for id in ids {
        let key = fixture.servers.key_of(id).expect("known");
        let server = fixture.servers.get_mut(key).expect("known");
        server.on_engine_full(100_000, at(2_000));
    }
    let placed = fixture.place(&prompt, at(2_100)).expect("no refusal");
    assert_eq!(placed.server, home, "all engines are equally loaded");
}

/// Guards against a slow but intact stream that is cut in favour of a server that cannot take
/// the request.
#[test]
fn only_usable_servers_count_as_alternatives() {
    struct Case {
        name: &'static str,
        change: fn(&mut Fixture, ServerKey),
        expected: bool,
    }
    let cases = [
        Case {
            name: "usable",
            change: |_, _| {},
            expected: true,
        },
        Case {
            name: "out of the regions of the route",
            change: |fixture, _| fixture.confined_to = vec!["south".to_owned()],
            expected: false,
        },
        Case {
            name: "unreachable",
            change: |fixture, key| {
                let server = fixture.servers.get_mut(key).expect("known");
                server.on_unreachable(at(1));
            },
            expected: false,
        },
        Case {
            name: "switching weights",
            change: |fixture, key| {
                let server = fixture.servers.get_mut(key).expect("known");
                server.on_switch_ordered(MODEL, 2, at(5_000));
            },
            expected: false,
        },
        Case {
            name: "draining",
            change: |fixture, _| {
                let mut draining = entry("s2");
                draining.state = ServerState::Draining;
                fixture.servers.on_entry_published(draining, at(1));
            },
            expected: false,
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new(&["s1", "s2"]);
        let current = fixture.servers.key_of("s1").expect("known");
        let other = fixture.servers.key_of("s2").expect("known");
        (case.change)(&mut fixture, other);
        let found = fixture.selects_another(current, at(2));
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

/// Guards against engines that run out of memory because a prompt is sent although none has room.
#[test]
fn a_prompt_for_which_no_engine_has_memory_is_refused() {
    let mut fixture = Fixture::new(&["s1", "s2"]);
    let prompt = prompt(42);
    let mut outcome = |tokens: [u64; 2], sequence: u64| {
        let loads = [("s1", tokens[0]), ("s2", tokens[1])];
        fixture.on_peer_loads(sequence, &loads, at(sequence));
        fixture.place_within(&prompt, 80_000.0, at(50)).err()
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

/// Guards against prompts that leave the regions to which their route is confined, as requests
/// or as cached parts.
#[test]
fn a_confined_prompt_stays_in_its_regions() {
    let mut fixture = Fixture::new(&["s1"]);
    let south = ServerEntry {
        failure_domain: "b".to_owned(),
        ..entry("s2")
    };
    fixture.servers.on_entry_published(south, at(0));
    let mut specs = [store(8001), store(8002)];
    specs[1].failure_domain = "b".to_owned();
    for key in fixture.caches.set_stores(&specs) {
        fixture.caches.on_events(key, events(&[], 1), at(1));
    }
    for (region, server, store) in [("north", "s1", &specs[0]), ("south", "s2", &specs[1])] {
        fixture.confined_to = vec![region.to_owned()];
        let selected = fixture.place(&named_prompt(), at(1)).expect("server");
        assert_eq!(fixture.id_of(&selected), server, "{region}");
        let plan = selected.cache.expect("a generation").plan;
        assert_eq!(plan.parts[1].save, Some(store.address), "{region}");
    }
    fixture.confined_to = vec!["elsewhere".to_owned()];
    let refused = fixture.place(&named_prompt(), at(1)).err();
    assert_eq!(refused, Some(NoServer::NoneInService));
}

/// Load: a burst at a service without a queue, whose servers reject what exceeds their slots. Guards
/// against requests that are sent to servers known to be full, and against requests that are
/// rejected while a server may be free, or where the rules in force do not call for it.
#[test]
fn requests_are_rejected_at_once_only_if_all_servers_are_full() {
    let mut fixture = Fixture::new(&["s1", "s2"]);
    let keys = ["s1", "s2"].map(|id| fixture.servers.key_of(id).expect("known"));
    let full = Err(NoServer::Overloaded(Rejection::all_full()));
    assert_eq!(fixture.try_plain(true, at(1)), Ok(()));
    fixture
        .servers
        .get_mut(keys[0])
        .expect("known")
        .on_full(at(2));
    assert_eq!(fixture.try_plain(true, at(3)), Ok(()), "one may be free");
    let other = fixture.servers.get_mut(keys[1]).expect("known");
    for _ in 0..8 {
        other.on_request_sent(0, at(3));
    }
    assert_eq!(fixture.try_plain(true, at(4)), full);
    assert_eq!(fixture.try_plain(false, at(4)), Ok(()), "without the rule");
    assert_eq!(
        fixture.try_plain(true, at(900)),
        Ok(()),
        "the rejection is old"
    );
}
