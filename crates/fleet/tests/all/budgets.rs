//! Tests of shares: their sum at every instant, transfers, idle share and changes of capacity.

use crate::driver::{daemon_id, epoch, ms, secs};
use anvilgw_fleet::{
    BudgetAction, BudgetId, Budgets, Epoch, FRESHNESS_LIMIT, Split, Transfer, TransferError,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::time::Duration;

const EVEN_BUDGET: BudgetId = BudgetId(7);
const OWNER_BUDGET: BudgetId = BudgetId(8);
const CAPACITY: u64 = 100;
const COUNT: u32 = 5;

fn member(index: u32) -> Budgets {
    let mut budgets = Budgets::new(daemon_id(index));
    budgets.set_capacity(EVEN_BUDGET, Split::Even, CAPACITY, ms(0));
    budgets.set_capacity(OWNER_BUDGET, Split::Owner, 3, ms(0));
    budgets
}

/// Returns members that all know epoch 1, for which the delay ends before 5 s.
fn settled_members() -> Vec<Budgets> {
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

/// Guards against shares that are used before the delay has passed, that do not add up to the
/// capacity, or that are used with a stale view.
#[test]
fn base_shares_add_up_to_the_capacity_after_the_delay() {
    let members = settled_members();
    assert_eq!(sum(&members, EVEN_BUDGET, secs(4)), 0);
    assert_eq!(sum(&members, EVEN_BUDGET, secs(5)), CAPACITY);
    assert_eq!(sum(&members, OWNER_BUDGET, secs(5)), 3);
    assert_eq!(members[0].share(EVEN_BUDGET, false, secs(5)), 0);
}

fn transfer_of(actions: &[BudgetAction]) -> Option<Transfer> {
    actions.iter().find_map(|action| match action {
        BudgetAction::Send(transfer) if transfer.budget == EVEN_BUDGET => Some(*transfer),
        _ => None,
    })
}

/// Returns variants of a valid transfer, each with the error for which it is refused.
fn invalid_transfers(good: Transfer) -> Vec<(Transfer, TransferError)> {
    vec![
        (
            Transfer {
                receiver: daemon_id(99),
                ..good
            },
            TransferError::WrongMember,
        ),
        (
            Transfer {
                giver: daemon_id(99),
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
fn a_transfer_is_added_once_and_only_by_its_receiver_in_its_epoch() {
    let mut members = settled_members();
    let now = secs(8);
    let owner = members[0].owner(EVEN_BUDGET).unwrap().index as usize;
    let giver = (owner + 1) % COUNT as usize;
    let transfer = transfer_of(&members[giver].tick(true, now, |_| true)).expect("idle share");
    let without = sum(&members, EVEN_BUDGET, now);
    assert_eq!(
        without + transfer.amount,
        CAPACITY,
        "subtracted before it is sent"
    );
    for (transfer, error) in invalid_transfers(transfer) {
        assert_eq!(members[owner].on_transfer(&transfer, now), Err(error));
    }
    for _ in 0..3 {
        assert_eq!(members[owner].on_transfer(&transfer, now), Ok(()));
    }
    assert_eq!(sum(&members, EVEN_BUDGET, now), CAPACITY);
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

/// Guards against idle share that a busy member does not get within 3 s.
#[test]
fn idle_share_reaches_the_busy_member() {
    let mut members = settled_members();
    let busy = 2;
    let mut taken = 0;
    let mut now = secs(10);
    while now < secs(13) {
        now += ms(50);
        while members[busy].try_acquire(EVEN_BUDGET, 1, true, now) {
            taken += 1;
        }
        exchange(&mut members, now);
    }
    assert_eq!(taken, CAPACITY);
    assert_eq!(members[busy].in_use(EVEN_BUDGET), CAPACITY);
}

/// Carries out the actions of all members without delay or loss.
fn exchange(members: &mut [Budgets], now: Duration) {
    for at in 0..members.len() {
        for action in members[at].tick(true, now, |_| true) {
            let transfer = match action {
                BudgetAction::Send(transfer) => Some(transfer),
                BudgetAction::RequestShare { to, budget, amount } => members[to.index as usize]
                    .on_share_request(daemon_id(at as u32), budget, amount, true, now),
            };
            if let Some(transfer) = transfer {
                let _ = members[transfer.receiver.index as usize].on_transfer(&transfer, now);
            }
        }
    }
}

/// Guards against an increase of the capacity that takes effect at once and a decrease that takes
/// effect late, also after transfers.
#[test]
fn capacity_shrinks_at_once_and_grows_after_the_delay() {
    for id in [EVEN_BUDGET, OWNER_BUDGET] {
        let split = if id == EVEN_BUDGET {
            Split::Even
        } else {
            Split::Owner
        };
        let mut members = settled_members();
        for step in 0..40 {
            exchange(&mut members, secs(8) + ms(50 * step));
        }
        let initial = sum(&members, id, secs(10));
        for (at, capacity) in [(10, initial / 2), (11, initial), (20, initial * 2), (21, 1)] {
            for member in &mut members {
                member.set_capacity(id, split, capacity, secs(at));
            }
            if capacity < initial {
                assert!(
                    sum(&members, id, secs(at)) <= capacity,
                    "decrease to {capacity}"
                );
            } else {
                assert!(
                    sum(&members, id, secs(at + 2)) <= initial,
                    "increase to {capacity} before the delay"
                );
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u8),
    /// A new epoch without the members whose bits are set is appended to the log.
    Epoch(u8),
    /// A member reads the log, unless it is cut off from it.
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

/// Members that read a log of epochs and capacities. Some of them are cut off from the log for a
/// time.
struct Simulation {
    now: Duration,
    log: Vec<(Epoch, u64)>,
    members: Vec<Budgets>,
    read: Vec<(usize, Duration)>,
    cut: Vec<bool>,
    /// Capacities that were replaced by a smaller one, with the time of the replacement.
    larger: Vec<(u64, Duration)>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            now: secs(10),
            log: vec![(epoch(1, 0..COUNT), CAPACITY)],
            members: settled_members(),
            read: vec![(1, secs(10)); COUNT as usize],
            cut: vec![false; COUNT as usize],
            larger: Vec::new(),
        }
    }

    fn read(&mut self, at: usize) {
        let (known, _) = self.read[at];
        for (epoch, capacity) in &self.log[known..] {
            self.members[at].on_epoch(epoch, self.now);
            self.members[at].set_capacity(EVEN_BUDGET, Split::Even, *capacity, self.now);
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
                self.members[member(value)].try_acquire(EVEN_BUDGET, 7, fresh, self.now);
            }
            Step::Release(value) => {
                let used = self.members[member(value)].in_use(EVEN_BUDGET);
                self.members[member(value)].release(EVEN_BUDGET, used);
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
                        let from = daemon_id(at as u32);
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

    /// Returns the current capacity, or a larger one that a member with a fresh view may still use
    /// because it does not know the new one.
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

/// Guards against a sum of shares above the capacity at any instant, under any order of epochs,
/// reads, stale views, lost and repeated transfers and changes of capacity.
#[test]
fn the_sum_of_shares_never_exceeds_the_capacity() {
    fn check(steps: Vec<Step>) -> bool {
        let mut simulation = Simulation::new();
        steps.into_iter().all(|step| {
            simulation.step(step);
            let fresh = |at: usize| simulation.fresh(at);
            let shares = simulation.members.iter().enumerate();
            let sum: u64 = shares
                .map(|(at, m)| m.share(EVEN_BUDGET, fresh(at), simulation.now))
                .sum();
            sum <= simulation.bound()
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(20_000)
        .quickcheck(check as fn(Vec<Step>) -> bool);
}
