//! One shard of the prompt index, which maps block keys to the locations that hold the blocks.
//!
//! An entry is a hint: a block with its key was last known to be at its location, in a slot of its
//! generation. The entries are 24 bytes each and stand in an arena. The entries of one key form a
//! linked chain, which a hash table finds by the key. `docs/routing-design.md` compares
//! alternatives.

use crate::events::{BlockChange, CacheEvent, Sequencer};
use crate::kv::{Generation, ShortKey};
use anvilgw_core::{ServerId, StoreId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

const CHAIN_END: u32 = u32::MAX;

/// Storage tier of a store. Memory orders before disk, so it is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// Memory of the store instance.
    Memory,
    /// Disk of the store instance.
    Disk,
}

/// Cache or storage tier that holds a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Location {
    /// Prefix cache of a backend server.
    Server(ServerId),
    /// One tier of a store.
    Store(StoreId, Tier),
}

impl Location {
    /// Returns the server or store that the location belongs to.
    #[must_use]
    pub fn holder(self) -> Holder {
        match self {
            Self::Server(server) => Holder::Server(server),
            Self::Store(store, _) => Holder::Store(store),
        }
    }
}

/// Backend server or store that holds blocks. Each holder exports blocks over a link of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Holder {
    /// A backend server.
    Server(ServerId),
    /// A store with both of its tiers.
    Store(StoreId),
}

/// Last known location of a block. It may be out of date, so the reader verifies the block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// Location that last reported the block.
    pub location: Location,
    /// Generation of the slot that holds the block at the location.
    pub generation: Generation,
    /// Whether events of the location were lost after the hint was written, so that the block may
    /// have been removed.
    pub doubtful: bool,
}

/// Complete list of the blocks that a source (an engine's cache or a store's tier) holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockListing {
    /// Start time of the source's process in milliseconds since 1970.
    pub started_ms: u64,
    /// Sequence number of the first event whose effect the listing does not include.
    pub next_sequence: u64,
    /// Sealed blocks whose keys belong to the shard.
    pub blocks: Vec<(ShortKey, Generation)>,
}

/// Hasher that returns a [`ShortKey`] unchanged, since it is a part of a hash already.
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

/// State of one source of cache events.
#[derive(Clone, Debug, Default)]
struct Source {
    started_ms: u64,
    sequencer: Sequencer,
    /// Entries written before this epoch are no longer valid.
    first_valid_epoch: u16,
    /// Current epoch. Valid entries written in an earlier epoch are doubtful.
    epoch: u16,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    key: ShortKey,
    generation: Generation,
    next: u32,
    source: u16,
    epoch: u16,
    in_use: bool,
    referenced: bool,
}

/// Counters of a shard since its creation, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct IndexCounters {
    /// Gaps in the event sequences of the sources.
    pub gaps: u64,
    /// Valid entries evicted because the shard was full.
    pub evicted: u64,
    /// Events and listings discarded because they come from an earlier process of their source, and
    /// listings discarded because later events were already applied.
    pub outdated: u64,
}

/// Shard of the prompt index with a bounded number of entries.
#[derive(Clone, Debug)]
pub struct IndexShard {
    capacity: usize,
    chains: HashMap<ShortKey, u32, BuildHasherDefault<KeyHasher>>,
    entries: Vec<Entry>,
    free_entries: Vec<u32>,
    clock_hand: usize,
    sources: IndexMap<Location, Source>,
    counters: IndexCounters,
}

impl IndexShard {
    /// Creates an empty shard for at most `capacity` entries (at least one).
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            chains: HashMap::default(),
            entries: Vec::new(),
            free_entries: Vec::new(),
            clock_hand: 0,
            sources: IndexMap::new(),
            counters: IndexCounters::default(),
        }
    }

    /// Returns the number of entries, including invalid ones that are not yet reclaimed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len() - self.free_entries.len()
    }

    /// Returns true if the shard has no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the bytes allocated for entries and the hash table.
    #[must_use]
    pub fn allocated_bytes(&self) -> usize {
        // The hash table stores one control byte per bucket and fills at most 7 of 8 buckets.
        let buckets = self.chains.capacity() * 8 / 7;
        buckets * (size_of::<(ShortKey, u32)>() + 1)
            + self.entries.capacity() * size_of::<Entry>()
            + self.free_entries.capacity() * size_of::<u32>()
    }

    /// Returns the counters since the creation of the shard.
    #[must_use]
    pub fn counters(&self) -> IndexCounters {
        self.counters
    }

    /// Applies a cache event of a source. An event that arrives before its predecessors is
    /// buffered.
    pub fn apply(&mut self, location: Location, event: CacheEvent, now: Duration) {
        let source_index = self.source_index(location, event.started_ms);
        let source = &mut self.sources[source_index];
        if event.started_ms < source.started_ms {
            self.counters.outdated += 1;
            return;
        }
        let ordered = source.sequencer.push(event, now);
        self.apply_ordered(source_index, &ordered.ready, ordered.gap);
    }

    /// Counts events as lost that are missing for too long. Must be called at least every second.
    pub fn tick(&mut self, now: Duration) {
        for source_index in 0..self.sources.len() {
            let ordered = self.sources[source_index].sequencer.release(now);
            self.apply_ordered(source_index, &ordered.ready, ordered.gap);
        }
    }

    /// Replaces all entries of a source by a listing. A listing that is older than the events
    /// applied so far is counted as outdated and has no effect; the caller then requests a newer
    /// one.
    pub fn apply_listing(&mut self, location: Location, listing: &BlockListing) {
        let source_index = self.source_index(location, listing.started_ms);
        let source = &mut self.sources[source_index];
        let outdated = listing.started_ms < source.started_ms;
        if outdated || !source.sequencer.resume_at(listing.next_sequence) {
            self.counters.outdated += 1;
            return;
        }
        self.advance_epoch(source_index, true);
        for &(key, generation) in &listing.blocks {
            self.insert(source_index, key, generation);
        }
        let released = self.sources[source_index].sequencer.release(Duration::ZERO);
        self.apply_ordered(source_index, &released.ready, released.gap);
    }

    /// Invalidates all entries of a source, for example after its instance was removed.
    pub fn remove_source(&mut self, location: Location) {
        if let Some(source_index) = self.sources.get_index_of(&location) {
            self.advance_epoch(source_index, true);
        }
    }

    /// Removes the hint that a location holds a block, after a reader found it wrong.
    pub fn remove_hint(&mut self, location: Location, key: ShortKey) {
        if let Some(source_index) = self.sources.get_index_of(&location) {
            self.unlink(key, |entry| usize::from(entry.source) == source_index);
        }
    }

    /// Returns the hints about one block and marks their entries as recently used.
    pub fn lookup(&mut self, key: ShortKey) -> impl Iterator<Item = Hint> + '_ {
        let mut entry_index = self.chains.get(&key).copied().unwrap_or(CHAIN_END);
        std::iter::from_fn(move || {
            while entry_index != CHAIN_END {
                let entry = &mut self.entries[entry_index as usize];
                entry_index = entry.next;
                let Some((&location, source)) = self.sources.get_index(usize::from(entry.source))
                else {
                    continue;
                };
                if entry.epoch >= source.first_valid_epoch {
                    entry.referenced = true;
                    return Some(Hint {
                        location,
                        generation: entry.generation,
                        doubtful: entry.epoch != source.epoch,
                    });
                }
            }
            None
        })
    }

    /// Returns the hints about several blocks, in the order of the keys. A block without a known
    /// location has an empty list.
    #[must_use]
    pub fn lookup_all(&mut self, keys: &[ShortKey]) -> Vec<Vec<Hint>> {
        keys.iter().map(|&key| self.lookup(key).collect()).collect()
    }

    /// Returns the index of a source and adds the source if it is unknown. A later start time means
    /// that the source restarted with an empty cache, so its entries become invalid.
    fn source_index(&mut self, location: Location, started_ms: u64) -> usize {
        let entry = self.sources.entry(location);
        let source_index = entry.index();
        let source = entry.or_insert_with(|| Source {
            started_ms,
            ..Source::default()
        });
        if source.started_ms < started_ms {
            source.started_ms = started_ms;
            source.sequencer = Sequencer::default();
            self.advance_epoch(source_index, true);
        }
        source_index
    }

    fn apply_ordered(&mut self, source_index: usize, events: &[CacheEvent], gap: bool) {
        if gap {
            self.counters.gaps += 1;
            self.advance_epoch(source_index, false);
        }
        for event in events {
            match event.change {
                BlockChange::Stored => self.insert(source_index, event.key, event.generation),
                BlockChange::Removed => self.unlink(event.key, |entry| {
                    usize::from(entry.source) == source_index
                        && entry.generation <= event.generation
                }),
            }
        }
    }

    /// Starts a new epoch of a source. Its earlier entries become invalid if `invalidate` is set,
    /// and doubtful otherwise.
    fn advance_epoch(&mut self, source_index: usize, invalidate: bool) {
        if self.sources[source_index].epoch == u16::MAX {
            self.reset_epochs(source_index);
        }
        let source = &mut self.sources[source_index];
        source.epoch += 1;
        if invalidate {
            source.first_valid_epoch = source.epoch;
        }
    }

    /// Removes all entries of a source and restarts its epoch counter, which has reached its
    /// maximum.
    fn reset_epochs(&mut self, source_index: usize) {
        let keys: Vec<_> = self
            .entries
            .iter()
            .filter(|entry| entry.in_use && usize::from(entry.source) == source_index)
            .map(|entry| entry.key)
            .collect();
        for key in keys {
            self.unlink(key, |entry| usize::from(entry.source) == source_index);
        }
        self.sources[source_index].epoch = 0;
        self.sources[source_index].first_valid_epoch = 0;
    }

    fn insert(&mut self, source_index: usize, key: ShortKey, generation: Generation) {
        let epoch = self.sources[source_index].epoch;
        let mut entry_index = self.chains.get(&key).copied().unwrap_or(CHAIN_END);
        while entry_index != CHAIN_END {
            let entry = &mut self.entries[entry_index as usize];
            if usize::from(entry.source) == source_index {
                entry.generation = generation;
                entry.epoch = epoch;
                return;
            }
            entry_index = entry.next;
        }
        let entry_index = self.allocate_entry();
        let next = self.chains.insert(key, entry_index).unwrap_or(CHAIN_END);
        self.entries[entry_index as usize] = Entry {
            key,
            generation,
            next,
            source: u16::try_from(source_index).expect("fewer than 65,536 sources"),
            epoch,
            in_use: true,
            referenced: false,
        };
    }

    fn allocate_entry(&mut self) -> u32 {
        if self.entries.len() < self.capacity && self.free_entries.is_empty() {
            self.entries.push(Entry {
                key: ShortKey(0),
                generation: Generation(0),
                next: CHAIN_END,
                source: 0,
                epoch: 0,
                in_use: false,
                referenced: false,
            });
            return (self.entries.len() - 1) as u32;
        }
        if self.free_entries.is_empty() {
            self.evict_entry();
        }
        self.free_entries.pop().expect("an entry was evicted")
    }

    /// Evicts one entry by the second-chance (CLOCK) algorithm: the first one that is invalid or
    /// was not looked up since the clock hand last passed it.
    fn evict_entry(&mut self) {
        loop {
            self.clock_hand = (self.clock_hand + 1) % self.entries.len();
            let entry = &mut self.entries[self.clock_hand];
            let invalid = entry.epoch < self.sources[usize::from(entry.source)].first_valid_epoch;
            if entry.referenced && !invalid {
                entry.referenced = false;
                continue;
            }
            let (key, source) = (entry.key, entry.source);
            self.unlink(key, |entry| entry.source == source);
            self.counters.evicted += u64::from(!invalid);
            return;
        }
    }

    /// Removes those entries of a key for which `matches` returns true.
    fn unlink(&mut self, key: ShortKey, matches: impl Fn(&Entry) -> bool) {
        let Some(&chain_head) = self.chains.get(&key) else {
            return;
        };
        let (mut chain_head, mut previous, mut entry_index) = (chain_head, CHAIN_END, chain_head);
        while entry_index != CHAIN_END {
            let entry = self.entries[entry_index as usize];
            if matches(&entry) {
                if previous == CHAIN_END {
                    chain_head = entry.next;
                } else {
                    self.entries[previous as usize].next = entry.next;
                }
                self.entries[entry_index as usize].in_use = false;
                self.free_entries.push(entry_index);
            } else {
                previous = entry_index;
            }
            entry_index = entry.next;
        }
        if chain_head == CHAIN_END {
            self.chains.remove(&key);
        } else {
            self.chains.insert(key, chain_head);
        }
    }
}
