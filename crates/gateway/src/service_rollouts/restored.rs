//! Statuses of rollouts after the metadata store was restored from an older copy.

use super::{ServiceRollouts, UNKNOWN_ORDER_TIME};
use crate::log_position::StoreEpoch;
use crate::rollout::RolloutStatus;
use std::time::Duration;

impl ServiceRollouts {
    /// Records that the operators' table was read after a restore.
    pub(crate) fn on_orders_restored(&mut self) {
        self.needs_listing = self.is_enabled();
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
