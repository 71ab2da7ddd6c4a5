//! Starts daemons and stand-ins in one process for the demo, tests and experiments.
//!
//! Daemons, stand-ins and callers communicate over real sockets on loopback addresses. The
//! operating system chooses the stand-ins' ports, and each test bed gives its daemons a loopback
//! address of its own, so several test beds can run at the same time.

mod caller;
mod layout;
mod testbed;

pub use caller::{Caller, CallerError, CompletionResponse, ServiceResponse};
pub use layout::{MODEL, OPERATOR_KEY, SERVICE, TestbedConfig, workspace_key, workspace_name};
pub use testbed::{Testbed, TestbedError};
