//! Copies of the metadata store's topics and of the cache directory that daemons read from the
//! leader of their group.

use anvilgw_gateway::cache_store_log::{CacheStoreChange, CacheStorePage, CacheUpdate, Cursor};
use anvilgw_gateway::caches::{CacheDirectory, CacheEvents, CacheStoreSpec, CachedPart};
use anvilgw_gateway::direct_reads::DirectReads;
use anvilgw_gateway::groups::Role;
use anvilgw_gateway::log_position::{LogPosition, StoreEpoch};
use anvilgw_gateway::page::{decode, encode};
use anvilgw_gateway::topic_log::{TopicLog, TopicPage};
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn position(offset: u64) -> LogPosition {
    LogPosition {
        epoch: StoreEpoch(1),
        offset,
    }
}

fn records(range: std::ops::Range<u64>) -> Vec<Bytes> {
    range.map(|index| Bytes::from(index.to_string())).collect()
}

fn record_texts(page: &TopicPage) -> Vec<String> {
    let records = page.records.iter();
    records
        .map(|record| String::from_utf8(record.clone()).expect("text"))
        .collect()
}

/// Guards against a reader that misses a record of the leader's copy, such as the withdrawal of
/// a key, or that treats an old copy as current.
#[test]
fn topic_copy_returns_all_records_and_its_age() {
    let mut log = TopicLog::default();
    assert!(
        log.page(position(0), at(0)).is_none(),
        "nothing was read yet"
    );
    log.on_read(position(10), &records(10..14), at(1_000));
    log.on_read(position(14), &[], at(1_400));
    struct Case {
        name: &'static str,
        from: u64,
        expected: Option<&'static [&'static str]>,
        next: u64,
    }
    let cases = [
        Case {
            name: "from before what is kept",
            from: 9,
            expected: None,
            next: 0,
        },
        Case {
            name: "all",
            from: 10,
            expected: Some(&["10", "11", "12", "13"]),
            next: 14,
        },
        Case {
            name: "the last one",
            from: 13,
            expected: Some(&["13"]),
            next: 14,
        },
        Case {
            name: "nothing new",
            from: 14,
            expected: Some(&[]),
            next: 14,
        },
        Case {
            name: "a reader that is ahead keeps its position",
            from: 20,
            expected: Some(&[]),
            next: 20,
        },
    ];
    for case in cases {
        let page = log.page(position(case.from), at(1_900));
        assert_eq!(page.is_some(), case.expected.is_some(), "{}", case.name);
        let Some(page) = page else { continue };
        let decoded = decode::<TopicPage>(&encode(&page).expect("encodes")).expect("decodes");
        assert_eq!(decoded, page, "{}", case.name);
        let expected = case.expected.unwrap_or_default();
        assert_eq!(record_texts(&page), expected, "{}", case.name);
        assert_eq!(page.next, position(case.next), "{}", case.name);
        let age_ms = page.age_ms.expect("complete");
        assert!((500..=501).contains(&age_ms), "{}: {age_ms}", case.name);
    }
}

/// Guards against records that a leader duplicates or omits after it continued reading at
/// another offset.
#[test]
fn topic_copy_has_no_gaps_or_duplicates() {
    let mut log = TopicLog::default();
    log.on_read(position(0), &records(0..4), at(1));
    log.on_read(position(2), &records(2..6), at(2));
    let page = log.page(position(0), at(2)).expect("kept");
    assert_eq!(
        record_texts(&page),
        ["0", "1", "2", "3", "4", "5"],
        "reads that overlap"
    );
    log.on_read(position(9), &records(9..10), at(3));
    assert!(
        log.page(position(5), at(3)).is_none(),
        "records 6 to 8 are not known"
    );
    assert_eq!(
        record_texts(&log.page(position(9), at(3)).expect("kept")),
        ["9"]
    );
}

/// Guards against a daemon that takes its copy for current, or reads on at an offset that was
/// assigned again, because the leader that it reads from knows another epoch of the store.
#[test]
fn a_page_states_the_epoch_of_the_copy() {
    struct Case {
        name: &'static str,
        reader: LogPosition,
        is_complete: bool,
        expected: &'static [&'static str],
    }
    let in_epoch = |epoch, offset| LogPosition {
        epoch: StoreEpoch(epoch),
        offset,
    };
    let cases = [
        Case {
            name: "a reader of an older epoch at an offset that was assigned again",
            reader: in_epoch(1, 12),
            is_complete: false,
            expected: &[],
        },
        Case {
            name: "a reader of an older epoch beyond the end",
            reader: in_epoch(1, 20),
            is_complete: false,
            expected: &[],
        },
        Case {
            name: "a reader of a newer epoch",
            reader: in_epoch(3, 12),
            is_complete: false,
            expected: &[],
        },
        Case {
            name: "a reader of the same epoch",
            reader: in_epoch(2, 11),
            is_complete: true,
            expected: &["11"],
        },
    ];
    let mut log = TopicLog::default();
    log.on_read(in_epoch(1, 10), &records(20..24), at(1_000));
    log.on_read(in_epoch(2, 10), &records(10..12), at(1_200));
    for case in cases {
        let page = log.page(case.reader, at(1_300)).expect("page");
        assert_eq!(page.next.epoch, StoreEpoch(2), "{}", case.name);
        assert_eq!(page.age_ms.is_some(), case.is_complete, "{}", case.name);
        assert_eq!(record_texts(&page), case.expected, "{}", case.name);
    }
}

/// Guards against copies that grow without bound, and against partial pages that claim to be
/// complete.
#[test]
fn topic_copy_keeps_only_the_newest_records() {
    const RECORDS: u64 = 400;
    let large = Bytes::from(vec![b'x'; 16 * 1024]);
    let mut log = TopicLog::default();
    for offset in 0..RECORDS {
        log.on_read(position(offset), std::slice::from_ref(&large), at(offset));
    }
    assert!(
        log.page(position(0), at(RECORDS)).is_none(),
        "the oldest are gone"
    );
    let page = log
        .page(position(RECORDS - 100), at(RECORDS))
        .expect("kept");
    assert!(page.records.len() < 100, "a page is bounded");
    assert_eq!(page.age_ms, None, "there is more");
}

fn store(port: u16) -> SocketAddr {
    ([127, 0, 0, 3], port).into()
}

fn directory() -> CacheDirectory {
    let mut directory = CacheDirectory::default();
    let specs: Vec<CacheStoreSpec> = [1, 2]
        .map(|port| CacheStoreSpec {
            address: store(port),
            failure_domain: "a".to_owned(),
            capacity_tokens: 100_000,
            link_tokens_per_ms: 1_000.0,
            first_byte: at(1),
        })
        .to_vec();
    directory.set_stores(&specs);
    directory
}

fn events(epoch: u64, next: u64, parts: &[(&str, u32)]) -> CacheEvents {
    let parts = parts.iter();
    CacheEvents {
        epoch,
        next,
        clock_ms: Some(5_000),
        has_gap: false,
        changes: parts
            .map(|(id, tokens)| CachedPart {
                scope: "v1".to_owned(),
                id: (*id).to_owned(),
                tokens: *tokens,
            })
            .collect(),
    }
}

fn parts_of(directory: &CacheDirectory) -> Vec<(SocketAddr, Vec<String>)> {
    let mut parts: Vec<(SocketAddr, Vec<String>)> = directory
        .retired_parts(usize::MAX, |_, _| true)
        .into_iter()
        .map(|(store, parts)| {
            let mut ids: Vec<String> = parts.into_iter().map(|part| part.id).collect();
            ids.sort_unstable();
            (store, ids)
        })
        .collect();
    parts.sort_unstable();
    parts
}

fn read_page(leader: &CacheDirectory, follower: &mut CacheDirectory, cursor: Cursor) -> Cursor {
    let page = leader
        .cache_store_log_page(cursor, at(10))
        .expect("keeps a log");
    let bytes = encode(&page).expect("encodes");
    let decoded = decode::<CacheStorePage>(&bytes).expect("decodes");
    assert_eq!(decoded, page);
    follower.on_cache_store_log_page(decoded, at(10), at(10))
}

/// Guards against prompts that are computed again although a store holds them, because a daemon
/// that does not read the stores itself knows less than its leader (large fleets).
#[test]
fn follower_has_the_same_cache_directory_as_its_leader() {
    let mut leader = directory();
    let keys = leader.take_unfollowed();
    assert!(
        leader
            .cache_store_log_page(Cursor::default(), at(1))
            .is_none(),
        "a log is kept only for other daemons"
    );
    leader.set_log_enabled(true, 77);
    leader.on_events(
        keys[0],
        events(1, 3, &[("manual", 500), ("history", 8_000)]),
        at(1),
    );
    let mut follower = directory();
    let mut cursor = read_page(&leader, &mut follower, Cursor::default());
    assert_eq!(
        parts_of(&follower),
        parts_of(&leader),
        "everything at first"
    );
    assert!(follower.knows_store_contents());
    assert_eq!(
        follower.server_clock_ms(at(10)),
        leader.server_clock_ms(at(10))
    );
    type Step = fn(&mut CacheDirectory, &[anvilgw_gateway::caches::CacheStoreKey]);
    let steps: [(&str, Step); 7] = [
        ("a part was saved", |leader, keys| {
            leader.on_events(keys[1], events(1, 5, &[("report", 700)]), at(2));
        }),
        ("a part was freed", |leader, keys| {
            leader.on_events(keys[0], events(1, 6, &[("manual", 0)]), at(3));
        }),
        ("a store restarted empty", |leader, keys| {
            leader.on_events(keys[0], events(2, 1, &[("manual", 500)]), at(4));
        }),
        ("store lost", |leader, keys| leader.on_unreachable(keys[1])),
        ("store back after a silence", |leader, keys| {
            leader.on_events(keys[1], events(1, 5, &[]), at(5));
        }),
        ("store lost again", |leader, keys| {
            leader.on_unreachable(keys[1]);
        }),
        ("store back", |leader, keys| {
            leader.on_events(keys[1], events(3, 1, &[("report", 700)]), at(6));
        }),
    ];
    for (name, step) in steps {
        step(&mut leader, &keys);
        let page = leader
            .cache_store_log_page(cursor, at(10))
            .expect("keeps a log");
        assert!(!page.is_snapshot, "{name}: only the changes");
        cursor = read_page(&leader, &mut follower, cursor);
        assert_eq!(parts_of(&follower), parts_of(&leader), "{name}");
    }
}

/// Guards against a directory that is lost at each change of leader: the members of a group learn of it
/// seconds apart, and ask a daemon that does not lead yet, or no longer.
#[test]
fn a_follower_passes_on_what_it_reads() {
    let mut leader = directory();
    let keys = leader.take_unfollowed();
    leader.set_log_enabled(true, 77);
    leader.on_events(keys[0], events(1, 3, &[("manual", 500)]), at(1));
    let mut middle = directory();
    middle.set_log_enabled(true, 78);
    let mut follower = directory();
    let mut read = Cursor::default();
    let mut passed_on = Cursor::default();
    type Step = fn(&mut CacheDirectory, &[anvilgw_gateway::caches::CacheStoreKey]);
    let steps: [(&str, Step); 6] = [
        ("everything at first", |_, _| {}),
        ("a part was saved", |leader, keys| {
            leader.on_events(keys[1], events(1, 5, &[("report", 700)]), at(2));
        }),
        ("a part was freed", |leader, keys| {
            leader.on_events(keys[0], events(1, 6, &[("manual", 0)]), at(3));
        }),
        ("store lost", |leader, keys| leader.on_unreachable(keys[1])),
        ("a store restarted empty", |leader, keys| {
            leader.on_events(keys[1], events(2, 1, &[]), at(4));
        }),
        ("another leader took over", |leader, keys| {
            leader.set_log_enabled(false, 77);
            leader.on_events(keys[0], events(3, 1, &[("history", 900)]), at(5));
            leader.set_log_enabled(true, 79);
        }),
    ];
    for (name, step) in steps {
        step(&mut leader, &keys);
        read = read_page(&leader, &mut middle, read);
        passed_on = read_page(&middle, &mut follower, passed_on);
        assert_eq!(parts_of(&follower), parts_of(&leader), "{name}");
    }
}

/// Guards against the same, and against a log that no daemon reads in a small fleet.
#[test]
fn daemons_of_a_large_fleet_serve_what_they_know_of_the_stores() {
    let leader = Role::Leader {
        followers: Vec::new(),
        leaders: Vec::new(),
    };
    let follower = Role::Follower { leader: store(1) };
    let cases = [(leader, true), (follower, true), (Role::default(), false)];
    for (role, is_served) in cases {
        assert_eq!(role.serves_cache_store_log(), is_served, "{}", role.name());
    }
}

/// Guards against a daemon that applies its position in the previous leader's log to the log of
/// a new leader.
#[test]
fn log_of_a_new_leader_is_read_from_a_snapshot() {
    let mut leader = directory();
    leader.set_log_enabled(true, 77);
    let mut follower = directory();
    let cursor = read_page(&leader, &mut follower, Cursor::default());
    let mut successor = directory();
    successor.set_log_enabled(true, 78);
    let page = successor
        .cache_store_log_page(cursor, at(10))
        .expect("keeps a log");
    assert!(page.is_snapshot);
}

/// Guards against a follower that misses changes, such as a store that lost its contents, because its
/// leader was not leader for a while: its position was taken for one in the leader's new log.
#[test]
fn log_of_a_daemon_that_leads_again_is_read_from_a_snapshot() {
    let mut leader = directory();
    let keys = leader.take_unfollowed();
    leader.set_log_enabled(true, 77);
    leader.on_events(keys[0], events(1, 3, &[("manual", 500)]), at(1));
    let mut follower = directory();
    let cursor = read_page(&leader, &mut follower, Cursor::default());
    leader.set_log_enabled(false, 77);
    leader.on_events(keys[0], events(2, 1, &[]), at(2));
    leader.set_log_enabled(true, 77);
    let more = [("report", 700), ("history", 8_000)];
    leader.on_events(keys[0], events(2, 3, &more), at(3));
    read_page(&leader, &mut follower, cursor);
    assert_eq!(parts_of(&follower), parts_of(&leader));
}

/// Guards against several calls per second from every daemon to a metadata store that is
/// unavailable, and against a daemon that depends on its leader alone.
#[test]
fn unavailable_store_is_read_less_and_less_often() {
    let mut reads = DirectReads::default();
    assert!(reads.reads_leader_first(at(0)));
    assert!(reads.on_leader_failed(at(0)), "only the leader has failed");
    assert!(!reads.reads_leader_first(at(1_000)), "the store answers");
    assert!(reads.reads_leader_first(at(1_500)));

    let mut calls = 0;
    for ms in (10_000..18_000).step_by(50) {
        let is_store_read = !reads.reads_leader_first(at(ms)) || reads.on_leader_failed(at(ms));
        if is_store_read {
            calls += 1;
            reads.on_store_failure(at(ms));
        }
    }
    assert!((5..=9).contains(&calls), "{calls} calls in 8 s");

    reads.on_store_answer();
    assert!(
        reads.on_leader_failed(at(18_001)),
        "the store is available again"
    );
}

/// Guards against requests whose task panics because a cache store states an extreme time.
#[test]
fn a_cache_store_may_state_any_time() {
    let mut directory = directory();
    let key = directory.take_unfollowed()[0];
    let extreme = CacheEvents {
        clock_ms: Some(u64::MAX),
        ..events(1, 3, &[])
    };
    directory.on_events(key, extreme, at(1));
    assert_eq!(directory.server_clock_ms(at(1_000)), Some(u64::MAX));
}

/// Guards against pages that take up the link of a small daemon, because each part in them repeats its
/// scope: they arrived late, and prompts were computed again although stores held them.
#[test]
fn a_page_names_a_scope_once() {
    const PARTS: usize = 2_000;
    let page_bytes = |scope: &str| {
        let changes = (0..PARTS).map(|part| CacheStoreChange {
            store: store(1 + part as u16 % 2),
            update: CacheUpdate::Part {
                scope: scope.to_owned(),
                id: format!("{part:08x}"),
                tokens: 650,
            },
        });
        let page = CacheStorePage {
            log_id: 1,
            next: 9,
            is_snapshot: true,
            clock_ms: None,
            changes: changes.collect(),
            ages: Vec::new(),
        };
        let bytes = encode(&page).expect("encodes");
        assert_eq!(decode::<CacheStorePage>(&bytes).expect("decodes"), page);
        bytes.len()
    };
    let long_scope = "m".repeat(200);
    let added_bytes = page_bytes(&long_scope) - page_bytes("m");
    assert!(added_bytes <= long_scope.len(), "{added_bytes} bytes");
}
