//! Decides on rollouts of a service's software version: which servers may serve, how many requests
//! go to the new version, and whether the version is good. See `docs/design/rollouts.md`.
//!
//! All modules are without I/O. Every daemon records outcomes ([`Evidence`]) and bounds its own
//! share of requests to the new version ([`ExposureBudget`]). One daemon per service merges the
//! reports of all daemons and directs them ([`Decider`]).

mod comparison;
mod decider;
mod decision;
mod evidence;
mod exposure;
mod fleet_evidence;
mod message;
mod order;
mod schedule;
mod verdict;
mod versions;

pub use decider::Decider;
pub use decision::{Decision, DecisionReason, FleetView};
pub use evidence::{
    BucketCount, Evidence, EvidenceRow, ROWS_MAX_BYTES, RouteKey, RowKey, Side, bucket_of,
};
pub use exposure::{ExposureBounds, ExposureBudget, ExposureCounts, TargetShare};
pub use fleet_evidence::{AnswerCounts, FleetEvidence};
pub use message::{RolloutDirective, RolloutReport};
pub use order::{OrderId, Phase, RolloutOrder, RolloutState, RolloutStatus};
pub use schedule::Schedule;
pub use verdict::{BadReason, JudgeInput, Judgement, Verdict, judge};
pub use versions::{ServiceVersions, VersionUse};
