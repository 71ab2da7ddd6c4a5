//! Starts daemons and stand-ins in one process for the demo, tests and experiments.
//!
//! Everything talks over real sockets on loopback addresses. Addresses are chosen by the operating
//! system, so several beds can run at once.

mod bed;
mod caller;
mod layout;

pub use bed::{Bed, BedError};
pub use caller::{Caller, CallerError, CompletionAnswer, ServiceResponse};
pub use layout::{BedConfig, MODEL, OPERATOR_KEY, SERVICE, workspace_key, workspace_name};
