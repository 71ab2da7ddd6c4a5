//! Plan limits, fair queueing and early refusal.
//!
//! [`Admission`] decides for one daemon which request starts next. Plan limits bound what a
//! workspace gets, weighted fair queueing by token cost divides what remains, and a request that
//! cannot start in time is refused at once. Time is an argument.

mod fair;
mod plan;
mod queue;
mod workspace;

pub use plan::{PlanLimits, PlanShare, Priority};
pub use queue::{Admission, AdmissionAction, AdmissionRequest, AdmissionSettings, WorkspaceStatus};
