//! This daemon's shares of the fleet-wide budgets.

use anvilgw_core::{Clock, DaemonId, ServerId};
use anvilgw_fleet::{
    BudgetAction, BudgetId, Budgets, Epoch, Freshness, Split, Transfer, TransferError,
};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;

/// Bits of a budget number that tell what it is about.
const KIND_SHIFT: u32 = 24;

/// Thousandths per unit, for rates below one unit per daemon.
pub(crate) const MILLI: u64 = 1_000;

/// What a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BudgetKind {
    /// Concurrent requests on a cold backend server.
    Cold(ServerId),
    /// Thousandths of retries per second.
    Retries,
    /// Thousandths of requests per second of a workspace's plan.
    PlanRequests(u32),
    /// Tokens per second of a workspace's plan.
    PlanTokens(u32),
    /// Concurrent requests of a workspace's plan.
    PlanConcurrency(u32),
    /// Concurrent requests on all backend servers together.
    Slots,
}

impl BudgetKind {
    /// Number of the budget, the same in every daemon.
    pub(crate) fn id(self) -> BudgetId {
        let (kind, index) = match self {
            Self::Cold(server) => (1, server.0),
            Self::Retries => (2, 0),
            Self::PlanRequests(workspace) => (3, workspace),
            Self::PlanTokens(workspace) => (4, workspace),
            Self::PlanConcurrency(workspace) => (5, workspace),
            Self::Slots => (6, 0),
        };
        BudgetId(kind << KIND_SHIFT | index)
    }
}

/// The shares, used by the routing duty and moved by the control duty.
pub(crate) struct SharedBudgets {
    budgets: Mutex<Budgets>,
    freshness: watch::Receiver<Freshness>,
    clock: Arc<dyn Clock>,
}

impl SharedBudgets {
    /// Creates the shares of a daemon that knows no epoch.
    pub(crate) fn new(
        own: DaemonId,
        freshness: watch::Receiver<Freshness>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            budgets: Mutex::new(Budgets::new(own)),
            freshness,
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Budgets> {
        self.budgets.lock().expect("budgets lock")
    }

    fn is_fresh(&self, now: Duration) -> bool {
        self.freshness.borrow().may_take_new_work(now).is_ok()
    }

    /// Sets the capacity of a budget.
    pub(crate) fn set_capacity(&self, kind: BudgetKind, split: Split, capacity: u64) {
        let now = self.clock.uptime();
        self.lock().set_capacity(kind.id(), split, capacity, now);
    }

    /// Takes permits.
    pub(crate) fn try_acquire(&self, kind: BudgetKind, amount: u64) -> bool {
        let now = self.clock.uptime();
        let fresh = self.is_fresh(now);
        self.lock().try_acquire(kind.id(), amount, fresh, now)
    }

    /// Returns permits.
    pub(crate) fn release(&self, kind: BudgetKind, amount: u64) {
        self.lock().release(kind.id(), amount);
    }

    /// Permits that could be taken now.
    pub(crate) fn free(&self, kind: BudgetKind) -> u64 {
        let now = self.clock.uptime();
        let fresh = self.is_fresh(now);
        let budgets = self.lock();
        let share = budgets.share(kind.id(), fresh, now);
        share.saturating_sub(budgets.in_use(kind.id()))
    }

    /// This daemon's share.
    pub(crate) fn share(&self, kind: BudgetKind) -> u64 {
        let now = self.clock.uptime();
        let fresh = self.is_fresh(now);
        self.lock().share(kind.id(), fresh, now)
    }

    /// Notes the use of a rate.
    pub(crate) fn record_rate(&self, kind: BudgetKind, used: u64, wanted: u64) {
        let now = self.clock.uptime();
        self.lock().record_rate(kind.id(), used, wanted, now);
    }

    /// Takes a new epoch into account.
    pub(super) fn on_epoch(&self, epoch: &Epoch) {
        let now = self.clock.uptime();
        self.lock().on_epoch(epoch, now);
    }

    /// Gives idle share to a member that asks for it.
    pub(crate) fn on_share_request(
        &self,
        from: DaemonId,
        budget: u32,
        amount: u64,
    ) -> Option<Transfer> {
        let now = self.clock.uptime();
        let fresh = self.is_fresh(now);
        self.lock()
            .on_share_request(from, BudgetId(budget), amount, fresh, now)
    }

    /// Adds share that another member handed over.
    pub(crate) fn on_transfer(&self, transfer: &Transfer) -> Result<(), TransferError> {
        let now = self.clock.uptime();
        self.lock().on_transfer(transfer, now)
    }

    /// Moves idle share and asks for missing share.
    pub(super) fn tick(&self, is_reachable: impl Fn(DaemonId) -> bool) -> Vec<BudgetAction> {
        let now = self.clock.uptime();
        let fresh = self.is_fresh(now);
        self.lock().tick(fresh, now, is_reachable)
    }
}
