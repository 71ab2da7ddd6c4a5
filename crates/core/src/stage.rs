//! How far the execution of a request got.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a backend server executed the request, as told to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// It was not executed and will not be.
    No,
    /// It was executed, at least in part.
    Yes,
    /// It may have been executed.
    Unknown,
}

impl Executed {
    /// Value of the `x-anvilgw-executed` header.
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
    /// The claim of the request is in the log; nothing was sent.
    Claimed,
    /// A connection to the backend server is being opened; nothing was written.
    Connecting,
    /// An earlier attempt with the same idempotency key holds the claim and has no outcome yet.
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
    /// Derives what the caller is told. The value is never set where an error is raised, so a new
    /// error cannot carry a wrong one.
    #[must_use]
    pub fn executed(self) -> Executed {
        match self {
            Self::Received | Self::Queued | Self::Claimed | Self::Connecting => Executed::No,
            Self::ClaimedElsewhere | Self::Written | Self::AnswerLost => Executed::Unknown,
            Self::AnswerStarted | Self::AnswerComplete => Executed::Yes,
        }
    }
}
