//! Load on cold servers, and the time until they reach full capacity.
//!
//! All servers load weights and start cold under a load above their capacity, and a third of them
//! restart later unannounced. A cold server fails when it gets more concurrent requests than it
//! sustains. Permits for cold servers come from one pool per server, which stands for the fleet-wide
//! budget.

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
const REPORT_INTERVAL_MS: u64 = 500;
const REPORT_LAG_MS: u64 = 250;
const RESTART_AT_MS: u64 = 60_000;
const RESTARTED_SERVERS: usize = SERVERS / 3;
const RUN_MS: u64 = 120_000;
/// Time in which [`Limit::TimeRamp`] reaches full concurrency.
const RAMP_MS: f64 = 10_000.0;

/// How the number of concurrent requests on a cold server is limited.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Limit {
    /// The gateway's routers share fleet-wide permits.
    Gateway,
    /// Each daemon counts only its own requests against the capacity that its router estimates.
    PerDaemon,
    /// The limit on the requests of all daemons grows with the time since the server's start.
    TimeRamp,
    /// All daemons know at any time what each server sustains.
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
    ServerStarted(usize),
    RequestEnded {
        server: usize,
        daemon: usize,
        incarnation: u64,
    },
    MeasureLoad,
    LoadReportsArrived(Vec<(usize, LoadReport)>),
    RestartServers,
}

struct ColdStartSimulation {
    limit: Limit,
    now_ms: u64,
    servers: [Server; SERVERS],
    routers: Vec<Router>,
    requests_by_daemon: Vec<[u32; SERVERS]>,
    weight_loads: WeightLoadLimiter,
    weight_loads_peak: usize,
    /// Time of each pending event in milliseconds, and its position in `events`.
    event_queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Event>,
    rng: StdRng,
    load_ratio_peak: f64,
}

/// Returns the number of concurrent requests at which a server fails if it gets more. It grows with
/// the requests that the server has completed.
fn sustained_concurrency(server: &Server) -> u32 {
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

impl ColdStartSimulation {
    fn new(limit: Limit, seed: u64) -> Self {
        Self {
            limit,
            now_ms: 0,
            servers: [Server::default(); SERVERS],
            routers: (0..DAEMONS).map(|_| router()).collect(),
            requests_by_daemon: vec![[0; SERVERS]; DAEMONS],
            weight_loads: WeightLoadLimiter::new(
                WeightLoadLimiter::DEFAULT_LIMIT,
                Duration::from_secs(60),
            ),
            weight_loads_peak: 0,
            event_queue: BinaryHeap::new(),
            events: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            load_ratio_peak: 0.0,
        }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        let position = self.events.len();
        self.event_queue
            .push(Reverse((self.now_ms + after_ms, position)));
        self.events.push(event);
    }

    fn run(&mut self) {
        self.schedule(RESTART_AT_MS, Event::RestartServers);
        self.schedule(0, Event::MeasureLoad);
        self.load_weights();
        while let Some(Reverse((at, position))) = self.event_queue.pop() {
            if at > RUN_MS {
                return;
            }
            self.now_ms = at;
            self.handle_event(self.events[position].clone());
            self.send_requests();
        }
    }

    /// Starts as many weight loads as the limiter permits.
    fn load_weights(&mut self) {
        for id in 0..SERVERS {
            let server = ServerId(id as u32);
            let loaded = self.servers[id].started_ms > 0;
            if !loaded && self.weight_loads.start(server, self.now()).is_ok() {
                self.schedule(WEIGHT_LOAD_MS, Event::ServerStarted(id));
            }
        }
        self.weight_loads_peak = self
            .weight_loads_peak
            .max(self.weight_loads.running().count());
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ServerStarted(id) => {
                self.weight_loads.end(ServerId(id as u32));
                self.start_server(id);
                for router in &mut self.routers {
                    router.set_in_service(ServerId(id as u32), true);
                }
                self.load_weights();
            }
            Event::RequestEnded {
                server,
                daemon,
                incarnation,
            } => {
                if self.servers[server].incarnation == incarnation {
                    self.servers[server].running -= 1;
                    self.servers[server].completed += 1;
                    self.end_request(daemon, server, SendOutcome::Completed);
                    self.record_full_load(server);
                }
            }
            Event::MeasureLoad => self.measure_load(),
            Event::LoadReportsArrived(reports) => self.deliver_reports(&reports),
            Event::RestartServers => {
                for id in 0..RESTARTED_SERVERS {
                    self.end_all_requests(id, SendOutcome::Failed);
                    self.start_server(id);
                }
            }
        }
    }

    fn start_server(&mut self, id: usize) {
        let server = &mut self.servers[id];
        *server = Server {
            up: true,
            started_ms: self.now_ms + 1,
            failures: server.failures,
            incarnation: server.incarnation + 1,
            ..Server::default()
        };
    }

    /// Ends all requests on a server with the same outcome.
    fn end_all_requests(&mut self, id: usize, outcome: SendOutcome) {
        for daemon in 0..DAEMONS {
            for _ in 0..self.requests_by_daemon[daemon][id] {
                self.end_request(daemon, id, outcome);
            }
        }
        self.servers[id].running = 0;
    }

    fn end_request(&mut self, daemon: usize, server: usize, outcome: SendOutcome) {
        self.requests_by_daemon[daemon][server] -= 1;
        let now = self.now();
        self.routers[daemon].on_request_ended(ServerId(server as u32), outcome, now);
    }

    fn measure_load(&mut self) {
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
        self.schedule(REPORT_LAG_MS, Event::LoadReportsArrived(reports));
        self.schedule(REPORT_INTERVAL_MS, Event::MeasureLoad);
    }

    fn deliver_reports(&mut self, reports: &[(usize, LoadReport)]) {
        let now = self.now();
        for (id, report) in reports {
            for router in &mut self.routers {
                router.on_load_report(ServerId(*id as u32), *report, now);
            }
        }
    }

    /// Returns how many further requests `daemon` may send to a server.
    fn free_concurrency(&self, daemon: usize, id: usize) -> u32 {
        let server = &self.servers[id];
        let running = server.running;
        match self.limit {
            // The pool has the lowest capacity that any daemon derives from the load reports.
            Limit::Gateway => {
                let capacity = |router: &Router| router.capacity(ServerId(id as u32));
                let pool = self.routers.iter().filter_map(capacity).min().unwrap_or(0);
                pool.saturating_sub(running)
            }
            Limit::PerDaemon => {
                let capacity = self.routers[daemon].capacity(ServerId(id as u32));
                capacity
                    .unwrap_or(0)
                    .saturating_sub(self.requests_by_daemon[daemon][id])
            }
            Limit::TimeRamp => {
                let age_ms = (self.now_ms + 1 - server.started_ms) as f64;
                let grown = f64::from(COLD.full_concurrency) * (age_ms / RAMP_MS);
                let limit = (grown as u32).clamp(COLD.cold_concurrency, COLD.full_concurrency);
                limit.saturating_sub(running)
            }
            Limit::Ideal => sustained_concurrency(server).saturating_sub(running),
        }
    }

    /// Sends requests until no daemon finds a server, since the load exceeds the capacity.
    fn send_requests(&mut self) {
        let first = self.rng.random_range(0..DAEMONS);
        for step in 0..DAEMONS {
            let daemon = (first + step) % DAEMONS;
            while let Some(server) = self.select_server(daemon) {
                self.send_request(daemon, server);
            }
        }
    }

    fn select_server(&mut self, daemon: usize) -> Option<usize> {
        let free: Vec<_> = (0..SERVERS)
            .map(|id| {
                if self.servers[id].up {
                    self.free_concurrency(daemon, id)
                } else {
                    0
                }
            })
            .collect();
        if self.limit != Limit::Gateway {
            let up = (0..SERVERS).filter(|id| free[*id] > 0);
            return up.max_by_key(|id| free[*id]);
        }
        let now = self.now();
        let router = &mut self.routers[daemon];
        for (id, free) in free.iter().enumerate() {
            router.set_cold_permits(ServerId(id as u32), *free);
            // A warm server needs no permit. In the gateway, plan limits bound its load.
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

    /// Sends a request to a server, which fails and reloads its weights if it is overloaded.
    fn send_request(&mut self, daemon: usize, id: usize) {
        self.requests_by_daemon[daemon][id] += 1;
        self.servers[id].running += 1;
        let server = self.servers[id];
        let ratio = f64::from(server.running) / f64::from(sustained_concurrency(&server));
        self.load_ratio_peak = self.load_ratio_peak.max(ratio);
        if ratio > 1.0 {
            self.end_all_requests(id, SendOutcome::Overloaded);
            let server = &mut self.servers[id];
            server.up = false;
            server.failures += 1;
            server.incarnation += 1;
            self.schedule(WEIGHT_LOAD_MS, Event::ServerStarted(id));
            return;
        }
        let jitter_ms = self.rng.random_range(0..SERVICE_MS / 2);
        let event = Event::RequestEnded {
            server: id,
            daemon,
            incarnation: server.incarnation,
        };
        self.schedule(SERVICE_MS * 3 / 4 + jitter_ms, event);
        self.record_full_load(id);
    }

    /// Records when a server has reached full concurrency for the first time since its start.
    fn record_full_load(&mut self, id: usize) {
        let now_ms = self.now_ms;
        let server = &mut self.servers[id];
        let full = server.running >= COLD.full_concurrency;
        if full && server.full_at_ms.is_none() {
            server.full_at_ms = Some(now_ms);
        }
    }
}

struct Measurements {
    load_ratio_peak: f64,
    failures: u64,
    weight_loads_peak: usize,
    /// Longest time of a server from its start to full concurrency. A server that has not reached
    /// it by the end counts with the duration of the run.
    time_to_full_ms_max: u64,
}

fn simulate(limit: Limit, seed: u64) -> Measurements {
    let mut simulation = ColdStartSimulation::new(limit, seed);
    simulation.run();
    let times = simulation.servers.iter().map(|server| {
        let full_at = server.full_at_ms.map(|full_at| full_at - server.started_ms);
        full_at.unwrap_or(RUN_MS)
    });
    Measurements {
        load_ratio_peak: simulation.load_ratio_peak,
        failures: simulation
            .servers
            .iter()
            .map(|server| server.failures)
            .sum(),
        weight_loads_peak: simulation.weight_loads_peak,
        time_to_full_ms_max: times.max().unwrap_or(0),
    }
}

fn insert_figures(figures: &mut Figures, prefix: &str, measured: &Measurements) {
    figures.insert(
        format!("{prefix}load_to_sustained_peak"),
        measured.load_ratio_peak.into(),
    );
    figures.insert(
        format!("{prefix}failed_by_overload"),
        measured.failures.into(),
    );
    figures.insert(
        format!("{prefix}time_to_full_ms"),
        measured.time_to_full_ms_max.into(),
    );
}

/// Measures the gateway's limit against the ideal one, and reports the other two as baselines.
pub(super) fn experiment(options: RunOptions) -> Report {
    let ideal = simulate(Limit::Ideal, options.seed);
    let measured = simulate(Limit::Gateway, options.seed);
    let mut baseline = Figures::new();
    insert_figures(
        &mut baseline,
        "per_daemon_",
        &simulate(Limit::PerDaemon, options.seed),
    );
    insert_figures(
        &mut baseline,
        "time_ramp_",
        &simulate(Limit::TimeRamp, options.seed),
    );
    baseline.insert(
        "ideal_time_to_full_ms".into(),
        ideal.time_to_full_ms_max.into(),
    );
    let mut product = Figures::new();
    insert_figures(&mut product, "", &measured);
    product.insert(
        "concurrent_weight_loads_peak".into(),
        measured.weight_loads_peak.into(),
    );
    let mut target = Figures::new();
    target.insert("load_to_sustained_max".into(), LOAD_RATIO_MAX.into());
    target.insert("failed_by_overload_max".into(), 0.into());
    target.insert("time_to_full_to_ideal_max".into(), TIME_RATIO_MAX.into());
    let limit = WeightLoadLimiter::DEFAULT_LIMIT;
    target.insert("concurrent_weight_loads_max".into(), limit.into());
    let time_ratio = measured.time_to_full_ms_max as f64 / ideal.time_to_full_ms_max as f64;
    let mut ratio = Figures::new();
    ratio.insert("time_to_full_to_ideal".into(), time_ratio.into());
    let pass = measured.load_ratio_peak <= LOAD_RATIO_MAX
        && measured.failures == 0
        && time_ratio <= TIME_RATIO_MAX
        && measured.weight_loads_peak <= limit;
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
