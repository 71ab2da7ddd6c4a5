//! Vocabulary shared by all anvilgw crates.
//!
//! The crate holds what every other crate has to agree on: identifiers, the clock interface, the
//! closed list of error kinds with the answer that belongs to each, the execution stage of a request
//! and the interface of the platform's log service. It does no I/O apart from reading the clock.

mod answer;
mod clock;
mod ids;
mod log;
mod stage;

pub use answer::{ErrorAnswer, ErrorKind, Failure, RetryHint};
pub use clock::{Clock, ManualClock, SystemClock};
pub use ids::{
    AttemptId, DaemonId, DomainId, ModelId, Offset, RequestId, ServerId, StoreId, WorkspaceId,
};
pub use log::{LogError, LogRecord, LogService, LogSlice};
pub use stage::{Executed, Stage};
