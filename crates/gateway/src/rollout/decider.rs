//! Directs the daemons during a rollout and decides on its final state.

use super::evidence::EvidenceRow;
use super::exposure::{ExposureBounds, ExposureCounts, TargetShare};
use super::fleet_evidence::FleetEvidence;
use super::order::{OrderId, Phase, RolloutOrder, RolloutState, RolloutStatus};
use super::schedule::Schedule;
use super::verdict::{BadReason, JudgeInput, Judgement, judge};
use bincode::{Decode, Encode};
use indexmap::IndexMap;
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

#[derive(Clone, Debug)]
struct Reporter {
    received_at: Duration,
    phase: Phase,
    counts: ExposureCounts,
    base_in_flight: u32,
    target_in_flight: u32,
}

/// Decider of one order.
#[derive(Clone, Debug)]
pub struct Decider {
    order: RolloutOrder,
    bounds: ExposureBounds,
    schedule: Schedule,
    phase: Phase,
    evidence: FleetEvidence,
    reporters: IndexMap<u64, Reporter>,
    stored: Option<RolloutState>,
    is_withdrawn: bool,
}

impl Decider {
    /// Creates the decider of an order without any reports.
    #[must_use]
    pub fn new(order: RolloutOrder, bounds: ExposureBounds) -> Self {
        Self {
            schedule: Schedule::new(order.step, bounds),
            order,
            bounds,
            phase: Phase::Waiting,
            evidence: FleetEvidence::default(),
            reporters: IndexMap::new(),
            stored: None,
            is_withdrawn: false,
        }
    }

    /// Returns the order.
    #[must_use]
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Takes in a report, also this daemon's own.
    pub fn on_report(&mut self, report: RolloutReport, now: Duration) {
        self.evidence.on_rows(report.sender, report.rows, 0);
        let reporter = Reporter {
            received_at: now,
            phase: report.phase,
            counts: report.counts,
            base_in_flight: report.base_in_flight,
            target_in_flight: report.target_in_flight,
        };
        self.reporters.insert(report.sender, reporter);
    }

    /// Takes in the newest stored status. One of another order is ignored.
    pub fn on_status(&mut self, status: &RolloutStatus) {
        if status.is_of(&self.order) {
            self.stored = Some(status.state);
        }
    }

    /// Records that operators removed the order. It is rolled back unless a final state is stored.
    pub fn on_withdrawn(&mut self) {
        self.is_withdrawn = true;
    }

    /// Decides on the directive and on the state to write. Called after every report or at least
    /// every 100 ms.
    pub fn decide(&mut self, view: FleetView, now: Duration) -> Decision {
        let _ = (now, self.bounds);
        Decision {
            directive: RolloutDirective {
                order: self.order.id,
                phase: self.phase,
                share: self.schedule.share(self.phase),
            },
            write: None,
            reason: DecisionReason::Scheduled,
            judgement: judge(
                &self.evidence,
                JudgeInput {
                    target_servers: view.target_servers,
                },
            ),
        }
    }
}
