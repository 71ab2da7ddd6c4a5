//! This daemon's shares of the fleet-wide budgets.

use anvilgw_core::{Clock, DaemonId, ServerId};
use anvilgw_fleet::{
    BudgetAction, BudgetId, Budgets, Epoch, Freshness, Split, Transfer, TransferError,
};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;

/// Position of the bits in a budget's number that encode its kind. The lower bits are an index.
const KIND_SHIFT: u32 = 24;

/// Number of thousandths in a unit. Rates are counted in thousandths, because the share of a daemon
/// may be less than one per second.
pub(crate) const MILLI: u64 = 1_000;

/// Resource that a fleet-wide budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BudgetKind {
    /// Concurrent requests on a cold backend server.
    ColdServer(ServerId),
    /// Retries per second, in thousandths.
    Retries,
    /// Requests per second of a workspace's plan, in thousandths.
    PlanRequests(u32),
    /// Tokens per second of a workspace's plan.
    PlanTokens(u32),
    /// Concurrent requests of a workspace's plan.
    PlanConcurrency(u32),
    /// Concurrent requests on all backend servers together.
    Slots,
}

impl BudgetKind {
    /// Returns the number of the budget, which is the same in all daemons.
    pub(crate) fn id(self) -> BudgetId {
        let (kind, index) = match self {
            Self::ColdServer(server) => (1, server.0),
            Self::Retries => (2, 0),
            Self::PlanRequests(workspace) => (3, workspace),
            Self::PlanTokens(workspace) => (4, workspace),
            Self::PlanConcurrency(workspace) => (5, workspace),
            Self::Slots => (6, 0),
        };
        BudgetId(kind << KIND_SHIFT | index)
    }
}

/// This daemon's shares. The routing worker and the request handlers use them, and the control
/// worker transfers them between daemons.
pub(crate) struct SharedBudgets {
    budgets: Mutex<Budgets>,
    freshness: watch::Receiver<Freshness>,
    clock: Arc<dyn Clock>,
}

impl SharedBudgets {
    /// Creates the shares of a daemon that knows no epoch yet.
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

    /// Sets the capacity of a budget for the whole fleet and how it is divided among the members.
    pub(crate) fn set_capacity(&self, kind: BudgetKind, split: Split, capacity: u64) {
        let now = self.clock.uptime();
        self.lock().set_capacity(kind.id(), split, capacity, now);
    }

    /// Acquires permits. Returns false if this daemon's share has too few free ones.
    pub(crate) fn try_acquire(&self, kind: BudgetKind, amount: u64) -> bool {
        let now = self.clock.uptime();
        let fresh = self.is_fresh(now);
        self.lock().try_acquire(kind.id(), amount, fresh, now)
    }

    /// Returns acquired permits to this daemon's share.
    pub(crate) fn release(&self, kind: BudgetKind, amount: u64) {
        self.lock().release(kind.id(), amount);
    }

    /// Returns the number of permits that could be acquired now.
    pub(crate) fn free(&self, kind: BudgetKind) -> u64 {
        let now = self.clock.uptime();
        let fresh = self.is_fresh(now);
        let budgets = self.lock();
        let share = budgets.share(kind.id(), fresh, now);
        share.saturating_sub(budgets.in_use(kind.id()))
    }

    /// Returns this daemon's current share of a budget.
    pub(crate) fn share(&self, kind: BudgetKind) -> u64 {
        let now = self.clock.uptime();
        let fresh = self.is_fresh(now);
        self.lock().share(kind.id(), fresh, now)
    }

    /// Records how much of a rate this daemon uses and how much it wants.
    pub(crate) fn record_rate(&self, kind: BudgetKind, used: u64, wanted: u64) {
        let now = self.clock.uptime();
        self.lock().record_rate(kind.id(), used, wanted, now);
    }

    /// Updates the shares for a new epoch.
    pub(super) fn on_epoch(&self, epoch: &Epoch) {
        let now = self.clock.uptime();
        self.lock().on_epoch(epoch, now);
    }

    /// Transfers idle share to a member that requests it. Returns `None` if none is idle.
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

    /// Adds share that another member transferred to this daemon.
    ///
    /// # Errors
    ///
    /// Returns the reason if the transfer is refused.
    pub(crate) fn on_transfer(&self, transfer: &Transfer) -> Result<(), TransferError> {
        let now = self.clock.uptime();
        self.lock().on_transfer(transfer, now)
    }

    /// Returns the transfers of idle share and the requests for missing share that are due.
    pub(super) fn tick(&self, is_reachable: impl Fn(DaemonId) -> bool) -> Vec<BudgetAction> {
        let now = self.clock.uptime();
        let fresh = self.is_fresh(now);
        self.lock().tick(fresh, now, is_reachable)
    }
}
