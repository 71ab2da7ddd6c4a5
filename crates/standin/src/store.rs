//! A store instance: a memory and a disk tier of KV blocks behind links of limited bandwidth.

use crate::engine::KvBlock;
use crate::link::Link;
use crate::pause::pause_until;
use crate::server::{Call, Reply, RunningStandin, Server, Standin};
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

/// Blocks of one listing if the caller sets no maximum.
const DEFAULT_MAX_BLOCKS: u64 = 1_000;
/// Generations that one start may use up before they reach those of a start one millisecond later.
const GENERATIONS_PER_MS: u64 = 1_000;

/// Settings of a store instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreConfig {
    /// Capacity of the memory tier.
    pub memory_bytes: u64,
    /// Capacity of the disk tier.
    pub disk_bytes: u64,
    /// Bandwidth of the link to the memory tier; 0 for no limit.
    pub memory_link_bytes_per_s: u64,
    /// Bandwidth of the link to the disk tier; 0 for no limit.
    pub disk_link_bytes_per_s: u64,
    /// Seed of the faults of chance.
    pub seed: u64,
    /// Faults at start.
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

/// Faults of a store instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// No block is accepted, as if both tiers were full.
    pub full: bool,
    /// Factor by which the links are slower; 0 and 1 stand for normal speed.
    pub link_slowdown: f64,
    /// Reads are answered with whatever is held under the key, whether sealed or not and whatever its
    /// generation.
    pub ignores_generation: bool,
    /// The instance dies now: it refuses connections and loses all blocks.
    pub die: bool,
    /// Time after which an instance that dies listens again; 0 for never.
    pub revive_after_ms: u64,
}

/// Tier of a store instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Tier {
    /// Memory.
    #[default]
    Memory,
    /// Disk.
    Disk,
}

/// Entry of a listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredBlock {
    /// Key.
    pub key: String,
    /// Generation.
    pub generation: u64,
    /// Tier.
    pub tier: Tier,
    /// Tokens.
    pub tokens: u64,
    /// Size.
    pub bytes: u64,
}

/// Counters of a store instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounters {
    /// Blocks sealed.
    pub sealed: u64,
    /// Blocks read.
    pub reads: u64,
    /// Reads refused because of the key, the generation or a missing seal.
    pub reads_refused: u64,
    /// Blocks refused because the tier was full.
    pub full: u64,
    /// Bytes moved over the link of the memory tier.
    pub memory_link_bytes: u64,
    /// Bytes moved over the link of the disk tier.
    pub disk_link_bytes: u64,
}

#[derive(Debug)]
struct Held {
    block: KvBlock,
    tier: Tier,
    is_written: bool,
    is_sealed: bool,
}

#[derive(Debug, Default)]
struct State {
    blocks: IndexMap<String, Held>,
    next_generation: u64,
    faults: StoreFaults,
    counters: StoreCounters,
    memory_link: Link,
    disk_link: Link,
}

impl State {
    fn used_bytes(&self, tier: Tier) -> u64 {
        let in_tier = self.blocks.values().filter(|held| held.tier == tier);
        in_tier.map(|held| held.block.bytes).sum()
    }

    /// The block with the given key and generation.
    fn held(&mut self, key: &str, generation: u64) -> Option<&mut Held> {
        let held = self.blocks.get_mut(key)?;
        (held.block.generation == generation).then_some(held)
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

/// Stand-in of a store instance.
#[derive(Debug)]
pub struct StoreStandin {
    config: StoreConfig,
    server: Arc<Server>,
    state: Mutex<State>,
    runtime: Handle,
}

impl StoreStandin {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// The error of binding the address.
    pub async fn start(config: StoreConfig, addr: SocketAddr) -> io::Result<RunningStandin<Self>> {
        let seed = config.seed;
        let state = State {
            faults: config.faults.clone(),
            // A generation is never used twice, not even by a later start.
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

    /// Replaces the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        if faults.die {
            self.die();
            self.revive_after(Duration::from_millis(faults.revive_after_ms));
        }
        self.state().faults = faults;
    }

    /// Refuses connections and loses all blocks.
    pub fn die(&self) {
        self.state().blocks.clear();
        self.server.down();
    }

    /// Listens again after [`StoreStandin::die`], without any block.
    pub fn revive(&self) {
        self.server.up();
    }

    fn revive_after(&self, pause: Duration) {
        if pause.is_zero() {
            return;
        }
        let server = Arc::clone(&self.server);
        self.runtime.spawn(async move {
            sleep(pause).await;
            server.up();
        });
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> StoreCounters {
        self.state().counters
    }

    /// Sealed blocks, in the order in which they were prepared.
    #[must_use]
    pub fn blocks(&self) -> Vec<StoredBlock> {
        let state = self.state();
        let sealed = state.blocks.values().filter(|held| held.is_sealed);
        sealed
            .map(|Held { block, tier, .. }| StoredBlock {
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

    /// Takes the time that the bytes need on the link of the tier.
    async fn transmit(&self, tier: Tier, bytes: u64) {
        let end = {
            let mut state = self.state();
            let slowdown = state.faults.link_slowdown.max(1.0);
            let state = &mut *state;
            let (link, rate, moved) = match tier {
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
            *moved += bytes;
            link.reserve(bytes, (rate as f64 / slowdown) as u64)
        };
        pause_until(end).await;
    }

    /// `POST /blocks/{key}/prepare`. A block under the same key is replaced.
    fn prepare(&self, key: &str, call: &Call) -> Reply {
        let Ok(body) = serde_json::from_slice::<PrepareBody>(&call.body) else {
            return Reply::error(StatusCode::BAD_REQUEST, "no tier and size");
        };
        let mut state = self.state();
        let replaced = state.blocks.get(key).filter(|held| held.tier == body.tier);
        let freed = replaced.map_or(0, |held| held.block.bytes);
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
        let held = Held {
            block,
            tier: body.tier,
            is_written: false,
            is_sealed: false,
        };
        state.blocks.insert(key.to_owned(), held);
        Reply::ok(&json!({"generation": generation}))
    }

    /// `POST /blocks/{key}/write`
    async fn write(&self, key: &str, call: &Call) -> Reply {
        let Ok(body) = serde_json::from_slice::<WriteBody>(&call.body) else {
            return Reply::error(StatusCode::BAD_REQUEST, "no generation and content");
        };
        let place = self
            .state()
            .held(key, body.generation)
            .filter(|held| !held.is_sealed)
            .map(|held| (held.tier, held.block.bytes));
        let Some((tier, bytes)) = place else {
            return not_prepared();
        };
        self.transmit(tier, bytes).await;
        // The block may have been freed or replaced while its bytes were in transit.
        match self.state().held(key, body.generation) {
            Some(held) if !held.is_sealed => {
                held.block.content = body.content;
                held.is_written = true;
                Reply::ok(&json!({}))
            }
            _ => not_prepared(),
        }
    }

    /// `POST /blocks/{key}/seal`
    fn seal(&self, key: &str, call: &Call) -> Reply {
        let mut state = self.state();
        let held = generation_of(call).and_then(|number| state.held(key, number));
        let Some(held) = held.filter(|held| held.is_written) else {
            return not_prepared();
        };
        let digest = blake3::hash(held.block.content.as_bytes());
        held.block.digest = digest.to_hex().to_string();
        held.is_sealed = true;
        state.counters.sealed += 1;
        Reply::ok(&json!({"digest": digest.to_hex().as_str()}))
    }

    /// `POST /blocks/{key}/free`
    fn free(&self, key: &str, call: &Call) -> Reply {
        let mut state = self.state();
        let is_held = generation_of(call).is_some_and(|number| state.held(key, number).is_some());
        if !is_held {
            return Reply::error(StatusCode::NOT_FOUND, "no such block");
        }
        state.blocks.shift_remove(key);
        Reply::ok(&json!({}))
    }

    /// `GET /blocks/{key}?generation=N`
    async fn read(&self, key: &str, call: &Call) -> Reply {
        let generation = call.number("generation").unwrap_or(0);
        let found = {
            let mut state = self.state();
            let is_lax = state.faults.ignores_generation;
            let held = state.blocks.get(key);
            let found = held
                .filter(|held| is_lax || held.is_sealed && held.block.generation == generation)
                .map(|held| (held.tier, held.block.clone()));
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

    /// `GET /blocks?from=INDEX&max=M`
    fn list(&self, call: &Call) -> Reply {
        let from = call.number("from").unwrap_or(0) as usize;
        let max = call.number("max").unwrap_or(DEFAULT_MAX_BLOCKS) as usize;
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

fn generation_of(call: &Call) -> Option<u64> {
    let body: GenerationBody = serde_json::from_slice(&call.body).ok()?;
    Some(body.generation)
}

fn not_prepared() -> Reply {
    Reply::error(StatusCode::CONFLICT, "no such prepared block")
}

impl Standin for StoreStandin {
    async fn handle(self: Arc<Self>, call: Call) -> Reply {
        match (&call.method, call.segments().as_slice()) {
            (&Method::GET, ["blocks"]) => self.list(&call),
            (&Method::GET, ["blocks", key]) => self.read(key, &call).await,
            (&Method::POST, ["blocks", key, "prepare"]) => self.prepare(key, &call),
            (&Method::POST, ["blocks", key, "write"]) => self.write(key, &call).await,
            (&Method::POST, ["blocks", key, "seal"]) => self.seal(key, &call),
            (&Method::POST, ["blocks", key, "free"]) => self.free(key, &call),
            (&Method::GET, ["control", "counters"]) => Reply::ok(&self.counters()),
            _ => Reply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn replace_faults(&self, faults: serde_json::Value) -> Result<(), serde_json::Error> {
        self.set_faults(serde_json::from_value(faults)?);
        Ok(())
    }
}
