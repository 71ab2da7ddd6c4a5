//! Client of the stores, which hold KV blocks outside of the engines.

use crate::connection::ConnectionSettings;
use crate::exchange::CallOptions;
use crate::json::{JsonClient, PlatformError};
use crate::kv::KvBlock;
use crate::pool::PoolCounters;
use http::StatusCode;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Storage tier of a store instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Tier {
    /// Main memory.
    #[default]
    Memory,
    /// Disk of the instance.
    Disk,
}

/// Sealed block in the listing of a store instance.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct StoredBlock {
    /// Key in hexadecimal digits.
    pub key: String,
    /// Generation, assigned by [`StoreClient::prepare`]. A block that replaces this one has
    /// another.
    pub generation: u64,
    /// Tier that holds the block.
    pub tier: Tier,
    /// Number of tokens that the block covers.
    pub tokens: u64,
    /// Size in bytes, as charged to the tier.
    pub bytes: u64,
}

/// Page of the listing of a store instance, with the use of its tiers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct StoreListing {
    /// Number of all sealed blocks in the store.
    pub total: u64,
    /// Blocks of this page.
    pub blocks: Vec<StoredBlock>,
    /// Capacity of the memory tier in bytes.
    pub memory_bytes: u64,
    /// Bytes in use in the memory tier.
    pub memory_used_bytes: u64,
    /// Capacity of the disk tier in bytes.
    pub disk_bytes: u64,
    /// Bytes in use in the disk tier.
    pub disk_used_bytes: u64,
}

quick_error! {
    /// Error of a call to a store.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum StoreError {
        /// The call failed, or the store answered with an unexpected status.
        Platform(error: PlatformError) {
            display("{}", error)
            from()
        }
        /// The requested tier has no space for the block.
        Full {
            display("the tier is full")
        }
        /// The store holds no sealed block with this key and generation, or the block to be written
        /// or sealed is no longer prepared.
        NotHeld {
            display("the store does not hold the block")
        }
        /// The block read has another key or generation, or its content does not match its digest.
        WrongBlock {
            display("the store returned another or a corrupted block")
        }
    }
}

#[derive(Deserialize)]
struct PrepareAnswer {
    generation: u64,
}

/// Client of one store instance.
#[derive(Clone, Debug)]
pub struct StoreClient {
    json: JsonClient,
    options: CallOptions,
}

impl StoreClient {
    /// Creates a client that makes each call with `options`. Since a block may be transferred
    /// without intermediate progress, [`CallOptions::silence_timeout`] must exceed the transfer
    /// time.
    #[must_use]
    pub fn new(addr: SocketAddr, settings: ConnectionSettings, options: CallOptions) -> Self {
        Self {
            json: JsonClient::new(addr, settings),
            options,
        }
    }

    /// Lists up to `max` sealed blocks, starting at position `from` of the whole listing.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Platform`] if there is no valid answer.
    pub async fn list(&self, from: u64, max: u64) -> Result<StoreListing, StoreError> {
        let path = format!("/blocks?from={from}&max={max}");
        Ok(self.json.get(&path, &self.options).await?)
    }

    /// Reads a sealed block and verifies its key, generation and digest.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NotHeld`] or [`StoreError::WrongBlock`], after which the block has to
    /// be recomputed, and [`StoreError::Platform`] if there is no valid answer.
    pub async fn get(&self, key: &str, generation: u64) -> Result<KvBlock, StoreError> {
        let path = format!("/blocks/{key}?generation={generation}");
        let block: KvBlock = self
            .json
            .get(&path, &self.options)
            .await
            .map_err(store_error)?;
        let digest = blake3::hash(block.content.as_bytes()).to_hex();
        let is_requested_block =
            block.key == key && block.generation == generation && block.digest == digest.as_str();
        is_requested_block
            .then_some(block)
            .ok_or(StoreError::WrongBlock)
    }

    /// Reserves `bytes` in a tier for a block of `tokens` tokens and returns its generation.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Full`] if the tier has no space.
    pub async fn prepare(
        &self,
        key: &str,
        tier: Tier,
        bytes: u64,
        tokens: u64,
    ) -> Result<u64, StoreError> {
        let body = json!({"tier": tier, "bytes": bytes, "tokens": tokens});
        let prepared: PrepareAnswer = self.post(key, "prepare", &body).await?;
        Ok(prepared.generation)
    }

    /// Writes the content of a prepared block.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NotHeld`] if the block is no longer prepared.
    pub async fn write(&self, key: &str, generation: u64, content: &str) -> Result<(), StoreError> {
        let body = json!({"generation": generation, "content": content});
        self.post::<Value>(key, "write", &body).await.map(drop)
    }

    /// Seals a written block. Only sealed blocks can be read.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NotHeld`] if the block was not written or is no longer held.
    pub async fn seal(&self, key: &str, generation: u64) -> Result<(), StoreError> {
        let body = json!({"generation": generation});
        self.post::<Value>(key, "seal", &body).await.map(drop)
    }

    /// Removes a block and frees its space.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NotHeld`] if the store does not hold this generation.
    pub async fn free(&self, key: &str, generation: u64) -> Result<(), StoreError> {
        let body = json!({"generation": generation});
        self.post::<Value>(key, "free", &body).await.map(drop)
    }

    /// Returns the counters of the connections to the store.
    #[must_use]
    pub fn counters(&self) -> PoolCounters {
        self.json.counters()
    }

    async fn post<T: serde::de::DeserializeOwned>(
        &self,
        key: &str,
        action: &str,
        body: &Value,
    ) -> Result<T, StoreError> {
        let path = format!("/blocks/{key}/{action}");
        let answer = self.json.post(&path, body, &self.options).await;
        answer.map_err(store_error)
    }
}

fn store_error(error: PlatformError) -> StoreError {
    let PlatformError::Status(status, _) = error else {
        return StoreError::Platform(error);
    };
    match StatusCode::from_u16(status) {
        Ok(StatusCode::INSUFFICIENT_STORAGE) => StoreError::Full,
        Ok(StatusCode::NOT_FOUND | StatusCode::CONFLICT) => StoreError::NotHeld,
        _ => StoreError::Platform(error),
    }
}
