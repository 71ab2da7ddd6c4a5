//! Notices in servers' answers about further requests: that the server is draining, or that it
//! asks for a back-off.

use crate::fixture::{Fixture, at, entry, prompt, select_plain, service, try_select};
use anvilgw_gateway::request_limit::RequestRate;
use anvilgw_gateway::select::NoServer;
use anvilgw_gateway::server::{ServerEntry, ServerKey, ServerState, Servers};
use std::time::Duration;

fn server_after(steps: &[fn(&mut Servers, ServerKey)]) -> Servers {
    let mut servers = Servers::default();
    let key = servers.on_entry_published(entry("s"), at(0));
    for step in steps {
        step(&mut servers, key);
    }
    servers
}

fn announce_drain(servers: &mut Servers, key: ServerKey) {
    let server = servers.get_mut(key).expect("server");
    assert!(server.mark_draining(), "the first notice is new");
    assert!(!server.mark_draining(), "a repeated notice is not");
}

fn request_backoff(servers: &mut Servers, key: ServerKey) {
    let server = servers.get_mut(key).expect("server");
    server.on_backoff_requested(Duration::from_millis(2_500), at(100));
}

fn republish(servers: &mut Servers, _: ServerKey) {
    servers.on_entry_published(entry("s"), at(200));
}

fn remove(servers: &mut Servers, _: ServerKey) {
    servers.on_entry_removed("s", Duration::ZERO, at(300));
}

fn restart(servers: &mut Servers, _: ServerKey) {
    let restarted = ServerEntry {
        started_at_ms: Some(2),
        ..entry("s")
    };
    servers.on_entry_published(restarted, at(400));
}

fn republish_earlier(servers: &mut Servers, _: ServerKey) {
    let earlier = ServerEntry {
        started_at_ms: Some(0),
        ..entry("s")
    };
    servers.on_entry_published(earlier, at(500));
}

fn drain(servers: &mut Servers, _: ServerKey) {
    let draining = ServerEntry {
        state: ServerState::Draining,
        ..entry("s")
    };
    servers.on_entry_published(draining, at(150));
}

struct NoticeCase {
    name: &'static str,
    steps: &'static [fn(&mut Servers, ServerKey)],
    is_selected: bool,
}

/// Guards against requests to a server that announced a drain or asked for a back-off, after
/// its entry is published again. Only a restart of the server clears such a notice.
#[test]
fn notice_stays_in_force_until_the_server_restarts() {
    let case = |name, steps, is_selected| NoticeCase {
        name,
        steps,
        is_selected,
    };
    let cases = [
        case("drain announced", &[announce_drain], false),
        case(
            "drain announced, listed as ready",
            &[announce_drain, republish],
            false,
        ),
        case(
            "drain announced, entry gone and back",
            &[announce_drain, remove, republish],
            false,
        ),
        case(
            "drain announced, entry gone and back twice",
            &[announce_drain, remove, republish, remove, republish],
            false,
        ),
        case(
            "draining, entry gone, delayed entry",
            &[drain, remove, republish],
            false,
        ),
        case(
            "drain announced, entry gone, delayed entry of an earlier start",
            &[announce_drain, remove, republish_earlier],
            false,
        ),
        case(
            "drain announced, restarted",
            &[announce_drain, restart],
            true,
        ),
        case(
            "drain announced, entry gone, restarted",
            &[announce_drain, remove, restart],
            true,
        ),
        case(
            "backing off, entry gone and back",
            &[request_backoff, remove, republish],
            false,
        ),
        case("backing off, restarted", &[request_backoff, restart], true),
        case("entry gone and back", &[remove, republish], true),
    ];
    for case in cases {
        let mut servers = server_after(case.steps);
        let selected = select_plain(&mut servers, &service(0.0), at(600));
        assert_eq!(selected.is_ok(), case.is_selected, "{}", case.name);
    }
}

/// Guards against requests to a server before its back-off ends, and against a client that is
/// told to retry before any server takes requests.
#[test]
fn server_gets_no_requests_until_its_backoff_ends() {
    let mut servers = Servers::default();
    let keys = ["s1", "s2"].map(|id| servers.on_entry_published(entry(id), at(0)));
    let service = service(0.0);
    let back_off = |servers: &mut Servers, key, ms, now| {
        let server = servers.get_mut(key).expect("server");
        server.on_backoff_requested(Duration::from_millis(ms), now);
    };
    back_off(&mut servers, keys[0], 2_500, at(100));
    for ms in (100..2_600).step_by(10) {
        let chosen = select_plain(&mut servers, &service, at(ms));
        assert_eq!(chosen.as_deref(), Ok("s2"), "at {ms} ms");
    }
    back_off(&mut servers, keys[1], 1_000, at(2_000));
    // A delayed answer with a shorter back-off does not shorten the one in force.
    back_off(&mut servers, keys[1], 200, at(2_001));
    let refused = select_plain(&mut servers, &service, at(2_100));
    assert_eq!(refused, Err(NoServer::BackingOff(at(500))), "s1 is first");
    let chosen = select_plain(&mut servers, &service, at(2_600));
    assert_eq!(chosen.as_deref(), Ok("s1"));
}

/// Guards against a server that never gets requests again because it asked for an extreme back-off.
#[test]
fn a_backoff_is_bounded() {
    let mut servers = Servers::default();
    let key = servers.on_entry_published(entry("s"), at(0));
    let server = servers.get_mut(key).expect("server");
    server.on_backoff_requested(Duration::MAX, at(0));
    let left = server.backoff_left(at(0));
    assert!(left >= Duration::from_secs(60), "{left:?}");
    assert!(left <= Duration::from_secs(600), "{left:?}");
}

/// Guards against prompts that still go to an engine that asked for a back-off to shed load,
/// and against waiting for memory when all engines back off.
#[test]
fn prompts_avoid_engines_that_back_off_and_are_refused_when_all_do() {
    let ids = ["s1", "s2", "s3"];
    let mut fixture = Fixture::new(&ids);
    for id in &ids[..2] {
        let key = fixture.servers.key_of(id).expect("known");
        let server = fixture.servers.get_mut(key).expect("server");
        server.on_backoff_requested(Duration::from_secs(2), at(0));
    }
    for session in 100..130 {
        let selected = fixture.place(&prompt(session), at(10)).expect("server");
        assert_eq!(fixture.id_of(&selected), "s3", "session {session}");
    }
    let key = fixture.servers.key_of("s3").expect("known");
    let server = fixture.servers.get_mut(key).expect("server");
    server.on_backoff_requested(Duration::from_secs(1), at(20));
    assert!(!fixture.selects_another(key, at(20)));
    let refused = fixture.place(&prompt(100), at(20)).map(|_| ());
    assert_eq!(refused, Err(NoServer::BackingOff(at(1_000))));
}

/// Guards against a limit that is forgotten when the entry of its server expires and appears again,
/// and against one that outlives a restart of the server.
#[test]
fn a_limit_stays_in_force_until_the_server_restarts() {
    fn name_limit(servers: &mut Servers, key: ServerKey) {
        let server = servers.get_mut(key).expect("server");
        let limit = RequestRate::from_per_s(2.5).expect("rate");
        server.request_limit.on_named(limit, at(100));
    }
    type Steps = &'static [fn(&mut Servers, ServerKey)];
    let cases: [(&str, Steps, bool); 5] = [
        ("named", &[name_limit], true),
        ("listed again", &[name_limit, republish], true),
        (
            "entry gone and back",
            &[name_limit, remove, republish],
            true,
        ),
        ("restarted", &[name_limit, restart], false),
        ("gone and restarted", &[name_limit, remove, restart], false),
    ];
    for (name, steps, is_limited) in cases {
        let mut servers = server_after(steps);
        let selected = try_select(&mut servers, &service(0.0), at(1_000)).expect("server");
        assert_eq!(selected.permit_needed.is_some(), is_limited, "{name}");
    }
}
