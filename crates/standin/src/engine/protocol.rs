//! Messages of the engine.

use serde::{Deserialize, Serialize};

/// Field `anvilgw` of a request body.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Extension {
    /// Identifier of the request, repeated in each event.
    pub request_id: String,
    /// Number of the attempt, repeated in each event.
    pub attempt: u64,
    /// Keys of the KV blocks of the prompt, in order.
    pub blocks: Vec<String>,
    /// Tokens of a full block.
    pub block_tokens: u64,
    /// Blocks that the engine may import in place of computing them.
    pub import: Vec<ImportBlock>,
    /// Position of the first token to send.
    pub resume_from: u64,
    /// Requests with a higher priority start first.
    pub priority: i32,
    /// Weight version that the keys belong to; 0 if the caller does not say.
    pub weight_version: u64,
}

/// A KV block held elsewhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportBlock {
    /// Key.
    pub key: String,
    /// `engine:ADDR` or `store:ADDR`.
    pub source: String,
    /// Generation in the store; unused for engines.
    #[serde(default)]
    pub generation: u64,
}

/// Tokens of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer, those before `resume_from` included.
    pub completion_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub reused_tokens: u64,
    /// Prompt tokens imported for this request.
    pub imported_tokens: u64,
    /// Prompt tokens computed. A resumed request also computes the tokens before `resume_from`.
    pub recomputed_tokens: u64,
}

/// Load report of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Start of the process in milliseconds since 1970.
    pub start_ms: u64,
    /// Requests in the batch.
    pub running: u64,
    /// Requests that wait for a place in the batch or for imports.
    pub queued: u64,
    /// Prefill tokens that the requests in the batch and in the queue still need.
    pub prefill_tokens: u64,
    /// Whether the engine sustains its full load.
    pub warm: bool,
    /// Version of the weights.
    pub weight_version: u64,
    /// Whether weights are being loaded, during which new requests are refused.
    pub loading: bool,
    /// Role given by the last order.
    pub role: String,
    /// Tokens held in the prefix cache.
    pub cached_tokens: u64,
    /// Requests completed since the start.
    pub completed: u64,
}

/// A change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum CacheChange {
    /// A block was added.
    Stored {
        /// Key of the block.
        key: String,
    },
    /// A block was removed.
    Evicted {
        /// Key of the block.
        key: String,
    },
    /// All blocks were removed.
    Cleared,
}

/// A numbered change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event. A missing number is an event that was lost.
    pub sequence: u64,
    /// The change.
    #[serde(flatten)]
    pub change: CacheChange,
}

/// Answer to `GET /control/events`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Start of the process; sequence numbers begin anew with each start.
    pub start_ms: u64,
    /// Sequence number of the oldest event that may still be read.
    pub first: u64,
    /// Value of `from` for the next read.
    pub next: u64,
    /// The events, in order.
    pub events: Vec<CacheEvent>,
}

/// What an engine is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Load a model.
    LoadModel {
        /// Name of the model.
        model: String,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Load a version of the weights.
    LoadVersion {
        /// The version.
        version: u64,
    },
    /// Change the role.
    SetRole {
        /// The role.
        role: String,
    },
}

/// An order and the fencing token of the lease under which it was issued.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Fencing token.
    pub token: u64,
    /// The order.
    pub order: Order,
}

/// State of the orders of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Highest fencing token seen.
    pub highest_token: u64,
    /// Orders taken, oldest first.
    pub taken: Vec<FencedOrder>,
    /// Whether an order is being executed.
    pub loading: bool,
    /// Loaded models; empty if the engine serves any.
    pub models: Vec<String>,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Version of the weights.
    pub weight_version: u64,
    /// Role.
    pub role: String,
}
