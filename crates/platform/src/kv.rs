//! KV blocks and where they are held.

use serde::{Deserialize, Serialize, Serializer};
use std::fmt;
use std::net::SocketAddr;

/// Process from which a KV block can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KvSource {
    /// The engine at this address, from its prefix cache.
    Engine(SocketAddr),
    /// The store at this address.
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

/// A KV block that an engine may import instead of computing it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KvImport {
    /// Key in hexadecimal digits.
    pub key: String,
    /// Process that holds the block.
    pub source: KvSource,
    /// Generation of the block in the store; 0 if the source is an engine.
    pub generation: u64,
}

/// A KV block as engines and stores transfer it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KvBlock {
    /// Key in hexadecimal digits.
    pub key: String,
    /// Generation of the block in the store; 0 if it comes from an engine.
    pub generation: u64,
    /// Number of tokens that the block covers.
    pub tokens: u64,
    /// Size in bytes, as charged to links and store tiers.
    pub bytes: u64,
    /// Content, from which `digest` is computed.
    pub content: String,
    /// BLAKE3 digest of the content at the time when the block was sealed, in hexadecimal digits.
    pub digest: String,
}
