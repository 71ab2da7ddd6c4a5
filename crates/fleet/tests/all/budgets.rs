//! Shares: their sum at every instant, transfers, idle share and changes of capacity.

use crate::driver::{daemon, epoch, ms, secs};
use anvilgw_fleet::{
    BudgetAction, BudgetId, Budgets, Epoch, FRESHNESS_LIMIT, Split, Transfer, TransferError,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::time::Duration;

const EVEN: BudgetId = BudgetId(7);
const COLD: BudgetId = BudgetId(8);
const CAPACITY: u64 = 100;
const COUNT: u32 = 5;

fn member(index: u32) -> Budgets {
    let mut budgets = Budgets::new(daemon(index));
    budgets.set_capacity(EVEN, Split::Even, CAPACITY, ms(0));
    budgets.set_capacity(COLD, Split::Owner, 3, ms(0));
    budgets
}

/// Members that all know epoch 1 and whose wait is over at 5 s.
fn settled() -> Vec<Budgets> {
    let mut members: Vec<_> = (0..COUNT).map(member).collect();
    for member in &mut members {
        member.on_epoch(&epoch(1, 0..COUNT), secs(2));
    }
    members
}

fn sum(members: &[Budgets], id: BudgetId, now: Duration) -> u64 {
    members
        .iter()
        .map(|member| member.share(id, true, now))
        .sum()
}

/// Guards against shares that are used before the wait, lost in the split, or used with a stale view.
#[test]
fn base_shares_split_the_whole_after_the_wait() {
    let members = settled();
    assert_eq!(sum(&members, EVEN, secs(4)), 0);
    assert_eq!(sum(&members, EVEN, secs(5)), CAPACITY);
    assert_eq!(sum(&members, COLD, secs(5)), 3);
    assert_eq!(members[0].share(EVEN, false, secs(5)), 0);
}

fn transfer_of(actions: &[BudgetAction]) -> Option<Transfer> {
    actions.iter().find_map(|action| match action {
        BudgetAction::Send(transfer) if transfer.budget == EVEN => Some(*transfer),
        _ => None,
    })
}

/// Transfers that differ from a good one and the reasons for which they are refused.
fn altered(good: Transfer) -> Vec<(Transfer, TransferError)> {
    vec![
        (
            Transfer {
                receiver: daemon(99),
                ..good
            },
            TransferError::WrongMember,
        ),
        (
            Transfer {
                giver: daemon(99),
                ..good
            },
            TransferError::WrongMember,
        ),
        (
            Transfer { epoch: 2, ..good },
            TransferError::EpochMismatch(2),
        ),
        (
            Transfer {
                capacity: 99,
                ..good
            },
            TransferError::CapacityMismatch(99),
        ),
        (
            Transfer { amount: 0, ..good },
            TransferError::AmountOutOfRange(0),
        ),
        (
            Transfer {
                amount: 101,
                ..good
            },
            TransferError::AmountOutOfRange(101),
        ),
        (
            Transfer {
                budget: BudgetId(1),
                ..good
            },
            TransferError::UnknownBudget,
        ),
    ]
}

/// Guards against a transfer that is added twice, by the wrong daemon, or in another epoch.
#[test]
fn a_transfer_counts_once_and_only_where_it_belongs() {
    let mut members = settled();
    let now = secs(8);
    let owner = members[0].owner(EVEN).unwrap().index as usize;
    let giver = (owner + 1) % COUNT as usize;
    let transfer = transfer_of(&members[giver].tick(true, now, |_| true)).expect("idle share");
    let without = sum(&members, EVEN, now);
    assert_eq!(
        without + transfer.amount,
        CAPACITY,
        "subtracted before it is sent"
    );
    for (transfer, error) in altered(transfer) {
        assert_eq!(members[owner].on_transfer(&transfer, now), Err(error));
    }
    for _ in 0..3 {
        assert_eq!(members[owner].on_transfer(&transfer, now), Ok(()));
    }
    assert_eq!(sum(&members, EVEN, now), CAPACITY);
    members[owner].on_epoch(&epoch(2, 0..COUNT), now);
    let late = Transfer {
        id: transfer.id + 1,
        ..transfer
    };
    assert_eq!(
        members[owner].on_transfer(&late, now),
        Err(TransferError::EpochMismatch(1))
    );
}

/// Guards against idle share that the busy member does not get within 3 s.
#[test]
fn idle_share_reaches_the_busy_member() {
    let mut members = settled();
    let busy = 2;
    let mut taken = 0;
    let mut now = secs(10);
    while now < secs(13) {
        now += ms(50);
        while members[busy].try_acquire(EVEN, 1, true, now) {
            taken += 1;
        }
        exchange(&mut members, now);
    }
    assert_eq!(taken, CAPACITY);
    assert_eq!(members[busy].in_use(EVEN), CAPACITY);
}

/// Carries out the actions of all members at once.
fn exchange(members: &mut [Budgets], now: Duration) {
    for at in 0..members.len() {
        for action in members[at].tick(true, now, |_| true) {
            let transfer = match action {
                BudgetAction::Send(transfer) => Some(transfer),
                BudgetAction::RequestShare { to, budget, amount } => members[to.index as usize]
                    .on_share_request(daemon(at as u32), budget, amount, true, now),
            };
            if let Some(transfer) = transfer {
                let _ = members[transfer.receiver.index as usize].on_transfer(&transfer, now);
            }
        }
    }
}

/// Guards against a capacity that grows at once or shrinks late, also after transfers.
#[test]
fn capacity_shrinks_at_once_and_grows_after_the_wait() {
    for id in [EVEN, COLD] {
        let split = if id == EVEN {
            Split::Even
        } else {
            Split::Owner
        };
        let mut members = settled();
        for step in 0..40 {
            exchange(&mut members, secs(8) + ms(50 * step));
        }
        let whole = sum(&members, id, secs(10));
        for (at, capacity) in [(10, whole / 2), (11, whole), (20, whole * 2), (21, 1)] {
            for member in &mut members {
                member.set_capacity(id, split, capacity, secs(at));
            }
            if capacity < whole {
                assert!(
                    sum(&members, id, secs(at)) <= capacity,
                    "shrink to {capacity}"
                );
            } else {
                assert!(
                    sum(&members, id, secs(at + 2)) <= whole,
                    "growth to {capacity} too early"
                );
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u8),
    /// The log gets a new epoch without the members whose bits are set.
    Epoch(u8),
    /// A member reads the log.
    Read(u8),
    Cut(u8, bool),
    Exchange {
        lose: u8,
    },
    Take(u8),
    Release(u8),
    Capacity(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let value = u8::arbitrary(g);
        match u8::arbitrary(g) % 12 {
            0 => Self::Epoch(value),
            1 | 2 => Self::Read(value),
            3 => Self::Cut(value, bool::arbitrary(g)),
            4 | 5 => Self::Exchange { lose: value },
            6 => Self::Take(value),
            7 => Self::Release(value),
            8 => Self::Capacity(value),
            _ => Self::Wait(value),
        }
    }
}

/// Members that read a log of epochs and capacities, some of them cut off from it for a time.
struct Run {
    now: Duration,
    log: Vec<(Epoch, u64)>,
    members: Vec<Budgets>,
    read: Vec<(usize, Duration)>,
    cut: Vec<bool>,
    /// Capacity and the time at which it was replaced by a smaller one.
    larger: Vec<(u64, Duration)>,
}

impl Run {
    fn new() -> Self {
        Self {
            now: secs(10),
            log: vec![(epoch(1, 0..COUNT), CAPACITY)],
            members: settled(),
            read: vec![(1, secs(10)); COUNT as usize],
            cut: vec![false; COUNT as usize],
            larger: Vec::new(),
        }
    }

    fn read(&mut self, at: usize) {
        let (known, _) = self.read[at];
        for (epoch, capacity) in &self.log[known..] {
            self.members[at].on_epoch(epoch, self.now);
            self.members[at].set_capacity(EVEN, Split::Even, *capacity, self.now);
        }
        self.read[at] = (self.log.len(), self.now);
    }

    fn append(&mut self, members: impl IntoIterator<Item = u32>, capacity: u64) {
        let (last, old) = self.log.last().expect("the first epoch");
        if *old > capacity {
            self.larger.push((*old, self.now));
        }
        let number = last.number + 1;
        self.log.push((epoch(number, members), capacity));
    }

    fn fresh(&self, at: usize) -> bool {
        self.now.saturating_sub(self.read[at].1) <= FRESHNESS_LIMIT
    }

    fn step(&mut self, step: Step) {
        let member = |value: u8| usize::from(value) % COUNT as usize;
        match step {
            Step::Wait(tens) => self.now += ms(u64::from(tens) * 10),
            Step::Epoch(out) => {
                let capacity = self.log.last().map_or(0, |(_, capacity)| *capacity);
                self.append((0..COUNT).filter(|i| out >> i & 1 == 0), capacity);
            }
            Step::Capacity(capacity) => self.append(0..COUNT, u64::from(capacity)),
            Step::Cut(value, cut) => self.cut[member(value)] = cut,
            Step::Read(value) if !self.cut[member(value)] => self.read(member(value)),
            Step::Take(value) => {
                let fresh = self.fresh(member(value));
                self.members[member(value)].try_acquire(EVEN, 7, fresh, self.now);
            }
            Step::Release(value) => {
                let used = self.members[member(value)].in_use(EVEN);
                self.members[member(value)].release(EVEN, used);
            }
            Step::Exchange { lose } => self.exchange(lose),
            Step::Read(_) => {}
        }
    }

    fn exchange(&mut self, lose: u8) {
        for at in 0..self.members.len() {
            let fresh = self.fresh(at);
            for action in self.members[at].tick(fresh, self.now, |_| true) {
                let transfer = match action {
                    BudgetAction::Send(transfer) => Some(transfer),
                    BudgetAction::RequestShare { to, budget, amount } => {
                        let to = to.index as usize;
                        let fresh = self.fresh(to);
                        let from = daemon(at as u32);
                        self.members[to].on_share_request(from, budget, amount, fresh, self.now)
                    }
                };
                if let Some(transfer) = transfer.filter(|_| lose >> at & 1 == 0) {
                    let to = transfer.receiver.index as usize;
                    let _ = self.members[to].on_transfer(&transfer, self.now);
                    let _ = self.members[to].on_transfer(&transfer, self.now);
                }
            }
        }
    }

    /// The current capacity, or a larger one that a fresh member may not know to be replaced.
    fn bound(&self) -> u64 {
        let spreading = self
            .larger
            .iter()
            .filter(|(_, at)| self.now - *at <= FRESHNESS_LIMIT);
        let current = self.log.last().map_or(0, |(_, capacity)| *capacity);
        spreading
            .map(|(capacity, _)| *capacity)
            .fold(current, u64::max)
    }
}

/// Guards against a sum of shares above the whole at any instant of any order of epochs, reads,
/// staleness, lost and repeated transfers and changes of capacity.
#[test]
fn the_sum_of_shares_never_exceeds_the_whole() {
    fn check(steps: Vec<Step>) -> bool {
        let mut run = Run::new();
        steps.into_iter().all(|step| {
            run.step(step);
            let fresh = |at: usize| run.fresh(at);
            let shares = run.members.iter().enumerate();
            let sum: u64 = shares
                .map(|(at, m)| m.share(EVEN, fresh(at), run.now))
                .sum();
            sum <= run.bound()
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(20_000)
        .quickcheck(check as fn(Vec<Step>) -> bool);
}
