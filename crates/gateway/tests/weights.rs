//! Switches of weights: scopes, what may still serve, what is freed.

use anvilgw_gateway::server::{ServedModel, ServerEntry, ServerState, Servers};
use anvilgw_gateway::weights::{
    FETCH_TIME_MAX, NamedWeights, Naming, OldPartTimes, cache_scope, is_retired, may_read_part,
    next_orders, oldest_allowed, outdated, scope_version,
};
use indexmap::IndexMap;
use std::time::Duration;

const MODEL: &str = "lumen";

fn entry(index: u32, version: u64, state: ServerState) -> ServerEntry {
    ServerEntry {
        id: format!("s{index}"),
        service: "engines".to_owned(),
        address: format!("127.0.0.1:{}", 9000 + index)
            .parse()
            .expect("address"),
        failure_domain: "a".to_owned(),
        state,
        cold_for: Duration::ZERO,
        slots: 64,
        models: vec![ServedModel {
            model: MODEL.to_owned(),
            version,
        }],
        started_at_ms: Some(1),
    }
}

fn named(version: u64, named_at_s: u64) -> IndexMap<String, NamedWeights> {
    let weights = NamedWeights::new(naming(version, Duration::from_secs(named_at_s)));
    IndexMap::from([(MODEL.to_owned(), weights)])
}

/// A naming that the daemon learnt of at once.
fn naming(version: u64, named_at: Duration) -> Naming {
    Naming {
        version,
        named_after: Some(named_at),
        learnt_at: named_at,
    }
}

/// Guards against prompts of one version, or of one isolated workspace, that are found by another.
#[test]
fn scopes_differ_by_version_and_isolated_workspace() {
    let scopes = [
        cache_scope(Some(1), None),
        cache_scope(Some(2), None),
        cache_scope(Some(1), Some("club")),
        cache_scope(Some(1), Some("other")),
        cache_scope(None, None),
    ];
    for (index, scope) in scopes.iter().enumerate() {
        assert!(!scopes[index + 1..].contains(scope), "{scope}");
    }
    assert_eq!(scope_version(&scopes[2]), Some(1));
    assert_eq!(scope_version(&scopes[4]), None);
}

/// Guards against requests that begin on old weights after the time for a switch.
#[test]
fn old_weights_serve_until_shortly_before_the_end_of_the_switch() {
    let switch_time = Duration::from_secs(10);
    let weights = NamedWeights::new(naming(2, Duration::from_secs(100)));
    let at = |s| oldest_allowed(&weights, switch_time, Duration::from_secs(s));
    assert_eq!(at(101), None);
    assert_eq!(at(109), Some(2));
    assert_eq!(at(110), Some(2));
}

const TRUST_LIMIT: Duration = Duration::from_millis(4300);
const TIMES: OldPartTimes = OldPartTimes {
    trust_limit: TRUST_LIMIT,
    weight_switch: Duration::from_secs(10),
};
const SECOND: Duration = Duration::from_secs(1);
/// When the operators name version 2.
const NAMED_AT: Duration = Duration::from_secs(100);
/// Hashes of identifiers over the whole range.
const ID_HASHES: [u64; 4] = [0, u64::MAX / 3, u64::MAX / 2, u64::MAX];

struct ReaderCase {
    name: &'static str,
    /// Time up to which its copy of the operators' table held all changes, before it learnt of
    /// version 2. `None` if it started after that.
    copy_before: Option<Duration>,
    learns_at: Duration,
}

impl ReaderCase {
    /// Whether the daemon begins to read a part of version 1 at a time.
    fn reads(&self, id_hash: u64, now: Duration) -> bool {
        if now < self.learns_at {
            let relies_on_copy = |copy| now < copy + TRUST_LIMIT;
            return self.copy_before.is_some_and(relies_on_copy);
        }
        let weights = NamedWeights::new(Naming {
            version: 2,
            named_after: self.copy_before,
            learnt_at: self.learns_at,
        });
        may_read_part(&weights, 1, id_hash, TIMES, now)
    }
}

/// Time at which a daemon frees a part of version 1.
fn freed_at(id_hash: u64, learnt_at: Duration) -> Duration {
    let naming = Naming {
        version: 2,
        named_after: None,
        learnt_at,
    };
    let weights = IndexMap::from([(MODEL.to_owned(), NamedWeights::new(naming))]);
    (0..60_000)
        .map(|ms| NAMED_AT + Duration::from_millis(ms))
        .find(|now| is_retired("w1", id_hash, &weights, TIMES, *now))
        .expect("old parts are freed in the end")
}

/// Guards against parts that are freed while a daemon reads them: one that learns of the new weights
/// late, or that was cut off, or that has just started.
#[test]
fn parts_are_freed_only_after_every_daemon_stopped_reading_them() {
    let cases = [
        ReaderCase {
            name: "learns at once",
            copy_before: Some(NAMED_AT),
            learns_at: NAMED_AT,
        },
        ReaderCase {
            name: "learns as late as its copy may be old",
            copy_before: Some(NAMED_AT),
            learns_at: NAMED_AT + TRUST_LIMIT,
        },
        ReaderCase {
            name: "was cut off since before the naming",
            copy_before: Some(NAMED_AT - SECOND),
            learns_at: NAMED_AT + SECOND * 5,
        },
        ReaderCase {
            name: "was cut off for long",
            copy_before: Some(NAMED_AT - SECOND),
            learns_at: NAMED_AT + SECOND * 20,
        },
        ReaderCase {
            name: "the store held the change back for a second",
            copy_before: Some(NAMED_AT + SECOND),
            learns_at: NAMED_AT + SECOND * 2,
        },
        ReaderCase {
            name: "the store held the change back, then was away",
            copy_before: Some(NAMED_AT + SECOND),
            learns_at: NAMED_AT + SECOND * 20,
        },
        ReaderCase {
            name: "started after the naming",
            copy_before: None,
            learns_at: NAMED_AT + SECOND,
        },
    ];
    for case in cases {
        for id_hash in ID_HASHES {
            let last_read = (0..60_000)
                .map(|ms| NAMED_AT + Duration::from_millis(ms))
                .rfind(|now| case.reads(id_hash, *now))
                .unwrap_or(NAMED_AT);
            let freed_at = freed_at(id_hash, NAMED_AT);
            assert!(last_read + FETCH_TIME_MAX < freed_at, "{}", case.name);
        }
    }
}

/// Guards against a daemon that takes the duty over and frees parts at once, because it learnt of the
/// new weights only from the table.
#[test]
fn a_daemon_that_started_later_frees_parts_no_sooner() {
    for id_hash in ID_HASHES {
        let known_from_start = freed_at(id_hash, NAMED_AT);
        let started_later = freed_at(id_hash, NAMED_AT + SECOND);
        assert!(started_later >= known_from_start);
    }
}

/// Pattern: new weights are named while the stores are full of parts of the old ones. Guards against
/// parts of the new weights that find no room until most servers have switched.
#[test]
fn old_parts_make_room_little_by_little() {
    let freed: Vec<Duration> = ID_HASHES
        .iter()
        .map(|id_hash| freed_at(*id_hash, NAMED_AT))
        .collect();
    assert!(freed.is_sorted());
    assert!(freed[0] < freed[3], "not all at the same time");
    assert!(freed[0] < NAMED_AT + SECOND * 7);
    assert!(freed[3] < NAMED_AT + SECOND * 11);
}

/// Pattern: two new versions one shortly after the other. Guards against parts of the first version
/// that are kept until the second switch is over.
#[test]
fn parts_are_retired_by_the_naming_that_replaced_them() {
    let mut weights = named(2, 100);
    let only_first = weights.clone();
    let second = naming(3, NAMED_AT + SECOND * 5);
    weights.get_mut(MODEL).expect("model").on_named(second);
    let now = NAMED_AT + Duration::from_millis(10_600);
    for id_hash in ID_HASHES {
        assert!(is_retired("w1", id_hash, &only_first, TIMES, now));
        assert!(is_retired("w1", id_hash, &weights, TIMES, now));
        assert!(!is_retired("w2", id_hash, &weights, TIMES, now));
        assert!(!is_retired("w3", id_hash, &weights, TIMES, now));
        assert!(!is_retired("other", id_hash, &weights, TIMES, now));
        let much_later = now + SECOND * 60;
        assert!(!is_retired("w3", id_hash, &weights, TIMES, much_later));
    }
}

/// What a daemon learns of a server's weights besides its entry.
enum News {
    /// The server has told that it loaded a version.
    Loaded(u64),
    /// The server refused a request for a version.
    Refused(u64),
    /// The server's entry names another version.
    Entry(u64),
}

struct NewsCase {
    name: &'static str,
    news: &'static [News],
    /// Version for which requests are sent.
    version: u64,
    /// Whether the server is still ordered to load version 3.
    is_outdated: bool,
}

const NEWS_CASES: [NewsCase; 7] = [
    NewsCase {
        name: "entry only",
        news: &[],
        version: 1,
        is_outdated: true,
    },
    NewsCase {
        name: "an older load, read after version 3 was named",
        news: &[News::Loaded(2)],
        version: 2,
        is_outdated: true,
    },
    NewsCase {
        name: "loaded before its entry tells",
        news: &[News::Loaded(3)],
        version: 3,
        is_outdated: false,
    },
    NewsCase {
        name: "a record that is older than the entry",
        news: &[News::Entry(3), News::Loaded(2)],
        version: 3,
        is_outdated: false,
    },
    NewsCase {
        name: "a refusal is no proof",
        news: &[News::Refused(1)],
        version: 3,
        is_outdated: true,
    },
    NewsCase {
        name: "a second refusal corrects the first conclusion",
        news: &[News::Entry(2), News::Refused(2), News::Refused(3)],
        version: 2,
        is_outdated: true,
    },
    NewsCase {
        name: "a newer entry corrects it",
        news: &[News::Refused(1), News::Entry(2)],
        version: 2,
        is_outdated: true,
    },
];

/// Guards against servers that are never ordered to load the newest weights, and refuse every request,
/// because a daemon believes that they hold them: it read an old record after a second naming, or drew
/// the wrong conclusion from a refusal. Seen on a day with two namings while daemons restart.
#[test]
fn what_a_server_told_decides_about_orders() {
    use News::{Entry, Loaded, Refused};
    for case in NEWS_CASES {
        let mut servers = Servers::default();
        let key = servers.on_entry_published(entry(1, 1, ServerState::Ready), Duration::ZERO);
        for news in case.news {
            let server = servers.get_mut(key).expect("server");
            match news {
                Loaded(version) => server.on_weights_loaded(MODEL, *version),
                Refused(version) => server.on_version_refused(MODEL, *version, 3),
                Entry(version) => {
                    let newer = entry(1, *version, ServerState::Ready);
                    servers.on_entry_published(newer, SECOND);
                }
            }
        }
        let server = servers.get(key).expect("server");
        assert_eq!(
            server.version_of(MODEL),
            Some(case.version),
            "{}",
            case.name
        );
        let weights = named(3, 0);
        let is_outdated = !outdated(&servers, weights.iter()).is_empty();
        assert_eq!(is_outdated, case.is_outdated, "{}", case.name);
    }
}

struct RolloutCase {
    name: &'static str,
    outdated_count: u32,
    switched_count: u32,
    leaving_count: u32,
    ordered: usize,
}

/// Guards against a switch that takes more servers away at once than the others can replace.
#[test]
fn a_part_of_the_servers_switches_at_once() {
    let cases = [
        RolloutCase {
            name: "all old",
            outdated_count: 18,
            switched_count: 0,
            leaving_count: 0,
            ordered: 3,
        },
        RolloutCase {
            name: "one old",
            outdated_count: 1,
            switched_count: 17,
            leaving_count: 0,
            ordered: 1,
        },
        RolloutCase {
            name: "one server",
            outdated_count: 1,
            switched_count: 0,
            leaving_count: 0,
            ordered: 1,
        },
        RolloutCase {
            name: "large",
            outdated_count: 100,
            switched_count: 40,
            leaving_count: 0,
            ordered: 24,
        },
        RolloutCase {
            name: "leaving",
            outdated_count: 0,
            switched_count: 5,
            leaving_count: 3,
            ordered: 0,
        },
    ];
    for case in cases {
        let mut servers = Servers::default();
        let total = case.outdated_count + case.switched_count + case.leaving_count;
        for index in 0..total {
            let (version, state) = if index < case.outdated_count {
                (1, ServerState::Ready)
            } else if index < case.outdated_count + case.switched_count {
                (2, ServerState::Ready)
            } else {
                (1, ServerState::Draining)
            };
            servers.on_entry_published(entry(index, version, state), Duration::ZERO);
        }
        let weights = named(2, 0);
        let old = outdated(&servers, weights.iter());
        let orders = next_orders(&servers, &old, &[], Duration::from_secs(1));
        assert_eq!(orders.len(), case.ordered, "{}", case.name);
    }
}

/// Guards against orders to servers that asked for no requests, and to servers that said that they leave.
#[test]
fn servers_that_back_off_or_leave_get_no_orders() {
    let mut servers = Servers::default();
    let keys = [0, 1, 2].map(|index| {
        let entry = entry(index, 1, ServerState::Ready);
        servers.on_entry_published(entry, Duration::ZERO)
    });
    let server = servers.get_mut(keys[0]).expect("server");
    server.on_backoff_requested(Duration::from_secs(3), SECOND);
    let server = servers.get_mut(keys[1]).expect("server");
    server.mark_draining();
    let ordered_at = |now| {
        let old = outdated(&servers, named(2, 1).iter());
        let orders = next_orders(&servers, &old, &[], now);
        orders.iter().map(|order| order.server).collect::<Vec<_>>()
    };
    assert_eq!(ordered_at(2 * SECOND), [keys[2]]);
    // One server switches at a time; the first one is as idle as the third.
    assert_eq!(ordered_at(4 * SECOND), [keys[0]]);
}

struct SwitchCase {
    name: &'static str,
    /// Version that the server's entry names when the announcement is read.
    before: u64,
    announced: u64,
    /// Version that a later entry names.
    after: Option<u64>,
    is_switching: bool,
}

/// Guards against servers that take no requests because a daemon that has just started reads
/// announcements of switches that are over (all daemons restart after new weights), and against requests to
/// a server that has loaded only an earlier one of two versions.
#[test]
fn a_switch_ends_when_the_server_tells_the_version() {
    let case = |name, before, announced, after, is_switching| SwitchCase {
        name,
        before,
        announced,
        after,
        is_switching,
    };
    let cases = [
        case("announced", 1, 2, None, true),
        case("over before the announcement is read", 2, 2, None, false),
        case("replaced before it is read", 3, 2, None, false),
        case("over", 1, 2, Some(2), false),
        case("an earlier version was loaded first", 1, 3, Some(2), true),
        case("a later version was loaded", 1, 2, Some(3), false),
    ];
    for case in cases {
        let mut servers = Servers::default();
        let first = entry(0, case.before, ServerState::Ready);
        let key = servers.on_entry_published(first, Duration::ZERO);
        let server = servers.get_mut(key).expect("server");
        server.on_switch_ordered(MODEL, case.announced, 10 * SECOND);
        if let Some(after) = case.after {
            servers.on_entry_published(entry(0, after, ServerState::Ready), SECOND);
        }
        let server = servers.get(key).expect("server");
        assert_eq!(
            server.is_switching(2 * SECOND),
            case.is_switching,
            "{}",
            case.name
        );
        assert!(!server.is_switching(10 * SECOND), "{}", case.name);
    }
}
