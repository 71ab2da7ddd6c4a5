//! Errors of the HTTP exchange with a server.

use anvilgw_core::{ErrorKind, Failure, Stage};
use quick_error::quick_error;

quick_error! {
    /// Cause of a failed exchange.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum TransportCause {
        /// The request is not valid HTTP and was not sent.
        Invalid(detail: String) {
            display("invalid request: {}", detail)
        }
        /// No connection could be opened within `connect_ms`, or the server refused it.
        Connect(detail: String) {
            display("cannot connect: {}", detail)
        }
        /// No byte was sent or received for this number of milliseconds.
        Silent(after_ms: u64) {
            display("no byte sent or received for {} ms", after_ms)
        }
        /// The connection broke or the server closed it before the head of the answer.
        Closed(detail: String) {
            display("connection closed: {}", detail)
        }
        /// The status of the answer is none of a final one.
        InvalidStatus(status: u16) {
            display("status {} is not that of a final answer", status)
        }
        /// The body of the answer ended early, or the answer has neither `content-length` nor
        /// chunked encoding, so that its end cannot be verified.
        Truncated(detail: String) {
            display("incomplete answer: {}", detail)
        }
        /// The body of the answer is longer than `max_answer_bytes`.
        TooLarge(limit_bytes: usize) {
            display("answer body longer than {} bytes", limit_bytes)
        }
        /// The time limit of the exchange, set in its options, has passed.
        TimedOut {
            display("time limit of the exchange exceeded")
        }
    }
}

impl TransportCause {
    /// Returns the error kind under which the cause is reported to the caller.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Invalid(_) => ErrorKind::BadRequest,
            Self::Connect(_) | Self::Closed(_) | Self::InvalidStatus(_) => ErrorKind::BackendFailed,
            Self::Silent(_) => ErrorKind::BackendSilent,
            Self::Truncated(_) | Self::TooLarge(_) => ErrorKind::AnswerBroken,
            Self::TimedOut => ErrorKind::DeadlineExceeded,
        }
    }
}

quick_error! {
    /// Error of an exchange.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum TransportError {
        /// The exchange failed at a stage, which tells whether the server may have executed the
        /// request.
        Failed(cause: TransportCause, stage: Stage) {
            display("{} (at stage {:?})", cause, stage)
        }
    }
}

impl TransportError {
    /// Returns the cause of the failure.
    #[must_use]
    pub fn cause(&self) -> &TransportCause {
        let Self::Failed(cause, _) = self;
        cause
    }

    /// Returns how far the exchange got: [`Stage::Connecting`] if no byte was written,
    /// [`Stage::Written`] (time limit) or [`Stage::AnswerLost`] (otherwise) if any was, and
    /// [`Stage::AnswerStarted`] if an answer with a status below 400 had begun.
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
