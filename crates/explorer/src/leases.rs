//! Model of a lease: daemons take over a duty from each other while appends are slow or lost and
//! the daemons' clocks run at different rates.
//!
//! Simplifications: a tick is the safety margin of the lease. A clock that runs slower than the
//! others falls back by a whole tick at once, and an action takes up to one tick after its check;
//! the margin has to cover both. A paused daemon is one that takes no step for some ticks. An
//! outage of the log is a time in which no append is delivered and no daemon reads, and a lost
//! append is one that is never delivered. An append whose answer is lost is repeated after a tick.
//! A read takes no time, no records are trimmed, and all challengers have the first rank. The check
//! of the lease and the start of the action are one step, except with the mutant that does not
//! check again.

use crate::digested::Digested;
use crate::mutant::Mutant;
use crate::search::{Model, SearchOutcome, Successor, explore};
use anvilgw_core::{DaemonId, Offset};
use anvilgw_fleet::{Duty, LeaseAction, LeaseCandidate, LeaseFold, LeaseRecord, LeaseTimes};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::fmt;
use std::time::Duration;

const TICK: Duration = Duration::from_secs(1);

/// Uptime of a daemon at the start of the model.
const INITIAL_UPTIME: Duration = Duration::from_secs(1_000);

const DUTY: Duty = Duty::Orders;

/// Bounds of the lease model. Within them every order of steps is explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseBounds {
    /// Number of daemons that compete for the duty.
    pub daemons: usize,
    /// Number of ticks of the clock.
    pub ticks: u64,
    /// Number of appends by all daemons, including repeated ones.
    pub appends: u64,
    /// Number of daemons whose clock may fall back, each by one tick.
    pub slow_clocks: u32,
    /// Duration of the lease, in ticks.
    pub duration_ticks: u32,
    /// Maximum number of states. A search that would exceed it is reported as incomplete.
    pub max_states: usize,
}

impl LeaseBounds {
    /// Returns the bounds that every CI run uses.
    #[must_use]
    pub fn short() -> Self {
        Self {
            daemons: 2,
            ticks: 4,
            appends: 3,
            slow_clocks: 1,
            duration_ticks: 2,
            max_states: 400_000,
        }
    }

    /// Returns the bounds for long runs. The model may have more than `max_states` states; the
    /// search then covers all runs up to some number of steps.
    #[must_use]
    pub fn long() -> Self {
        Self {
            duration_ticks: 3,
            ticks: 6,
            appends: 4,
            max_states: 2_000_000,
            ..Self::short()
        }
    }
}

/// Explores a lease. Two daemons may never carry out actions of the duty at the same time, and the
/// fencing tokens of successive actions may not decrease or be shared by two daemons.
#[must_use]
pub fn leases_model(bounds: LeaseBounds, mutant: Option<Mutant>) -> SearchOutcome {
    explore(&LeaseModel { bounds, mutant }, bounds.max_states)
}

struct LeaseModel {
    bounds: LeaseBounds,
    mutant: Option<Mutant>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Daemon {
    candidate: Digested<LeaseCandidate>,
    fold: Digested<LeaseFold>,
    clock_lag: u64,
    appends: u64,
    /// Appended records that have not reached the log.
    in_flight_appends: Vec<Digested<LeaseRecord>>,
    /// Fencing token of an action that the daemon has decided on and not begun.
    decided_token: Option<Offset>,
    /// Fencing token of the running action, and the tick at which it began.
    running_action: Option<(Offset, u64)>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct SystemState {
    now: u64,
    slow_clocks: u32,
    log: Vec<Digested<LeaseRecord>>,
    daemons: Vec<Daemon>,
    /// Fencing token and daemon of the action that began last.
    last_action: Option<(Offset, usize)>,
    /// Whether an action began with a lower token than an earlier action, or with the same token as
    /// one of another daemon.
    is_fencing_violated: bool,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    AdvanceClock,
    AdvanceClockWithLag(usize),
    AppendRecord(usize),
    DeliverAppend(usize, usize),
    ReadLog(usize),
    DecideAction(usize),
    BeginAction(usize),
    EndAction(usize),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AdvanceClock => write!(f, "time passes"),
            Self::AdvanceClockWithLag(daemon) => {
                write!(f, "time passes and the clock of daemon {daemon} falls back")
            }
            Self::AppendRecord(daemon) => write!(f, "daemon {daemon} appends a record"),
            Self::DeliverAppend(daemon, _) => {
                write!(f, "a record of daemon {daemon} reaches the log")
            }
            Self::ReadLog(daemon) => write!(f, "daemon {daemon} reads the log"),
            Self::DecideAction(daemon) => write!(f, "daemon {daemon} decides on an action"),
            Self::BeginAction(daemon) => write!(f, "daemon {daemon} begins an action"),
            Self::EndAction(daemon) => write!(f, "the action of daemon {daemon} ends"),
        }
    }
}

impl SystemState {
    fn uptime(&self, daemon: usize) -> Duration {
        INITIAL_UPTIME + TICK * (self.now - self.daemons[daemon].clock_lag) as u32
    }

    fn token(&self, daemon: usize) -> Option<Offset> {
        let candidate = self.daemons[daemon].candidate.get();
        candidate.token(self.uptime(daemon))
    }

    fn appends(&self) -> u64 {
        self.daemons.iter().map(|daemon| daemon.appends).sum()
    }

    /// Returns the record that the daemon would append now, and its lease candidate after that.
    fn next_append(&self, daemon: usize) -> Option<(Digested<LeaseCandidate>, LeaseRecord)> {
        let state = &self.daemons[daemon];
        // Record ids only have to be distinct, so they are derived from the daemon and the number
        // of its appends.
        let mut rng = StdRng::seed_from_u64(daemon as u64 * 1_000 + state.appends);
        let uptime = self.uptime(daemon);
        let mut candidate = state.candidate.clone();
        let action = candidate.update(|candidate| candidate.tick(uptime, Some(0), true, &mut rng));
        action.map(|LeaseAction::Append(record)| (candidate, record))
    }

    fn append_record(&mut self, daemon: usize) {
        if let Some((candidate, record)) = self.next_append(daemon) {
            let state = &mut self.daemons[daemon];
            state.candidate = candidate;
            state.appends += 1;
            state.in_flight_appends.push(Digested::new(record));
        }
    }

    fn read_log(&mut self, daemon: usize) {
        let uptime = self.uptime(daemon);
        let log = &self.log;
        let state = &mut self.daemons[daemon];
        state.fold.update(|fold| {
            let from = fold.next_offset().map_or(0, |next| next.0 as usize);
            for (offset, record) in log.iter().enumerate().skip(from) {
                fold.apply(Offset(offset as u64), &record.get().encode())
                    .expect("the offsets are consecutive");
            }
        });
        let fold = state.fold.clone();
        state
            .candidate
            .update(|candidate| candidate.on_log_read(uptime, fold.get()));
    }

    fn begin_action(&mut self, daemon: usize) {
        // Only with the mutant that does not check again was the action decided on in an earlier
        // step.
        let decided_token = self.daemons[daemon].decided_token.take();
        let Some(token) = decided_token.or_else(|| self.token(daemon)) else {
            return;
        };
        self.daemons[daemon].running_action = Some((token, self.now));
        self.is_fencing_violated |= self
            .last_action
            .is_some_and(|(last, by)| token < last || (token == last && by != daemon));
        self.last_action = Some((token, daemon));
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::AdvanceClock => self.now += 1,
            Step::AdvanceClockWithLag(daemon) => {
                self.now += 1;
                self.slow_clocks += 1;
                self.daemons[daemon].clock_lag += 1;
            }
            Step::AppendRecord(daemon) => self.append_record(daemon),
            Step::DeliverAppend(daemon, index) => {
                let record = self.daemons[daemon].in_flight_appends.remove(index);
                self.log.push(record);
            }
            Step::ReadLog(daemon) => self.read_log(daemon),
            Step::DecideAction(daemon) => self.daemons[daemon].decided_token = self.token(daemon),
            Step::BeginAction(daemon) => self.begin_action(daemon),
            Step::EndAction(daemon) => self.daemons[daemon].running_action = None,
        }
    }

    fn daemon_steps(
        &self,
        bounds: &LeaseBounds,
        rechecks_lease: bool,
        daemon: usize,
        steps: &mut Vec<Step>,
    ) {
        let state = &self.daemons[daemon];
        if self.appends() < bounds.appends && self.next_append(daemon).is_some() {
            steps.push(Step::AppendRecord(daemon));
        }
        steps.extend(
            (0..state.in_flight_appends.len()).map(|index| Step::DeliverAppend(daemon, index)),
        );
        // A read that finds no new records does not change any decision.
        let next = state.fold.get().next_offset().map_or(0, |next| next.0);
        steps.extend((next < self.log.len() as u64).then_some(Step::ReadLog(daemon)));
        if state.running_action.is_some() {
            steps.push(Step::EndAction(daemon));
        } else if state.decided_token.is_some() {
            steps.push(Step::BeginAction(daemon));
        } else if self.token(daemon).is_some() {
            let decide = if rechecks_lease {
                Step::BeginAction
            } else {
                Step::DecideAction
            };
            steps.push(decide(daemon));
        }
    }

    fn steps(&self, bounds: &LeaseBounds, rechecks_lease: bool) -> Vec<Step> {
        let mut steps = Vec::new();
        let must_end = |daemon: &Daemon| {
            daemon
                .running_action
                .is_some_and(|(_, began)| began < self.now)
        };
        let can_pass = self.now < bounds.ticks && !self.daemons.iter().any(must_end);
        steps.extend(can_pass.then_some(Step::AdvanceClock));
        for daemon in 0..self.daemons.len() {
            let can_lag =
                self.slow_clocks < bounds.slow_clocks && self.daemons[daemon].clock_lag == 0;
            steps.extend((can_pass && can_lag).then_some(Step::AdvanceClockWithLag(daemon)));
            self.daemon_steps(bounds, rechecks_lease, daemon, &mut steps);
        }
        steps
    }
}

impl Model for LeaseModel {
    type State = SystemState;
    type Step = Step;

    fn initial_state(&self) -> SystemState {
        let margin = match self.mutant {
            Some(Mutant::LeaseMarginZero) => Duration::ZERO,
            _ => TICK,
        };
        let times = LeaseTimes {
            duration: TICK * self.bounds.duration_ticks,
            margin,
            renew_after: TICK,
        };
        let daemon = |index| {
            let id = DaemonId {
                index: index as u32,
                incarnation: 1,
            };
            Daemon {
                candidate: Digested::new(LeaseCandidate::new(id, DUTY, times, INITIAL_UPTIME)),
                fold: Digested::new(LeaseFold::new()),
                clock_lag: 0,
                appends: 0,
                in_flight_appends: Vec::new(),
                decided_token: None,
                running_action: None,
            }
        };
        SystemState {
            now: 0,
            slow_clocks: 0,
            log: Vec::new(),
            daemons: (0..self.bounds.daemons).map(daemon).collect(),
            last_action: None,
            is_fencing_violated: false,
        }
    }

    fn successors(&self, system: &SystemState) -> Vec<Successor<Self>> {
        let rechecks_lease = self.mutant != Some(Mutant::DutyLeaseNotRechecked);
        let successor = |step: Step| {
            let mut state = system.clone();
            state.apply(step);
            Successor {
                state,
                step,
                is_fault: matches!(step, Step::AdvanceClockWithLag(_)),
            }
        };
        let steps = system.steps(&self.bounds, rechecks_lease);
        steps.into_iter().map(successor).collect()
    }

    fn violation(&self, system: &SystemState) -> Option<String> {
        let running_actions = system
            .daemons
            .iter()
            .filter(|d| d.running_action.is_some())
            .count();
        if running_actions > 1 {
            return Some("two daemons carry out an action at the same time".to_owned());
        }
        system
            .is_fencing_violated
            .then(|| "a fencing token is used by two daemons or decreases".to_owned())
    }

    /// Returns whether no action is decided on or running, and a daemon holds the lease or the
    /// bounds allow no more appends or ticks.
    fn is_settled(&self, system: &SystemState) -> bool {
        let mut daemons = 0..system.daemons.len();
        let is_inactive =
            |daemon: &Daemon| daemon.running_action.is_none() && daemon.decided_token.is_none();
        let is_exhausted =
            system.now >= self.bounds.ticks || system.appends() >= self.bounds.appends;
        system.daemons.iter().all(is_inactive)
            && (is_exhausted || daemons.any(|daemon| system.token(daemon).is_some()))
    }
}
