//! Cache events and their reordering.
//!
//! A source is an engine or a store that reports changes of its cache. Its events arrive late,
//! duplicated, reordered and with gaps. A bounded window restores their order; an event that does
//! not arrive in time counts as lost, and the index then marks all entries of the source as
//! doubtful.

use crate::kv::{Generation, ShortKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Events buffered per source while an earlier event is missing. The limit bounds the memory that
/// 600 sources take.
const WINDOW_EVENTS_MAX: usize = 256;
/// Time after which a missing event counts as lost. Events are reordered by parallel connections,
/// which delays them by less than this.
const GAP_TIMEOUT: Duration = Duration::from_secs(2);

/// Change of a block in the cache of a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BlockChange {
    /// The block was sealed.
    Stored,
    /// The block was evicted or freed.
    Removed,
}

/// Report of an engine or a store that it sealed or removed one block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Start time of the source's process in milliseconds since 1970.
    pub started_ms: u64,
    /// Sequence number of the event, counted from zero at the start of the source's process.
    pub sequence: u64,
    /// Block that changed.
    pub key: ShortKey,
    /// Generation of the slot that holds or held the block.
    pub generation: Generation,
    /// Whether the block was stored or removed.
    pub change: BlockChange,
}

/// Events that the sequencer releases in order.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct OrderedEvents {
    /// The events, in the order of their sequence numbers.
    pub(crate) ready: Vec<CacheEvent>,
    /// Whether an event before the last one in `ready` was lost.
    pub(crate) gap: bool,
}

/// Restores the order of the events of one process of a source.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sequencer {
    /// Sequence number of the next event to release; `None` before the first event or listing.
    next: Option<u64>,
    buffered: BTreeMap<u64, CacheEvent>,
    waiting_since: Duration,
}

impl Sequencer {
    /// Continues after a listing that includes all events before `next_sequence`. Returns false and
    /// changes nothing if later events were already released, because the listing lacks their
    /// effect.
    pub(crate) fn resume_at(&mut self, next_sequence: u64) -> bool {
        if self.next.is_some_and(|applied| applied > next_sequence) {
            return false;
        }
        self.next = Some(next_sequence);
        self.buffered = self.buffered.split_off(&next_sequence);
        true
    }

    pub(crate) fn push(&mut self, event: CacheEvent, now: Duration) -> OrderedEvents {
        // Without a listing, the events before the first received one are unknown, as after a gap.
        let gap = self.next.is_none() && event.sequence > 0;
        let next_sequence = *self.next.get_or_insert(event.sequence);
        if event.sequence < next_sequence {
            return OrderedEvents::default();
        }
        if self.buffered.is_empty() {
            self.waiting_since = now;
        }
        self.buffered.insert(event.sequence, event);
        let mut ordered = self.release(now);
        ordered.gap |= gap;
        ordered
    }

    /// Releases the events that are in order. Skips a missing event once [`GAP_TIMEOUT`] has passed
    /// or the window is full.
    pub(crate) fn release(&mut self, now: Duration) -> OrderedEvents {
        let mut ordered = OrderedEvents::default();
        self.drain_consecutive(&mut ordered.ready, now);
        let expired = now.saturating_sub(self.waiting_since) >= GAP_TIMEOUT;
        if !self.buffered.is_empty() && (expired || self.buffered.len() >= WINDOW_EVENTS_MAX) {
            ordered.gap = true;
            self.next = self.buffered.keys().next().copied();
            self.drain_consecutive(&mut ordered.ready, now);
        }
        ordered
    }

    fn drain_consecutive(&mut self, ready: &mut Vec<CacheEvent>, now: Duration) {
        let Some(mut next) = self.next else { return };
        while let Some(event) = self.buffered.remove(&next) {
            ready.push(event);
            next += 1;
            self.waiting_since = now;
        }
        self.next = Some(next);
    }
}
