//! Metadata that the gateway exchanges with clients and backend servers in the heads of messages.

use crate::caches::PartPlan;
use crate::request_limit::RequestRate;
use std::time::Duration;

/// A part of a prompt: the unit in which prompts are cached and transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// [`name_hash`](crate::caches::name_hash) of the part's identifier.
    pub id_hash: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// The prompt of a generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Name of the model that generates.
    pub model: String,
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// Largest number of tokens to generate.
    pub output_tokens_max: u32,
    /// Parts of the prompt in order. The last one belongs to this request or its session alone.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the tokens that the request is expected to occupy on an engine: the prompt and
    /// half of the longest output.
    #[must_use]
    pub fn footprint_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens_max) / 2
    }

    /// Returns the hash that sends requests of one session to the same server: that of the last
    /// part that other requests can share. The part after it belongs to this request alone.
    #[must_use]
    pub fn affinity(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(2);
        self.parts.get(shared).map(|part| part.id_hash)
    }

    /// Returns the number of prompt tokens that no other request shares.
    #[must_use]
    pub fn unshared_tokens(&self) -> u32 {
        let shared: u32 = self.shared_parts().iter().map(|part| part.tokens).sum();
        self.prompt_tokens.saturating_sub(shared)
    }

    /// Returns the parts that other requests can share.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }
}

/// Metadata in the head of a client's request, apart from the method, the path and headers that
/// are passed through.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMeta {
    /// Identifier that the client has given to this attempt.
    pub id: String,
    /// Time that the client waits for the answer.
    pub deadline: Option<Duration>,
    /// API key of the client.
    pub key: Option<String>,
    /// Number of the last event that the client has received, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Prompt, if the request is a generation.
    pub prompt: Option<Prompt>,
}

/// Metadata that the gateway adds to a request to a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForwardMeta<'a> {
    /// Time that remains for the backend server to answer.
    pub remaining: Duration,
    /// Identifier of the only backend server that may execute the request.
    pub server_id: &'a str,
    /// Workspace of the client.
    pub workspace: Option<&'a str>,
    /// Scope of the cache. Cached prompts are shared only by requests with the same scope.
    pub cache_scope: Option<&'a str>,
    /// Rank among the requests of the backend server; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// Version of the weights that the request requires.
    pub weight_version: Option<u64>,
    /// Number of the last event that the client has received, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Sources and cache stores of the shared parts of the prompt, in the order of the parts.
    pub parts: &'a [PartPlan],
    /// Time on the servers' clock, in milliseconds, after which the backend server computes
    /// parts instead of waiting for their transfer.
    pub fetch_until_ms: Option<u64>,
}

/// Load that a backend server reports with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of requests in execution.
    pub running: u32,
    /// Number of requests in the backend server's queue.
    pub waiting: u32,
    /// Number of requests that the backend server executes concurrently.
    pub slots: u32,
    /// Time that the backend server takes for its work at present, in percent of the usual time,
    /// if it reports it.
    pub work_percent: Option<u32>,
}

/// Notice in an answer of a backend server about further requests of this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// The backend server is draining and takes no new work.
    pub is_draining: bool,
    /// Time for which the backend server asks for no requests, because it is overloaded and
    /// rejected this one.
    pub backoff: Option<Duration>,
    /// Requests per second that the backend server takes from all daemons together.
    pub request_limit: Option<RequestRate>,
}

/// Metadata in the head of a backend server's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerMeta {
    /// Identifier of the request that the answer belongs to.
    pub request_id: Option<String>,
    /// Identifier of the backend server, if the answer names it.
    pub server_id: Option<String>,
    /// The backend server states that it did not execute the request.
    pub is_not_executed: bool,
    /// The answer carries the signature of a backend server.
    pub is_signed: bool,
    /// Load of the backend server, if it reports it.
    pub load: Option<ReportedLoad>,
    /// Remaining time of the backend server's cold start, if it reports it.
    pub cold_for: Option<Duration>,
    /// Notice about further requests.
    pub notice: ServerNotice,
}
