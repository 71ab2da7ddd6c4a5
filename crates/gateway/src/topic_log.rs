//! Keeps the newest records of a metadata store topic for other daemons, which read them from this
//! one instead of the metadata store.

use crate::log_position::{LogPosition, StoreEpoch};
use bincode::{Decode, Encode};
use bytes::Bytes;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum total size of the records that are kept of a topic, in bytes.
const KEPT_BYTES_MAX: usize = 2 * 1024 * 1024;
/// Size in bytes after which a page takes no further record. The last record may exceed it.
const PAGE_FULL_BYTES: usize = 256 * 1024;

/// A page of consecutive records of a topic.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TopicPage {
    /// Position after the last record of the page, where the next read starts.
    pub next: LogPosition,
    /// Age of the page in milliseconds: the time since the topic was last known to end with it.
    /// `None` if there are newer records than those of the page.
    pub age_ms: Option<u64>,
    /// Contents of the records, oldest first.
    pub records: Vec<Vec<u8>>,
}

/// Newest records of one topic.
#[derive(Debug, Default)]
pub struct TopicLog {
    records: VecDeque<Bytes>,
    /// Epoch of the store in which the records were read.
    epoch: StoreEpoch,
    /// Offset of the oldest record that is kept.
    first_offset: u64,
    kept_bytes: usize,
    verified_at: Option<Duration>,
}

impl TopicLog {
    /// Adds the records that a read from the position `from` returned. If they do not continue the
    /// records that are kept, they replace them. `started_at` is the start of the read: the
    /// metadata store may have taken its answer at any time from then on.
    pub fn on_read(&mut self, from: LogPosition, records: &[Bytes], started_at: Duration) {
        if from.epoch != self.epoch {
            *self = Self {
                epoch: from.epoch,
                first_offset: from.offset,
                ..Self::default()
            };
        }
        let from_offset = from.offset;
        if from_offset > self.end_offset() || from_offset < self.first_offset {
            self.records.clear();
            self.kept_bytes = 0;
            self.first_offset = from_offset;
        }
        let known = (self.end_offset() - from_offset) as usize;
        for record in records.iter().skip(known) {
            self.kept_bytes += record.len();
            self.records.push_back(record.clone());
        }
        while self.kept_bytes > KEPT_BYTES_MAX {
            let Some(dropped) = self.records.pop_front() else {
                break;
            };
            self.kept_bytes -= dropped.len();
            self.first_offset += 1;
        }
        self.verified_at = self.verified_at.max(Some(started_at));
    }

    /// Returns the records from the position `from` on, or `None` if some of them are no longer kept or
    /// the topic was not read yet.
    ///
    /// A reader that is ahead of this log gets an empty page, because its records are newer. So does
    /// a reader of another epoch; the page tells it the epoch of this log.
    #[must_use]
    pub fn page(&self, from: LogPosition, now: Duration) -> Option<TopicPage> {
        let verified_at = self.verified_at?;
        if from.epoch != self.epoch {
            return Some(TopicPage {
                next: self.end(),
                age_ms: None,
                records: Vec::new(),
            });
        }
        let from_offset = from.offset;
        if from_offset < self.first_offset {
            return None;
        }
        let skipped = (from_offset - self.first_offset) as usize;
        let mut records = Vec::new();
        let mut bytes = 0;
        for record in self.records.iter().skip(skipped) {
            if bytes > PAGE_FULL_BYTES {
                break;
            }
            bytes += record.len();
            records.push(record.to_vec());
        }
        let next = from.after(records.len());
        let is_complete = next.offset >= self.end_offset();
        let age = now.saturating_sub(verified_at);
        Some(TopicPage {
            next,
            age_ms: is_complete.then_some(age.as_millis() as u64 + 1),
            records,
        })
    }

    fn end(&self) -> LogPosition {
        LogPosition {
            epoch: self.epoch,
            offset: self.end_offset(),
        }
    }

    fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }
}
