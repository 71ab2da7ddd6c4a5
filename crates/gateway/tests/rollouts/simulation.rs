//! A service whose requests pass through many daemons during a rollout. Daemons and decider
//! exchange reports and directives without a network; some reports are lost.

use anvilgw_gateway::rollout::{
    Decider, Decision, Evidence, ExposureBounds, ExposureBudget, FleetView, OrderId, Phase,
    RolloutDirective, RolloutOrder, RolloutReport, RolloutState, RolloutStatus, RouteKey, Side,
    TargetShare,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Time between two steps of the run.
const TICK_MS: u64 = 10;
/// Time between two reports of a daemon.
const REPORT_PAUSE_MS: u64 = 250;
/// Time from the order until the target's servers are listed, and until they are no longer cold.
const LISTED_MS: u64 = 500;
const WARM_MS: u64 = 3_500;
/// Time between the end of one decider and the first decision of the next.
const TAKEOVER_MS: u64 = 600;
/// Share of the reports that are lost.
const REPORT_LOSS: f64 = 0.02;
/// Share of all answers that are failures whatever the version.
const FAILURE_SHARE: f64 = 0.001;
/// Shares of the routes.
const ROUTES: [f64; 3] = [0.6, 0.25, 0.15];
pub(crate) const BOUNDS: ExposureBounds = ExposureBounds {
    canary_share: 0.1,
    canary_slack: 50,
};

/// What is wrong with the target version or the servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// Nothing.
    None,
    /// A share of the target's answers are failures.
    Failures(f64),
    /// All answers of the target take several times as long.
    Slow(f64),
    /// Half of the target's answers on the last route are failures.
    OneRoute,
    /// Half of the target's answers are failures while it gets more than a tenth of the requests.
    UnderLoad,
    /// One server in ten of each version fails, or a single one; the version is good.
    FailingServers,
}

impl Fault {
    pub(crate) fn is_bad(self) -> bool {
        !matches!(self, Self::None | Self::FailingServers)
    }
}

/// Size and fault of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) daemons: usize,
    pub(crate) servers: u32,
    pub(crate) rate_per_s: f64,
    pub(crate) step_ms: u64,
    pub(crate) fault: Fault,
    pub(crate) seed: u64,
}

/// What a run ended with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    /// Final state and the age of the order at which it was decided, if it was.
    pub(crate) end: Option<(RolloutState, u64)>,
    /// Decision that led to it.
    pub(crate) decision: Option<Decision>,
    pub(crate) requests: u64,
    pub(crate) exposed: u64,
    /// Requests that the target got after the 50th bad answer plus the operators' time.
    pub(crate) late: u64,
}

impl Outcome {
    /// Returns whether a bad version got more requests than operators allow.
    pub(crate) fn is_over_exposed(&self) -> bool {
        let allowed = self.requests as f64 * BOUNDS.canary_share + f64::from(BOUNDS.canary_slack);
        self.exposed as f64 > allowed
    }
}

struct Daemon {
    learned_ms: u64,
    sender: u64,
    budget: ExposureBudget,
    evidence: Evidence,
    is_evidence_new: bool,
    directive: Option<(RolloutDirective, u64)>,
    in_flight: [u32; 2],
}

/// End of a request, or its first event.
#[derive(Clone, Copy)]
struct Event {
    daemon: usize,
    side: Side,
    server: u32,
    route: u16,
    is_failure: bool,
    time: Option<Duration>,
    is_end: bool,
}

pub(crate) struct Run {
    setup: Setup,
    rng: SmallRng,
    daemons: Vec<Daemon>,
    events: Vec<Vec<Event>>,
    decider: Decider,
    decider_from_ms: u64,
    replaced_at_ms: u64,
    directive: Option<RolloutDirective>,
    stored: Option<RolloutState>,
    bad_answers: u32,
    bad_since_ms: Option<u64>,
    recent: [f64; 2],
    outcome: Outcome,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn order(setup: Setup, learned_ms: u64) -> RolloutOrder {
    RolloutOrder {
        id: OrderId(1),
        service: "engines".to_owned(),
        target: "v2".to_owned(),
        step: ms(setup.step_ms),
        learned_at: ms(learned_ms),
    }
}

impl Run {
    pub(crate) fn new(setup: Setup) -> Self {
        let mut rng = SmallRng::seed_from_u64(setup.seed);
        let daemons = (0..setup.daemons)
            .map(|index| {
                let learned_ms = rng.random_range(100..600);
                let offset = rng.random();
                let mut budget =
                    ExposureBudget::new(BOUNDS, ms(setup.step_ms), ms(learned_ms), offset);
                budget.on_members(setup.daemons);
                Daemon {
                    learned_ms,
                    sender: index as u64,
                    budget,
                    evidence: Evidence::default(),
                    is_evidence_new: false,
                    directive: None,
                    in_flight: [0; 2],
                }
            })
            .collect();
        let ticks = (setup.step_ms + 30_000) / TICK_MS;
        Self {
            // In half of the runs, the deciding daemon changes.
            replaced_at_ms: rng.random_range(0..2 * setup.step_ms),
            rng,
            daemons,
            events: (0..ticks).map(|_| Vec::new()).collect(),
            decider: Decider::new(order(setup, 300), BOUNDS),
            decider_from_ms: 300,
            directive: None,
            stored: None,
            bad_answers: 0,
            bad_since_ms: None,
            recent: [0.0; 2],
            outcome: Outcome {
                end: None,
                decision: None,
                requests: 0,
                exposed: 0,
                late: 0,
            },
            setup,
        }
    }

    /// Runs up to the deadline.
    pub(crate) fn run(mut self) -> Outcome {
        for now_ms in (0..self.setup.step_ms).step_by(TICK_MS as usize) {
            let per_tick = self.setup.rate_per_s * TICK_MS as f64 / 1000.0;
            let requests = per_tick as u64 + u64::from(self.rng.random_bool(per_tick.fract()));
            for _ in 0..requests {
                self.request(now_ms);
            }
            for event in std::mem::take(&mut self.events[(now_ms / TICK_MS) as usize]) {
                self.on_event(event, now_ms);
            }
            self.reports(now_ms);
            if now_ms % 100 == 0 && now_ms >= self.decider_from_ms {
                self.decide(now_ms);
            }
        }
        self.outcome
    }

    fn request(&mut self, now_ms: u64) {
        self.outcome.requests += 1;
        let daemon = self.rng.random_range(0..self.daemons.len());
        let (phase, share) = self.in_force(daemon, now_ms);
        let side = self.daemons[daemon].budget.choose(phase, share, ms(now_ms));
        let is_target = side == Side::Target;
        if is_target {
            self.outcome.exposed += 1;
            let late_from = self.bad_since_ms.map(|since| since + 5_000);
            self.outcome.late += u64::from(late_from.is_some_and(|from| now_ms > from));
        }
        let total = f64::from(u8::from(is_target));
        self.recent = [self.recent[0] * 0.998 + total, self.recent[1] * 0.998 + 1.0];
        let own = &mut self.daemons[daemon];
        own.budget.on_sent(side);
        own.in_flight[side as usize] += 1;
        self.answer(daemon, side, now_ms);
    }

    /// Plans the first event and the end of a request.
    fn answer(&mut self, daemon: usize, side: Side, now_ms: u64) {
        let server = self.rng.random_range(0..self.setup.servers);
        let mut draw = self.rng.random::<f64>();
        let route = ROUTES
            .iter()
            .position(|share| {
                draw -= share;
                draw < 0.0
            })
            .unwrap_or(0) as u16;
        let is_target = side == Side::Target;
        let is_broken =
            self.setup.fault == Fault::FailingServers && server < (self.setup.servers / 10).max(1);
        let failure_share = match self.setup.fault {
            _ if is_broken => 0.9,
            Fault::Failures(share) if is_target => share,
            Fault::OneRoute if is_target && route == 2 => 0.5,
            Fault::UnderLoad if is_target && self.recent[0] > 0.1 * self.recent[1] => 0.5,
            _ => 0.0,
        };
        let is_failure = self.rng.random_bool(failure_share + FAILURE_SHARE);
        // Sum of uniform values: about a normal distribution.
        let normal = (0..6).map(|_| self.rng.random::<f64>()).sum::<f64>() - 3.0;
        let mut time_ms = 150.0 * (0.7 * normal).exp() * (0.8 + f64::from(server % 7) * 0.07);
        if is_target {
            let cold_factor = if now_ms < WARM_MS + 3_000 { 1.3 } else { 1.1 };
            time_ms *= cold_factor;
            if let Fault::Slow(factor) = self.setup.fault {
                time_ms *= factor;
            }
        }
        let is_cold = is_target && now_ms < WARM_MS;
        let first = Event {
            daemon,
            side,
            server: server + if is_target { 1_000 } else { 0 },
            route,
            is_failure,
            time: (!is_cold).then(|| Duration::from_secs_f64(time_ms / 1000.0)),
            is_end: is_failure,
        };
        let first_at = now_ms + time_ms as u64;
        self.plan(first, first_at);
        if !is_failure {
            let rest_ms = -(1.0 - self.rng.random::<f64>()).ln() * 1_500.0;
            let end = Event {
                is_end: true,
                time: None,
                ..first
            };
            self.plan(end, first_at + (rest_ms as u64).min(12_000) + TICK_MS);
        }
    }

    fn plan(&mut self, event: Event, at_ms: u64) {
        let tick = (at_ms / TICK_MS + 1) as usize;
        if let Some(events) = self.events.get_mut(tick) {
            events.push(event);
        }
    }

    fn on_event(&mut self, event: Event, now_ms: u64) {
        let daemon = &mut self.daemons[event.daemon];
        if event.is_end {
            daemon.in_flight[event.side as usize] -= 1;
        }
        let is_answer = event.is_failure || !event.is_end;
        if !is_answer || now_ms < daemon.learned_ms {
            return;
        }
        let route = RouteKey {
            route: event.route,
            work: 0,
        };
        daemon.is_evidence_new = true;
        let time = event.time;
        daemon
            .evidence
            .record(event.side, route, event.server, event.is_failure, time);
        let is_slow = matches!(self.setup.fault, Fault::Slow(_));
        if event.side == Side::Target && (event.is_failure || is_slow) {
            self.bad_answers += 1;
            if self.bad_answers == 50 {
                self.bad_since_ms = Some(now_ms);
            }
        }
    }

    /// Returns the phase and share that a daemon obeys.
    fn in_force(&self, daemon: usize, now_ms: u64) -> (Phase, TargetShare) {
        let daemon = &self.daemons[daemon];
        let directive = daemon.directive.filter(|(_, at_ms)| {
            now_ms >= daemon.learned_ms && ms(now_ms - at_ms) <= RolloutDirective::VALID_FOR
        });
        directive.map_or((Phase::Waiting, TargetShare::NONE), |(directive, _)| {
            (directive.phase, directive.share)
        })
    }

    fn reports(&mut self, now_ms: u64) {
        let count = self.daemons.len() as u64;
        for index in 0..self.daemons.len() {
            let offset = index as u64 * REPORT_PAUSE_MS / count / TICK_MS * TICK_MS;
            let is_due = now_ms % REPORT_PAUSE_MS == offset;
            let is_known = now_ms >= self.daemons[index].learned_ms;
            if !is_due || !is_known || now_ms < self.decider_from_ms {
                continue;
            }
            if self.rng.random_bool(REPORT_LOSS) {
                continue;
            }
            let (phase, _) = self.in_force(index, now_ms);
            let daemon = &mut self.daemons[index];
            // Rows that are known to the decider change nothing.
            let is_new = std::mem::take(&mut daemon.is_evidence_new);
            let rows = if is_new || now_ms < self.decider_from_ms + 1_000 {
                daemon.evidence.snapshot()
            } else {
                Vec::new()
            };
            let report = RolloutReport {
                order: OrderId(1),
                sender: daemon.sender,
                order_age_ms: (now_ms - daemon.learned_ms) as u32,
                phase,
                counts: daemon.budget.counts(),
                base_in_flight: daemon.in_flight[Side::Base as usize],
                target_in_flight: daemon.in_flight[Side::Target as usize],
                rows,
            };
            self.decider.on_report(report, ms(now_ms));
            daemon.directive = self.directive.map(|directive| (directive, now_ms));
        }
    }

    fn decide(&mut self, now_ms: u64) {
        if self.replaced_at_ms <= now_ms {
            self.replaced_at_ms = u64::MAX;
            self.decider = Decider::new(order(self.setup, 300), BOUNDS);
            self.decider_from_ms = now_ms + TAKEOVER_MS;
            self.directive = None;
            self.read_status();
            return;
        }
        let is_listed = now_ms >= LISTED_MS;
        let slots = self.setup.servers * 6;
        let view = FleetView {
            members: self.daemons.len(),
            target_servers: if is_listed {
                self.setup.servers as usize
            } else {
                0
            },
            target_warm_slots: if now_ms >= WARM_MS { slots } else { 0 },
            base_servers: self.setup.servers as usize,
            base_slots: slots,
            is_store_available: true,
            is_target_in_force: false,
        };
        let decision = self.decider.decide(view, ms(now_ms));
        if decision.directive.phase == Phase::RollingBack {
            for daemon in &mut self.daemons {
                daemon.directive = Some((decision.directive, now_ms));
            }
        }
        self.directive = Some(decision.directive);
        if let Some(state) = decision.write {
            assert!(
                self.stored.is_none_or(|stored| !stored.is_final()),
                "{:?}: written after a final state",
                self.setup
            );
            self.stored = Some(state);
            if state.is_final() {
                self.outcome.end = Some((state, now_ms));
                self.outcome.decision = Some(decision);
            }
            self.read_status();
        }
    }

    /// Lets the decider read the stored status.
    fn read_status(&mut self) {
        if let Some(state) = self.stored {
            self.decider.on_status(&RolloutStatus {
                service: "engines".to_owned(),
                target: "v2".to_owned(),
                state,
                order: Some(OrderId(1)),
                base: None,
            });
        }
    }
}
