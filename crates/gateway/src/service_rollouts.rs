//! Rollouts of all services as this daemon sees them: orders, statuses, and what it has observed.

use crate::permits::members_by_rank;
use crate::ports::RolloutRequest;
use crate::rollout::{
    Decider, Decision, Evidence, ExposureBounds, ExposureBudget, OrderId, Phase, RolloutDirective,
    RolloutOrder, RolloutReport, RolloutState, RolloutStatus, RouteKey, ServiceVersions, Side,
    TargetShare, VersionUse,
};
use crate::server::{ServerKey, ServerState, Servers};
use crate::settings::RolloutBounds;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time without a reply after which the member that is next in rank is asked as well.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a member that has not replied is no longer the one to be obeyed.
const REPLY_AGE_MAX: Duration = Duration::from_millis(1000);

/// Time within which an append that was not answered takes effect, if it does.
const LATE_APPEND_MAX: Duration = Duration::from_secs(15);

/// Rollouts of all services.
#[derive(Debug, Default)]
pub(crate) struct ServiceRollouts {
    bounds: Option<RolloutBounds>,
    services: IndexMap<String, ServiceRollout>,
    /// Offset from which to read the log of statuses.
    pub(crate) next_offset: u64,
    /// Time up to which all statuses are known. `None` before the first listing.
    statuses_verified_at: Option<Duration>,
}

/// Rollout of one service.
#[derive(Debug, Default)]
struct ServiceRollout {
    versions: ServiceVersions,
    active: Option<ActiveRollout>,
    /// Why the newest order of the service is malformed, which is logged once.
    malformed: Option<String>,
    /// When the newest order was removed, if it was.
    withdrawn_at: Option<Duration>,
    /// Whether a task writes the status.
    is_writing: bool,
}

impl ServiceRollout {
    fn is_unfinished(&self, now: Duration) -> bool {
        let is_withdrawn_lately = self
            .withdrawn_at
            .is_some_and(|at| now.saturating_sub(at) < LATE_APPEND_MAX);
        self.active.is_some() || self.versions.withdrawn_to_store().is_some() || is_withdrawn_lately
    }
}

/// An order without a final status.
#[derive(Debug)]
pub(crate) struct ActiveRollout {
    pub(crate) order: RolloutOrder,
    budget: ExposureBudget,
    evidence: Evidence,
    directive: Option<ReceivedDirective>,
    /// Number of members that are asked beside the first in rank.
    others_asked: usize,
    asked_since: Duration,
    /// Set as soon as another daemon, or this one, reports to this daemon.
    pub(crate) decider: Option<Decider>,
    /// Newest decision of this daemon, if it is the decider.
    pub(crate) decision: Option<Decision>,
    /// Addresses of the daemons that have reported to this one, with the time of the last report.
    reporters: IndexMap<SocketAddr, Duration>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedDirective {
    directive: RolloutDirective,
    received_at: Duration,
    /// Rank of the sender.
    rank: usize,
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
            return OrderEffect::Unchanged;
        }
        let order = RolloutOrder {
            id: request.id,
            service: request.service,
            target: request.target,
            step: request.step,
            learned_at: now,
        };
        service.versions.on_order(Some(order.clone()));
        if service.versions.running().is_none() {
            service.active = None;
            let status = service.versions.status();
            let state = status.map_or(RolloutState::Running, |status| status.state);
            return OrderEffect::AlreadyFinal(state);
        }
        let budget = ExposureBudget::new(bounds, order.step, now, random);
        service.active = Some(ActiveRollout {
            order,
            budget,
            evidence: Evidence::default(),
            directive: None,
            others_asked: 0,
            asked_since: now,
            decider: None,
            decision: None,
            reporters: IndexMap::new(),
        });
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
        service.versions.on_order(None);
        service.active = None;
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

    /// Applies a stored status, and returns whether it is news.
    pub(crate) fn on_status(&mut self, status: &RolloutStatus) -> bool {
        let service = self.service_mut(&status.service);
        let is_news = service.versions.status() != Some(status);
        service.versions.on_status(status.clone());
        if let Some(active) = &mut service.active {
            if let Some(decider) = &mut active.decider {
                decider.on_status(status);
            }
            if status.is_of(&active.order) && status.state.is_final() {
                service.active = None;
            }
        }
        is_news
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

    /// Returns the services with a rollout that is not over, or was removed a short time ago.
    pub(crate) fn unfinished(&self, now: Duration) -> Vec<String> {
        let services = self.services.iter();
        services
            .filter(|(_, service)| service.is_unfinished(now))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the status that is to be stored for an order that was removed, and the time since
    /// then.
    pub(crate) fn withdrawn_to_store(
        &self,
        service: &str,
        now: Duration,
    ) -> Option<(RolloutStatus, Duration)> {
        let service = self.services.get(service)?;
        let status = service.versions.withdrawn_to_store()?;
        let since = service.withdrawn_at.unwrap_or_default();
        Some((status, now.saturating_sub(since)))
    }

    /// Returns whether a status still is to be stored.
    pub(crate) fn is_to_be_stored(&self, status: &RolloutStatus) -> bool {
        let Some(service) = self.services.get(&status.service) else {
            return false;
        };
        let versions = &service.versions;
        let expected = versions.status_to_store(status.state);
        let expected = expected.or_else(|| versions.withdrawn_to_store());
        expected.as_ref() == Some(status) && versions.status() != Some(status)
    }

    /// Begins to write a status of a service, unless one is being written.
    pub(crate) fn begin_writing(&mut self, service: &str) -> bool {
        let service = self.service_mut(service);
        !std::mem::replace(&mut service.is_writing, true)
    }

    pub(crate) fn end_writing(&mut self, service: &str) {
        self.service_mut(service).is_writing = false;
    }

    pub(crate) fn active(&self, service: &str) -> Option<&ActiveRollout> {
        self.services.get(service)?.active.as_ref()
    }

    pub(crate) fn active_mut(&mut self, service: &str) -> Option<&mut ActiveRollout> {
        self.services.get_mut(service)?.active.as_mut()
    }

    pub(crate) fn service_of(&self, order: OrderId) -> Option<&str> {
        let found = self.services.iter().find(|(_, service)| {
            let active = service.active.as_ref();
            active.is_some_and(|active| active.order.id == order)
        });
        found.map(|(name, _)| name.as_str())
    }

    pub(crate) fn versions(&self) -> impl Iterator<Item = (&str, &ServiceVersions)> {
        let services = self.services.iter();
        services.map(|(name, service)| (name.as_str(), &service.versions))
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
        let Some(rollout) = self.services.get(service) else {
            // Without the orders and statuses it is not known which versions may serve.
            return self.has_statuses();
        };
        if rollout.versions.in_force().is_none() && !self.has_statuses() {
            return false;
        }
        let version_use = rollout.versions.use_of(Some(version));
        match side {
            Some(Side::Target) => {
                let running = rollout.versions.running();
                let is_target = running.is_some_and(|order| order.target == version);
                is_target && version_use != VersionUse::Excluded
            }
            Some(Side::Base) | None => version_use == VersionUse::All,
        }
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
        let servers = servers.iter();
        servers
            .filter(|(_, server)| server.entry.service == service)
            .filter(|(_, server)| !self.allows(service, server.entry.version.as_deref(), side))
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

    /// Records that no server of the target could take a request that was chosen for it.
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

impl ActiveRollout {
    /// Returns phase and share that apply now. Without a valid directive nothing goes to the target.
    pub(crate) fn in_force(&self, is_fresh: bool, now: Duration) -> (Phase, TargetShare) {
        let valid = self.directive.filter(|received| {
            now.saturating_sub(received.received_at) < RolloutDirective::VALID_FOR
        });
        match valid {
            Some(received) if is_fresh => (received.directive.phase, received.directive.share),
            _ => (Phase::Waiting, TargetShare::NONE),
        }
    }

    /// Returns the daemons to report to: the first member in rank, and the next ones while there is
    /// no reply.
    pub(crate) fn recipients(
        &mut self,
        service_hash: u64,
        members: &[SocketAddr],
        now: Duration,
    ) -> Vec<SocketAddr> {
        self.budget.on_members(members.len());
        let ranked = members_by_rank(service_hash, members);
        let heard_at = self.directive.map(|received| received.received_at);
        let silent_since = heard_at.unwrap_or_default().max(self.asked_since);
        if now.saturating_sub(silent_since) >= REPLY_TIMEOUT {
            self.others_asked = (self.others_asked + 1) % ranked.len().max(1);
            self.asked_since = now;
        }
        ranked.into_iter().take(self.others_asked + 1).collect()
    }

    /// Takes in a directive of the member with this rank. That of a member which ranks higher takes
    /// precedence while it replies.
    pub(crate) fn on_directive(&mut self, directive: RolloutDirective, rank: usize, now: Duration) {
        let is_outranked = self.directive.is_some_and(|received| {
            received.rank < rank && now.saturating_sub(received.received_at) < REPLY_AGE_MAX
        });
        if is_outranked && directive.phase != Phase::RollingBack {
            return;
        }
        if rank < self.others_asked {
            self.others_asked = rank;
        }
        self.directive = Some(ReceivedDirective {
            directive,
            received_at: now,
            rank,
        });
    }

    /// Records that another daemon has reported to this one.
    pub(crate) fn on_reporter(&mut self, address: SocketAddr, now: Duration) {
        self.reporters.insert(address, now);
    }

    /// Returns the addresses of the daemons that have reported to this one lately.
    pub(crate) fn recent_reporters(&self, now: Duration) -> Vec<SocketAddr> {
        let reporters = self.reporters.iter();
        reporters
            .filter(|(_, at)| now.saturating_sub(**at) < REPLY_AGE_MAX)
            .map(|(address, _)| *address)
            .collect()
    }

    /// Returns the report of what this daemon has observed.
    pub(crate) fn report(
        &self,
        sender: u64,
        phase: Phase,
        servers: &Servers,
        now: Duration,
    ) -> RolloutReport {
        let in_flight = |is_target: bool| {
            let of_service = servers
                .iter()
                .filter(|(_, server)| server.entry.service == self.order.service);
            let version = Some(self.order.target.as_str());
            of_service
                .filter(|(_, server)| (server.entry.version.as_deref() == version) == is_target)
                .map(|(_, server)| server.in_flight)
                .sum()
        };
        let age = now.saturating_sub(self.order.learned_at);
        RolloutReport {
            order: self.order.id,
            sender,
            order_age_ms: age.as_millis() as u32,
            phase,
            counts: self.budget.counts(),
            base_in_flight: in_flight(false),
            target_in_flight: in_flight(true),
            rows: self.evidence.snapshot(),
        }
    }

    /// Returns the decider of the order, which is created when the first report arrives.
    pub(crate) fn decider_mut(
        &mut self,
        bounds: ExposureBounds,
        stored: Option<&RolloutStatus>,
    ) -> &mut Decider {
        let order = &self.order;
        self.decider.get_or_insert_with(|| {
            let mut decider = Decider::new(order.clone(), bounds);
            if let Some(status) = stored {
                decider.on_status(status);
            }
            decider
        })
    }
}

/// Servers of both versions, as the decider needs them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VersionServers {
    pub(crate) target_servers: usize,
    pub(crate) target_warm_slots: u32,
    pub(crate) base_servers: usize,
    pub(crate) base_slots: u32,
}

impl VersionServers {
    pub(crate) fn of(order: &RolloutOrder, servers: &Servers, now: Duration) -> Self {
        let mut sums = Self::default();
        for (_, server) in servers.iter() {
            let is_counted = server.entry.service == order.service
                && server.entry.state == ServerState::Ready
                && servers.is_in_service(server);
            if !is_counted {
                continue;
            }
            if server.entry.version.as_deref() == Some(order.target.as_str()) {
                sums.target_servers += 1;
                if !server.is_cold(now) {
                    sums.target_warm_slots += server.entry.slots;
                }
            } else {
                sums.base_servers += 1;
                sums.base_slots += server.entry.slots;
            }
        }
        sums
    }
}
