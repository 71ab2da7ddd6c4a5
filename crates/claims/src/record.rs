//! Records of the claim streams, claim requests and verdicts.

use crate::key::{ClaimKey, KeyTime, RequestDigest};
use anvilgw_core::{AttemptId, Clock, DaemonId, Offset};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The current time by both clocks, read once per event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Now {
    /// Monotonic time since an arbitrary origin, for intervals on this daemon.
    pub uptime: Duration,
    /// Wall clock time in milliseconds since 1970, for times that other daemons compare with.
    pub wall_ms: u64,
}

impl Now {
    /// Reads both clocks.
    #[must_use]
    pub fn read(clock: &dyn Clock) -> Self {
        Self {
            uptime: clock.uptime(),
            wall_ms: clock.wall_ms(),
        }
    }
}

/// One attempt to execute a request, unique over all daemons and restarts.
///
/// A daemon uses a new number for each claim that it submits. An owner abandons a claim whose
/// verdict it could not report in time, which is safe only if no other owner has granted the same
/// attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The daemon that serves the caller.
    pub holder: DaemonId,
    /// Number of the attempt, unique within one incarnation of that daemon.
    pub number: AttemptId,
}

/// A claim on an idempotency key, which a daemon submits to the owner of the key's partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The claimed key.
    pub key: ClaimKey,
    /// Digest of the request that the key was used with.
    pub body: RequestDigest,
    /// The attempt that holds the key if the claim wins.
    pub attempt: Attempt,
    /// Wall clock time in milliseconds since 1970 after which the request is not sent. The claim
    /// expires [`OwnerConfig::grace_ms`](crate::OwnerConfig::grace_ms) later.
    pub deadline_ms: u64,
    /// Time at which the caller created the key.
    pub key_time: KeyTime,
}

/// Body of a recorded answer, or its digest if the body is too large for the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AnswerBody {
    /// The body was recorded and can be sent again.
    Kept {
        /// Value of its `content-type` header.
        content_type: String,
        /// The body.
        bytes: Vec<u8>,
    },
    /// The body was larger than the limit and cannot be sent again.
    NotKept {
        /// BLAKE3 digest of the body.
        digest: [u8; 32],
        /// Length of the body in bytes.
        length: u64,
    },
}

/// Answer of a backend server as it is recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// The body or its digest.
    pub body: AnswerBody,
}

impl RecordedAnswer {
    /// Creates a recorded answer. It keeps the body if body and content type together have at most
    /// `limit` bytes, and otherwise only the body's digest and length.
    #[must_use]
    pub fn new(status: u16, content_type: &str, body: &[u8], limit: usize) -> Self {
        let body = if content_type.len() + body.len() <= limit {
            AnswerBody::Kept {
                content_type: content_type.to_owned(),
                bytes: body.to_vec(),
            }
        } else {
            AnswerBody::NotKept {
                digest: *blake3::hash(body).as_bytes(),
                length: body.len() as u64,
            }
        };
        Self { status, body }
    }
}

/// One record of a claim stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// Claims a key. The first claim on a free key wins; later ones have no effect.
    Claim(ClaimRequest),
    /// The request of the attempt was executed and answered. Ends the claim.
    Outcome {
        /// The claimed key.
        key: ClaimKey,
        /// The executed attempt.
        attempt: Attempt,
        /// The answer of the backend server.
        answer: RecordedAnswer,
    },
    /// The request of the attempt was not sent and never will be. Frees the key.
    Abandon {
        /// The claimed key.
        key: ClaimKey,
        /// The abandoned attempt.
        attempt: Attempt,
    },
    /// The claim has no outcome in time, or its holder knows that the answer was lost. The outcome
    /// of the key is unknown afterwards, unless a [`Record::Outcome`] follows.
    Expire {
        /// The claimed key.
        key: ClaimKey,
        /// The attempt without an outcome.
        attempt: Attempt,
    },
}

impl Record {
    /// Returns the claimed key.
    #[must_use]
    pub fn key(&self) -> ClaimKey {
        match self {
            Self::Claim(claim) => claim.key,
            Self::Outcome { key, .. } | Self::Abandon { key, .. } | Self::Expire { key, .. } => {
                *key
            }
        }
    }

    /// Returns the attempt that the record is about.
    #[must_use]
    pub fn attempt(&self) -> Attempt {
        match self {
            Self::Claim(claim) => claim.attempt,
            Self::Outcome { attempt, .. }
            | Self::Abandon { attempt, .. }
            | Self::Expire { attempt, .. } => *attempt,
        }
    }
}

/// Identifier of a batch, unique within its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BatchId {
    /// The daemon that wrote the batch.
    pub writer: DaemonId,
    /// Number of the batch, unique within one incarnation of that daemon and one partition.
    pub sequence: u64,
}

/// Payload of one append to a claim stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Batch {
    /// Identifier. A batch that appears at two offsets takes effect only at the first.
    pub id: BatchId,
    /// Wall clock time of the writer when it built the batch, in milliseconds since 1970.
    pub wall_ms: u64,
    /// Offset up to which the writer had folded the stream when it built the batch: all records
    /// below it are older than `wall_ms`. The batch's own offset is no such bound, since an append
    /// can take effect long after the batch was built.
    pub after: Offset,
    /// The records, applied in this order. An empty batch is a heartbeat: it only shows that
    /// records below `after` are older than `wall_ms`.
    pub records: Vec<Record>,
}

/// Why a claim got no decision from the state of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Unavailable {
    /// The log service did not confirm the claim's append in time, or the owner cannot read the
    /// stream.
    Log,
    /// The owner's queue is full, or the submission is too large for a batch.
    QueueFull,
    /// Records were trimmed from the stream, and no batch yet shows how recent they can have been.
    Undated,
    /// The owner of the partition did not answer or was stopping.
    Owner,
}

/// Decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The claim has won: its holder may send the request once.
    Granted,
    /// Another attempt holds the key and has no outcome yet.
    InProgress,
    /// The request was executed before and got this answer.
    Done(RecordedAnswer),
    /// Another attempt held the key, and whether its request was executed is not known.
    Unknown,
    /// The key was used with another request: the digests differ.
    KeyReused,
    /// The key is so old that records about it may have been trimmed.
    TooOld,
    /// The key's time is too far in the future.
    FromFuture,
    /// The claim could not be decided, and was not granted.
    Unavailable(Unavailable),
}
