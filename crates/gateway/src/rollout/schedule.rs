//! When the phases of a rollout begin, and how many requests go to the target in each.

use super::exposure::{ExposureBounds, ExposureCounts, TargetShare};
use super::order::Phase;
use std::time::Duration;

/// Number of ramp steps.
const RAMP_STEPS: u8 = 2;
/// Fraction of the allowed exposure that is planned for. The rest covers requests that are not
/// reported yet, and the time until a bad version is noticed.
const PLANNED_FRACTION: f64 = 0.9;
/// Time from the moment a version turns bad until that is detected.
const DETECTION_TIME: Duration = Duration::from_secs(1);
/// Fraction of the present rate of requests that is expected until the deadline. The rest covers
/// clients that send fewer requests later.
const EXPECTED_RATE_FRACTION: f64 = 0.85;
/// Number of requests from which their rate is estimated.
const RATE_REQUESTS_MIN: u64 = 5;

/// One phase, in fractions of the time until the deadline.
struct PhasePlan {
    /// Earliest end of the phase.
    ends_at: f64,
    /// Shortest time in the phase, which holds when an earlier one was delayed.
    time_min: f64,
    /// Latest end of the phase if the evidence raises a suspicion.
    hold_until: f64,
    /// Fraction of the allowed exposure that is planned for the phase.
    exposure: f64,
    /// Multiple of the operators' share that the phase uses while the rate is unknown.
    share_factor: f64,
    /// Largest share in the phase. Services with few requests have more room by the slack, but the
    /// base must be left enough requests for comparison.
    share_max: f64,
}

const CANARY: PhasePlan = PhasePlan {
    ends_at: 0.44,
    hold_until: 0.64,
    time_min: 0.12,
    exposure: 0.30,
    share_factor: 0.6,
    share_max: 0.4,
};
const RAMP: [PhasePlan; RAMP_STEPS as usize] = [
    PhasePlan {
        ends_at: 0.52,
        hold_until: 0.72,
        time_min: 0.06,
        exposure: 0.10,
        share_factor: 1.2,
        share_max: 0.5,
    },
    PhasePlan {
        ends_at: 0.62,
        hold_until: 0.80,
        time_min: 0.10,
        exposure: 0.35,
        share_factor: 3.0,
        share_max: 0.6,
    },
];

/// Shortest time in the full phase.
const FULL_TIME_MIN: f64 = 0.04;
/// Fraction of the time until the deadline at which old requests are no longer awaited.
const COMPLETE_AT: f64 = 0.9;
/// The same for the end of all phases. The rest is for storing the final state.
const DECIDE_AT: f64 = 0.94;

/// Capacity of the target, relative to that of the base, from which all requests may go to it.
const CAPACITY_MIN: f64 = 0.8;
/// The same after the fraction [`CAPACITY_LATE_AT`] of the time until the deadline.
const CAPACITY_LATE_MIN: f64 = 0.5;
const CAPACITY_LATE_AT: f64 = 0.72;

/// Schedule of one order. All times are ages of the order.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    step: Duration,
    bounds: ExposureBounds,
}

impl Schedule {
    /// Creates the schedule of an order with a given time until its deadline.
    #[must_use]
    pub fn new(step: Duration, bounds: ExposureBounds) -> Self {
        Self { step, bounds }
    }

    /// Returns the phase after a given one.
    #[must_use]
    pub fn next(phase: Phase) -> Phase {
        match phase {
            Phase::Waiting => Phase::Canary,
            Phase::Canary => Phase::Ramp { step: 0 },
            Phase::Ramp { step } if step + 1 < RAMP_STEPS => Phase::Ramp { step: step + 1 },
            Phase::Ramp { .. } => Phase::Full,
            Phase::Full | Phase::Completing => Phase::Completing,
            Phase::RollingBack => Phase::RollingBack,
        }
    }

    /// Returns the start of a phase that another decider has begun at an unknown time before `age`.
    /// Its shortest time is not waited for again: changes of the decider would delay the end.
    #[must_use]
    pub fn adopted_since(&self, phase: Phase, age: Duration) -> Duration {
        let start = match phase {
            Phase::Canary => 0.0,
            Phase::Ramp { step: 0 } => CANARY.ends_at,
            Phase::Ramp { .. } => RAMP[0].ends_at,
            Phase::Full => return age.saturating_sub(self.step.mul_f64(FULL_TIME_MIN)),
            _ => return age,
        };
        age.min(self.step.mul_f64(start))
    }

    /// Returns the earliest end of a phase that began at the age `since`.
    #[must_use]
    pub fn end(&self, phase: Phase, since: Duration) -> Duration {
        let (ends_at, time_min) = match plan(phase) {
            Some(plan) => (plan.ends_at, plan.time_min),
            None if phase == Phase::Full => (0.0, FULL_TIME_MIN),
            None => (0.0, 0.0),
        };
        let end = self.step.mul_f64(ends_at);
        end.max(since + self.step.mul_f64(time_min))
    }

    /// Returns the age up to which a suspicion holds a phase.
    #[must_use]
    pub fn hold_until(&self, phase: Phase) -> Duration {
        let fraction = plan(phase).map_or(COMPLETE_AT, |plan| plan.hold_until);
        self.step.mul_f64(fraction)
    }

    /// Returns the share of the target in a phase that began at the age `since`, given what the
    /// fleet has counted since the order. The exposure up to the end of the phase, and for the time
    /// that it takes to detect a bad version, stays within the operators' bound.
    #[must_use]
    pub fn share(
        &self,
        phase: Phase,
        since: Duration,
        age: Duration,
        counts: ExposureCounts,
    ) -> TargetShare {
        let Some(plan) = plan(phase) else {
            return match phase {
                Phase::Full | Phase::Completing => TargetShare::ALL,
                _ => TargetShare::NONE,
            };
        };
        let default = self.bounds.canary_share * plan.share_factor;
        if counts.requests < RATE_REQUESTS_MIN || age.is_zero() {
            return TargetShare::from_fraction(default.min(plan.share_max));
        }
        let rate = counts.requests as f64 / age.as_secs_f64();
        let rest = self.step.saturating_sub(age).as_secs_f64();
        let expected = counts.requests as f64 + rate * rest * EXPECTED_RATE_FRACTION;
        let slack = f64::from(self.bounds.canary_slack) - rate * DETECTION_TIME.as_secs_f64() / 2.0;
        let allowed = expected * self.bounds.canary_share + slack.max(0.0);
        let end = self.end(phase, since);
        let planned_time = end.saturating_sub(since).max(DETECTION_TIME).as_secs_f64();
        let planned = allowed * plan.exposure / (rate * planned_time);
        let remaining_phase = end.saturating_sub(age) + DETECTION_TIME;
        let unused = (allowed * PLANNED_FRACTION - counts.target as f64).max(0.0);
        let affordable = unused / (rate * remaining_phase.as_secs_f64());
        TargetShare::from_fraction(planned.min(affordable).min(plan.share_max))
    }

    /// Returns whether the target's servers can take all requests, given their capacity relative to
    /// that of the base. Later on, less is accepted: some of them may be broken.
    #[must_use]
    pub fn has_capacity(&self, capacity: f64, age: Duration) -> bool {
        let is_late = age >= self.step.mul_f64(CAPACITY_LATE_AT);
        let required = if is_late {
            CAPACITY_LATE_MIN
        } else {
            CAPACITY_MIN
        };
        capacity >= required
    }

    /// Returns the age from which old requests are no longer awaited.
    #[must_use]
    pub fn complete_at(&self) -> Duration {
        self.step.mul_f64(COMPLETE_AT)
    }

    /// Returns the age at which a final state is decided on in any case.
    #[must_use]
    pub fn decide_at(&self) -> Duration {
        self.step.mul_f64(DECIDE_AT)
    }
}

fn plan(phase: Phase) -> Option<&'static PhasePlan> {
    match phase {
        Phase::Canary => Some(&CANARY),
        Phase::Ramp { step } => RAMP.get(usize::from(step)),
        _ => None,
    }
}
