//! Latency of a small workspace beside one at 100 times its plan.
//!
//! Each daemon has a number of places at the backend servers; a request holds one for a time in
//! proportion to its tokens. Eight other workspaces load the daemons to a part of their capacity.
//! The baseline serves requests in order of arrival without limits.

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

const RATIO_MAX: f64 = 1.1;
const DAEMONS: usize = 4;
const SLOTS: u32 = 16;
/// Tokens that a place serves per second.
const TOKENS_PER_S: f64 = 40_000.0;
const MEAN_TOKENS: f64 = 4_000.0;
const SMALL: u32 = 0;
const FLOODING: u32 = 1;
const OTHERS: std::ops::Range<u32> = 2..10;
const SMALL_PER_S: f64 = 10.0;
/// Plan of the flooding workspace; it sends 100 times as much.
const FLOOD_PLAN_PER_S: f64 = 60.0;
const FLOOD_FACTOR: f64 = 100.0;
/// With the flooding workspace at its plan, 80% of the capacity.
const OTHERS_PER_S: f64 = 55.0;
/// Plan of a workspace divided by its load, so that its own plan does not delay it.
const SPARE_PLAN: f64 = 10.0;
const DEADLINE: Duration = Duration::from_secs(10);
const RUN_S: f64 = 120.0;
const RUN_LONG_S: f64 = 1_200.0;

/// How the flood reaches the daemons.
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

/// One of the two ways to admit.
enum Gate {
    Product(Box<Admission>),
    InOrder(VecDeque<usize>, u32),
}

struct Run<'a> {
    arrivals: &'a [Arrival],
    gates: Vec<Gate>,
    /// Ends of requests and wake-ups: time, daemon and request if it ends.
    agenda: BinaryHeap<Reverse<(u64, usize, Option<usize>)>>,
    /// Next wake-up of each daemon.
    wakes: [u64; DAEMONS],
    small_us: Histogram<u64>,
    small_refused: u64,
    flood_refused: u64,
}

/// Background and flood have generators of their own, so the background is the same with and
/// without a flood.
fn arrivals(seed: u64, run_s: f64, flood: Flood) -> Vec<Arrival> {
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
    add(SMALL, SMALL_PER_S, None);
    OTHERS.for_each(|workspace| add(workspace, OTHERS_PER_S, None));
    if flood != Flood::None {
        let daemon = (flood == Flood::OneDaemon).then_some(0);
        add(FLOODING, FLOOD_PLAN_PER_S * FLOOD_FACTOR, daemon);
    }
    arrivals.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    arrivals
}

fn admission() -> Gate {
    let service_tokens_per_s = f64::from(SLOTS) * TOKENS_PER_S;
    let mut admission = Admission::new(AdmissionSettings {
        slots: SLOTS,
        service_tokens_per_s,
        ..AdmissionSettings::default()
    });
    let plans = [
        (SMALL, SPARE_PLAN * SMALL_PER_S),
        (FLOODING, FLOOD_PLAN_PER_S),
    ];
    let others = OTHERS.map(|workspace| (workspace, SPARE_PLAN * OTHERS_PER_S));
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
    Gate::Product(Box::new(admission))
}

fn time(ns: u64) -> Duration {
    Duration::from_nanos(ns)
}

impl Run<'_> {
    fn run(&mut self) {
        let mut next = 0;
        loop {
            let arrival_ns = self.arrivals.get(next).map(|a| (a.at_s * 1e9) as u64);
            let event_ns = self.agenda.peek().map(|Reverse((at, ..))| *at);
            match (arrival_ns, event_ns) {
                (Some(arrival), event) if event.is_none_or(|event| arrival <= event) => {
                    self.arrive(next, arrival);
                    next += 1;
                }
                (_, Some(_)) => {
                    if let Some(Reverse((at, daemon, ended))) = self.agenda.pop() {
                        self.end(daemon, ended, at);
                    }
                }
                _ => return,
            }
        }
    }

    fn arrive(&mut self, id: usize, now: u64) {
        let arrival = self.arrivals[id];
        match &mut self.gates[arrival.daemon] {
            Gate::InOrder(queue, _) => queue.push_back(id),
            Gate::Product(admission) => {
                let offer = AdmissionRequest {
                    id: RequestId(id as u128),
                    workspace: WorkspaceId(arrival.workspace),
                    cost_tokens: arrival.tokens,
                    start_by: time(now) + DEADLINE,
                };
                if admission.enqueue(offer, time(now)).is_err() {
                    self.refuse(id);
                }
            }
        }
        self.poll(arrival.daemon, now);
    }

    fn end(&mut self, daemon: usize, ended: Option<usize>, now: u64) {
        if let Some(id) = ended {
            let arrival = self.arrivals[id];
            match &mut self.gates[daemon] {
                Gate::InOrder(_, running) => *running -= 1,
                Gate::Product(admission) => {
                    admission.on_request_ended(RequestId(id as u128), arrival.tokens, time(now));
                }
            }
            if arrival.workspace == SMALL {
                let latency_us = (now as f64 - arrival.at_s * 1e9) / 1e3;
                self.small_us.saturating_record(latency_us as u64);
            }
        }
        if self.wakes[daemon] <= now {
            self.wakes[daemon] = u64::MAX;
        }
        self.poll(daemon, now);
    }

    fn poll(&mut self, daemon: usize, now: u64) {
        let mut started = Vec::new();
        match &mut self.gates[daemon] {
            Gate::InOrder(queue, running) => {
                while *running < SLOTS {
                    let Some(id) = queue.pop_front() else { break };
                    *running += 1;
                    started.push(id);
                }
            }
            Gate::Product(admission) => {
                let mut refused = Vec::new();
                for action in admission.poll(time(now)) {
                    match action {
                        AdmissionAction::Start { request, .. } => started.push(request.0 as usize),
                        AdmissionAction::Refuse { request, .. } => refused.push(request.0 as usize),
                    }
                }
                if let Some(wake) = admission.next_wakeup(time(now)) {
                    let wake = (wake.as_nanos() as u64).max(now + 1);
                    if wake < self.wakes[daemon] {
                        self.wakes[daemon] = wake;
                        self.agenda.push(Reverse((wake, daemon, None)));
                    }
                }
                refused.into_iter().for_each(|id| self.refuse(id));
            }
        }
        for id in started {
            let service_ns = self.arrivals[id].tokens as f64 / TOKENS_PER_S * 1e9;
            let end = now + service_ns as u64;
            self.agenda.push(Reverse((end, daemon, Some(id))));
        }
    }

    fn refuse(&mut self, id: usize) {
        match self.arrivals[id].workspace {
            SMALL => self.small_refused += 1,
            FLOODING => self.flood_refused += 1,
            _ => {}
        }
    }
}

struct Reached {
    p95_ms: f64,
    p99_ms: f64,
    small_refused: u64,
    flood_refused: u64,
}

fn reach(arrivals: &[Arrival], gate: fn() -> Gate) -> Reached {
    let mut run = Run {
        arrivals,
        gates: (0..DAEMONS).map(|_| gate()).collect(),
        agenda: BinaryHeap::new(),
        wakes: [u64::MAX; DAEMONS],
        small_us: Histogram::new_with_bounds(1, 3_600_000_000, 3)
            .expect("bounds and digits are valid"),
        small_refused: 0,
        flood_refused: 0,
    };
    run.run();
    Reached {
        p95_ms: run.small_us.value_at_quantile(0.95) as f64 / 1e3,
        p99_ms: run.small_us.value_at_quantile(0.99) as f64 / 1e3,
        small_refused: run.small_refused,
        flood_refused: run.flood_refused,
    }
}

/// Runs the experiment.
pub(super) fn experiment(options: RunOptions) -> Report {
    let run_s = if options.long { RUN_LONG_S } else { RUN_S };
    let floods: HashMap<_, _> = [
        ("alone", Flood::None),
        ("one_daemon", Flood::OneDaemon),
        ("all_daemons", Flood::AllDaemons),
    ]
    .map(|(name, flood)| (name, arrivals(options.seed, run_s, flood)))
    .into();
    let alone = reach(&floods["alone"], admission);
    let mut baseline = Figures::new();
    let mut product = Figures::new();
    let mut ratio = Figures::new();
    product.insert("alone_p95_ms".into(), alone.p95_ms.into());
    product.insert("alone_p99_ms".into(), alone.p99_ms.into());
    let mut pass = alone.small_refused == 0;
    for name in ["one_daemon", "all_daemons"] {
        let in_order = reach(&floods[name], || Gate::InOrder(VecDeque::new(), 0));
        baseline.insert(format!("{name}_p95_ms"), in_order.p95_ms.into());
        baseline.insert(format!("{name}_p99_ms"), in_order.p99_ms.into());
        let reached = reach(&floods[name], admission);
        product.insert(format!("{name}_p95_ms"), reached.p95_ms.into());
        product.insert(format!("{name}_p99_ms"), reached.p99_ms.into());
        product.insert(
            format!("{name}_small_refused"),
            reached.small_refused.into(),
        );
        product.insert(
            format!("{name}_flood_refused"),
            reached.flood_refused.into(),
        );
        let p95 = reached.p95_ms / alone.p95_ms;
        let p99 = reached.p99_ms / alone.p99_ms;
        ratio.insert(format!("{name}_p95_to_alone"), p95.into());
        ratio.insert(format!("{name}_p99_to_alone"), p99.into());
        pass &= p95 <= RATIO_MAX && p99 <= RATIO_MAX && reached.small_refused == 0;
    }
    let mut target = Figures::new();
    target.insert("p95_and_p99_to_alone_max".into(), RATIO_MAX.into());
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
