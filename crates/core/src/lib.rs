//! Types shared by all anvilgw crates.
//!
//! These are identifiers, the clock interface, the error kinds with the answer that belongs to
//! each, the execution stage of a request, rules of HTTP, the interface of the platform's log service
//! and positions in the logs of its metadata store. The crate does no I/O apart from reading the clock.

mod answer;
mod clock;
mod http_rules;
mod ids;
mod log;
mod stage;

pub mod log_position;

pub use answer::{ErrorAnswer, ErrorKind, Failure, RetryHint};
pub use clock::{Clock, ManualClock, SystemClock};
pub use http_rules::{is_chunked, is_final_status};
pub use ids::{
    AttemptId, DaemonId, DomainId, ModelId, Offset, RequestId, ServerId, StoreId, WorkspaceId,
};
pub use log::{LogError, LogRecord, LogService, LogSlice};
pub use stage::{Executed, Stage};
