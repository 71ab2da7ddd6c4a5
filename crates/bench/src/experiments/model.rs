//! Small queueing model of engines, stores and links in virtual time.
//!
//! Engines prefill in chunks, requests of high priority first and otherwise in order of readiness, and
//! decode up to a number of requests at once. Stores have a memory and a disk tier behind one link that carries transfers in order.

use super::workload::{BLOCK_TOKENS, Trace, TraceRequest};
use anvilgw_core::{ServerId, StoreId};
use anvilgw_router::{BlockChange, CacheEvent, Generation, LoadReport, Location, ShortKey, Tier};
use indexmap::IndexSet;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// Speeds and sizes of the model.
pub(super) const ENGINES: usize = 18;
pub(super) const STORES: usize = 2;
pub(super) const PREFILL_TOKENS_PER_S: f64 = 40_000.0;
pub(super) const DECODE_MS_PER_TOKEN: f64 = 27.0;
/// Requests that an engine decodes at once: 8 requests/s of 270 tokens are 80% of it.
pub(super) const DECODE_SLOTS: u32 = 72;
pub(super) const KV_BYTES_PER_TOKEN: u64 = 16_000;
pub(super) const LINK_BYTES_PER_S: f64 = 40e9;
/// Part of a link that the budget allows.
pub(super) const LINK_BUDGET_SHARE: f64 = 0.8;
pub(super) const DISK_BYTES_PER_S: f64 = 25e9;
pub(super) const LINK_LATENCY_S: f64 = 0.001;
/// Tokens that an engine prefills before it looks at priorities again.
const CHUNK_TOKENS: u64 = 2_000;
/// Blocks in the prefix cache of an engine: 256 GB of its 8 accelerators, a few minutes of load.
const ENGINE_CACHE_BLOCKS: usize = 4_000;
const STORE_MEMORY_BLOCKS: usize = 20_000;
/// Bytes of one block.
pub(super) const BLOCK_BYTES: u64 = BLOCK_TOKENS * KV_BYTES_PER_TOKEN;

/// Blocks in the order of their last use.
#[derive(Clone, Debug, Default)]
struct Lru {
    stamps: HashMap<ShortKey, i64>,
    order: BTreeMap<i64, ShortKey>,
    next: i64,
}

impl Lru {
    fn touch(&mut self, key: ShortKey) -> bool {
        self.next += 1;
        let known = self.stamps.insert(key, self.next);
        if let Some(stamp) = known {
            self.order.remove(&stamp);
        }
        self.order.insert(self.next, key);
        known.is_none()
    }

    /// Makes a block the next one to be evicted.
    fn demote(&mut self, key: ShortKey) {
        let lowest = self.order.keys().next().copied().unwrap_or(0) - 1;
        if let Some(stamp) = self.stamps.get_mut(&key) {
            self.order.remove(stamp);
            *stamp = lowest;
            self.order.insert(lowest, key);
        }
    }

    fn evict_above(&mut self, capacity: usize) -> Option<ShortKey> {
        if self.stamps.len() <= capacity {
            return None;
        }
        let (_, key) = self.order.pop_first()?;
        self.stamps.remove(&key);
        Some(key)
    }
}

/// An engine.
#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    cache: Lru,
    /// Blocks on the way or being computed, with the time at which their request is ready.
    pending: HashMap<ShortKey, f64>,
    waiting: VecDeque<usize>,
    running: u32,
    /// Requests to prefill with their remaining tokens, for high and low priority.
    prefill: [VecDeque<(usize, u64)>; 2],
    /// The chunk in progress: class and tokens.
    chunk: Option<(usize, u64)>,
    completed: u64,
    sequence: u64,
}

/// A store with its link.
#[derive(Clone, Debug, Default)]
pub(super) struct Store {
    memory: Lru,
    disk: IndexSet<ShortKey>,
    memory_sequence: u64,
    disk_sequence: u64,
    link: Link,
    disk_free_s: f64,
}

/// A link that carries transfers in order.
#[derive(Clone, Debug, Default)]
pub(super) struct Link {
    free_s: f64,
    /// Bytes whose transfer started in each second.
    pub(super) bytes_per_second: Vec<u64>,
}

impl Link {
    /// Starts a transfer and returns its end.
    fn transfer(&mut self, earliest_s: f64, bytes: u64) -> f64 {
        let start = earliest_s.max(self.free_s);
        self.free_s = start + bytes as f64 / LINK_BYTES_PER_S;
        let second = start as usize;
        if self.bytes_per_second.len() <= second {
            self.bytes_per_second.resize(second + 1, 0);
        }
        self.bytes_per_second[second] += bytes;
        self.free_s + LINK_LATENCY_S
    }
}

/// What a strategy decides about a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Route {
    pub(super) engine: usize,
    /// Whether the prefill yields to others at the end of a chunk.
    pub(super) low_priority: bool,
    /// Store to import from, first block, number of blocks and earliest start.
    pub(super) import: Option<ImportRoute>,
}

/// Blocks to import from a store.
#[derive(Clone, Copy, Debug)]
pub(super) struct ImportRoute {
    pub(super) store: usize,
    pub(super) end_block: usize,
    pub(super) start_s: f64,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Served {
    pub(super) engine: usize,
    low_priority: bool,
    pub(super) prefill_tokens: u64,
    pub(super) imported_blocks: usize,
    pub(super) in_place_blocks: usize,
    pub(super) ttft_s: f64,
}

/// A cache event on its way.
pub(super) type Published = (Location, CacheEvent);

/// Engines and stores.
pub(super) struct World<'a> {
    pub(super) trace: &'a Trace,
    pub(super) engines: Vec<Engine>,
    pub(super) stores: Vec<Store>,
    pub(super) served: Vec<Served>,
    /// Events since they were last taken.
    pub(super) events: Vec<Published>,
    /// Imports of a block that started while the block was on its way elsewhere.
    pub(super) duplicate_imports: u64,
    in_transfer: HashMap<ShortKey, f64>,
}

impl<'a> World<'a> {
    /// Creates the world with the retained blocks on the disks of the stores.
    pub(super) fn new(trace: &'a Trace, with_stores: bool) -> Self {
        let mut world = Self {
            trace,
            engines: vec![Engine::default(); ENGINES],
            stores: vec![Store::default(); STORES],
            served: vec![Served::default(); trace.requests.len()],
            events: Vec::new(),
            duplicate_imports: 0,
            in_transfer: HashMap::new(),
        };
        for (at, keys) in trace.retained.iter().enumerate().filter(|_| with_stores) {
            for key in keys {
                world.stores[at % STORES].disk.insert(*key);
            }
        }
        world
    }

    /// Leading blocks of a prompt that an engine has or is about to have.
    pub(super) fn in_place(&self, engine: usize, keys: &[ShortKey]) -> usize {
        let engine = &self.engines[engine];
        keys.iter()
            .take_while(|key| {
                engine.cache.stamps.contains_key(key) || engine.pending.contains_key(key)
            })
            .count()
    }

    /// Store that holds the longest prefix, and its length.
    pub(super) fn stored(&self, keys: &[ShortKey]) -> (usize, usize) {
        let lengths = self.stores.iter().enumerate().map(|(at, store)| {
            let held = keys.iter().take_while(|key| store.holds(key));
            (at, held.count())
        });
        lengths.max_by_key(|(_, length)| *length).unwrap_or((0, 0))
    }

    /// Accepts a request and returns the time at which its blocks have arrived.
    pub(super) fn accept(&mut self, id: usize, route: Route, now: f64) -> f64 {
        let request = &self.trace.requests[id];
        let prompt = &request.keys[..request.prompt_blocks];
        let in_place = self.in_place(route.engine, prompt);
        let mut ready = now;
        let mut reused = in_place;
        if let Some(import) = route.import {
            let store = &self.stores[import.store];
            let end = import.end_block.min(prompt.len());
            let wanted = prompt.get(in_place..end).unwrap_or_default();
            let held = wanted.iter().take_while(|key| store.holds(key)).count();
            if held > 0 {
                reused += held;
                ready = self.import(import.store, &wanted[..held], import.start_s.max(now));
            }
        }
        let engine = &mut self.engines[route.engine];
        for key in &prompt[..in_place] {
            ready = ready.max(engine.pending.get(key).copied().unwrap_or(0.0));
            if engine.cache.stamps.contains_key(key) {
                engine.cache.touch(*key);
            }
        }
        for key in &prompt[in_place..] {
            engine.pending.insert(*key, ready);
        }
        self.served[id] = Served {
            engine: route.engine,
            low_priority: route.low_priority,
            prefill_tokens: request.prompt_tokens - reused as u64 * BLOCK_TOKENS,
            imported_blocks: reused - in_place,
            in_place_blocks: in_place,
            ttft_s: f64::INFINITY,
        };
        ready
    }

    fn import(&mut self, store: usize, keys: &[ShortKey], start: f64) -> f64 {
        let store = &mut self.stores[store];
        let from_disk = keys
            .iter()
            .filter(|key| !store.memory.stamps.contains_key(key))
            .count();
        let mut disk_done = 0.0;
        if from_disk > 0 {
            let bytes = from_disk as u64 * BLOCK_BYTES;
            store.disk_free_s = start.max(store.disk_free_s) + bytes as f64 / DISK_BYTES_PER_S;
            disk_done = store.disk_free_s + LINK_LATENCY_S;
        }
        let bytes = keys.len() as u64 * BLOCK_BYTES;
        let end = store.link.transfer(start, bytes).max(disk_done);
        for key in keys {
            if store.memory.stamps.contains_key(key) {
                store.memory.touch(*key);
            }
            let other = self.in_transfer.insert(*key, end);
            self.duplicate_imports += u64::from(other.is_some_and(|until| until > start));
        }
        end
    }

    /// A request is ready for its engine. Returns the end of the next chunk if one starts now.
    pub(super) fn ready(&mut self, id: usize, now: f64) -> Option<f64> {
        let engine = &mut self.engines[self.served[id].engine];
        if engine.running >= DECODE_SLOTS {
            engine.waiting.push_back(id);
            return None;
        }
        self.start(id, now)
    }

    fn start(&mut self, id: usize, now: f64) -> Option<f64> {
        let served = &self.served[id];
        let engine = &mut self.engines[served.engine];
        engine.running += 1;
        let class = usize::from(served.low_priority);
        engine.prefill[class].push_back((id, served.prefill_tokens));
        if engine.chunk.is_some() {
            return None;
        }
        engine.next_chunk(now)
    }

    /// A chunk ended. Returns the request whose prefill is done with the end of its answer, and the
    /// end of the next chunk.
    pub(super) fn chunk_ended(
        &mut self,
        engine: usize,
        now: f64,
    ) -> (Option<(usize, f64)>, Option<f64>) {
        let engine = &mut self.engines[engine];
        let done = engine.end_chunk();
        let next = engine.next_chunk(now);
        let done = done.map(|id| {
            let request = &self.trace.requests[id];
            let token_s = DECODE_MS_PER_TOKEN / 1e3;
            let first = now + token_s;
            self.served[id].ttft_s = first - request.at_s;
            let rest = request.output_tokens.saturating_sub(1);
            (id, first + rest as f64 * token_s)
        });
        (done, next)
    }

    /// Puts the blocks of a request whose prefill is done into the cache of its engine.
    pub(super) fn prefilled(&mut self, id: usize) {
        let request = &self.trace.requests[id];
        self.cache(id, 0..request.prompt_blocks);
    }

    fn cache(&mut self, id: usize, range: std::ops::Range<usize>) {
        let request = &self.trace.requests[id];
        let at = self.served[id].engine;
        for key in &request.keys[range] {
            let engine = &mut self.engines[at];
            engine.pending.remove(key);
            if engine.cache.touch(*key) {
                self.publish_engine(at, *key, BlockChange::Stored);
            }
        }
        while let Some(evicted) = self.engines[at].cache.evict_above(ENGINE_CACHE_BLOCKS) {
            self.publish_engine(at, evicted, BlockChange::Removed);
        }
    }

    /// A request ended. Returns the end of the next chunk if a waiting request starts one now.
    pub(super) fn ended(&mut self, id: usize, now: f64) -> Option<f64> {
        let request = &self.trace.requests[id];
        self.cache(id, request.prompt_blocks..request.keys.len());
        let engine = &mut self.engines[self.served[id].engine];
        engine.running -= 1;
        engine.completed += 1;
        let next = engine.waiting.pop_front()?;
        self.start(next, now)
    }

    /// Writes a block to a store.
    pub(super) fn export(&mut self, store: usize, tier: Tier, key: ShortKey, now: f64) {
        if self.stores[store].holds(&key) {
            return;
        }
        let target = &mut self.stores[store];
        target.link.transfer(now, BLOCK_BYTES);
        match tier {
            Tier::Disk => {
                target.disk.insert(key);
                self.publish_store(store, Tier::Disk, key, BlockChange::Stored);
            }
            Tier::Memory => {
                target.memory.touch(key);
                self.publish_store(store, Tier::Memory, key, BlockChange::Stored);
                let spilled = self.stores[store].memory.evict_above(STORE_MEMORY_BLOCKS);
                if let Some(spilled) = spilled {
                    self.stores[store].disk.insert(spilled);
                    self.publish_store(store, Tier::Disk, spilled, BlockChange::Stored);
                    self.publish_store(store, Tier::Memory, spilled, BlockChange::Removed);
                }
            }
        }
    }

    /// Makes a block the next one that an engine evicts.
    pub(super) fn demote(&mut self, engine: usize, key: ShortKey) {
        self.engines[engine].cache.demote(key);
    }

    /// Load report of an engine.
    pub(super) fn report(&self, engine: usize, now: f64) -> LoadReport {
        let engine = &self.engines[engine];
        let waiting_tokens: u64 = engine
            .waiting
            .iter()
            .map(|id| self.served[*id].prefill_tokens)
            .sum();
        let queued = engine.prefill.iter().flatten().map(|(_, tokens)| tokens);
        LoadReport {
            started_ms: 1,
            measured_at: Duration::from_secs_f64(now),
            queued_prefill_tokens: queued.sum::<u64>() + waiting_tokens,
            running: engine.running,
            waiting: engine.waiting.len() as u32,
            // Counted from a long time ago: the engines are warm.
            completed: 1_000_000 + engine.completed,
            overloads: 0,
            cached_blocks: 1 + engine.cache.stamps.len() as u64,
        }
    }

    fn publish_engine(&mut self, at: usize, key: ShortKey, change: BlockChange) {
        let engine = &mut self.engines[at];
        let event = event(engine.sequence, key, change);
        engine.sequence += 1;
        self.events
            .push((Location::Server(ServerId(at as u32)), event));
    }

    fn publish_store(&mut self, at: usize, tier: Tier, key: ShortKey, change: BlockChange) {
        let store = &mut self.stores[at];
        let sequence = match tier {
            Tier::Memory => &mut store.memory_sequence,
            Tier::Disk => &mut store.disk_sequence,
        };
        let event = event(*sequence, key, change);
        *sequence += 1;
        self.events
            .push((Location::Store(StoreId(at as u16), tier), event));
    }
}

impl Engine {
    fn next_chunk(&mut self, now: f64) -> Option<f64> {
        let class = self.prefill.iter().position(|queue| !queue.is_empty())?;
        let tokens = self.prefill[class].front()?.1.min(CHUNK_TOKENS);
        self.chunk = Some((class, tokens));
        Some(now + tokens as f64 / PREFILL_TOKENS_PER_S)
    }

    /// Returns the request whose prefill is done.
    fn end_chunk(&mut self) -> Option<usize> {
        let (class, tokens) = self.chunk.take()?;
        let first = self.prefill[class].front_mut()?;
        first.1 -= tokens;
        if first.1 > 0 {
            return None;
        }
        self.prefill[class].pop_front().map(|(id, _)| id)
    }
}

impl Store {
    /// Whether the store holds a block.
    pub(super) fn holds(&self, key: &ShortKey) -> bool {
        self.memory.stamps.contains_key(key) || self.disk.contains(key)
    }

    /// Blocks on disk.
    pub(super) fn disk_blocks(&self) -> impl Iterator<Item = ShortKey> + '_ {
        self.disk.iter().copied()
    }

    /// The link of the store.
    pub(super) fn link(&self) -> &Link {
        &self.link
    }
}

fn event(sequence: u64, key: ShortKey, change: BlockChange) -> CacheEvent {
    CacheEvent {
        started_ms: 1,
        sequence,
        key,
        generation: Generation(0),
        change,
    }
}

/// Tokens of a request that were reused.
pub(super) fn reused_tokens(request: &TraceRequest, served: &Served) -> u64 {
    request.prompt_tokens - served.prefill_tokens
}
