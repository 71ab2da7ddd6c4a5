//! One cache store: its configuration, and what this daemon knows of its contents.

use crate::permits::PermitHolder;
use crate::request_limit::RequestLimit;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Fixed time of a transfer, in addition to the store's own time to the first byte.
const TRANSFER_LATENCY_MS: f64 = 3.0;
/// Time after which a listing that failed is tried again.
const LIST_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Longest time between two such attempts.
const LIST_RETRY_PAUSE_MAX: Duration = Duration::from_secs(16);
/// Age from which the known contents of a store are not read. A store that has restarted since may
/// be writing a part again, and a read of an incomplete part mixes up prompts. How soon that may
/// happen is not bounded. In regular operation the contents are at most 0.9 s old at a daemon that
/// reads the store's events, and 1.4 s at a follower of it.
const CONTENTS_AGE_MAX: Duration = Duration::from_secs(2);
/// Factor by which data moves more slowly to another failure domain.
const CROSS_DOMAIN_FACTOR: f64 = 2.0;

/// Configuration of a cache store.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheStoreSpec {
    /// Address on which the store listens.
    pub address: SocketAddr,
    /// Name of the failure domain in which the store runs.
    pub failure_domain: String,
    /// Capacity of the store in tokens.
    pub capacity_tokens: u64,
    /// Throughput of the store's network link in tokens per millisecond.
    pub link_tokens_per_ms: f64,
    /// Time from a request to the first byte of its transfer.
    pub first_byte: Duration,
}

/// Identifies a prompt part within its scope, by hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PartKey {
    /// [`name_hash`] of the scope.
    pub scope_hash: u64,
    /// [`name_hash`] of the part's identifier.
    pub id_hash: u64,
}

/// A prompt part in a cache store, or a notification that the store has dropped it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedPart {
    /// Scope under which the part is cached.
    pub scope: String,
    /// Identifier of the part within the scope.
    pub id: String,
    /// Number of cached tokens. Zero if the store no longer has the part.
    pub tokens: u32,
}

/// Returns the hash by which identifiers are compared, also between daemons. It must be the
/// same in all releases.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let [a, b, c, d, e, f, g, h, ..] = *hash.as_bytes();
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}

impl CachedPart {
    /// Returns the key under which the part is indexed.
    #[must_use]
    pub fn key(&self) -> PartKey {
        PartKey {
            scope_hash: name_hash(&self.scope),
            id_hash: name_hash(&self.id),
        }
    }
}

/// A listing of a store that failed and is tried again.
#[derive(Clone, Copy, Debug)]
struct ListRetry {
    due_at: Duration,
    pause: Duration,
}

/// State of a cache store as this daemon knows it. The store evicts nothing on its own.
#[derive(Clone, Debug)]
pub struct CacheStore {
    pub(crate) spec: CacheStoreSpec,
    pub(crate) is_reachable: bool,
    /// Whether the store's contents were requested at least once, with or without success.
    pub(crate) was_queried: bool,
    pub(crate) epoch: u64,
    pub(crate) next_event: u64,
    /// When the read of the store's events that is in progress was started.
    pub(crate) read_started_at: Option<Duration>,
    /// Start of the last read that the contents agree with, of this daemon or of the leader whose
    /// log it reads. `None` if they were never read.
    pub(crate) confirmed_at: Option<Duration>,
    /// Whether events were lost since the contents were read in full, so that what is known from before
    /// may be wrong.
    pub(crate) has_lost_events: bool,
    /// Set while the store's contents are incomplete because a listing has failed.
    list_retry: Option<ListRetry>,
    /// Whether a task of this daemon reads the store's events.
    pub(crate) is_followed: bool,
    pub(crate) parts: IndexMap<PartKey, CachedPart>,
    pub(crate) used_tokens: u64,
    /// Limit on the requests that the store takes from all daemons together.
    pub(crate) request_limit: RequestLimit,
    /// Permits for requests to the store while it names a limit.
    pub(crate) permits: PermitHolder,
}

impl CacheStore {
    pub(crate) fn new(spec: CacheStoreSpec) -> Self {
        Self {
            spec,
            is_reachable: false,
            was_queried: false,
            epoch: 0,
            next_event: 0,
            read_started_at: None,
            confirmed_at: None,
            has_lost_events: false,
            list_retry: None,
            is_followed: false,
            parts: IndexMap::new(),
            used_tokens: 0,
            request_limit: RequestLimit::default(),
            permits: PermitHolder::default(),
        }
    }

    /// Returns the hash that identifies the store in messages between daemons.
    #[must_use]
    pub fn store_hash(&self) -> u64 {
        name_hash(&self.spec.address.to_string())
    }

    /// Returns the address on which the store listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.spec.address
    }

    /// Returns the position from which to read the store's events.
    #[must_use]
    pub fn next_event(&self) -> u64 {
        self.next_event
    }

    /// Records that the answer to a read started at `read_started_at` was applied. It does not confirm
    /// contents from before events that were lost.
    pub(crate) fn on_read(&mut self, read_started_at: Duration) {
        if !self.has_lost_events {
            self.confirmed_at = Some(read_started_at);
        }
    }

    pub(crate) fn clear(&mut self) {
        self.parts.clear();
        self.used_tokens = 0;
    }

    /// Clears the contents before they are read in full.
    pub(crate) fn on_full_read(&mut self) {
        self.clear();
        self.next_event = 0;
        self.has_lost_events = false;
        self.list_retry = None;
    }

    /// Records that the store could not be listed. Each further failure doubles the time to the next
    /// attempt, as a listing stalls the store.
    pub(crate) fn on_listing_failed(&mut self, now: Duration) {
        let pause = self
            .list_retry
            .map_or(LIST_RETRY_PAUSE, |retry| retry.pause * 2);
        let pause = pause.min(LIST_RETRY_PAUSE_MAX);
        self.list_retry = Some(ListRetry {
            due_at: now + pause,
            pause,
        });
        self.was_queried = true;
    }

    /// Returns whether a listing that failed is to be tried again.
    pub(crate) fn is_list_retry_due(&self, now: Duration) -> bool {
        self.list_retry.is_some_and(|retry| now >= retry.due_at)
    }

    /// Records that the store does not answer. Its contents are not used until it answers again;
    /// they are kept, because its epoch then tells whether it has lost them.
    pub(crate) fn on_unreachable(&mut self) {
        self.is_reachable = false;
        self.was_queried = true;
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

    /// Returns the age of what is known of the contents, or `None` if they were never read.
    pub(crate) fn contents_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at?))
    }

    /// Returns whether parts may be read from the store: it answers, and its contents were confirmed
    /// recently.
    fn is_readable(&self, now: Duration) -> bool {
        self.is_reachable
            && self
                .contents_age(now)
                .is_some_and(|age| age < CONTENTS_AGE_MAX)
    }

    pub(crate) fn holds(&self, key: &PartKey, tokens: u32, now: Duration) -> bool {
        self.is_readable(now)
            && self
                .parts
                .get(key)
                .is_some_and(|part| part.tokens >= tokens)
    }

    /// Returns the estimated time, in milliseconds, to transfer tokens from the store to a
    /// failure domain.
    pub(crate) fn transfer_ms(&self, tokens: u32, to_domain: &str) -> f64 {
        let first_byte_ms = self.spec.first_byte.as_secs_f64() * 1000.0;
        let link_tokens = self.link_tokens(tokens, to_domain);
        TRANSFER_LATENCY_MS + first_byte_ms + link_tokens / self.spec.link_tokens_per_ms.max(1.0)
    }

    /// Returns the tokens by which such a transfer occupies the store's link.
    pub(crate) fn link_tokens(&self, tokens: u32, to_domain: &str) -> f64 {
        let distance = if self.spec.failure_domain == to_domain {
            1.0
        } else {
            CROSS_DOMAIN_FACTOR
        };
        f64::from(tokens) * distance
    }
}
