//! Directs the daemons during a rollout and decides on its final state.

use super::decision::{Decision, DecisionReason, FleetView};
use super::exposure::{ExposureBounds, ExposureCounts, TargetShare};
use super::fleet_evidence::FleetEvidence;
use super::message::{RolloutDirective, RolloutReport};
use super::order::{OrderId, Phase, RolloutOrder, RolloutState, RolloutStatus};
use super::schedule::Schedule;
use super::verdict::{BadReason, JudgeInput, Judgement, Verdict, judge};
use indexmap::IndexMap;
use std::time::Duration;

/// Number of periods between the order and its deadline, in which evidence is compared separately.
const PERIODS: f64 = 14.0;
/// Age up to which a report shows the present state of its daemon.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1500);
/// Time after which a new decider no longer waits for the reports of more daemons.
const FIRST_REPORTS_TIME: Duration = Duration::from_millis(500);
/// Time between two records of the exposure.
const PROGRESS_PAUSE: Duration = Duration::from_millis(500);
/// Time within which most requests have their first event or answer.
const ANSWER_TIME_MAX: Duration = Duration::from_millis(2500);
/// Number of requests from which a lack of answers counts.
const UNANSWERED_REQUESTS_MIN: u64 = 20;
/// Share of the answers below which a version does not answer.
const UNANSWERED_SHARE: f64 = 0.3;
/// Share of the requests in flight above which a version does not answer. Requests that a server
/// rejected are in neither count.
const UNANSWERED_IN_FLIGHT_SHARE: f64 = 0.5;
/// Share of the base's answers above which the base does answer.
const ANSWERED_BASE_SHARE: f64 = 0.6;

/// Newest report of a daemon, without its evidence.
#[derive(Clone, Debug)]
struct Reporter {
    received_at: Duration,
    order_age: Duration,
    phase: Phase,
    counts: ExposureCounts,
    base_in_flight: u32,
    target_in_flight: u32,
}

/// Exposure at an earlier time.
#[derive(Clone, Copy, Debug)]
struct Progress {
    age: Duration,
    target_requests: u64,
}

/// Decider of one order.
#[derive(Clone, Debug)]
pub struct Decider {
    order: RolloutOrder,
    schedule: Schedule,
    phase: Phase,
    /// Age of the order at the start of the phase.
    phase_since: Duration,
    /// Why the phase is the last one, if it is.
    end_reason: Option<DecisionReason>,
    evidence: FleetEvidence,
    reporters: IndexMap<u64, Reporter>,
    progress: Vec<Progress>,
    /// Age of the order at the first decision.
    first_decision_at: Option<Duration>,
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
            phase: Phase::Waiting,
            phase_since: Duration::ZERO,
            end_reason: None,
            evidence: FleetEvidence::default(),
            reporters: IndexMap::new(),
            progress: Vec::new(),
            first_decision_at: None,
            stored: None,
            is_withdrawn: false,
        }
    }

    /// Returns the order.
    #[must_use]
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Changes the identifier of the order, which operators wrote again after the store had lost it.
    pub fn set_order_id(&mut self, id: OrderId) {
        self.order.id = id;
    }

    /// Takes in a report, also this daemon's own. A report on another order, or one that a newer
    /// one has overtaken, is ignored.
    pub fn on_report(&mut self, report: RolloutReport, now: Duration) {
        let known = self.reporters.get(&report.sender);
        let is_overtaken = known
            .is_some_and(|known| known.order_age.as_millis() > u128::from(report.order_age_ms));
        if report.order != self.order.id || is_overtaken {
            return;
        }
        let reporter = Reporter {
            received_at: now,
            order_age: Duration::from_millis(u64::from(report.order_age_ms)),
            phase: report.phase,
            counts: report.counts,
            base_in_flight: report.base_in_flight,
            target_in_flight: report.target_in_flight,
        };
        self.reporters.insert(report.sender, reporter);
        let age = self.age(now);
        let period =
            (age.as_secs_f64() / self.order.step.as_secs_f64().max(0.001) * PERIODS) as u32;
        self.evidence.on_rows(report.sender, report.rows, period);
        self.adopt(report.phase, age);
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
        let age = self.age(now);
        self.first_decision_at.get_or_insert(age);
        let counts = self.counts();
        let input = JudgeInput {
            target_servers: view.target_servers,
        };
        let judgement = judge(&self.evidence, input);
        self.record_progress(age, counts);
        let reason = match self.end_reason(view, &judgement, age, now) {
            Some(reason) => reason,
            None => self.advance(view, &judgement, age, now),
        };
        Decision {
            directive: RolloutDirective {
                order: self.order.id,
                phase: self.phase,
                share: self.share(view, age, counts),
            },
            write: self.state_to_write(),
            reason,
            judgement,
        }
    }

    /// Returns the age of the order: the largest that any daemon knows. A restarted daemon learned
    /// of the order late.
    fn age(&self, now: Duration) -> Duration {
        let ages = self
            .reporters
            .values()
            .map(|reporter| reporter.order_age + now.saturating_sub(reporter.received_at));
        let own = now.saturating_sub(self.order.learned_at);
        ages.max().unwrap_or_default().max(own)
    }

    /// Returns what the fleet has counted since the order, daemons that have exited included.
    fn counts(&self) -> ExposureCounts {
        let counts = self.reporters.values().map(|reporter| reporter.counts);
        counts.fold(ExposureCounts::default(), |sum, counts| ExposureCounts {
            requests: sum.requests + counts.requests,
            target: sum.target + counts.target,
        })
    }

    /// Returns the daemons that have reported lately.
    fn fresh(&self, now: Duration) -> impl Iterator<Item = &Reporter> {
        let reporters = self.reporters.values();
        reporters.filter(move |reporter| now.saturating_sub(reporter.received_at) <= REPORT_AGE_MAX)
    }

    /// Returns whether more than half of the daemons have reported lately.
    fn has_quorum(&self, view: FleetView, now: Duration) -> bool {
        self.fresh(now).count() * 2 > view.members
    }

    /// Continues in the phase that another decider has reached.
    fn adopt(&mut self, phase: Phase, age: Duration) {
        // Completion is decided again, on the evidence that has arrived since.
        let phase = if phase == Phase::Completing {
            Phase::Full
        } else {
            phase
        };
        if phase > self.phase {
            self.enter(phase, self.schedule.adopted_since(phase, age));
            if phase == Phase::RollingBack {
                self.end_reason = Some(DecisionReason::Adopted);
            }
        }
    }

    fn enter(&mut self, phase: Phase, age: Duration) {
        self.phase = phase;
        self.phase_since = age;
    }

    fn end(&mut self, phase: Phase, reason: DecisionReason, age: Duration) -> DecisionReason {
        self.enter(phase, age);
        self.end_reason = Some(reason);
        reason
    }

    /// Returns why the rollout ends, if it does. A decision to roll back stays.
    fn end_reason(
        &mut self,
        view: FleetView,
        judgement: &Judgement,
        age: Duration,
        now: Duration,
    ) -> Option<DecisionReason> {
        match self.stored {
            Some(RolloutState::Complete) => {
                return Some(self.end(Phase::Completing, DecisionReason::Stored, age));
            }
            Some(RolloutState::RolledBack) => {
                return Some(self.end(Phase::RollingBack, DecisionReason::Stored, age));
            }
            _ => {}
        }
        if self.phase == Phase::RollingBack {
            return self.end_reason;
        }
        if self.is_withdrawn {
            return Some(self.end(Phase::RollingBack, DecisionReason::Withdrawn, age));
        }
        if view.is_target_in_force {
            let is_unused = view.base_servers == 0 || self.is_drained(view, age, now);
            let is_due = is_unused || age >= self.schedule.complete_at();
            return Some(if is_due {
                self.end(Phase::Completing, DecisionReason::AlreadyInForce, age)
            } else {
                DecisionReason::Draining
            });
        }
        let bad = match judgement.verdict {
            Verdict::Bad(bad) => Some(bad),
            _ if self.is_unanswered(age, judgement) => Some(BadReason::Unanswered),
            _ => None,
        };
        if let Some(bad) = bad {
            return Some(self.end(Phase::RollingBack, DecisionReason::Bad(bad), age));
        }
        self.end_reason
    }

    /// Moves to the next phase if it is time, and returns why the phase is what it is.
    fn advance(
        &mut self,
        view: FleetView,
        judgement: &Judgement,
        age: Duration,
        now: Duration,
    ) -> DecisionReason {
        let is_last_chance = Schedule::next(self.phase) >= Phase::Full;
        if is_last_chance
            && age >= self.schedule.hold_until(self.phase)
            && let Some(bad) = judgement.late_bad()
        {
            return self.end(Phase::RollingBack, DecisionReason::Bad(bad), age);
        }
        let is_informed = self.has_quorum(view, now)
            || age >= self.first_decision_at.unwrap_or(age) + FIRST_REPORTS_TIME;
        let is_late = age >= self.schedule.decide_at() && is_informed;
        if is_late && (self.phase != Phase::Full || view.target_servers == 0) {
            return self.end(Phase::RollingBack, DecisionReason::Deadline, age);
        }
        if let Some(reason) = self.hold_reason(view, judgement, age, now) {
            return reason;
        }
        if self.phase == Phase::Full {
            return self.complete(view, age, now);
        }
        self.enter(Schedule::next(self.phase), age);
        DecisionReason::Scheduled
    }

    /// Returns why the phase goes on, or `None` if it may end.
    fn hold_reason(
        &self,
        view: FleetView,
        judgement: &Judgement,
        age: Duration,
        now: Duration,
    ) -> Option<DecisionReason> {
        if age < self.schedule.end(self.phase, self.phase_since) {
            return Some(DecisionReason::Scheduled);
        }
        let may_hold = age < self.schedule.hold_until(self.phase);
        let is_held = may_hold && self.phase != Phase::Waiting && judgement.is_suspicious;
        let has_few_reports = !self.has_quorum(view, now);
        if self.phase == Phase::Full {
            let lacks_reports = has_few_reports && age < self.schedule.decide_at();
            let held = is_held.then_some(DecisionReason::Suspicion);
            return lacks_reports.then_some(DecisionReason::FewReports).or(held);
        }
        if view.target_servers == 0 {
            return Some(DecisionReason::NoTargetServers);
        }
        if !view.is_store_available {
            return Some(DecisionReason::StoreUnavailable);
        }
        if has_few_reports {
            return Some(DecisionReason::FewReports);
        }
        if is_held {
            return Some(DecisionReason::Suspicion);
        }
        let is_next_full = Schedule::next(self.phase) == Phase::Full;
        let is_short = is_next_full && !self.schedule.has_capacity(view.capacity(), age);
        is_short.then_some(DecisionReason::CapacityMissing)
    }

    /// Completes the rollout if no old request is awaited.
    fn complete(&mut self, view: FleetView, age: Duration, now: Duration) -> DecisionReason {
        if view.target_servers == 0 {
            return DecisionReason::NoTargetServers;
        }
        if self.is_drained(view, age, now) {
            return self.end(Phase::Completing, DecisionReason::Drained, age);
        }
        if age >= self.schedule.complete_at() {
            return self.end(Phase::Completing, DecisionReason::DrainTimeout, age);
        }
        DecisionReason::Draining
    }

    /// Returns whether no daemon has requests in flight at base servers and none sends new ones
    /// there. A silent daemon is awaited for [`REPORT_AGE_MAX`].
    fn is_drained(&self, view: FleetView, age: Duration, now: Duration) -> bool {
        let waited = age.saturating_sub(self.phase_since);
        let are_all_heard = self.fresh(now).count() >= view.members || waited >= REPORT_AGE_MAX;
        let has_old = |reporter: &Reporter| {
            let is_behind = reporter.phase < Phase::Full && !view.is_target_in_force;
            is_behind || reporter.base_in_flight > 0
        };
        are_all_heard && !self.fresh(now).any(has_old)
    }

    fn record_progress(&mut self, age: Duration, counts: ExposureCounts) {
        let last = self.progress.last();
        if last.is_none_or(|last| age >= last.age + PROGRESS_PAUSE) {
            self.progress.push(Progress {
                age,
                target_requests: counts.target,
            });
        }
    }

    /// Returns whether the target has left most requests of some time ago without an answer, while
    /// the base answers.
    fn is_unanswered(&self, age: Duration, judgement: &Judgement) -> bool {
        let earlier = self.progress.iter().rev();
        let mut earlier = earlier.filter(|progress| progress.age + ANSWER_TIME_MAX <= age);
        let Some(sent) = earlier.next().map(|progress| progress.target_requests) else {
            return false;
        };
        let counts = self.counts();
        let sent_since = counts.target.saturating_sub(sent);
        let in_flight = self.reporters.values();
        let in_flight: u64 = in_flight
            .map(|reporter| u64::from(reporter.target_in_flight))
            .sum();
        let in_flight_since_then = in_flight.saturating_sub(sent_since);
        let base_requests = counts.requests.saturating_sub(counts.target);
        sent >= UNANSWERED_REQUESTS_MIN
            && (judgement.target_answers as f64) < UNANSWERED_SHARE * sent as f64
            && in_flight_since_then as f64 > UNANSWERED_IN_FLIGHT_SHARE * sent as f64
            && judgement.base_answers as f64 > ANSWERED_BASE_SHARE * base_requests as f64
    }

    fn share(&self, view: FleetView, age: Duration, counts: ExposureCounts) -> TargetShare {
        if view.target_servers == 0 && self.phase < Phase::Full {
            return TargetShare::NONE;
        }
        self.schedule
            .share(self.phase, self.phase_since, age, counts)
    }

    /// Returns the state to write. `running` is written first.
    fn state_to_write(&self) -> Option<RolloutState> {
        let last = match self.phase {
            Phase::Completing => RolloutState::Complete,
            Phase::RollingBack => RolloutState::RolledBack,
            _ => RolloutState::Running,
        };
        match self.stored {
            None => Some(RolloutState::Running),
            Some(RolloutState::Running) if last != RolloutState::Running => Some(last),
            Some(_) => None,
        }
    }
}
