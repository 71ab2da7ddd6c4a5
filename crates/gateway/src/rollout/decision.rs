//! Input and result of the decider of a rollout.

use super::message::RolloutDirective;
use super::order::RolloutState;
use super::verdict::{BadReason, Judgement};

/// What the decider sees of the fleet besides the reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetView {
    /// Number of member daemons, this one included.
    pub members: usize,
    /// Number of ready servers of the target version.
    pub target_servers: usize,
    /// Slots of those of them that are no longer cold.
    pub target_warm_slots: u32,
    /// Number of ready servers of all other versions that are in use.
    pub base_servers: usize,
    /// Slots of these servers.
    pub base_slots: u32,
    /// Whether the metadata store answers. Otherwise phases hold.
    pub is_store_available: bool,
    /// Whether the order names the version in force.
    pub is_target_in_force: bool,
}

impl FleetView {
    /// Returns the capacity of the target relative to that of the base. Without a base, it is one.
    pub(super) fn capacity(self) -> f64 {
        if self.base_slots == 0 {
            return 1.0;
        }
        f64::from(self.target_warm_slots) / f64::from(self.base_slots)
    }
}

/// Why the decider is in its phase, for logs and the `rollout` subcommand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionReason {
    /// No server of the target is ready.
    NoTargetServers,
    /// Too few daemons have reported.
    FewReports,
    /// The metadata store does not answer.
    StoreUnavailable,
    /// The phase goes on according to the schedule.
    Scheduled,
    /// The evidence raises a suspicion, which holds the phase.
    Suspicion,
    /// The target's servers cannot take the load yet.
    CapacityMissing,
    /// Requests are still in flight at base servers.
    Draining,
    /// No request is in flight at base servers.
    Drained,
    /// The time to drain has passed.
    DrainTimeout,
    /// The order names the version in force.
    AlreadyInForce,
    /// The evidence shows that the version is bad.
    Bad(BadReason),
    /// The deadline is near, and the conditions for completion are not met.
    Deadline,
    /// The order was removed.
    Withdrawn,
    /// Another daemon has decided to roll back.
    Adopted,
    /// A final status is stored.
    Stored,
}

/// Decision for the current time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Directive for all daemons.
    pub directive: RolloutDirective,
    /// State to write to the store by conditional append, if it differs from the stored one.
    pub write: Option<RolloutState>,
    /// Why.
    pub reason: DecisionReason,
    /// Figures of the test.
    pub judgement: Judgement,
}
