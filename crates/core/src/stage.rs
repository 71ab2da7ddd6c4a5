//! Stages of the execution of a request, and what the caller is told about them.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a backend server executed the request, as told to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// The request was not executed and will not be.
    No,
    /// The request was executed, at least in part.
    Yes,
    /// The request may have been executed.
    Unknown,
}

impl Executed {
    /// Returns the value of the `x-anvilgw-executed` header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Executed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Furthest point that a request has reached. Stages only move forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The request was read from the caller.
    Received,
    /// The request waits for admission.
    Queued,
    /// The claim of the request is in the log; nothing was sent to a backend server.
    Claimed,
    /// A connection to the backend server is being opened; nothing was written.
    Connecting,
    /// Another attempt with the same idempotency key holds the claim and has no outcome yet.
    ClaimedElsewhere,
    /// At least one byte was handed to the connection of the backend server.
    Written,
    /// The connection broke or went silent after the first byte was written and before an answer.
    AnswerLost,
    /// The backend server began to answer.
    AnswerStarted,
    /// The complete answer was received.
    AnswerComplete,
}

impl Stage {
    /// Returns what the caller is told about the execution of a request that failed at this stage.
    /// The value is derived here and not set where an error is created, so that no error can carry
    /// a wrong one.
    #[must_use]
    pub fn executed(self) -> Executed {
        match self {
            Self::Received | Self::Queued | Self::Claimed | Self::Connecting => Executed::No,
            Self::ClaimedElsewhere | Self::Written | Self::AnswerLost => Executed::Unknown,
            Self::AnswerStarted | Self::AnswerComplete => Executed::Yes,
        }
    }
}
