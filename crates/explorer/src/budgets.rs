//! Model of epochs and shared budgets: daemons learn of epochs late, transfer budget shares to each
//! other and stop using their shares when their view is stale.
//!
//! Simplifications: a tick is half of the freshness limit, so a grown share becomes usable after
//! three ticks. The duty that writes epochs is not modelled: an epoch may be appended at any time,
//! also one that expects an epoch which is no longer the current one. A daemon's view is fresh only
//! through its own reads of the log, which take no time. No work is charged to the budgets, so
//! every share is idle and can be given away.

use crate::digested::Digested;
use crate::mutant::Mutant;
use crate::search::{Model, SearchOutcome, Successor, explore};
use anvilgw_core::{DaemonId, Offset};
use anvilgw_fleet::{
    BudgetId, Budgets, EpochFold, EpochRecord, Freshness, RecordId, Split, Transfer,
};
use std::fmt;
use std::time::Duration;

const TICK: Duration = Duration::from_secs(1);

/// Uptime at the start of the model, long after the daemons began to use the first epoch.
const INITIAL_UPTIME: Duration = Duration::from_secs(1_000);

const BUDGET: BudgetId = BudgetId(0);

/// Bounds of the budget model. Within them every order of steps is explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetBounds {
    /// Number of daemons.
    pub daemons: usize,
    /// Capacity of the budget that the daemons share.
    pub capacity: u64,
    /// Number of ticks of the clock.
    pub ticks: u64,
    /// Number of epochs that are appended after the first. They remove the last daemon from the
    /// members and add it back in turn.
    pub epochs: usize,
    /// Number of appended epochs that expect an old epoch, as after a repeated append or a lost
    /// race.
    pub stale_appends: u32,
    /// Number of requests of one daemon for a part of another daemon's share.
    pub share_requests: u32,
    /// Maximum number of states. A search that would exceed it is reported as incomplete.
    pub max_states: usize,
}

impl BudgetBounds {
    /// Returns the bounds that every CI run uses.
    #[must_use]
    pub fn short() -> Self {
        Self {
            daemons: 3,
            capacity: 4,
            ticks: 4,
            epochs: 2,
            stale_appends: 0,
            share_requests: 0,
            max_states: 400_000,
        }
    }

    /// Returns the bounds that every CI run uses for transfers of shares and repeated records.
    #[must_use]
    pub fn short_transfers() -> Self {
        Self {
            daemons: 2,
            epochs: 1,
            stale_appends: 1,
            share_requests: 1,
            ..Self::short()
        }
    }

    /// Returns the bounds for long runs.
    #[must_use]
    pub fn long() -> Self {
        Self {
            ticks: 6,
            stale_appends: 1,
            share_requests: 1,
            max_states: 2_000_000,
            ..Self::short()
        }
    }
}

/// Explores epochs and budgets. The shares in use may never add up to more than the capacity.
#[must_use]
pub fn budgets_model(bounds: BudgetBounds, mutant: Option<Mutant>) -> SearchOutcome {
    explore(&BudgetModel { bounds, mutant }, bounds.max_states)
}

struct BudgetModel {
    bounds: BudgetBounds,
    mutant: Option<Mutant>,
}

fn daemon_id(index: usize) -> DaemonId {
    DaemonId {
        index: index as u32,
        incarnation: 1,
    }
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Daemon {
    budgets: Digested<Budgets>,
    epochs: Digested<EpochFold>,
    freshness: Digested<Freshness>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct SystemState {
    now: u64,
    /// For each record of the log, the number of the epoch that it expects.
    log: Vec<u64>,
    daemons: Vec<Daemon>,
    transfers: Vec<Digested<Transfer>>,
    stale_appends: u32,
    share_requests: u32,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    AdvanceClock,
    AppendEpoch,
    AppendStaleEpoch,
    ReadLog(usize),
    RequestShare { from: usize, to: usize },
    DeliverTransfer(usize),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AdvanceClock => write!(f, "time passes"),
            Self::AppendEpoch => write!(f, "the next epoch is appended"),
            Self::AppendStaleEpoch => write!(f, "an epoch is appended that expects an old one"),
            Self::ReadLog(daemon) => write!(f, "daemon {daemon} reads the log"),
            Self::RequestShare { from, to } => {
                write!(f, "daemon {from} asks daemon {to} for a part of its share")
            }
            Self::DeliverTransfer(number) => write!(f, "transfer {number} arrives"),
        }
    }
}

/// Returns the log record that expects the given epoch. The parity of the epoch's number decides
/// whether the last daemon is a member.
fn epoch_record(offset: usize, expected: u64, daemons: usize) -> EpochRecord {
    let members = if expected.is_multiple_of(2) {
        daemons
    } else {
        daemons - 1
    };
    EpochRecord {
        id: RecordId(offset as u128),
        expected,
        members: (0..members).map(daemon_id).collect(),
        proposer: daemon_id(0),
    }
}

impl SystemState {
    fn uptime(&self) -> Duration {
        INITIAL_UPTIME + TICK * self.now as u32
    }

    fn is_fresh(&self, daemon: usize) -> bool {
        let freshness = self.daemons[daemon].freshness.get();
        freshness.may_take_new_work(self.uptime()).is_ok()
    }

    fn share(&self, daemon: usize) -> u64 {
        let budgets = self.daemons[daemon].budgets.get();
        budgets.share(BUDGET, self.is_fresh(daemon), self.uptime())
    }

    fn read_log(&mut self, daemon: usize, at: Duration) {
        let count = self.daemons.len();
        let log = &self.log;
        let state = &mut self.daemons[daemon];
        let mut folded = state.epochs.get().clone();
        let mut budgets = state.budgets.get().clone();
        let mut freshness = state.freshness.get().clone();
        let from = folded.next_offset().map_or(0, |next| next.0 as usize);
        for (offset, expected) in log.iter().enumerate().skip(from) {
            let payload = epoch_record(offset, *expected, count).encode();
            folded
                .apply(Offset(offset as u64), &payload)
                .expect("the offsets are consecutive");
            if let Some(epoch) = folded.current() {
                budgets.on_epoch(epoch, at);
                freshness.set_epoch(epoch);
            }
        }
        freshness.on_log_read(at);
        *state = Daemon {
            budgets: Digested::new(budgets),
            epochs: Digested::new(folded),
            freshness: Digested::new(freshness),
        };
    }

    fn request_share(&mut self, from: usize, to: usize, amount: u64) {
        let (fresh, now) = (self.is_fresh(to), self.uptime());
        let giver = &mut self.daemons[to].budgets;
        let transfer = giver.update(|budgets| {
            budgets.on_share_request(daemon_id(from), BUDGET, amount, fresh, now)
        });
        self.transfers.extend(transfer.map(Digested::new));
        self.share_requests += 1;
    }

    /// Delivers a transfer. An accepted transfer stays in flight, so it may be delivered again; a
    /// refused one is dropped.
    fn deliver_transfer(&mut self, number: usize) {
        let now = self.uptime();
        let transfer = self.transfers[number].clone();
        let receiver = transfer.get().receiver.index as usize;
        let budgets = &mut self.daemons[receiver].budgets;
        if budgets
            .update(|budgets| budgets.on_transfer(transfer.get(), now))
            .is_err()
        {
            self.transfers.remove(number);
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::AdvanceClock => self.now += 1,
            Step::AppendEpoch => self
                .log
                .push(self.log.len() as u64 - u64::from(self.stale_appends)),
            Step::AppendStaleEpoch => {
                self.stale_appends += 1;
                self.log.push(0);
            }
            Step::ReadLog(daemon) => self.read_log(daemon, self.uptime()),
            Step::RequestShare { from, to } => self.request_share(from, to, 1),
            Step::DeliverTransfer(number) => self.deliver_transfer(number),
        }
    }

    fn steps(&self, bounds: &BudgetBounds) -> Vec<Step> {
        let mut steps = Vec::new();
        steps.extend((self.now < bounds.ticks).then_some(Step::AdvanceClock));
        let epochs = self.log.len() - self.stale_appends as usize;
        steps.extend((epochs <= bounds.epochs).then_some(Step::AppendEpoch));
        steps.extend((self.stale_appends < bounds.stale_appends).then_some(Step::AppendStaleEpoch));
        let daemons = 0..self.daemons.len();
        steps.extend(daemons.clone().map(Step::ReadLog));
        if self.share_requests < bounds.share_requests {
            let pairs = daemons.clone().flat_map(|from| {
                let others = daemons.clone().filter(move |to| *to != from);
                others.map(move |to| Step::RequestShare { from, to })
            });
            steps.extend(pairs);
        }
        steps.extend((0..self.transfers.len()).map(Step::DeliverTransfer));
        steps
    }
}

impl Model for BudgetModel {
    type State = SystemState;
    type Step = Step;

    fn initial_state(&self) -> SystemState {
        let flaw = self.mutant.and_then(Mutant::fleet_flaw);
        let daemon = |index| {
            let mut budgets = Budgets::new(daemon_id(index)).with_flaw(flaw);
            budgets.set_capacity(BUDGET, Split::Even, self.bounds.capacity, Duration::ZERO);
            Daemon {
                budgets: Digested::new(budgets),
                epochs: Digested::new(EpochFold::new()),
                freshness: Digested::new(Freshness::new(daemon_id(index))),
            }
        };
        let mut system = SystemState {
            now: 0,
            log: vec![0],
            daemons: (0..self.bounds.daemons).map(daemon).collect(),
            transfers: Vec::new(),
            stale_appends: 0,
            share_requests: 0,
        };
        for daemon in 0..self.bounds.daemons {
            system.read_log(daemon, INITIAL_UPTIME / 2);
            system.read_log(daemon, INITIAL_UPTIME);
        }
        system
    }

    fn successors(&self, system: &SystemState) -> Vec<Successor<Self>> {
        let successor = |step: Step| {
            let mut state = system.clone();
            state.apply(step);
            Successor {
                state,
                step,
                is_fault: matches!(step, Step::AppendStaleEpoch | Step::AppendEpoch),
            }
        };
        system
            .steps(&self.bounds)
            .into_iter()
            .map(successor)
            .collect()
    }

    fn violation(&self, system: &SystemState) -> Option<String> {
        let sum: u64 = (0..system.daemons.len())
            .map(|daemon| system.share(daemon))
            .sum();
        (sum > self.bounds.capacity)
            .then(|| format!("shares of {sum} of {} are in use", self.bounds.capacity))
    }

    /// Returns whether the daemons use the whole budget, a share request was made (share may then
    /// be in flight or lost), or the clock has reached its bound.
    fn is_settled(&self, system: &SystemState) -> bool {
        let sum: u64 = (0..system.daemons.len())
            .map(|daemon| system.share(daemon))
            .sum();
        let is_accounted_for = sum == self.bounds.capacity || system.share_requests > 0;
        is_accounted_for || system.now >= self.bounds.ticks
    }
}
