//! Client of store instances.

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

/// Tier of a store instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Tier {
    /// Memory.
    #[default]
    Memory,
    /// Disk.
    Disk,
}

/// A sealed block of a store instance.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct StoredBlock {
    /// Key in hexadecimal digits.
    pub key: String,
    /// Generation.
    pub generation: u64,
    /// Tier.
    pub tier: Tier,
    /// Tokens.
    pub tokens: u64,
    /// Size.
    pub bytes: u64,
}

/// Part of the listing of a store instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct StoreListing {
    /// Number of sealed blocks in the store.
    pub total: u64,
    /// The blocks.
    pub blocks: Vec<StoredBlock>,
    /// Capacity of the memory tier.
    pub memory_bytes: u64,
    /// Part of the memory tier in use.
    pub memory_used_bytes: u64,
    /// Capacity of the disk tier.
    pub disk_bytes: u64,
    /// Part of the disk tier in use.
    pub disk_used_bytes: u64,
}

quick_error! {
    /// Why a store did not do what it was asked for.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum StoreError {
        /// The call failed.
        Platform(error: PlatformError) {
            display("{}", error)
            from()
        }
        /// The tier is full.
        Full {
            display("the tier is full")
        }
        /// The store holds no sealed block with this key and generation, or has freed the block that
        /// was to be written.
        NotHeld {
            display("the store does not hold the block")
        }
        /// The block read is another one, incomplete or corrupted.
        WrongBlock {
            display("the block differs from the one asked for")
        }
    }
}

#[derive(Deserialize)]
struct Prepared {
    generation: u64,
}

/// Client of one store instance.
#[derive(Clone, Debug)]
pub struct StoreClient {
    json: JsonClient,
    options: CallOptions,
}

impl StoreClient {
    /// Creates a client. `options.silence_timeout` has to allow for the time of a transfer.
    #[must_use]
    pub fn new(addr: SocketAddr, settings: ConnectionSettings, options: CallOptions) -> Self {
        Self {
            json: JsonClient::new(addr, settings),
            options,
        }
    }

    /// Lists up to `max` sealed blocks from a position on.
    ///
    /// # Errors
    ///
    /// [`StoreError::Platform`] if there is no valid answer.
    pub async fn list(&self, from: u64, max: u64) -> Result<StoreListing, StoreError> {
        let path = format!("/blocks?from={from}&max={max}");
        Ok(self.json.get(&path, &self.options).await?)
    }

    /// Reads a block and checks key, generation and digest.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotHeld`] or [`StoreError::WrongBlock`]; both cost a recompute.
    pub async fn get(&self, key: &str, generation: u64) -> Result<KvBlock, StoreError> {
        let path = format!("/blocks/{key}?generation={generation}");
        let block: KvBlock = self
            .json
            .get(&path, &self.options)
            .await
            .map_err(store_error)?;
        let digest = blake3::hash(block.content.as_bytes()).to_hex();
        let is_right =
            block.key == key && block.generation == generation && block.digest == digest.as_str();
        is_right.then_some(block).ok_or(StoreError::WrongBlock)
    }

    /// Reserves space for a block and returns its generation.
    ///
    /// # Errors
    ///
    /// [`StoreError::Full`] if the tier has no space.
    pub async fn prepare(
        &self,
        key: &str,
        tier: Tier,
        bytes: u64,
        tokens: u64,
    ) -> Result<u64, StoreError> {
        let body = json!({"tier": tier, "bytes": bytes, "tokens": tokens});
        let prepared: Prepared = self.post(key, "prepare", &body).await?;
        Ok(prepared.generation)
    }

    /// Writes the content of a prepared block.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotHeld`] if the block is no longer prepared.
    pub async fn write(&self, key: &str, generation: u64, content: &str) -> Result<(), StoreError> {
        let body = json!({"generation": generation, "content": content});
        self.post::<Value>(key, "write", &body).await.map(drop)
    }

    /// Seals a written block, after which it can be read.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotHeld`] if the block was not written or is no longer held.
    pub async fn seal(&self, key: &str, generation: u64) -> Result<(), StoreError> {
        let body = json!({"generation": generation});
        self.post::<Value>(key, "seal", &body).await.map(drop)
    }

    /// Frees a block.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotHeld`] if the store does not hold it.
    pub async fn free(&self, key: &str, generation: u64) -> Result<(), StoreError> {
        let body = json!({"generation": generation});
        self.post::<Value>(key, "free", &body).await.map(drop)
    }

    /// Counters of the connections.
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
