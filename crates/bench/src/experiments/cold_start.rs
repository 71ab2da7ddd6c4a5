//! Load on cold servers.
//!
//! All servers load weights and start cold under a load above their capacity, and a third of them
//! restart later without an announcement. A cold server fails when it gets more concurrent requests
//! than it sustains. Permits for cold servers come from one pool per server, as the fleet-wide
//! budget provides them.

use super::RunOptions;
use crate::report::{Figures, Report};
use anvilgw_core::{DomainId, ModelId, ServerId};
use anvilgw_router::{
    BlockSizes, ColdSettings, EngineRates, LoadReport, PrefixMatch, RouteRequest, Router,
    RouterSettings, SendOutcome, ServedModel, ServerSpec, WeightLoadLimiter, WeightVersion,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const SERVERS: usize = 18;
const DAEMONS: usize = 12;
const LOAD_RATIO_MAX: f64 = 1.0;
const TIME_RATIO_MAX: f64 = 1.3;
const COLD: ColdSettings = ColdSettings {
    cold_concurrency: 2,
    full_concurrency: 32,
    completions_per_step: 2.0,
};
const SERVICE_MS: u64 = 2_000;
const WEIGHT_LOAD_MS: u64 = 1_000;
const REPORT_EVERY_MS: u64 = 500;
const REPORT_LAG_MS: u64 = 250;
const RESTART_AT_MS: u64 = 60_000;
const RESTARTED: usize = SERVERS / 3;
const RUN_MS: u64 = 120_000;
/// Time in which a slow start by time reaches full capacity.
const RAMP_MS: f64 = 10_000.0;

/// How the load on a cold server is limited.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Limit {
    /// The product with fleet-wide permits.
    Product,
    /// Each daemon counts its own requests against the cold concurrency.
    PerDaemon,
    /// The limit of the whole fleet grows with time since the start.
    TimeRamp,
    /// The whole fleet always knows what each server sustains.
    Ideal,
}

#[derive(Clone, Copy, Default)]
struct Server {
    up: bool,
    started_ms: u64,
    running: u32,
    completed: u64,
    failures: u64,
    incarnation: u64,
    full_at_ms: Option<u64>,
}

#[derive(Clone, Debug)]
enum Event {
    Started(usize),
    Ended {
        server: usize,
        daemon: usize,
        incarnation: u64,
    },
    Measure,
    Report(Vec<(usize, LoadReport)>),
    Restart,
}

struct Model {
    limit: Limit,
    now_ms: u64,
    servers: [Server; SERVERS],
    routers: Vec<Router>,
    own: Vec<[u32; SERVERS]>,
    loads: WeightLoadLimiter,
    loads_peak: usize,
    /// Times of the events, by which they are found in `events`.
    agenda: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Event>,
    rng: StdRng,
    load_ratio_peak: f64,
}

fn sustained(server: &Server) -> u32 {
    let grown = (server.completed as f64 / COLD.completions_per_step) as u32;
    (COLD.cold_concurrency + grown).min(COLD.full_concurrency)
}

fn router() -> Router {
    let mut router = Router::new(RouterSettings::default());
    for id in 0..SERVERS {
        router.set_server(ServerSpec {
            id: ServerId(id as u32),
            domain: DomainId(id as u16 % 3),
            models: vec![ServedModel {
                model: ModelId(0),
                weight_version: WeightVersion(1),
                adapters: Vec::new(),
                rates: EngineRates {
                    prefill_tokens_per_s: 40_000.0,
                    decode_ms_per_token: 20.0,
                    mean_decode_tokens: 100.0,
                    max_concurrency: COLD.full_concurrency,
                },
                sizes: BlockSizes::default(),
            }],
            cold: COLD,
        });
        router.set_in_service(ServerId(id as u32), false);
    }
    router
}

impl Model {
    fn new(limit: Limit, seed: u64) -> Self {
        Self {
            limit,
            now_ms: 0,
            servers: [Server::default(); SERVERS],
            routers: (0..DAEMONS).map(|_| router()).collect(),
            own: vec![[0; SERVERS]; DAEMONS],
            loads: WeightLoadLimiter::new(
                WeightLoadLimiter::DEFAULT_LIMIT,
                Duration::from_secs(60),
            ),
            loads_peak: 0,
            agenda: BinaryHeap::new(),
            events: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            load_ratio_peak: 0.0,
        }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn add(&mut self, after_ms: u64, event: Event) {
        let position = self.events.len();
        self.agenda
            .push(Reverse((self.now_ms + after_ms, position)));
        self.events.push(event);
    }

    fn run(&mut self) {
        self.add(RESTART_AT_MS, Event::Restart);
        self.add(0, Event::Measure);
        self.load_weights();
        while let Some(Reverse((at, position))) = self.agenda.pop() {
            if at > RUN_MS {
                return;
            }
            self.now_ms = at;
            self.step(self.events[position].clone());
            self.fill();
        }
    }

    /// Starts as many weight loads as are allowed.
    fn load_weights(&mut self) {
        for id in 0..SERVERS {
            let server = ServerId(id as u32);
            let loaded = self.servers[id].started_ms > 0;
            if !loaded && self.loads.start(server, self.now()).is_ok() {
                self.add(WEIGHT_LOAD_MS, Event::Started(id));
            }
        }
        self.loads_peak = self.loads_peak.max(self.loads.running().count());
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Started(id) => {
                self.loads.end(ServerId(id as u32));
                self.start(id);
                for router in &mut self.routers {
                    router.set_in_service(ServerId(id as u32), true);
                }
                self.load_weights();
            }
            Event::Ended {
                server,
                daemon,
                incarnation,
            } => {
                if self.servers[server].incarnation == incarnation {
                    self.servers[server].running -= 1;
                    self.servers[server].completed += 1;
                    self.end(daemon, server, SendOutcome::Completed);
                    self.note_full(server);
                }
            }
            Event::Measure => self.measure(),
            Event::Report(reports) => self.report(&reports),
            Event::Restart => {
                for id in 0..RESTARTED {
                    self.break_all(id, SendOutcome::Failed);
                    self.start(id);
                }
            }
        }
    }

    fn start(&mut self, id: usize) {
        let server = &mut self.servers[id];
        *server = Server {
            up: true,
            started_ms: self.now_ms + 1,
            failures: server.failures,
            incarnation: server.incarnation + 1,
            ..Server::default()
        };
    }

    fn break_all(&mut self, id: usize, outcome: SendOutcome) {
        for daemon in 0..DAEMONS {
            for _ in 0..self.own[daemon][id] {
                self.end(daemon, id, outcome);
            }
        }
        self.servers[id].running = 0;
    }

    fn end(&mut self, daemon: usize, server: usize, outcome: SendOutcome) {
        self.own[daemon][server] -= 1;
        let now = self.now();
        self.routers[daemon].on_request_ended(ServerId(server as u32), outcome, now);
    }

    fn measure(&mut self) {
        let measured_at = self.now();
        let servers = self.servers.iter().enumerate().filter(|(_, s)| s.up);
        let reports = servers.map(|(id, server)| {
            let report = LoadReport {
                started_ms: server.started_ms,
                measured_at,
                running: server.running,
                completed: server.completed,
                cached_blocks: 1,
                ..LoadReport::default()
            };
            (id, report)
        });
        let reports = reports.collect();
        self.add(REPORT_LAG_MS, Event::Report(reports));
        self.add(REPORT_EVERY_MS, Event::Measure);
    }

    fn report(&mut self, reports: &[(usize, LoadReport)]) {
        let now = self.now();
        for (id, report) in reports {
            for router in &mut self.routers {
                router.on_load_report(ServerId(*id as u32), *report, now);
            }
        }
    }

    /// Requests that all daemons together may have on a server, as far as `daemon` may know.
    fn allowed(&self, daemon: usize, id: usize) -> u32 {
        let server = &self.servers[id];
        let running = server.running;
        match self.limit {
            // The pool has the size that the most cautious daemon derives from the reports.
            Limit::Product => {
                let capacity = |router: &Router| router.capacity(ServerId(id as u32));
                let pool = self.routers.iter().filter_map(capacity).min().unwrap_or(0);
                pool.saturating_sub(running)
            }
            Limit::PerDaemon => {
                let capacity = self.routers[daemon].capacity(ServerId(id as u32));
                capacity.unwrap_or(0).saturating_sub(self.own[daemon][id])
            }
            Limit::TimeRamp => {
                let age_ms = (self.now_ms + 1 - server.started_ms) as f64;
                let grown = f64::from(COLD.full_concurrency) * (age_ms / RAMP_MS);
                let allowed = (grown as u32).clamp(COLD.cold_concurrency, COLD.full_concurrency);
                allowed.saturating_sub(running)
            }
            Limit::Ideal => sustained(server).saturating_sub(running),
        }
    }

    /// Sends requests until no daemon finds a server: the load is above the capacity.
    fn fill(&mut self) {
        let first = self.rng.random_range(0..DAEMONS);
        for step in 0..DAEMONS {
            let daemon = (first + step) % DAEMONS;
            while let Some(server) = self.pick(daemon) {
                self.send(daemon, server);
            }
        }
    }

    fn pick(&mut self, daemon: usize) -> Option<usize> {
        let free: Vec<_> = (0..SERVERS)
            .map(|id| {
                if self.servers[id].up {
                    self.allowed(daemon, id)
                } else {
                    0
                }
            })
            .collect();
        if self.limit != Limit::Product {
            let up = (0..SERVERS).filter(|id| free[*id] > 0);
            return up.max_by_key(|id| free[*id]);
        }
        let now = self.now();
        let router = &mut self.routers[daemon];
        for (id, free) in free.iter().enumerate() {
            router.set_cold_permits(ServerId(id as u32), *free);
            // A warm server needs no permit; the daemon's plan limits bound its load elsewhere.
            let warm_and_full = router.cold_cause(ServerId(id as u32)).is_none() && *free == 0;
            router.set_in_service(ServerId(id as u32), self.servers[id].up && !warm_and_full);
        }
        let request = RouteRequest {
            model: ModelId(0),
            adapter: None,
            weight_version: WeightVersion(1),
            prompt_tokens: 100,
            tried: Vec::new(),
        };
        let decision = router.select(&request, &PrefixMatch::default(), now, &mut self.rng);
        let choice = decision.outcome.ok()?;
        router.on_request_sent(choice.server, choice.plan.prefill_tokens, now);
        Some(choice.server.0 as usize)
    }

    fn send(&mut self, daemon: usize, id: usize) {
        self.own[daemon][id] += 1;
        self.servers[id].running += 1;
        let server = self.servers[id];
        let ratio = f64::from(server.running) / f64::from(sustained(&server));
        self.load_ratio_peak = self.load_ratio_peak.max(ratio);
        if ratio > 1.0 {
            self.break_all(id, SendOutcome::Overloaded);
            let server = &mut self.servers[id];
            server.up = false;
            server.failures += 1;
            server.incarnation += 1;
            self.add(WEIGHT_LOAD_MS, Event::Started(id));
            return;
        }
        let jitter_ms = self.rng.random_range(0..SERVICE_MS / 2);
        let event = Event::Ended {
            server: id,
            daemon,
            incarnation: server.incarnation,
        };
        self.add(SERVICE_MS * 3 / 4 + jitter_ms, event);
        self.note_full(id);
    }

    fn note_full(&mut self, id: usize) {
        let now_ms = self.now_ms;
        let server = &mut self.servers[id];
        let full = server.running >= COLD.full_concurrency;
        if full && server.full_at_ms.is_none() {
            server.full_at_ms = Some(now_ms);
        }
    }
}

struct Reached {
    load_ratio_peak: f64,
    failures: u64,
    loads_peak: usize,
    /// Slowest server from its start to full load; a server that is not there at the end
    /// counts as the whole run.
    slowest_ms: u64,
}

fn reach(limit: Limit, seed: u64) -> Reached {
    let mut model = Model::new(limit, seed);
    model.run();
    let times = model.servers.iter().map(|server| {
        let full_at = server.full_at_ms.map(|full_at| full_at - server.started_ms);
        full_at.unwrap_or(RUN_MS)
    });
    Reached {
        load_ratio_peak: model.load_ratio_peak,
        failures: model.servers.iter().map(|server| server.failures).sum(),
        loads_peak: model.loads_peak,
        slowest_ms: times.max().unwrap_or(0),
    }
}

fn figures(figures: &mut Figures, prefix: &str, reached: &Reached) {
    figures.insert(
        format!("{prefix}load_to_sustained_peak"),
        reached.load_ratio_peak.into(),
    );
    figures.insert(
        format!("{prefix}failed_by_overload"),
        reached.failures.into(),
    );
    figures.insert(
        format!("{prefix}time_to_full_ms"),
        reached.slowest_ms.into(),
    );
}

/// Runs the experiment.
pub(super) fn experiment(options: RunOptions) -> Report {
    let ideal = reach(Limit::Ideal, options.seed);
    let reached = reach(Limit::Product, options.seed);
    let mut baseline = Figures::new();
    figures(
        &mut baseline,
        "per_daemon_",
        &reach(Limit::PerDaemon, options.seed),
    );
    figures(
        &mut baseline,
        "time_ramp_",
        &reach(Limit::TimeRamp, options.seed),
    );
    baseline.insert("ideal_time_to_full_ms".into(), ideal.slowest_ms.into());
    let mut product = Figures::new();
    figures(&mut product, "", &reached);
    product.insert(
        "concurrent_weight_loads_peak".into(),
        reached.loads_peak.into(),
    );
    let mut target = Figures::new();
    target.insert("load_to_sustained_max".into(), LOAD_RATIO_MAX.into());
    target.insert("failed_by_overload_max".into(), 0.into());
    target.insert("time_to_full_to_ideal_max".into(), TIME_RATIO_MAX.into());
    let limit = WeightLoadLimiter::DEFAULT_LIMIT;
    target.insert("concurrent_weight_loads_max".into(), limit.into());
    let time_ratio = reached.slowest_ms as f64 / ideal.slowest_ms as f64;
    let mut ratio = Figures::new();
    ratio.insert("time_to_full_to_ideal".into(), time_ratio.into());
    let pass = reached.load_ratio_peak <= LOAD_RATIO_MAX
        && reached.failures == 0
        && time_ratio <= TIME_RATIO_MAX
        && reached.loads_peak <= limit;
    Report {
        experiment: "cold-start",
        seed: options.seed,
        target,
        baseline,
        product,
        ratio,
        pass,
    }
}
