//! Age up to which the known contents of cache stores are read.

use anvilgw_gateway::cache_store_log::{CacheStorePage, Cursor};
use anvilgw_gateway::caches::{
    CacheDirectory, CacheEvents, CacheStoreKey, CacheStoreSpec, CachedPart, PlanDestination,
    TransferPolicy, name_hash,
};
use anvilgw_gateway::page::{decode, encode};
use anvilgw_gateway::prefill_rate::PrefillRate;
use anvilgw_gateway::region_constraints::RegionConstraints;
use anvilgw_gateway::request::PromptPart;
use indexmap::IndexMap;
use std::time::Duration;

const SCOPE: &str = "w1";
const PART: &str = "history";
const TOKENS: u32 = 8_000;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn events(clock_ms: u64, parts: &[&str]) -> CacheEvents {
    let parts = parts.iter().map(|id| CachedPart {
        scope: SCOPE.to_owned(),
        id: (*id).to_owned(),
        tokens: TOKENS,
    });
    CacheEvents {
        epoch: 1,
        clock_ms: Some(100_000 + clock_ms),
        next: 1,
        has_gap: false,
        changes: parts.collect(),
    }
}

/// A directory of one store, and the key of the store.
struct Directory {
    caches: CacheDirectory,
    store: CacheStoreKey,
}

impl Directory {
    fn new() -> Self {
        let mut caches = CacheDirectory::default();
        let spec = CacheStoreSpec {
            address: ([127, 0, 0, 3], 8001).into(),
            failure_domain: "a".to_owned(),
            capacity_tokens: 100_000,
            link_tokens_per_ms: 1_000.0,
            first_byte: at(1),
        };
        let store = caches.set_stores(&[spec])[0];
        Self { caches, store }
    }

    /// Creates the directory of a leader with the log identifier `log_id`.
    fn of_leader(log_id: u64) -> Self {
        let mut leader = Self::new();
        leader.caches.set_log_enabled(true, log_id);
        leader
    }

    /// Reads the store's events, which name the part, from `start_ms` to `end_ms`.
    fn read_store(&mut self, start_ms: u64, end_ms: u64) {
        self.read_events(start_ms, end_ms, &[PART]);
    }

    /// Reads the store's events, none of which are new.
    fn read_no_events(&mut self, start_ms: u64, end_ms: u64) {
        self.read_events(start_ms, end_ms, &[]);
    }

    fn read_events(&mut self, start_ms: u64, end_ms: u64, parts: &[&str]) {
        let events = events(end_ms, parts);
        self.caches
            .begin_read(self.store, at(start_ms))
            .expect("configured");
        self.caches.on_events(self.store, events, at(end_ms));
    }

    /// Reads the log of another daemon, which answers at `answer_ms`, and returns the next cursor.
    fn read_log(&mut self, leader: &Self, cursor: Cursor, times_ms: LogReadTimes) -> Cursor {
        let page = leader
            .caches
            .cache_store_log_page(cursor, at(times_ms.answer));
        let bytes = encode(&page.expect("keeps a log")).expect("encodes");
        let page = decode::<CacheStorePage>(&bytes).expect("decodes");
        self.caches
            .on_cache_store_log_page(page, at(times_ms.start), at(times_ms.end))
    }

    /// Returns whether a request at a time is directed to read the part from the store.
    fn is_part_read(&self, now_ms: u64) -> bool {
        let part = PromptPart {
            id_hash: name_hash(PART),
            tokens: TOKENS,
        };
        let located = self.caches.locate(name_hash(SCOPE), &[part], at(now_ms));
        let destination = PlanDestination {
            failure_domain: "a",
            prefill_rate: PrefillRate::default(),
        };
        let regions = IndexMap::new();
        let policy = TransferPolicy {
            may_read_from_store: &|_| true,
            may_write_stores: true,
            likely_engine: None,
            region_constraints: RegionConstraints {
                regions: &regions,
                route: &[],
                workspace: &[],
            },
            waiting_tokens: None,
            draw: 1.0,
        };
        let plan = self.caches.plan(&located, destination, policy);
        plan.fetched_tokens == TOKENS
    }
}

/// Times of a read of another daemon's log, in milliseconds.
#[derive(Clone, Copy)]
struct LogReadTimes {
    start: u64,
    answer: u64,
    end: u64,
}

/// Returns the times of a read that takes no time.
fn instantly(ms: u64) -> LogReadTimes {
    LogReadTimes {
        start: ms,
        answer: ms,
        end: ms,
    }
}

struct Case {
    name: &'static str,
    prepare: fn() -> Directory,
    now_ms: u64,
    is_read: bool,
}

fn check(cases: &[Case]) {
    let failed = cases
        .iter()
        .filter(|case| (case.prepare)().is_part_read(case.now_ms) != case.is_read)
        .map(|case| case.name);
    let failed: Vec<&str> = failed.collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Returns the directory of a daemon that read the store at 1 s.
fn read_once() -> Directory {
    let mut directory = Directory::new();
    directory.read_store(1_000, 1_000);
    directory
}

const READ_BY_THIS_DAEMON: [Case; 8] = [
    Case {
        name: "never read",
        prepare: Directory::new,
        now_ms: 1_000,
        is_read: false,
    },
    Case {
        name: "just read",
        prepare: read_once,
        now_ms: 1_000,
        is_read: true,
    },
    Case {
        name: "a pause and a read that waits for events",
        prepare: read_once,
        now_ms: 1_900,
        is_read: true,
    },
    Case {
        name: "the store has rejected reads since, or no permit for it was granted",
        prepare: read_once,
        now_ms: 3_000,
        is_read: false,
    },
    Case {
        name: "an answer without events confirms the contents",
        prepare: || {
            let mut directory = read_once();
            directory.read_no_events(2_300, 2_500);
            directory
        },
        now_ms: 4_200,
        is_read: true,
    },
    Case {
        name: "the daemon was suspended while it read",
        prepare: || {
            let mut directory = read_once();
            directory.read_no_events(1_500, 9_000);
            directory
        },
        now_ms: 9_000,
        is_read: false,
    },
    Case {
        name: "the store is read again after that",
        prepare: || {
            let mut directory = read_once();
            directory.read_no_events(1_500, 9_000);
            directory.read_no_events(9_000, 9_100);
            directory
        },
        now_ms: 9_100,
        is_read: true,
    },
    Case {
        name: "the store does not answer",
        prepare: || {
            let mut directory = read_once();
            directory.caches.on_unreachable(directory.store);
            directory
        },
        now_ms: 1_100,
        is_read: false,
    },
];

/// Guards against a read of a part that its store is writing again after a restart that the daemon
/// does not know of, because the store has not answered it for a while: a prompt was answered from
/// incomplete memory.
#[test]
fn a_store_that_this_daemon_reads_is_used_only_while_its_contents_are_recent() {
    check(&READ_BY_THIS_DAEMON);
}

/// Returns the directory of a daemon that has lost events at 1.5 s, and could not list the store then.
/// It goes on with the events after the lost ones.
fn with_lost_events() -> Directory {
    let mut directory = read_once();
    let with_gap = CacheEvents {
        has_gap: true,
        ..events(1_500, &[])
    };
    let (caches, store) = (&mut directory.caches, directory.store);
    assert!(
        caches.on_events(store, with_gap, at(1_500)),
        "must be listed"
    );
    caches.on_listing_failed(store, at(1_500));
    directory.read_no_events(2_500, 2_500);
    directory
}

const LOST_EVENTS: [Case; 4] = [
    Case {
        name: "not listed yet, but recent",
        prepare: with_lost_events,
        now_ms: 2_500,
        is_read: true,
    },
    Case {
        name: "not listed for too long",
        prepare: with_lost_events,
        now_ms: 3_000,
        is_read: false,
    },
    Case {
        name: "listed at last",
        prepare: || {
            let mut directory = with_lost_events();
            let listed = events(6_000, &[PART]);
            directory
                .caches
                .on_listing(directory.store, listed, at(6_000));
            directory.read_no_events(7_000, 7_000);
            directory
        },
        now_ms: 8_000,
        is_read: true,
    },
    Case {
        name: "the store has restarted",
        prepare: || {
            let mut directory = with_lost_events();
            let restarted = CacheEvents {
                epoch: 2,
                ..events(6_000, &[PART])
            };
            directory
                .caches
                .on_events(directory.store, restarted, at(6_000));
            directory
        },
        now_ms: 6_000,
        is_read: true,
    },
];

/// Guards against reads of a part that its store has freed and is writing again, where the events that
/// tell so are lost and the store cannot be listed.
#[test]
fn contents_with_lost_events_are_not_confirmed_by_later_events() {
    check(&LOST_EVENTS);
}

/// Returns the directory of a follower whose leader read the store at 1 s and that read its log
/// then.
fn read_from_leader() -> Directory {
    let mut leader = Directory::of_leader(1);
    leader.read_store(1_000, 1_000);
    let mut follower = Directory::new();
    follower.read_log(&leader, Cursor::default(), instantly(1_000));
    follower
}

const READ_BY_THE_LEADER: [Case; 6] = [
    Case {
        name: "the longest time between two pages in regular operation",
        prepare: || {
            let mut leader = Directory::of_leader(1);
            leader.read_store(1_000, 1_200);
            let mut follower = Directory::new();
            follower.read_log(&leader, Cursor::default(), instantly(1_880));
            follower
        },
        now_ms: 2_400,
        is_read: true,
    },
    Case {
        name: "the leader was lost a moment ago",
        prepare: || {
            let mut follower = read_from_leader();
            follower.caches.on_leader_unavailable();
            follower
        },
        now_ms: 2_500,
        is_read: true,
    },
    Case {
        name: "the leader was lost and no other one is known",
        prepare: || {
            let mut follower = read_from_leader();
            follower.caches.on_leader_unavailable();
            follower
        },
        now_ms: 3_000,
        is_read: false,
    },
    Case {
        name: "the leader has confirmed the contents since",
        prepare: || {
            let mut leader = Directory::of_leader(1);
            leader.read_store(1_000, 1_000);
            let mut follower = Directory::new();
            let cursor = follower.read_log(&leader, Cursor::default(), instantly(1_000));
            leader.read_no_events(4_000, 4_200);
            follower.read_log(&leader, cursor, instantly(4_300));
            follower
        },
        now_ms: 5_500,
        is_read: true,
    },
    Case {
        name: "the leader was suspended and answers before it has read the store",
        prepare: || {
            let mut leader = Directory::of_leader(1);
            leader.read_store(1_000, 1_000);
            let mut follower = Directory::new();
            follower.read_log(&leader, Cursor::default(), instantly(6_000));
            follower
        },
        now_ms: 6_000,
        is_read: false,
    },
    Case {
        name: "this daemon was suspended while it read the leader's log",
        prepare: || {
            let mut leader = Directory::of_leader(1);
            leader.read_store(1_000, 1_000);
            let times = LogReadTimes {
                start: 1_100,
                answer: 1_100,
                end: 6_000,
            };
            let mut follower = Directory::new();
            follower.read_log(&leader, Cursor::default(), times);
            follower
        },
        now_ms: 6_000,
        is_read: false,
    },
];

/// Guards against a follower that directs reads to contents which nobody confirms any more, because
/// its leader is lost, suspended or cut off from the store.
#[test]
fn a_store_that_the_leader_reads_is_used_only_while_its_contents_are_recent() {
    check(&READ_BY_THE_LEADER);
}

/// Returns the directory of a follower whose new leader was started a moment ago.
fn with_new_leader_that_knows_nothing() -> Directory {
    let mut follower = read_from_leader();
    let new_leader = Directory::of_leader(2);
    follower.read_log(&new_leader, Cursor::default(), instantly(1_500));
    follower
}

const LEADER_CHANGES: [Case; 7] = [
    Case {
        name: "another leader that reads the store takes over in time",
        prepare: || {
            let mut follower = read_from_leader();
            follower.caches.on_leader_unavailable();
            let mut other = Directory::of_leader(2);
            other.read_store(2_000, 2_100);
            follower.read_log(&other, Cursor::default(), instantly(2_200));
            follower
        },
        now_ms: 3_500,
        is_read: true,
    },
    Case {
        name: "the new leader has the contents from the one before, a moment ago",
        prepare: || {
            let mut new_leader = read_from_leader();
            new_leader.caches.set_log_enabled(true, 2);
            let mut follower = Directory::new();
            follower.read_log(&new_leader, Cursor::default(), instantly(2_000));
            follower
        },
        now_ms: 2_500,
        is_read: true,
    },
    Case {
        name: "the new leader has the contents from the one before and cannot read the store",
        prepare: || {
            let mut new_leader = read_from_leader();
            new_leader.caches.set_log_enabled(true, 2);
            let mut follower = Directory::new();
            follower.read_log(&new_leader, Cursor::default(), instantly(2_900));
            follower
        },
        now_ms: 3_000,
        is_read: false,
    },
    Case {
        name: "the new leader has not read the store yet",
        prepare: with_new_leader_that_knows_nothing,
        now_ms: 2_500,
        is_read: true,
    },
    Case {
        name: "the new leader does not read the store for too long",
        prepare: with_new_leader_that_knows_nothing,
        now_ms: 3_000,
        is_read: false,
    },
    Case {
        name: "the new leader has read the store, which is empty by now",
        prepare: || {
            let mut follower = read_from_leader();
            let mut new_leader = Directory::of_leader(2);
            let cursor = follower.read_log(&new_leader, Cursor::default(), instantly(1_500));
            new_leader.read_no_events(1_600, 1_600);
            follower.read_log(&new_leader, cursor, instantly(1_700));
            follower
        },
        now_ms: 1_700,
        is_read: false,
    },
    Case {
        name: "this daemon becomes leader itself and reads the store",
        prepare: || {
            let mut follower = read_from_leader();
            follower.caches.set_log_enabled(true, 2);
            follower.read_store(2_500, 2_600);
            follower
        },
        now_ms: 4_000,
        is_read: true,
    },
];

/// Guards against contents that look recent because they were passed on by another daemon, and
/// against prompts that are computed again at each change of leader.
#[test]
fn contents_keep_their_age_when_the_leader_changes() {
    check(&LEADER_CHANGES);
}
