//! Zones in the selection of servers.

use crate::fixture::{Fixture, SHARE, at, entry, prompt, rng, service, zone_choice};
use anvilgw_gateway::region_constraints::RegionConstraints;
use anvilgw_gateway::request::ReportedLoad;
use anvilgw_gateway::select::{Query, StartQuery, ZoneQuery, select};
use anvilgw_gateway::server::Servers;
use anvilgw_gateway::server_speed::ServiceSpeed;
use anvilgw_gateway::zone_choice::ZoneChoice;
use indexmap::IndexMap;

/// Servers of which the first half is in zone `a` and the second in zone `b`.
const IDS: [&str; 6] = ["s1", "s2", "s3", "s4", "s5", "s6"];

fn move_to_zones(servers: &mut Servers) {
    for (index, id) in IDS.iter().enumerate() {
        let mut moved = entry(id);
        moved.slots = 8;
        moved.failure_domain = if index < 3 { "a" } else { "b" }.to_owned();
        servers.on_entry_published(moved, at(0));
    }
}

fn zone_of(servers: &Servers, id: &str) -> String {
    let key = servers.key_of(id).expect("known");
    let server = servers.get(key).expect("known");
    server.entry.failure_domain.clone()
}

/// Returns the zone of the server selected for a request without a prompt at a daemon in zone `a`.
fn plain_zone(servers: &mut Servers, choice: Option<&ZoneChoice>) -> String {
    let (service, regions) = (service(0.0), IndexMap::new());
    let constraints = RegionConstraints {
        regions: &regions,
        route: &[],
        workspace: &[],
    };
    let query = Query {
        share: SHARE,
        zones: choice.map(|choice| ZoneQuery {
            own_zone: "a",
            choice,
            draw: 0.0,
        }),
        ..Query::new(&service, constraints)
    };
    let selected = select(servers, &query, at(1), &mut rng()).expect("a server");
    let server = servers.get(selected.server).expect("selected");
    server.entry.failure_domain.clone()
}

/// Guards against requests that cross zones for nothing, and against requests that wait in their own
/// zone, or are rejected there, while another one has free slots.
#[test]
fn a_request_without_a_prompt_stays_in_the_zone_of_its_daemon_while_that_has_room() {
    struct Case {
        name: &'static str,
        /// Requests at each server of the own zone, of 8 slots.
        running: u32,
        choice: ZoneChoice,
        zone: &'static str,
    }
    let calm = || zone_choice(&[("a", 0.0, 0.5), ("b", 0.0, 0.5)]);
    let cases = [
        Case {
            name: "own zone has more load",
            running: 5,
            choice: calm(),
            zone: "a",
        },
        Case {
            name: "no free slot in the own zone",
            running: 8,
            choice: calm(),
            zone: "b",
        },
        Case {
            name: "a share of the requests leaves",
            running: 5,
            choice: zone_choice(&[("a", 200.0, 1.1), ("b", 0.0, 0.5)]),
            zone: "b",
        },
        Case {
            name: "nothing is known of the zones",
            running: 5,
            choice: ZoneChoice::default(),
            zone: "b",
        },
    ];
    for case in cases {
        let mut servers = Servers::default();
        move_to_zones(&mut servers);
        for id in &IDS[..3] {
            let key = servers.key_of(id).expect("known");
            let load = ReportedLoad {
                running: case.running,
                slots: 8,
                ..ReportedLoad::default()
            };
            let server = servers.get_mut(key).expect("known");
            server.on_load_report(load, at(1));
        }
        let zone = plain_zone(&mut servers, Some(&case.choice));
        assert_eq!(zone, case.zone, "{}", case.name);
        assert_eq!(
            plain_zone(&mut servers, None),
            "b",
            "{}: without",
            case.name
        );
    }
}

/// Guards against prompts whose cached parts are read from another zone although a server beside
/// them begins early enough, and against prompts that no longer go to the server that ranks first.
#[test]
fn a_prompt_that_leaves_its_server_stays_in_the_zone_of_its_parts() {
    let mut fixture = Fixture::new(&IDS);
    move_to_zones(&mut fixture.servers);
    fixture.start = Some(StartQuery {
        latency_target: at(400),
        service: ServiceSpeed::default(),
        admission: None,
    });
    let calm = zone_choice(&[("a", 0.0, 0.5), ("b", 0.0, 0.5)]);
    let mut left_without = 0;
    for session in 100..140 {
        let prompt = prompt(session);
        fixture.zones = Some(calm.clone());
        let home = fixture.place(&prompt, at(1)).expect("a server");
        fixture.zones = None;
        let without = fixture.place(&prompt, at(1)).expect("a server");
        assert_eq!(home.server, without.server, "session {session}");
        let home_zone = zone_of(&fixture.servers, &fixture.id_of(&home));

        let add_work = |fixture: &mut Fixture, tokens: u64| {
            let server = fixture.servers.get_mut(home.server).expect("known");
            server.on_prompt_sent(tokens);
        };
        add_work(&mut fixture, 60_000);
        let without = fixture.place(&prompt, at(1)).expect("a server");
        let left = zone_of(&fixture.servers, &fixture.id_of(&without)) != home_zone;
        left_without += u32::from(left);
        fixture.zones = Some(calm.clone());
        let with = fixture.place(&prompt, at(1)).expect("a server");
        assert_ne!(with.server, home.server, "session {session}");
        let zone = zone_of(&fixture.servers, &fixture.id_of(&with));
        assert_eq!(zone, home_zone, "session {session}");
        let server = fixture.servers.get_mut(home.server).expect("known");
        server.on_prompt_computed(60_000);
    }
    assert!(left_without > 5, "{left_without}");
}

/// Guards against a prompt that waits in its zone beyond its latency target while another zone is
/// calm, and against one that moves to a zone under pressure.
#[test]
fn a_prompt_leaves_its_zone_when_no_server_there_begins_in_time() {
    for (pressure_of_b, leaves) in [(0.5, true), (0.95, false)] {
        let mut fixture = Fixture::new(&IDS);
        move_to_zones(&mut fixture.servers);
        fixture.start = Some(StartQuery {
            latency_target: at(400),
            service: ServiceSpeed::default(),
            admission: None,
        });
        // Equal starts, so that no share of the requests leaves and only this prompt decides.
        fixture.zones = Some(zone_choice(&[("a", 0.0, 1.5), ("b", 0.0, pressure_of_b)]));
        for id in &IDS[..3] {
            let key = fixture.servers.key_of(id).expect("known");
            let server = fixture.servers.get_mut(key).expect("known");
            server.on_prompt_sent(90_000);
        }
        let in_a = (100..200).map(prompt).find(|prompt| {
            let idle = Fixture::new(&IDS).place(prompt, at(1)).expect("a server");
            let id = fixture.id_of(&idle);
            zone_of(&fixture.servers, &id) == "a"
        });
        let prompt = in_a.expect("a prompt whose first server is in zone a");
        let selected = fixture.place(&prompt, at(1)).expect("a server");
        let zone = zone_of(&fixture.servers, &fixture.id_of(&selected));
        let expected = if leaves { "b" } else { "a" };
        assert_eq!(zone, expected, "pressure {pressure_of_b}");
    }
}

/// Guards against prompts that fill the memory of their zone's engines while those of another zone
/// are empty.
#[test]
fn a_prompt_leaves_its_zone_when_the_engines_there_hold_much_more() {
    let mut fixture = Fixture::new(&IDS);
    move_to_zones(&mut fixture.servers);
    fixture.start = Some(StartQuery {
        latency_target: at(400),
        service: ServiceSpeed::default(),
        admission: None,
    });
    fixture.zones = Some(zone_choice(&[("a", 0.0, 0.7), ("b", 0.0, 0.1)]));
    let loads = IDS[..3].iter().map(|id| (*id, 70_000));
    fixture.on_peer_loads(1, &loads.collect::<Vec<_>>(), at(1));
    for session in 100..120 {
        let selected = fixture.place(&prompt(session), at(1)).expect("a server");
        let zone = zone_of(&fixture.servers, &fixture.id_of(&selected));
        assert_eq!(zone, "b", "session {session}");
    }
}
