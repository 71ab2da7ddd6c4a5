//! Blocks that this daemon's own recent requests put on backend servers.
//!
//! Cache events arrive seconds after a prompt was routed. Until then this table is the only
//! knowledge about the blocks, so that a second reader follows the first one instead of importing or
//! recomputing the same blocks elsewhere.

use crate::index::{Hint, Location};
use crate::kv::{Generation, ShortKey};
use anvilgw_core::ServerId;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Bounded table of own recent requests.
#[derive(Clone, Debug)]
pub struct RecentBlocks {
    capacity: usize,
    lifetime: Duration,
    blocks: HashMap<ShortKey, Recent>,
    /// Keys by the time of their note, oldest first. A key that was noted again has several entries,
    /// of which only the newest one drops it.
    order: VecDeque<(ShortKey, Duration)>,
}

#[derive(Clone, Copy, Debug)]
struct Recent {
    server: ServerId,
    noted: Duration,
    import_until: Duration,
}

impl RecentBlocks {
    /// Creates a table of at most `capacity` blocks that are forgotten after `lifetime`, by when the
    /// cache events have arrived.
    #[must_use]
    pub fn new(capacity: usize, lifetime: Duration) -> Self {
        Self {
            capacity: capacity.max(1),
            lifetime,
            blocks: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Notes that a server computes or imports these blocks.
    pub fn record(&mut self, server: ServerId, keys: &[ShortKey], now: Duration) {
        self.insert(server, keys, now, Duration::ZERO);
    }

    /// Notes that a server imports these blocks until the given time.
    pub fn record_import(
        &mut self,
        server: ServerId,
        keys: &[ShortKey],
        now: Duration,
        until: Duration,
    ) {
        self.insert(server, keys, now, until);
    }

    fn insert(&mut self, server: ServerId, keys: &[ShortKey], now: Duration, until: Duration) {
        for &key in keys {
            // A later reader of a block on its way does not end the import.
            let known = self.blocks.get(&key);
            let import = known.filter(|known| known.import_until > now.max(until));
            let recent = import.copied().unwrap_or(Recent {
                server,
                noted: now,
                import_until: until,
            });
            self.blocks.insert(key, recent);
            self.order.push_back((key, recent.noted));
        }
        self.drop_oldest();
    }

    fn drop_oldest(&mut self) {
        while self.order.len() > self.capacity {
            let Some((key, noted)) = self.order.pop_front() else {
                return;
            };
            if self
                .blocks
                .get(&key)
                .is_some_and(|known| known.noted == noted)
            {
                self.blocks.remove(&key);
            }
        }
    }

    /// Server to which a block is on its way, if it is.
    #[must_use]
    pub fn import_target(&self, key: ShortKey, now: Duration) -> Option<ServerId> {
        let recent = self.blocks.get(&key)?;
        (recent.import_until > now).then_some(recent.server)
    }

    /// Forgets a block that a server reports as evicted. If the report is older than a later request
    /// for the block, that costs one import or recompute.
    pub fn remove(&mut self, server: ServerId, key: ShortKey) {
        if self
            .blocks
            .get(&key)
            .is_some_and(|known| known.server == server)
        {
            self.blocks.remove(&key);
        }
    }

    /// Forgets what was noted about a server that failed or restarted.
    pub fn clear_server(&mut self, server: ServerId) {
        self.blocks.retain(|_, known| known.server != server);
    }

    /// Adds what is known about a block to the hints of the index.
    pub fn add_hints(&self, key: ShortKey, hints: &mut Vec<Hint>, now: Duration) {
        let Some(recent) = self.blocks.get(&key) else {
            return;
        };
        let location = Location::Server(recent.server);
        let known = hints.iter().any(|hint| hint.location == location);
        if !known && now.saturating_sub(recent.noted) < self.lifetime {
            hints.push(Hint {
                location,
                // Engines match prefixes in place by content and need no generation.
                generation: Generation(0),
                doubtful: false,
            });
        }
    }
}
