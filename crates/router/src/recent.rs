//! Blocks that this daemon's recent requests cause backend servers to compute or import.
//!
//! Cache events arrive seconds after a prompt was routed. Until then, only this table tells where
//! the blocks will be. It lets later requests for the same blocks follow the first one instead of
//! importing or recomputing the blocks on another server.

use crate::index::{Hint, Location};
use crate::kv::{Generation, ShortKey};
use anvilgw_core::ServerId;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Bounded table of the servers to which this daemon's recent requests bring blocks.
#[derive(Clone, Debug)]
pub struct RecentBlocks {
    capacity: usize,
    lifetime: Duration,
    blocks: HashMap<ShortKey, RecentBlock>,
    /// Keys with the time at which they were recorded, oldest first. A key that was recorded again
    /// has several entries, of which only the newest one removes it.
    recording_order: VecDeque<(ShortKey, Duration)>,
}

#[derive(Clone, Copy, Debug)]
struct RecentBlock {
    server: ServerId,
    recorded_at: Duration,
    import_until: Duration,
}

impl RecentBlocks {
    /// Creates a table of at most `capacity` blocks (at least one). A block yields no hint after
    /// `lifetime`, by when its cache event has arrived.
    #[must_use]
    pub fn new(capacity: usize, lifetime: Duration) -> Self {
        Self {
            capacity: capacity.max(1),
            lifetime,
            blocks: HashMap::new(),
            recording_order: VecDeque::new(),
        }
    }

    /// Records that a server computes or imports these blocks.
    pub fn record(&mut self, server: ServerId, keys: &[ShortKey], now: Duration) {
        self.insert_blocks(server, keys, now, Duration::ZERO);
    }

    /// Records that a server imports these blocks, at most until the time `until`.
    pub fn record_import(
        &mut self,
        server: ServerId,
        keys: &[ShortKey],
        now: Duration,
        until: Duration,
    ) {
        self.insert_blocks(server, keys, now, until);
    }

    fn insert_blocks(
        &mut self,
        server: ServerId,
        keys: &[ShortKey],
        now: Duration,
        until: Duration,
    ) {
        for &key in keys {
            // A later request for a block that is being imported does not replace the import.
            let existing = self.blocks.get(&key);
            let import = existing.filter(|recent| recent.import_until > now.max(until));
            let recent = import.copied().unwrap_or(RecentBlock {
                server,
                recorded_at: now,
                import_until: until,
            });
            self.blocks.insert(key, recent);
            self.recording_order.push_back((key, recent.recorded_at));
        }
        self.drop_oldest();
    }

    fn drop_oldest(&mut self) {
        while self.recording_order.len() > self.capacity {
            let Some((key, recorded_at)) = self.recording_order.pop_front() else {
                return;
            };
            if self
                .blocks
                .get(&key)
                .is_some_and(|recent| recent.recorded_at == recorded_at)
            {
                self.blocks.remove(&key);
            }
        }
    }

    /// Returns the server that is importing a block, if any.
    #[must_use]
    pub fn import_target(&self, key: ShortKey, now: Duration) -> Option<ServerId> {
        let recent = self.blocks.get(&key)?;
        (recent.import_until > now).then_some(recent.server)
    }

    /// Removes a block that a server reports as evicted. If the block was requested again after the
    /// eviction, the removal costs one import or recompute.
    pub fn remove(&mut self, server: ServerId, key: ShortKey) {
        if self
            .blocks
            .get(&key)
            .is_some_and(|recent| recent.server == server)
        {
            self.blocks.remove(&key);
        }
    }

    /// Removes all blocks of a server, after it failed or restarted.
    pub fn clear_server(&mut self, server: ServerId) {
        self.blocks.retain(|_, recent| recent.server != server);
    }

    /// Adds a hint about a block to the hints of the index, unless they name the server already.
    pub fn add_hint(&self, key: ShortKey, hints: &mut Vec<Hint>, now: Duration) {
        let Some(recent) = self.blocks.get(&key) else {
            return;
        };
        let location = Location::Server(recent.server);
        let hinted = hints.iter().any(|hint| hint.location == location);
        if !hinted && now.saturating_sub(recent.recorded_at) < self.lifetime {
            hints.push(Hint {
                location,
                // Engines match prefixes in place by content and need no generation.
                generation: Generation(0),
                doubtful: false,
            });
        }
    }
}
