//! Chooses the version side of requests during a rollout, and records what they show of the versions.

use super::progress::Progress;
use super::routed_request::RoutedRequest;
use super::target::Target;
use crate::caches::name_hash;
use crate::gateway::Gateway;
use crate::rollout::{Phase, RouteKey, Side};
use crate::server::server_hash;
use crate::service_rollouts::RolloutAttempt;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Chooses the version side of the next attempt. A request is counted once; a retry after a failed
/// attempt goes to the version in force unless all requests go to the target.
pub(super) fn choose_side(gateway: &Gateway, routed: &RoutedRequest, progress: &RefCell<Progress>) {
    let is_fresh = gateway.are_rollouts_fresh();
    let now = gateway.now();
    let service = &routed.service.name;
    let progress = &mut *progress.borrow_mut();
    let rollouts = &mut gateway.state.borrow_mut().rollouts;
    progress.rollout_side = match progress.rollout_side {
        None => rollouts.choose(service, is_fresh, now),
        Some(_) if progress.tried_servers.is_empty() => return,
        Some(_) => rollouts
            .phase(service, is_fresh, now)
            .map(|phase| match phase {
                Phase::Full | Phase::Completing => Side::Target,
                _ => Side::Base,
            }),
    };
}

/// Falls back to the version in force for a request to the target that no server of the target can
/// take. Returns `false` if the request is not for the target, or if the rollout is being completed:
/// no new request may then go to the version in force.
pub(super) fn fall_back_to_base(
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &RefCell<Progress>,
) -> bool {
    let is_fresh = gateway.are_rollouts_fresh();
    let progress = &mut *progress.borrow_mut();
    if progress.rollout_side != Some(Side::Target) {
        return false;
    }
    let service = &routed.service.name;
    let rollouts = &mut gateway.state.borrow_mut().rollouts;
    if rollouts.phase(service, is_fresh, gateway.now()) == Some(Phase::Completing) {
        return false;
    }
    rollouts.on_not_sent(service);
    progress.rollout_side = Some(Side::Base);
    true
}

/// Returns whether the version of the selected server may still get the request.
pub(super) fn may_send(gateway: &Gateway, routed: &RoutedRequest, target: &Target) -> bool {
    let is_fresh = gateway.are_rollouts_fresh();
    let now = gateway.now();
    let service = &routed.service.name;
    let rollouts = &gateway.state.borrow().rollouts;
    let version = target.version.as_deref();
    let side = rollouts.side_of(service, version).map(|(_, side)| side);
    if !rollouts.allows(service, version, side) {
        return false;
    }
    let phase = rollouts.phase(service, is_fresh, now);
    match (side, phase) {
        (Some(Side::Target), Some(Phase::Waiting | Phase::RollingBack)) => {
            rollouts.allows(service, version, Some(Side::Base))
        }
        (Some(Side::Base), Some(Phase::Completing)) => false,
        _ => true,
    }
}

/// Records the outcome of one request that was sent during a rollout.
pub(super) struct RolloutOutcome {
    gateway: Rc<Gateway>,
    service: String,
    version: Option<String>,
    attempt: Option<RolloutAttempt>,
    sent_at: Duration,
    is_answered: Cell<bool>,
}

impl RolloutOutcome {
    /// Counts a request that is sent now.
    pub(super) fn new(gateway: &Rc<Gateway>, routed: &RoutedRequest, target: &Target) -> Self {
        let service = &routed.service.name;
        let rollouts = &mut gateway.state.borrow_mut().rollouts;
        let version = target.version.clone().filter(|_| rollouts.is_enabled());
        if let Some(version) = &version {
            let totals = &mut rollouts.version_totals;
            totals.count(service, version, |counts| counts.requests += 1);
        }
        let side = rollouts.side_of(service, target.version.as_deref());
        let attempt = side.map(|(order, side)| {
            rollouts.on_sent(service, side);
            RolloutAttempt {
                order,
                side,
                route: route_key(routed, target),
                server_hash: server_hash(&target.id),
                is_cold: target.is_cold,
            }
        });
        Self {
            gateway: Rc::clone(gateway),
            service: service.clone(),
            version,
            attempt,
            sent_at: gateway.now(),
            is_answered: Cell::new(false),
        }
    }

    /// Records an answer, or the first event of a stream. Later calls change nothing.
    pub(super) fn on_answer(&self, is_failure: bool) {
        if !self.is_answered.replace(true) {
            let time = self.gateway.now().saturating_sub(self.sent_at);
            self.record(is_failure, Some(time));
        }
    }

    /// Records that there was no answer, or that it broke off.
    pub(super) fn on_broken(&self) {
        self.is_answered.set(true);
        self.record(true, None);
    }

    fn record(&self, is_failure: bool, time: Option<Duration>) {
        let rollouts = &mut self.gateway.state.borrow_mut().rollouts;
        if let Some(version) = &self.version {
            let totals = &mut rollouts.version_totals;
            totals.count(&self.service, version, |counts| {
                counts.answers += u64::from(time.is_some());
                counts.failures += u64::from(is_failure);
            });
        }
        if let Some(attempt) = &self.attempt {
            rollouts.on_outcome(&self.service, attempt, is_failure, time);
        }
    }
}

fn route_key(routed: &RoutedRequest, target: &Target) -> RouteKey {
    let computed = target
        .cache
        .as_ref()
        .map(|cache| cache.plan.computed_tokens);
    let prompt = routed.meta.prompt.as_ref();
    let tokens = prompt.map_or(0, |prompt| {
        u64::from(prompt.unshared_tokens()) + u64::from(computed.unwrap_or_default())
    });
    // Half of the binary logarithm is the logarithm to the base 4.
    let work = tokens.checked_ilog2().map_or(0, |log| log / 2);
    RouteKey {
        route: name_hash(&routed.route.name) as u16,
        work: work as u8,
    }
}
