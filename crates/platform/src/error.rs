//! Errors of an exchange with a server.

use anvilgw_core::{ErrorKind, Failure, Stage};
use quick_error::quick_error;

quick_error! {
    /// What went wrong in an exchange.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum TransportCause {
        /// The request is not valid HTTP.
        Invalid(detail: String) {
            display("invalid request: {}", detail)
        }
        /// No connection could be opened.
        Connect(detail: String) {
            display("cannot connect: {}", detail)
        }
        /// Nothing was sent or received for too long.
        Silent(after_ms: u64) {
            display("no progress for {} ms", after_ms)
        }
        /// The connection broke or was closed.
        Closed(detail: String) {
            display("connection closed: {}", detail)
        }
        /// The answer ended early, or carries neither a length nor chunks that would show its end.
        Truncated(detail: String) {
            display("incomplete answer: {}", detail)
        }
        /// The answer is longer than the limit.
        TooLarge(limit_bytes: usize) {
            display("answer longer than {} bytes", limit_bytes)
        }
        /// The time given for the exchange has passed.
        TimedOut {
            display("time of the exchange has passed")
        }
    }
}

impl TransportCause {
    /// The error kind that belongs to the cause.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Invalid(_) => ErrorKind::BadRequest,
            Self::Connect(_) | Self::Closed(_) => ErrorKind::BackendFailed,
            Self::Silent(_) => ErrorKind::BackendSilent,
            Self::Truncated(_) | Self::TooLarge(_) => ErrorKind::AnswerBroken,
            Self::TimedOut => ErrorKind::DeadlineExceeded,
        }
    }
}

quick_error! {
    /// A failed exchange and how far it got.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum TransportError {
        /// The exchange failed.
        Failed(cause: TransportCause, stage: Stage) {
            display("{} (at stage {:?})", cause, stage)
        }
    }
}

impl TransportError {
    /// What went wrong.
    #[must_use]
    pub fn cause(&self) -> &TransportCause {
        let Self::Failed(cause, _) = self;
        cause
    }

    /// How far the exchange got: [`Stage::Connecting`] if no byte was written,
    /// [`Stage::AnswerLost`] or [`Stage::Written`] if any was, [`Stage::AnswerStarted`] if the
    /// answer had begun with a status below 400.
    #[must_use]
    pub fn stage(&self) -> Stage {
        let Self::Failed(_, stage) = self;
        *stage
    }
}

impl From<TransportError> for Failure {
    fn from(error: TransportError) -> Self {
        Self::new(error.cause().kind(), error.stage(), error.to_string())
    }
}
