//! Estimated time until a server begins with a request, and the choice among servers by it.

use crate::server_speed::ServiceSpeed;
use std::time::Duration;

/// Fraction of the latency target within which a start is early enough, whatever the other servers'
/// starts. The rest is for the request's own prompt and for work that is not known yet.
const EARLY_START_FRACTION: f64 = 0.4;
/// Factor by which a first event may be later than the earliest one.
const LATER_FACTOR: f64 = 1.3;
/// Fraction of the latency target by which it may be later in addition.
const LATER_FRACTION: f64 = 0.08;
/// Fraction of the shared tokens that a server computes, or waits for, if it is not the one that
/// ranks first for the prompt.
const SHARED_COMPUTED_FRACTION: f64 = 0.5;
/// Factor by which the tokens in a server's memory may exceed the candidates' mean before a prompt
/// goes to the server that ranks next.
const MEMORY_FACTOR: f64 = 1.25;
/// Fraction of an engine's memory by which they may exceed the mean in addition.
const MEMORY_SLACK_FRACTION: f64 = 0.08;

/// Work that is known to be at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerWork {
    /// Prompt tokens of all daemons' requests that are not computed yet.
    pub uncomputed_tokens: u64,
    /// Number of requests of all daemons.
    pub requests: f64,
    /// Number of requests that the server executes concurrently; 0 if that is not known.
    pub slots: u32,
    /// Number of requests that wait there, as the server itself has reported it lately.
    pub waiting: u32,
    /// Factor by which the server takes longer than usual.
    pub slowness: f64,
}

/// Estimated time until a server begins with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StartEstimate {
    /// Time in which the prompts before it are computed, in milliseconds.
    pub compute_ms: f64,
    /// Time until a slot is free, in milliseconds.
    pub slot_ms: f64,
    /// Prompt tokens that are computed before it.
    pub tokens_ahead: u64,
}

impl StartEstimate {
    /// Estimates the start of a request at a server.
    #[must_use]
    pub fn of(work: &ServerWork, service: &ServiceSpeed) -> Self {
        let compute_ms = service.compute_ms(work.uncomputed_tokens as f64) * work.slowness;
        let slots = f64::from(work.slots);
        let excess = (work.requests + 1.0 - slots).max(0.0);
        let slot_ms = if slots > 0.0 {
            excess * service.hold_ms() / slots
        } else {
            0.0
        };
        Self {
            compute_ms,
            slot_ms,
            tokens_ahead: work.uncomputed_tokens,
        }
    }

    /// Returns the time until the start, in milliseconds. Prompts are computed while a request
    /// waits for a slot, so the longer time counts.
    #[must_use]
    pub fn start_ms(&self) -> f64 {
        self.compute_ms.max(self.slot_ms)
    }
}

/// Tokens of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptTokens {
    /// Tokens that other requests can share, so that they may be cached.
    pub shared: u32,
    /// Tokens of this request alone.
    pub unshared: u32,
}

/// A server that may be selected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Estimated start of the request.
    pub estimate: StartEstimate,
    /// Factor by which the server takes longer than usual.
    pub slowness: f64,
    /// Tokens in the server's memory.
    pub memory_tokens: f64,
}

/// What a prompt requires of the selected server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Requirement {
    /// Latency target of the request.
    pub latency_target: Duration,
    /// Tokens of the prompt.
    pub prompt: PromptTokens,
    /// Speed of the service's engines.
    pub service: ServiceSpeed,
    /// Memory capacity of an engine in tokens. Zero if it is not known.
    pub capacity_tokens: u64,
    /// Largest number of tokens in memory at which a server is still given the prompt.
    pub memory_limit_tokens: f64,
}

impl Requirement {
    /// Returns the time until the prompt itself is computed, and its first event is sent, in
    /// milliseconds.
    pub(crate) fn first_event_ms(&self, candidate: &Candidate, is_first_in_rank: bool) -> f64 {
        let shared_fraction = if is_first_in_rank {
            0.0
        } else {
            SHARED_COMPUTED_FRACTION
        };
        let tokens =
            f64::from(self.prompt.unshared) + f64::from(self.prompt.shared) * shared_fraction;
        candidate.estimate.start_ms() + self.service.compute_ms(tokens) * candidate.slowness
    }

    /// Returns the index of the selected server among candidates in the order of their ranks: the
    /// first one that begins early enough for the latency target, or whose first event is not much
    /// later than the earliest one. Servers with much more in memory than the others come last.
    /// Returns `None` if none has room.
    #[must_use]
    pub fn choose(&self, ranked: &[Candidate]) -> Option<usize> {
        self.choose_among(ranked, &|_| true)
            .or_else(|| self.choose_within(ranked, self.memory_limit_tokens, &|_| true))
    }

    /// Returns the index of the selected server, as [`Self::choose`] does, among the candidates for
    /// whose index `is_allowed` returns true. Returns `None` if these have much more in memory than
    /// all candidates have on average.
    #[must_use]
    pub fn choose_among(
        &self,
        ranked: &[Candidate],
        is_allowed: &dyn Fn(usize) -> bool,
    ) -> Option<usize> {
        let total: f64 = ranked.iter().map(|candidate| candidate.memory_tokens).sum();
        let mean = total / ranked.len().max(1) as f64;
        let slack = self.capacity_tokens as f64 * MEMORY_SLACK_FRACTION;
        let memory_bound_tokens = (mean * MEMORY_FACTOR + slack).min(self.memory_limit_tokens);
        self.choose_within(ranked, memory_bound_tokens, is_allowed)
    }

    fn choose_within(
        &self,
        ranked: &[Candidate],
        memory_limit_tokens: f64,
        is_allowed: &dyn Fn(usize) -> bool,
    ) -> Option<usize> {
        let with_room = || {
            let has_room = |(index, candidate): &(usize, &Candidate)| {
                candidate.memory_tokens <= memory_limit_tokens && is_allowed(*index)
            };
            ranked.iter().enumerate().filter(has_room)
        };
        let earliest_ms = with_room()
            .map(|(index, candidate)| self.first_event_ms(candidate, index == 0))
            .min_by(f64::total_cmp)?;
        let target_ms = self.latency_target.as_secs_f64() * 1000.0;
        let later_ms = earliest_ms * LATER_FACTOR + target_ms * LATER_FRACTION;
        let is_early_enough = |(index, candidate): &(usize, &Candidate)| {
            candidate.estimate.start_ms() <= target_ms * EARLY_START_FRACTION
                || self.first_event_ms(candidate, *index == 0) <= later_ms
        };
        with_room().find(is_early_enough).map(|(index, _)| index)
    }
}
