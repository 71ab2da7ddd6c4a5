//! Admission of prompts under overload.

use crate::engines::{Engine, TOKENS_PER_MS, at, candidate, requirement};
use anvilgw_gateway::overload::{
    Demand, FleetLoad, MoreUrgent, OverloadSpan, RejectReason, Throttle, admit,
};
use anvilgw_gateway::server_speed::ServiceSpeed;
use anvilgw_gateway::start_estimate::{Candidate, ServerWork, StartEstimate};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;

const ENGINES: usize = 6;
const STEP_MS: f64 = 5.0;
/// Latency targets by urgency.
const TARGETS_MS: [f64; 3] = [400.0, 800.0, 2_000.0];

fn demand(urgency: usize) -> Demand {
    let routes = TARGETS_MS
        .iter()
        .zip(0..)
        .map(|(ms, other)| (other, at(*ms)));
    Demand {
        latency_target: at(TARGETS_MS[urgency]),
        more_urgent: MoreUrgent::among(routes, urgency as u8),
        waited: Duration::ZERO,
        remaining: Duration::from_secs(10),
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: f64,
    rejected: f64,
    in_time: f64,
}

impl Count {
    fn served_share(&self) -> f64 {
        1.0 - self.rejected / self.sent
    }

    fn in_time_share(&self) -> f64 {
        self.in_time / (self.sent - self.rejected)
    }
}

/// A fleet whose daemons know the load at the engines with a delay.
struct Fleet {
    rng: SmallRng,
    engines: Vec<Engine>,
    service: ServiceSpeed,
    throttle: Throttle,
    /// Work at the engines, newest last.
    reports: VecDeque<Vec<ServerWork>>,
    delay_ms: f64,
    now_ms: f64,
    /// Counts by urgency, and of small and large prompts.
    by_urgency: [Count; 3],
    by_size: [Count; 2],
}

impl Fleet {
    fn new(seed: u64, delay_ms: f64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            service: ServiceSpeed::default(),
            throttle: Throttle::default(),
            reports: VecDeque::new(),
            delay_ms,
            now_ms: 0.0,
            by_urgency: [Count::default(); 3],
            by_size: [Count::default(); 2],
        }
    }

    /// Sends prompts for the given fractions of the engines' capacity, by urgency.
    fn run(&mut self, duration_ms: f64, load: [f64; 3]) {
        self.by_urgency = [Count::default(); 3];
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            let now_ms = self.now_ms;
            for engine in &mut self.engines {
                engine.advance(&mut self.service, now_ms);
            }
            let works = self.engines.iter().map(|engine| engine.work(now_ms));
            self.reports.push_back(works.collect());
            if self.reports.len() as f64 > self.delay_ms / STEP_MS + 1.0 {
                self.reports.pop_front();
            }
            for (urgency, load) in load.iter().enumerate() {
                let tokens_mean = 2_250.0;
                let capacity = TOKENS_PER_MS * ENGINES as f64 * STEP_MS;
                let mut expected = load * capacity / tokens_mean;
                while self.rng.random::<f64>() < expected {
                    expected -= 1.0;
                    self.send(urgency);
                }
            }
        }
    }

    fn send(&mut self, urgency: usize) {
        let is_large = self.rng.random_bool(0.25);
        let tokens: u32 = if is_large { 6_000 } else { 1_000 };
        let works = &self.reports[0];
        let mut order: Vec<usize> = (0..ENGINES).collect();
        order.shuffle(&mut self.rng);
        let known: Vec<(ServerWork, StartEstimate)> = order
            .iter()
            .map(|index| works[*index])
            .map(|work| (work, StartEstimate::of(&work, &self.service)))
            .collect();
        let candidates: Vec<Candidate> = known
            .iter()
            .map(|(work, _)| candidate(work, &self.service))
            .collect();
        let chosen = requirement(self.service, tokens).choose(&candidates);
        let chosen = chosen.expect("no limit on memory");
        let demand = demand(urgency);
        let fleet = FleetLoad::of(&known);
        let rejected_share = self
            .throttle
            .rejected_share(&demand, &fleet, at(self.now_ms));
        let admitted = admit(
            &demand,
            &fleet,
            rejected_share,
            candidates[chosen].estimate.start_ms(),
            self.rng.random(),
        );
        let counts = [
            &mut self.by_urgency[urgency],
            &mut self.by_size[usize::from(is_large)],
        ];
        let elapsed_ms = admitted
            .is_ok()
            .then(|| self.engines[order[chosen]].send(u64::from(tokens), 1.0, self.now_ms));
        for count in counts {
            count.sent += 1.0;
            count.rejected += f64::from(u8::from(admitted.is_err()));
            let is_in_time = elapsed_ms.is_some_and(|ms| at(ms) <= demand.latency_target);
            count.in_time += f64::from(u8::from(is_in_time));
        }
    }

    fn computed(&self) -> u64 {
        self.engines.iter().map(|engine| engine.computed).sum()
    }
}

/// What is expected under a load spike of the least urgent kind.
struct SpikeCase {
    /// Age of the load reports, in milliseconds.
    delay_ms: f64,
    urgent_served: f64,
    urgent_in_time: f64,
    utilization: f64,
}

/// Runs a load spike in which the least urgent kind rises from 0.4 to 2.5 times the capacity for
/// 8 s, beside 0.3 of more urgent kinds.
fn check_load_spike(case: &SpikeCase) {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, case.delay_ms);
        fleet.run(4_000.0, [0.15, 0.15, 0.4]);
        let before = fleet.computed();
        fleet.run(8_000.0, [0.15, 0.15, 2.5]);
        let [urgent, middle, least_urgent] = fleet.by_urgency;
        let label = format!("delay {} ms, seed {seed}", case.delay_ms);
        assert!(
            urgent.served_share() > case.urgent_served,
            "{label}: {urgent:?}"
        );
        assert!(
            urgent.in_time_share() > case.urgent_in_time,
            "{label}: {urgent:?}"
        );
        assert!(
            middle.served_share() > least_urgent.served_share(),
            "{label}: {middle:?}"
        );
        let capacity = TOKENS_PER_MS * ENGINES as f64 * 8_000.0;
        let utilization = (fleet.computed() - before) as f64 / capacity;
        assert!(utilization > case.utilization, "{label}: {utilization}");
    }
}

/// Load: a spike of the least urgent kind, with reports of different age. Guards against urgent
/// prompts that wait behind less urgent ones, and against engines that are idle because too much is
/// rejected.
#[test]
fn load_spike_of_the_least_urgent_kind_leaves_urgent_requests_in_time() {
    let cases = [
        SpikeCase {
            delay_ms: 0.0,
            urgent_served: 0.97,
            urgent_in_time: 0.97,
            utilization: 0.93,
        },
        SpikeCase {
            delay_ms: 100.0,
            urgent_served: 0.93,
            urgent_in_time: 0.92,
            utilization: 0.85,
        },
    ];
    for case in cases {
        check_load_spike(&case);
    }
}

/// Load: the same spike, with reports as old as in a fleet whose reports pass through leaders.
/// Guards against the same faults there.
#[test]
fn load_spike_with_old_reports_leaves_urgent_requests_in_time() {
    check_load_spike(&SpikeCase {
        delay_ms: 400.0,
        urgent_served: 0.85,
        urgent_in_time: 0.85,
        utilization: 0.75,
    });
}

/// Load: all kinds together rise to 2.5 times the capacity for 7 s. Guards against a backlog that
/// delays requests long after the burst, against kinds that are not served at all, and against large
/// prompts that are rejected more often than small ones.
#[test]
fn burst_of_all_kinds_is_over_within_a_second() {
    let mut by_size = [Count::default(); 2];
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, 100.0);
        fleet.run(3_000.0, [0.2; 3]);
        fleet.by_size = [Count::default(); 2];
        fleet.run(7_000.0, [0.83; 3]);
        let served = fleet.by_urgency.map(|count| count.served_share());
        assert!(served[0] > 0.85 && served[2] > 0.03, "{seed}: {served:?}");
        assert!(
            served[0] > served[1] && served[1] > served[2],
            "{seed}: {served:?}"
        );
        for (sum, count) in by_size.iter_mut().zip(fleet.by_size) {
            sum.sent += count.sent;
            sum.rejected += count.rejected;
        }
        fleet.run(1_000.0, [0.2; 3]);
        fleet.run(3_000.0, [0.2; 3]);
        for count in fleet.by_urgency {
            assert!(count.served_share() > 0.97, "{seed}: {count:?}");
            assert!(count.in_time_share() > 0.97, "{seed}: {count:?}");
        }
    }
    let [small, large] = by_size.map(|count| count.served_share());
    assert!((large / small - 1.0).abs() < 0.1, "{small} {large}");
}

fn load(start_ms: f64, slots_taken: f64, is_waiting: bool) -> FleetLoad {
    FleetLoad {
        start_ms,
        slots_taken,
        is_waiting,
    }
}

/// Guards against requests that are rejected while servers are free, held although they cannot begin
/// in time, or admitted before more urgent ones.
#[test]
fn rejections_follow_from_the_estimated_start() {
    struct Case {
        name: &'static str,
        urgency: usize,
        fleet: FleetLoad,
        /// Estimated start at the chosen server.
        start_ms: f64,
        expected: Option<RejectReason>,
    }
    let case = |name, urgency, fleet, start_ms, expected| Case {
        name,
        urgency,
        fleet,
        start_ms,
        expected,
    };
    let start_limit = Some(RejectReason::StartLimit);
    let cases = [
        case(
            "half of the slots free",
            2,
            load(5_000.0, 0.4, false),
            5_000.0,
            None,
        ),
        case("nothing to do", 2, load(0.0, 0.6, true), 0.0, None),
        case("least urgent", 2, load(180.0, 0.6, false), 0.0, start_limit),
        case("middle", 1, load(170.0, 0.3, true), 0.0, None),
        case("middle, later", 1, load(220.0, 0.3, true), 0.0, start_limit),
        case("urgent", 0, load(290.0, 0.6, false), 290.0, None),
        case(
            "urgent, later",
            0,
            load(600.0, 0.6, false),
            600.0,
            start_limit,
        ),
        case(
            "after the client gives up",
            0,
            load(0.0, 0.6, false),
            3_300.0,
            Some(RejectReason::TooLate),
        ),
    ];
    for case in cases {
        let throttle = Throttle::default();
        let demand = demand(case.urgency);
        // The load lasts for a second.
        let times_ms = (0..20_u32).map(|index| f64::from(index) * 50.0);
        let shares = times_ms.map(|ms| throttle.rejected_share(&demand, &case.fleet, at(ms)));
        let share = shares.last().expect("a share");
        let admitted = admit(&demand, &case.fleet, share, case.start_ms, 0.5);
        let reason = admitted.err().map(|rejection| rejection.reason);
        assert_eq!(reason, case.expected, "{}", case.name);
    }
}

/// Guards against less urgent requests that wait for memory until they are late while servers are
/// busy, and against waits longer than the client's.
#[test]
fn less_urgent_requests_wait_for_memory_only_briefly() {
    for urgency in 1..3 {
        let demand = demand(urgency);
        assert!(demand.memory_wait(true) < demand.latency_target / 10);
        assert!(demand.memory_wait(false) <= demand.latency_target);
    }
    assert!(demand(0).memory_wait(true) > demand(1).memory_wait(true));
    assert!(demand(0).free_memory_fraction() < demand(1).free_memory_fraction());
    assert!(demand(1).free_memory_fraction() < demand(2).free_memory_fraction());
}

/// Guards against clients that all return at once, before the backlog has shrunk, or later than they
/// are willing to wait.
#[test]
fn retries_are_spread_after_the_backlog() {
    let mut span = OverloadSpan::default();
    let remaining = Duration::from_secs(9);
    let drain = at(700.0);
    for (lasted_ms, latest_ms) in [(0.0, 1_000.0), (1_000.0, 1_700.0), (60_000.0, 2_900.0)] {
        // Rejections follow each other closely.
        let rejections = (lasted_ms / 500.0) as u32;
        for index in 0..=rejections {
            let is_first = span.on_rejected(at(f64::from(index) * 500.0));
            assert_eq!(is_first, lasted_ms < 1.0, "{lasted_ms}");
        }
        let after = |draw| span.retry_after(drain, remaining, draw, at(lasted_ms));
        assert_eq!(after(0.0), drain);
        assert!(after(1.0) <= remaining / 3, "{lasted_ms}");
        assert!(
            after(1.0) + at(50.0) >= at(latest_ms),
            "{lasted_ms}: {:?}",
            after(1.0)
        );
        assert!(after(0.5) > after(0.2), "{lasted_ms}");
    }
}

/// Guards against rejections because of a single server with a long queue while the others are free.
#[test]
fn one_full_server_does_not_make_a_service_busy() {
    let service = ServiceSpeed::default();
    let server = |requests, waiting| {
        let work = ServerWork {
            uncomputed_tokens: 0,
            requests,
            slots: 32,
            waiting,
            slowness: 1.0,
        };
        (work, StartEstimate::of(&work, &service))
    };
    let idle = server(0.0, 0);
    let cases = [
        ([server(200.0, 0), idle, idle], false),
        ([server(32.0, 0), server(20.0, 0), idle], true),
        ([server(1.0, 3), idle, idle], true),
    ];
    for (servers, is_busy) in cases {
        let fleet = FleetLoad::of(&servers);
        assert_eq!(fleet.is_busy(), is_busy, "{fleet:?}");
        assert!(fleet.start_ms < 1.0, "{fleet:?}");
    }
}

/// Load: a backlog of half a second that lasts for 150 ms. Guards against urgent requests that are
/// rejected together with a load spike, and against kinds that are starved.
#[test]
fn short_backlog_does_not_reject_urgent_requests_at_once() {
    let throttle = Throttle::default();
    let fleet = load(500.0, 0.9, true);
    for ms in [1_000.0, 1_050.0, 1_100.0, 1_150.0] {
        let share = |urgency| throttle.rejected_share(&demand(urgency), &fleet, at(ms));
        let (urgent, middle, least_urgent) = (share(0), share(1), share(2));
        assert!(urgent < 0.8 && middle > 0.9, "{ms}: {urgent} {middle}");
        assert!(
            least_urgent > 0.9 && least_urgent < 1.0,
            "{ms}: {least_urgent}"
        );
    }
}
