//! Records of the claim streams and the messages around them.

use crate::key::{ClaimKey, KeyTime, RequestDigest};
use anvilgw_core::{AttemptId, Clock, DaemonId, Offset};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The current time, read once per event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Now {
    /// Time since an arbitrary origin, for intervals.
    pub uptime: Duration,
    /// Wall clock time in milliseconds since 1970, for what other daemons read.
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
/// A daemon uses a new number for each claim that it asks for: an owner abandons a claim that it
/// could not report in time, which is safe only if nobody else was told that it is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The daemon that serves the caller.
    pub holder: DaemonId,
    /// Number within that daemon's incarnation.
    pub number: AttemptId,
}

/// What a daemon asks the owner of a partition to claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The claimed key.
    pub key: ClaimKey,
    /// Digest of the request.
    pub body: RequestDigest,
    /// Who claims.
    pub attempt: Attempt,
    /// Wall clock time after which the request is not sent any more.
    pub deadline_ms: u64,
    /// When the caller made the key.
    pub key_time: KeyTime,
}

/// What remains of an answer after it was recorded.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AnswerBody {
    /// The answer itself.
    Kept {
        /// Value of its `content-type` header.
        content_type: String,
        /// Its body.
        bytes: Vec<u8>,
    },
    /// The body was larger than the limit and is not kept.
    NotKept {
        /// blake3 of the body.
        digest: [u8; 32],
        /// Length of the body in bytes.
        length: u64,
    },
}

/// The recorded answer of an executed request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Body or its digest.
    pub body: AnswerBody,
}

impl RecordedAnswer {
    /// Keeps the body if it and its content type have at most `limit` bytes.
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
    /// Claims a key; the first claim on a free key wins.
    Claim(ClaimRequest),
    /// The attempt was executed with this answer.
    Outcome {
        /// The claimed key.
        key: ClaimKey,
        /// The executed attempt.
        attempt: Attempt,
        /// Its answer.
        answer: RecordedAnswer,
    },
    /// The holder never sent the request and never will.
    Abandon {
        /// The claimed key.
        key: ClaimKey,
        /// The abandoned attempt.
        attempt: Attempt,
    },
    /// The claim has no outcome in time, or its holder knows that the outcome was lost.
    Expire {
        /// The claimed key.
        key: ClaimKey,
        /// The attempt without an outcome.
        attempt: Attempt,
    },
}

impl Record {
    /// The claimed key.
    #[must_use]
    pub fn key(&self) -> ClaimKey {
        match self {
            Self::Claim(claim) => claim.key,
            Self::Outcome { key, .. } | Self::Abandon { key, .. } | Self::Expire { key, .. } => {
                *key
            }
        }
    }

    /// The attempt that the record is about.
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
    /// The daemon that made the batch.
    pub writer: DaemonId,
    /// Number within that daemon's incarnation and partition.
    pub sequence: u64,
}

/// What one append holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Batch {
    /// Identifier: a batch that appears at two offsets takes effect at the first.
    pub id: BatchId,
    /// The writer's wall clock time in milliseconds since 1970.
    pub wall_ms: u64,
    /// Offset up to which the writer had folded the stream when it made the batch: everything below
    /// is older than `wall_ms`. The batch's own offset does not show that, since an append can take
    /// effect long after it was made.
    pub after: Offset,
    /// The records, applied in this order. An empty batch only dates the stream.
    pub records: Vec<Record>,
}

/// Why a claim was neither granted nor refused by the state of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Unavailable {
    /// The log service did not accept or did not confirm the claim in time.
    Log,
    /// The owner holds as many claims as it may.
    QueueFull,
    /// The stream holds no batch that dates it yet.
    Undated,
    /// The owner of the partition did not answer.
    Owner,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The claim is the winning one: its holder may send, once.
    Granted,
    /// Another attempt holds the claim and has no outcome yet.
    InProgress,
    /// The request was executed with this answer.
    Done(RecordedAnswer),
    /// Another attempt was sent and its outcome is not known.
    Unknown,
    /// The key was used with another body.
    KeyReused,
    /// The records of the key may have been trimmed.
    TooOld,
    /// The time of the key is too far in the future.
    FromFuture,
    /// Nobody can tell now; nothing was granted.
    Unavailable(Unavailable),
}
