//! Shares of fleet-wide budgets.

mod share;

use crate::ACTIVATION_DELAY;
use crate::epoch::Epoch;
use crate::mutation::Flaw;
use crate::rendezvous::{OwnedResource, owner_of};
use anvilgw_core::DaemonId;
use indexmap::IndexMap;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use share::{BudgetShare, EpochPosition};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time between two requests for the same budget.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Most transfers remembered within an epoch. Further ones are refused, which costs share but never
/// exceeds the budget.
const MAX_TRANSFERS: usize = 65_536;

/// Most actions of one tick, which bounds the burst after an epoch.
const MAX_ACTIONS_PER_TICK: usize = 64;

/// Number of a shared budget.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BudgetId(pub u32);

/// How an epoch splits a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Split {
    /// Equally over the members; the remainder goes to members chosen by hash.
    Even,
    /// All to the budget's owner. For budgets with fewer units than members, such as the load that a
    /// cold backend server sustains, and for those whose owner decides on the capacity.
    Owner,
}

/// Share on its way from one member to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Number, unique among the transfers of the giver's process.
    pub id: u64,
    /// Epoch of the shares.
    pub epoch: u64,
    /// The budget.
    pub budget: BudgetId,
    /// Capacity of the budget as known to the giver.
    pub capacity: u64,
    /// Member that has subtracted the amount.
    pub giver: DaemonId,
    /// Member that is to add it.
    pub receiver: DaemonId,
    /// Amount.
    pub amount: u64,
}

quick_error! {
    /// Why a transfer was not added. Its amount is unused until the next epoch.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum TransferError {
        /// The budget is not known here.
        UnknownBudget { display("unknown budget") }
        /// The receiver is another process, or the giver is no member of the epoch.
        WrongMember { display("giver or receiver is not a member of the epoch") }
        /// It belongs to another epoch than the receiver's.
        EpochMismatch(epoch: u64) { display("transfer belongs to epoch {}", epoch) }
        /// Giver and receiver know different capacities.
        CapacityMismatch(capacity: u64) { display("transfer belongs to capacity {}", capacity) }
        /// The amount is zero or above the capacity.
        AmountOutOfRange(amount: u64) { display("amount {} is out of range", amount) }
        /// Too many transfers in this epoch.
        TooManyTransfers { display("too many transfers in this epoch") }
    }
}

/// What the daemon has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetAction {
    /// Send the transfer to its receiver, again and again for a short time until it is answered:
    /// repeating it is harmless, while a lost one costs share until the next epoch.
    Send(Transfer),
    /// Ask a member for share.
    RequestShare {
        /// The member, which calls [`Budgets::on_share_request`].
        to: DaemonId,
        /// The budget.
        budget: BudgetId,
        /// Amount wanted.
        amount: u64,
    },
}

/// This daemon's shares of all budgets.
///
/// Share is what a daemon may use: permits in use at a time, or a rate. For each budget the sum of the
/// shares of all daemons with a fresh view is at most the capacity, at every instant:
///
/// - Base shares of one epoch add up to the capacity. A transfer is subtracted by the giver before it
///   is sent and added once by the receiver, only within the same epoch and capacity.
/// - After a new epoch a daemon uses at most the smaller of its old share and its new base until
///   [`ACTIVATION_DELAY`] has passed. By then every daemon that still uses an older epoch has a stale view
///   and uses no share.
/// - A smaller capacity counts at once, a larger one after the same wait. On a decrease, received
///   transfers shrink in proportion and by one unit each for rounding, while given ones keep their
///   full size.
///
/// Over-use is bounded as follows. While a decrease spreads (up to the freshness limit of 2 s) the sum
/// can be up to the old capacity. Permits already in use when a share shrinks stay in use until their
/// work ends. If the regions are partitioned so that one side holds the majority without the log and
/// the other reads an epoch that was appended just before, both use shares: the sum is then at most
/// the old plus the new capacity until one side stops.
#[derive(Clone, Debug)]
pub struct Budgets {
    own: DaemonId,
    epoch: Epoch,
    position: EpochPosition,
    budgets: IndexMap<BudgetId, BudgetShare>,
    applied_transfers: BTreeSet<(DaemonId, u64)>,
    last_transfer_id: u64,
    refused_transfers: u64,
    flaw: Option<Flaw>,
}

impl Budgets {
    /// Creates the shares of a daemon that knows no epoch.
    #[must_use]
    pub fn new(own: DaemonId) -> Self {
        Self {
            own,
            epoch: Epoch::default(),
            position: EpochPosition::default(),
            budgets: IndexMap::new(),
            applied_transfers: BTreeSet::new(),
            last_transfer_id: 0,
            refused_transfers: 0,
            flaw: None,
        }
    }

    /// Plants a fault for the model checker.
    #[doc(hidden)]
    #[must_use]
    pub fn with_flaw(mut self, flaw: Option<Flaw>) -> Self {
        self.flaw = flaw;
        self
    }

    /// Adds a budget or changes its capacity, from the configuration or, for a budget whose owner
    /// decides, from the owner. A decrease counts at once, an increase after [`ACTIVATION_DELAY`].
    pub fn set_capacity(&mut self, id: BudgetId, split: Split, capacity: u64, now: Duration) {
        let members = &self.epoch.members;
        let budget = self
            .budgets
            .entry(id)
            .or_insert_with(|| BudgetShare::new(split, owner_in(members, id), now));
        debug_assert_eq!(budget.split, split, "the split of a budget is fixed");
        budget.set_capacity(capacity, now);
    }

    /// Removes a budget.
    pub fn remove(&mut self, id: BudgetId) {
        self.budgets.swap_remove(&id);
    }

    /// Notes an epoch that the daemon has folded. Every epoch has to be passed in order; after a
    /// missing one the daemon waits before it uses any share.
    pub fn on_epoch(&mut self, epoch: &Epoch, now: Duration) {
        if epoch.number <= self.epoch.number {
            return;
        }
        let follows = epoch.number == self.epoch.number + 1;
        let (own, old_position) = (self.own, self.position);
        self.position = EpochPosition::new(own, epoch);
        for (&id, budget) in &mut self.budgets {
            let capacity = budget.capacity(now);
            let old = old_position.base_share(own, id, budget.split, budget.owner, capacity);
            let old = budget.share(old, now);
            budget.owner = owner_in(&epoch.members, id);
            let base = self
                .position
                .base_share(own, id, budget.split, budget.owner, capacity);
            let limit = if follows { old.min(base) } else { 0 };
            let delays_increase = self.flaw != Some(Flaw::GrowthAtOnce);
            budget.pending_limit = delays_increase.then_some((limit, now + ACTIVATION_DELAY));
            budget.received = 0;
            budget.received_transfers = 0;
            budget.given = 0;
        }
        self.applied_transfers.clear();
        self.epoch = epoch.clone();
    }

    /// The daemon's share. `fresh` is whether its view is fresh.
    #[must_use]
    pub fn share(&self, id: BudgetId, fresh: bool, now: Duration) -> u64 {
        let Some(budget) = self.budgets.get(&id).filter(|_| fresh) else {
            return 0;
        };
        budget.share(self.base(id, budget, now), now)
    }

    /// Units in use.
    #[must_use]
    pub fn in_use(&self, id: BudgetId) -> u64 {
        self.budgets.get(&id).map_or(0, |budget| budget.in_use)
    }

    /// The member that decides on a budget and collects its idle share.
    #[must_use]
    pub fn owner(&self, id: BudgetId) -> Option<DaemonId> {
        self.budgets.get(&id)?.owner
    }

    /// Transfers refused so far.
    #[must_use]
    pub fn refused_transfers(&self) -> u64 {
        self.refused_transfers
    }

    /// Takes permits. If the share is too small, the missing part is asked for by the next
    /// [`Budgets::tick`].
    ///
    /// # Panics
    ///
    /// Panics if more than the share would be in use, which would be a defect.
    pub fn try_acquire(&mut self, id: BudgetId, amount: u64, fresh: bool, now: Duration) -> bool {
        let share = self.share(id, fresh, now);
        let Some(budget) = self.budgets.get_mut(&id) else {
            return false;
        };
        let needed = budget.in_use.saturating_add(amount);
        budget.wanted = if needed > share { needed } else { 0 };
        if needed > share {
            return false;
        }
        budget.in_use = needed;
        budget.observe_use(now);
        assert!(budget.in_use <= share, "permits above the share");
        true
    }

    /// Returns permits.
    ///
    /// # Panics
    ///
    /// Panics if more are returned than were taken, which would be a defect.
    pub fn release(&mut self, id: BudgetId, amount: u64) {
        if let Some(budget) = self.budgets.get_mut(&id) {
            assert!(amount <= budget.in_use, "more permits returned than taken");
            budget.in_use -= amount;
        }
    }

    /// Notes the use of a budget that is a rate, and the rate that the waiting work could use.
    pub fn record_rate(&mut self, id: BudgetId, used: u64, wanted: u64, now: Duration) {
        if let Some(budget) = self.budgets.get_mut(&id) {
            budget.in_use = used;
            budget.wanted = wanted;
            budget.observe_use(now);
        }
    }

    /// Gives idle share to a member that asks for it.
    pub fn on_share_request(
        &mut self,
        from: DaemonId,
        id: BudgetId,
        amount: u64,
        fresh: bool,
        now: Duration,
    ) -> Option<Transfer> {
        if from == self.own || !self.epoch.members.contains(&from) {
            return None;
        }
        let idle = self.idle(id, fresh, now);
        self.transfer_to(from, id, amount.min(idle), now)
    }

    /// Adds a transfer. A transfer that was added before is accepted again without effect.
    ///
    /// # Errors
    ///
    /// The reason if the transfer does not fit the state of this daemon; it stays unused then.
    pub fn on_transfer(&mut self, transfer: &Transfer, now: Duration) -> Result<(), TransferError> {
        let result = self.check_transfer(transfer, now);
        match result {
            Ok(true) => {
                self.applied_transfers.insert((transfer.giver, transfer.id));
                if let Some(budget) = self.budgets.get_mut(&transfer.budget) {
                    budget.received += transfer.amount;
                    budget.received_transfers += 1;
                }
                Ok(())
            }
            Ok(false) => Ok(()),
            Err(error) => {
                self.refused_transfers += 1;
                Err(error)
            }
        }
    }

    /// Returns idle share to the owners of the budgets and asks them for what is missing.
    /// `is_reachable` tells whether a member is alive; share sent to a dead one would be lost.
    pub fn tick(
        &mut self,
        fresh: bool,
        now: Duration,
        is_reachable: impl Fn(DaemonId) -> bool,
    ) -> Vec<BudgetAction> {
        let mut actions = Vec::new();
        let ids: Vec<BudgetId> = self.budgets.keys().copied().collect();
        for id in ids {
            if actions.len() >= MAX_ACTIONS_PER_TICK {
                break;
            }
            if let Some(budget) = self.budgets.get_mut(&id) {
                budget.observe_use(now);
            }
            let owner = self
                .owner(id)
                .filter(|&owner| owner != self.own && is_reachable(owner));
            if let Some(owner) = owner {
                actions.extend(self.return_or_request_share(id, owner, fresh, now));
            }
        }
        actions
    }

    fn return_or_request_share(
        &mut self,
        id: BudgetId,
        owner: DaemonId,
        fresh: bool,
        now: Duration,
    ) -> Option<BudgetAction> {
        let share = self.share(id, fresh, now);
        let idle = self.idle(id, fresh, now);
        if idle > 0 {
            return self
                .transfer_to(owner, id, idle, now)
                .map(BudgetAction::Send);
        }
        let budget = self.budgets.get_mut(&id)?;
        let requested_recently = budget
            .last_request
            .is_some_and(|at| now.saturating_sub(at) < REQUEST_INTERVAL);
        if !fresh || budget.wanted <= share || requested_recently {
            return None;
        }
        budget.last_request = Some(now);
        // At least as much again as is in use, so that a rising load needs few requests.
        let amount = (budget.wanted - share).max(budget.in_use);
        // A request that was given up must not keep asking.
        budget.wanted = 0;
        Some(BudgetAction::RequestShare {
            to: owner,
            budget: id,
            amount,
        })
    }

    fn base(&self, id: BudgetId, budget: &BudgetShare, now: Duration) -> u64 {
        self.position.base_share(
            self.own,
            id,
            budget.split,
            budget.owner,
            budget.capacity(now),
        )
    }

    /// Share that was not used recently. None while grown shares wait, since transfers are made only
    /// from a share that is settled.
    fn idle(&self, id: BudgetId, fresh: bool, now: Duration) -> u64 {
        match self.budgets.get(&id) {
            Some(budget) if !budget.has_pending_limit(now) => self
                .share(id, fresh, now)
                .saturating_sub(budget.recent_use()),
            _ => 0,
        }
    }

    fn transfer_to(
        &mut self,
        to: DaemonId,
        id: BudgetId,
        amount: u64,
        now: Duration,
    ) -> Option<Transfer> {
        if amount == 0 {
            return None;
        }
        let before = self.share(id, true, now);
        let budget = self.budgets.get_mut(&id)?;
        budget.given += amount;
        let capacity = budget.capacity(now);
        let after = self.share(id, true, now);
        assert_eq!(
            after + amount,
            before,
            "a transfer takes from the giver what it carries"
        );
        self.last_transfer_id += 1;
        Some(Transfer {
            id: self.last_transfer_id,
            epoch: self.epoch.number,
            budget: id,
            capacity,
            giver: self.own,
            receiver: to,
            amount,
        })
    }

    /// Whether to add the transfer; `Ok(false)` if it was added before.
    fn check_transfer(&self, transfer: &Transfer, now: Duration) -> Result<bool, TransferError> {
        let budget = self
            .budgets
            .get(&transfer.budget)
            .ok_or(TransferError::UnknownBudget)?;
        if transfer.epoch != self.epoch.number {
            return Err(TransferError::EpochMismatch(transfer.epoch));
        }
        let is_member = self.epoch.members.contains(&transfer.giver);
        if transfer.receiver != self.own || transfer.giver == self.own || !is_member {
            return Err(TransferError::WrongMember);
        }
        if self
            .applied_transfers
            .contains(&(transfer.giver, transfer.id))
        {
            return Ok(false);
        }
        let capacity = budget.capacity(now);
        if transfer.capacity != capacity {
            return Err(TransferError::CapacityMismatch(transfer.capacity));
        }
        if transfer.amount == 0 || transfer.amount > capacity {
            return Err(TransferError::AmountOutOfRange(transfer.amount));
        }
        if self.applied_transfers.len() >= MAX_TRANSFERS {
            return Err(TransferError::TooManyTransfers);
        }
        Ok(true)
    }
}

fn owner_in(members: &[DaemonId], id: BudgetId) -> Option<DaemonId> {
    owner_of(OwnedResource::Budget(id.0), members)
}
