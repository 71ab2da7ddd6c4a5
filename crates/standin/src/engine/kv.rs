//! Export and import of KV blocks between engines and stores.

use super::EngineStandin;
use super::answer::kv_content;
use super::protocol::{Extension, ImportBlock};
use crate::pause::pause_until;
use crate::server::{Reply, StandinRequest};
use futures_util::future::join_all;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Content of a block that is exported under the fault `wrong_kv_probability`.
const WRONG_CONTENT: &str = "wrong";

/// A KV block as engines and stores transfer it. The content is a short substitute for the KV data,
/// whose size is `bytes`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KvBlock {
    /// Key of the block.
    pub key: String,
    /// Generation in the store; 0 for a block that an engine returns.
    pub generation: u64,
    /// Number of tokens that the block covers.
    pub tokens: u64,
    /// Size that counts towards link bandwidth and tier capacity.
    pub bytes: u64,
    /// Content; see [`kv_content`].
    pub content: String,
    /// BLAKE3 hash in hexadecimal digits of the correct content (engine) or of the content at the
    /// time of the seal (store).
    pub digest: String,
}

impl KvBlock {
    /// Returns whether the block has the given key and generation and its content matches the
    /// digest.
    #[must_use]
    pub fn matches(&self, key: &str, generation: u64) -> bool {
        self.key == key
            && self.generation == generation
            && self.digest == blake3::hash(self.content.as_bytes()).to_hex().as_str()
    }
}

#[derive(Deserialize)]
struct ExportBody {
    keys: Vec<String>,
    /// Store to write the blocks to before they are returned. Without it they are only returned.
    to: Option<SocketAddr>,
    #[serde(default)]
    tier: Option<String>,
}

#[derive(Deserialize)]
struct ExportAnswer {
    blocks: Vec<KvBlock>,
}

#[derive(Deserialize)]
struct ImportBody {
    blocks: Vec<ImportBlock>,
}

#[derive(Deserialize)]
struct PrepareAnswer {
    generation: u64,
}

impl EngineStandin {
    /// Imports the blocks that a request names as importable and that are not cached. Returns the
    /// number of tokens imported; a block that cannot be imported is left to the prefill.
    pub(super) async fn import_for(&self, extension: &Extension, prompt_tokens: u64) -> u64 {
        let wanted = extension.import.iter().filter(|import| {
            extension.blocks.contains(&import.key) && !self.has_block(&import.key)
        });
        let imports = wanted.map(|import| async {
            let index = extension.blocks.iter().position(|k| *k == import.key)?;
            let start = index as u64 * extension.block_tokens;
            let tokens = prompt_tokens
                .saturating_sub(start)
                .min(extension.block_tokens);
            self.import_block(import, Some(tokens)).await.ok()
        });
        join_all(imports).await.into_iter().flatten().sum()
    }

    /// Fetches a block, checks it and adds it to the cache. Returns its number of tokens.
    async fn import_block(&self, import: &ImportBlock, tokens: Option<u64>) -> Result<u64, String> {
        let fetched = self.fetch(import).await.and_then(|block| {
            let is_checked = self.config.verify_imports;
            if is_checked && !block.matches(&import.key, import.generation) {
                return Err("the block does not match its key, generation or digest".to_owned());
            }
            Ok(block)
        });
        let mut state = self.state();
        let state = &mut *state;
        let block = fetched.inspect_err(|_| state.counters.imports_refused += 1)?;
        if block.content != kv_content(&import.key) {
            state.counters.wrong_blocks += 1;
        }
        let tokens = tokens.unwrap_or(block.tokens);
        let changes = state
            .cache
            .store(&import.key, tokens, self.config.cache_tokens);
        self.record_changes(&mut state.events, changes);
        Ok(tokens)
    }

    async fn fetch(&self, import: &ImportBlock) -> Result<KvBlock, String> {
        let (kind, addr) = import
            .source
            .split_once(':')
            .ok_or("source without a kind before `:`")?;
        let addr: SocketAddr = addr.parse().map_err(|_| "source without a valid address")?;
        match kind {
            "engine" => {
                let body = json!({"keys": [import.key]});
                let answer: ExportAnswer = self
                    .http_client
                    .post(addr, "/control/kv/export", &body)
                    .await?;
                let block = answer.blocks.into_iter().next();
                block.ok_or_else(|| "the engine does not hold the block".to_owned())
            }
            "store" => {
                let path = format!("/blocks/{}?generation={}", import.key, import.generation);
                self.http_client.get(addr, &path).await
            }
            _ => Err("unknown kind of source".to_owned()),
        }
    }

    /// Handles `POST /control/kv/import`.
    pub(super) async fn import(&self, request: &StandinRequest) -> Reply {
        let Ok(body) = serde_json::from_slice::<ImportBody>(&request.body) else {
            return Reply::error(
                StatusCode::BAD_REQUEST,
                "the body is not a JSON object with a list of blocks",
            );
        };
        let (mut imported, mut refused) = (Vec::new(), Vec::new());
        for block in &body.blocks {
            match self.import_block(block, None).await {
                Ok(_) => imported.push(&block.key),
                Err(reason) => refused.push(json!({"key": block.key, "reason": reason})),
            }
        }
        Reply::ok(&json!({"imported": imported, "refused": refused}))
    }

    /// Handles `POST /control/kv/export`.
    pub(super) async fn export(&self, request: &StandinRequest) -> Reply {
        let Ok(body) = serde_json::from_slice::<ExportBody>(&request.body) else {
            return Reply::error(
                StatusCode::BAD_REQUEST,
                "the body is not a JSON object with a list of keys",
            );
        };
        let (mut blocks, mut missing) = (Vec::new(), Vec::new());
        for key in body.keys {
            match self.read_block(&key) {
                Some(block) => blocks.push(block),
                None => missing.push(key),
            }
        }
        self.transmit(blocks.iter().map(|block| block.bytes).sum())
            .await;
        if let Some(store) = body.to {
            let tier = body.tier.as_deref().unwrap_or("memory");
            for block in &mut blocks {
                match self.write_to_store(store, tier, block).await {
                    Ok(generation) => block.generation = generation,
                    Err(reason) => return Reply::error(StatusCode::BAD_GATEWAY, &reason),
                }
            }
        }
        Reply::ok(&json!({"blocks": blocks, "missing": missing}))
    }

    fn read_block(&self, key: &str) -> Option<KvBlock> {
        let state = self.state();
        let tokens = state.cache.tokens_of(key)?;
        let content = kv_content(key);
        let digest = blake3::hash(content.as_bytes()).to_hex().to_string();
        let is_wrong = self.fault_rng.chance(state.faults.wrong_kv_probability);
        Some(KvBlock {
            key: key.to_owned(),
            generation: 0,
            tokens,
            bytes: tokens * self.config.kv_bytes_per_token,
            content: if is_wrong {
                WRONG_CONTENT.to_owned()
            } else {
                content
            },
            digest,
        })
    }

    /// Waits as long as the transfer of the bytes over the engine's link takes.
    async fn transmit(&self, bytes: u64) {
        let slowed = self.state().faults.link_bytes_per_s;
        let rate = if slowed > 0 {
            slowed
        } else {
            self.config.link_bytes_per_s
        };
        let end = self.link.lock().expect("link lock").reserve(bytes, rate);
        pause_until(end).await;
        self.state().counters.exported_bytes += bytes;
    }

    async fn write_to_store(
        &self,
        store: SocketAddr,
        tier: &str,
        block: &KvBlock,
    ) -> Result<u64, String> {
        let path = format!("/blocks/{}", block.key);
        let body = json!({"tier": tier, "bytes": block.bytes, "tokens": block.tokens});
        let prepared: PrepareAnswer = self
            .http_client
            .post(store, &format!("{path}/prepare"), &body)
            .await?;
        let generation = prepared.generation;
        let body = json!({"generation": generation, "content": block.content});
        let _: Value = self
            .http_client
            .post(store, &format!("{path}/write"), &body)
            .await?;
        let body = json!({"generation": generation});
        let _: Value = self
            .http_client
            .post(store, &format!("{path}/seal"), &body)
            .await?;
        Ok(generation)
    }
}
