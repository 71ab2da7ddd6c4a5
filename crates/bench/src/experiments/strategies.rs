//! Routing strategies for a trace run: the baselines and the gateway's own.

use super::serving_simulation::{
    BLOCK_BYTES, DECODE_MS_PER_TOKEN, DECODE_SLOTS, DISK_BYTES_PER_S, ENGINES, ImportPlan,
    KV_BYTES_PER_TOKEN, LINK_BUDGET_SHARE, LINK_BYTES_PER_S, LINK_LATENCY_S, LocatedEvent,
    PREFILL_TOKENS_PER_S, Route, STORES, ServingSimulation,
};
use super::trace_run::Strategy;
use super::workload::{BATCH_WORKSPACE, BLOCK_TOKENS, ReturnGaps, Trace, WORKSPACES};
use anvilgw_core::{DomainId, ModelId, ServerId, StoreId, WorkspaceId};
use anvilgw_router::{
    BlockChange, BlockListing, BlockSizes, ColdSettings, CostWeights, EngineRates, Generation,
    Hint, Holder, IndexShard, LinkRates, LoadReport, Location, PlacementAction, PlacementPolicy,
    PlacementSettings, PrefillPriority, PrefixMatch, RecentBlocks, RouteRequest, Router,
    RouterSettings, SealedBlock, SendOutcome, ServedModel, ServerSpec, ShortKey, StoreState, Tier,
    WeightVersion,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::time::Duration;

/// Gateway daemons behind the load balancer.
pub(super) const DAEMONS: usize = 12;
/// Multiple of the mean load above which [`Baseline::PrefixHash`] skips an engine.
const BOUNDED_LOAD: f64 = 1.25;

/// A common load-balancing policy that the gateway is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Baseline {
    /// Each daemon takes the engines in turn.
    RoundRobin,
    /// The engine that executes the fewest requests of the same daemon, with random ties.
    LeastLoaded,
    /// Consistent hash of the first block, with bounded loads.
    PrefixHash,
}

impl Baseline {
    pub(super) const ALL: [Self; 3] = [Self::RoundRobin, Self::LeastLoaded, Self::PrefixHash];

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round_robin",
            Self::LeastLoaded => "least_loaded",
            Self::PrefixHash => "prefix_hash",
        }
    }
}

/// Routes by a baseline policy.
///
/// With `eager_import`, each engine imports every stored block that it lacks and exports every
/// block that it seals; without, it uses only its own prefix cache.
pub(super) struct BaselineStrategy {
    baseline: Baseline,
    eager_import: bool,
    rng: StdRng,
    daemon_of: Vec<usize>,
    last_engine: [usize; DAEMONS],
    running: Vec<[u32; ENGINES]>,
}

impl BaselineStrategy {
    pub(super) fn new(baseline: Baseline, eager_import: bool, trace: &Trace, seed: u64) -> Self {
        Self {
            baseline,
            eager_import,
            rng: StdRng::seed_from_u64(seed ^ 1),
            daemon_of: assign_daemons(trace, seed),
            last_engine: std::array::from_fn(|daemon| daemon * ENGINES / DAEMONS),
            running: vec![[0; ENGINES]; DAEMONS],
        }
    }

    fn choose_engine(&mut self, daemon: usize, first: Option<&ShortKey>) -> usize {
        let running = &self.running[daemon];
        match (self.baseline, first) {
            (Baseline::RoundRobin, _) => {
                self.last_engine[daemon] = (self.last_engine[daemon] + 1) % ENGINES;
                self.last_engine[daemon]
            }
            (Baseline::PrefixHash, Some(key)) => {
                let mean = f64::from(running.iter().sum::<u32>() + 1) / ENGINES as f64;
                let limit = (mean * BOUNDED_LOAD).ceil() as u32;
                let from = (key.0 % ENGINES as u64) as usize;
                (0..ENGINES)
                    .map(|step| (from + step) % ENGINES)
                    .find(|engine| running[*engine] < limit)
                    .unwrap_or(from)
            }
            _ => {
                let lowest = running.iter().min().copied().unwrap_or(0);
                let tied: Vec<_> = (0..ENGINES).filter(|at| running[*at] == lowest).collect();
                tied[self.rng.random_range(0..tied.len())]
            }
        }
    }
}

impl Strategy for BaselineStrategy {
    fn uses_stores(&self) -> bool {
        self.eager_import
    }

    fn route(&mut self, simulation: &ServingSimulation<'_>, id: usize, now: f64) -> Route {
        let request = &simulation.trace.requests[id];
        let prompt = &request.keys[..request.prompt_blocks];
        let daemon = self.daemon_of[id];
        let engine = self.choose_engine(daemon, prompt.first());
        self.running[daemon][engine] += 1;
        let (store, blocks) = simulation.longest_stored_prefix(prompt);
        let import = (self.eager_import && blocks > 0).then_some(ImportPlan {
            store,
            end_block: blocks,
            start_s: now,
        });
        Route {
            engine,
            low_priority: false,
            import,
        }
    }

    fn on_request_ended(&mut self, simulation: &mut ServingSimulation<'_>, id: usize, now: f64) {
        let request = &simulation.trace.requests[id];
        self.running[self.daemon_of[id]][simulation.served_requests[id].engine] -= 1;
        let stored = simulation
            .stores
            .iter()
            .any(|store| request.keys.first().is_some_and(|key| store.holds(key)));
        if !self.eager_import {
            return;
        }
        // All blocks go to the store that holds the longest prefix of them. If no store holds the
        // first block, the key of the last one selects the store.
        let target = if stored {
            simulation.longest_stored_prefix(&request.keys).0
        } else {
            request.keys.last().map_or(0, |key| key.0 as usize % STORES)
        };
        for key in &request.keys {
            simulation.export(target, Tier::Memory, *key, now);
        }
    }
}

/// Assigns each request to a random daemon, as the platform's load balancer does.
fn assign_daemons(trace: &Trace, seed: u64) -> Vec<usize> {
    let mut rng = StdRng::seed_from_u64(seed ^ 2);
    let daemons = trace.requests.iter();
    daemons.map(|_| rng.random_range(0..DAEMONS)).collect()
}

/// Routes as the gateway does, with one router per daemon and one index that all daemons query.
pub(super) struct GatewayStrategy {
    routers: Vec<Router>,
    shard: IndexShard,
    recent: RecentBlocks,
    placement: PlacementPolicy,
    rng: StdRng,
    daemon_of: Vec<usize>,
    last_use_s: HashMap<ShortKey, f64>,
    has_listed_stores: bool,
}

const RATES: EngineRates = EngineRates {
    prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
    decode_ms_per_token: DECODE_MS_PER_TOKEN,
    mean_decode_tokens: 270.0,
    max_concurrency: DECODE_SLOTS,
};

impl GatewayStrategy {
    pub(super) fn new(weights: CostWeights, trace: &Trace, seed: u64) -> Self {
        let settings = RouterSettings {
            weights,
            ..RouterSettings::default()
        };
        Self {
            routers: (0..DAEMONS).map(|_| router(settings)).collect(),
            shard: IndexShard::new(1_000_000),
            recent: RecentBlocks::new(100_000, Duration::from_secs(5)),
            placement: placement(seed),
            rng: StdRng::seed_from_u64(seed ^ 1),
            daemon_of: assign_daemons(trace, seed),
            last_use_s: HashMap::new(),
            has_listed_stores: false,
        }
    }

    /// Builds the index from the block listings of the stores, as a daemon does after its start.
    fn list_stores(&mut self, simulation: &ServingSimulation<'_>) {
        for (at, store) in simulation.stores.iter().enumerate() {
            let listing = BlockListing {
                started_ms: 1,
                next_sequence: 0,
                blocks: store
                    .disk_blocks()
                    .map(|key| (key, Generation(0)))
                    .collect(),
            };
            let location = Location::Store(StoreId(at as u16), Tier::Disk);
            self.shard.apply_listing(location, &listing);
        }
        self.has_listed_stores = true;
    }

    fn match_prefix(&mut self, keys: &[ShortKey], now: Duration) -> PrefixMatch {
        let mut blocks: Vec<Option<Vec<Hint>>> = Vec::with_capacity(keys.len());
        for (key, mut hints) in keys.iter().zip(self.shard.lookup_all(keys)) {
            self.recent.add_hint(*key, &mut hints, now);
            blocks.push(Some(hints));
        }
        let mut prefix = PrefixMatch::from_hints(&blocks);
        let mut importing = keys
            .iter()
            .map(|key| self.recent.import_target(*key, now).is_some());
        prefix.importing_from = importing
            .position(|importing| importing)
            .map(|at| at as u32);
        prefix
    }

    fn stores_holding(simulation: &ServingSimulation<'_>, key: ShortKey) -> Vec<StoreId> {
        let stores = simulation.stores.iter().enumerate();
        stores
            .filter(|(_, store)| store.holds(&key))
            .map(|(at, _)| StoreId(at as u16))
            .collect()
    }
}

fn router(settings: RouterSettings) -> Router {
    let mut router = Router::new(settings);
    for engine in 0..ENGINES {
        router.set_server(ServerSpec {
            id: ServerId(engine as u32),
            domain: DomainId(engine as u16 % 3),
            models: vec![ServedModel {
                model: ModelId(0),
                weight_version: WeightVersion(1),
                adapters: Vec::new(),
                rates: RATES,
                sizes: BlockSizes {
                    block_tokens: BLOCK_TOKENS as u32,
                    kv_bytes_per_token: KV_BYTES_PER_TOKEN,
                },
            }],
            cold: ColdSettings {
                full_concurrency: DECODE_SLOTS,
                ..ColdSettings::default()
            },
        });
    }
    for store in 0..STORES {
        let rates = LinkRates {
            bytes_per_s: LINK_BYTES_PER_S * LINK_BUDGET_SHARE / DAEMONS as f64,
            transfer_bytes_per_s: LINK_BYTES_PER_S,
            latency_ms: LINK_LATENCY_S * 1e3,
            disk_bytes_per_s: DISK_BYTES_PER_S,
            usable: true,
        };
        router.set_link(Holder::Store(StoreId(store as u16)), rates);
    }
    router
}

/// Creates a placement policy that has already observed how often the prompts of each workspace
/// return.
fn placement(seed: u64) -> PlacementPolicy {
    let mut placement = PlacementPolicy::new(PlacementSettings {
        prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
        ..PlacementSettings::default()
    });
    let mut gaps = ReturnGaps::new(seed);
    for workspace in 0..WORKSPACES {
        for _ in 0..100 {
            let gap_s = gaps.random_gap_s();
            let gap = (workspace != BATCH_WORKSPACE).then(|| Duration::from_secs_f64(gap_s));
            placement.on_prompt_returned(WorkspaceId(workspace as u32), gap);
        }
    }
    placement
}

impl Strategy for GatewayStrategy {
    fn route(&mut self, simulation: &ServingSimulation<'_>, id: usize, now: f64) -> Route {
        if !self.has_listed_stores {
            self.list_stores(simulation);
        }
        let request = &simulation.trace.requests[id];
        let prompt = &request.keys[..request.prompt_blocks];
        let time = Duration::from_secs_f64(now);
        let prefix = self.match_prefix(prompt, time);
        let router = &mut self.routers[self.daemon_of[id]];
        let route = RouteRequest {
            model: ModelId(0),
            adapter: None,
            weight_version: WeightVersion(1),
            prompt_tokens: request.prompt_tokens,
            tried: Vec::new(),
        };
        let decision = router.select(&route, &prefix, time, &mut self.rng);
        let choice = decision.outcome.expect("all engines are in service");
        let import = choice.plan.import.and_then(|import| {
            let Holder::Store(store) = import.from else {
                return None;
            };
            let bytes = u64::from(import.blocks) * BLOCK_BYTES;
            let reserved = router.reserve_import(&import, bytes, time).ok()?;
            Some(ImportPlan {
                store: usize::from(store.0),
                end_block: (import.first_block + import.blocks) as usize,
                start_s: reserved.start.as_secs_f64(),
            })
        });
        router.on_request_sent(choice.server, choice.plan.prefill_tokens, time);
        self.recent.record(choice.server, prompt, time);
        Route {
            engine: choice.server.0 as usize,
            low_priority: choice.priority == PrefillPriority::Low,
            import,
        }
    }

    fn on_request_accepted(
        &mut self,
        simulation: &ServingSimulation<'_>,
        id: usize,
        now: f64,
        ready: f64,
    ) {
        let served = &simulation.served_requests[id];
        let end = served.in_place_blocks + served.imported_blocks;
        let keys = &simulation.trace.requests[id].keys[served.in_place_blocks..end];
        let until = Duration::from_secs_f64(ready);
        let server = ServerId(served.engine as u32);
        let now = Duration::from_secs_f64(now);
        self.recent.record_import(server, keys, now, until);
    }

    fn on_request_ended(&mut self, simulation: &mut ServingSimulation<'_>, id: usize, now: f64) {
        let request = &simulation.trace.requests[id];
        let engine = simulation.served_requests[id].engine;
        let server = ServerId(engine as u32);
        let time = Duration::from_secs_f64(now);
        let router = &mut self.routers[self.daemon_of[id]];
        router.on_request_ended(server, SendOutcome::Completed, time);
        let stores: Vec<_> = (0..STORES as u16).map(store_state).collect();
        for (position, &key) in request.keys.iter().enumerate() {
            let block = SealedBlock {
                key,
                generation: Generation(0),
                workspace: WorkspaceId(request.workspace as u32),
                position: position as u32,
                prompt_blocks: request.keys.len() as u32,
                reused: position < simulation.served_requests[id].in_place_blocks,
                server,
                domain: DomainId(engine as u16 % 3),
            };
            self.last_use_s.insert(key, now);
            let holding_stores = Self::stores_holding(simulation, key);
            for action in self
                .placement
                .decide(&block, BLOCK_BYTES, &holding_stores, &stores)
            {
                match action {
                    PlacementAction::Export {
                        store, tier, key, ..
                    } => simulation.export(usize::from(store.0), tier, key, now),
                    PlacementAction::Copy { to, tier, key, .. } => {
                        simulation.export(usize::from(to.0), tier, key, now);
                    }
                    PlacementAction::EvictFirst { key, .. } => simulation.demote(engine, key),
                }
            }
        }
    }

    fn on_cache_events(&mut self, events: &[LocatedEvent], now: f64) {
        let now = Duration::from_secs_f64(now);
        for (location, event) in events {
            let used = self.last_use_s.get(&event.key);
            if let (Location::Server(server), BlockChange::Removed, Some(used)) =
                (location, event.change, used)
            {
                let unused = Duration::from_secs_f64((now.as_secs_f64() - used).max(0.0));
                self.placement.on_block_evicted(*server, unused);
            }
            self.shard.apply(*location, *event, now);
        }
    }

    fn on_load_reports(&mut self, reports: &[LoadReport], now: f64) {
        let now = Duration::from_secs_f64(now);
        for router in &mut self.routers {
            for (engine, report) in reports.iter().enumerate() {
                router.on_load_report(ServerId(engine as u32), *report, now);
            }
        }
    }
}

fn store_state(at: u16) -> StoreState {
    StoreState {
        store: StoreId(at),
        domain: DomainId(at),
        memory_free_bytes: 1 << 40,
        disk_free_bytes: 1 << 50,
        usable: true,
    }
}
