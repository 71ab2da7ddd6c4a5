//! Idempotency claims and orders to engines as pure state machines over the log.
//!
//! A non-idempotent request is sent to a backend server only by the holder of the winning claim on
//! its idempotency key. Claims are records of a log stream; [`PartitionFold`] derives the state of
//! every key from them, [`PartitionOwner`] batches the claims of all daemons into appends, and
//! [`ClaimSender`] takes one request from its receipt to its end. [`OrderIssuer`] issues orders to
//! engines under a lease. Nothing here does I/O or reads a clock: inputs are events with the current
//! time, outputs are actions.

mod codec;
mod fold;
mod key;
mod mutation;
mod orders;
mod owner;
mod record;
mod sender;

pub use codec::{CodecError, MAX_BATCH_BYTES, MAX_BATCH_RECORDS};
pub use fold::{ApplyResult, FoldError, KeyAgeLimits, KeyEntry, KeyState, PartitionFold};
pub use key::{ClaimKey, KeyError, KeyTime, MAX_KEY_BYTES, RequestDigest};
#[doc(hidden)]
pub use mutation::Flaw;
pub use orders::{
    EngineState, IssuerAction, IssuerConfig, IssuerEvent, LeaseGrant, Order, OrderChange, OrderEnd,
    OrderId, OrderIssuer, Role, SendResult,
};
pub use owner::{
    AppendFailure, OwnerAction, OwnerConfig, OwnerEvent, PartitionOwner, Submission, SubmitError,
};
pub use record::{
    AnswerBody, Attempt, Batch, BatchId, ClaimRequest, Now, Record, RecordedAnswer, Unavailable,
    Verdict,
};
pub use sender::{ClaimSender, Reply, SendPermit, SenderAction, SenderEvent};
