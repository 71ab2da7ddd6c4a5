//! Control of model engines: load reports, cache events, orders and KV blocks.

use crate::connection::ConnectionSettings;
use crate::exchange::CallOptions;
use crate::json::{JsonClient, PlatformError};
use crate::kv::{KvBlock, KvImport};
use crate::store::Tier;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::net::SocketAddr;

/// Load report of an engine. It describes a moment in the past.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineLoad {
    /// Start of the process in milliseconds since 1970. Another value is a restart, after which the
    /// engine is cold.
    pub start_ms: u64,
    /// Requests in the batch.
    pub running: u64,
    /// Requests that wait.
    pub queued: u64,
    /// Prefill tokens still to be computed.
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

/// A change of the prefix cache of an engine.
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

/// A numbered change of the prefix cache of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event.
    pub sequence: u64,
    /// The change.
    #[serde(flatten)]
    pub change: CacheChange,
}

/// Cache events of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Start of the process. Sequence numbers begin anew with each start.
    pub start_ms: u64,
    /// Number of the oldest event that the engine still holds.
    pub first: u64,
    /// Value of `from` for the next read.
    pub next: u64,
    /// The events, in order.
    pub events: Vec<CacheEvent>,
}

impl CacheEvents {
    /// Number of events between `from` and `next` that were lost.
    #[must_use]
    pub fn missing_events(&self, from: u64) -> u64 {
        let range = self.next.saturating_sub(from);
        range.saturating_sub(self.events.len() as u64)
    }
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

/// State of the orders of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OrderState {
    /// Highest fencing token seen.
    pub highest_token: u64,
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

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order was taken and will be executed.
    Taken,
    /// The order was rejected because the engine has seen this higher fencing token.
    OldToken(u64),
}

/// Result of an import.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ImportResult {
    /// Keys of the blocks that are now in the prefix cache.
    pub imported: Vec<String>,
    /// Blocks that are not.
    pub refused: Vec<RefusedImport>,
}

/// A block that was not imported.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct RefusedImport {
    /// Key.
    pub key: String,
    /// Reason, for people.
    pub reason: String,
}

/// Result of an export.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ExportResult {
    /// The blocks. If they went to a store, they carry the generation there.
    pub blocks: Vec<KvBlock>,
    /// Keys of the blocks that the engine does not hold.
    pub missing: Vec<String>,
}

#[derive(Deserialize)]
struct TokenAnswer {
    highest_token: u64,
}

/// Control client of one engine.
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

    /// Reads the load report.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if there is no valid answer.
    pub async fn load_report(&self) -> Result<EngineLoad, PlatformError> {
        self.json
            .get("/control/load", &CallOptions::default())
            .await
    }

    /// Reads cache events from a sequence number on.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if there is no valid answer.
    pub async fn cache_events(&self, from: u64) -> Result<CacheEvents, PlatformError> {
        let path = format!("/control/events?from={from}");
        self.json.get(&path, &CallOptions::default()).await
    }

    /// Reads the state of the orders.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if there is no valid answer.
    pub async fn order_state(&self) -> Result<OrderState, PlatformError> {
        self.json
            .get("/control/orders", &CallOptions::default())
            .await
    }

    /// Gives an order under a fencing token.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if there is no valid answer. The stage tells whether the order may have been
    /// taken.
    pub async fn send_order(
        &self,
        token: u64,
        order: &Order,
    ) -> Result<OrderAnswer, PlatformError> {
        let body = json!({"token": token, "order": order});
        let answer: Result<TokenAnswer, _> = self
            .json
            .post("/control/orders", &body, &CallOptions::default())
            .await;
        match answer {
            Ok(_) => Ok(OrderAnswer::Taken),
            Err(PlatformError::Status(status, detail)) if status == StatusCode::CONFLICT => {
                let answer: TokenAnswer = serde_json::from_str(&detail)
                    .map_err(|error| PlatformError::Protocol(error.to_string()))?;
                Ok(OrderAnswer::OldToken(answer.highest_token))
            }
            Err(error) => Err(error),
        }
    }

    /// Lets the engine import blocks. `options.silence_timeout` has to allow for the transfer.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if there is no valid answer.
    pub async fn import_blocks(
        &self,
        blocks: &[KvImport],
        options: &CallOptions,
    ) -> Result<ImportResult, PlatformError> {
        let body = json!({"blocks": blocks});
        self.json.post("/control/kv/import", &body, options).await
    }

    /// Exports blocks, to a store if one is given. `options.silence_timeout` has to allow for the transfer.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if there is no valid answer.
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
