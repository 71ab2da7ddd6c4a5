//! Starts daemons and stand-ins in one process for the demo, tests and experiments.
//!
//! Everything talks over real sockets on loopback addresses. Addresses are chosen by the operating
//! system, so several beds can run at once.

mod caller;
mod layout;
mod testbed;

pub use caller::{Caller, CallerError, CompletionResponse, ServiceResponse};
pub use layout::{MODEL, OPERATOR_KEY, SERVICE, TestbedConfig, workspace_key, workspace_name};
pub use testbed::{Testbed, TestbedError};
