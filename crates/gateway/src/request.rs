//! What the gateway reads from the head of a request and writes into what it forwards.

use crate::caches::PartPlan;
use std::time::Duration;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the identifier of the part.
    pub id_hash: u64,
    /// Tokens of the part.
    pub tokens: u32,
}

/// The prompt of a generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Model that generates.
    pub model: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub output_tokens_max: u32,
    /// Parts in order. The last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Tokens that the request takes up on an engine, half of the longest output included.
    #[must_use]
    pub fn footprint_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens_max) / 2
    }

    /// Hash of the part by which requests of one session find each other's cache: the last one that
    /// other requests can share. The part after it belongs to the request alone.
    #[must_use]
    pub fn affinity(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(2);
        self.parts.get(shared).map(|part| part.id_hash)
    }

    /// Tokens that no other request shares.
    #[must_use]
    pub fn unshared_tokens(&self) -> u32 {
        let shared: u32 = self.shared_parts().iter().map(|part| part.tokens).sum();
        self.prompt_tokens.saturating_sub(shared)
    }

    /// The parts that other requests can share.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }
}

/// What the head of a client's request says, apart from method, path and headers that pass through.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMeta {
    /// Identifier that the client gave to this attempt.
    pub id: String,
    /// Time that the client waits.
    pub deadline: Option<Duration>,
    /// Key of the caller.
    pub key: Option<String>,
    /// Last event that the client has, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Prompt, if the request is a generation.
    pub prompt: Option<Prompt>,
}

/// What the gateway says in a request to a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForwardMeta<'a> {
    /// Time that the backend server has.
    pub remaining: Duration,
    /// The only backend server that may execute the request.
    pub server_id: &'a str,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Cached prompts are found only under the same scope.
    pub cache_scope: Option<&'a str>,
    /// Rank among the requests of the backend server; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// Version of the weights that the request needs.
    pub weight_version: Option<u64>,
    /// Last event that the caller has.
    pub resume_after: Option<u64>,
    /// Stores for the shared parts of the prompt, in their order.
    pub parts: &'a [PartPlan],
    /// Time on the servers' clock, in milliseconds, after which what was read from stores is not
    /// waited for.
    pub fetch_until_ms: Option<u64>,
}

/// Load that a backend server reports with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests in execution.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it executes at once.
    pub slots: u32,
}

/// What a backend server says about further requests of this daemon, with any of its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// It leaves and takes no new work.
    pub is_draining: bool,
    /// It rejected the request because it is overloaded, and wants no requests for this time.
    pub backoff: Option<Duration>,
}

/// What the head of a backend server's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerMeta {
    /// Identifier of the request that the answer belongs to.
    pub request_id: Option<String>,
    /// Identifier of the backend server, where it names itself.
    pub server_id: Option<String>,
    /// The backend server states that it did not execute the request.
    pub is_not_executed: bool,
    /// The answer carries the signature of a backend server.
    pub is_signed: bool,
    /// Load of the backend server.
    pub load: Option<ReportedLoad>,
    /// Time for which the backend server stays cold.
    pub cold_for: Option<Duration>,
    /// What it says about further requests.
    pub notice: ServerNotice,
}
