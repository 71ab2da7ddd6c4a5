//! When the phases of a rollout begin, and how many requests go to the target in each.

use super::exposure::{ExposureBounds, TargetShare};
use super::order::Phase;
use std::time::Duration;

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

    /// Returns the share of the target in a phase.
    #[must_use]
    pub fn share(&self, phase: Phase) -> TargetShare {
        match phase {
            Phase::Waiting | Phase::RollingBack => TargetShare::NONE,
            Phase::Canary => TargetShare::from_fraction(self.bounds.canary_share * 0.6),
            Phase::Ramp { step } => TargetShare::from_fraction(
                self.bounds.canary_share * if step == 0 { 1.0 } else { 3.0 },
            ),
            Phase::Full | Phase::Completing => TargetShare::ALL,
        }
    }

    /// Returns the time at which the rollout is completed even if old requests are in flight.
    #[must_use]
    pub fn complete_at(&self) -> Duration {
        self.step.mul_f64(0.9)
    }
}
