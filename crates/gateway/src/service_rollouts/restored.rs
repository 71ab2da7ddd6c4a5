//! Orders and statuses of rollouts after the metadata store was restored from an older copy.

use super::{ServiceRollout, ServiceRollouts, UNKNOWN_ORDER_TIME};
use crate::log_position::StoreEpoch;
use crate::ports::RolloutRequest;
use crate::rollout::{OrderId, RolloutStatus};
use std::time::Duration;

/// Maximum number of a service's earlier orders that are remembered.
const PAST_ORDERS_MAX: usize = 8;

/// Newest orders of a service that were removed or replaced.
#[derive(Debug, Default)]
pub(super) struct PastOrders {
    ids: Vec<OrderId>,
}

impl PastOrders {
    /// Adds an order that is no longer the newest one.
    pub(super) fn extend(&mut self, order: Option<OrderId>) {
        if self.ids.len() >= PAST_ORDERS_MAX {
            self.ids.remove(0);
        }
        self.ids.extend(order);
    }

    pub(super) fn contains(&self, order: OrderId) -> bool {
        self.ids.contains(&order)
    }
}

impl ServiceRollout {
    /// Returns whether a request has the content of the newest order.
    pub(super) fn is_order_of(&self, request: &RolloutRequest) -> bool {
        let order = self.versions.order();
        order.is_some_and(|order| order.target == request.target && order.step == request.step)
    }

    /// Lets the newest order go on under another identifier.
    pub(super) fn on_order_written_again(&mut self, id: OrderId, now: Duration) {
        self.may_order_be_lost = false;
        self.versions.on_order_written_again(id);
        self.lost_at = self.lost_at.or(Some(now));
        if let Some(active) = &mut self.active {
            active.set_order_id(id);
        }
    }
}

impl ServiceRollouts {
    /// Records that the operators' table was read after a restore. Until
    /// [`Self::on_orders_complete`] it may lack the newest orders, or contain earlier ones.
    pub(crate) fn on_orders_restored(&mut self) {
        self.needs_listing = self.is_enabled();
        for service in self.services.values_mut() {
            service.may_order_be_lost = service.versions.order().is_some();
        }
    }

    /// Records that operators have written again what the restored store had lost.
    pub(crate) fn on_orders_complete(&mut self) {
        for service in self.services.values_mut() {
            service.may_order_be_lost = false;
        }
    }

    /// Returns whether the statuses have to be listed again because the store was restored.
    pub(crate) fn needs_listing(&self) -> bool {
        self.needs_listing
    }

    /// Returns whether the statuses were last listed in this epoch.
    pub(crate) fn is_in_epoch(&self, epoch: StoreEpoch) -> bool {
        self.statuses_epoch == Some(epoch)
    }

    /// Prepares for the statuses of a listing. In a new epoch the store was restored, and may lack
    /// statuses that this daemon knows.
    pub(crate) fn on_listing(&mut self, epoch: StoreEpoch, now: Duration) {
        self.needs_listing = false;
        let known = self.statuses_epoch.replace(epoch);
        if known.is_none() || known == Some(epoch) {
            return;
        }
        self.forget_offsets();
        for service in self.services.values_mut() {
            service.versions.on_restored();
            service.lost_at = Some(now);
        }
    }

    /// Returns the status that the restored store lacks, and the time since this daemon has known
    /// that it is to be stored again. An order that is not known may not have been read yet.
    pub(crate) fn lost_to_store(
        &self,
        service: &str,
        now: Duration,
    ) -> Option<(RolloutStatus, Duration)> {
        let service = self.services.get(service)?;
        let status = service.versions.lost_to_store()?;
        let order = service.versions.order();
        let pause = if order.is_some_and(|order| status.is_of(order)) {
            Duration::ZERO
        } else {
            UNKNOWN_ORDER_TIME
        };
        let known_at = service.lost_at? + pause;
        (now >= known_at).then(|| (status.clone(), now - known_at))
    }
}
