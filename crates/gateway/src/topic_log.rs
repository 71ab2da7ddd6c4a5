//! The newest records of a topic of the metadata store, for daemons that read them from this one.

use bincode::{Decode, Encode};
use bytes::Bytes;
use std::collections::VecDeque;
use std::time::Duration;

/// Bytes of records that are kept of a topic.
const KEPT_BYTES: usize = 2 * 1024 * 1024;
/// Bytes of records after which a page ends. One record may exceed it.
const PAGE_BYTES: usize = 256 * 1024;

/// Records of a topic from an offset on.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TopicPage {
    /// Offset after the last record of the page.
    pub next_offset: u64,
    /// Time since the topic was known to hold nothing after the page, in milliseconds. `None` if the
    /// page does not reach the end of what is known.
    pub age_ms: Option<u64>,
    /// Contents, oldest first.
    pub records: Vec<Vec<u8>>,
}

/// The newest records of one topic.
#[derive(Debug, Default)]
pub struct TopicLog {
    records: VecDeque<Bytes>,
    /// Offset of the oldest record that is kept.
    first_offset: u64,
    kept_bytes: usize,
    verified_at: Option<Duration>,
}

impl TopicLog {
    /// Takes over the records that a read from `from_offset` returned. The read was started at
    /// `started_at`, from which on the store may have taken its answer.
    pub fn on_read(&mut self, from_offset: u64, records: &[Bytes], started_at: Duration) {
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
        while self.kept_bytes > KEPT_BYTES {
            let Some(dropped) = self.records.pop_front() else {
                break;
            };
            self.kept_bytes -= dropped.len();
            self.first_offset += 1;
        }
        self.verified_at = self.verified_at.max(Some(started_at));
    }

    /// The records from an offset on. `None` if some of them are not kept, or the topic was not read.
    ///
    /// A reader that is ahead of this log gets an empty page: what it has is newer still.
    #[must_use]
    pub fn page(&self, from_offset: u64, now: Duration) -> Option<TopicPage> {
        let verified_at = self.verified_at?;
        if from_offset < self.first_offset {
            return None;
        }
        let skipped = (from_offset - self.first_offset) as usize;
        let mut records = Vec::new();
        let mut bytes = 0;
        for record in self.records.iter().skip(skipped) {
            if bytes > PAGE_BYTES {
                break;
            }
            bytes += record.len();
            records.push(record.to_vec());
        }
        let next_offset = from_offset + records.len() as u64;
        let is_complete = next_offset >= self.end_offset();
        let age = now.saturating_sub(verified_at);
        Some(TopicPage {
            next_offset,
            age_ms: is_complete.then_some(age.as_millis() as u64 + 1),
            records,
        })
    }

    fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }
}
