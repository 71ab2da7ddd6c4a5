//! Record of a request's attempts, logged when the request ends.

use super::attempt_state::{AttemptRecord, AttemptState};
use super::routed_request::RoutedRequest;
use crate::gateway::Gateway;
use crate::log::{Event, LoggedParts, RequestLine};
use crate::retry::AttemptError;
use crate::rollout::Side;
use crate::server::ServerKey;
use anvilgw_core::{ErrorKind, Failure, Stage};
use anvilgw_quarantine::Suspect;
use std::rc::Rc;
use std::time::Duration;

/// Record of a request's attempts. Logs the request's outcome when dropped; without a recorded
/// outcome, the client has disconnected.
pub(crate) struct Progress {
    gateway: Rc<Gateway>,
    request: String,
    route: String,
    workspace: String,
    /// Shared parts of the request's prompt.
    suspects: Rc<[Suspect]>,
    configuration: u64,
    arrived_at: Duration,
    /// Servers selected by the attempts so far, which later attempts avoid.
    pub(crate) tried_servers: Vec<ServerKey>,
    /// Version side of the next attempt, while there is a rollout of the service.
    pub(super) rollout_side: Option<Side>,
    /// Number of attempts in which the request was sent at least in part, or is being sent.
    sent_count: u32,
    /// Number of those attempts whose servers have lost power or were cut off.
    unreachable_servers: u32,
    /// Number of attempts in which nothing was sent, because no connection could be opened or used.
    pub(crate) connect_failures: u32,
    /// Number of servers at whose addresses nothing listened.
    pub(crate) refusals: u32,
    /// Whether a server may have executed the request.
    may_have_executed: bool,
    /// Whether a server may have executed the request in an attempt before the current one.
    may_have_executed_before: bool,
    /// The attempt that was answered, or else the last one.
    last_attempt: AttemptRecord,
    /// Why the last attempt failed; empty if none did.
    reason: String,
    /// Why no other server continued a stream that broke; empty if none broke.
    not_resumed: String,
    first_event: Option<Duration>,
    end: Option<RequestEnd>,
}

/// Outcome of a request, with the values of its log line.
struct RequestEnd {
    status: u16,
    outcome: &'static str,
    executed: &'static str,
}

impl Progress {
    pub(crate) fn new(gateway: &Rc<Gateway>, routed: &RoutedRequest) -> Self {
        let in_flight = &gateway.requests_in_flight;
        in_flight.set(in_flight.get() + 1);
        Self {
            gateway: Rc::clone(gateway),
            request: routed.meta.id.clone(),
            route: routed.route.name.clone(),
            workspace: routed.workspace_name().unwrap_or_default().to_owned(),
            suspects: Rc::clone(&routed.suspects),
            configuration: routed.configuration.version,
            arrived_at: routed.arrived_at,
            tried_servers: Vec::new(),
            rollout_side: None,
            sent_count: 0,
            unreachable_servers: 0,
            connect_failures: 0,
            refusals: 0,
            may_have_executed: false,
            may_have_executed_before: false,
            last_attempt: AttemptRecord::default(),
            reason: String::new(),
            not_resumed: String::new(),
            first_event: None,
            end: None,
        }
    }

    /// Records that a server was selected for an attempt.
    pub(crate) fn on_selected(&mut self, server: ServerKey, record: &AttemptRecord) {
        self.tried_servers.push(server);
        self.last_attempt = record.clone();
    }

    /// Records that the client gets the answer of this attempt.
    pub(crate) fn on_answering(&mut self, record: &AttemptRecord) {
        self.last_attempt = record.clone();
    }

    /// Logs and counts a failed attempt.
    pub(crate) fn on_attempt_failed(&mut self, attempt: &AttemptState, reason: String) {
        let record = attempt.record.borrow();
        self.unreachable_servers += u32::from(attempt.is_server_unreachable());
        let elapsed = self.gateway.now().saturating_sub(self.arrived_at);
        self.gateway.metrics.count("failed_attempts");
        self.gateway.log_notable(&Event::Attempt {
            request: &self.request,
            attempt: self.sent_count,
            server: &record.server,
            server_version: &record.version,
            reason: &reason,
            answer: record.answer,
            parts: LoggedParts(&self.suspects),
            elapsed_ms: elapsed.as_millis() as u64,
            choice: record.choice,
        });
        self.reason = reason;
        self.last_attempt = record.clone();
    }

    /// Records that the first bytes of a stream arrived.
    pub(crate) fn on_first_event(&mut self) {
        let elapsed = self.gateway.now().saturating_sub(self.arrived_at);
        self.first_event = Some(elapsed);
    }

    /// Records that a backend server's answer was delivered completely.
    pub(crate) fn on_answer_delivered(&mut self, status: u16) {
        self.end = Some(RequestEnd {
            status,
            outcome: "answered",
            executed: "",
        });
    }

    /// Records that a stream was cut off after its head was sent to the client, and why no other
    /// server continued it.
    pub(crate) fn on_stream_broken_off(&mut self, not_resumed: &str) {
        not_resumed.clone_into(&mut self.not_resumed);
        self.gateway.metrics.count("streams_broken_off");
        self.end = Some(RequestEnd {
            status: 200,
            outcome: "broken_off",
            executed: "yes",
        });
    }

    /// Records that an attempt starts to send the request. From now on the request counts as
    /// possibly executed, also if the client disconnects, until the attempt's outcome shows
    /// otherwise.
    pub(crate) fn on_attempt_sending(&mut self) {
        self.sent_count += 1;
        self.may_have_executed_before = self.may_have_executed;
        self.may_have_executed = true;
    }

    /// Records that the current attempt did not execute the request.
    pub(crate) fn on_attempt_not_executed(&mut self) {
        self.may_have_executed = self.may_have_executed_before;
    }

    /// Returns the number of attempts that count towards the maximum of the route. A server that has
    /// lost power or was cut off works on no request.
    pub(crate) fn attempts_towards_max(&self) -> u32 {
        self.sent_count.saturating_sub(self.unreachable_servers)
    }

    /// Counts an attempt in which nothing was sent because of its server.
    pub(crate) fn count_unsent(&mut self, error: &AttemptError) {
        match error {
            AttemptError::NotSent(_) => self.connect_failures += 1,
            AttemptError::Refused(_) => self.refusals += 1,
            _ => {}
        }
    }

    /// Records that nothing of the request was sent in the current attempt.
    pub(crate) fn on_attempt_not_sent(&mut self) {
        self.sent_count -= 1;
        self.on_attempt_not_executed();
    }

    /// Returns whether a server may have executed the request.
    pub(crate) fn may_have_executed(&self) -> bool {
        self.may_have_executed
    }

    /// Creates the failure of the request. Its stage follows from whether the request may have been
    /// executed.
    pub(crate) fn failure(&self, kind: ErrorKind, detail: &str) -> Failure {
        let stage = if self.may_have_executed {
            Stage::AnswerLost
        } else {
            Stage::Queued
        };
        Failure::new(kind, stage, detail)
    }

    /// Records the failure that is reported to the client.
    pub(crate) fn on_request_failed(&mut self, failure: &Failure) {
        if self.reason.is_empty() {
            failure.detail().clone_into(&mut self.reason);
        }
        self.end = Some(RequestEnd {
            status: failure.kind().answer().status,
            outcome: failure.kind().answer().code,
            executed: failure.executed().as_str(),
        });
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        let in_flight = &self.gateway.requests_in_flight;
        in_flight.set(in_flight.get().saturating_sub(1));
        let now = self.gateway.now();
        let elapsed = now.saturating_sub(self.arrived_at);
        let age = self.gateway.state.borrow().configuration_freshness.age(now);
        let end = self.end.take().unwrap_or(RequestEnd {
            status: 0,
            outcome: "client_gone",
            executed: "unknown",
        });
        let line = RequestLine {
            request: &self.request,
            route: &self.route,
            workspace: &self.workspace,
            status: end.status,
            outcome: end.outcome,
            reason: &self.reason,
            not_resumed: &self.not_resumed,
            executed: end.executed,
            server: &self.last_attempt.server,
            server_version: &self.last_attempt.version,
            answer: self.last_attempt.answer,
            attempts: self.sent_count,
            elapsed_ms: elapsed.as_millis() as u64,
            first_event_ms: self.first_event.map(|first| first.as_millis() as u64),
            choice: self.last_attempt.choice,
            configuration: self.configuration,
            configuration_age_ms: age.map_or(u64::MAX, |age| age.as_millis() as u64),
        };
        if end.outcome == "answered" {
            self.gateway.metrics.count("requests_answered");
            self.gateway.metrics.record_latency("request", elapsed);
            if let Some(first) = self.first_event {
                self.gateway.metrics.record_latency("first_event", first);
            }
            self.gateway.log_routine(&Event::Request(line));
        } else {
            self.gateway.metrics.count("requests_failed");
            self.gateway.log_notable(&Event::Request(line));
        }
    }
}
