//! Model of a lease: daemons that take a duty from each other while appends are slow or lost and
//! their clocks run at different rates.
//!
//! Simplifications: a tick is the margin of the lease. A clock that runs slower than the others
//! falls back by one tick at once, and an action takes up to one tick after its check; the margin has
//! to cover both. A paused daemon is one that takes no step for some ticks. An outage of the log is a time in
//! which no record arrives and nobody reads, and a lost append is one that arrives never; an append
//! whose answer is lost is repeated after a tick. A read takes no time, no records are trimmed, and all
//! challengers have the first rank. The
//! check of the lease and the begin of the action are one step, except for the mutant without the check.

use crate::keyed::Keyed;
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
const BOOTED: Duration = Duration::from_secs(1_000);

const DUTY: Duty = Duty::Orders;

/// Bounds of the lease model. Within them every order of steps is explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseBounds {
    /// Daemons that compete for the duty.
    pub daemons: usize,
    /// Ticks of the clock.
    pub ticks: u64,
    /// Appends by all daemons, repeated ones included.
    pub appends: u64,
    /// Daemons whose clock falls back by a tick.
    pub slow_clocks: u32,
    /// Duration of the lease in ticks.
    pub duration_ticks: u32,
    /// States after which the search gives up.
    pub max_states: usize,
}

impl LeaseBounds {
    /// Bounds for every run of CI.
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

    /// Bounds for long runs. The model may have more states than the search may hold; it then covers
    /// the runs up to some depth.
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

/// Explores a lease.
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
    holder: Keyed<LeaseCandidate>,
    fold: Keyed<LeaseFold>,
    lag: u64,
    appends: u64,
    /// Appends on their way to the log.
    wire: Vec<Keyed<LeaseRecord>>,
    /// Token with which an action was decided on.
    decided: Option<Offset>,
    /// Token and begin of the action that runs.
    acting: Option<(Offset, u64)>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    slow_clocks: u32,
    log: Vec<Keyed<LeaseRecord>>,
    daemons: Vec<Daemon>,
    /// Token of the last action and who had it.
    last: Option<(Offset, usize)>,
    /// An action began with a token that is old or another daemon's.
    is_token_wrong: bool,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Clock,
    SlowClock(usize),
    Tick(usize),
    Land(usize, usize),
    Read(usize),
    Decide(usize),
    Act(usize),
    End(usize),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Clock => write!(f, "time passes"),
            Self::SlowClock(daemon) => {
                write!(f, "time passes and the clock of daemon {daemon} falls back")
            }
            Self::Tick(daemon) => write!(f, "daemon {daemon} appends a record"),
            Self::Land(daemon, _) => write!(f, "the log gets a record of daemon {daemon}"),
            Self::Read(daemon) => write!(f, "daemon {daemon} reads the log"),
            Self::Decide(daemon) => write!(f, "daemon {daemon} decides on an action"),
            Self::Act(daemon) => write!(f, "daemon {daemon} begins an action"),
            Self::End(daemon) => write!(f, "the action of daemon {daemon} ends"),
        }
    }
}

impl World {
    fn uptime(&self, daemon: usize) -> Duration {
        BOOTED + TICK * (self.now - self.daemons[daemon].lag) as u32
    }

    fn token(&self, daemon: usize) -> Option<Offset> {
        let holder = self.daemons[daemon].holder.get();
        holder.token(self.uptime(daemon))
    }

    fn appends(&self) -> u64 {
        self.daemons.iter().map(|daemon| daemon.appends).sum()
    }

    /// The record that the daemon would append now, and its holder afterwards.
    fn ticked(&self, daemon: usize) -> Option<(Keyed<LeaseCandidate>, LeaseRecord)> {
        let state = &self.daemons[daemon];
        // Record ids only have to differ, so they follow from the daemon and the number of appends.
        let mut rng = StdRng::seed_from_u64(daemon as u64 * 1_000 + state.appends);
        let uptime = self.uptime(daemon);
        let mut holder = state.holder.clone();
        let action = holder.change(|holder| holder.tick(uptime, Some(0), true, &mut rng));
        action.map(|LeaseAction::Append(record)| (holder, record))
    }

    fn tick(&mut self, daemon: usize) {
        if let Some((holder, record)) = self.ticked(daemon) {
            let state = &mut self.daemons[daemon];
            state.holder = holder;
            state.appends += 1;
            state.wire.push(Keyed::new(record));
        }
    }

    fn read(&mut self, daemon: usize) {
        let uptime = self.uptime(daemon);
        let log = &self.log;
        let state = &mut self.daemons[daemon];
        state.fold.change(|fold| {
            let from = fold.next_offset().map_or(0, |next| next.0 as usize);
            for (offset, record) in log.iter().enumerate().skip(from) {
                fold.apply(Offset(offset as u64), &record.get().encode())
                    .expect("the records follow each other");
            }
        });
        let fold = state.fold.clone();
        state
            .holder
            .change(|holder| holder.on_log_read(uptime, fold.get()));
    }

    fn act(&mut self, daemon: usize) {
        // Only the mutant without the check before an action has decided earlier.
        let decided = self.daemons[daemon].decided.take();
        let Some(token) = decided.or_else(|| self.token(daemon)) else {
            return;
        };
        self.daemons[daemon].acting = Some((token, self.now));
        self.is_token_wrong |= self
            .last
            .is_some_and(|(last, by)| token < last || (token == last && by != daemon));
        self.last = Some((token, daemon));
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Clock => self.now += 1,
            Step::SlowClock(daemon) => {
                self.now += 1;
                self.slow_clocks += 1;
                self.daemons[daemon].lag += 1;
            }
            Step::Tick(daemon) => self.tick(daemon),
            Step::Land(daemon, at) => {
                let record = self.daemons[daemon].wire.remove(at);
                self.log.push(record);
            }
            Step::Read(daemon) => self.read(daemon),
            Step::Decide(daemon) => self.daemons[daemon].decided = self.token(daemon),
            Step::Act(daemon) => self.act(daemon),
            Step::End(daemon) => self.daemons[daemon].acting = None,
        }
    }

    fn daemon_steps(
        &self,
        bounds: &LeaseBounds,
        rechecks: bool,
        daemon: usize,
        steps: &mut Vec<Step>,
    ) {
        let state = &self.daemons[daemon];
        if self.appends() < bounds.appends && self.ticked(daemon).is_some() {
            steps.push(Step::Tick(daemon));
        }
        steps.extend((0..state.wire.len()).map(|at| Step::Land(daemon, at)));
        // A read that finds nothing new changes no decision.
        let next = state.fold.get().next_offset().map_or(0, |next| next.0);
        steps.extend((next < self.log.len() as u64).then_some(Step::Read(daemon)));
        if state.acting.is_some() {
            steps.push(Step::End(daemon));
        } else if state.decided.is_some() {
            steps.push(Step::Act(daemon));
        } else if self.token(daemon).is_some() {
            let decide = if rechecks { Step::Act } else { Step::Decide };
            steps.push(decide(daemon));
        }
    }

    fn steps(&self, bounds: &LeaseBounds, rechecks: bool) -> Vec<Step> {
        let mut steps = Vec::new();
        let is_due = |daemon: &Daemon| daemon.acting.is_some_and(|(_, began)| began < self.now);
        let can_pass = self.now < bounds.ticks && !self.daemons.iter().any(is_due);
        steps.extend(can_pass.then_some(Step::Clock));
        for daemon in 0..self.daemons.len() {
            let can_fall = self.slow_clocks < bounds.slow_clocks && self.daemons[daemon].lag == 0;
            steps.extend((can_pass && can_fall).then_some(Step::SlowClock(daemon)));
            self.daemon_steps(bounds, rechecks, daemon, &mut steps);
        }
        steps
    }
}

impl Model for LeaseModel {
    type State = World;
    type Step = Step;

    fn start(&self) -> World {
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
                holder: Keyed::new(LeaseCandidate::new(id, DUTY, times, BOOTED)),
                fold: Keyed::new(LeaseFold::new()),
                lag: 0,
                appends: 0,
                wire: Vec::new(),
                decided: None,
                acting: None,
            }
        };
        World {
            now: 0,
            slow_clocks: 0,
            log: Vec::new(),
            daemons: (0..self.bounds.daemons).map(daemon).collect(),
            last: None,
            is_token_wrong: false,
        }
    }

    fn successors(&self, world: &World) -> Vec<Successor<Self>> {
        let rechecks = self.mutant != Some(Mutant::DutyLeaseNotRechecked);
        let after = |step: Step| {
            let mut state = world.clone();
            state.apply(step);
            Successor {
                state,
                step,
                is_fault: matches!(step, Step::SlowClock(_)),
            }
        };
        let steps = world.steps(&self.bounds, rechecks);
        steps.into_iter().map(after).collect()
    }

    fn violation(&self, world: &World) -> Option<String> {
        let acting = world.daemons.iter().filter(|d| d.acting.is_some()).count();
        if acting > 1 {
            return Some("two daemons act at a time".to_owned());
        }
        world
            .is_token_wrong
            .then(|| "a fencing token is used again or goes back".to_owned())
    }

    /// Somebody holds the duty, or nobody may append any more within the bounds.
    fn is_settled(&self, world: &World) -> bool {
        let mut daemons = 0..world.daemons.len();
        let is_quiet = |daemon: &Daemon| daemon.acting.is_none() && daemon.decided.is_none();
        let is_exhausted = world.now >= self.bounds.ticks || world.appends() >= self.bounds.appends;
        world.daemons.iter().all(is_quiet)
            && (is_exhausted || daemons.any(|daemon| world.token(daemon).is_some()))
    }
}
