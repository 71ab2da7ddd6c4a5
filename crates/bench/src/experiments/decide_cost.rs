//! Processor time of one routing decision: index lookup, prefix match and selection with
//! explanation.
//!
//! All servers serve one model, which is the worst case, since each of them is a candidate. The
//! baseline looks the prefix up in the index once per server.

use super::RunOptions;
use crate::report::{Figures, Report};
use anvilgw_admission::{
    Admission, AdmissionRequest, AdmissionSettings, PlanLimits, PlanShare, Priority,
};
use anvilgw_core::{DomainId, ModelId, RequestId, ServerId, StoreId, WorkspaceId};
use anvilgw_router::{
    BlockChange, BlockSizes, CacheEvent, ColdSettings, EngineRates, Generation, Holder, IndexShard,
    LinkRates, LoadReport, Location, PrefixMatch, RouteRequest, Router, RouterSettings,
    ServedModel, ServerSpec, ShortKey, Tier, WeightVersion,
};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

const P99_US_MAX: f64 = 50.0;
const SERVERS: u32 = 600;
const DOMAINS: u16 = 7;
const WORKSPACES: u32 = 280;
const ENTRIES: usize = 1_000_000;
const STORES: u16 = 14;
const DECISIONS: usize = 20_000;
const DECISIONS_LONG: usize = 400_000;
const BASELINE_DECISIONS: usize = 500;
/// Decisions before the measurement, which warm the caches of the processor.
const WARM_UP_DECISIONS: usize = 1_000;
const PROMPT_BLOCKS_MAX: u64 = 30;
const NOW: Duration = Duration::from_secs(100);
const RATES: EngineRates = EngineRates {
    prefill_tokens_per_s: 40_000.0,
    decode_ms_per_token: 27.0,
    mean_decode_tokens: 270.0,
    max_concurrency: 72,
};

/// A router, an index shard and an admission queue at the size of the whole fleet.
struct DecisionBench {
    router: Router,
    shard: IndexShard,
    admission: Admission,
    prompts: Vec<Vec<ShortKey>>,
    location_count: u64,
}

#[derive(Clone, Copy)]
struct Latencies {
    p50_us: f64,
    p99_us: f64,
    mean_us: f64,
}

fn create_router(servers: u32) -> Router {
    let mut router = Router::new(RouterSettings::default());
    for id in 0..servers {
        router.set_server(ServerSpec {
            id: ServerId(id),
            domain: DomainId(id as u16 % DOMAINS),
            models: vec![ServedModel {
                model: ModelId(0),
                weight_version: WeightVersion(1),
                adapters: Vec::new(),
                rates: RATES,
                sizes: BlockSizes {
                    block_tokens: 4_000,
                    kv_bytes_per_token: 16_000,
                },
            }],
            cold: ColdSettings::default(),
        });
        let report = LoadReport {
            started_ms: 1,
            measured_at: NOW,
            queued_prefill_tokens: u64::from(id * 37 % 5_000),
            completed: 1_000_000,
            cached_blocks: 1,
            ..LoadReport::default()
        };
        router.on_load_report(ServerId(id), report, NOW);
        router.set_link(Holder::Server(ServerId(id)), link_rates());
    }
    for store in 0..STORES {
        router.set_link(Holder::Store(StoreId(store)), link_rates());
    }
    router
}

fn link_rates() -> LinkRates {
    LinkRates {
        bytes_per_s: 5e9,
        transfer_bytes_per_s: 40e9,
        latency_ms: 1.0,
        disk_bytes_per_s: 25e9,
        usable: true,
    }
}

/// Fills the index with prompts of up to [`PROMPT_BLOCKS_MAX`] blocks, each on one server and one
/// store.
fn create_bench(servers: u32, entries: usize, seed: u64) -> DecisionBench {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut shard = IndexShard::new(entries);
    let mut sequences = HashMap::new();
    let mut prompts = Vec::new();
    while shard.len() < entries {
        let blocks = rng.random_range(1..=PROMPT_BLOCKS_MAX);
        let keys: Vec<_> = (0..blocks).map(|_| ShortKey(rng.random())).collect();
        let server = Location::Server(ServerId(rng.random_range(0..servers)));
        let store = Location::Store(StoreId(rng.random_range(0..STORES)), Tier::Disk);
        for location in [server, store] {
            for key in &keys {
                let sequence = sequences.entry(location).or_insert(0);
                let event = CacheEvent {
                    started_ms: 1,
                    sequence: *sequence,
                    key: *key,
                    generation: Generation(1),
                    change: BlockChange::Stored,
                };
                *sequence += 1;
                shard.apply(location, event, NOW);
            }
        }
        prompts.push(keys);
    }
    DecisionBench {
        router: create_router(servers),
        shard,
        admission: create_admission(),
        prompts,
        location_count: u64::from(servers) + u64::from(STORES),
    }
}

fn create_admission() -> Admission {
    let mut admission = Admission::new(AdmissionSettings::default());
    let share = PlanShare {
        requests_per_s: 1e6,
        tokens_per_s: 1e9,
        burst_requests: 1e6,
        burst_tokens: 1e9,
        concurrency: 1_000,
    };
    for id in 0..WORKSPACES {
        let limits = PlanLimits {
            weight: 1 + id % 4,
            priority: Priority::Normal,
            share,
        };
        admission.set_limits(WorkspaceId(id), limits, NOW);
    }
    admission
}

impl DecisionBench {
    fn route_request(keys: &[ShortKey]) -> RouteRequest {
        RouteRequest {
            model: ModelId(0),
            adapter: None,
            weight_version: WeightVersion(1),
            prompt_tokens: keys.len() as u64 * 4_000 + 1_000,
            tried: Vec::new(),
        }
    }

    /// Performs admission, lookup, prefix match and selection, as a daemon does for each request.
    fn decide(&mut self, at: usize, rng: &mut StdRng) {
        let keys = &self.prompts[at % self.prompts.len()];
        let request = Self::route_request(keys);
        let admission_request = AdmissionRequest {
            id: RequestId(at as u128),
            workspace: WorkspaceId(at as u32 % WORKSPACES),
            cost_tokens: request.prompt_tokens,
            start_by: NOW + Duration::from_secs(10),
        };
        black_box(self.admission.enqueue(admission_request, NOW)).ok();
        black_box(self.admission.poll(NOW));
        let hints: Vec<_> = self.shard.lookup_all(keys).into_iter().map(Some).collect();
        let prefix = PrefixMatch::from_hints(&hints);
        black_box(self.router.select(&request, &prefix, NOW, rng));
        self.admission
            .on_request_ended(RequestId(at as u128), request.prompt_tokens, NOW);
    }

    /// Looks the prefix up in the index once per location, and selects a server.
    fn decide_by_server_scan(&mut self, at: usize, rng: &mut StdRng) {
        let keys = &self.prompts[at % self.prompts.len()];
        let request = Self::route_request(keys);
        let mut lengths = Vec::new();
        for server in 0..self.location_count as u32 {
            let location = Location::Server(ServerId(server));
            let mut length = 0;
            for key in keys {
                let mut hints = self.shard.lookup(*key);
                length += u32::from(hints.any(|hint| hint.location == location));
            }
            lengths.push(length);
        }
        black_box(lengths);
        let prefix = PrefixMatch::default();
        black_box(self.router.select(&request, &prefix, NOW, rng));
    }

    /// Measures decisions on random prompts after a warm-up.
    fn measure(
        &mut self,
        decisions: usize,
        seed: u64,
        decide: fn(&mut Self, usize, &mut StdRng),
    ) -> Latencies {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut times_ns = Histogram::<u64>::new_with_bounds(1, 10_000_000_000, 3)
            .expect("bounds and digits are valid");
        for at in 0..WARM_UP_DECISIONS.min(decisions) {
            decide(self, at, &mut rng);
        }
        for at in 0..decisions {
            let prompt = rng.random_range(0..self.prompts.len());
            let started = Instant::now();
            decide(self, prompt.wrapping_add(at) % self.prompts.len(), &mut rng);
            times_ns.saturating_record(started.elapsed().as_nanos() as u64);
        }
        Latencies {
            p50_us: times_ns.value_at_quantile(0.50) as f64 / 1e3,
            p99_us: times_ns.value_at_quantile(0.99) as f64 / 1e3,
            mean_us: times_ns.mean() / 1e3,
        }
    }
}

/// Measures decisions at several numbers of servers and index entries, and the baseline at the
/// largest.
pub(super) fn experiment(options: RunOptions) -> Report {
    let decisions = if options.long {
        DECISIONS_LONG
    } else {
        DECISIONS
    };
    let seed = options.seed;
    let mut bench = create_bench(SERVERS, ENTRIES, seed);
    let latencies = bench.measure(decisions, seed, DecisionBench::decide);
    let scan_latencies = bench.measure(
        BASELINE_DECISIONS,
        seed,
        DecisionBench::decide_by_server_scan,
    );
    let mut product = Figures::new();
    product.insert("p50_us".into(), latencies.p50_us.into());
    product.insert("p99_us".into(), latencies.p99_us.into());
    let bytes = bench.shard.allocated_bytes() as f64 / bench.shard.len() as f64;
    product.insert("index_bytes_per_entry".into(), bytes.into());
    for servers in [150, 300] {
        let measured =
            create_bench(servers, ENTRIES, seed).measure(decisions, seed, DecisionBench::decide);
        product.insert(
            format!("p50_us_at_{servers}_servers"),
            measured.p50_us.into(),
        );
        let slope = (latencies.mean_us - measured.mean_us) * 1e3 / f64::from(SERVERS - servers);
        product.insert(format!("ns_per_server_above_{servers}"), slope.into());
    }
    for entries in [250_000, 500_000] {
        let measured =
            create_bench(SERVERS, entries, seed).measure(decisions, seed, DecisionBench::decide);
        product.insert(
            format!("p50_us_at_{entries}_entries"),
            measured.p50_us.into(),
        );
    }
    let mut target = Figures::new();
    target.insert("p99_us_max".into(), P99_US_MAX.into());
    let mut baseline = Figures::new();
    baseline.insert("p50_us".into(), scan_latencies.p50_us.into());
    baseline.insert("p99_us".into(), scan_latencies.p99_us.into());
    let mut ratio = Figures::new();
    ratio.insert(
        "p99".into(),
        (latencies.p99_us / scan_latencies.p99_us).into(),
    );
    Report {
        experiment: "decide-cost",
        seed,
        target,
        baseline,
        product,
        ratio,
        pass: latencies.p99_us <= P99_US_MAX,
    }
}
