//! Messages of the engine's HTTP interface.

use serde::{Deserialize, Serialize};

/// Field `anvilgw` of a completion request: what the gateway tells the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Extension {
    /// Identifier of the request, repeated in each event.
    pub request_id: String,
    /// Number of the attempt, repeated in each event.
    pub attempt: u64,
    /// Keys of the KV blocks of the prompt, in order.
    pub blocks: Vec<String>,
    /// Number of tokens in a full block. 0 is read as 1.
    pub block_tokens: u64,
    /// Blocks that the engine may import instead of computing them.
    pub import: Vec<ImportBlock>,
    /// Position of the first token to send.
    pub resume_from: u64,
    /// Priority. Queued requests with a higher value start first.
    pub priority: i32,
    /// Weight version that the block keys belong to; 0 for any. The engine refuses another version
    /// than its own with status 409.
    pub weight_version: u64,
}

/// A KV block that another engine or a store holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportBlock {
    /// Key of the block.
    pub key: String,
    /// Where to fetch the block: `engine:ADDR` or `store:ADDR`.
    pub source: String,
    /// Generation of the block in the store; 0 for a block of an engine.
    #[serde(default)]
    pub generation: u64,
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer, including those before `resume_from`.
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
    /// Whether the engine withstands its full load. A cold engine crashes under it.
    pub warm: bool,
    /// Version of the loaded weights.
    pub weight_version: u64,
    /// Whether weights are being loaded, during which new requests are refused.
    pub loading: bool,
    /// Role set by the last `SetRole` order; empty without one.
    pub role: String,
    /// Tokens held in the prefix cache.
    pub cached_tokens: u64,
    /// Requests completed since the start of the process.
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
    /// Sequence number. A gap in the numbers shows that an event was lost.
    pub sequence: u64,
    /// Change that the event reports.
    #[serde(flatten)]
    pub change: CacheChange,
}

/// Answer to `GET /control/events`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Start of the process in milliseconds since 1970. Sequence numbers restart with each process.
    pub start_ms: u64,
    /// Sequence number of the oldest event that is still kept.
    pub first: u64,
    /// Value of `from` for the next read.
    pub next: u64,
    /// Events in the order of their sequence numbers.
    pub events: Vec<CacheEvent>,
}

/// A change of weights or role that an engine is ordered to make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Loads a model. New requests are refused meanwhile.
    LoadModel {
        /// Name of the model.
        model: String,
    },
    /// Loads an adapter. Requests are served meanwhile.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Loads another version of the weights and clears the prefix cache. New requests are refused
    /// meanwhile.
    LoadVersion {
        /// Version to load.
        version: u64,
    },
    /// Changes the role at once.
    SetRole {
        /// New role.
        role: String,
    },
}

/// An order and the fencing token of the lease under which it was issued.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Fencing token of the lease. An engine rejects a lower one than the highest it has seen.
    pub token: u64,
    /// What the engine is ordered to do.
    pub order: Order,
}

/// Answer to `GET /control/orders`: the accepted orders and their result.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Highest fencing token seen.
    pub highest_token: u64,
    /// Accepted orders, oldest first.
    pub taken: Vec<FencedOrder>,
    /// Whether an order that loads a model or a weight version is being executed.
    pub loading: bool,
    /// Loaded models. If empty, the engine serves every model.
    pub models: Vec<String>,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Version of the loaded weights.
    pub weight_version: u64,
    /// Role set by the last `SetRole` order; empty without one.
    pub role: String,
}
