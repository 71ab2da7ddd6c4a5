//! One shard of the prompt index.
//!
//! An entry is a hint: a block with this key was last known to be at this location with this
//! generation. Entries are 24 bytes in an arena chained per key, behind a table from key to chain.
//! Alternatives are weighed in `docs/routing-design.md`.

use crate::events::{BlockChange, CacheEvent, Sequencer};
use crate::kv::{Generation, ShortKey};
use anvilgw_core::{ServerId, StoreId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

const END: u32 = u32::MAX;

/// Tier of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// Memory of the store instance.
    Memory,
    /// Disk of the store instance.
    Disk,
}

/// Where a block is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Location {
    /// Prefix cache of a backend server.
    Server(ServerId),
    /// A tier of a store.
    Store(StoreId, Tier),
}

impl Location {
    /// The server or store of the location.
    #[must_use]
    pub fn holder(self) -> Holder {
        match self {
            Self::Server(server) => Holder::Server(server),
            Self::Store(store, _) => Holder::Store(store),
        }
    }
}

/// A server or store that holds blocks; each has one link for its exports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Holder {
    /// A backend server.
    Server(ServerId),
    /// A store, with both tiers.
    Store(StoreId),
}

/// A hint about one block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// Where the block was.
    pub location: Location,
    /// Generation of the slot.
    pub generation: Generation,
    /// Whether events of the location were lost since the hint was written.
    pub doubtful: bool,
}

/// A complete listing of what a source holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockListing {
    /// Start time of the source's process in milliseconds since 1970.
    pub started_ms: u64,
    /// Sequence number of the first event that the listing does not include.
    pub next_sequence: u64,
    /// Sealed blocks that belong to the shard.
    pub blocks: Vec<(ShortKey, Generation)>,
}

/// Hasher for keys that are hashes already.
#[derive(Clone, Copy, Debug, Default)]
struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.0 ^= u64::from_le_bytes(word);
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

/// State of one source of events.
#[derive(Clone, Debug, Default)]
struct Source {
    started_ms: u64,
    sequencer: Sequencer,
    /// Entries written before this epoch are gone.
    floor: u16,
    /// Entries written in an earlier epoch, but not below the floor, are doubtful.
    epoch: u16,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    key: ShortKey,
    generation: Generation,
    next: u32,
    source: u16,
    epoch: u16,
    used: bool,
    referenced: bool,
}

/// Counters of a shard for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct IndexCounters {
    /// Gaps in the events of a source.
    pub gaps: u64,
    /// Entries dropped because the shard was full.
    pub evicted: u64,
    /// Events and listings of an earlier incarnation of their source, and listings older than the
    /// events applied.
    pub outdated: u64,
}

/// A bounded shard of the prompt index.
#[derive(Clone, Debug)]
pub struct IndexShard {
    capacity: usize,
    table: HashMap<ShortKey, u32, BuildHasherDefault<KeyHasher>>,
    slots: Vec<Slot>,
    free: Vec<u32>,
    hand: usize,
    sources: IndexMap<Location, Source>,
    counters: IndexCounters,
}

impl IndexShard {
    /// Creates a shard with room for `capacity` entries.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            table: HashMap::default(),
            slots: Vec::new(),
            free: Vec::new(),
            hand: 0,
            sources: IndexMap::new(),
            counters: IndexCounters::default(),
        }
    }

    /// Number of entries, including those that are gone but not yet reclaimed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether the shard has no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes allocated for entries.
    #[must_use]
    pub fn allocated_bytes(&self) -> usize {
        // The table stores one control byte per bucket and fills at most 7 of 8 buckets.
        let buckets = self.table.capacity() * 8 / 7;
        buckets * (size_of::<(ShortKey, u32)>() + 1)
            + self.slots.capacity() * size_of::<Slot>()
            + self.free.capacity() * size_of::<u32>()
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> IndexCounters {
        self.counters
    }

    /// Applies a cache event.
    pub fn apply(&mut self, location: Location, event: CacheEvent, now: Duration) {
        let at = self.source_index(location, event.started_ms);
        let source = &mut self.sources[at];
        if event.started_ms < source.started_ms {
            self.counters.outdated += 1;
            return;
        }
        let ordered = source.sequencer.take(event, now);
        self.apply_ordered(at, &ordered.ready, ordered.gap);
    }

    /// Gives up on events that are missing for too long. Called at least every second.
    pub fn tick(&mut self, now: Duration) {
        for at in 0..self.sources.len() {
            let ordered = self.sources[at].sequencer.release(now);
            self.apply_ordered(at, &ordered.ready, ordered.gap);
        }
    }

    /// Replaces all entries of a source by a listing. A listing that is older than what was applied
    /// from events is counted as outdated and has no effect; the caller asks for a newer one.
    pub fn apply_listing(&mut self, location: Location, listing: &BlockListing) {
        let at = self.source_index(location, listing.started_ms);
        let source = &mut self.sources[at];
        let outdated = listing.started_ms < source.started_ms;
        if outdated || !source.sequencer.resume_at(listing.next_sequence) {
            self.counters.outdated += 1;
            return;
        }
        self.advance_epoch(at, true);
        for &(key, generation) in &listing.blocks {
            self.insert(at, key, generation);
        }
        let held = self.sources[at].sequencer.release(Duration::ZERO);
        self.apply_ordered(at, &held.ready, held.gap);
    }

    /// Drops all entries of a source, for example when its instance is gone.
    pub fn remove_source(&mut self, location: Location) {
        if let Some(at) = self.sources.get_index_of(&location) {
            self.advance_epoch(at, true);
        }
    }

    /// Drops one entry after a reader found that it is wrong.
    pub fn remove_hint(&mut self, location: Location, key: ShortKey) {
        if let Some(at) = self.sources.get_index_of(&location) {
            self.unlink(key, |slot| usize::from(slot.source) == at);
        }
    }

    /// Hints about one block.
    pub fn lookup(&mut self, key: ShortKey) -> impl Iterator<Item = Hint> + '_ {
        let mut at = self.table.get(&key).copied().unwrap_or(END);
        std::iter::from_fn(move || {
            while at != END {
                let slot = &mut self.slots[at as usize];
                at = slot.next;
                let Some((&location, source)) = self.sources.get_index(usize::from(slot.source))
                else {
                    continue;
                };
                if slot.epoch >= source.floor {
                    slot.referenced = true;
                    return Some(Hint {
                        location,
                        generation: slot.generation,
                        doubtful: slot.epoch != source.epoch,
                    });
                }
            }
            None
        })
    }

    /// Hints about several blocks, in the order of the keys. A block that is nowhere has none.
    #[must_use]
    pub fn lookup_all(&mut self, keys: &[ShortKey]) -> Vec<Vec<Hint>> {
        keys.iter().map(|&key| self.lookup(key).collect()).collect()
    }

    /// Index of a source. A later start time means that the source restarted with an empty cache.
    fn source_index(&mut self, location: Location, started_ms: u64) -> usize {
        let entry = self.sources.entry(location);
        let at = entry.index();
        let known = entry.or_insert_with(|| Source {
            started_ms,
            ..Source::default()
        });
        if known.started_ms < started_ms {
            known.started_ms = started_ms;
            known.sequencer = Sequencer::default();
            self.advance_epoch(at, true);
        }
        at
    }

    fn apply_ordered(&mut self, at: usize, events: &[CacheEvent], gap: bool) {
        if gap {
            self.counters.gaps += 1;
            self.advance_epoch(at, false);
        }
        for event in events {
            match event.change {
                BlockChange::Stored => self.insert(at, event.key, event.generation),
                BlockChange::Removed => self.unlink(event.key, |slot| {
                    usize::from(slot.source) == at && slot.generation <= event.generation
                }),
            }
        }
    }

    /// Starts a new epoch of a source. Entries of earlier ones are gone or become doubtful.
    fn advance_epoch(&mut self, at: usize, gone: bool) {
        if self.sources[at].epoch == u16::MAX {
            self.restart_epochs(at);
        }
        let source = &mut self.sources[at];
        source.epoch += 1;
        if gone {
            source.floor = source.epoch;
        }
    }

    /// Drops all entries of a source whose epoch counter is used up.
    fn restart_epochs(&mut self, at: usize) {
        let keys: Vec<_> = self
            .slots
            .iter()
            .filter(|slot| slot.used && usize::from(slot.source) == at)
            .map(|slot| slot.key)
            .collect();
        for key in keys {
            self.unlink(key, |slot| usize::from(slot.source) == at);
        }
        self.sources[at].epoch = 0;
        self.sources[at].floor = 0;
    }

    fn insert(&mut self, at: usize, key: ShortKey, generation: Generation) {
        let epoch = self.sources[at].epoch;
        let mut position = self.table.get(&key).copied().unwrap_or(END);
        while position != END {
            let slot = &mut self.slots[position as usize];
            if usize::from(slot.source) == at {
                slot.generation = generation;
                slot.epoch = epoch;
                return;
            }
            position = slot.next;
        }
        let position = self.free_slot();
        let next = self.table.insert(key, position).unwrap_or(END);
        self.slots[position as usize] = Slot {
            key,
            generation,
            next,
            source: u16::try_from(at).expect("fewer than 65,536 sources"),
            epoch,
            used: true,
            referenced: false,
        };
    }

    fn free_slot(&mut self) -> u32 {
        if self.slots.len() < self.capacity && self.free.is_empty() {
            self.slots.push(Slot {
                key: ShortKey(0),
                generation: Generation(0),
                next: END,
                source: 0,
                epoch: 0,
                used: false,
                referenced: false,
            });
            return (self.slots.len() - 1) as u32;
        }
        if self.free.is_empty() {
            self.evict_one();
        }
        self.free.pop().expect("a slot was evicted")
    }

    /// Second-chance eviction: drops the first entry that is gone or was not looked up lately.
    fn evict_one(&mut self) {
        loop {
            self.hand = (self.hand + 1) % self.slots.len();
            let slot = &mut self.slots[self.hand];
            let gone = slot.epoch < self.sources[usize::from(slot.source)].floor;
            if slot.referenced && !gone {
                slot.referenced = false;
                continue;
            }
            let (key, source) = (slot.key, slot.source);
            self.unlink(key, |slot| slot.source == source);
            self.counters.evicted += u64::from(!gone);
            return;
        }
    }

    /// Removes the entries of a key that match.
    fn unlink(&mut self, key: ShortKey, matches: impl Fn(&Slot) -> bool) {
        let Some(&head) = self.table.get(&key) else {
            return;
        };
        let (mut head, mut previous, mut at) = (head, END, head);
        while at != END {
            let slot = self.slots[at as usize];
            if matches(&slot) {
                if previous == END {
                    head = slot.next;
                } else {
                    self.slots[previous as usize].next = slot.next;
                }
                self.slots[at as usize].used = false;
                self.free.push(at);
            } else {
                previous = at;
            }
            at = slot.next;
        }
        if head == END {
            self.table.remove(&key);
        } else {
            self.table.insert(key, head);
        }
    }
}
