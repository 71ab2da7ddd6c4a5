//! Shared budgets: the sum of the members' shares under partitions and kills, and the time until a
//! member has reclaimed the idle shares of the others.

use super::RunOptions;
use crate::report::{Figures, Report};
use anvilgw_core::DaemonId;
use anvilgw_fleet::{
    BudgetAction, BudgetId, Budgets, Epoch, FRESHNESS_LIMIT, RecordId, Split, Transfer,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::time::Duration;

const MEMBERS: u32 = 18;
const CAPACITY: u64 = 1_000;
const BUDGET: BudgetId = BudgetId(3);
const STEP: Duration = Duration::from_millis(20);
/// Time for the shares to settle before a reclaim is measured, and time limit of the reclaim.
const SETTLE_TIME: Duration = Duration::from_secs(10);
const RUN_TIME: Duration = Duration::from_secs(1_800);
const LONG_RUN_TIME: Duration = Duration::from_secs(24 * 3_600);

/// Time from a change of the reachable members to the next epoch: detection and proposal.
const EPOCH_DELAY: Duration = Duration::from_secs(5);

/// Probability that a message between two members is lost.
const MESSAGE_LOSS: f64 = 0.05;

/// Interval and limit of the attempts to send a transfer.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);
const MAX_ATTEMPTS: u32 = 5;

const MAX_RATIO: f64 = 1.0;
const MAX_RECLAIM_TIME: Duration = Duration::from_secs(3);

fn daemon(index: u32, incarnation: u64) -> DaemonId {
    DaemonId { index, incarnation }
}

/// A member with its view of the shared budget.
struct Member {
    budgets: Budgets,
    id: DaemonId,
    is_up: bool,
    /// Whether the member reaches neither the log nor the other members.
    is_partitioned: bool,
    last_log_read: Duration,
    known_epochs: usize,
    demand: u64,
}

impl Member {
    fn new(id: DaemonId, now: Duration) -> Self {
        let mut budgets = Budgets::new(id);
        budgets.set_capacity(BUDGET, Split::Even, CAPACITY, now);
        Self {
            budgets,
            id,
            is_up: true,
            is_partitioned: false,
            last_log_read: now,
            known_epochs: 0,
            demand: 0,
        }
    }

    fn is_fresh(&self, now: Duration) -> bool {
        self.is_up && now.saturating_sub(self.last_log_read) <= FRESHNESS_LIMIT
    }
}

/// A transfer that its sender repeats until the receiver has acknowledged it.
struct PendingTransfer {
    transfer: Transfer,
    from: usize,
    next: Duration,
    attempts: u32,
}

/// Simulated members of a fleet with the log of their epochs.
struct BudgetSimulation {
    pending_transfers: Vec<PendingTransfer>,
    now: Duration,
    members: Vec<Member>,
    epochs: Vec<Epoch>,
    last_fault_at: Duration,
    rng: StdRng,
}

impl BudgetSimulation {
    fn new(seed: u64) -> Self {
        let members = (0..MEMBERS).map(|i| Member::new(daemon(i, 1), Duration::ZERO));
        let mut simulation = Self {
            pending_transfers: Vec::new(),
            now: Duration::ZERO,
            members: members.collect(),
            epochs: Vec::new(),
            last_fault_at: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
        };
        simulation.append_epoch();
        simulation
    }

    fn append_epoch(&mut self) {
        let live = self
            .members
            .iter()
            .filter(|member| member.is_up && !member.is_partitioned);
        let number = self.epochs.len() as u64 + 1;
        self.epochs.push(Epoch {
            number,
            members: live.map(|member| member.id).collect(),
            record: RecordId(number.into()),
        });
    }

    /// Kills, restarts, partitions or reconnects a random member, once in 8 s on average.
    fn inject_fault(&mut self) {
        if !self.rng.random_bool(STEP.as_secs_f64() / 8.0) {
            return;
        }
        let index = self.rng.random_range(0..self.members.len());
        // At most a third of the members is unavailable, so a majority of the last epoch remains.
        let unavailable = self
            .members
            .iter()
            .filter(|member| !member.is_up || member.is_partitioned)
            .count();
        let limit = self.members.len() / 3;
        let member = &mut self.members[index];
        if !member.is_up {
            let id = daemon(member.id.index, member.id.incarnation + 1);
            *member = Member::new(id, self.now);
        } else if member.is_partitioned {
            member.is_partitioned = false;
        } else if unavailable < limit {
            member.is_up = self.rng.random_bool(0.5);
            member.is_partitioned = member.is_up;
        }
        self.last_fault_at = self.now;
    }

    fn advance(&mut self) {
        self.now += STEP;
        let now = self.now;
        let stale_epoch = self.epochs.last().is_some_and(|epoch| {
            let live = self
                .members
                .iter()
                .filter(|m| m.is_up && !m.is_partitioned)
                .map(|m| m.id);
            !live.eq(epoch.members.iter().copied())
        });
        if stale_epoch && now.saturating_sub(self.last_fault_at) >= EPOCH_DELAY {
            self.append_epoch();
        }
        for member in &mut self.members {
            // Members read the log at random times, and learn of an epoch up to about a second
            // late.
            if member.is_up
                && !member.is_partitioned
                && self.rng.random_bool(STEP.as_secs_f64() / 0.5)
            {
                for epoch in &self.epochs[member.known_epochs..] {
                    member.budgets.on_epoch(epoch, now);
                }
                member.known_epochs = self.epochs.len();
                member.last_log_read = now;
            }
        }
        self.exchange_shares();
    }

    fn exchange_shares(&mut self) {
        let now = self.now;
        for at in 0..self.members.len() {
            let fresh = self.members[at].is_fresh(now);
            let member = &mut self.members[at];
            if !member.is_up {
                continue;
            }
            member.adjust_use(fresh, now);
            let actions = member.budgets.tick(fresh, now, |_| true);
            for action in actions {
                let transfer = match action {
                    BudgetAction::Send(transfer) => Some(transfer),
                    BudgetAction::RequestShare { to, budget, amount } => {
                        self.request_share(at, to, budget, amount)
                    }
                };
                self.pending_transfers
                    .extend(transfer.map(|transfer| PendingTransfer {
                        transfer,
                        from: transfer.giver.index as usize,
                        next: now,
                        attempts: 0,
                    }));
            }
        }
        let mut pending_transfers = std::mem::take(&mut self.pending_transfers);
        pending_transfers.retain_mut(|sent| self.resend_if_due(sent));
        self.pending_transfers = pending_transfers;
    }

    /// Sends a transfer if an attempt is due. Returns whether the transfer is still pending.
    fn resend_if_due(&mut self, sent: &mut PendingTransfer) -> bool {
        if self.now < sent.next {
            return true;
        }
        sent.next = self.now + RESEND_INTERVAL;
        sent.attempts += 1;
        let receiver = sent.transfer.receiver.index as usize;
        let arrived = !self.is_lost(sent.from, receiver);
        if arrived {
            let budgets = &mut self.members[receiver].budgets;
            let _ = budgets.on_transfer(&sent.transfer, self.now);
        }
        // The acknowledgement can be lost too, in which case the transfer arrives twice.
        let answered = arrived && !self.is_lost(receiver, sent.from);
        !answered && sent.attempts < MAX_ATTEMPTS
    }

    fn is_lost(&mut self, a: usize, b: usize) -> bool {
        let is_disconnected = [a, b]
            .iter()
            .any(|&at| self.members[at].is_partitioned || !self.members[at].is_up);
        is_disconnected || self.rng.random_bool(MESSAGE_LOSS)
    }

    fn request_share(
        &mut self,
        from: usize,
        to: DaemonId,
        id: BudgetId,
        amount: u64,
    ) -> Option<Transfer> {
        let owner = to.index as usize;
        if self.is_lost(from, owner) || self.members[owner].id != to {
            return None;
        }
        let fresh = self.members[owner].is_fresh(self.now);
        let requester = self.members[from].id;
        let budgets = &mut self.members[owner].budgets;
        budgets.on_share_request(requester, id, amount, fresh, self.now)
    }

    /// Returns the sum of the shares that the running members may use.
    fn total_share(&self) -> u64 {
        let share = |m: &Member| m.budgets.share(BUDGET, m.is_fresh(self.now), self.now);
        self.members.iter().filter(|m| m.is_up).map(share).sum()
    }

    /// Returns the sum of shares of the baseline, in which each member divides the capacity by the
    /// number of members that it reaches, itself included.
    fn total_share_without_epochs(&self) -> f64 {
        let connected = self
            .members
            .iter()
            .filter(|m| m.is_up && !m.is_partitioned)
            .count();
        let share = |m: &Member| {
            let view = if m.is_partitioned { 1 } else { connected };
            CAPACITY as f64 / view as f64
        };
        self.members.iter().filter(|m| m.is_up).map(share).sum()
    }
}

impl Member {
    /// Acquires or releases budget until the use equals the demand or the share is used up.
    fn adjust_use(&mut self, fresh: bool, now: Duration) {
        let used = self.budgets.in_use(BUDGET);
        if used > self.demand {
            self.budgets.release(BUDGET, used - self.demand);
        } else if used < self.demand {
            let share = self.budgets.share(BUDGET, fresh, now);
            let possible = self.demand.min(share.max(used));
            self.budgets
                .try_acquire(BUDGET, possible - used, fresh, now);
            if possible < self.demand {
                self.budgets
                    .try_acquire(BUDGET, self.demand - possible, fresh, now);
            }
        }
    }
}

/// Sum of shares in units of the capacity over a run, and the number of epochs.
struct SumOfShares {
    max: f64,
    baseline_max: f64,
    mean: f64,
    epochs: usize,
}

fn measure_sum_of_shares(seed: u64, time: Duration) -> SumOfShares {
    let mut simulation = BudgetSimulation::new(seed);
    let mut result = SumOfShares {
        max: 0.0,
        baseline_max: 0.0,
        mean: 0.0,
        epochs: 0,
    };
    let mut steps = 0_u32;
    while simulation.now < time {
        simulation.inject_fault();
        for at in 0..simulation.members.len() {
            if simulation.rng.random_bool(STEP.as_secs_f64() / 4.0) {
                simulation.members[at].demand = simulation.rng.random_range(0..CAPACITY / 6);
            }
        }
        simulation.advance();
        let sum = simulation.total_share() as f64 / CAPACITY as f64;
        result.max = result.max.max(sum);
        let baseline = simulation.total_share_without_epochs() / CAPACITY as f64;
        result.baseline_max = result.baseline_max.max(baseline);
        result.mean += sum;
        steps += 1;
    }
    result.mean /= f64::from(steps);
    result.epochs = simulation.epochs.len();
    result
}

/// Returns the time that a member with demand for the full capacity needs to acquire nine tenths of
/// it, after the demand of the others drops to zero, or `None` after [`SETTLE_TIME`]. Nine tenths
/// suffice, since the share in an abandoned transfer is unavailable until the next epoch.
fn measure_reclaim(seed: u64, claimant: usize) -> Option<Duration> {
    let mut simulation = BudgetSimulation::new(seed);
    for member in &mut simulation.members {
        member.demand = CAPACITY / u64::from(MEMBERS);
    }
    while simulation.now < SETTLE_TIME {
        simulation.advance();
    }
    let start = simulation.now;
    for (at, member) in simulation.members.iter_mut().enumerate() {
        member.demand = if at == claimant { CAPACITY } else { 0 };
    }
    while simulation.now < start + SETTLE_TIME {
        simulation.advance();
        if simulation.members[claimant].budgets.in_use(BUDGET) >= CAPACITY * 9 / 10 {
            return Some(simulation.now - start);
        }
    }
    None
}

/// Measures the sum of shares over a random run, and the reclaim time of each member.
pub(crate) fn run(options: RunOptions) -> Report {
    let time = if options.long {
        LONG_RUN_TIME
    } else {
        RUN_TIME
    };
    let result = measure_sum_of_shares(options.seed, time);
    let reclaims = (0..MEMBERS as usize)
        .map(|claimant| measure_reclaim(options.seed + claimant as u64, claimant));
    let reclaims: Vec<_> = reclaims.collect();
    let missed = reclaims.iter().filter(|time| time.is_none()).count();
    let slowest = reclaims.iter().flatten().max().copied().unwrap_or_default();
    let mut target = Figures::new();
    target.insert("sum_of_shares_ratio_max".into(), json!(MAX_RATIO));
    target.insert(
        "reclaim_max_s".into(),
        json!(MAX_RECLAIM_TIME.as_secs_f64()),
    );
    let mut baseline = Figures::new();
    baseline.insert("sum_of_shares_ratio_max".into(), json!(result.baseline_max));
    let mut product = Figures::new();
    product.insert("sum_of_shares_ratio_max".into(), json!(result.max));
    product.insert("sum_of_shares_ratio_mean".into(), json!(result.mean));
    product.insert("epochs".into(), json!(result.epochs));
    product.insert("reclaim_max_s".into(), json!(slowest.as_secs_f64()));
    product.insert("reclaims".into(), json!(reclaims.len()));
    product.insert("reclaims_missed".into(), json!(missed));
    let mut ratio = Figures::new();
    ratio.insert(
        "sum_of_shares_ratio_max".into(),
        json!(result.max / result.baseline_max),
    );
    Report {
        experiment: "budgets",
        seed: options.seed,
        target,
        baseline,
        product,
        ratio,
        pass: result.max <= MAX_RATIO && missed == 0 && slowest <= MAX_RECLAIM_TIME,
    }
}
