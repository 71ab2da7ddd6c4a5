//! Plans of transfers that count what waits on the links of cache stores.

use anvilgw_gateway::caches::{
    CacheDirectory, CacheEvents, CacheStoreSpec, CachedPart, LinkAccount, PartSource,
    PlanDestination, PlannedTransfer, TimelyReads, TransferPolicy, fetch_time_limit, name_hash,
};
use anvilgw_gateway::prefill_rate::PrefillRate;
use anvilgw_gateway::region_constraints::RegionConstraints;
use anvilgw_gateway::request::PromptPart;
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;

const TOKENS: u32 = 8_000;
const LINK_TOKENS_PER_MS: f64 = 100.0;
/// Time of computing the part, weighted by what it costs other requests.
const COMPUTE_MS: f64 = 800.0;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn source(port: u16, distance: f64) -> PartSource {
    let link_tokens = f64::from(TOKENS) * distance;
    PartSource {
        address: address(port),
        transfer_ms: 5.0 + link_tokens / LINK_TOKENS_PER_MS,
        link_tokens,
        link_tokens_per_ms: LINK_TOKENS_PER_MS,
    }
}

/// Guards against reads that arrive after their time limit because other transfers wait on the link,
/// and against parts that are computed although another source has a free link.
#[test]
fn a_part_is_read_from_where_it_arrives_in_time() {
    struct Case {
        name: &'static str,
        /// Tokens that wait on the links of the near and of the far store.
        waiting: [f64; 2],
        compute_ms: f64,
        source: Option<u16>,
    }
    let case = |name, waiting, compute_ms, source| Case {
        name,
        waiting,
        compute_ms,
        source,
    };
    // The limit for 8,000 tokens is 390 ms, of which 273 ms count.
    let cases = [
        case("idle links", [0.0, 0.0], COMPUTE_MS, Some(1)),
        case(
            "some wait at the near one",
            [7_000.0, 0.0],
            COMPUTE_MS,
            Some(1),
        ),
        case(
            "more wait at the near one",
            [9_000.0, 0.0],
            COMPUTE_MS,
            Some(2),
        ),
        case(
            "both links are busy",
            [23_000.0, 15_000.0],
            COMPUTE_MS,
            None,
        ),
        case("computing is faster", [2_000.0, 0.0], 100.0, None),
    ];
    for case in cases {
        let waiting = |source: SocketAddr| case.waiting[usize::from(source.port() - 1)];
        let mut reads = TimelyReads::new(&waiting, 1.0);
        let sources = [source(1, 1.0), source(2, 2.0)];
        let chosen = reads.choose(TOKENS, case.compute_ms, sources.into_iter());
        assert_eq!(chosen, case.source.map(address), "{}", case.name);
        let transfers = reads.into_transfers();
        assert_eq!(
            transfers.len(),
            usize::from(chosen.is_some()),
            "{}",
            case.name
        );
    }
}

/// Guards against parts of one prompt that are planned as if each had the link for itself.
#[test]
fn parts_of_one_prompt_wait_for_each_other() {
    let idle = |_: SocketAddr| 0.0;
    let mut reads = TimelyReads::new(&idle, 1.0);
    let mut choose = || reads.choose(TOKENS, COMPUTE_MS, std::iter::once(source(1, 1.0)));
    let chosen: Vec<bool> = (0..12).map(|_| choose().is_some()).collect();
    assert_eq!(chosen.iter().filter(|is_read| **is_read).count(), 8);
    let ends = reads.into_transfers();
    let limit_ms = fetch_time_limit(12 * TOKENS).as_secs_f64() * 1000.0;
    assert!(ends.iter().all(|transfer| transfer.ends_ms < limit_ms));
}

/// Guards against an account that grows, or in which a transfer counts in full until its end.
#[test]
fn a_transfer_counts_until_its_expected_end() {
    let mut links = LinkAccount::default();
    let transfer = PlannedTransfer {
        source: address(1),
        link_tokens: 8_000.0,
        begins_ms: 100.0,
        ends_ms: 200.0,
    };
    links.on_planned(&[transfer], false, at(0));
    let left: Vec<f64> = [0, 100, 150, 200]
        .map(|ms| links.tokens_left(address(1), at(ms)))
        .to_vec();
    assert_eq!(left, [6_000.0, 6_000.0, 3_000.0, 0.0]);
    assert!(links.tokens_left(address(2), at(0)).abs() < 1.0);
}

/// Guards against plans without an account of the links that differ from those before, and against
/// a part that a busy store holds and that is planned as a read.
#[test]
fn the_plan_counts_the_links_only_with_an_account() {
    let mut caches = CacheDirectory::default();
    let spec = CacheStoreSpec {
        address: address(1),
        failure_domain: "a".to_owned(),
        capacity_tokens: 100_000,
        link_tokens_per_ms: LINK_TOKENS_PER_MS,
        first_byte: at(1),
    };
    let key = caches.set_stores(&[spec])[0];
    let held = CachedPart {
        scope: "w1".to_owned(),
        id: "history".to_owned(),
        tokens: TOKENS,
    };
    let events = CacheEvents {
        epoch: 1,
        clock_ms: Some(1_000),
        next: 1,
        has_gap: false,
        changes: vec![held],
    };
    caches.on_events(key, events, at(0));
    let part = PromptPart {
        id_hash: name_hash("history"),
        tokens: TOKENS,
    };
    let located = caches.locate(name_hash("w1"), &[part], at(0));
    let destination = PlanDestination {
        failure_domain: "a",
        prefill_rate: PrefillRate::default(),
    };
    let regions = IndexMap::new();
    let busy = |_: SocketAddr| 30_000.0;
    let plan = |waiting_tokens| {
        let policy = TransferPolicy {
            may_read_from_store: &|_| true,
            may_write_stores: true,
            likely_engine: None,
            region_constraints: RegionConstraints {
                regions: &regions,
                route: &[],
                workspace: &[],
            },
            waiting_tokens,
            draw: 1.0,
        };
        caches.plan(&located, destination, policy)
    };
    let without = plan(None);
    assert_eq!((without.fetched_tokens, without.late_tokens), (TOKENS, 0));
    assert!(without.transfers.is_empty());
    let with = plan(Some(&busy));
    assert_eq!((with.fetched_tokens, with.late_tokens), (0, TOKENS));
    assert_eq!(with.computed_tokens, TOKENS);
}

/// Reads of a run, in numbers of parts.
#[derive(Debug, Default)]
struct Outcome {
    computed: u32,
    in_time: u32,
    late: u32,
}

const STORES: u16 = 4;
/// Largest fleet in which each daemon reports to every other one.
const MESH_DAEMONS_MAX: usize = 16;
/// Time between two reports of a daemon on its transfers in such a fleet, and in a larger one.
const REPORT_PERIODS_MS: [u64; 2] = [70, 200];
const RUN_MS: u64 = 60_000;
/// Share of the planned reads that a server carries out. The others are in its own cache.
const CARRIED_OUT: f64 = 0.75;

/// Daemons that plan reads of one part each from stores whose links carry less than is asked for.
struct Run {
    rng: SmallRng,
    accounts: Vec<LinkAccount>,
    /// Tokens that wait on each link, as each daemon last reported them.
    reported: Vec<Vec<f64>>,
    /// Time in milliseconds at which each link has carried what was asked of it.
    free_at_ms: Vec<f64>,
    outcome: Outcome,
}

impl Run {
    fn new(seed: u64, daemons: usize) -> Self {
        let stores = usize::from(STORES);
        Self {
            rng: SmallRng::seed_from_u64(seed),
            accounts: (0..daemons).map(|_| LinkAccount::default()).collect(),
            reported: vec![vec![0.0; stores]; daemons],
            free_at_ms: vec![0.0; stores],
            outcome: Outcome::default(),
        }
    }

    fn report(&mut self, daemon: usize, ms: u64) {
        for store in 0..STORES {
            let left = self.accounts[daemon].tokens_left(address(store), at(ms));
            self.reported[daemon][usize::from(store)] = left;
        }
    }

    fn request(&mut self, ms: u64, has_account: bool) {
        let daemon = self.rng.random_range(0..self.accounts.len());
        let store = self.rng.random_range(0..STORES);
        let (accounts, reported) = (&self.accounts, &self.reported);
        let waiting = |source: SocketAddr| {
            let others = reported
                .iter()
                .enumerate()
                .filter(|(one, _)| *one != daemon);
            let others: f64 = others
                .map(|(_, links)| links[usize::from(source.port())])
                .sum();
            accounts[daemon].tokens_left(source, at(ms)) + others
        };
        let idle = |_: SocketAddr| 0.0;
        let draw = self.rng.random();
        let mut reads = if has_account {
            TimelyReads::new(&waiting, draw)
        } else {
            TimelyReads::new(&idle, draw)
        };
        let chosen = reads.choose(TOKENS, COMPUTE_MS, std::iter::once(source(store, 1.0)));
        let transfers = reads.into_transfers();
        self.accounts[daemon].on_planned(&transfers, false, at(ms));
        if chosen.is_none() {
            self.outcome.computed += 1;
        } else if self.rng.random::<f64>() < CARRIED_OUT {
            self.carry_out(usize::from(store), ms);
        }
    }

    /// Carries a read out as a link does: one after another. One that does not end in time occupies
    /// the link up to its limit.
    fn carry_out(&mut self, store: usize, ms: u64) {
        let limit_ms = ms as f64 + fetch_time_limit(TOKENS).as_secs_f64() * 1000.0;
        let begins_ms = self.free_at_ms[store].max(ms as f64);
        let ends_ms = begins_ms + source(0, 1.0).transfer_ms;
        if ends_ms <= limit_ms {
            self.outcome.in_time += 1;
        } else {
            self.outcome.late += 1;
        }
        self.free_at_ms[store] = ends_ms.min(limit_ms).max(self.free_at_ms[store]);
    }
}

/// Runs daemons that are asked for `demand` times what the links carry.
fn run(seed: u64, daemons: usize, demand: f64, has_account: bool) -> Outcome {
    let mut run = Run::new(seed, daemons);
    let report_period_ms = REPORT_PERIODS_MS[usize::from(daemons > MESH_DAEMONS_MAX)];
    let per_ms = demand * f64::from(STORES) / source(0, 1.0).transfer_ms / CARRIED_OUT;
    for ms in 0..RUN_MS {
        for daemon in 0..daemons {
            if (ms + daemon as u64 * 7).is_multiple_of(report_period_ms) {
                run.report(daemon, ms);
            }
        }
        while_poisson(&mut run, per_ms, |run| run.request(ms, has_account));
    }
    run.outcome
}

/// Calls `request` for each arrival of a millisecond with `rate` arrivals on average.
fn while_poisson(run: &mut Run, rate: f64, mut request: impl FnMut(&mut Run)) {
    let limit = (-rate).exp();
    let mut product = run.rng.random::<f64>();
    while product > limit {
        request(run);
        product *= run.rng.random::<f64>();
    }
}

/// Guards against reads that are discarded because they arrive too late, under a load that asks for
/// 0.7 and 1.8 times what the links of the stores carry, with reports of 200 ms of age.
#[test]
fn few_reads_arrive_late_when_links_are_overloaded() {
    for seed in 0..3 {
        for (daemons, demand) in [(3, 0.7), (12, 1.8), (120, 1.8), (410, 1.8)] {
            let with = run(seed, daemons, demand, true);
            let without = run(seed, daemons, demand, false);
            let name = format!("seed {seed}, {daemons} daemons: {with:?}, without {without:?}");
            assert!(with.in_time * 100 >= without.in_time * 85, "{name}");
            if demand > 1.0 {
                assert!(without.late > with.late * 5, "{name}");
                assert!(with.in_time * 2 > without.in_time * 3, "{name}");
            }
        }
    }
}

/// Guards against reads that are planned although they cannot be in time: a tenth of them or more.
#[test]
fn few_planned_reads_are_late() {
    for seed in 0..3 {
        for daemons in [12, 120, 410] {
            let with = run(seed, daemons, 1.8, true);
            let reads = with.in_time + with.late;
            let name = format!("seed {seed}, {daemons} daemons: {with:?}");
            assert!(with.late * 10 < reads, "{name}");
        }
    }
}
