//! The prompt index under events that are late, duplicated, reordered or lost.

use anvilgw_core::{ServerId, StoreId};
use anvilgw_router::{
    BlockChange, BlockListing, CacheEvent, Generation, Hint, Holder, IndexShard, Location,
    PrefixMatch, ShortKey, Tier, leading_hints,
};
use quickcheck::{Gen, QuickCheck, TestResult};

/// Size and seed of the generated cases, fixed so that every run tests the same cases.
const GEN_SIZE: usize = 100;
const GEN_SEED: u64 = 1;
use std::collections::BTreeMap;
use std::time::Duration;

const SERVER: Location = Location::Server(ServerId(1));
const OTHER_SERVER: Location = Location::Server(ServerId(2));
const NOW: Duration = Duration::from_secs(10);
const LATER: Duration = Duration::from_secs(20);

fn event(sequence: u64, key: u64, change: BlockChange) -> CacheEvent {
    CacheEvent {
        started_ms: 1,
        sequence,
        key: ShortKey(key),
        generation: Generation(sequence),
        change,
    }
}

fn hints(shard: &mut IndexShard, key: u64) -> Vec<Hint> {
    shard.lookup(ShortKey(key)).collect()
}

/// Guards against an index whose content depends on the order in which events arrive, or on how
/// often each one does.
#[test]
fn any_delivery_order_gives_the_same_content() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(changes: Vec<(u8, bool)>, order: Vec<u8>) -> TestResult {
        if changes.is_empty() || changes.len() > 100 {
            return TestResult::discard();
        }
        let events: Vec<_> = changes
            .iter()
            .enumerate()
            .map(|(sequence, (key, stored))| {
                let change = if *stored {
                    BlockChange::Stored
                } else {
                    BlockChange::Removed
                };
                event(sequence as u64, u64::from(*key % 8), change)
            })
            .collect();
        let mut expected = BTreeMap::new();
        for event in &events {
            match event.change {
                BlockChange::Stored => expected.insert(event.key, event.generation),
                BlockChange::Removed => expected.remove(&event.key),
            };
        }
        let mut shard = IndexShard::new(1_000);
        // The first event is applied first: events that start later in the sequence count as a gap.
        shard.apply(SERVER, events[0], NOW);
        let mut shuffled = events.clone();
        for (position, swap) in order.iter().enumerate() {
            let len = shuffled.len();
            shuffled.swap(position % len, usize::from(*swap) % len);
        }
        for event in shuffled.iter().chain(&events) {
            shard.apply(SERVER, *event, NOW);
        }
        let matches_expected = (0..8).all(|key| {
            let found = hints(&mut shard, key);
            let expected = expected.get(&ShortKey(key)).copied();
            found.first().map(|hint| hint.generation) == expected
                && found.iter().all(|hint| !hint.doubtful)
        });
        TestResult::from_bool(matches_expected && shard.counters().gaps == 0)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, GEN_SEED))
        .quickcheck(property as fn(Vec<(u8, bool)>, Vec<u8>) -> TestResult);
}

/// Guards against a full shard that grows, loses entries or keeps chains of evicted entries.
#[test]
fn a_full_shard_stays_bounded() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(keys: Vec<u16>) -> bool {
        let mut shard = IndexShard::new(16);
        for (sequence, key) in keys.iter().enumerate() {
            shard.apply(
                SERVER,
                event(sequence as u64, u64::from(*key), BlockChange::Stored),
                NOW,
            );
        }
        let last_found = keys
            .last()
            .is_none_or(|key| hints(&mut shard, u64::from(*key)).len() == 1);
        shard.len() <= 16 && last_found
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, GEN_SEED))
        .quickcheck(property as fn(Vec<u16>) -> bool);
}

/// Guards against hints that are not marked as doubtful after events were lost.
#[test]
fn a_gap_makes_only_entries_of_its_source_doubtful() {
    let mut shard = IndexShard::new(100);
    shard.apply(SERVER, event(0, 1, BlockChange::Stored), NOW);
    shard.apply(OTHER_SERVER, event(0, 1, BlockChange::Stored), NOW);
    shard.apply(SERVER, event(2, 2, BlockChange::Stored), NOW);
    assert!(
        hints(&mut shard, 2).is_empty(),
        "held until the gap is certain"
    );
    shard.tick(LATER);
    assert_eq!(shard.counters().gaps, 1);
    let doubtful: BTreeMap<_, _> = hints(&mut shard, 1)
        .iter()
        .map(|hint| (hint.location, hint.doubtful))
        .collect();
    assert_eq!(
        doubtful,
        BTreeMap::from([(SERVER, true), (OTHER_SERVER, false)])
    );
    assert!(!hints(&mut shard, 2)[0].doubtful, "newer than the gap");
}

/// Guards against a gap that is never detected because later events keep arriving.
#[test]
fn a_full_window_ends_the_wait_for_a_lost_event() {
    let mut shard = IndexShard::new(1_000);
    shard.apply(SERVER, event(0, 0, BlockChange::Stored), NOW);
    for sequence in 2..300 {
        shard.apply(SERVER, event(sequence, sequence, BlockChange::Stored), NOW);
    }
    assert_eq!(shard.counters().gaps, 1);
    assert!(!hints(&mut shard, 299).is_empty());
}

/// Guards against entries that survive the restart of their source or a listing without them.
#[test]
fn restarts_and_listings_remove_stale_entries() {
    let mut shard = IndexShard::new(100);
    shard.apply(SERVER, event(0, 1, BlockChange::Stored), NOW);
    let restarted = CacheEvent {
        started_ms: 2,
        ..event(0, 2, BlockChange::Stored)
    };
    shard.apply(SERVER, restarted, NOW);
    assert!(hints(&mut shard, 1).is_empty());
    shard.apply(SERVER, event(1, 3, BlockChange::Stored), NOW);
    assert!(
        hints(&mut shard, 3).is_empty(),
        "event of the earlier process"
    );
    assert_eq!(shard.counters().outdated, 1);
    let listing = BlockListing {
        started_ms: 2,
        next_sequence: 5,
        blocks: vec![(ShortKey(4), Generation(7))],
    };
    shard.apply_listing(SERVER, &listing);
    assert!(hints(&mut shard, 2).is_empty());
    assert_eq!(hints(&mut shard, 4)[0].generation, Generation(7));
    let late = CacheEvent {
        started_ms: 2,
        ..event(4, 4, BlockChange::Removed)
    };
    shard.apply(SERVER, late, NOW);
    assert_eq!(
        hints(&mut shard, 4).len(),
        1,
        "the listing includes the event"
    );
    let next = CacheEvent {
        started_ms: 2,
        generation: Generation(7),
        ..event(5, 4, BlockChange::Removed)
    };
    shard.apply(SERVER, next, NOW);
    assert!(hints(&mut shard, 4).is_empty());
}

/// Guards against a listing that reverts events which it does not include.
#[test]
fn a_listing_older_than_the_events_has_no_effect() {
    let mut shard = IndexShard::new(100);
    for sequence in 0..4 {
        shard.apply(SERVER, event(sequence, sequence, BlockChange::Stored), NOW);
    }
    shard.apply(SERVER, event(4, 0, BlockChange::Removed), NOW);
    let listing = BlockListing {
        started_ms: 1,
        next_sequence: 2,
        blocks: vec![(ShortKey(0), Generation(0)), (ShortKey(1), Generation(1))],
    };
    shard.apply_listing(SERVER, &listing);
    assert!(hints(&mut shard, 0).is_empty(), "removed after the listing");
    assert_eq!(hints(&mut shard, 3).len(), 1, "stored after the listing");
    assert_eq!(shard.counters().outdated, 1);
}

/// Guards against entries that become valid again when the epoch counter of their source wraps.
#[test]
fn invalid_entries_stay_invalid_when_epochs_wrap() {
    let mut shard = IndexShard::new(100);
    shard.apply(SERVER, event(0, 1, BlockChange::Stored), NOW);
    for _ in 0..70_000 {
        shard.remove_source(SERVER);
        assert!(hints(&mut shard, 1).is_empty());
    }
}

fn hint(location: Location, doubtful: bool) -> Hint {
    Hint {
        location,
        generation: Generation(1),
        doubtful,
    }
}

struct PrefixCase {
    what: &'static str,
    blocks: Vec<Option<Vec<Hint>>>,
    expected: Vec<(Holder, u32, u32, u32)>,
    incomplete: bool,
}

fn prefix_cases() -> Vec<PrefixCase> {
    let store = StoreId(1);
    let memory = hint(Location::Store(store, Tier::Memory), false);
    let disk = hint(Location::Store(store, Tier::Disk), false);
    let server = hint(SERVER, false);
    vec![
        PrefixCase {
            what: "no hints",
            blocks: vec![Some(vec![])],
            expected: vec![],
            incomplete: false,
        },
        PrefixCase {
            what: "hole in the middle",
            blocks: vec![
                Some(vec![server, memory]),
                Some(vec![memory]),
                Some(vec![server]),
            ],
            expected: vec![
                (Holder::Server(ServerId(1)), 1, 0, 0),
                (Holder::Store(store), 2, 0, 0),
            ],
            incomplete: false,
        },
        PrefixCase {
            what: "both tiers of a store, in either order",
            blocks: vec![
                Some(vec![disk, memory]),
                Some(vec![memory, disk]),
                Some(vec![disk]),
            ],
            expected: vec![(Holder::Store(store), 3, 1, 0)],
            incomplete: false,
        },
        PrefixCase {
            what: "doubtful hint",
            blocks: vec![Some(vec![hint(SERVER, true)]), Some(vec![server])],
            expected: vec![(Holder::Server(ServerId(1)), 2, 0, 1)],
            incomplete: false,
        },
        PrefixCase {
            what: "shard without an answer",
            blocks: vec![Some(vec![server]), None, Some(vec![server])],
            expected: vec![(Holder::Server(ServerId(1)), 1, 0, 0)],
            incomplete: true,
        },
    ]
}

/// Guards against matches that skip a missing block or a block whose shard did not answer.
#[test]
fn prefix_matches_are_consecutive() {
    let cases = prefix_cases();
    for case in cases {
        let found = PrefixMatch::from_hints(&case.blocks);
        let holders: Vec<_> = found
            .holders
            .iter()
            .map(|matched| {
                (
                    matched.holder,
                    matched.blocks,
                    matched.disk_blocks,
                    matched.doubtful_blocks,
                )
            })
            .collect();
        assert_eq!(holders, case.expected, "{}", case.what);
        assert_eq!(found.incomplete, case.incomplete, "{}", case.what);
        for matched in found.holders {
            let usable = leading_hints(matched.holder, &case.blocks);
            assert!(usable.len() >= matched.blocks as usize, "{}", case.what);
        }
    }
}
