//! A store that holds parts of prompts.

use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time of a transfer before its first byte.
const TRANSFER_LATENCY_MS: f64 = 3.0;
/// A transfer to another failure domain takes this many times as long.
const CROSS_DOMAIN_FACTOR: f64 = 2.0;

/// What the configuration says of a store.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheStoreSpec {
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Tokens that it holds.
    pub capacity_tokens: u64,
    /// Tokens that its link carries in a millisecond.
    pub link_tokens_per_ms: f64,
    /// Time before the first byte of a transfer.
    pub first_byte: Duration,
}

/// A part of a prompt within the scope of its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PartKey {
    /// Hash of the scope.
    pub scope_hash: u64,
    /// Hash of the identifier of the part.
    pub id_hash: u64,
}

/// A part that a holder has, by the names that the holder knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedPart {
    /// Scope.
    pub scope: String,
    /// Identifier of the part.
    pub id: String,
    /// Tokens that are parts. Zero if the part is gone.
    pub tokens: u32,
}

/// Hash under which identifiers are compared, also between daemons of different releases.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let [a, b, c, d, e, f, g, h, ..] = *hash.as_bytes();
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}

impl CachedPart {
    /// Key of the part.
    #[must_use]
    pub fn key(&self) -> PartKey {
        PartKey {
            scope_hash: name_hash(&self.scope),
            id_hash: name_hash(&self.id),
        }
    }
}

/// A store as one daemon knows it. It drops nothing by itself.
#[derive(Clone, Debug)]
pub struct CacheStore {
    pub(crate) spec: CacheStoreSpec,
    pub(crate) is_reachable: bool,
    /// It was asked once, whether or not it answered.
    pub(crate) was_queried: bool,
    pub(crate) epoch: u64,
    pub(crate) next_event: u64,
    /// A task reads its events.
    pub(crate) is_followed: bool,
    pub(crate) parts: IndexMap<PartKey, CachedPart>,
    pub(crate) used_tokens: u64,
}

impl CacheStore {
    pub(crate) fn new(spec: CacheStoreSpec) -> Self {
        Self {
            spec,
            is_reachable: false,
            was_queried: false,
            epoch: 0,
            next_event: 0,
            is_followed: false,
            parts: IndexMap::new(),
            used_tokens: 0,
        }
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.spec.address
    }

    /// From where to read its events.
    #[must_use]
    pub fn next_event(&self) -> u64 {
        self.next_event
    }

    pub(crate) fn clear(&mut self) {
        self.parts.clear();
        self.used_tokens = 0;
    }

    /// Notes that it does not answer, or is not asked any more.
    pub(crate) fn on_lost(&mut self) {
        self.is_reachable = false;
        self.was_queried = true;
        self.epoch = 0;
        self.next_event = 0;
        self.clear();
    }

    pub(crate) fn apply(&mut self, part: CachedPart) {
        let key = part.key();
        let tokens = u64::from(part.tokens);
        let replaced = if tokens == 0 {
            self.parts.swap_remove(&key)
        } else {
            self.parts.insert(key, part)
        };
        let replaced_tokens = replaced.map_or(0, |part| u64::from(part.tokens));
        self.used_tokens = (self.used_tokens + tokens).saturating_sub(replaced_tokens);
    }

    pub(crate) fn holds(&self, key: &PartKey, tokens: u32) -> bool {
        self.is_reachable
            && self
                .parts
                .get(key)
                .is_some_and(|part| part.tokens >= tokens)
    }

    /// Time of a transfer of tokens from here to a failure domain, in milliseconds.
    pub(crate) fn transfer_ms(&self, tokens: u32, to_domain: &str) -> f64 {
        let distance = if self.spec.failure_domain == to_domain {
            1.0
        } else {
            CROSS_DOMAIN_FACTOR
        };
        let first_byte_ms = self.spec.first_byte.as_secs_f64() * 1000.0;
        let link_ms = f64::from(tokens) / self.spec.link_tokens_per_ms.max(1.0);
        TRANSFER_LATENCY_MS + first_byte_ms + link_ms * distance
    }
}
