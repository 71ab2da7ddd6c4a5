//! Orders to move a service's traffic to another version, and their states.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identifies an order. Two orders of the same service and target have different identifiers.
///
/// It must be the same at every daemon, so it is derived from the stored record.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct OrderId(pub u64);

/// An operators' order to move a service's traffic to servers of another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Identifier of the order.
    pub id: OrderId,
    /// Name of the service.
    pub service: String,
    /// Version that the traffic is moved to.
    pub target: String,
    /// Time from the store's acknowledgement of the order to its deadline.
    pub step: Duration,
    /// Uptime of this daemon at which it learned of the order.
    pub learned_at: Duration,
}

/// State of a rollout, as published for the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// Servers of both versions may serve.
    Running,
    /// Only the target version serves.
    Complete,
    /// Only the version that was in force before serves.
    RolledBack,
}

impl RolloutState {
    /// Returns whether the state never changes again.
    #[must_use]
    pub fn is_final(self) -> bool {
        self != Self::Running
    }
}

/// Stored state of a service's newest rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Name of the service.
    pub service: String,
    /// Version that the rollout moves the traffic to.
    pub target: String,
    /// State of the rollout.
    pub state: RolloutState,
    /// Order that the status belongs to, if the record names it.
    pub order: Option<OrderId>,
    /// Version that was in force when the order was given, if the record names it.
    pub base: Option<String>,
}

impl RolloutStatus {
    /// Returns whether another status belongs to the same order. A status without an order's
    /// identifier belongs to every order with its target.
    #[must_use]
    pub fn is_of_order_of(&self, other: &Self) -> bool {
        let is_same_id = match (self.order, other.order) {
            (Some(id), Some(other)) => id == other,
            _ => true,
        };
        self.service == other.service && self.target == other.target && is_same_id
    }

    /// Returns whether the status belongs to an order. A status without an order's identifier
    /// belongs to every order with its target.
    #[must_use]
    pub fn is_of(&self, order: &RolloutOrder) -> bool {
        self.service == order.service
            && self.target == order.target
            && self.order.is_none_or(|id| id == order.id)
    }
}

/// Phase of a rollout. Later phases compare greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Phase {
    /// The daemon has no directive yet, or no server of the target is ready.
    Waiting,
    /// A small share of the requests goes to the target.
    Canary,
    /// Larger shares than in the canary phase go to the target, for a short time.
    Ramp {
        /// Number of the step, from 0.
        step: u8,
    },
    /// All new requests go to the target. Old requests end at the base servers.
    Full,
    /// The decider has found that the rollout may be completed.
    Completing,
    /// The decider has found that the rollout is to be rolled back. No request goes to the target.
    RollingBack,
}
