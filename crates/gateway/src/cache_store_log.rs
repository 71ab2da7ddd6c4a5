//! What changed at the stores of kept cache, in order, for daemons that learn it from this one.
//!
//! A store keeps only a few reads of its events open, so in a large fleet a few daemons read them and
//! the others read this log.

use bincode::{Decode, Encode};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Changes that are kept. A daemon that is further behind reads everything anew.
const KEPT_CHANGES: usize = 4096;

/// A change at a store.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum CacheUpdate {
    /// It holds a part with some tokens; zero if it no longer does.
    Part {
        /// Scope.
        scope: String,
        /// Identifier of the part.
        id: String,
        /// Tokens that are held.
        tokens: u32,
    },
    /// It answers, and what was known of it before no longer counts.
    Reset,
    /// It does not answer.
    Unreachable,
}

/// A change with its store.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CacheStoreChange {
    /// Address of the store.
    pub store: SocketAddr,
    /// What changed.
    pub update: CacheUpdate,
}

/// How far a daemon has read the log of another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    /// Names the log. It differs for each start of a daemon.
    pub log_id: u64,
    /// Position of the next change.
    pub next: u64,
}

/// Changes since a cursor, or everything that is known.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CacheStorePage {
    /// Names the log.
    pub log_id: u64,
    /// Position of the change after the last one.
    pub next: u64,
    /// The page tells everything; what was known before no longer counts.
    pub is_snapshot: bool,
    /// The servers' clock in milliseconds, where it is known.
    pub clock_ms: Option<u64>,
    /// The changes in order.
    pub changes: Vec<CacheStoreChange>,
}

/// The newest changes at the stores.
#[derive(Debug)]
pub struct CacheStoreLog {
    log_id: u64,
    /// Position of the oldest change that is kept.
    first: u64,
    changes: VecDeque<CacheStoreChange>,
}

impl CacheStoreLog {
    /// Creates an empty log.
    #[must_use]
    pub fn new(log_id: u64) -> Self {
        Self {
            log_id,
            first: 0,
            changes: VecDeque::new(),
        }
    }

    /// Appends a change.
    pub fn push(&mut self, change: CacheStoreChange) {
        if self.changes.len() == KEPT_CHANGES {
            self.changes.pop_front();
            self.first += 1;
        }
        self.changes.push_back(change);
    }

    /// Where a reader continues that knows everything.
    #[must_use]
    pub fn end(&self) -> Cursor {
        Cursor {
            log_id: self.log_id,
            next: self.first + self.changes.len() as u64,
        }
    }

    /// The changes from a cursor on, or `None` if some of them are not kept.
    #[must_use]
    pub fn since(&self, cursor: Cursor) -> Option<Vec<CacheStoreChange>> {
        let is_kept =
            cursor.log_id == self.log_id && (self.first..=self.end().next).contains(&cursor.next);
        if !is_kept {
            return None;
        }
        let skipped = (cursor.next - self.first) as usize;
        Some(self.changes.iter().skip(skipped).cloned().collect())
    }
}
