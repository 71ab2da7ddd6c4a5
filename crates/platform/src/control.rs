//! Client of the control interface of model engines: load reports, cache events, orders and
//! transfers of KV blocks.

use crate::connection::ConnectionSettings;
use crate::exchange::CallOptions;
use crate::json::{JsonClient, PlatformError};
use crate::kv::{KvBlock, KvImport};
use crate::store::Tier;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::net::SocketAddr;

/// Load report of an engine. It may be out of date when it is received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineLoad {
    /// Start time of the engine process, in milliseconds since the Unix epoch. It changes with each
    /// restart, after which the engine is cold.
    pub start_ms: u64,
    /// Number of requests in the running batch.
    pub running: u64,
    /// Number of requests that wait for a place in the batch.
    pub queued: u64,
    /// Number of prompt tokens whose prefill is still to be computed.
    pub prefill_tokens: u64,
    /// Whether the engine is warm, so that it can take its full load.
    pub warm: bool,
    /// Version of the loaded weights.
    pub weight_version: u64,
    /// Whether the engine is loading weights. It refuses new requests meanwhile.
    pub loading: bool,
    /// Role set by the last [`Order::SetRole`].
    pub role: String,
    /// Number of tokens in the prefix cache.
    pub cached_tokens: u64,
    /// Number of requests completed since the process started.
    pub completed: u64,
}

/// A change of the prefix cache of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum CacheChange {
    /// A block was added to the cache.
    Stored {
        /// Key of the block.
        key: String,
    },
    /// A block was evicted.
    Evicted {
        /// Key of the block.
        key: String,
    },
    /// All blocks were removed, because other weights were loaded, for example.
    Cleared,
}

/// Event that reports a change of the prefix cache of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event.
    pub sequence: u64,
    /// Change that the event reports.
    #[serde(flatten)]
    pub change: CacheChange,
}

/// Cache events of an engine from a sequence number on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Start time of the engine process, as in [`EngineLoad::start_ms`]. Sequence numbers begin
    /// anew with each start.
    pub start_ms: u64,
    /// Sequence number of the oldest event that the engine still holds.
    pub first: u64,
    /// Sequence number from which the next read continues.
    pub next: u64,
    /// Events in the order of their sequence numbers.
    pub events: Vec<CacheEvent>,
}

impl CacheEvents {
    /// Returns the number of events between `from` and [`CacheEvents::next`] that were lost.
    #[must_use]
    pub fn missing_events(&self, from: u64) -> u64 {
        let range = self.next.saturating_sub(from);
        range.saturating_sub(self.events.len() as u64)
    }
}

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Loads a model.
    LoadModel {
        /// Name of the model.
        model: String,
    },
    /// Loads an adapter.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Loads a version of the weights.
    LoadVersion {
        /// Version of the weights.
        version: u64,
    },
    /// Changes the role of the engine.
    SetRole {
        /// New role.
        role: String,
    },
}

/// State of an engine as set by its orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OrderState {
    /// Highest fencing token that the engine has seen. Orders with a lower one are rejected.
    pub highest_token: u64,
    /// Whether the engine is executing an order.
    pub loading: bool,
    /// Loaded models; empty if the engine serves every model.
    pub models: Vec<String>,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Version of the loaded weights.
    pub weight_version: u64,
    /// Role of the engine.
    pub role: String,
}

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine accepted the order and will execute it.
    Taken,
    /// The engine rejected the order, because it has seen this higher fencing token: a newer lease
    /// holder has given orders.
    OldToken(u64),
}

/// Result of an import of KV blocks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ImportResult {
    /// Keys of the blocks that are now in the prefix cache.
    pub imported: Vec<String>,
    /// Blocks that were not imported.
    pub refused: Vec<RefusedImport>,
}

/// A block that was not imported.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct RefusedImport {
    /// Key of the block.
    pub key: String,
    /// Reason in words, not meant to be parsed.
    pub reason: String,
}

/// Result of an export of KV blocks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ExportResult {
    /// Exported blocks. If they were written to a store, they carry their generation there.
    pub blocks: Vec<KvBlock>,
    /// Keys of the blocks that the engine does not hold.
    pub missing: Vec<String>,
}

#[derive(Deserialize)]
struct FencingTokenAnswer {
    highest_token: u64,
}

/// Client of the control interface of one engine.
#[derive(Clone, Debug)]
pub struct EngineControl {
    json: JsonClient,
}

impl EngineControl {
    /// Creates a client. Connections are opened on demand.
    #[must_use]
    pub fn new(addr: SocketAddr, settings: ConnectionSettings) -> Self {
        Self {
            json: JsonClient::new(addr, settings),
        }
    }

    /// Reads the load report of the engine.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if there is no valid answer.
    pub async fn load_report(&self) -> Result<EngineLoad, PlatformError> {
        self.json
            .get("/control/load", &CallOptions::default())
            .await
    }

    /// Reads the cache events from sequence number `from` on.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if there is no valid answer.
    pub async fn cache_events(&self, from: u64) -> Result<CacheEvents, PlatformError> {
        let path = format!("/control/events?from={from}");
        self.json.get(&path, &CallOptions::default()).await
    }

    /// Reads the state that the orders have led to.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if there is no valid answer.
    pub async fn order_state(&self) -> Result<OrderState, PlatformError> {
        self.json
            .get("/control/orders", &CallOptions::default())
            .await
    }

    /// Sends an order with the fencing token of the lease under which it is given.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if there is no valid answer. Its stage tells whether the engine
    /// may have accepted the order.
    pub async fn send_order(
        &self,
        token: u64,
        order: &Order,
    ) -> Result<OrderAnswer, PlatformError> {
        let body = json!({"token": token, "order": order});
        let answer: Result<FencingTokenAnswer, _> = self
            .json
            .post("/control/orders", &body, &CallOptions::default())
            .await;
        match answer {
            Ok(_) => Ok(OrderAnswer::Taken),
            Err(PlatformError::Status(status, detail)) if status == StatusCode::CONFLICT => {
                let answer: FencingTokenAnswer = serde_json::from_str(&detail)
                    .map_err(|error| PlatformError::Protocol(error.to_string()))?;
                Ok(OrderAnswer::OldToken(answer.highest_token))
            }
            Err(error) => Err(error),
        }
    }

    /// Lets the engine import blocks into its prefix cache. [`CallOptions::silence_timeout`] must
    /// exceed the transfer time.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if there is no valid answer.
    pub async fn import_blocks(
        &self,
        blocks: &[KvImport],
        options: &CallOptions,
    ) -> Result<ImportResult, PlatformError> {
        let body = json!({"blocks": blocks});
        self.json.post("/control/kv/import", &body, options).await
    }

    /// Exports blocks from the prefix cache: to a tier of the store `to`, or in the answer if it is
    /// `None`. [`CallOptions::silence_timeout`] must exceed the transfer time.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if there is no valid answer.
    pub async fn export_blocks(
        &self,
        keys: &[String],
        to: Option<(SocketAddr, Tier)>,
        options: &CallOptions,
    ) -> Result<ExportResult, PlatformError> {
        let (store, tier) = to.unzip();
        let body = json!({"keys": keys, "to": store, "tier": tier});
        self.json.post("/control/kv/export", &body, options).await
    }
}
