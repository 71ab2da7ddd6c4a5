//! Error kinds, and the answer to the caller that belongs to each.

use crate::stage::{Executed, Stage};
use std::fmt;
use std::time::Duration;

/// When a caller may repeat a request that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryHint {
    /// Repeating the request gives the same result.
    Never,
    /// The request may be repeated after this time in milliseconds. [`Failure::with_retry_after`]
    /// replaces it by an estimate for the single request.
    AfterMs(u64),
}

/// Answer to the caller for an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Machine-readable error code; never changes for a kind.
    pub code: &'static str,
    /// When the caller may repeat the request.
    pub retry: RetryHint,
}

macro_rules! error_kinds {
    ($($(#[$meta:meta])* $kind:ident => $status:literal, $code:literal, $retry:expr;)*) => {
        /// Why a request was refused or failed. Every failure has one of these kinds.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum ErrorKind {
            $($(#[$meta])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the answer for this kind.
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
    /// The path does not support the method.
    MethodNotAllowed => 405, "method_not_allowed", RetryHint::Never;
    /// The caller took too long to send the request.
    RequestTimeout => 408, "request_timeout", RetryHint::AfterMs(0);
    /// An earlier request with the same idempotency key is still running.
    InProgress => 409, "in_progress", RetryHint::AfterMs(1_000);
    /// An earlier request with the same idempotency key was sent, and its outcome cannot be
    /// determined.
    OutcomeUnknown => 409, "outcome_unknown", RetryHint::Never;
    /// The idempotency key is older than the claims that the log is guaranteed to retain.
    KeyTooOld => 410, "idempotency_key_too_old", RetryHint::Never;
    /// The body of the request is larger than the limit.
    BodyTooLarge => 413, "body_too_large", RetryHint::Never;
    /// The idempotency key was used before with another body.
    KeyReused => 422, "idempotency_key_reused", RetryHint::Never;
    /// The workspace is over a limit of its plan.
    PlanLimit => 429, "plan_limit", RetryHint::AfterMs(1_000);
    /// The headers of the request are larger than the limit.
    HeadersTooLarge => 431, "headers_too_large", RetryHint::Never;
    /// The request failed because of a defect in anvilgw.
    Internal => 500, "internal", RetryHint::AfterMs(1_000);
    /// The backend server refused the connection or answered with an error.
    BackendFailed => 502, "backend_failed", RetryHint::AfterMs(1_000);
    /// The answer of the backend server was truncated, out of order or belonged to another request.
    AnswerBroken => 502, "answer_broken", RetryHint::AfterMs(0);
    /// The request cannot start before its deadline.
    Overloaded => 503, "overloaded", RetryHint::AfterMs(1_000);
    /// No backend server in service can take the request.
    NoBackend => 503, "no_backend", RetryHint::AfterMs(1_000);
    /// Backend servers ended under a part of the prompt, so prompts with it are not sent for now.
    PromptQuarantined => 503, "prompt_quarantined", RetryHint::AfterMs(120_000);
    /// The daemon's view of the configuration is too old for it to accept new requests.
    StaleView => 503, "stale_view", RetryHint::AfterMs(500);
    /// The claim of a non-idempotent request cannot be written to the log service.
    ClaimUnavailable => 503, "claim_unavailable", RetryHint::AfterMs(2_000);
    /// The daemon has no configuration yet.
    NotReady => 503, "not_ready", RetryHint::AfterMs(1_000);
    /// The daemon is draining before it stops.
    ShuttingDown => 503, "shutting_down", RetryHint::AfterMs(0);
    /// The backend server made no progress within the time limit.
    BackendSilent => 504, "backend_silent", RetryHint::AfterMs(0);
    /// The deadline of the request passed.
    DeadlineExceeded => 504, "deadline_exceeded", RetryHint::AfterMs(0);
}

/// Failure of a request. Its kind determines the answer, and its stage the value of `executed`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    kind: ErrorKind,
    stage: Stage,
    detail: String,
    retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure at a stage. `detail` explains it to people.
    #[must_use]
    pub fn new(kind: ErrorKind, stage: Stage, detail: impl Into<String>) -> Self {
        Self {
            kind,
            stage,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Replaces the retry time of the kind by an estimate for this request.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Raises the stage of the failure to `stage`. Keeps the present stage if it is later, because
    /// stages only move forward.
    #[must_use]
    pub fn with_min_stage(mut self, stage: Stage) -> Self {
        self.stage = self.stage.max(stage);
        self
    }

    /// Returns the kind, which determines the answer.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the stage that the request had reached when it failed.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns whether the request was executed, as derived from the stage.
    #[must_use]
    pub fn executed(&self) -> Executed {
        self.stage.executed()
    }

    /// Returns the explanation for people.
    #[must_use]
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// Returns the time after which the caller may repeat the request, or `None` if a repetition
    /// would fail again.
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
