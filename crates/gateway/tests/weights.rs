//! Tests of weight switches: which versions may serve, and the order of switches.

use anvilgw_gateway::server::{ServedModel, ServerEntry, ServerState, Servers};
use anvilgw_gateway::weights::{
    OrderOutcome, OrderTracker, PublishedWeights, WeightPublication, next_orders,
    oldest_allowed_version, outdated_servers,
};
use indexmap::IndexMap;
use std::time::Duration;

const MODEL: &str = "lumen";
/// Operators' time limit for a switch.
const SWITCH_TIME: Duration = Duration::from_secs(10);

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
        version: None,
        started_at_ms: Some(1),
        heartbeat: 1,
    }
}

fn published(version: u64, published_at_s: u64) -> IndexMap<String, PublishedWeights> {
    let weights = PublishedWeights::new(publication(version, Duration::from_secs(published_at_s)));
    IndexMap::from([(MODEL.to_owned(), weights)])
}

/// Publication that the daemon read immediately.
fn publication(version: u64, published_at: Duration) -> WeightPublication {
    WeightPublication {
        version,
        published_after: Some(published_at),
        learned_at: published_at,
    }
}

/// Guards against requests that start on old weights when the time limit for the switch is over.
#[test]
fn old_weights_serve_no_new_requests_shortly_before_the_switch_time_ends() {
    let switch_time = Duration::from_secs(10);
    let weights = PublishedWeights::new(publication(2, Duration::from_secs(100)));
    let at = |s| oldest_allowed_version(&weights, switch_time, Duration::from_secs(s));
    assert_eq!(at(101), None);
    assert_eq!(at(109), Some(2));
    assert_eq!(at(110), Some(2));
}

struct OverlapCase {
    name: &'static str,
    /// Times at which versions 2 and up are published, in seconds. `None` if the daemon started
    /// later and does not know it.
    published_at_s: &'static [Option<u64>],
    now_s: u64,
    oldest_allowed: Option<u64>,
}

/// Guards against publications that prolong the time of all older weights, and against a daemon
/// that starts between two of them and allows versions again that it had excluded.
#[test]
fn each_publication_limits_the_time_of_the_versions_before_it() {
    let case = |name, published_at_s, now_s, oldest_allowed| OverlapCase {
        name,
        published_at_s,
        now_s,
        oldest_allowed,
    };
    const THREE: &[Option<u64>] = &[Some(100), Some(104), Some(108)];
    const STARTED_BETWEEN: &[Option<u64>] = &[None, Some(104)];
    let cases = [
        case("all young", THREE, 107, None),
        case("the first is over", THREE, 108, Some(2)),
        case("just before the second", THREE, 111, Some(2)),
        case("the second is over", THREE, 112, Some(3)),
        case("all are over", THREE, 116, Some(4)),
        case("started between", STARTED_BETWEEN, 105, Some(2)),
        case("started between, all over", STARTED_BETWEEN, 112, Some(3)),
    ];
    for case in cases {
        let publications = (2..).zip(case.published_at_s);
        let mut publications = publications.map(|(version, at_s)| WeightPublication {
            version,
            published_after: at_s.map(Duration::from_secs),
            learned_at: Duration::from_secs(at_s.unwrap_or(100)),
        });
        let mut weights = PublishedWeights::new(publications.next().expect("a publication"));
        publications.for_each(|publication| weights.on_published(publication));
        let switch_time = Duration::from_secs(10);
        let now = Duration::from_secs(case.now_s);
        let oldest = oldest_allowed_version(&weights, switch_time, now);
        assert_eq!(oldest, case.oldest_allowed, "{}", case.name);
    }
}

/// Guards against a limit on the remembered publications that prolongs the time of the versions
/// whose replacement was forgotten.
#[test]
fn many_publications_prolong_the_time_of_no_version() {
    for gap_ms in [10, 100, 400, 900, 3000] {
        let published_at = |version| PUBLISHED_AT + Duration::from_millis(gap_ms * version);
        let mut weights = PublishedWeights::new(publication(2, published_at(2)));
        for version in 3..200 {
            let now = published_at(version);
            weights.on_published(publication(version, now));
            let expired = (2..=version).filter(|one| published_at(*one) + SWITCH_TIME <= now);
            let oldest = oldest_allowed_version(&weights, SWITCH_TIME, now);
            assert!(oldest >= expired.max(), "{gap_ms} ms, version {version}");
        }
    }
}

const SECOND: Duration = Duration::from_secs(1);
/// Time at which the operators publish version 2.
const PUBLISHED_AT: Duration = Duration::from_secs(100);

/// What a daemon learns of a server's weights besides its first entry.
enum Update {
    /// The server reported that it loaded a version.
    Loaded(u64),
    /// The server rejected a request for a version.
    Rejected(u64),
    /// The server published an entry with another version.
    Entry(u64),
}

struct UpdateCase {
    name: &'static str,
    updates: &'static [Update],
    /// Version that requests to the server ask for.
    version: u64,
    /// Whether the server is still ordered to load version 3.
    is_outdated: bool,
}

const UPDATE_CASES: [UpdateCase; 7] = [
    UpdateCase {
        name: "entry only",
        updates: &[],
        version: 1,
        is_outdated: true,
    },
    UpdateCase {
        name: "report of an older version, read after version 3 was published",
        updates: &[Update::Loaded(2)],
        version: 2,
        is_outdated: true,
    },
    UpdateCase {
        name: "loaded before the entry states it",
        updates: &[Update::Loaded(3)],
        version: 3,
        is_outdated: false,
    },
    UpdateCase {
        name: "record that is older than the entry",
        updates: &[Update::Entry(3), Update::Loaded(2)],
        version: 3,
        is_outdated: false,
    },
    UpdateCase {
        name: "a rejection does not confirm a version",
        updates: &[Update::Rejected(1)],
        version: 3,
        is_outdated: true,
    },
    UpdateCase {
        name: "a second rejection corrects the first conclusion",
        updates: &[Update::Entry(2), Update::Rejected(2), Update::Rejected(3)],
        version: 2,
        is_outdated: true,
    },
    UpdateCase {
        name: "a newer entry corrects the conclusion",
        updates: &[Update::Rejected(1), Update::Entry(2)],
        version: 2,
        is_outdated: true,
    },
];

/// Guards against servers that reject every request and are never ordered to load the newest
/// weights, because a daemon assumes that they hold them. The daemon read an old record after a
/// second publication, or drew a wrong conclusion from a rejection. Happened when weights were
/// published twice while daemons restarted.
#[test]
fn orders_depend_on_the_version_that_the_server_reported() {
    use Update::{Entry, Loaded, Rejected};
    for case in UPDATE_CASES {
        let mut servers = Servers::default();
        let key = servers.on_entry_published(entry(1, 1, ServerState::Ready), Duration::ZERO);
        for update in case.updates {
            let server = servers.get_mut(key).expect("server");
            match update {
                Loaded(version) => server.on_weights_loaded(MODEL, *version),
                Rejected(version) => server.on_version_refused(MODEL, *version, 3),
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
        let weights = published(3, 0);
        let is_outdated = !outdated_servers(&servers, weights.iter(), SWITCH_TIME).is_empty();
        assert_eq!(is_outdated, case.is_outdated, "{}", case.name);
    }
}

/// Guards against a server that counts as outdated although it has reported its new weights, because
/// its entry states new weights of another model.
#[test]
fn an_entry_with_new_weights_of_one_model_tells_nothing_of_others() {
    const OTHER_MODEL: &str = "umbra";
    let entry_with = |version| {
        let mut entry = entry(1, version, ServerState::Ready);
        entry.models.push(ServedModel {
            model: OTHER_MODEL.to_owned(),
            version: 1,
        });
        entry
    };
    let mut servers = Servers::default();
    let key = servers.on_entry_published(entry_with(1), Duration::ZERO);
    let server = servers.get_mut(key).expect("server");
    server.on_weights_loaded(OTHER_MODEL, 2);
    servers.on_entry_published(entry_with(2), SECOND);
    let server = servers.get(key).expect("server");
    assert_eq!(server.reported_version_of(MODEL), Some(2));
    assert_eq!(server.reported_version_of(OTHER_MODEL), Some(2));
}

struct RolloutCase {
    name: &'static str,
    outdated_count: u32,
    switched_count: u32,
    draining_count: u32,
    ordered: usize,
}

/// Guards against a switch that takes more servers out of service at once than the others can
/// replace.
#[test]
fn only_a_fraction_of_the_servers_switches_at_once() {
    let cases = [
        RolloutCase {
            name: "all outdated",
            outdated_count: 18,
            switched_count: 0,
            draining_count: 0,
            ordered: 3,
        },
        RolloutCase {
            name: "one outdated",
            outdated_count: 1,
            switched_count: 17,
            draining_count: 0,
            ordered: 1,
        },
        RolloutCase {
            name: "one server",
            outdated_count: 1,
            switched_count: 0,
            draining_count: 0,
            ordered: 1,
        },
        RolloutCase {
            name: "large fleet",
            outdated_count: 100,
            switched_count: 40,
            draining_count: 0,
            ordered: 24,
        },
        RolloutCase {
            name: "draining",
            outdated_count: 0,
            switched_count: 5,
            draining_count: 3,
            ordered: 0,
        },
    ];
    for case in cases {
        let mut servers = Servers::default();
        let total = case.outdated_count + case.switched_count + case.draining_count;
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
        let weights = published(2, 0);
        let old = outdated_servers(&servers, weights.iter(), SWITCH_TIME);
        let orders = next_orders(
            &servers,
            &old,
            &OrderTracker::default(),
            Duration::from_secs(1),
        );
        assert_eq!(orders.len(), case.ordered, "{}", case.name);
    }
}

struct RetryCase {
    name: &'static str,
    outcome: OrderOutcome,
    /// Whether the server reports later that it loads nothing.
    is_idle: bool,
    /// Version of the next order. The first one was for version 2.
    next_version: u64,
    /// Time after the outcome, or after that report, from which the next order may be given.
    retry_after_ms: u64,
    /// Whether the server counts as loading until then.
    may_be_loading: bool,
}

/// Guards against servers that keep a place among those that switch although they load nothing, and
/// against servers without an answer that are called again and again.
#[test]
fn an_order_without_effect_is_repeated_soon() {
    use OrderOutcome::{Accepted, Busy, NoReport, Rejected, Unanswered};
    let case = |name, outcome, next_version, retry_after_ms, may_be_loading| RetryCase {
        name,
        outcome,
        is_idle: false,
        next_version,
        retry_after_ms,
        may_be_loading,
    };
    let cases = [
        case("accepted", Accepted, 2, 6_000, true),
        case("accepted, newer weights", Accepted, 3, 0, false),
        case("not answered", Unanswered, 2, 2_000, true),
        case("busy", Busy, 2, 300, true),
        case("rejected", Rejected, 2, 300, false),
        case("no report", NoReport, 2, 2_000, false),
        case("no report, newer weights", NoReport, 3, 2_000, false),
        RetryCase {
            is_idle: true,
            ..case("accepted, restarted", Accepted, 2, 300, false)
        },
        RetryCase {
            is_idle: true,
            ..case("on its way", Unanswered, 2, 300, false)
        },
    ];
    for case in cases {
        let mut servers = Servers::default();
        let entry = entry(0, 1, ServerState::Ready);
        servers.on_entry_published(entry, Duration::ZERO);
        let target = |version| {
            let outdated = outdated_servers(&servers, published(version, 1).iter(), SWITCH_TIME);
            outdated.into_iter().next().expect("the server")
        };
        let mut orders = OrderTracker::default();
        orders.on_outcome(&target(2), case.outcome, SECOND);
        if case.is_idle {
            orders.on_idle(&target(2), SECOND);
        }
        let next = target(case.next_version);
        let first_at = (0..10_000)
            .find(|ms| orders.may_order(&next, SECOND + Duration::from_millis(*ms)))
            .expect("ordered again in the end");
        assert_eq!(first_at, case.retry_after_ms, "{}", case.name);
        let may_be_loading = orders.may_be_loading(&next, SECOND);
        assert_eq!(may_be_loading, case.may_be_loading, "{}", case.name);
    }
}

struct PlanCase {
    name: &'static str,
    /// Time since the publication of version 2, in milliseconds. Version 3 follows 4 s after it.
    now_ms: u64,
    /// Versions of two servers, of which the first one is expected to be ordered.
    expected: [u64; 2],
    /// Number of other servers, which hold version 1. All with that version are busy.
    others: u32,
}

/// Guards against a switch that reaches the servers with the oldest weights last, when these are
/// busy: servers with newer weights are idle, as they have just switched.
#[test]
fn servers_whose_weights_stop_serving_come_first_when_time_is_short() {
    let cases = [
        PlanCase {
            name: "time for all",
            now_ms: 4_500,
            expected: [2, 1],
            others: 0,
        },
        PlanCase {
            name: "no time for the idle one",
            now_ms: 6_700,
            expected: [1, 2],
            others: 0,
        },
        PlanCase {
            name: "too many for the time that is left",
            now_ms: 4_500,
            expected: [1, 2],
            others: 1,
        },
    ];
    for case in cases {
        let mut servers = Servers::default();
        let mut add = |index, version| {
            let entry = entry(index, version, ServerState::Ready);
            servers.on_entry_published(entry, Duration::ZERO)
        };
        let keys = [add(0, case.expected[0]), add(1, case.expected[1])];
        for index in 0..case.others {
            add(2 + index, 1);
        }
        let mut published = published(2, 100);
        let next = publication(3, PUBLISHED_AT + SECOND * 4);
        published.get_mut(MODEL).expect("model").on_published(next);
        let now = PUBLISHED_AT + Duration::from_millis(case.now_ms);
        for key in servers.iter().map(|(key, _)| key).collect::<Vec<_>>() {
            let server = servers.get_mut(key).expect("server");
            if server.entry.version_of(MODEL) == Some(1) {
                server.on_request_sent(100, now);
            }
        }
        let old = outdated_servers(&servers, published.iter(), SWITCH_TIME);
        let orders = next_orders(&servers, &old, &OrderTracker::default(), now);
        let ordered: Vec<_> = orders.iter().map(|order| order.server).collect();
        assert_eq!(ordered, keys[..1], "{}", case.name);
    }
}

/// Guards against orders to servers that asked for a pause, or that announced their shutdown.
#[test]
fn servers_that_back_off_or_drain_get_no_orders() {
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
        let old = outdated_servers(&servers, published(2, 1).iter(), SWITCH_TIME);
        let orders = next_orders(&servers, &old, &OrderTracker::default(), now);
        orders.iter().map(|order| order.server).collect::<Vec<_>>()
    };
    assert_eq!(ordered_at(2 * SECOND), [keys[2]]);
    // One server switches at a time. The first one is as idle as the third.
    assert_eq!(ordered_at(4 * SECOND), [keys[0]]);
}

/// Guards against servers that get no requests for seconds although they rejected the order, or
/// load nothing; and against a record that cancels the switch to another version.
#[test]
fn a_cancelled_switch_lets_requests_reach_the_server_again() {
    let mut servers = Servers::default();
    let key = servers.on_entry_published(entry(0, 1, ServerState::Ready), Duration::ZERO);
    let server = servers.get_mut(key).expect("server");
    server.on_switch_ordered(MODEL, 3, 10 * SECOND);
    server.on_switch_cancelled(MODEL, 2);
    assert!(server.is_switching(SECOND));
    server.on_switch_cancelled(MODEL, 3);
    assert!(!server.is_switching(SECOND));
}

struct SwitchCase {
    name: &'static str,
    /// Version in the server's entry when the announcement is read.
    before: u64,
    announced: u64,
    /// Version in a later entry of the server.
    after: Option<u64>,
    is_switching: bool,
}

/// Guards against servers that get no requests because a daemon that has just started applies
/// announcements of switches that are over, as happens when all daemons restart after a
/// publication. Also guards against requests to a server that has loaded only the earlier of two
/// versions.
#[test]
fn switch_ends_when_the_server_reports_the_version() {
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
