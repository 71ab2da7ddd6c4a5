//! Settings, inputs and outputs of the owner.

use crate::fold::{FoldError, KeyAgeLimits};
use crate::key::ClaimKey;
use crate::record::{Attempt, BatchId, Verdict};
use anvilgw_core::{DaemonId, LogSlice, Offset};
use quick_error::quick_error;
use std::time::Duration;

/// Settings of an owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OwnerConfig {
    /// The owning daemon.
    pub daemon: DaemonId,
    /// Sequence of the first batch. An owner that is created again within one incarnation continues
    /// at the previous owner's [`next_sequence`](crate::PartitionOwner::next_sequence).
    pub first_sequence: u64,
    /// Mean time between two appends of the partition under load.
    pub min_interval: Duration,
    /// Appends that a partition may make at once beyond `min_interval` after a quiet time. In any
    /// time `t` it makes at most `1 + append_burst + t / min_interval`.
    pub append_burst: u32,
    /// Time after a failed call to the log service before the next one.
    pub retry_interval: Duration,
    /// Longest time without a read. Reads tell what was trimmed.
    pub read_interval: Duration,
    /// Longest time that a claim waits for its verdict.
    pub max_wait: Duration,
    /// Time after a claim's deadline before it ends as unknown. It covers clock differences between
    /// daemons and the time that a late outcome needs.
    pub grace_ms: u64,
    /// An empty batch is appended if the newest one is older. At most a quarter of the stream's
    /// retention, so that the oldest retained batch is never young and keys are not refused as too
    /// old after a quiet time.
    pub heartbeat_ms: u64,
    /// Largest number of waiting claims, and of records that wait for an append.
    pub max_queue: usize,
    /// Largest number of records in an append.
    pub max_batch_records: usize,
    /// How often a batch is appended again after its append answer was lost.
    pub max_append_retries: u32,
    /// How old keys may be.
    pub age: KeyAgeLimits,
}

impl OwnerConfig {
    /// Default settings.
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

/// What other daemons and the own one ask of the owner: the record to append. A claim is answered by one
/// [`OwnerAction::Verdict`].
pub use crate::record::Record as Submission;

quick_error! {
    /// Why a submission is refused. Nothing of it is kept.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    pub enum SubmitError {
        /// The owner holds as much as it may.
        QueueFull { display("the queue of the claim owner is full") }
        /// The recorded answer does not fit into a batch.
        TooLarge { display("the recorded answer does not fit into a batch") }
    }
}

/// How an append failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AppendFailure {
    /// The batch was certainly not appended.
    NotAppended,
    /// The batch may have been appended, or may be appended later.
    MaybeAppended,
}

/// What happened to the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerEvent {
    /// Time passed.
    Tick,
    /// An append was answered.
    Appended {
        /// The appended batch.
        batch: BatchId,
        /// Its offset.
        offset: Offset,
    },
    /// An append failed.
    AppendFailed {
        /// The batch.
        batch: BatchId,
        /// Whether it may be in the stream.
        failure: AppendFailure,
    },
    /// A read was answered.
    ReadCompleted(LogSlice),
    /// A read failed.
    ReadFailed,
    /// A read started below the oldest retained record.
    ReadTrimmed {
        /// Offset of the oldest retained record.
        first: Offset,
    },
}

/// What the daemon has to do for the owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OwnerAction {
    /// Append the payload to the partition's stream and report the result.
    Append {
        /// Identifier for the report.
        batch: BatchId,
        /// The encoded batch.
        payload: Vec<u8>,
    },
    /// Read the stream from this offset and report the result.
    Read {
        /// First offset to read.
        from: Offset,
    },
    /// Tell the holder the verdict on its claim.
    Verdict {
        /// The claimed key.
        key: ClaimKey,
        /// The attempt that asked.
        attempt: Attempt,
        /// The verdict.
        verdict: Verdict,
    },
    /// The stream holds records of a newer program: the owner has stopped, and claims are refused.
    Halted(FoldError),
}
