//! Types shared by all anvilgw crates.
//!
//! These are identifiers, the clock interface, the error kinds with the answer that belongs to
//! each, the execution stage of a request, the status codes of answers and the interface of the platform's log service. The
//! crate does no I/O apart from reading the clock.

mod answer;
mod clock;
mod ids;
mod log;
mod stage;
mod status;

pub use answer::{ErrorAnswer, ErrorKind, Failure, RetryHint};
pub use clock::{Clock, ManualClock, SystemClock};
pub use ids::{
    AttemptId, DaemonId, DomainId, ModelId, Offset, RequestId, ServerId, StoreId, WorkspaceId,
};
pub use log::{LogError, LogRecord, LogService, LogSlice};
pub use stage::{Executed, Stage};
pub use status::is_final_status;
