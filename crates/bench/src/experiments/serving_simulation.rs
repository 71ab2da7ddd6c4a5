//! Queueing simulation of engines, block stores and links in virtual time.
//!
//! An engine prefills one chunk at a time and decodes up to [`DECODE_SLOTS`] requests concurrently.
//! Prefills of normal priority precede those of low priority, and prefills of the same priority run
//! in the order in which their imports finish. A store has a memory and a disk tier behind one
//! link, which carries transfers first in, first out.

use super::workload::{BLOCK_TOKENS, Trace, TraceRequest};
use anvilgw_core::{ServerId, StoreId};
use anvilgw_router::{BlockChange, CacheEvent, Generation, LoadReport, Location, ShortKey, Tier};
use indexmap::IndexSet;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// Engines in the simulated fleet.
pub(super) const ENGINES: usize = 18;
pub(super) const STORES: usize = 2;
pub(super) const PREFILL_TOKENS_PER_S: f64 = 40_000.0;
pub(super) const DECODE_MS_PER_TOKEN: f64 = 27.0;
/// Requests that an engine decodes concurrently. 8 requests/s of 270 tokens each use 80% of them.
pub(super) const DECODE_SLOTS: u32 = 72;
pub(super) const KV_BYTES_PER_TOKEN: u64 = 16_000;
pub(super) const LINK_BYTES_PER_S: f64 = 40e9;
/// Share of a link's bandwidth that the link budget allows.
pub(super) const LINK_BUDGET_SHARE: f64 = 0.8;
pub(super) const DISK_BYTES_PER_S: f64 = 25e9;
pub(super) const LINK_LATENCY_S: f64 = 0.001;
/// Tokens that an engine prefills before it chooses the next request by priority.
const CHUNK_TOKENS: u64 = 2_000;
/// Capacity of an engine's prefix cache in blocks: 256 GB of its 8 accelerators, which a few
/// minutes of load fill.
const ENGINE_CACHE_BLOCKS: usize = 4_000;
const STORE_MEMORY_BLOCKS: usize = 20_000;
/// Size of one KV block in bytes.
pub(super) const BLOCK_BYTES: u64 = BLOCK_TOKENS * KV_BYTES_PER_TOKEN;

/// Block keys ordered by their last use.
#[derive(Clone, Debug, Default)]
struct Lru {
    stamps: HashMap<ShortKey, i64>,
    order: BTreeMap<i64, ShortKey>,
    last_stamp: i64,
}

impl Lru {
    /// Marks a block as the most recently used. Returns whether the block is new.
    fn touch(&mut self, key: ShortKey) -> bool {
        self.last_stamp += 1;
        let known = self.stamps.insert(key, self.last_stamp);
        if let Some(stamp) = known {
            self.order.remove(&stamp);
        }
        self.order.insert(self.last_stamp, key);
        known.is_none()
    }

    /// Moves a block to the least recently used end, so that it is evicted next.
    fn demote(&mut self, key: ShortKey) {
        let lowest = self.order.keys().next().copied().unwrap_or(0) - 1;
        if let Some(stamp) = self.stamps.get_mut(&key) {
            self.order.remove(stamp);
            *stamp = lowest;
            self.order.insert(lowest, key);
        }
    }

    /// Removes the least recently used block if there are more than `capacity`.
    fn evict_above(&mut self, capacity: usize) -> Option<ShortKey> {
        if self.stamps.len() <= capacity {
            return None;
        }
        let (_, key) = self.order.pop_first()?;
        self.stamps.remove(&key);
        Some(key)
    }
}

/// A simulated engine with its prefix cache and its queues.
#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    cache: Lru,
    /// Blocks that are being imported or computed, with the time at which the imports of their
    /// request finish.
    pending_blocks: HashMap<ShortKey, f64>,
    waiting: VecDeque<usize>,
    running: u32,
    /// Requests to prefill with their remaining tokens: normal priority first, then low priority.
    prefill_queues: [VecDeque<(usize, u64)>; 2],
    /// The chunk in progress: index of its prefill queue, and tokens.
    current_chunk: Option<(usize, u64)>,
    completed: u64,
    sequence: u64,
}

/// A simulated block store with its link.
#[derive(Clone, Debug, Default)]
pub(super) struct Store {
    memory: Lru,
    disk: IndexSet<ShortKey>,
    memory_sequence: u64,
    disk_sequence: u64,
    link: Link,
    disk_free_at_s: f64,
}

/// A link that carries transfers first in, first out.
#[derive(Clone, Debug, Default)]
pub(super) struct Link {
    free_at_s: f64,
    /// Bytes of the transfers that started in each second of virtual time.
    pub(super) bytes_per_second: Vec<u64>,
}

impl Link {
    /// Queues a transfer and returns the time in seconds at which it ends.
    fn transfer(&mut self, earliest_s: f64, bytes: u64) -> f64 {
        let start = earliest_s.max(self.free_at_s);
        self.free_at_s = start + bytes as f64 / LINK_BYTES_PER_S;
        let second = start as usize;
        if self.bytes_per_second.len() <= second {
            self.bytes_per_second.resize(second + 1, 0);
        }
        self.bytes_per_second[second] += bytes;
        self.free_at_s + LINK_LATENCY_S
    }
}

/// A strategy's routing decision for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Route {
    pub(super) engine: usize,
    /// Whether the prefill waits for prefills of normal priority after each chunk.
    pub(super) low_priority: bool,
    /// Blocks to import before the prefill, if any.
    pub(super) import: Option<ImportPlan>,
}

/// An import of the prompt blocks that the engine lacks, up to `end_block`, from one store.
#[derive(Clone, Copy, Debug)]
pub(super) struct ImportPlan {
    pub(super) store: usize,
    pub(super) end_block: usize,
    pub(super) start_s: f64,
}

/// How a request was served.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServedRequest {
    pub(super) engine: usize,
    low_priority: bool,
    pub(super) prefill_tokens: u64,
    pub(super) imported_blocks: usize,
    pub(super) in_place_blocks: usize,
    pub(super) ttft_s: f64,
}

/// A cache event with the server or store that published it.
pub(super) type LocatedEvent = (Location, CacheEvent);

/// Simulated engines and stores that serve a trace.
pub(super) struct ServingSimulation<'a> {
    pub(super) trace: &'a Trace,
    pub(super) engines: Vec<Engine>,
    pub(super) stores: Vec<Store>,
    pub(super) served_requests: Vec<ServedRequest>,
    /// Cache events that have not been published yet.
    pub(super) events: Vec<LocatedEvent>,
    /// Block imports that started while another import of the same block was in progress.
    pub(super) duplicate_imports: u64,
    in_transfer: HashMap<ShortKey, f64>,
}

impl<'a> ServingSimulation<'a> {
    /// Creates idle engines and stores. If `with_stores` is set, the blocks that the trace retains
    /// from earlier are spread over the disks of the stores.
    pub(super) fn new(trace: &'a Trace, with_stores: bool) -> Self {
        let mut simulation = Self {
            trace,
            engines: vec![Engine::default(); ENGINES],
            stores: vec![Store::default(); STORES],
            served_requests: vec![ServedRequest::default(); trace.requests.len()],
            events: Vec::new(),
            duplicate_imports: 0,
            in_transfer: HashMap::new(),
        };
        for (at, keys) in trace.retained.iter().enumerate().filter(|_| with_stores) {
            for key in keys {
                simulation.stores[at % STORES].disk.insert(*key);
            }
        }
        simulation
    }

    /// Counts the leading blocks of a prompt that an engine has cached or is importing or
    /// computing.
    pub(super) fn count_in_place_blocks(&self, engine: usize, keys: &[ShortKey]) -> usize {
        let engine = &self.engines[engine];
        keys.iter()
            .take_while(|key| {
                engine.cache.stamps.contains_key(key) || engine.pending_blocks.contains_key(key)
            })
            .count()
    }

    /// Returns the store that holds the longest prefix, and the length of this prefix in blocks.
    pub(super) fn longest_stored_prefix(&self, keys: &[ShortKey]) -> (usize, usize) {
        let lengths = self.stores.iter().enumerate().map(|(at, store)| {
            let held = keys.iter().take_while(|key| store.holds(key));
            (at, held.count())
        });
        lengths.max_by_key(|(_, length)| *length).unwrap_or((0, 0))
    }

    /// Accepts a request at an engine, starts its import, and returns the time at which all its
    /// reused blocks are available.
    pub(super) fn accept_request(&mut self, id: usize, route: Route, now: f64) -> f64 {
        let request = &self.trace.requests[id];
        let prompt = &request.keys[..request.prompt_blocks];
        let in_place = self.count_in_place_blocks(route.engine, prompt);
        let mut ready = now;
        let mut reused = in_place;
        if let Some(import) = route.import {
            let store = &self.stores[import.store];
            let end = import.end_block.min(prompt.len());
            let wanted = prompt.get(in_place..end).unwrap_or_default();
            let held = wanted.iter().take_while(|key| store.holds(key)).count();
            if held > 0 {
                reused += held;
                ready = self.import_blocks(import.store, &wanted[..held], import.start_s.max(now));
            }
        }
        let engine = &mut self.engines[route.engine];
        for key in &prompt[..in_place] {
            ready = ready.max(engine.pending_blocks.get(key).copied().unwrap_or(0.0));
            if engine.cache.stamps.contains_key(key) {
                engine.cache.touch(*key);
            }
        }
        for key in &prompt[in_place..] {
            engine.pending_blocks.insert(*key, ready);
        }
        self.served_requests[id] = ServedRequest {
            engine: route.engine,
            low_priority: route.low_priority,
            prefill_tokens: request.prompt_tokens - reused as u64 * BLOCK_TOKENS,
            imported_blocks: reused - in_place,
            in_place_blocks: in_place,
            ttft_s: f64::INFINITY,
        };
        ready
    }

    fn import_blocks(&mut self, store: usize, keys: &[ShortKey], start: f64) -> f64 {
        let store = &mut self.stores[store];
        let from_disk = keys
            .iter()
            .filter(|key| !store.memory.stamps.contains_key(key))
            .count();
        let mut disk_done = 0.0;
        if from_disk > 0 {
            let bytes = from_disk as u64 * BLOCK_BYTES;
            store.disk_free_at_s =
                start.max(store.disk_free_at_s) + bytes as f64 / DISK_BYTES_PER_S;
            disk_done = store.disk_free_at_s + LINK_LATENCY_S;
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

    /// Queues a request whose reused blocks are available. Returns the end of the next chunk if one
    /// starts now.
    pub(super) fn on_request_ready(&mut self, id: usize, now: f64) -> Option<f64> {
        let engine = &mut self.engines[self.served_requests[id].engine];
        if engine.running >= DECODE_SLOTS {
            engine.waiting.push_back(id);
            return None;
        }
        self.start_request(id, now)
    }

    fn start_request(&mut self, id: usize, now: f64) -> Option<f64> {
        let served = &self.served_requests[id];
        let engine = &mut self.engines[served.engine];
        engine.running += 1;
        let class = usize::from(served.low_priority);
        engine.prefill_queues[class].push_back((id, served.prefill_tokens));
        if engine.current_chunk.is_some() {
            return None;
        }
        engine.next_chunk(now)
    }

    /// Ends the current chunk of an engine. Returns the request whose prefill is complete, together
    /// with the time at which its decoding ends, and the end of the next chunk.
    pub(super) fn on_chunk_ended(
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
            self.served_requests[id].ttft_s = first - request.at_s;
            let rest = request.output_tokens.saturating_sub(1);
            (id, first + rest as f64 * token_s)
        });
        (done, next)
    }

    /// Adds the prompt blocks of a request to the prefix cache of its engine.
    pub(super) fn on_prefill_completed(&mut self, id: usize) {
        let request = &self.trace.requests[id];
        self.cache_blocks(id, 0..request.prompt_blocks);
    }

    fn cache_blocks(&mut self, id: usize, range: std::ops::Range<usize>) {
        let request = &self.trace.requests[id];
        let at = self.served_requests[id].engine;
        for key in &request.keys[range] {
            let engine = &mut self.engines[at];
            engine.pending_blocks.remove(key);
            if engine.cache.touch(*key) {
                self.publish_engine(at, *key, BlockChange::Stored);
            }
        }
        while let Some(evicted) = self.engines[at].cache.evict_above(ENGINE_CACHE_BLOCKS) {
            self.publish_engine(at, evicted, BlockChange::Removed);
        }
    }

    /// Caches the output blocks of a request and frees its decode slot. Returns the end of the next
    /// chunk if a waiting request starts one now.
    pub(super) fn on_request_ended(&mut self, id: usize, now: f64) -> Option<f64> {
        let request = &self.trace.requests[id];
        self.cache_blocks(id, request.prompt_blocks..request.keys.len());
        let engine = &mut self.engines[self.served_requests[id].engine];
        engine.running -= 1;
        engine.completed += 1;
        let next = engine.waiting.pop_front()?;
        self.start_request(next, now)
    }

    /// Writes a block to a tier of a store over its link, unless the store already holds the block.
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

    /// Marks a block as the next one that an engine evicts.
    pub(super) fn demote(&mut self, engine: usize, key: ShortKey) {
        self.engines[engine].cache.demote(key);
    }

    /// Returns the load report of an engine.
    pub(super) fn load_report(&self, engine: usize, now: f64) -> LoadReport {
        let engine = &self.engines[engine];
        let waiting_tokens: u64 = engine
            .waiting
            .iter()
            .map(|id| self.served_requests[*id].prefill_tokens)
            .sum();
        let queued = engine
            .prefill_queues
            .iter()
            .flatten()
            .map(|(_, tokens)| tokens);
        LoadReport {
            started_ms: 1,
            measured_at: Duration::from_secs_f64(now),
            queued_prefill_tokens: queued.sum::<u64>() + waiting_tokens,
            running: engine.running,
            waiting: engine.waiting.len() as u32,
            // The high count makes the routers treat the engines as warm.
            completed: 1_000_000 + engine.completed,
            overloads: 0,
            cached_blocks: 1 + engine.cache.stamps.len() as u64,
            reported_warm: None,
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
        let class = self
            .prefill_queues
            .iter()
            .position(|queue| !queue.is_empty())?;
        let tokens = self.prefill_queues[class].front()?.1.min(CHUNK_TOKENS);
        self.current_chunk = Some((class, tokens));
        Some(now + tokens as f64 / PREFILL_TOKENS_PER_S)
    }

    /// Ends the current chunk. Returns the request whose prefill is complete, if any.
    fn end_chunk(&mut self) -> Option<usize> {
        let (class, tokens) = self.current_chunk.take()?;
        let first = self.prefill_queues[class].front_mut()?;
        first.1 -= tokens;
        if first.1 > 0 {
            return None;
        }
        self.prefill_queues[class].pop_front().map(|(id, _)| id)
    }
}

impl Store {
    /// Returns whether the store holds a block in either tier.
    pub(super) fn holds(&self, key: &ShortKey) -> bool {
        self.memory.stamps.contains_key(key) || self.disk.contains(key)
    }

    /// Returns the keys of the blocks on disk.
    pub(super) fn disk_blocks(&self) -> impl Iterator<Item = ShortKey> + '_ {
        self.disk.iter().copied()
    }

    /// Returns the link, whose traffic the experiments measure.
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

/// Returns the number of prompt tokens that were not prefilled, since their blocks were reused.
pub(super) fn reused_tokens(request: &TraceRequest, served: &ServedRequest) -> u64 {
    request.prompt_tokens - served.prefill_tokens
}
