//! Latency of a small workspace while another workspace sends 100 times its plan.
//!
//! Each daemon has a fixed number of slots at the backend servers, and a request occupies one for a
//! time in proportion to its tokens. Eight other workspaces use part of the capacity. The baseline
//! serves requests in order of arrival without limits.

use super::RunOptions;
use crate::report::{Figures, Report};
use anvilgw_admission::{
    Admission, AdmissionAction, AdmissionRequest, AdmissionSettings, PlanLimits, PlanShare,
    Priority,
};
use anvilgw_core::{RequestId, WorkspaceId};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

const LATENCY_RATIO_MAX: f64 = 1.1;
const DAEMONS: usize = 4;
const SLOTS: u32 = 16;
/// Tokens that a slot serves per second.
const TOKENS_PER_S: f64 = 40_000.0;
const MEAN_TOKENS: f64 = 4_000.0;
const SMALL_WORKSPACE: u32 = 0;
const FLOODING_WORKSPACE: u32 = 1;
const OTHER_WORKSPACES: std::ops::Range<u32> = 2..10;
const SMALL_PER_S: f64 = 10.0;
/// Planned requests per second of the flooding workspace, which sends [`FLOOD_FACTOR`] times as
/// many.
const FLOOD_PLAN_PER_S: f64 = 60.0;
const FLOOD_FACTOR: f64 = 100.0;
/// Requests per second of each other workspace. With the flooding workspace at its plan, they use
/// 80% of the capacity.
const OTHERS_PER_S: f64 = 55.0;
/// Plan of each workspace but the flooding one, as a multiple of its load, so that its plan does
/// not delay its requests.
const PLAN_TO_LOAD_RATIO: f64 = 10.0;
const DEADLINE: Duration = Duration::from_secs(10);
const RUN_S: f64 = 120.0;
const RUN_LONG_S: f64 = 1_200.0;

/// Which daemons receive the requests of the flooding workspace.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Flood {
    None,
    OneDaemon,
    AllDaemons,
}

#[derive(Clone, Copy)]
struct Arrival {
    at_s: f64,
    daemon: usize,
    workspace: u32,
    tokens: u64,
}

/// Admission policy of a daemon.
enum AdmissionPolicy {
    Gateway(Box<Admission>),
    Fifo(VecDeque<usize>, u32),
}

struct AdmissionSimulation<'a> {
    arrivals: &'a [Arrival],
    policies: Vec<AdmissionPolicy>,
    /// Ends of requests and wake-ups of daemons: time in nanoseconds, daemon, and the request that
    /// ends, which is `None` for a wake-up.
    event_queue: BinaryHeap<Reverse<(u64, usize, Option<usize>)>>,
    /// Time of the next wake-up of each daemon in nanoseconds; `u64::MAX` if none is scheduled.
    next_wakeups: [u64; DAEMONS],
    small_latency_us: Histogram<u64>,
    small_refused: u64,
    flood_refused: u64,
}

/// Generates the arrivals of all workspaces in order of time. Each workspace has a random number
/// generator of its own, so the other arrivals are the same with and without a flood.
fn generate_arrivals(seed: u64, run_s: f64, flood: Flood) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut add = |workspace: u32, rate_per_s: f64, daemon: Option<usize>| {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000) + u64::from(workspace));
        let exponential = |rng: &mut StdRng| -rng.random::<f64>().max(1e-12).ln();
        let mut at_s = 0.0;
        loop {
            at_s += exponential(&mut rng) / rate_per_s;
            if at_s > run_s {
                return;
            }
            let drawn = rng.random_range(0..DAEMONS);
            arrivals.push(Arrival {
                at_s,
                daemon: daemon.unwrap_or(drawn),
                workspace,
                tokens: (exponential(&mut rng) * MEAN_TOKENS) as u64 + 1,
            });
        }
    };
    add(SMALL_WORKSPACE, SMALL_PER_S, None);
    OTHER_WORKSPACES.for_each(|workspace| add(workspace, OTHERS_PER_S, None));
    if flood != Flood::None {
        let daemon = (flood == Flood::OneDaemon).then_some(0);
        add(FLOODING_WORKSPACE, FLOOD_PLAN_PER_S * FLOOD_FACTOR, daemon);
    }
    arrivals.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    arrivals
}

fn gateway_policy() -> AdmissionPolicy {
    let service_tokens_per_s = f64::from(SLOTS) * TOKENS_PER_S;
    let mut admission = Admission::new(AdmissionSettings {
        slots: SLOTS,
        service_tokens_per_s,
        ..AdmissionSettings::default()
    });
    let plans = [
        (SMALL_WORKSPACE, PLAN_TO_LOAD_RATIO * SMALL_PER_S),
        (FLOODING_WORKSPACE, FLOOD_PLAN_PER_S),
    ];
    let others = OTHER_WORKSPACES.map(|workspace| (workspace, PLAN_TO_LOAD_RATIO * OTHERS_PER_S));
    for (workspace, whole_per_s) in plans.into_iter().chain(others) {
        let share_per_s = whole_per_s / DAEMONS as f64;
        let share = PlanShare {
            requests_per_s: share_per_s,
            tokens_per_s: share_per_s * MEAN_TOKENS,
            burst_requests: share_per_s,
            burst_tokens: share_per_s * MEAN_TOKENS,
            concurrency: SLOTS / 2,
        };
        let limits = PlanLimits {
            weight: 1,
            priority: Priority::Normal,
            share,
        };
        admission.set_limits(WorkspaceId(workspace), limits, Duration::ZERO);
    }
    AdmissionPolicy::Gateway(Box::new(admission))
}

fn duration_from_ns(ns: u64) -> Duration {
    Duration::from_nanos(ns)
}

impl AdmissionSimulation<'_> {
    fn run(&mut self) {
        let mut next = 0;
        loop {
            let arrival_ns = self.arrivals.get(next).map(|a| (a.at_s * 1e9) as u64);
            let event_ns = self.event_queue.peek().map(|Reverse((at, ..))| *at);
            match (arrival_ns, event_ns) {
                (Some(arrival), event) if event.is_none_or(|event| arrival <= event) => {
                    self.on_request_arrived(next, arrival);
                    next += 1;
                }
                (_, Some(_)) => {
                    if let Some(Reverse((at, daemon, ended))) = self.event_queue.pop() {
                        self.handle_event(daemon, ended, at);
                    }
                }
                _ => return,
            }
        }
    }

    fn on_request_arrived(&mut self, id: usize, now: u64) {
        let arrival = self.arrivals[id];
        match &mut self.policies[arrival.daemon] {
            AdmissionPolicy::Fifo(queue, _) => queue.push_back(id),
            AdmissionPolicy::Gateway(admission) => {
                let request = AdmissionRequest {
                    id: RequestId(id as u128),
                    workspace: WorkspaceId(arrival.workspace),
                    cost_tokens: arrival.tokens,
                    start_by: duration_from_ns(now) + DEADLINE,
                };
                if admission.enqueue(request, duration_from_ns(now)).is_err() {
                    self.record_refusal(id);
                }
            }
        }
        self.poll(arrival.daemon, now);
    }

    fn handle_event(&mut self, daemon: usize, ended: Option<usize>, now: u64) {
        if let Some(id) = ended {
            let arrival = self.arrivals[id];
            match &mut self.policies[daemon] {
                AdmissionPolicy::Fifo(_, running) => *running -= 1,
                AdmissionPolicy::Gateway(admission) => {
                    admission.on_request_ended(
                        RequestId(id as u128),
                        arrival.tokens,
                        duration_from_ns(now),
                    );
                }
            }
            if arrival.workspace == SMALL_WORKSPACE {
                let latency_us = (now as f64 - arrival.at_s * 1e9) / 1e3;
                self.small_latency_us.saturating_record(latency_us as u64);
            }
        }
        if self.next_wakeups[daemon] <= now {
            self.next_wakeups[daemon] = u64::MAX;
        }
        self.poll(daemon, now);
    }

    fn poll(&mut self, daemon: usize, now: u64) {
        let mut started = Vec::new();
        match &mut self.policies[daemon] {
            AdmissionPolicy::Fifo(queue, running) => {
                while *running < SLOTS {
                    let Some(id) = queue.pop_front() else { break };
                    *running += 1;
                    started.push(id);
                }
            }
            AdmissionPolicy::Gateway(admission) => {
                let mut refused = Vec::new();
                for action in admission.poll(duration_from_ns(now)) {
                    match action {
                        AdmissionAction::Start { request, .. } => started.push(request.0 as usize),
                        AdmissionAction::Refuse { request, .. } => refused.push(request.0 as usize),
                    }
                }
                if let Some(wakeup) = admission.next_wakeup(duration_from_ns(now)) {
                    let wakeup = (wakeup.as_nanos() as u64).max(now + 1);
                    if wakeup < self.next_wakeups[daemon] {
                        self.next_wakeups[daemon] = wakeup;
                        self.event_queue.push(Reverse((wakeup, daemon, None)));
                    }
                }
                refused.into_iter().for_each(|id| self.record_refusal(id));
            }
        }
        for id in started {
            let service_ns = self.arrivals[id].tokens as f64 / TOKENS_PER_S * 1e9;
            let end = now + service_ns as u64;
            self.event_queue.push(Reverse((end, daemon, Some(id))));
        }
    }

    fn record_refusal(&mut self, id: usize) {
        match self.arrivals[id].workspace {
            SMALL_WORKSPACE => self.small_refused += 1,
            FLOODING_WORKSPACE => self.flood_refused += 1,
            _ => {}
        }
    }
}

struct Measurements {
    p95_ms: f64,
    p99_ms: f64,
    small_refused: u64,
    flood_refused: u64,
}

fn simulate(arrivals: &[Arrival], policy: fn() -> AdmissionPolicy) -> Measurements {
    let mut simulation = AdmissionSimulation {
        arrivals,
        policies: (0..DAEMONS).map(|_| policy()).collect(),
        event_queue: BinaryHeap::new(),
        next_wakeups: [u64::MAX; DAEMONS],
        small_latency_us: Histogram::new_with_bounds(1, 3_600_000_000, 3)
            .expect("bounds and digits are valid"),
        small_refused: 0,
        flood_refused: 0,
    };
    simulation.run();
    Measurements {
        p95_ms: simulation.small_latency_us.value_at_quantile(0.95) as f64 / 1e3,
        p99_ms: simulation.small_latency_us.value_at_quantile(0.99) as f64 / 1e3,
        small_refused: simulation.small_refused,
        flood_refused: simulation.flood_refused,
    }
}

/// Measures the latency of the small workspace alone, and with a flood at one or at all daemons.
pub(super) fn experiment(options: RunOptions) -> Report {
    let run_s = if options.long { RUN_LONG_S } else { RUN_S };
    let floods: HashMap<_, _> = [
        ("alone", Flood::None),
        ("one_daemon", Flood::OneDaemon),
        ("all_daemons", Flood::AllDaemons),
    ]
    .map(|(name, flood)| (name, generate_arrivals(options.seed, run_s, flood)))
    .into();
    let alone = simulate(&floods["alone"], gateway_policy);
    let mut baseline = Figures::new();
    let mut product = Figures::new();
    let mut ratio = Figures::new();
    product.insert("alone_p95_ms".into(), alone.p95_ms.into());
    product.insert("alone_p99_ms".into(), alone.p99_ms.into());
    let mut pass = alone.small_refused == 0;
    for name in ["one_daemon", "all_daemons"] {
        let fifo = simulate(&floods[name], || AdmissionPolicy::Fifo(VecDeque::new(), 0));
        baseline.insert(format!("{name}_p95_ms"), fifo.p95_ms.into());
        baseline.insert(format!("{name}_p99_ms"), fifo.p99_ms.into());
        let measured = simulate(&floods[name], gateway_policy);
        product.insert(format!("{name}_p95_ms"), measured.p95_ms.into());
        product.insert(format!("{name}_p99_ms"), measured.p99_ms.into());
        product.insert(
            format!("{name}_small_refused"),
            measured.small_refused.into(),
        );
        product.insert(
            format!("{name}_flood_refused"),
            measured.flood_refused.into(),
        );
        let p95 = measured.p95_ms / alone.p95_ms;
        let p99 = measured.p99_ms / alone.p99_ms;
        ratio.insert(format!("{name}_p95_to_alone"), p95.into());
        ratio.insert(format!("{name}_p99_to_alone"), p99.into());
        pass &= p95 <= LATENCY_RATIO_MAX && p99 <= LATENCY_RATIO_MAX && measured.small_refused == 0;
    }
    let mut target = Figures::new();
    target.insert("p95_and_p99_to_alone_max".into(), LATENCY_RATIO_MAX.into());
    target.insert("small_refused_max".into(), 0.into());
    Report {
        experiment: "noisy-neighbour",
        seed: options.seed,
        target,
        baseline,
        product,
        ratio,
        pass,
    }
}
