//! Order of the cache events of one source.
//!
//! Events arrive late, duplicated, reordered and with gaps. A bounded window puts them back in order;
//! an event that does not arrive in time becomes a gap, which the index answers with doubt about all
//! entries of the source.

use crate::kv::{Generation, ShortKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Events held per source while an earlier one is missing. Bounds the memory at 600 sources.
const WINDOW_EVENTS: usize = 256;
/// Time to wait for a missing event. Reordering comes from parallel connections and lasts less.
const WINDOW_WAIT: Duration = Duration::from_secs(2);

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BlockChange {
    /// The block was sealed.
    Stored,
    /// The block was evicted or freed.
    Removed,
}

/// One cache event of an engine or a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Start time of the source's process in milliseconds since 1970.
    pub started_ms: u64,
    /// Position in the source's sequence, counted from zero at its start.
    pub sequence: u64,
    /// The block.
    pub key: ShortKey,
    /// Generation of the slot.
    pub generation: Generation,
    /// What happened.
    pub change: BlockChange,
}

/// Result of taking an event.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Ordered {
    /// Events that are now in order.
    pub(crate) ready: Vec<CacheEvent>,
    /// Whether events before `ready` were lost.
    pub(crate) gap: bool,
}

/// Puts the events of one incarnation of a source back in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sequencer {
    next: Option<u64>,
    held: BTreeMap<u64, CacheEvent>,
    held_since: Duration,
}

impl Sequencer {
    /// Continues after a listing that includes all events before `next`. Returns false, without any
    /// change, if later events were applied already: the listing lacks their effect.
    pub(crate) fn resume_at(&mut self, next: u64) -> bool {
        if self.next.is_some_and(|applied| applied > next) {
            return false;
        }
        self.next = Some(next);
        self.held = self.held.split_off(&next);
        true
    }

    pub(crate) fn take(&mut self, event: CacheEvent, now: Duration) -> Ordered {
        // Without a listing the events before the first one are unknown, which is a gap as well.
        let gap = self.next.is_none() && event.sequence > 0;
        let next = *self.next.get_or_insert(event.sequence);
        if event.sequence < next {
            return Ordered::default();
        }
        if self.held.is_empty() {
            self.held_since = now;
        }
        self.held.insert(event.sequence, event);
        let mut ordered = self.release(now);
        ordered.gap |= gap;
        ordered
    }

    /// Releases events in order. Gives up on a missing event after a time or if the window is full.
    pub(crate) fn release(&mut self, now: Duration) -> Ordered {
        let mut ordered = Ordered::default();
        self.drain_in_order(&mut ordered.ready, now);
        let expired = now.saturating_sub(self.held_since) >= WINDOW_WAIT;
        if !self.held.is_empty() && (expired || self.held.len() >= WINDOW_EVENTS) {
            ordered.gap = true;
            self.next = self.held.keys().next().copied();
            self.drain_in_order(&mut ordered.ready, now);
        }
        ordered
    }

    fn drain_in_order(&mut self, ready: &mut Vec<CacheEvent>, now: Duration) {
        let Some(mut next) = self.next else { return };
        while let Some(event) = self.held.remove(&next) {
            ready.push(event);
            next += 1;
            self.held_since = now;
        }
        self.next = Some(next);
    }
}
