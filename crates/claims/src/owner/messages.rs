//! Settings, inputs and outputs of the owner.

use crate::fold::{FoldError, KeyAgeLimits};
use crate::key::ClaimKey;
use crate::record::{Attempt, BatchId, Verdict};
use anvilgw_core::{DaemonId, LogSlice, Offset};
use quick_error::quick_error;
use std::time::Duration;

/// Settings of a partition's owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OwnerConfig {
    /// The owning daemon.
    pub daemon: DaemonId,
    /// Sequence number of the first batch. If the daemon creates an owner for the partition again
    /// within one incarnation, this is the previous owner's
    /// [`next_sequence`](crate::PartitionOwner::next_sequence), so that no batch id is used twice.
    pub first_sequence: u64,
    /// Shortest mean time between two appends of the partition.
    pub min_interval: Duration,
    /// Number of appends that may follow each other without `min_interval` after an idle time. In
    /// any time `t` the partition makes at most `1 + append_burst + t / min_interval` appends.
    pub append_burst: u32,
    /// Time between a failed call to the log service and the next call of its kind.
    pub retry_interval: Duration,
    /// Longest time between two reads. A read returns the oldest retained offset, from which the
    /// owner learns which records were trimmed.
    pub read_interval: Duration,
    /// Longest time that a claim waits for its verdict. The claim is refused afterwards.
    pub max_wait: Duration,
    /// Milliseconds after a claim's deadline before the owner expires the claim, whose outcome is
    /// then unknown. They cover clock differences between daemons and the time that a late outcome
    /// takes.
    pub grace_ms: u64,
    /// Age of the newest batch in milliseconds after which the owner appends an empty batch. At
    /// most a quarter of the stream's retention: otherwise all batches could be trimmed while the
    /// stream is idle, and the next batch, which then bounds the age of the trimmed records, would
    /// be so recent that valid keys are refused as too old.
    pub heartbeat_ms: u64,
    /// Largest number of claims that wait for a verdict, and of records that wait for an append.
    pub max_queue: usize,
    /// Largest number of records in a batch. [`MAX_BATCH_RECORDS`](crate::MAX_BATCH_RECORDS)
    /// applies in addition.
    pub max_batch_records: usize,
    /// Largest number of times that a batch is appended again after an append of unknown result.
    pub max_append_retries: u32,
    /// Limits on the age of keys.
    pub age: KeyAgeLimits,
}

impl OwnerConfig {
    /// Returns the default settings for a daemon.
    #[must_use]
    pub fn new(daemon: DaemonId) -> Self {
        Self {
            daemon,
            first_sequence: 0,
            min_interval: Duration::from_millis(10),
            append_burst: 0,
            retry_interval: Duration::from_millis(200),
            read_interval: Duration::from_secs(10),
            max_wait: Duration::from_secs(2),
            grace_ms: 30_000,
            heartbeat_ms: 600_000,
            max_queue: 4_096,
            max_batch_records: 512,
            max_append_retries: 3,
            age: KeyAgeLimits::default(),
        }
    }
}

/// Record that this or another daemon submits to the partition's owner for appending. The owner
/// responds to a claim with one [`OwnerAction::Verdict`], and to other records with none.
pub use crate::record::Record as Submission;

quick_error! {
    /// Why the owner does not queue a submission.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    pub enum SubmitError {
        /// [`OwnerConfig::max_queue`] records or claims are waiting already.
        QueueFull { display("the queue of the claim partition's owner is full") }
        /// The recorded answer is larger than a batch may be.
        TooLarge { display("the recorded answer is larger than a batch may be") }
    }
}

/// Whether a failed append can have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AppendFailure {
    /// The log service did not append the batch and will not do so later.
    NotAppended,
    /// The result is unknown: the batch may be in the stream already or appear there later.
    MaybeAppended,
}

/// Input of the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerEvent {
    /// A timer has fired. The daemon sends this at short intervals.
    Tick,
    /// An append succeeded.
    Appended {
        /// The appended batch.
        batch: BatchId,
        /// Offset of the batch in the stream.
        offset: Offset,
    },
    /// An append failed.
    AppendFailed {
        /// The batch of the append.
        batch: BatchId,
        /// Whether the batch may be in the stream.
        failure: AppendFailure,
    },
    /// A read returned the oldest retained offset and the records from the requested offset on.
    ReadCompleted(LogSlice),
    /// A read failed.
    ReadFailed,
    /// A read failed because it started below the oldest retained record.
    ReadTrimmed {
        /// Offset of the oldest retained record.
        first: Offset,
    },
}

/// Output of the owner, which the daemon carries out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OwnerAction {
    /// Append the payload to the partition's stream and report the result with
    /// [`OwnerEvent::Appended`] or [`OwnerEvent::AppendFailed`].
    Append {
        /// Identifier of the batch, to be returned with the result.
        batch: BatchId,
        /// The encoded batch.
        payload: Vec<u8>,
    },
    /// Read the stream and report the result with [`OwnerEvent::ReadCompleted`],
    /// [`OwnerEvent::ReadFailed`] or [`OwnerEvent::ReadTrimmed`].
    Read {
        /// First offset to read.
        from: Offset,
    },
    /// Send the verdict on a claim to the daemon that submitted it.
    Verdict {
        /// The claimed key.
        key: ClaimKey,
        /// The attempt that claimed the key.
        attempt: Attempt,
        /// The verdict.
        verdict: Verdict,
    },
    /// The stream holds a record that cannot be folded, probably of a newer release. The owner has
    /// stopped reading and appending and refuses all claims.
    Halted(FoldError),
}
