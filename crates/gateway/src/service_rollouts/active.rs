//! One rollout as this daemon sees it: its own observations, the directive in force, and the decider
//! if other daemons report to this one.

use crate::permits::members_by_rank;
use crate::rollout::{
    Decider, Decision, Evidence, ExposureBounds, ExposureBudget, ExposureCounts, FleetView,
    OrderId, Phase, RolloutDirective, RolloutOrder, RolloutReport, RolloutStatus, ServiceVersions,
    TargetShare, VersionUse,
};
use crate::server::{ServerState, Servers};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time without a reply after which the member that is next in rank is asked as well.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of members that are asked beside the first in rank.
const OTHERS_ASKED_MAX: usize = 8;
/// Time without a reply after which a member's directive no longer takes precedence over those of
/// lower rank.
const REPLY_AGE_MAX: Duration = Duration::from_millis(1000);
/// Time without reports after which a daemon no longer is the decider.
const REPORTED_AGE_MAX: Duration = Duration::from_millis(1500);
/// Longest time between the directive to send nothing to the old servers and the write of `complete`,
/// upon which they stop. The directive is repeated meanwhile for daemons that have missed it.
const COMPLETION_PAUSE_MAX: Duration = Duration::from_millis(500);
/// That time as a fraction of the time until the deadline, which must not pass meanwhile.
const COMPLETION_PAUSE_FRACTION: f64 = 0.02;

/// Number of members for which one more of the reports between two with evidence has none.
const MEMBERS_PER_SKIPPED_EVIDENCE: usize = 100;
/// Evidence is in at least one of so many reports.
const REPORTS_PER_EVIDENCE_MAX: usize = 3;

/// An order without a final status.
#[derive(Debug)]
pub(crate) struct ActiveRollout {
    pub(crate) order: RolloutOrder,
    pub(super) budget: ExposureBudget,
    pub(super) evidence: Evidence,
    directive: Option<ReceivedDirective>,
    /// Number of reports so far.
    reports: usize,
    /// Number of members that are asked beside the first in rank.
    others_asked: usize,
    /// When the number of members that are asked was last increased.
    asked_since: Duration,
    /// Set as soon as another daemon, or this one, reports to this daemon.
    pub(crate) decider: Option<Decider>,
    /// When a daemon, or this one, last reported to this daemon.
    reported_at: Duration,
    /// When the decider began to complete the rollout.
    completing_since: Option<Duration>,
    /// Newest decision of this daemon, if it is the decider.
    pub(crate) decision: Option<Decision>,
    /// Addresses of the daemons that have reported to this one, with the time of the last report.
    reporters: IndexMap<SocketAddr, Duration>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedDirective {
    directive: RolloutDirective,
    received_at: Duration,
    /// Rank of the sender.
    rank: usize,
}

impl ActiveRollout {
    /// Creates the state of an order that was just learned. `random` is a random number in `[0, 1)`.
    pub(super) fn new(order: RolloutOrder, bounds: ExposureBounds, random: f64) -> Self {
        let learned_at = order.learned_at;
        Self {
            budget: ExposureBudget::new(bounds, order.step, learned_at, random),
            order,
            evidence: Evidence::default(),
            directive: None,
            reports: 0,
            others_asked: 0,
            asked_since: learned_at,
            decider: None,
            reported_at: learned_at,
            completing_since: None,
            decision: None,
            reporters: IndexMap::new(),
        }
    }

    /// Changes the identifier of the order, which operators wrote again after the store had lost it.
    pub(super) fn set_order_id(&mut self, id: OrderId) {
        self.order.id = id;
        if let Some(decider) = &mut self.decider {
            decider.set_order_id(id);
        }
    }

    /// Returns phase and share that apply now. Without a valid directive nothing goes to the target.
    pub(crate) fn in_force(&self, is_fresh: bool, now: Duration) -> (Phase, TargetShare) {
        let valid = self.directive.filter(|received| {
            now.saturating_sub(received.received_at) < RolloutDirective::VALID_FOR
        });
        match valid {
            Some(received) if is_fresh => (received.directive.phase, received.directive.share),
            _ => (Phase::Waiting, TargetShare::NONE),
        }
    }

    /// Returns the phase of the newest directive.
    pub(crate) fn newest_phase(&self) -> Option<Phase> {
        Some(self.directive?.directive.phase)
    }

    pub(crate) fn counts(&self) -> ExposureCounts {
        self.budget.counts()
    }

    pub(crate) fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Returns the daemons to report to: the first member in rank, and the next ones while there is
    /// no reply.
    pub(crate) fn recipients(
        &mut self,
        service_hash: u64,
        members: &[SocketAddr],
        now: Duration,
    ) -> Vec<SocketAddr> {
        self.budget.on_members(members.len());
        let ranked = members_by_rank(service_hash, members);
        let heard_at = self.directive.map(|received| received.received_at);
        let silent_since = heard_at.unwrap_or_default().max(self.asked_since);
        if now.saturating_sub(silent_since) >= REPLY_TIMEOUT {
            let others = ranked.len().saturating_sub(1).min(OTHERS_ASKED_MAX);
            self.others_asked = (self.others_asked + 1).min(others);
            self.asked_since = now;
        }
        ranked.into_iter().take(self.others_asked + 1).collect()
    }

    /// Takes in a directive of the member with this rank. That of a member which ranks higher takes
    /// precedence while it replies.
    pub(crate) fn on_directive(&mut self, directive: RolloutDirective, rank: usize, now: Duration) {
        let is_outranked = self.directive.is_some_and(|received| {
            received.rank < rank && now.saturating_sub(received.received_at) < REPLY_AGE_MAX
        });
        if is_outranked && directive.phase != Phase::RollingBack {
            return;
        }
        if rank < self.others_asked {
            self.others_asked = rank;
        }
        self.directive = Some(ReceivedDirective {
            directive,
            received_at: now,
            rank,
        });
    }

    /// Records that another daemon has reported to this one.
    pub(crate) fn on_reporter(&mut self, address: SocketAddr, now: Duration) {
        self.reporters.insert(address, now);
    }

    /// Returns the addresses of the daemons that have reported to this one lately.
    pub(crate) fn recent_reporters(&self, now: Duration) -> Vec<SocketAddr> {
        let reporters = self.reporters.iter();
        reporters
            .filter(|(_, at)| now.saturating_sub(**at) < REPLY_AGE_MAX)
            .map(|(address, _)| *address)
            .collect()
    }

    /// Returns the next report of what this daemon has observed. In large fleets only some of the
    /// reports carry the evidence, so that the decider can keep up.
    pub(crate) fn next_report(
        &mut self,
        sender: u64,
        phase: Phase,
        members: usize,
        servers: &Servers,
        now: Duration,
    ) -> RolloutReport {
        let in_flight = |is_target: bool| {
            let of_service = servers
                .iter()
                .filter(|(_, server)| server.entry.service == self.order.service);
            let version = Some(self.order.target.as_str());
            of_service
                .filter(|(_, server)| (server.entry.version.as_deref() == version) == is_target)
                .map(|(_, server)| server.in_flight)
                .sum()
        };
        let age = now.saturating_sub(self.order.learned_at);
        let reports_per_evidence =
            (1 + members / MEMBERS_PER_SKIPPED_EVIDENCE).min(REPORTS_PER_EVIDENCE_MAX);
        let has_evidence = self.reports.is_multiple_of(reports_per_evidence);
        self.reports = self.reports.wrapping_add(1);
        RolloutReport {
            order: self.order.id,
            sender,
            order_age_ms: age.as_millis() as u32,
            phase,
            counts: self.budget.counts(),
            base_in_flight: in_flight(false),
            target_in_flight: in_flight(true),
            rows: if has_evidence {
                self.evidence.snapshot()
            } else {
                Vec::new()
            },
        }
    }

    /// Takes in a report as the decider, which this daemon becomes with the first one.
    pub(crate) fn take_report(
        &mut self,
        report: RolloutReport,
        bounds: ExposureBounds,
        stored: Option<&RolloutStatus>,
        now: Duration,
    ) {
        self.reported_at = now;
        let order = &self.order;
        let decider = self.decider.get_or_insert_with(|| {
            let mut decider = Decider::new(order.clone(), bounds);
            if let Some(status) = stored {
                decider.on_status(status);
            }
            decider
        });
        decider.on_report(report, now);
    }

    /// Decides if this daemon is the decider. Without recent reports its evidence is outdated, so it
    /// stops to be the decider.
    pub(crate) fn decide(&mut self, view: FleetView, now: Duration) -> Option<Decided> {
        if now.saturating_sub(self.reported_at) > REPORTED_AGE_MAX {
            self.decider = None;
            self.decision = None;
        }
        let mut decision = self.decider.as_mut()?.decide(view, now);
        let phase = decision.directive.phase;
        let is_completing = phase == Phase::Completing;
        self.completing_since = self
            .completing_since
            .filter(|_| is_completing)
            .or(is_completing.then_some(now));
        let since = self.completing_since;
        let pause = self.order.step.mul_f64(COMPLETION_PAUSE_FRACTION);
        let pause = pause.min(COMPLETION_PAUSE_MAX);
        if since.is_some_and(|since| now < since + pause) {
            decision.write = None;
        }
        let known = self.decision.replace(decision);
        Some(Decided {
            decision,
            is_new_phase: known.is_some_and(|known| known.directive.phase != phase),
            is_changed: known.is_none_or(|known| {
                known.directive.phase != phase || known.reason != decision.reason
            }),
        })
    }
}

/// A decision, and what is new about it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Decided {
    pub(crate) decision: Decision,
    pub(crate) is_new_phase: bool,
    /// Whether the phase or the reason is new.
    pub(crate) is_changed: bool,
}

/// Servers of both versions, as the decider needs them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VersionServers {
    pub(crate) target_servers: usize,
    pub(crate) target_warm_slots: u32,
    pub(crate) base_servers: usize,
    pub(crate) base_slots: u32,
}

impl VersionServers {
    /// Counts the ready servers of the target, and those of other versions that get requests.
    pub(crate) fn of(
        order: &RolloutOrder,
        versions: &ServiceVersions,
        servers: &Servers,
        now: Duration,
    ) -> Self {
        let mut sums = Self::default();
        for (_, server) in servers.iter() {
            let is_counted = server.entry.service == order.service
                && server.entry.state == ServerState::Ready
                && servers.is_in_service(server);
            if !is_counted {
                continue;
            }
            let version = server.entry.version.as_deref();
            if version == Some(order.target.as_str()) {
                sums.target_servers += 1;
                if !server.is_cold(now) {
                    sums.target_warm_slots += server.entry.slots;
                }
            } else if versions.use_of(version) == VersionUse::All {
                sums.base_servers += 1;
                sums.base_slots += server.entry.slots;
            }
        }
        sums
    }
}
