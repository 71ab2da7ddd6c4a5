//! Keys of KV blocks and the check of a block before use.
//!
//! A key binds everything the content of a block depends on, so a match across workspaces or weight
//! versions cannot be expressed. What an index or a listing says about a block is only a hint: the
//! reader calls [`verify`] on what it received, and a mismatch costs a recompute.

use anvilgw_core::{ModelId, WorkspaceId};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::fmt;

const KEY_CONTEXT: &str = "anvilgw 2026 kv block key v1";

/// Index of an adapter in the settings.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AdapterId(pub u16);

/// Version of the weights of a model.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WeightVersion(pub u64);

/// Generation of a slot in a store or an engine; it changes whenever the slot is freed.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Generation(pub u64);

/// What the content of a block depends on apart from the prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyScope {
    /// Owner of the prompt.
    pub workspace: WorkspaceId,
    /// Model that computed the block.
    pub model: ModelId,
    /// Adapter in use, if any.
    pub adapter: Option<AdapterId>,
    /// Version of the weights.
    pub weight_version: WeightVersion,
}

/// Key of one block: a hash over its scope, the key of the block before it and its bytes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BlockKey(pub [u8; 32]);

impl BlockKey {
    /// Leading 64 bits, used by the index. A collision yields a wrong hint, which [`verify`] finds.
    #[must_use]
    pub fn short(&self) -> ShortKey {
        let mut leading = [0; 8];
        leading.copy_from_slice(&self.0[..8]);
        ShortKey(u64::from_le_bytes(leading))
    }

    /// The key as engines and stores write it.
    #[must_use]
    pub fn to_hex(&self) -> String {
        blake3::Hash::from(self.0).to_hex().to_string()
    }

    /// Reads a key as engines and stores write it. `None` if it is malformed.
    #[must_use]
    pub fn from_hex(hex: &str) -> Option<Self> {
        let hash = blake3::Hash::from_hex(hex).ok()?;
        Some(Self(*hash.as_bytes()))
    }
}

impl fmt::Debug for BlockKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "BlockKey({:016x})", self.short().0)
    }
}

/// Leading 64 bits of a [`BlockKey`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShortKey(pub u64);

/// Computes the keys of the complete blocks of a prompt. A partial block at the end has no key,
/// since it would be sealed with other content as soon as the prompt grows.
///
/// # Panics
///
/// Panics if `block_bytes` is zero.
#[must_use]
pub fn block_keys(scope: &KeyScope, prompt: &[u8], block_bytes: usize) -> Vec<BlockKey> {
    let mut previous = [0; 32];
    prompt
        .chunks_exact(block_bytes)
        .map(|block| {
            previous = chained_key(scope, &previous, block);
            BlockKey(previous)
        })
        .collect()
}

fn chained_key(scope: &KeyScope, previous: &[u8; 32], block: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_derive_key(KEY_CONTEXT);
    // All fields have a fixed width, so two scopes never yield the same input.
    hasher.update(&scope.workspace.0.to_le_bytes());
    hasher.update(&scope.model.0.to_le_bytes());
    hasher.update(&[u8::from(scope.adapter.is_some())]);
    hasher.update(&scope.adapter.unwrap_or_default().0.to_le_bytes());
    hasher.update(&scope.weight_version.0.to_le_bytes());
    hasher.update(previous);
    hasher.update(block);
    *hasher.finalize().as_bytes()
}

/// Digest of the content of a block.
#[must_use]
pub fn digest(content: &[u8]) -> [u8; 32] {
    *blake3::hash(content).as_bytes()
}

/// What a store or an engine says about a block next to its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockHeader {
    /// Key under which the block was written.
    pub key: BlockKey,
    /// Generation of the slot at the time of the read.
    pub generation: Generation,
    /// Whether the write was completed.
    pub sealed: bool,
    /// Digest computed by the writer.
    pub digest: [u8; 32],
}

quick_error! {
    /// Why a block that was read must not be used.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Mismatch {
        /// The block belongs to another prompt, workspace, model or weight version.
        Key(found: BlockKey) { display("block has another key: {:?}", found) }
        /// The slot was freed since the hint was written.
        Generation(expected: u64, found: u64) {
            display("slot has generation {} instead of {}", found, expected)
        }
        /// The write of the block was not completed.
        Unsealed { display("block is not sealed") }
        /// The content is not what the writer sealed.
        Digest { display("content does not match its digest") }
    }
}

/// Checks a block before use. `generation` is the one of the hint; `None` accepts any, for engines
/// that do not report one.
///
/// # Errors
///
/// The first [`Mismatch`] found; the caller recomputes the block.
pub fn verify(
    key: &BlockKey,
    generation: Option<Generation>,
    header: &BlockHeader,
    content: &[u8],
) -> Result<(), Mismatch> {
    if header.key != *key {
        return Err(Mismatch::Key(header.key));
    }
    if let Some(expected) = generation
        && expected != header.generation
    {
        return Err(Mismatch::Generation(expected.0, header.generation.0));
    }
    if !header.sealed {
        return Err(Mismatch::Unsealed);
    }
    if digest(content) != header.digest {
        return Err(Mismatch::Digest);
    }
    Ok(())
}
