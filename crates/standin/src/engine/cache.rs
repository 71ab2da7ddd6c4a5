//! Prefix cache of the engine and the events that report its changes.

use super::protocol::{CacheChange, CacheEvent, CacheEvents};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Bounded prefix cache. The least recently used block is evicted first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    /// Tokens of each block, least recently used first.
    blocks: IndexMap<String, u64>,
    tokens: u64,
}

impl PrefixCache {
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.blocks.contains_key(key)
    }

    pub(crate) fn tokens_of(&self, key: &str) -> Option<u64> {
        self.blocks.get(key).copied()
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Adds a block, or marks it as the most recently used one if it is cached. Returns the
    /// changes. A block larger than the capacity is not added.
    pub(crate) fn store(&mut self, key: &str, tokens: u64, capacity: u64) -> Vec<CacheChange> {
        if let Some(tokens) = self.blocks.shift_remove(key) {
            self.blocks.insert(key.to_owned(), tokens);
            return Vec::new();
        }
        if tokens > capacity {
            return Vec::new();
        }
        self.blocks.insert(key.to_owned(), tokens);
        self.tokens += tokens;
        let mut changes = vec![CacheChange::Stored {
            key: key.to_owned(),
        }];
        while self.tokens > capacity
            && let Some((key, tokens)) = self.blocks.shift_remove_index(0)
        {
            self.tokens -= tokens;
            changes.push(CacheChange::Evicted { key });
        }
        changes
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}

/// Numbered cache events that can be read after a delay.
#[derive(Debug, Default)]
pub(crate) struct EventLog {
    next: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    /// Records a change and keeps the last `kept` ones. A lost change only takes a sequence number.
    pub(crate) fn record(&mut self, change: CacheChange, is_lost: bool, kept: usize) {
        let sequence = self.next;
        self.next += 1;
        if is_lost {
            return;
        }
        self.events
            .push_back((Instant::now(), CacheEvent { sequence, change }));
        while self.events.len() > kept {
            self.events.pop_front();
        }
    }

    /// Returns the events from the sequence number `from` on that are at least `delay` old.
    pub(crate) fn read(&self, start_ms: u64, from: u64, delay: Duration) -> CacheEvents {
        let visible = |event: &&(Instant, CacheEvent)| event.0.elapsed() >= delay;
        let events: Vec<_> = self
            .events
            .iter()
            .take_while(visible)
            .map(|(_, event)| event)
            .filter(|event| event.sequence >= from)
            .cloned()
            .collect();
        let first = self.events.front().map_or(self.next, |(_, e)| e.sequence);
        let next = events
            .last()
            .map_or(from.min(self.next), |e| e.sequence + 1);
        CacheEvents {
            start_ms,
            first,
            next,
            events,
        }
    }
}
