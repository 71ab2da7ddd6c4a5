//! Shared budgets: the sum of shares under partitions and kills, and the reclaim of idle share.

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
const SETTLE_TIME: Duration = Duration::from_secs(10);
const RUN_TIME: Duration = Duration::from_secs(1_800);
const LONG_RUN_TIME: Duration = Duration::from_secs(24 * 3_600);

/// Detection of a failure and the proposal of an epoch take about this long.
const EPOCH_DELAY: Duration = Duration::from_secs(5);

/// Share of messages between members that are lost.
const LOSS: f64 = 0.05;

/// How a sender repeats a transfer.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);
const MAX_TRIES: u32 = 5;

const MAX_RATIO: f64 = 1.0;
const MAX_RECLAIM: Duration = Duration::from_secs(3);

fn daemon(index: u32, incarnation: u64) -> DaemonId {
    DaemonId { index, incarnation }
}

struct Member {
    budgets: Budgets,
    id: DaemonId,
    up: bool,
    /// Cut off from the log and from the other members.
    cut: bool,
    read_at: Duration,
    known_epochs: usize,
    wanted: u64,
}

impl Member {
    fn new(id: DaemonId, now: Duration) -> Self {
        let mut budgets = Budgets::new(id);
        budgets.set_capacity(BUDGET, Split::Even, CAPACITY, now);
        Self {
            budgets,
            id,
            up: true,
            cut: false,
            read_at: now,
            known_epochs: 0,
            wanted: 0,
        }
    }

    fn is_fresh(&self, now: Duration) -> bool {
        self.up && now.saturating_sub(self.read_at) <= FRESHNESS_LIMIT
    }
}

/// A transfer that its sender repeats until it is answered.
struct Outgoing {
    transfer: Transfer,
    from: usize,
    next: Duration,
    tries: u32,
}

/// Members, the log of epochs, and a random load.
struct Run {
    outgoing: Vec<Outgoing>,
    now: Duration,
    members: Vec<Member>,
    epochs: Vec<Epoch>,
    changed_at: Duration,
    rng: StdRng,
}

impl Run {
    fn new(seed: u64) -> Self {
        let members = (0..MEMBERS).map(|i| Member::new(daemon(i, 1), Duration::ZERO));
        let mut run = Self {
            outgoing: Vec::new(),
            now: Duration::ZERO,
            members: members.collect(),
            epochs: Vec::new(),
            changed_at: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
        };
        run.append_epoch();
        run
    }

    fn append_epoch(&mut self) {
        let live = self
            .members
            .iter()
            .filter(|member| member.up && !member.cut);
        let number = self.epochs.len() as u64 + 1;
        self.epochs.push(Epoch {
            number,
            members: live.map(|member| member.id).collect(),
            record: RecordId(number.into()),
        });
    }

    /// Kills, restarts, cuts or reconnects a random member now and then.
    fn disturb(&mut self) {
        if !self.rng.random_bool(STEP.as_secs_f64() / 8.0) {
            return;
        }
        let index = self.rng.random_range(0..self.members.len());
        // A third at most is away, so a majority of the last epoch remains.
        let away = self
            .members
            .iter()
            .filter(|member| !member.up || member.cut)
            .count();
        let limit = self.members.len() / 3;
        let member = &mut self.members[index];
        if !member.up {
            let id = daemon(member.id.index, member.id.incarnation + 1);
            *member = Member::new(id, self.now);
        } else if member.cut {
            member.cut = false;
        } else if away < limit {
            member.up = self.rng.random_bool(0.5);
            member.cut = member.up;
        }
        self.changed_at = self.now;
    }

    fn advance(&mut self) {
        self.now += STEP;
        let now = self.now;
        let stale_epoch = self.epochs.last().is_some_and(|epoch| {
            let live = self.members.iter().filter(|m| m.up && !m.cut).map(|m| m.id);
            !live.eq(epoch.members.iter().copied())
        });
        if stale_epoch && now.saturating_sub(self.changed_at) >= EPOCH_DELAY {
            self.append_epoch();
        }
        for member in &mut self.members {
            // Reads are spread: each member learns of an epoch up to about a second late.
            if member.up && !member.cut && self.rng.random_bool(STEP.as_secs_f64() / 0.5) {
                for epoch in &self.epochs[member.known_epochs..] {
                    member.budgets.on_epoch(epoch, now);
                }
                member.known_epochs = self.epochs.len();
                member.read_at = now;
            }
        }
        self.exchange();
    }

    fn exchange(&mut self) {
        let now = self.now;
        for at in 0..self.members.len() {
            let fresh = self.members[at].is_fresh(now);
            let member = &mut self.members[at];
            if !member.up {
                continue;
            }
            member.take_and_release(fresh, now);
            let actions = member.budgets.tick(fresh, now, |_| true);
            for action in actions {
                let transfer = match action {
                    BudgetAction::Send(transfer) => Some(transfer),
                    BudgetAction::RequestShare { to, budget, amount } => {
                        self.ask(at, to, budget, amount)
                    }
                };
                self.outgoing.extend(transfer.map(|transfer| Outgoing {
                    transfer,
                    from: transfer.giver.index as usize,
                    next: now,
                    tries: 0,
                }));
            }
        }
        let mut outgoing = std::mem::take(&mut self.outgoing);
        outgoing.retain_mut(|sent| self.send_again(sent));
        self.outgoing = outgoing;
    }

    /// Sends a transfer if it is time. Returns whether it has to be sent again.
    fn send_again(&mut self, sent: &mut Outgoing) -> bool {
        if self.now < sent.next {
            return true;
        }
        sent.next = self.now + RESEND_INTERVAL;
        sent.tries += 1;
        let receiver = sent.transfer.receiver.index as usize;
        let arrived = !self.is_lost(sent.from, receiver);
        if arrived {
            let budgets = &mut self.members[receiver].budgets;
            let _ = budgets.on_transfer(&sent.transfer, self.now);
        }
        // The answer can be lost too; the transfer then arrives twice.
        let answered = arrived && !self.is_lost(receiver, sent.from);
        !answered && sent.tries < MAX_TRIES
    }

    fn is_lost(&mut self, a: usize, b: usize) -> bool {
        let apart = [a, b]
            .iter()
            .any(|&at| self.members[at].cut || !self.members[at].up);
        apart || self.rng.random_bool(LOSS)
    }

    fn ask(&mut self, from: usize, to: DaemonId, id: BudgetId, amount: u64) -> Option<Transfer> {
        let owner = to.index as usize;
        if self.is_lost(from, owner) || self.members[owner].id != to {
            return None;
        }
        let fresh = self.members[owner].is_fresh(self.now);
        let asker = self.members[from].id;
        let budgets = &mut self.members[owner].budgets;
        budgets.on_share_request(asker, id, amount, fresh, self.now)
    }

    fn shares(&self) -> u64 {
        let share = |m: &Member| m.budgets.share(BUDGET, m.is_fresh(self.now), self.now);
        self.members.iter().filter(|m| m.up).map(share).sum()
    }

    /// Baseline: each member takes the whole divided by the members it can reach itself.
    fn shares_without_epochs(&self) -> f64 {
        let connected = self.members.iter().filter(|m| m.up && !m.cut).count();
        let share = |m: &Member| {
            let view = if m.cut { 1 } else { connected };
            CAPACITY as f64 / view as f64
        };
        self.members.iter().filter(|m| m.up).map(share).sum()
    }
}

impl Member {
    fn take_and_release(&mut self, fresh: bool, now: Duration) {
        let used = self.budgets.in_use(BUDGET);
        if used > self.wanted {
            self.budgets.release(BUDGET, used - self.wanted);
        } else if used < self.wanted {
            let share = self.budgets.share(BUDGET, fresh, now);
            let possible = self.wanted.min(share.max(used));
            self.budgets
                .try_acquire(BUDGET, possible - used, fresh, now);
            if possible < self.wanted {
                self.budgets
                    .try_acquire(BUDGET, self.wanted - possible, fresh, now);
            }
        }
    }
}

struct SumResult {
    ratio: f64,
    baseline: f64,
    mean: f64,
    epochs: usize,
}

fn sum_of_shares(seed: u64, time: Duration) -> SumResult {
    let mut run = Run::new(seed);
    let mut result = SumResult {
        ratio: 0.0,
        baseline: 0.0,
        mean: 0.0,
        epochs: 0,
    };
    let mut steps = 0_u32;
    while run.now < time {
        run.disturb();
        for at in 0..run.members.len() {
            if run.rng.random_bool(STEP.as_secs_f64() / 4.0) {
                run.members[at].wanted = run.rng.random_range(0..CAPACITY / 6);
            }
        }
        run.advance();
        let sum = run.shares() as f64 / CAPACITY as f64;
        result.ratio = result.ratio.max(sum);
        let baseline = run.shares_without_epochs() / CAPACITY as f64;
        result.baseline = result.baseline.max(baseline);
        result.mean += sum;
        steps += 1;
    }
    result.mean /= f64::from(steps);
    result.epochs = run.epochs.len();
    result
}

/// Time from the moment at which one member needs the whole and the others nothing until it has nine
/// tenths; transfers that were given up cost the rest until the next epoch.
fn reclaim(seed: u64, busy: usize) -> Option<Duration> {
    let mut run = Run::new(seed);
    for member in &mut run.members {
        member.wanted = CAPACITY / u64::from(MEMBERS);
    }
    while run.now < SETTLE_TIME {
        run.advance();
    }
    let start = run.now;
    for (at, member) in run.members.iter_mut().enumerate() {
        member.wanted = if at == busy { CAPACITY } else { 0 };
    }
    while run.now < start + SETTLE_TIME {
        run.advance();
        if run.members[busy].budgets.in_use(BUDGET) >= CAPACITY * 9 / 10 {
            return Some(run.now - start);
        }
    }
    None
}

/// Runs the experiment.
pub(crate) fn run(options: RunOptions) -> Report {
    let time = if options.long {
        LONG_RUN_TIME
    } else {
        RUN_TIME
    };
    let result = sum_of_shares(options.seed, time);
    let reclaims = (0..MEMBERS as usize).map(|busy| reclaim(options.seed + busy as u64, busy));
    let reclaims: Vec<_> = reclaims.collect();
    let missed = reclaims.iter().filter(|time| time.is_none()).count();
    let slowest = reclaims.iter().flatten().max().copied().unwrap_or_default();
    let mut target = Figures::new();
    target.insert("sum_of_shares_ratio_max".into(), json!(MAX_RATIO));
    target.insert("reclaim_max_s".into(), json!(MAX_RECLAIM.as_secs_f64()));
    let mut baseline = Figures::new();
    baseline.insert("sum_of_shares_ratio_max".into(), json!(result.baseline));
    let mut product = Figures::new();
    product.insert("sum_of_shares_ratio_max".into(), json!(result.ratio));
    product.insert("sum_of_shares_ratio_mean".into(), json!(result.mean));
    product.insert("epochs".into(), json!(result.epochs));
    product.insert("reclaim_max_s".into(), json!(slowest.as_secs_f64()));
    product.insert("reclaims".into(), json!(reclaims.len()));
    product.insert("reclaims_missed".into(), json!(missed));
    let mut ratio = Figures::new();
    ratio.insert(
        "sum_of_shares_ratio_max".into(),
        json!(result.ratio / result.baseline),
    );
    Report {
        experiment: "budgets",
        seed: options.seed,
        target,
        baseline,
        product,
        ratio,
        pass: result.ratio <= MAX_RATIO && missed == 0 && slowest <= MAX_RECLAIM,
    }
}
