//! Which servers get requests, by their entries and observed state.

use crate::fixture::{MODEL, SHARE, at, entry, select_plain, service, try_select};
use anvilgw_gateway::configuration::Service;
use anvilgw_gateway::permits::PermitOutcome;
use anvilgw_gateway::server::{ServerEntry, ServerState, Servers};
use indexmap::IndexSet;
use std::time::Duration;

struct ServerCase {
    name: &'static str,
    change: fn(&mut Servers),
    is_selected: bool,
}

/// Guards against requests to servers that are draining or removed, or whose address belongs to
/// another server.
#[test]
#[expect(clippy::too_many_lines, reason = "one row a case")]
fn only_servers_in_service_are_selected() {
    let drain = |servers: &mut Servers| {
        let draining = ServerEntry {
            state: ServerState::Draining,
            ..entry("s")
        };
        servers.on_entry_published(draining, at(10));
    };
    let cases = [
        ServerCase {
            name: "ready",
            change: |_| {},
            is_selected: true,
        },
        ServerCase {
            name: "draining",
            change: drain,
            is_selected: false,
        },
        ServerCase {
            name: "a delayed ready entry after the drain",
            change: |servers| {
                let draining = ServerEntry {
                    state: ServerState::Draining,
                    ..entry("s")
                };
                servers.on_entry_published(draining, at(10));
                servers.on_entry_published(entry("s"), at(20));
            },
            is_selected: false,
        },
        ServerCase {
            name: "entry removed",
            change: |servers| servers.on_entry_removed("s", Duration::ZERO, at(10)),
            is_selected: false,
        },
        ServerCase {
            name: "entry lapsed while the store was away",
            change: |servers| servers.on_entry_removed("s", Duration::from_secs(2), at(10)),
            is_selected: true,
        },
        ServerCase {
            name: "lapsed entry did not come back",
            change: |servers| {
                servers.on_entry_removed("s", Duration::from_millis(20), at(10));
                servers.expire(at(40));
            },
            is_selected: false,
        },
        ServerCase {
            name: "lapsed entry came back",
            change: |servers| {
                servers.on_entry_removed("s", Duration::from_millis(20), at(10));
                servers.on_entry_published(entry("s"), at(20));
                servers.expire(at(40));
            },
            is_selected: true,
        },
        ServerCase {
            name: "missing in a complete listing",
            change: |servers| servers.retain_listed(&IndexSet::new(), Duration::ZERO, at(10)),
            is_selected: false,
        },
        ServerCase {
            name: "failure domain out of service",
            change: |servers| servers.disable_domain("a"),
            is_selected: false,
        },
        ServerCase {
            name: "failure domain returned",
            change: |servers| {
                servers.disable_domain("a");
                servers.enable_domain("a");
            },
            is_selected: true,
        },
        ServerCase {
            name: "another server has the address",
            change: |servers| {
                let key = servers.key_of("s").expect("known");
                servers.get_mut(key).expect("server").is_address_reused = true;
            },
            is_selected: false,
        },
        ServerCase {
            name: "switching weights",
            change: |servers| {
                let key = servers.key_of("s").expect("known");
                let server = servers.get_mut(key).expect("server");
                server.on_switch_ordered(MODEL, 2, at(500));
            },
            is_selected: false,
        },
    ];
    for case in cases {
        let mut servers = Servers::default();
        servers.on_entry_published(entry("s"), at(0));
        (case.change)(&mut servers);
        let choice = select_plain(&mut servers, &service(0.0), at(50));
        assert_eq!(
            choice.is_ok(),
            case.is_selected,
            "{}: {choice:?}",
            case.name
        );
    }
}

/// Guards against state of an earlier start that is applied to a server that restarted under
/// the same identifier.
#[test]
fn restart_under_the_same_identifier_resets_the_server_state() {
    let mut servers = Servers::default();
    let key = servers.on_entry_published(entry("s"), at(0));
    servers.get_mut(key).expect("server").is_address_reused = true;
    let restarted = ServerEntry {
        started_at_ms: Some(2),
        ..entry("s")
    };
    servers.on_entry_published(restarted.clone(), at(10));
    assert!(select_plain(&mut servers, &service(0.0), at(20)).is_ok());
    let delayed = ServerEntry {
        state: ServerState::Draining,
        ..entry("s")
    };
    servers.on_entry_published(delayed, at(30));
    let server = servers.get(key).expect("server");
    assert_eq!(
        server.entry, restarted,
        "a heartbeat of the earlier start is ignored"
    );
}

/// Returns whether a request may be sent to the server `s` when no issuer of permits answers.
fn is_permitted(servers: &mut Servers, service: &Service, now: Duration) -> bool {
    let Ok(selected) = try_select(servers, service, now) else {
        return false;
    };
    let Some(limit) = selected.permit_needed else {
        return true;
    };
    let server = servers.get_mut(selected.server).expect("server");
    server
        .permits
        .on_outcome(PermitOutcome::NoAnswer, limit, now);
    server.permits.take(limit, SHARE, now)
}

/// Guards against full load on a server that has just started.
#[test]
fn cold_server_gets_only_the_daemons_share_of_the_allowance_without_an_issuer() {
    let mut servers = Servers::default();
    let cold = ServerEntry {
        cold_for: Duration::from_secs(3),
        ..entry("s")
    };
    servers.on_entry_published(cold, at(0));
    let service = service(10.0);
    let taken = (0..200)
        .filter(|step| is_permitted(&mut servers, &service, at(step * 10)))
        .count();
    assert!(
        (1..=3).contains(&taken),
        "{taken} requests in two seconds at a tenth of 10/s"
    );
    assert!(
        select_plain(&mut servers, &service, at(3_100)).is_ok(),
        "it is warm after 3 s"
    );
}

/// Guards against requests that wait for a connection to a server known to be unreachable.
#[test]
fn unreachable_server_is_avoided_at_once_and_retried_later() {
    let mut servers = Servers::default();
    let key = servers.on_entry_published(entry("s"), at(0));
    servers.get_mut(key).expect("server").on_unreachable(at(10));
    assert!(select_plain(&mut servers, &service(0.0), at(20)).is_err());
    assert!(select_plain(&mut servers, &service(0.0), at(5_000)).is_ok());
}

/// Guards against a daemon whose tasks panic because a server states that it stays cold for an
/// extreme time, in its entry or in an answer.
#[test]
fn a_server_may_state_to_stay_cold_for_ever() {
    let mut servers = Servers::default();
    let forever = ServerEntry {
        cold_for: Duration::MAX,
        ..entry("s")
    };
    let key = servers.on_entry_published(forever, at(10));
    let server = servers.get_mut(key).expect("server");
    assert!(server.is_cold(at(1_000_000)));
    server.set_cold_for(Duration::ZERO, at(20));
    assert!(!server.is_cold(at(20)));
    server.set_cold_for(Duration::MAX, at(30));
    assert!(server.is_cold(at(1_000_000)));
}
