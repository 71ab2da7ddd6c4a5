//! Where KV blocks are held.

use serde::{Deserialize, Serialize, Serializer};
use std::fmt;
use std::net::SocketAddr;

/// Holder of a KV block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KvSource {
    /// The prefix cache of an engine.
    Engine(SocketAddr),
    /// A store instance.
    Store(SocketAddr),
}

impl fmt::Display for KvSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Engine(addr) => write!(f, "engine:{addr}"),
            Self::Store(addr) => write!(f, "store:{addr}"),
        }
    }
}

impl Serialize for KvSource {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// A KV block that an engine may import.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KvImport {
    /// Key in hexadecimal digits.
    pub key: String,
    /// Holder.
    pub source: KvSource,
    /// Generation in the store; 0 for engines.
    pub generation: u64,
}

/// A KV block as engines and stores pass it on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KvBlock {
    /// Key in hexadecimal digits.
    pub key: String,
    /// Generation in the store; 0 from an engine.
    pub generation: u64,
    /// Tokens.
    pub tokens: u64,
    /// Size that counts for links and tiers.
    pub bytes: u64,
    /// Content.
    pub content: String,
    /// blake3 of the content when the block was sealed, in hexadecimal digits.
    pub digest: String,
}
