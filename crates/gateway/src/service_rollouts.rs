//! Rollouts of all services as this daemon sees them: orders, statuses, and what it has observed.

mod active;
mod restored;
mod version_totals;

use restored::PastOrders;

pub(crate) use active::{ActiveRollout, VersionServers};
pub(crate) use version_totals::VersionTotals;

use crate::log_position::StoreEpoch;
use crate::ports::RolloutRequest;
use crate::rollout::{
    ExposureBounds, OrderId, Phase, RolloutDirective, RolloutOrder, RolloutState, RolloutStatus,
    RouteKey, ServiceVersions, Side, TargetShare, VersionUse,
};
use crate::server::{ServerKey, Servers};
use crate::settings::RolloutBounds;
use indexmap::IndexMap;
use std::time::Duration;

/// Time after which a stored status without a known order means that the order was removed. The
/// status may be read before the copy of the operators' table has the order.
const UNKNOWN_ORDER_TIME: Duration = Duration::from_secs(6);
/// Longest time after which an append without an answer may still take effect.
const LATE_APPEND_MAX: Duration = Duration::from_secs(15);

/// Rollouts of all services.
#[derive(Debug, Default)]
pub(crate) struct ServiceRollouts {
    bounds: Option<RolloutBounds>,
    services: IndexMap<String, ServiceRollout>,
    /// Requests by version.
    pub(crate) version_totals: VersionTotals,
    /// Time up to which all statuses are known. `None` before the first listing.
    statuses_verified_at: Option<Duration>,
    /// Epoch of the store in which the statuses were listed.
    statuses_epoch: Option<StoreEpoch>,
    /// Whether the store was restored, so that the statuses have to be listed again.
    needs_listing: bool,
}

/// Rollout of one service.
#[derive(Debug, Default)]
struct ServiceRollout {
    versions: ServiceVersions,
    active: Option<ActiveRollout>,
    /// The rollout before the active one, for the metrics and for directives to daemons that still
    /// report on it.
    ended: Option<ActiveRollout>,
    /// Why the newest order of the service is malformed, which is logged once.
    malformed: Option<String>,
    /// When this daemon learned of the newest status.
    status_at: Option<Duration>,
    /// Offset of the newest status.
    status_offset: u64,
    /// When the newest order was removed, if it was.
    withdrawn_at: Option<Duration>,
    /// When this daemon learned that the restored store may lack the newest status.
    lost_at: Option<Duration>,
    /// Whether the restored store may lack the newest order.
    may_order_be_lost: bool,
    /// Orders before the newest one.
    past_orders: PastOrders,
    /// Whether a task is writing the status.
    is_writing: bool,
}

impl ServiceRollout {
    fn allows(&self, version: &str, side: Option<Side>, has_statuses: bool) -> bool {
        if self.versions.in_force().is_none() && !has_statuses {
            return false;
        }
        let version_use = self.versions.use_of(Some(version));
        match side {
            Some(Side::Target) => {
                let running = self.versions.running();
                let is_target = running.is_some_and(|order| order.target == version);
                is_target && version_use != VersionUse::Excluded
            }
            Some(Side::Base) | None => version_use == VersionUse::All,
        }
    }

    /// Returns the status to store if the order was removed. A malformed one removes nothing.
    fn withdrawn_to_store(&self) -> Option<RolloutStatus> {
        let status = self.versions.withdrawn_to_store();
        status.filter(|_| self.malformed.is_none())
    }

    /// Returns the state in which an order ended, or `None` if it runs or is not known.
    fn final_state(&self, order: OrderId) -> Option<RolloutState> {
        let status = self.versions.status();
        let status = status.filter(|status| status.order == Some(order));
        let is_known = |rollout: &ActiveRollout| rollout.order.id == order;
        match status.map(|status| status.state) {
            Some(state) if state.is_final() => Some(state),
            _ if self.active.as_ref().is_some_and(is_known) => None,
            Some(_) if self.withdrawn_at.is_some() => Some(RolloutState::RolledBack),
            _ => {
                let ended = self.ended.as_ref().filter(|ended| is_known(ended));
                ended.map(|_| RolloutState::RolledBack)
            }
        }
    }

    fn is_unfinished(&self, now: Duration) -> bool {
        let is_withdrawn_lately = self
            .withdrawn_at
            .is_some_and(|at| now.saturating_sub(at) < LATE_APPEND_MAX);
        let status = self.versions.status();
        self.active.is_some()
            || self.versions.lost_to_store().is_some()
            || status.is_some_and(|status| !status.state.is_final())
            || is_withdrawn_lately
    }
}

/// Version side of a request, with what is needed to record its outcome.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RolloutAttempt {
    pub(crate) order: OrderId,
    pub(crate) side: Side,
    pub(crate) route: RouteKey,
    pub(crate) server_hash: u32,
    pub(crate) is_cold: bool,
}

/// Effect of an order on the rollouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderEffect {
    /// Nothing has changed.
    Unchanged,
    /// A rollout begins, or takes the place of another one.
    Started,
    /// A status of the order is already final.
    AlreadyFinal(RolloutState),
    /// The known order was written again after the restored store had lost it.
    WrittenAgain,
}

impl ServiceRollouts {
    pub(crate) fn new(bounds: Option<RolloutBounds>) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    pub(crate) fn is_enabled(&self) -> bool {
        self.bounds.is_some()
    }

    pub(crate) fn exposure_bounds(&self) -> Option<ExposureBounds> {
        let bounds = self.bounds?;
        Some(ExposureBounds {
            canary_share: bounds.exposure_share,
            canary_slack: bounds.exposure_slack as u32,
        })
    }

    /// Returns whether the statuses were listed at least once, or rollouts are off.
    pub(crate) fn has_statuses(&self) -> bool {
        self.bounds.is_none() || self.statuses_verified_at.is_some()
    }

    pub(crate) fn statuses_verified_at(&self) -> Option<Duration> {
        self.statuses_verified_at
    }

    /// Forgets the offsets of statuses, before they are listed anew because the reader has missed
    /// deleted records of the log. Offsets may differ in the new listing.
    pub(crate) fn forget_offsets(&mut self) {
        for service in self.services.values_mut() {
            service.status_offset = 0;
        }
    }

    pub(crate) fn on_statuses_verified(&mut self, at: Duration) {
        self.statuses_verified_at = self.statuses_verified_at.max(Some(at));
    }

    fn service_mut(&mut self, service: &str) -> &mut ServiceRollout {
        self.services.entry(service.to_owned()).or_default()
    }

    /// Applies an order. `random` is a random number in `[0, 1)`.
    pub(crate) fn on_ordered(
        &mut self,
        request: RolloutRequest,
        random: f64,
        now: Duration,
    ) -> OrderEffect {
        let Some(bounds) = self.exposure_bounds() else {
            return OrderEffect::Unchanged;
        };
        let service = self.service_mut(&request.service);
        service.malformed = None;
        let known = service.versions.order().map(|order| order.id);
        if known == Some(request.id) {
            service.may_order_be_lost = false;
            return OrderEffect::Unchanged;
        }
        if service.may_order_be_lost {
            if service.past_orders.contains(request.id) {
                return OrderEffect::Unchanged;
            }
            if service.is_order_of(&request) {
                service.on_order_written_again(request.id, now);
                return OrderEffect::WrittenAgain;
            }
        }
        service.may_order_be_lost = false;
        service.past_orders.extend(known);
        let order = RolloutOrder {
            id: request.id,
            service: request.service,
            target: request.target,
            step: request.step,
            learned_at: now,
        };
        service.ended = service.active.take().or(service.ended.take());
        service.versions.on_order(Some(order.clone()));
        if service.versions.running().is_none() {
            let status = service.versions.status();
            let state = status.map_or(RolloutState::Running, |status| status.state);
            return OrderEffect::AlreadyFinal(state);
        }
        service.active = Some(ActiveRollout::new(order, bounds, random));
        service.withdrawn_at = None;
        OrderEffect::Started
    }

    /// Applies the removal of an order, and returns whether there was one.
    pub(crate) fn on_withdrawn(&mut self, service: &str, now: Duration) -> bool {
        let Some(service) = self.services.get_mut(service) else {
            return false;
        };
        service.malformed = None;
        if service.versions.order().is_none() {
            return false;
        }
        service
            .past_orders
            .extend(service.versions.order().map(|order| order.id));
        service.may_order_be_lost = false;
        service.versions.on_order(None);
        service.ended = service.active.take().or(service.ended.take());
        service.withdrawn_at = Some(now);
        true
    }

    /// Records that the newest order of a service is malformed, and returns whether this is new.
    pub(crate) fn on_malformed(&mut self, service: &str, reason: &str) -> bool {
        if !self.is_enabled() {
            return false;
        }
        let service = self.service_mut(service);
        let is_new = service.malformed.as_deref() != Some(reason);
        service.malformed = Some(reason.to_owned());
        is_new
    }

    /// Applies the status that is stored at an offset, and returns whether it differs from the known
    /// one.
    pub(crate) fn on_status(&mut self, status: &RolloutStatus, offset: u64, now: Duration) -> bool {
        let service = self.service_mut(&status.service);
        if offset < service.status_offset {
            return false;
        }
        service.status_offset = offset;
        let known = service.versions.status().cloned();
        service.versions.on_status(status.clone());
        if service.versions.lost_status().is_some() {
            return false;
        }
        let is_changed = known.as_ref() != Some(status);
        if is_changed {
            service.status_at = Some(now);
        }
        if let Some(active) = &mut service.active {
            if let Some(decider) = &mut active.decider {
                decider.on_status(status);
            }
            if status.is_of(&active.order) && status.state.is_final() {
                service.ended = service.active.take();
            }
        }
        is_changed
    }

    /// Records the versions of the listed servers.
    pub(crate) fn on_listed(&mut self, servers: &Servers) {
        if !self.is_enabled() {
            return;
        }
        let mut listed: IndexMap<&str, IndexMap<&str, usize>> = IndexMap::new();
        for (_, server) in servers.iter() {
            if let Some(version) = &server.entry.version {
                let versions = listed.entry(&server.entry.service).or_default();
                *versions.entry(version).or_default() += 1;
            }
        }
        for (service, versions) in listed {
            let counts: Vec<(&str, usize)> = versions.into_iter().collect();
            self.service_mut(service).versions.on_listed(&counts);
        }
    }

    /// Returns the services with an order.
    pub(crate) fn ordered_services(&self) -> Vec<String> {
        let services = self.services.iter();
        services
            .filter(|(_, service)| service.versions.order().is_some())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the services with a rollout that is not over, or was removed a short time ago.
    pub(crate) fn unfinished(&self, now: Duration) -> Vec<String> {
        let services = self.services.iter();
        services
            .filter(|(_, service)| service.is_unfinished(now))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the status that is to be stored for an order that was removed, and the time since
    /// this daemon has known that for certain.
    pub(crate) fn withdrawn_to_store(
        &self,
        service: &str,
        now: Duration,
    ) -> Option<(RolloutStatus, Duration)> {
        let service = self.services.get(service)?;
        let status = service.withdrawn_to_store()?;
        let known_at = match (service.withdrawn_at, service.status_at) {
            (Some(at), _) => at,
            (None, Some(at)) => at + UNKNOWN_ORDER_TIME,
            (None, None) => return None,
        };
        (now >= known_at).then(|| (status, now - known_at))
    }

    /// Returns whether a status still is to be stored.
    pub(crate) fn is_to_be_stored(&self, status: &RolloutStatus) -> bool {
        let Some(service) = self.services.get(&status.service) else {
            return false;
        };
        let versions = &service.versions;
        let expected = versions.status_to_store(status.state);
        let expected = expected.or_else(|| service.withdrawn_to_store());
        if versions.lost_to_store() == Some(status) {
            return true;
        }
        expected.as_ref() == Some(status) && versions.status() != Some(status)
    }

    /// Marks a service's status as being written. Returns `false` if it already is.
    pub(crate) fn begin_writing(&mut self, service: &str) -> bool {
        let service = self.service_mut(service);
        !std::mem::replace(&mut service.is_writing, true)
    }

    /// Allows the next write of a service's status.
    pub(crate) fn end_writing(&mut self, service: &str) {
        self.service_mut(service).is_writing = false;
    }

    pub(crate) fn active(&self, service: &str) -> Option<&ActiveRollout> {
        self.services.get(service)?.active.as_ref()
    }

    pub(crate) fn active_mut(&mut self, service: &str) -> Option<&mut ActiveRollout> {
        self.services.get_mut(service)?.active.as_mut()
    }

    /// Returns the directive for an order that is over: its stored final status, or to roll back if it
    /// was removed or replaced. Returns `None` for orders that are not known.
    pub(crate) fn final_directive(&self, order: OrderId) -> Option<RolloutDirective> {
        let mut services = self.services.values();
        let state = services.find_map(|service| service.final_state(order))?;
        let (phase, share) = match state {
            RolloutState::Complete => (Phase::Completing, TargetShare::ALL),
            _ => (Phase::RollingBack, TargetShare::NONE),
        };
        Some(RolloutDirective {
            order,
            phase,
            share,
        })
    }

    /// Returns the last rollout of a service that is over, if this daemon has seen it run.
    pub(crate) fn ended(&self, service: &str) -> Option<&ActiveRollout> {
        self.services.get(service)?.ended.as_ref()
    }

    /// Returns the service with an active rollout by this order.
    pub(crate) fn service_of(&self, order: OrderId) -> Option<&str> {
        let found = self.services.iter().find(|(_, service)| {
            let active = service.active.as_ref();
            active.is_some_and(|active| active.order.id == order)
        });
        found.map(|(name, _)| name.as_str())
    }

    /// Returns the newest rollout of each service. It is kept for the metrics when it is over.
    pub(crate) fn newest(
        &self,
    ) -> impl Iterator<Item = (&str, &ServiceVersions, Option<&ActiveRollout>)> {
        let services = self.services.iter();
        services.map(|(name, service)| {
            let rollout = service.active.as_ref().or(service.ended.as_ref());
            (name.as_str(), &service.versions, rollout)
        })
    }

    pub(crate) fn versions_of(&self, service: &str) -> Option<&ServiceVersions> {
        Some(&self.services.get(service)?.versions)
    }

    /// Returns whether a server of this version may get a request of a side. `None` as side stands
    /// for requests while there is no rollout.
    pub(crate) fn allows(&self, service: &str, version: Option<&str>, side: Option<Side>) -> bool {
        let Some(version) = version.filter(|_| self.is_enabled()) else {
            return true;
        };
        // Before orders and statuses are known, no version is known to be allowed.
        let Some(rollout) = self.services.get(service) else {
            return self.has_statuses();
        };
        rollout.allows(version, side, self.has_statuses())
    }

    /// Returns the servers of a service that may not get a request of a side.
    pub(crate) fn excluded(
        &self,
        servers: &Servers,
        service: &str,
        side: Option<Side>,
    ) -> Vec<ServerKey> {
        if !self.is_enabled() {
            return Vec::new();
        }
        let rollout = self.services.get(service);
        let has_statuses = self.has_statuses();
        let is_allowed = |version: &str| {
            rollout.map_or(has_statuses, |rollout| {
                rollout.allows(version, side, has_statuses)
            })
        };
        let servers = servers.iter();
        servers
            .filter(|(_, server)| server.entry.service == service)
            .filter(|(_, server)| {
                let version = server.entry.version.as_deref();
                version.is_some_and(|version| !is_allowed(version))
            })
            .map(|(key, _)| key)
            .collect()
    }

    /// Returns the side of a client's request that is about to be sent first, or `None` if there is
    /// no rollout. `is_fresh` tells whether the copies of the orders and statuses are recent.
    pub(crate) fn choose(&mut self, service: &str, is_fresh: bool, now: Duration) -> Option<Side> {
        let active = self.running_mut(service)?;
        let (phase, share) = active.in_force(is_fresh, now);
        Some(active.budget.choose(phase, share, now))
    }

    /// Returns the phase in force, if there is a rollout.
    pub(crate) fn phase(&self, service: &str, is_fresh: bool, now: Duration) -> Option<Phase> {
        let active = self.active(service)?;
        Some(active.in_force(is_fresh, now).0)
    }

    /// Records that no server of the target could take a request that was to go there.
    pub(crate) fn on_not_sent(&mut self, service: &str) {
        if let Some(active) = self.active_mut(service) {
            active.budget.on_not_sent();
        }
    }

    /// Returns the version side of a server, and the order, if there is a rollout.
    pub(crate) fn side_of(&self, service: &str, version: Option<&str>) -> Option<(OrderId, Side)> {
        let active = self.active(service)?;
        let is_target = version == Some(active.order.target.as_str());
        let side = if is_target { Side::Target } else { Side::Base };
        Some((active.order.id, side))
    }

    /// Counts a request that is sent now.
    pub(crate) fn on_sent(&mut self, service: &str, side: Side) {
        if let Some(active) = self.active_mut(service) {
            active.budget.on_sent(side);
        }
    }

    /// Records the outcome of a request, unless its rollout is over.
    pub(crate) fn on_outcome(
        &mut self,
        service: &str,
        attempt: &RolloutAttempt,
        is_failure: bool,
        time: Option<Duration>,
    ) {
        let active = self.active_mut(service);
        if let Some(active) = active.filter(|active| active.order.id == attempt.order) {
            let time = time.filter(|_| !attempt.is_cold);
            let evidence = &mut active.evidence;
            let (route, server) = (attempt.route, attempt.server_hash);
            evidence.record(attempt.side, route, server, is_failure, time);
        }
    }

    fn running_mut(&mut self, service: &str) -> Option<&mut ActiveRollout> {
        let rollout = self.services.get_mut(service)?;
        rollout.versions.running()?;
        rollout.active.as_mut()
    }
}
