//! Log of changes at the cache stores, in order, for daemons that read them from this one.
//!
//! A cache store allows only a few open reads of its events. In a large fleet, a few daemons
//! therefore read the events, and the others read this log.

mod encoding;

use bincode::{Decode, Encode};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Number of changes that are kept. A daemon that is further behind reads a snapshot.
const KEPT_CHANGES_MAX: usize = 4096;

/// A change at one cache store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheUpdate {
    /// The number of tokens that the store holds of a part has changed; zero if it no longer holds
    /// the part.
    Part {
        /// Scope of the part, which keeps cached prompts of different weights or workspaces apart.
        scope: String,
        /// Identifier of the part within its scope.
        id: String,
        /// Number of tokens that the store holds of the part.
        tokens: u32,
    },
    /// The store answers, and everything known of its contents is void; changes that follow
    /// describe them anew.
    Reset,
    /// The store does not answer.
    Unreachable,
}

/// A change and the store at which it happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheStoreChange {
    /// Address of the store.
    pub store: SocketAddr,
    /// The change.
    pub update: CacheUpdate,
}

/// Position up to which a daemon has read the log of another daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    /// Identifier of the log. It differs for each start of a daemon.
    pub log_id: u64,
    /// Position of the next change to read.
    pub next: u64,
}

/// Changes since a cursor, or a snapshot of everything that is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheStorePage {
    /// Identifier of the log that the page was read from.
    pub log_id: u64,
    /// Position after the last change of the page, where the next read starts.
    pub next: u64,
    /// Whether the page is a snapshot, which replaces everything the reader knew.
    pub is_snapshot: bool,
    /// The servers' clock in milliseconds, if the sending daemon knows it.
    pub clock_ms: Option<u64>,
    /// Changes, oldest first.
    pub changes: Vec<CacheStoreChange>,
    /// Age of the contents of each store that the sending daemon has read.
    pub ages: Vec<ContentsAge>,
}

/// Age of what a daemon knows of the contents of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ContentsAge {
    /// Address of the store.
    pub store: SocketAddr,
    /// Time since the start of the last read that the contents agree with, in milliseconds, rounded
    /// up.
    pub age_ms: u64,
}

/// Newest changes at the cache stores.
#[derive(Debug)]
pub struct CacheStoreLog {
    log_id: u64,
    /// Position of the oldest change that is kept.
    first: u64,
    changes: VecDeque<CacheStoreChange>,
}

impl CacheStoreLog {
    /// Creates an empty log that begins at a position. Its identifier differs for each start of a
    /// daemon, so later logs of one start must not contain positions of earlier ones.
    #[must_use]
    pub fn new(log_id: u64, first: u64) -> Self {
        Self {
            log_id,
            first,
            changes: VecDeque::new(),
        }
    }

    /// Appends a change, and drops the oldest one if the log is full.
    pub fn push(&mut self, change: CacheStoreChange) {
        if self.changes.len() == KEPT_CHANGES_MAX {
            self.changes.pop_front();
            self.first += 1;
        }
        self.changes.push_back(change);
    }

    /// Returns the cursor of a reader that has read all changes.
    #[must_use]
    pub fn end(&self) -> Cursor {
        Cursor {
            log_id: self.log_id,
            next: self.first + self.changes.len() as u64,
        }
    }

    /// Returns the changes from a cursor on, or `None` if some of them are no longer kept or the
    /// cursor belongs to another log.
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
