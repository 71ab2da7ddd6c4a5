//! The closed list of error kinds and the answer that belongs to each.

use crate::stage::{Executed, Stage};
use std::fmt;
use std::time::Duration;

/// When a caller may try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryHint {
    /// Trying again gives the same result.
    Never,
    /// The request may be repeated after this time. A failure can carry a better estimate.
    AfterMs(u64),
}

/// What a caller is told for an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Stable machine-readable code.
    pub code: &'static str,
    /// Retry hint.
    pub retry: RetryHint,
}

macro_rules! error_kinds {
    ($($(#[$meta:meta])* $kind:ident => $status:literal, $code:literal, $retry:expr;)*) => {
        /// Every reason for which a request is refused or fails.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum ErrorKind {
            $($(#[$meta])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// The answer that belongs to this kind.
            #[must_use]
            pub fn answer(self) -> &'static ErrorAnswer {
                match self {
                    $(Self::$kind => &ErrorAnswer { status: $status, code: $code, retry: $retry },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The request is not valid HTTP or JSON, or a field is missing or out of range.
    BadRequest => 400, "bad_request", RetryHint::Never;
    /// The idempotency key carries no time and `idempotency-key-time` is missing.
    KeyUndated => 400, "idempotency_key_undated", RetryHint::Never;
    /// No valid workspace key was presented.
    Unauthenticated => 401, "unauthenticated", RetryHint::Never;
    /// The workspace's plan does not include the model, adapter or service.
    NotEntitled => 403, "not_entitled", RetryHint::Never;
    /// The path, model or service does not exist.
    NotFound => 404, "not_found", RetryHint::Never;
    /// The path does not take the method.
    MethodNotAllowed => 405, "method_not_allowed", RetryHint::Never;
    /// The caller took too long to send the request.
    RequestTimeout => 408, "request_timeout", RetryHint::AfterMs(0);
    /// An earlier request with the same idempotency key is still running.
    InProgress => 409, "in_progress", RetryHint::AfterMs(1_000);
    /// An earlier request with the same key was sent and its outcome cannot be found out.
    OutcomeUnknown => 409, "outcome_unknown", RetryHint::Never;
    /// The idempotency key is older than what the log is certain to hold.
    KeyTooOld => 410, "idempotency_key_too_old", RetryHint::Never;
    /// The body is larger than the limit.
    BodyTooLarge => 413, "body_too_large", RetryHint::Never;
    /// The idempotency key was used with another body.
    KeyReused => 422, "idempotency_key_reused", RetryHint::Never;
    /// The workspace is over a limit of its plan.
    PlanLimit => 429, "plan_limit", RetryHint::AfterMs(1_000);
    /// The headers are larger than the limit.
    HeadersTooLarge => 431, "headers_too_large", RetryHint::Never;
    /// A defect in anvilgw.
    Internal => 500, "internal", RetryHint::AfterMs(1_000);
    /// The backend server refused the connection or answered with an error of its own.
    BackendFailed => 502, "backend_failed", RetryHint::AfterMs(1_000);
    /// The answer of the backend server was cut, out of order or belonged to another request.
    AnswerBroken => 502, "answer_broken", RetryHint::AfterMs(0);
    /// The request cannot start before its deadline.
    Overloaded => 503, "overloaded", RetryHint::AfterMs(1_000);
    /// No backend server in service can take the request.
    NoBackend => 503, "no_backend", RetryHint::AfterMs(1_000);
    /// The daemon's view of the configuration is too old to take new work.
    StaleView => 503, "stale_view", RetryHint::AfterMs(500);
    /// The log service does not accept the claim of a non-idempotent request.
    ClaimUnavailable => 503, "claim_unavailable", RetryHint::AfterMs(2_000);
    /// The daemon has no configuration yet.
    NotReady => 503, "not_ready", RetryHint::AfterMs(1_000);
    /// The daemon is draining.
    ShuttingDown => 503, "shutting_down", RetryHint::AfterMs(0);
    /// The backend server made no progress for too long.
    BackendSilent => 504, "backend_silent", RetryHint::AfterMs(0);
    /// The deadline of the request passed.
    DeadlineExceeded => 504, "deadline_exceeded", RetryHint::AfterMs(0);
}

/// A refused or failed request: the kind decides the answer, the stage decides `executed`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    kind: ErrorKind,
    stage: Stage,
    detail: String,
    retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure at the given stage.
    #[must_use]
    pub fn new(kind: ErrorKind, stage: Stage, detail: impl Into<String>) -> Self {
        Self {
            kind,
            stage,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Replaces the retry hint of the table by a better estimate.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Moves the failure to a later stage. An earlier stage is ignored, since stages only move
    /// forward.
    #[must_use]
    pub fn with_min_stage(mut self, stage: Stage) -> Self {
        self.stage = self.stage.max(stage);
        self
    }

    /// The kind of the failure.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// The stage that the request had reached.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether the request was executed.
    #[must_use]
    pub fn executed(&self) -> Executed {
        self.stage.executed()
    }

    /// Explanation for people.
    #[must_use]
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// Time after which the caller may try again, if that can help.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after.or(match self.kind.answer().retry {
            RetryHint::Never => None,
            RetryHint::AfterMs(ms) => Some(Duration::from_millis(ms)),
        })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.answer().code, self.detail)
    }
}

impl std::error::Error for Failure {}
