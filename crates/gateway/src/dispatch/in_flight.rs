//! Requests in flight at backend servers, and what their outcomes tell about the servers.

use super::attempt_state::AttemptState;
use super::rollouts::RolloutOutcome;
use super::routed_request::RoutedRequest;
use super::target::Target;
use crate::gateway::Gateway;
use crate::request::{AnswerMeta, Prompt};
use crate::server::{Server, ServerKey};
use crate::server_ends::{UsedServer, on_answer_broken};
use crate::server_notices::on_server_notice;
use anvilgw_quarantine::Suspect;
use std::rc::Rc;
use std::time::Duration;

/// Time from the first bytes of an answer's body after which the end of its server is not put down
/// to the request.
const UNDERWAY_AFTER: Duration = Duration::from_secs(1);

/// Guard that counts one request at a server until it is dropped, and records the request's outcome
/// there.
pub(super) struct InFlight {
    gateway: Rc<Gateway>,
    server: UsedServer,
    tokens: u64,
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
        state: Rc<AttemptState>,
    ) -> Self {
        let server = target.used_server();
        let prompt = routed.meta.prompt.as_ref();
        let tokens = prompt.map_or(0, Prompt::footprint_tokens);
        let now = gateway.now();
        let in_flight = Self {
            gateway: Rc::clone(gateway),
            server,
            tokens,
            sent_at: now,
            suspects: Rc::clone(&routed.suspects),
            state,
            body_began_at: None,
            rollout: RolloutOutcome::new(gateway, routed, target),
        };
        in_flight.with_server(|server| server.on_request_sent(tokens, now));
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

    pub(super) fn on_answer_broken(&self) {
        self.rollout.on_broken();
        let now = self.gateway.now();
        self.with_server(|server| {
            server.on_request_outcome(false);
            server.breaker.on_failure(now);
        });
        let is_underway = self
            .body_began_at
            .is_some_and(|began_at| now >= began_at + UNDERWAY_AFTER);
        if !is_underway {
            on_answer_broken(&self.gateway, self.server, &self.suspects);
        }
    }

    /// Records that bytes of the answer's body arrived.
    pub(super) fn on_body_bytes(&mut self) {
        let now = self.gateway.now();
        self.body_began_at.get_or_insert(now);
        self.rollout.on_answer(false);
    }

    /// Records that a whole answer was received with success, so that its prompt is sound.
    pub(super) fn on_answer_complete(&self) {
        if self.suspects.is_empty() {
            return;
        }
        let now = self.gateway.now();
        let quarantine = &mut self.gateway.state.borrow_mut().quarantine;
        if quarantine.on_completed(&self.suspects, now) {
            self.gateway.evidence_changed.notify_one();
        }
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
        self.with_server(|server| server.on_request_ended(self.tokens));
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
