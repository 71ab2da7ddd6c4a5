//! Admission of requests: plan limits, fair queueing and early refusal.
//!
//! [`Admission`] decides for one daemon which request starts next. Plan limits bound the rate and
//! concurrency of each workspace, weighted fair queueing by token cost divides the capacity among
//! the workspaces with waiting requests, and a request that cannot start in time is refused at
//! once. [`Admission`] reads no clock: the current uptime is an argument.

mod fair;
mod plan;
mod queue;
mod workspace;

pub use plan::{PlanLimits, PlanShare, Priority};
pub use queue::{Admission, AdmissionAction, AdmissionRequest, AdmissionSettings, WorkspaceStatus};
