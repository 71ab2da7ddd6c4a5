//! Requests in flight at backend servers, and what their outcomes tell about the servers.

use super::attempt_state::AttemptState;
use super::rollouts::RolloutOutcome;
use super::routed_request::RoutedRequest;
use super::target::Target;
use crate::gateway::Gateway;
use crate::request::{AnswerMeta, Prompt};
use crate::select::SelectedStart;
use crate::server::{Server, ServerKey};
use crate::server_ends::{
    BrokenAnswer, UsedServer, on_answer_broken, on_prompt_completed, on_unmarked_end,
};
use crate::server_notices::on_server_notice;
use crate::server_speed::StartSample;
use anvilgw_quarantine::Suspect;
use std::rc::Rc;
use std::time::Duration;

/// Time from the first bytes of an answer's body after which the answer is a long one. It may well be
/// under way when its server ends for a reason of its own.
const LONG_ANSWER_AFTER: Duration = Duration::from_secs(1);

/// Guard that counts one request at a server until it is dropped, and records the request's outcome
/// there.
pub(super) struct InFlight {
    gateway: Rc<Gateway>,
    server: UsedServer,
    tokens: u64,
    /// Estimated start, until the first event of a stream has arrived.
    awaited_start: Option<SelectedStart>,
    /// Name of the service, if the speed of its servers is learned.
    service: Option<String>,
    sent_at: Duration,
    /// Shared parts of the request's prompt.
    suspects: Rc<[Suspect]>,
    state: Rc<AttemptState>,
    /// When the first bytes of the answer's body arrived.
    body_began_at: Option<Duration>,
    rollout: RolloutOutcome,
}

impl InFlight {
    pub(super) fn new(
        gateway: &Rc<Gateway>,
        target: &Target,
        routed: &RoutedRequest,
        start: Option<SelectedStart>,
        state: Rc<AttemptState>,
    ) -> Self {
        let server = target.used_server();
        // The answer to another kind of request does not show when the prompt is computed.
        let awaited_start = start.filter(|_| routed.route.kind.is_stream());
        let prompt = routed.meta.prompt.as_ref();
        let tokens = prompt.map_or(0, Prompt::footprint_tokens);
        let now = gateway.now();
        let in_flight = Self {
            gateway: Rc::clone(gateway),
            server,
            tokens,
            awaited_start,
            service: start.map(|_| routed.service.name.clone()),
            sent_at: now,
            suspects: Rc::clone(&routed.suspects),
            state,
            body_began_at: None,
            rollout: RolloutOutcome::new(gateway, routed, target),
        };
        in_flight.with_server(|server| {
            server.on_request_sent(tokens, now);
            server.on_prompt_sent(awaited_start.map_or(0, |start| start.own_tokens));
        });
        in_flight
    }

    pub(super) fn state(&self) -> &Rc<AttemptState> {
        &self.state
    }

    pub(super) fn now(&self) -> Duration {
        self.gateway.now()
    }

    /// Calls `record` with the server, unless it is no longer known.
    fn with_server(&self, record: impl FnOnce(&mut Server)) {
        let state = &mut *self.gateway.state.borrow_mut();
        if let Some(server) = state.servers.get_mut(self.server.key) {
            record(server);
        }
    }

    /// Records that the server answered with a failure of its own.
    pub(super) fn on_failure_answer(&self) {
        self.rollout.on_answer(true);
    }

    pub(super) fn on_answer_read(&self, is_success: bool) {
        self.rollout.on_answer(!is_success);
        let now = self.gateway.now();
        self.with_server(|server| {
            server.on_request_outcome(is_success);
            server.breaker.on_success(now);
        });
    }

    /// Records that the answer broke off. `is_peer_unreachable` tells that the server acknowledges
    /// nothing any more, as opposed to a process that has ended.
    pub(super) fn on_answer_broken(&self, is_peer_unreachable: bool) {
        self.rollout.on_broken();
        let now = self.gateway.now();
        self.with_server(|server| {
            server.on_request_outcome(false);
            server.breaker.on_failure(now);
        });
        on_answer_broken(&self.gateway, &self.broken_answer(is_peer_unreachable));
    }

    fn broken_answer(&self, is_peer_unreachable: bool) -> BrokenAnswer {
        let now = self.gateway.now();
        let is_long = |began_at| now >= began_at + LONG_ANSWER_AFTER;
        BrokenAnswer {
            server: self.server,
            suspects: Rc::clone(&self.suspects),
            is_long: self.body_began_at.is_some_and(is_long),
            is_peer_unreachable,
        }
    }

    /// Records that bytes of the answer's body arrived.
    pub(super) fn on_body_bytes(&mut self) {
        let now = self.gateway.now();
        self.body_began_at.get_or_insert(now);
        self.rollout.on_answer(false);
        if let Some(start) = self.awaited_start.take() {
            self.on_first_event(&start, now);
        }
    }

    /// Records that the prompt is computed, and updates the speed of the server and its service.
    fn on_first_event(&self, start: &SelectedStart, now: Duration) {
        let state = &mut *self.gateway.state.borrow_mut();
        let server = state.servers.get_mut(self.server.key);
        let (Some(server), Some(service)) = (server, &self.service) else {
            return;
        };
        server.on_prompt_computed(start.own_tokens);
        let waited_for_slot = start.estimate.slot_ms > 0.0;
        if waited_for_slot || server.is_cold(now) {
            return;
        }
        let sample = StartSample {
            tokens: start.estimate.tokens_ahead + start.own_tokens,
            elapsed: now.saturating_sub(self.sent_at),
        };
        let speed = &mut state.loads.entry(service.clone()).or_default().speed;
        server.speed.on_first_event(&sample, speed, now);
        speed.on_first_event(&sample, now);
    }

    /// Records for how long a successful request has occupied the server. The time before the first
    /// event is left out, because the request may have waited for a slot.
    fn on_request_held(&self) {
        let Some(service) = &self.service else { return };
        let began_at = self.body_began_at.unwrap_or(self.sent_at);
        let held = self.gateway.now().saturating_sub(began_at);
        let state = &mut *self.gateway.state.borrow_mut();
        let load = state.loads.entry(service.clone()).or_default();
        load.speed.on_request_ended(held);
    }

    /// Records that a whole answer was received with success, so that its prompt is sound.
    pub(super) fn on_answer_complete(&self) {
        self.on_request_held();
        on_prompt_completed(&self.gateway, &self.suspects);
    }

    /// Records that a successful answer without a length and chunks has ended with its connection. It
    /// looks the same if the server has ended, so the prompt is sound only if the server still listens.
    pub(super) fn on_unmarked_end(&self) {
        self.on_request_held();
        on_unmarked_end(&self.gateway, self.broken_answer(false));
    }

    /// Records that no answer came in time. Counts as a failure for the circuit breaker only if the
    /// server has not answered any other request meanwhile; otherwise it is merely slow.
    pub(super) fn on_answer_timeout(&self) {
        self.rollout.on_broken();
        let now = self.gateway.now();
        self.with_server(|server| {
            server.on_request_outcome(false);
            if server.last_answer_at < self.sent_at {
                server.breaker.on_timeout(now);
            }
        });
    }

    pub(super) fn on_answer_head(&self, meta: &AnswerMeta) {
        let now = self.gateway.now();
        self.with_server(|server| {
            server.last_answer_at = now;
            if let Some(load) = meta.load {
                server.on_load_report(load, now);
            }
            if let Some(cold_for) = meta.cold_for {
                server.set_cold_for(cold_for, now);
            }
        });
        on_server_notice(&self.gateway, self.server.key, meta.notice);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.state.is_replaced() {
            self.on_answer_timeout();
        }
        let uncomputed_tokens = self.awaited_start.map_or(0, |start| start.own_tokens);
        self.with_server(|server| {
            server.on_request_ended(self.tokens);
            server.on_prompt_computed(uncomputed_tokens);
        });
    }
}

/// Opens the circuit breaker of a server at once: a connection that cannot be opened is stronger
/// evidence of an outage than a broken answer.
pub(super) fn on_server_unreachable(gateway: &Gateway, key: ServerKey) {
    let now = gateway.now();
    if let Some(server) = gateway.state.borrow_mut().servers.get_mut(key) {
        server.on_unreachable(now);
    }
}
