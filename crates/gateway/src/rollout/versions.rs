//! Which versions of a service may serve requests.

use super::order::{OrderId, RolloutOrder, RolloutState, RolloutStatus};

/// Whether servers of a version may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionUse {
    /// Servers of this version get all requests that do not go to a canary.
    All,
    /// Servers of this version get the share of the requests that the rollout's directive allows.
    Canary,
    /// Servers of this version get no requests.
    Excluded,
}

/// Versions of one service, derived from the order, the stored status and the listed servers.
#[derive(Clone, Debug, Default)]
pub struct ServiceVersions {
    in_force: Option<String>,
    order: Option<RolloutOrder>,
    status: Option<RolloutStatus>,
    /// Whether the store, which was restored from an older copy, lacks the status.
    is_status_lost: bool,
}

impl ServiceVersions {
    /// Records a new order, or that the order was removed (`None`). An order that is listed again
    /// keeps the time at which this daemon first learned of it.
    pub fn on_order(&mut self, order: Option<RolloutOrder>) {
        let is_known = match (&self.order, &order) {
            (Some(known), Some(order)) => known.id == order.id,
            _ => false,
        };
        if !is_known {
            self.order = order;
        }
    }

    /// Records that operators wrote the order again after the store had lost it. The order goes on
    /// under this identifier, and a status of it has to be stored again under it.
    pub fn on_order_written_again(&mut self, id: OrderId) {
        let Some(order) = &mut self.order else {
            return;
        };
        let known = std::mem::replace(&mut order.id, id);
        if let Some(status) = &mut self.status
            && status.order == Some(known)
        {
            status.order = Some(id);
            self.is_status_lost = true;
        }
    }

    /// Records that the store was restored from an older copy. It may lack the newest status, which
    /// stays in force until the store contains it or a newer one.
    pub fn on_restored(&mut self) {
        self.is_status_lost = self.status.is_some();
    }

    /// Records the newest stored status. One that is older than the status that a restored store has
    /// lost is ignored.
    pub fn on_status(&mut self, status: RolloutStatus) {
        if self.is_status_lost && !self.is_newer_than_lost(&status) {
            return;
        }
        self.is_status_lost = false;
        let in_force = match status.state {
            RolloutState::Complete => Some(&status.target),
            RolloutState::Running | RolloutState::RolledBack => status.base.as_ref(),
        };
        if let Some(in_force) = in_force {
            self.in_force = Some(in_force.clone());
        }
        self.status = Some(status);
    }

    /// Returns whether a status that the restored store contains is the known one or a newer one.
    fn is_newer_than_lost(&self, status: &RolloutStatus) -> bool {
        let Some(known) = &self.status else {
            return true;
        };
        if status.is_of_order_of(known) {
            return status == known || status.state.is_final();
        }
        let is_current = |status: &RolloutStatus| {
            let order = self.order.as_ref();
            order.is_some_and(|order| status.is_of(order))
        };
        is_current(status) && !is_current(known)
    }

    /// Returns the newest status if the restored store lacks it.
    #[must_use]
    pub fn lost_status(&self) -> Option<&RolloutStatus> {
        self.status.as_ref().filter(|_| self.is_status_lost)
    }

    /// Returns the lost status if it is to be stored again: unless the status of another order takes
    /// its place.
    #[must_use]
    pub fn lost_to_store(&self) -> Option<&RolloutStatus> {
        let lost = self.lost_status()?;
        let is_replaced = self.running().is_some_and(|order| !lost.is_of(order));
        let is_withdrawn = self.withdrawn_to_store().is_some();
        (!is_replaced && !is_withdrawn).then_some(lost)
    }

    /// Records the versions of the service's listed servers, each with its number of servers. The
    /// version in force is derived from them only while neither a status
    /// nor an earlier list has named it.
    pub fn on_listed(&mut self, listed: &[(&str, usize)]) {
        if self.in_force.is_some() {
            return;
        }
        let is_ordered = |version: &str| {
            let order = self.order.as_ref().map(|order| order.target.as_str());
            let status = self.status.as_ref().map(|status| status.target.as_str());
            order == Some(version) || status == Some(version)
        };
        let candidates = listed.iter().filter(|(version, _)| !is_ordered(version));
        let most =
            candidates.max_by_key(|(version, servers)| (*servers, std::cmp::Reverse(*version)));
        self.in_force = most.map(|(version, _)| (*version).to_owned());
    }

    /// Returns the status to store for the running order, or `None` if no order is running.
    #[must_use]
    pub fn status_to_store(&self, state: RolloutState) -> Option<RolloutStatus> {
        let order = self.running()?;
        Some(RolloutStatus {
            service: order.service.clone(),
            target: order.target.clone(),
            state,
            order: Some(order.id),
            base: self.in_force.clone(),
        })
    }

    /// Returns the status to store if an order was removed before its final state was stored.
    #[must_use]
    pub fn withdrawn_to_store(&self) -> Option<RolloutStatus> {
        let status = self.status.as_ref()?;
        let is_withdrawn = self.order.is_none() && !status.state.is_final();
        is_withdrawn.then(|| RolloutStatus {
            state: RolloutState::RolledBack,
            ..status.clone()
        })
    }

    /// Returns the order if its final state is not stored.
    #[must_use]
    pub fn running(&self) -> Option<&RolloutOrder> {
        let order = self.order.as_ref()?;
        let state = self.state_of(order);
        (!state.is_some_and(RolloutState::is_final)).then_some(order)
    }

    /// Returns the newest order.
    #[must_use]
    pub fn order(&self) -> Option<&RolloutOrder> {
        self.order.as_ref()
    }

    /// Returns the newest stored status.
    #[must_use]
    pub fn status(&self) -> Option<&RolloutStatus> {
        self.status.as_ref()
    }

    /// Returns the version in force, or `None` if no server was listed yet.
    #[must_use]
    pub fn in_force(&self) -> Option<&str> {
        self.in_force.as_deref()
    }

    /// Returns how a server's version is used. A server without a version is used as before.
    #[must_use]
    pub fn use_of(&self, version: Option<&str>) -> VersionUse {
        let (Some(version), Some(in_force)) = (version, self.in_force()) else {
            return VersionUse::All;
        };
        if version == in_force {
            return VersionUse::All;
        }
        match self.running() {
            Some(order) if order.target == version => VersionUse::Canary,
            _ => VersionUse::Excluded,
        }
    }

    fn state_of(&self, order: &RolloutOrder) -> Option<RolloutState> {
        let status = self.status.as_ref()?;
        status.is_of(order).then_some(status.state)
    }
}
