//! Estimated rate at which engines compute prompts, from the time to the first event of streams.
//!
//! The time to the first event also includes queues and transfers, so the fastest answers are
//! the most accurate. The estimate rises to the fastest answer at once and falls slowly while
//! all answers are slower.

use std::time::Duration;

/// Estimate before the first answer, in tokens per millisecond.
const INITIAL_TOKENS_PER_MS: f64 = 30.0;
/// Smallest number of computed tokens for which an answer updates the rate. For fewer tokens,
/// fixed times prevail.
const SAMPLE_TOKENS_MIN: u32 = 1000;
/// Fraction of the difference by which a slower answer lowers the rate.
const DECREASE_STEP: f64 = 0.02;

/// Estimated number of prompt tokens that an engine computes per millisecond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillRate {
    tokens_per_ms: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self {
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
        }
    }
}

impl PrefillRate {
    /// Updates the rate with an answer whose first event came `elapsed` after the request, and
    /// for which the engine computed at least `computed_tokens`.
    pub fn on_first_event(&mut self, computed_tokens: u32, elapsed: Duration) {
        if computed_tokens < SAMPLE_TOKENS_MIN || elapsed.is_zero() {
            return;
        }
        let elapsed_ms = elapsed.as_secs_f64() * 1000.0;
        let observed = f64::from(computed_tokens) / elapsed_ms;
        if observed > self.tokens_per_ms {
            self.tokens_per_ms = observed;
        } else {
            self.tokens_per_ms += DECREASE_STEP * (observed - self.tokens_per_ms);
        }
    }

    /// Returns the estimated time, in milliseconds, in which an engine computes tokens.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.tokens_per_ms
    }
}
