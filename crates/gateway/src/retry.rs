//! Decides after a failed attempt whether another one follows.

use crate::configuration::RouteKind;
use crate::dispatch::{Call, Progress};
use crate::gateway::Gateway;
use crate::select::NoServer;
use anvilgw_core::{ErrorKind, Failure};
use rand::RngExt;
use std::ops::Range;
use std::time::Duration;

/// Connections that may fail to open for one request.
const CONNECT_FAILURES_MAX: u32 = 3;
/// Time that must be left for another attempt.
const RETRY_TIME_MIN: Duration = Duration::from_millis(20);
/// Latency targets after which an attempt that may be repeated is given up for another server.
const ATTEMPT_LATENCY_TARGETS: u32 = 2;
/// Shortest and longest time after which a caller is asked to come back, without a better estimate.
const RETRY_AFTER_RANGE_MS: Range<u64> = 150..600;
/// The same where engines are full: about the time in which a run ends.
const MEMORY_RETRY_AFTER_RANGE_MS: Range<u64> = 400..1800;

/// Why an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// No server can take the request.
    NoServer(NoServer),
    /// Nothing was sent.
    NotSent(String),
    /// The server did not execute the request.
    Rejected(String),
    /// Another server has the address; it did not execute the request.
    Misdirected,
    /// The server holds other weights; it did not execute the request.
    WeightsMismatch,
    /// The request may have been executed.
    OutcomeUnknown(String),
    /// The server answered with a failure of its own.
    ServerFailed(u16),
}

impl AttemptError {
    /// Text for logs.
    pub(crate) fn describe(&self) -> String {
        match self {
            Self::NoServer(reason) => reason.reason().to_owned(),
            Self::NotSent(reason) | Self::Rejected(reason) | Self::OutcomeUnknown(reason) => {
                reason.clone()
            }
            Self::WeightsMismatch => "the server holds other weights".to_owned(),
            Self::Misdirected => "another server has the address".to_owned(),
            Self::ServerFailed(status) => format!("the server failed with status {status}"),
        }
    }
}

/// What follows a failed attempt.
pub(crate) enum RetryDecision {
    /// Another attempt.
    Retry,
    /// The caller is told the failure.
    Fail(Failure),
}

/// Retries of one route.
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

    /// Time for an attempt. An attempt that may be repeated leaves time for the next one.
    pub(crate) fn attempt_limit(
        self,
        sent: u32,
        remaining: Duration,
        latency_target: Duration,
    ) -> Duration {
        let is_last = !self.is_repeatable || sent + 1 >= self.attempts_max;
        if is_last {
            return remaining;
        }
        (latency_target * ATTEMPT_LATENCY_TARGETS)
            .max(remaining / 2)
            .min(remaining)
    }

    /// Whether the cause allows another attempt at all.
    pub(crate) fn allows(self, cause: &AttemptError, sent: u32, connect_failures: u32) -> bool {
        match cause {
            AttemptError::NoServer(_) => false,
            AttemptError::NotSent(_) => connect_failures < CONNECT_FAILURES_MAX,
            AttemptError::Rejected(_) => sent < self.attempts_max,
            // The server that was meant is not there: it does not count as one of the attempts.
            AttemptError::Misdirected | AttemptError::WeightsMismatch => {
                sent < self.attempts_max + 1
            }
            AttemptError::OutcomeUnknown(_) | AttemptError::ServerFailed(_) => {
                self.is_repeatable && sent < self.attempts_max
            }
        }
    }

    /// Decides what follows.
    pub(crate) fn decide(
        self,
        gateway: &Gateway,
        call: &Call,
        progress: &mut Progress,
        cause: &AttemptError,
    ) -> RetryDecision {
        if matches!(cause, AttemptError::NotSent(_)) {
            progress.connect_failures += 1;
        }
        let has_time = call.remaining(gateway.now()) > RETRY_TIME_MIN;
        let is_allowed = self.allows(cause, progress.sent, progress.connect_failures);
        // A connection that did not open brought no load to the service.
        let is_free = matches!(cause, AttemptError::NotSent(_));
        if has_time && is_allowed && (is_free || gateway.take_retry(&call.service.name)) {
            return RetryDecision::Retry;
        }
        RetryDecision::Fail(failure(
            gateway,
            &call.service.name,
            progress,
            cause,
            has_time,
        ))
    }
}

fn failure(
    gateway: &Gateway,
    service: &str,
    progress: &Progress,
    cause: &AttemptError,
    has_time: bool,
) -> Failure {
    let detail = cause.describe();
    let range_ms = match cause {
        AttemptError::NoServer(NoServer::NoMemory) => MEMORY_RETRY_AFTER_RANGE_MS,
        _ => RETRY_AFTER_RANGE_MS,
    };
    let spread_ms = gateway.state.borrow_mut().rng.random_range(range_ms);
    let now = gateway.now();
    let backoff = gateway.state.borrow().servers.backoff_left(service, now);
    let retry_after = backoff.unwrap_or_default() + Duration::from_millis(spread_ms);
    if progress.may_have_run() {
        let kind = if has_time {
            ErrorKind::AnswerBroken
        } else {
            ErrorKind::DeadlineExceeded
        };
        return progress.failure(kind, &detail);
    }
    let kind = match cause {
        AttemptError::NoServer(NoServer::NoMemory | NoServer::BackingOff(_)) => {
            ErrorKind::Overloaded
        }
        AttemptError::NoServer(_)
        | AttemptError::NotSent(_)
        | AttemptError::Misdirected
        | AttemptError::WeightsMismatch => ErrorKind::NoBackend,
        AttemptError::Rejected(_) => ErrorKind::Overloaded,
        AttemptError::OutcomeUnknown(_) | AttemptError::ServerFailed(_) => ErrorKind::BackendFailed,
    };
    progress
        .failure(kind, &detail)
        .with_retry_after(retry_after)
}
