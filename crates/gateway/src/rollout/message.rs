//! Messages between a daemon and the decider of a rollout.

use super::evidence::EvidenceRow;
use super::exposure::{ExposureCounts, TargetShare};
use super::order::{OrderId, Phase};
use bincode::{Decode, Encode};
use std::time::Duration;

/// Report of a daemon to the decider. All counts are cumulative since the daemon learned of the
/// order, so that a lost report changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RolloutReport {
    /// Order that the report is about.
    pub order: OrderId,
    /// Identifier of the sender's start. A restarted daemon counts from zero under another one.
    pub sender: u64,
    /// Time since the sender learned of the order, in milliseconds.
    pub order_age_ms: u32,
    /// Phase in force at the sender, which is also the one of the last directive that it obeyed.
    pub phase: Phase,
    /// Requests to the service, and those to the target.
    pub counts: ExposureCounts,
    /// Requests in flight at servers of the base version.
    pub base_in_flight: u32,
    /// Requests in flight at servers of the target version.
    pub target_in_flight: u32,
    /// See [`Evidence::snapshot`](super::Evidence::snapshot).
    pub rows: Vec<EvidenceRow>,
}

/// Reply of the decider to a report, valid for [`RolloutDirective::VALID_FOR`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RolloutDirective {
    /// Order that the directive is about.
    pub order: OrderId,
    /// Phase of the rollout.
    pub phase: Phase,
    /// Share of the requests that go to the target.
    pub share: TargetShare,
}

impl RolloutDirective {
    /// Time for which a daemon obeys a directive. Without a newer one, it sends nothing to the
    /// target afterwards.
    pub const VALID_FOR: Duration = Duration::from_secs(1);
}
