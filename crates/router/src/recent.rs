//! Blocks that this daemon's own recent requests put on backend servers.
//!
//! Cache events arrive seconds after a prompt was routed. Until then this table is the only
//! knowledge about the blocks, so that a second reader follows the first one instead of importing or
//! recomputing the same blocks elsewhere.

use crate::index::{Hint, Location};
use crate::kv::{Generation, ShortKey};
use anvilgw_core::ServerId;
use indexmap::IndexMap;
use std::time::Duration;

/// Bounded table of own recent requests.
#[derive(Clone, Debug)]
pub struct RecentBlocks {
    capacity: usize,
    lifetime: Duration,
    blocks: IndexMap<ShortKey, (ServerId, Duration)>,
}

impl RecentBlocks {
    /// Creates a table of at most `capacity` blocks that are forgotten after `lifetime`, by when the
    /// cache events have arrived.
    #[must_use]
    pub fn new(capacity: usize, lifetime: Duration) -> Self {
        Self {
            capacity: capacity.max(1),
            lifetime,
            blocks: IndexMap::new(),
        }
    }

    /// Notes that a server computes or imports these blocks.
    pub fn note(&mut self, server: ServerId, keys: &[ShortKey], now: Duration) {
        for &key in keys {
            if self.blocks.len() >= self.capacity && !self.blocks.contains_key(&key) {
                self.blocks.swap_remove_index(0);
            }
            self.blocks.insert(key, (server, now));
        }
    }

    /// Forgets what was noted about a server that failed or restarted.
    pub fn forget_server(&mut self, server: ServerId) {
        self.blocks.retain(|_, (known, _)| *known != server);
    }

    /// Adds what is known about a block to the hints of the index.
    pub fn extend(&self, key: ShortKey, hints: &mut Vec<Hint>, now: Duration) {
        let Some(&(server, noted)) = self.blocks.get(&key) else {
            return;
        };
        let location = Location::Server(server);
        let known = hints.iter().any(|hint| hint.location == location);
        if !known && now.saturating_sub(noted) < self.lifetime {
            hints.push(Hint {
                location,
                // Engines match prefixes in place by content and need no generation.
                generation: Generation(0),
                doubtful: false,
            });
        }
    }
}
