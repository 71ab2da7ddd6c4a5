//! Stand-in of a store instance, which holds KV blocks in a memory tier and a disk tier behind
//! links of limited bandwidth.

use crate::engine::KvBlock;
use crate::link::Link;
use crate::pause::pause_until;
use crate::server::{Reply, RunningStandin, Server, Standin, StandinRequest};
use anvilgw_core::{Clock, SystemClock};
use http::{Method, StatusCode};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::time::sleep;

/// Largest number of blocks in one listing if the caller sets no maximum.
const DEFAULT_MAX_BLOCKS: u64 = 1_000;
/// Generations reserved for each millisecond of the start time, so that a store that starts later
/// begins above all generations of this one unless it assigns more than this per millisecond.
const GENERATIONS_PER_MS: u64 = 1_000;

/// Settings of a store stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreConfig {
    /// Capacity of the memory tier in bytes.
    pub memory_bytes: u64,
    /// Capacity of the disk tier in bytes.
    pub disk_bytes: u64,
    /// Bandwidth of the link to the memory tier; 0 for no limit.
    pub memory_link_bytes_per_s: u64,
    /// Bandwidth of the link to the disk tier; 0 for no limit.
    pub disk_link_bytes_per_s: u64,
    /// Seed of the random generator that draws the faults with a probability.
    pub seed: u64,
    /// Faults in effect from the start.
    pub faults: StoreFaults,
}

impl Default for StoreConfig {
    fn default() -> Self {
        Self {
            memory_bytes: 1 << 30,
            disk_bytes: 8 << 30,
            memory_link_bytes_per_s: 0,
            disk_link_bytes_per_s: 0,
            seed: 1,
            faults: StoreFaults::default(),
        }
    }
}

/// Faults of a store stand-in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// No block is accepted, as if both tiers were full.
    pub full: bool,
    /// Factor by which the links are slower; 0 and 1 stand for normal speed.
    pub link_slowdown: f64,
    /// Reads return the block that is stored under the key even if it is not sealed or has another
    /// generation.
    pub ignores_generation: bool,
    /// The instance dies now: it closes and refuses connections and loses all blocks.
    pub die: bool,
    /// Time after which an instance that dies listens again; 0 for never.
    pub revive_after_ms: u64,
}

/// Storage tier of a store instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Tier {
    /// Memory tier.
    #[default]
    Memory,
    /// Disk tier.
    Disk,
}

/// A sealed block in the listing of a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredBlock {
    /// Key of the block.
    pub key: String,
    /// Generation, assigned when the block was prepared.
    pub generation: u64,
    /// Tier that holds the block.
    pub tier: Tier,
    /// Number of tokens that the block covers.
    pub tokens: u64,
    /// Size that counts towards the tier's capacity.
    pub bytes: u64,
}

/// Counters of a store instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounters {
    /// Blocks sealed.
    pub sealed: u64,
    /// Blocks read.
    pub reads: u64,
    /// Reads refused because no sealed block has the key and generation.
    pub reads_refused: u64,
    /// Blocks refused because the tier was full or the fault `full` was set.
    pub full: u64,
    /// Bytes transferred over the link of the memory tier.
    pub memory_link_bytes: u64,
    /// Bytes transferred over the link of the disk tier.
    pub disk_link_bytes: u64,
}

#[derive(Debug)]
struct StoreEntry {
    block: KvBlock,
    tier: Tier,
    is_written: bool,
    is_sealed: bool,
}

#[derive(Debug, Default)]
struct State {
    blocks: IndexMap<String, StoreEntry>,
    next_generation: u64,
    faults: StoreFaults,
    counters: StoreCounters,
    memory_link: Link,
    disk_link: Link,
}

impl State {
    fn used_bytes(&self, tier: Tier) -> u64 {
        let in_tier = self.blocks.values().filter(|entry| entry.tier == tier);
        in_tier.map(|entry| entry.block.bytes).sum()
    }

    /// Returns the entry with the given key and generation.
    fn entry_mut(&mut self, key: &str, generation: u64) -> Option<&mut StoreEntry> {
        let entry = self.blocks.get_mut(key)?;
        (entry.block.generation == generation).then_some(entry)
    }
}

#[derive(Deserialize)]
struct PrepareBody {
    #[serde(default)]
    tier: Tier,
    bytes: u64,
    #[serde(default)]
    tokens: u64,
}

#[derive(Deserialize)]
struct WriteBody {
    generation: u64,
    content: String,
}

#[derive(Deserialize)]
struct GenerationBody {
    generation: u64,
}

/// Stand-in of a store instance. Blocks are prepared, written, sealed, read and freed.
#[derive(Debug)]
pub struct StoreStandin {
    config: StoreConfig,
    server: Arc<Server>,
    state: Mutex<State>,
    runtime: Handle,
}

impl StoreStandin {
    /// Starts the stand-in at `addr`; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding `addr`, for instance if the address is in use.
    pub async fn start(config: StoreConfig, addr: SocketAddr) -> io::Result<RunningStandin<Self>> {
        let seed = config.seed;
        let state = State {
            faults: config.faults.clone(),
            // A generation must not be reused, not even after a restart of the store.
            next_generation: SystemClock.wall_ms() * GENERATIONS_PER_MS,
            ..State::default()
        };
        let running = Server::start(addr, seed, |server| {
            Arc::new(Self {
                config,
                server: Arc::clone(server),
                state: Mutex::new(state),
                runtime: Handle::current(),
            })
        });
        running.await
    }

    /// Replaces all faults with `faults`, effective at once.
    pub fn set_faults(&self, faults: StoreFaults) {
        if faults.die {
            self.die();
            self.revive_after(Duration::from_millis(faults.revive_after_ms));
        }
        self.state().faults = faults;
    }

    /// Simulates the death of the instance: closes and refuses connections and drops all blocks.
    pub fn die(&self) {
        self.state().blocks.clear();
        self.server.take_down();
    }

    /// Listens again after [`StoreStandin::die`], with no blocks.
    pub fn revive(&self) {
        self.server.bring_up();
    }

    fn revive_after(&self, pause: Duration) {
        if pause.is_zero() {
            return;
        }
        let server = Arc::clone(&self.server);
        self.runtime.spawn(async move {
            sleep(pause).await;
            server.bring_up();
        });
    }

    /// Returns the counters since the start, including times before [`StoreStandin::die`].
    #[must_use]
    pub fn counters(&self) -> StoreCounters {
        self.state().counters
    }

    /// Returns the sealed blocks in the order in which their keys were first prepared.
    #[must_use]
    pub fn blocks(&self) -> Vec<StoredBlock> {
        let state = self.state();
        let sealed = state.blocks.values().filter(|entry| entry.is_sealed);
        sealed
            .map(|StoreEntry { block, tier, .. }| StoredBlock {
                key: block.key.clone(),
                generation: block.generation,
                tier: *tier,
                tokens: block.tokens,
                bytes: block.bytes,
            })
            .collect()
    }

    fn capacity(&self, tier: Tier) -> u64 {
        match tier {
            Tier::Memory => self.config.memory_bytes,
            Tier::Disk => self.config.disk_bytes,
        }
    }

    /// Waits as long as the transfer of the bytes over the link of the tier takes.
    async fn transmit(&self, tier: Tier, bytes: u64) {
        let end = {
            let mut state = self.state();
            let slowdown = state.faults.link_slowdown.max(1.0);
            let state = &mut *state;
            let (link, rate, moved_bytes) = match tier {
                Tier::Memory => (
                    &mut state.memory_link,
                    self.config.memory_link_bytes_per_s,
                    &mut state.counters.memory_link_bytes,
                ),
                Tier::Disk => (
                    &mut state.disk_link,
                    self.config.disk_link_bytes_per_s,
                    &mut state.counters.disk_link_bytes,
                ),
            };
            *moved_bytes += bytes;
            link.reserve(bytes, (rate as f64 / slowdown) as u64)
        };
        pause_until(end).await;
    }

    /// Handles `POST /blocks/{key}/prepare`. Replaces a block with the same key.
    fn prepare(&self, key: &str, request: &StandinRequest) -> Reply {
        let Ok(body) = serde_json::from_slice::<PrepareBody>(&request.body) else {
            return Reply::error(
                StatusCode::BAD_REQUEST,
                "the body is not a JSON object with a tier and a size",
            );
        };
        let mut state = self.state();
        let replaced = state
            .blocks
            .get(key)
            .filter(|entry| entry.tier == body.tier);
        let freed = replaced.map_or(0, |entry| entry.block.bytes);
        let used = state.used_bytes(body.tier) - freed;
        if state.faults.full || used + body.bytes > self.capacity(body.tier) {
            state.counters.full += 1;
            return Reply::error(StatusCode::INSUFFICIENT_STORAGE, "the tier is full");
        }
        let generation = state.next_generation;
        state.next_generation += 1;
        let block = KvBlock {
            key: key.to_owned(),
            generation,
            tokens: body.tokens,
            bytes: body.bytes,
            ..KvBlock::default()
        };
        let entry = StoreEntry {
            block,
            tier: body.tier,
            is_written: false,
            is_sealed: false,
        };
        state.blocks.insert(key.to_owned(), entry);
        Reply::ok(&json!({"generation": generation}))
    }

    /// Handles `POST /blocks/{key}/write`.
    async fn write(&self, key: &str, request: &StandinRequest) -> Reply {
        let Ok(body) = serde_json::from_slice::<WriteBody>(&request.body) else {
            return Reply::error(
                StatusCode::BAD_REQUEST,
                "the body is not a JSON object with a generation and content",
            );
        };
        let location = self
            .state()
            .entry_mut(key, body.generation)
            .filter(|entry| !entry.is_sealed)
            .map(|entry| (entry.tier, entry.block.bytes));
        let Some((tier, bytes)) = location else {
            return not_prepared();
        };
        self.transmit(tier, bytes).await;
        // The block may have been freed or replaced while its bytes were in transit.
        match self.state().entry_mut(key, body.generation) {
            Some(entry) if !entry.is_sealed => {
                entry.block.content = body.content;
                entry.is_written = true;
                Reply::ok(&json!({}))
            }
            _ => not_prepared(),
        }
    }

    /// Handles `POST /blocks/{key}/seal`.
    fn seal(&self, key: &str, request: &StandinRequest) -> Reply {
        let mut state = self.state();
        let entry = generation_of(request).and_then(|number| state.entry_mut(key, number));
        let Some(entry) = entry.filter(|entry| entry.is_written) else {
            return not_prepared();
        };
        let digest = blake3::hash(entry.block.content.as_bytes());
        entry.block.digest = digest.to_hex().to_string();
        entry.is_sealed = true;
        state.counters.sealed += 1;
        Reply::ok(&json!({"digest": digest.to_hex().as_str()}))
    }

    /// Handles `POST /blocks/{key}/free`.
    fn free(&self, key: &str, request: &StandinRequest) -> Reply {
        let mut state = self.state();
        let exists =
            generation_of(request).is_some_and(|number| state.entry_mut(key, number).is_some());
        if !exists {
            return Reply::error(StatusCode::NOT_FOUND, "no such block");
        }
        state.blocks.shift_remove(key);
        Reply::ok(&json!({}))
    }

    /// Handles `GET /blocks/{key}?generation=N`.
    async fn read(&self, key: &str, request: &StandinRequest) -> Reply {
        let generation = request.number("generation").unwrap_or(0);
        let found = {
            let mut state = self.state();
            let ignores_generation = state.faults.ignores_generation;
            let entry = state.blocks.get(key);
            let found = entry
                .filter(|entry| {
                    ignores_generation || entry.is_sealed && entry.block.generation == generation
                })
                .map(|entry| (entry.tier, entry.block.clone()));
            match found {
                Some(_) => state.counters.reads += 1,
                None => state.counters.reads_refused += 1,
            }
            found
        };
        let Some((tier, block)) = found else {
            return Reply::error(StatusCode::NOT_FOUND, "no such sealed block");
        };
        self.transmit(tier, block.bytes).await;
        Reply::ok(&block)
    }

    /// Handles `GET /blocks?from=INDEX&max=M`.
    fn list(&self, request: &StandinRequest) -> Reply {
        let from = request.number("from").unwrap_or(0) as usize;
        let max = request.number("max").unwrap_or(DEFAULT_MAX_BLOCKS) as usize;
        let blocks = self.blocks();
        let page: Vec<_> = blocks.iter().skip(from).take(max).collect();
        let state = self.state();
        Reply::ok(&json!({
            "total": blocks.len(),
            "blocks": page,
            "memory_bytes": self.config.memory_bytes,
            "memory_used_bytes": state.used_bytes(Tier::Memory),
            "disk_bytes": self.config.disk_bytes,
            "disk_used_bytes": state.used_bytes(Tier::Disk),
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("store lock")
    }
}

fn generation_of(request: &StandinRequest) -> Option<u64> {
    let body: GenerationBody = serde_json::from_slice(&request.body).ok()?;
    Some(body.generation)
}

fn not_prepared() -> Reply {
    Reply::error(StatusCode::CONFLICT, "no such prepared block")
}

impl Standin for StoreStandin {
    async fn handle(self: Arc<Self>, request: StandinRequest) -> Reply {
        match (&request.method, request.segments().as_slice()) {
            (&Method::GET, ["blocks"]) => self.list(&request),
            (&Method::GET, ["blocks", key]) => self.read(key, &request).await,
            (&Method::POST, ["blocks", key, "prepare"]) => self.prepare(key, &request),
            (&Method::POST, ["blocks", key, "write"]) => self.write(key, &request).await,
            (&Method::POST, ["blocks", key, "seal"]) => self.seal(key, &request),
            (&Method::POST, ["blocks", key, "free"]) => self.free(key, &request),
            (&Method::GET, ["control", "counters"]) => Reply::ok(&self.counters()),
            _ => Reply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn replace_faults(&self, faults: serde_json::Value) -> Result<(), serde_json::Error> {
        self.set_faults(serde_json::from_value(faults)?);
        Ok(())
    }
}
