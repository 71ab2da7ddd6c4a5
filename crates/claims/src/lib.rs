//! Idempotency claims and orders to engines, as state machines without I/O.
//!
//! A non-idempotent request is sent to a backend server only by the holder of the winning claim on
//! its idempotency key. Claims are records of a log stream; [`PartitionFold`] derives the state of
//! every key from them, [`PartitionOwner`] batches the claims of all daemons into appends, and
//! [`ClaimSender`] handles one such request on the daemon that serves its caller. [`OrderIssuer`]
//! issues orders to engines under a lease. The inputs of the state machines are events with the
//! current time, their outputs are actions that the daemon carries out.

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
