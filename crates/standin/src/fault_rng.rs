//! Seeded random faults.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::Mutex;

/// Random generator shared by the tasks of one stand-in.
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

    /// Draws true with the given probability. Probabilities outside 0 to 1 are clamped, and no
    /// number is drawn for 0, so that an unused fault does not shift the draws of the others.
    pub(crate) fn chance(&self, probability: f64) -> bool {
        probability > 0.0
            && self
                .rng
                .lock()
                .expect("fault generator lock")
                .random_bool(probability.min(1.0))
    }
}
