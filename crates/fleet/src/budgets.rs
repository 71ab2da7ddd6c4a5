//! Shares of budgets that all daemons of the fleet use together.

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

/// Shortest time between two requests for share of the same budget.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Largest number of transfers remembered within an epoch. Further transfers are refused, which
/// loses share but never exceeds the budget.
const MAX_TRANSFERS: usize = 65_536;

/// Largest number of actions of one tick, which bounds the burst after an epoch.
const MAX_ACTIONS_PER_TICK: usize = 64;

/// Number of a shared budget.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BudgetId(pub u32);

/// Rule by which the members of an epoch split a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Split {
    /// Splits the budget evenly among the members. The remainder goes to some of them, depending on
    /// the number of the budget.
    Even,
    /// Gives the whole budget to its owner. This is for budgets with fewer units than members, such
    /// as the load that a cold backend server sustains, and for budgets whose owner decides on the
    /// capacity.
    Owner,
}

/// Transfer of share from one member to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Number of the transfer, unique within the giver's process.
    pub id: u64,
    /// Number of the epoch to which the shares belong.
    pub epoch: u64,
    /// Budget to which the share belongs.
    pub budget: BudgetId,
    /// Capacity of the budget as the giver knows it.
    pub capacity: u64,
    /// Member that has subtracted the amount from its share.
    pub giver: DaemonId,
    /// Member that adds the amount to its share.
    pub receiver: DaemonId,
    /// Units of share that are transferred.
    pub amount: u64,
}

quick_error! {
    /// Reason why a transfer was not added. Its amount stays unused until the next epoch.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum TransferError {
        /// The receiver does not know the budget.
        UnknownBudget { display("unknown budget") }
        /// The transfer is meant for another process, or its giver is this daemon or not a member
        /// of the epoch.
        WrongMember { display("giver or receiver is not a member of the epoch") }
        /// The transfer belongs to another epoch than the receiver's; holds the transfer's epoch.
        EpochMismatch(epoch: u64) { display("transfer belongs to epoch {}", epoch) }
        /// The giver and the receiver know different capacities; holds the giver's.
        CapacityMismatch(capacity: u64) { display("transfer belongs to capacity {}", capacity) }
        /// The amount is zero or larger than the capacity; holds the amount.
        AmountOutOfRange(amount: u64) { display("amount {} is out of range", amount) }
        /// The receiver has already added the largest number of transfers within this epoch.
        TooManyTransfers { display("too many transfers in this epoch") }
    }
}

/// Action that the daemon carries out for [`Budgets`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetAction {
    /// Sends the transfer to its receiver and repeats it for a short time until it is answered. A
    /// repeated transfer has no effect, while a lost one loses share until the next epoch.
    Send(Transfer),
    /// Requests share from a member.
    RequestShare {
        /// Member to which the request goes; it calls [`Budgets::on_share_request`].
        to: DaemonId,
        /// Budget of which share is requested.
        budget: BudgetId,
        /// Units of share requested.
        amount: u64,
    },
}

/// Shares of this daemon in all budgets.
///
/// A share is what a daemon may use: a number of permits in use at a time, or a rate. For each
/// budget, the sum of the shares of all daemons with a fresh view is at most the capacity at every
/// instant:
///
/// - The base shares of one epoch add up to the capacity. The giver subtracts a transfer before it
///   sends it, and the receiver adds it once, only within the same epoch and capacity.
/// - After a new epoch a daemon uses at most the smaller of its old share and its new base share
///   until [`ACTIVATION_DELAY`] has passed. By then, every daemon that still uses an older epoch
///   has a stale view and uses no share.
/// - A smaller capacity takes effect at once, a larger one after the same delay. When the capacity
///   decreases, received transfers shrink in proportion and by one further unit each for rounding,
///   while given ones keep their full size.
///
/// The capacity can be exceeded in three cases, within bounds. While a decrease spreads (up to the
/// freshness limit of 2 s), the sum is at most the old capacity. Permits that are in use when a
/// share shrinks stay in use until their work ends. If the regions are partitioned so that one side
/// has the majority without the log and the other side reads an epoch that was appended just
/// before, both sides use shares: until one side stops, the sum is at most the old plus the new
/// capacity.
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

    /// Injects a fault, which the model checker has to find.
    #[doc(hidden)]
    #[must_use]
    pub fn with_flaw(mut self, flaw: Option<Flaw>) -> Self {
        self.flaw = flaw;
        self
    }

    /// Adds a budget or changes its capacity. The capacity comes from the configuration or, for a
    /// budget whose owner decides on it, from the owner. A decrease takes effect at once, an
    /// increase after [`ACTIVATION_DELAY`].
    pub fn set_capacity(&mut self, id: BudgetId, split: Split, capacity: u64, now: Duration) {
        let members = &self.epoch.members;
        let budget = self
            .budgets
            .entry(id)
            .or_insert_with(|| BudgetShare::new(split, owner_in(members, id), now));
        debug_assert_eq!(budget.split, split, "the split of a budget cannot change");
        budget.set_capacity(capacity, now);
    }

    /// Removes a budget, with this daemon's share and its permits in use.
    pub fn remove(&mut self, id: BudgetId) {
        self.budgets.swap_remove(&id);
    }

    /// Records an epoch that the daemon has folded. The caller passes every epoch in order; after a
    /// missing one the daemon uses no share until [`ACTIVATION_DELAY`] has passed.
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

    /// Returns this daemon's share in a budget; 0 for an unknown budget. `fresh` tells whether the
    /// daemon's view is fresh; without a fresh view the share is 0.
    #[must_use]
    pub fn share(&self, id: BudgetId, fresh: bool, now: Duration) -> u64 {
        let Some(budget) = self.budgets.get(&id).filter(|_| fresh) else {
            return 0;
        };
        budget.share(self.base(id, budget, now), now)
    }

    /// Returns the units of a budget that this daemon uses; 0 for an unknown budget.
    #[must_use]
    pub fn in_use(&self, id: BudgetId) -> u64 {
        self.budgets.get(&id).map_or(0, |budget| budget.in_use)
    }

    /// Returns the member that decides on a budget and collects its idle share.
    #[must_use]
    pub fn owner(&self, id: BudgetId) -> Option<DaemonId> {
        self.budgets.get(&id)?.owner
    }

    /// Returns the number of transfers that this daemon has refused since its start.
    #[must_use]
    pub fn refused_transfers(&self) -> u64 {
        self.refused_transfers
    }

    /// Acquires `amount` permits and returns whether it did. If the share is too small, the next
    /// [`Budgets::tick`] requests the missing part.
    ///
    /// # Panics
    ///
    /// Panics if more permits than the share would be in use, which would be a defect.
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
        assert!(budget.in_use <= share, "more permits in use than the share");
        true
    }

    /// Releases `amount` permits.
    ///
    /// # Panics
    ///
    /// Panics if more permits are released than were acquired, which would be a defect.
    pub fn release(&mut self, id: BudgetId, amount: u64) {
        if let Some(budget) = self.budgets.get_mut(&id) {
            assert!(
                amount <= budget.in_use,
                "more permits released than acquired"
            );
            budget.in_use -= amount;
        }
    }

    /// Records the use of a budget that is a rate, and the rate that waiting work could use.
    pub fn record_rate(&mut self, id: BudgetId, used: u64, wanted: u64, now: Duration) {
        if let Some(budget) = self.budgets.get_mut(&id) {
            budget.in_use = used;
            budget.wanted = wanted;
            budget.observe_use(now);
        }
    }

    /// Transfers idle share to a member that requests it. Returns `None` if there is none, or if
    /// the member does not belong to the epoch.
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

    /// Adds a transfer to this daemon's share. A transfer that was already added is accepted again
    /// without effect.
    ///
    /// # Errors
    ///
    /// Returns the reason if the transfer does not match the state of this daemon. Its amount stays
    /// unused then.
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

    /// Returns idle share to the owners of the budgets and requests missing share from them.
    /// `is_reachable` tells whether a member is alive; share sent to a dead member would be lost.
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
        // At least as much as is in use, so that a rising load needs few requests.
        let amount = (budget.wanted - share).max(budget.in_use);
        // Work that has been given up must not cause further requests.
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

    /// Returns the share that was not used recently. It is 0 while an increase is pending, since
    /// transfers are made only from a settled share.
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
            "a transfer subtracts its amount from the share of the giver"
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

    /// Returns whether to add the transfer; `Ok(false)` if it was already added.
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
