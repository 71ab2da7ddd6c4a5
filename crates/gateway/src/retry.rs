//! Decides whether a failed attempt is retried, and with which error the request fails otherwise.

use crate::configuration::RouteKind;
use crate::dispatch::{Progress, RoutedRequest, may_repeat_after_end};
use crate::gateway::Gateway;
use crate::log::Event;
use crate::metrics::RejectionLabels;
use crate::overload::Rejection;
use crate::select::NoServer;
use anvilgw_core::{ErrorKind, Failure};
use anvilgw_quarantine::REFUSAL_DETAIL;
use rand::RngExt;
use std::ops::Range;
use std::time::Duration;

/// Maximum number of connections that may fail to open for one request.
const CONNECT_FAILURES_MAX: u32 = 3;
/// Maximum number of servers that one request may find not listening. Refusals come at once, so
/// there may be more of them than other failures.
const REFUSALS_MAX: u32 = 16;
/// Minimum time that must be left before the request's deadline for a retry.
const REMAINING_TIME_MIN: Duration = Duration::from_millis(20);
/// Number of latency targets after which another server is tried beside a repeatable attempt.
const ATTEMPT_LATENCY_TARGETS: u32 = 2;
/// Range of the delay after which a client is asked to retry, in milliseconds; random, so that
/// clients do not return all at once. A back-off that servers asked for is added to it.
const RETRY_AFTER_RANGE_MS: Range<u64> = 150..600;
/// Range of that delay while engines are full: about the time in which a generation ends.
const MEMORY_RETRY_AFTER_RANGE_MS: Range<u64> = 400..1800;

/// Why an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// No server can take the request; nothing was sent.
    NoServer(NoServer),
    /// The prompt has a quarantined part; nothing was sent. Holds the time until its next trial.
    Quarantined(Duration),
    /// The connection failed before anything was sent.
    NotSent(String),
    /// Nothing listens at the server's address; nothing was sent.
    Refused(String),
    /// The server refused the request and did not execute it.
    Rejected(String),
    /// The address belongs to another server now, which did not execute the request.
    Misdirected,
    /// The server holds another version of the weights and did not execute the request.
    WeightsMismatch,
    /// The answer is missing or incomplete, so the server may have executed the request.
    OutcomeUnknown(String),
    /// The server answered with this HTTP status, which reports a failure of its own.
    ServerFailed(u16),
}

impl AttemptError {
    /// Returns whether no server was tried.
    pub(crate) fn is_before_attempt(&self) -> bool {
        matches!(self, Self::NoServer(_) | Self::Quarantined(_))
    }

    /// Returns a description for logs and error messages.
    pub(crate) fn describe(&self) -> String {
        match self {
            Self::NoServer(NoServer::Overloaded(rejection)) => describe_rejection(rejection),
            Self::NoServer(reason) => reason.reason().to_owned(),
            Self::NotSent(reason)
            | Self::Refused(reason)
            | Self::Rejected(reason)
            | Self::OutcomeUnknown(reason) => reason.clone(),
            Self::Quarantined(_) => REFUSAL_DETAIL.to_owned(),
            Self::WeightsMismatch => "the server holds another version of the weights".to_owned(),
            Self::Misdirected => "the address now belongs to another server".to_owned(),
            Self::ServerFailed(status) => format!("the server failed with status {status}"),
        }
    }
}

fn describe_rejection(rejection: &Rejection) -> String {
    format!(
        "{}: estimated start in {} ms, limit {} ms",
        NoServer::Overloaded(*rejection).reason(),
        rejection.start.as_millis(),
        rejection.limit.as_millis()
    )
}

/// What happens after a failed attempt.
pub(crate) enum RetryDecision {
    /// The request is sent again.
    Retry,
    /// The request fails for this reason, and the client receives this error.
    Fail(NotRetried, Failure),
}

/// Why a failed attempt is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotRetried {
    /// Too little time is left before the request's deadline.
    NoTime,
    /// The route's rules allow no other attempt after the error.
    NotAllowed,
    /// Servers ended under a part of the request's prompt.
    ServersEnded,
    /// The retry budget of the service is spent.
    BudgetSpent,
}

impl NotRetried {
    /// Returns a description for the log.
    pub(crate) fn describe(self) -> &'static str {
        match self {
            Self::NoTime => "too little time is left",
            Self::NotAllowed => "the route allows no other attempt",
            Self::ServersEnded => "backend servers ended under a part of the prompt",
            Self::BudgetSpent => "the retry budget is spent",
        }
    }
}

/// Retry rules of one route.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryPolicy {
    is_repeatable: bool,
    attempts_max: u32,
}

impl RetryPolicy {
    pub(crate) fn new(kind: RouteKind, attempts_max: u32) -> Self {
        Self {
            is_repeatable: kind.is_repeatable(),
            attempts_max: attempts_max.max(1),
        }
    }

    /// Returns the time after which another server is tried beside an attempt, the last one of
    /// `attempts`. An attempt that may be repeated leaves time for the next one.
    pub(crate) fn overlap_after(
        self,
        attempts: u32,
        remaining: Duration,
        latency_target: Duration,
    ) -> Duration {
        let is_last = !self.is_repeatable || attempts >= self.attempts_max;
        if is_last {
            return remaining;
        }
        (latency_target * ATTEMPT_LATENCY_TARGETS)
            .max(remaining / 2)
            .min(remaining)
    }

    /// Returns whether the route's rules allow a retry after this error.
    pub(crate) fn allows(self, error: &AttemptError, attempts: u32, connect_failures: u32) -> bool {
        match error {
            AttemptError::NoServer(_) | AttemptError::Quarantined(_) => false,
            // `decide` limits them.
            AttemptError::Refused(_) => true,
            AttemptError::NotSent(_) => connect_failures < CONNECT_FAILURES_MAX,
            AttemptError::Rejected(_) => attempts < self.attempts_max,
            // The request did not reach the intended server or version, so one such attempt does
            // not count.
            AttemptError::Misdirected | AttemptError::WeightsMismatch => {
                attempts < self.attempts_max + 1
            }
            AttemptError::OutcomeUnknown(_) | AttemptError::ServerFailed(_) => {
                self.is_repeatable && attempts < self.attempts_max
            }
        }
    }

    /// Decides whether to retry, given the time left and the retry budget of the service. Counts
    /// failed connections in `progress`.
    pub(crate) fn decide(
        self,
        gateway: &Gateway,
        call: &RoutedRequest,
        progress: &mut Progress,
        error: &AttemptError,
    ) -> RetryDecision {
        progress.count_unsent(error);
        let Some(reason) = self.refusal(gateway, call, progress, error) else {
            return RetryDecision::Retry;
        };
        let has_time = reason != NotRetried::NoTime;
        let failure = build_failure(gateway, call, progress, error, has_time);
        RetryDecision::Fail(reason, failure)
    }

    /// Returns why a retry is refused. Otherwise takes it from the retry budget.
    pub(crate) fn refusal(
        self,
        gateway: &Gateway,
        call: &RoutedRequest,
        progress: &Progress,
        error: &AttemptError,
    ) -> Option<NotRetried> {
        if call.remaining(gateway.now()) <= REMAINING_TIME_MIN {
            return Some(NotRetried::NoTime);
        }
        let is_allowed = self.allows(
            error,
            progress.attempts_towards_max(),
            progress.connect_failures,
        );
        if !is_allowed || progress.refusals > REFUSALS_MAX {
            return Some(NotRetried::NotAllowed);
        }
        if matches!(error, AttemptError::OutcomeUnknown(_)) && !may_repeat_after_end(gateway, call)
        {
            return Some(NotRetried::ServersEnded);
        }
        // A connection that failed to open put no load on the service, so it does not use the retry
        // budget.
        let is_exempt_from_budget =
            matches!(error, AttemptError::NotSent(_) | AttemptError::Refused(_));
        if is_exempt_from_budget || gateway.take_retry(&call.service.name) {
            return None;
        }
        Some(NotRetried::BudgetSpent)
    }
}

fn build_failure(
    gateway: &Gateway,
    call: &RoutedRequest,
    progress: &Progress,
    error: &AttemptError,
    has_time: bool,
) -> Failure {
    let detail = error.describe();
    let service = call.service.name.as_str();
    let range_ms = match error {
        AttemptError::NoServer(NoServer::NoMemory) => MEMORY_RETRY_AFTER_RANGE_MS,
        _ => RETRY_AFTER_RANGE_MS,
    };
    let jitter_ms = gateway.state.borrow_mut().rng.random_range(range_ms);
    let now = gateway.now();
    let pause = match error {
        AttemptError::NoServer(NoServer::RateLimited(pause)) | AttemptError::Quarantined(pause) => {
            Some(*pause)
        }
        _ => gateway.state.borrow().servers.backoff_left(service, now),
    };
    let retry_after = match error {
        AttemptError::NoServer(NoServer::Overloaded(rejection)) => {
            on_overloaded(gateway, call, rejection)
        }
        _ => pause.unwrap_or_default() + Duration::from_millis(jitter_ms),
    };
    if progress.may_have_executed() {
        let kind = if has_time {
            ErrorKind::AnswerBroken
        } else {
            ErrorKind::DeadlineExceeded
        };
        return progress.failure(kind, &detail);
    }
    let kind = match error {
        AttemptError::NoServer(
            NoServer::NoMemory
            | NoServer::BackingOff(_)
            | NoServer::RateLimited(_)
            | NoServer::Overloaded(_),
        ) => ErrorKind::Overloaded,
        AttemptError::Quarantined(_) => ErrorKind::PromptQuarantined,
        AttemptError::NoServer(_)
        | AttemptError::NotSent(_)
        | AttemptError::Refused(_)
        | AttemptError::Misdirected
        | AttemptError::WeightsMismatch => ErrorKind::NoBackend,
        AttemptError::Rejected(_) => ErrorKind::Overloaded,
        AttemptError::OutcomeUnknown(_) | AttemptError::ServerFailed(_) => ErrorKind::BackendFailed,
    };
    progress
        .failure(kind, &detail)
        .with_retry_after(retry_after)
}

/// Counts a rejection because of the load, and returns when the client should retry.
fn on_overloaded(gateway: &Gateway, call: &RoutedRequest, rejection: &Rejection) -> Duration {
    gateway.metrics.count_rejection(RejectionLabels {
        reason: rejection.reason.name(),
        urgency: call.urgency(),
    });
    let now = gateway.now();
    let state = &mut *gateway.state.borrow_mut();
    let draw = state.rng.random();
    let load = state.loads.entry(call.service.name.clone()).or_default();
    let span = &mut load.overload.span;
    let is_first = span.on_rejected(now);
    let retry_after = span.retry_after(rejection.drain_time(), call.remaining(now), draw, now);
    if is_first {
        gateway.log_notable(&Event::Overload {
            service: &call.service.name,
            urgency: call.urgency(),
            reason: rejection.reason.name(),
            start_ms: rejection.start.as_millis() as u64,
            limit_ms: rejection.limit.as_millis() as u64,
        });
    }
    retry_after
}
