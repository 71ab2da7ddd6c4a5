//! Random generator that decides whether a fault occurs.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::Mutex;

/// Seeded random generator shared by the tasks of one stand-in.
#[derive(Debug)]
pub(crate) struct FaultRng {
    rng: Mutex<StdRng>,
}

impl FaultRng {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Returns true with the given probability, which is clamped to the range 0 to 1. Draws no
    /// number for a probability of 0, so that an unused fault does not change the draws of the
    /// others.
    pub(crate) fn chance(&self, probability: f64) -> bool {
        probability > 0.0
            && self
                .rng
                .lock()
                .expect("fault generator lock")
                .random_bool(probability.min(1.0))
    }
}
