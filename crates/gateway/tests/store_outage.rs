//! The kind of an outage of the metadata store, told by the heartbeats of the servers.

use anvilgw_gateway::ports::Change;
use anvilgw_gateway::server::{ServerEntry, ServerState};
use anvilgw_gateway::store_outage::HeartbeatHistory;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::time::Duration;

const SERVERS: usize = 9;
/// Server whose entry is missing after the outage.
const MISSING_SERVER: usize = 0;
const SEEDS: u64 = 400;
/// Number of seeds in which an outage of the daemon's connection need not be told as such. Missing
/// entries are then used on for a while, as if the store had been unavailable.
const UNTOLD_MAX: usize = 40;
/// Largest deviation of the time between two heartbeats, as a fraction of it.
const HEARTBEAT_JITTER: f64 = 0.05;
const READ_PAUSE_S: f64 = 0.75;

/// A time in which this daemon cannot read the store, and one in which the store takes no heartbeats.
#[derive(Clone)]
struct Case {
    name: &'static str,
    interval_s: f64,
    /// Number of servers that do not reach the store during the daemon's outage.
    cut_servers: usize,
    daemon_outage_s: Range<f64>,
    store_outage_s: Range<f64>,
    /// Whether servers number their heartbeats.
    has_numbers: bool,
    was_available: bool,
}

const OWN_OUTAGE: Case = Case {
    name: "outage of the daemon's connection",
    interval_s: 1.2,
    cut_servers: 0,
    daemon_outage_s: 20.0..24.5,
    store_outage_s: 0.0..0.0,
    has_numbers: true,
    was_available: true,
};

const CASES: [Case; 11] = [
    OWN_OUTAGE,
    Case {
        name: "long outage of the daemon's connection",
        daemon_outage_s: 20.0..29.0,
        ..OWN_OUTAGE
    },
    Case {
        name: "outage of the daemon's connection, frequent heartbeats",
        interval_s: 0.4,
        ..OWN_OUTAGE
    },
    Case {
        name: "a third of the servers is cut off, too",
        cut_servers: 3,
        ..OWN_OUTAGE
    },
    Case {
        name: "outage of the store",
        store_outage_s: 20.0..24.5,
        was_available: false,
        ..OWN_OUTAGE
    },
    Case {
        name: "outage of the store, frequent heartbeats",
        interval_s: 0.4,
        store_outage_s: 20.0..22.0,
        daemon_outage_s: 20.0..22.0,
        was_available: false,
        ..OWN_OUTAGE
    },
    Case {
        name: "outage of the store for two intervals within a longer one of the connection",
        store_outage_s: 21.0..23.4,
        was_available: false,
        ..OWN_OUTAGE
    },
    Case {
        name: "outage of the store within a longer one of the daemon's connection",
        daemon_outage_s: 20.0..29.0,
        store_outage_s: 23.0..26.0,
        was_available: false,
        ..OWN_OUTAGE
    },
    Case {
        name: "most servers are cut off, too",
        cut_servers: 6,
        was_available: false,
        ..OWN_OUTAGE
    },
    Case {
        name: "too short to tell",
        daemon_outage_s: 20.0..20.2,
        was_available: false,
        ..OWN_OUTAGE
    },
    Case {
        name: "no numbers of heartbeats",
        has_numbers: false,
        was_available: false,
        ..OWN_OUTAGE
    },
];

fn entry(server: usize, heartbeat: u64) -> ServerEntry {
    ServerEntry {
        id: format!("s{server}"),
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 9000 + server as u16).into(),
        failure_domain: "a".to_owned(),
        state: ServerState::Ready,
        cold_for: Duration::ZERO,
        slots: 8,
        models: Vec::new(),
        version: None,
        started_at_ms: Some(1),
        heartbeat,
    }
}

/// Returns the heartbeats of all servers that the store has taken, with their times in seconds.
fn heartbeats(case: &Case, rng: &mut SmallRng) -> Vec<(f64, Change)> {
    let mut taken = Vec::new();
    for server in 0..SERVERS {
        let is_cut = (1..=case.cut_servers).contains(&server);
        let mut at_s = rng.random_range(0.0..case.interval_s);
        let mut number = 1;
        while at_s < case.daemon_outage_s.end + READ_PAUSE_S {
            let is_lost = case.store_outage_s.contains(&at_s)
                || (is_cut && case.daemon_outage_s.contains(&at_s))
                || (server == MISSING_SERVER && at_s > case.daemon_outage_s.start);
            if !is_lost {
                let stated = if case.has_numbers { number } else { 1 };
                taken.push((at_s, Change::ServerUpdated(entry(server, stated))));
            }
            number += 1;
            let jitter = rng.random_range(1.0 - HEARTBEAT_JITTER..1.0 + HEARTBEAT_JITTER);
            at_s += case.interval_s * jitter;
        }
    }
    let removed = Change::ServerRemoved(format!("s{MISSING_SERVER}"));
    taken.push((case.daemon_outage_s.end - 0.1, removed));
    taken.sort_by(|a, b| a.0.total_cmp(&b.0));
    taken
}

/// Lets a daemon read the heartbeats, and returns what it concludes from the first read after its
/// outage.
fn conclusion(case: &Case, seed: u64) -> bool {
    let mut rng = SmallRng::seed_from_u64(seed);
    let changes = heartbeats(case, &mut rng);
    let mut history = HeartbeatHistory::default();
    let mut known_until_s = 0.0;
    let mut read_at_s = rng.random_range(0.0..READ_PAUSE_S);
    loop {
        if case.daemon_outage_s.contains(&read_at_s) {
            read_at_s += 0.2;
            continue;
        }
        let window = known_until_s..read_at_s;
        let new = changes.iter().filter(|(at_s, _)| window.contains(at_s));
        let new: Vec<Change> = new.map(|(_, change)| change.clone()).collect();
        if read_at_s >= case.daemon_outage_s.end {
            let window = Duration::from_secs_f64(read_at_s - known_until_s);
            return history.was_store_available(&new, window);
        }
        history.on_changes(&new, Duration::from_secs_f64(read_at_s));
        known_until_s = read_at_s;
        read_at_s += READ_PAUSE_S;
    }
}

/// Guards against servers that are used for seconds after they have left, because this daemon could not
/// read the store for a while and takes their missing entries for expired ones. Also guards against
/// the opposite: after an outage of the store, expired entries of running servers must not count as
/// removed.
#[test]
fn heartbeats_tell_an_outage_of_the_store_from_one_of_the_own_connection() {
    let mut faults = Vec::new();
    for case in &CASES {
        let wrong = (0..SEEDS).filter(|seed| conclusion(case, *seed) != case.was_available);
        let wrong = wrong.count();
        let allowed = if case.was_available { UNTOLD_MAX } else { 0 };
        if wrong > allowed {
            faults.push(format!("{}: {wrong} of {SEEDS}", case.name));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
