//! How fast the engines compute prompts, learnt from the time to the first event of streams.
//!
//! The time to the first event also holds queues and transfers, so the shortest times tell most. The rate
//! follows the best answers at once and falls slowly while all answers take longer.

use std::time::Duration;

/// Rate before any answer, in tokens per millisecond.
const INITIAL_TOKENS_PER_MS: f64 = 30.0;
/// Fewest computed tokens from which an answer tells the rate. For fewer of them fixed times prevail.
const SAMPLE_TOKENS_MIN: u32 = 1000;
/// Part of the difference by which a slower answer lowers the rate.
const DECREASE_STEP: f64 = 0.02;

/// Tokens that an engine computes in a millisecond.
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
    /// Notes that the first event of an answer came after some time, in which the engine computed at
    /// least these tokens.
    pub fn on_first_event(&mut self, computed_tokens: u32, elapsed: Duration) {
        if computed_tokens < SAMPLE_TOKENS_MIN || elapsed.is_zero() {
            return;
        }
        let elapsed_ms = elapsed.as_secs_f64() * 1000.0;
        let seen = f64::from(computed_tokens) / elapsed_ms;
        if seen > self.tokens_per_ms {
            self.tokens_per_ms = seen;
        } else {
            self.tokens_per_ms += DECREASE_STEP * (seen - self.tokens_per_ms);
        }
    }

    /// Time in which an engine computes tokens, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.tokens_per_ms
    }
}
