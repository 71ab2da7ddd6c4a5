//! Keys of KV cache blocks and the verification of a block before use.
//!
//! A key is a hash over everything that the content of a block depends on, so blocks of different
//! workspaces or weight versions never share a key. What an index or a listing states about a block
//! is only a hint: the reader calls [`verify`] on the block that it received, and recomputes the
//! block on a mismatch.

use anvilgw_core::{ModelId, WorkspaceId};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::fmt;

const KEY_CONTEXT: &str = "anvilgw 2026 kv block key v1";

/// Index of an adapter (such as a LoRA) in the settings.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AdapterId(pub u16);

/// Version of a model's weights. Blocks computed with different versions are not interchangeable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WeightVersion(pub u64);

/// Generation of a block slot in a store or an engine. It changes whenever the slot is freed, so
/// a reader detects that the slot no longer holds the expected block.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Generation(pub u64);

/// Everything except the prompt that the content of a block depends on. It is part of every block
/// key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyScope {
    /// Workspace that owns the prompt.
    pub workspace: WorkspaceId,
    /// Model that computed the block.
    pub model: ModelId,
    /// Adapter that the block was computed with, if any.
    pub adapter: Option<AdapterId>,
    /// Version of the weights that the block was computed with.
    pub weight_version: WeightVersion,
}

/// Key of one block: a hash over its scope, the key of the preceding block and the prompt bytes of
/// the block itself.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BlockKey(pub [u8; 32]);

impl BlockKey {
    /// Returns the leading 64 bits, which the index uses as its key. A collision yields a wrong
    /// hint, which [`verify`] detects.
    #[must_use]
    pub fn short(&self) -> ShortKey {
        let mut leading = [0; 8];
        leading.copy_from_slice(&self.0[..8]);
        ShortKey(u64::from_le_bytes(leading))
    }

    /// Returns the key in hexadecimal, the form that engines and stores exchange.
    #[must_use]
    pub fn to_hex(&self) -> String {
        blake3::Hash::from(self.0).to_hex().to_string()
    }

    /// Parses the hexadecimal form. Returns `None` if it is malformed.
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

/// Leading 64 bits of a [`BlockKey`], the key of the prompt index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShortKey(pub u64);

/// Computes the keys of the complete blocks of a prompt, in order. A partial block at the end gets
/// no key, because its content changes as soon as the prompt grows.
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
            previous = block_key(scope, &previous, block);
            BlockKey(previous)
        })
        .collect()
}

fn block_key(scope: &KeyScope, previous: &[u8; 32], block: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_derive_key(KEY_CONTEXT);
    // Every field has a fixed width, so different scopes never yield the same hash input.
    hasher.update(&scope.workspace.0.to_le_bytes());
    hasher.update(&scope.model.0.to_le_bytes());
    hasher.update(&[u8::from(scope.adapter.is_some())]);
    hasher.update(&scope.adapter.unwrap_or_default().0.to_le_bytes());
    hasher.update(&scope.weight_version.0.to_le_bytes());
    hasher.update(previous);
    hasher.update(block);
    *hasher.finalize().as_bytes()
}

/// Computes the digest that the writer of a block stores in its [`BlockHeader`].
#[must_use]
pub fn digest(content: &[u8]) -> [u8; 32] {
    *blake3::hash(content).as_bytes()
}

/// Metadata that a store or an engine returns together with the content of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockHeader {
    /// Key under which the block was written.
    pub key: BlockKey,
    /// Generation of the slot at the time of the read.
    pub generation: Generation,
    /// Whether the write of the block was completed.
    pub sealed: bool,
    /// Digest of the content as computed by the writer.
    pub digest: [u8; 32],
}

quick_error! {
    /// Reason why a block that was read must not be used.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Mismatch {
        /// The block belongs to another prompt, workspace, model or weight version.
        Key(found: BlockKey) { display("block has another key: {:?}", found) }
        /// The slot was freed after the hint was written.
        Generation(expected: u64, found: u64) {
            display("slot has generation {} instead of {}", found, expected)
        }
        /// The write of the block was not completed.
        Unsealed { display("block is not sealed") }
        /// The content differs from what the writer sealed.
        Digest { display("content does not match its digest") }
    }
}

/// Verifies a block before use. `generation` is the generation in the hint; `None` skips its check,
/// for engines that do not report one.
///
/// # Errors
///
/// Returns the first [`Mismatch`] found; the caller then recomputes the block.
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
