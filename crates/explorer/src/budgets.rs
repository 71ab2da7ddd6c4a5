//! Model of epochs and shared budgets: members that learn of epochs late, pass share to each other and
//! stop when their view is stale.
//!
//! Simplifications: a tick is half of the freshness limit, so grown shares wait for three ticks. The
//! epoch duty is not modelled: any epoch may be appended at any time, also by a writer who lost.
//! Members have no evidence but their own reads, which take no time. Budgets have no use, so all
//! share is idle.

use crate::keyed::Keyed;
use crate::mutant::Mutant;
use crate::search::{Model, SearchOutcome, Successor, explore};
use anvilgw_core::{DaemonId, Offset};
use anvilgw_fleet::{
    BudgetId, Budgets, EpochFold, EpochRecord, Freshness, RecordId, Split, Transfer,
};
use std::fmt;
use std::time::Duration;

const TICK: Duration = Duration::from_secs(1);

/// Time of the model's start: the first epoch has been in use for long.
const STARTED: Duration = Duration::from_secs(1_000);

const BUDGET: BudgetId = BudgetId(0);

/// Bounds of the budget model. Within them every order of steps is explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetBounds {
    /// Daemons.
    pub daemons: usize,
    /// The whole budget.
    pub capacity: u64,
    /// Ticks of the clock.
    pub ticks: u64,
    /// Epochs that are appended after the first. They leave out the last daemon and add it in turn.
    pub epochs: usize,
    /// Appends that are repeated or lose against another.
    pub repeats: u32,
    /// Requests for share.
    pub asks: u32,
    /// States after which the search gives up.
    pub max_states: usize,
}

impl BudgetBounds {
    /// Bounds for every run of CI.
    #[must_use]
    pub fn short() -> Self {
        Self {
            daemons: 3,
            capacity: 4,
            ticks: 4,
            epochs: 2,
            repeats: 0,
            asks: 0,
            max_states: 400_000,
        }
    }

    /// Bounds for every run of CI: transfers of share and repeated records.
    #[must_use]
    pub fn short_transfers() -> Self {
        Self {
            daemons: 2,
            epochs: 1,
            repeats: 1,
            asks: 1,
            ..Self::short()
        }
    }

    /// Bounds for long runs.
    #[must_use]
    pub fn long() -> Self {
        Self {
            ticks: 6,
            repeats: 1,
            asks: 1,
            max_states: 2_000_000,
            ..Self::short()
        }
    }
}

/// Explores epochs and budgets.
#[must_use]
pub fn budgets_model(bounds: BudgetBounds, mutant: Option<Mutant>) -> SearchOutcome {
    explore(&BudgetModel { bounds, mutant }, bounds.max_states)
}

struct BudgetModel {
    bounds: BudgetBounds,
    mutant: Option<Mutant>,
}

fn id(index: usize) -> DaemonId {
    DaemonId {
        index: index as u32,
        incarnation: 1,
    }
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Daemon {
    budgets: Keyed<Budgets>,
    epochs: Keyed<EpochFold>,
    freshness: Keyed<Freshness>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    /// Epochs that the records of the log expect.
    log: Vec<u64>,
    daemons: Vec<Daemon>,
    transfers: Vec<Keyed<Transfer>>,
    repeats: u32,
    asks: u32,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Clock,
    Propose,
    Repeat,
    Read(usize),
    Ask { from: usize, to: usize },
    Deliver(usize),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Clock => write!(f, "time passes"),
            Self::Propose => write!(f, "the next epoch is appended"),
            Self::Repeat => write!(f, "an epoch is appended that expects an old one"),
            Self::Read(daemon) => write!(f, "daemon {daemon} reads the log"),
            Self::Ask { from, to } => write!(f, "daemon {from} asks daemon {to} for share"),
            Self::Deliver(number) => write!(f, "transfer {number} arrives"),
        }
    }
}

/// The record of the log that expects an epoch. Its members follow from that epoch's number.
fn record(offset: usize, expected: u64, daemons: usize) -> EpochRecord {
    let members = if expected.is_multiple_of(2) {
        daemons
    } else {
        daemons - 1
    };
    EpochRecord {
        id: RecordId(offset as u128),
        expected,
        members: (0..members).map(id).collect(),
        proposer: id(0),
    }
}

impl World {
    fn at(&self) -> Duration {
        STARTED + TICK * self.now as u32
    }

    fn is_fresh(&self, daemon: usize) -> bool {
        let freshness = self.daemons[daemon].freshness.get();
        freshness.may_take_new_work(self.at()).is_ok()
    }

    fn share(&self, daemon: usize) -> u64 {
        let budgets = self.daemons[daemon].budgets.get();
        budgets.share(BUDGET, self.is_fresh(daemon), self.at())
    }

    fn read_at(&mut self, daemon: usize, at: Duration) {
        let count = self.daemons.len();
        let log = &self.log;
        let state = &mut self.daemons[daemon];
        let mut folded = state.epochs.get().clone();
        let mut budgets = state.budgets.get().clone();
        let mut freshness = state.freshness.get().clone();
        let from = folded.next_offset().map_or(0, |next| next.0 as usize);
        for (offset, expected) in log.iter().enumerate().skip(from) {
            let payload = record(offset, *expected, count).encode();
            folded
                .apply(Offset(offset as u64), &payload)
                .expect("the records follow each other");
            if let Some(epoch) = folded.current() {
                budgets.on_epoch(epoch, at);
                freshness.set_epoch(epoch);
            }
        }
        freshness.on_log_read(at);
        *state = Daemon {
            budgets: Keyed::new(budgets),
            epochs: Keyed::new(folded),
            freshness: Keyed::new(freshness),
        };
    }

    fn ask(&mut self, from: usize, to: usize, amount: u64) {
        let (fresh, now) = (self.is_fresh(to), self.at());
        let giver = &mut self.daemons[to].budgets;
        let transfer =
            giver.change(|budgets| budgets.on_share_request(id(from), BUDGET, amount, fresh, now));
        self.transfers.extend(transfer.map(Keyed::new));
        self.asks += 1;
    }

    /// A transfer that was added stays on its way, so it arrives again. One that is refused is lost.
    fn deliver(&mut self, number: usize) {
        let now = self.at();
        let transfer = self.transfers[number].clone();
        let receiver = transfer.get().receiver.index as usize;
        let budgets = &mut self.daemons[receiver].budgets;
        if budgets
            .change(|budgets| budgets.on_transfer(transfer.get(), now))
            .is_err()
        {
            self.transfers.remove(number);
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Clock => self.now += 1,
            Step::Propose => self
                .log
                .push(self.log.len() as u64 - u64::from(self.repeats)),
            Step::Repeat => {
                self.repeats += 1;
                self.log.push(0);
            }
            Step::Read(daemon) => self.read_at(daemon, self.at()),
            Step::Ask { from, to } => self.ask(from, to, 1),
            Step::Deliver(number) => self.deliver(number),
        }
    }

    fn steps(&self, bounds: &BudgetBounds) -> Vec<Step> {
        let mut steps = Vec::new();
        steps.extend((self.now < bounds.ticks).then_some(Step::Clock));
        let epochs = self.log.len() - self.repeats as usize;
        steps.extend((epochs <= bounds.epochs).then_some(Step::Propose));
        steps.extend((self.repeats < bounds.repeats).then_some(Step::Repeat));
        let daemons = 0..self.daemons.len();
        steps.extend(daemons.clone().map(Step::Read));
        if self.asks < bounds.asks {
            let pairs = daemons.clone().flat_map(|from| {
                let others = daemons.clone().filter(move |to| *to != from);
                others.map(move |to| Step::Ask { from, to })
            });
            steps.extend(pairs);
        }
        steps.extend((0..self.transfers.len()).map(Step::Deliver));
        steps
    }
}

impl Model for BudgetModel {
    type State = World;
    type Step = Step;

    fn start(&self) -> World {
        let flaw = self.mutant.and_then(Mutant::fleet_flaw);
        let daemon = |index| {
            let mut budgets = Budgets::new(id(index)).with_flaw(flaw);
            budgets.set_capacity(BUDGET, Split::Even, self.bounds.capacity, Duration::ZERO);
            Daemon {
                budgets: Keyed::new(budgets),
                epochs: Keyed::new(EpochFold::new()),
                freshness: Keyed::new(Freshness::new(id(index))),
            }
        };
        let mut world = World {
            now: 0,
            log: vec![0],
            daemons: (0..self.bounds.daemons).map(daemon).collect(),
            transfers: Vec::new(),
            repeats: 0,
            asks: 0,
        };
        for daemon in 0..self.bounds.daemons {
            world.read_at(daemon, STARTED / 2);
            world.read_at(daemon, STARTED);
        }
        world
    }

    fn successors(&self, world: &World) -> Vec<Successor<Self>> {
        let after = |step: Step| {
            let mut state = world.clone();
            state.apply(step);
            Successor {
                state,
                step,
                is_fault: matches!(step, Step::Repeat | Step::Propose),
            }
        };
        world.steps(&self.bounds).into_iter().map(after).collect()
    }

    fn violation(&self, world: &World) -> Option<String> {
        let sum: u64 = (0..world.daemons.len())
            .map(|daemon| world.share(daemon))
            .sum();
        (sum > self.bounds.capacity)
            .then(|| format!("shares of {sum} of {} are in use", self.bounds.capacity))
    }

    /// All know the last epoch and either use the whole budget or gave some away, or time is over.
    fn is_settled(&self, world: &World) -> bool {
        let sum: u64 = (0..world.daemons.len())
            .map(|daemon| world.share(daemon))
            .sum();
        let is_whole = sum == self.bounds.capacity || world.asks > 0;
        is_whole || world.now >= self.bounds.ticks
    }
}
