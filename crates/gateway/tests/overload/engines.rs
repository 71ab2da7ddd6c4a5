//! Engines that compute prompts one after another, as input for the decisions.

use anvilgw_gateway::server_speed::{ServerSpeed, ServiceSpeed, StartSample};
use anvilgw_gateway::start_estimate::{
    Candidate, PromptTokens, Requirement, ServerWork, StartEstimate,
};
use std::time::Duration;

/// Rate of an engine of usual speed, in tokens per millisecond.
pub(crate) const TOKENS_PER_MS: f64 = 80.0;

pub(crate) fn at(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

/// A prompt that an engine computes or has yet to compute.
struct Queued {
    tokens: u64,
    sent_ms: f64,
    ends_ms: f64,
    tokens_ahead: u64,
}

/// An engine, with what a daemon knows of it.
#[derive(Default)]
pub(crate) struct Engine {
    queue: Vec<Queued>,
    pub(crate) speed: ServerSpeed,
    pub(crate) computed: u64,
}

impl Engine {
    pub(crate) fn uncomputed_tokens(&self) -> u64 {
        self.queue.iter().map(|queued| queued.tokens).sum()
    }

    pub(crate) fn work(&self, now_ms: f64) -> ServerWork {
        ServerWork {
            uncomputed_tokens: self.uncomputed_tokens(),
            requests: self.queue.len() as f64,
            slots: 64,
            waiting: self.queue.len().saturating_sub(1) as u32,
            slowness: self.speed.slowness(at(now_ms)),
        }
    }

    /// Queues a prompt that is computed `factor` times as long as usual. Returns the time to its
    /// first event.
    pub(crate) fn send(&mut self, tokens: u64, factor: f64, now_ms: f64) -> f64 {
        let begins_ms = self.queue.last().map_or(now_ms, |last| last.ends_ms);
        let ends_ms = begins_ms.max(now_ms) + tokens as f64 / TOKENS_PER_MS * factor;
        let tokens_ahead = self.uncomputed_tokens();
        self.queue.push(Queued {
            tokens,
            sent_ms: now_ms,
            ends_ms,
            tokens_ahead,
        });
        ends_ms - now_ms
    }

    /// Ends the prompts that are computed by now, and learns from their first events.
    pub(crate) fn advance(&mut self, service: &mut ServiceSpeed, now_ms: f64) {
        let (ended, queue) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|queued| queued.ends_ms <= now_ms);
        self.queue = queue;
        for queued in ended {
            let sample = StartSample {
                tokens: queued.tokens_ahead + queued.tokens,
                elapsed: at(queued.ends_ms - queued.sent_ms),
            };
            self.computed += queued.tokens;
            self.speed
                .on_first_event(&sample, service, at(queued.ends_ms));
            service.on_first_event(&sample, at(queued.ends_ms));
        }
    }
}

pub(crate) fn requirement(service: ServiceSpeed, tokens: u32) -> Requirement {
    Requirement {
        latency_target: Duration::from_millis(400),
        prompt: PromptTokens {
            shared: 0,
            unshared: tokens,
        },
        service,
        capacity_tokens: 0,
        memory_limit_tokens: f64::INFINITY,
    }
}

pub(crate) fn candidate(work: &ServerWork, service: &ServiceSpeed) -> Candidate {
    Candidate {
        estimate: StartEstimate::of(work, service),
        slowness: work.slowness,
        memory_tokens: 0.0,
    }
}
