//! Reads and appends of the lease log, and what they tell.

use super::WeightSwitcher;
use crate::lease::{
    ANNOUNCED_EFFECT_MAX, AppendResult, LeaseRecord, LeaseStep, StartedAppend, StoredRecord,
};
use crate::log::Event;
use crate::log_position::StoreEpoch;
use crate::ports::{AppendOutcome, StoreError, Topic};
use crate::topic_reader::TopicRecords;
use crate::weights::apply_records;
use bytes::Bytes;
use std::time::Duration;

/// Time for which the metadata store may hold a read of the lease log back until there is a record.
const FOLLOW_WAIT: Duration = Duration::from_millis(250);
/// The same while the only remaining work is to free cached parts of replaced weights, which does
/// not affect requests.
const FOLLOW_WAIT_FREEING: Duration = Duration::from_millis(1000);

/// Result of a read of the lease log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseLogRead {
    /// All records are known.
    Complete,
    /// There are more records to read.
    Partial,
    /// The log could not be read.
    Failed,
}

impl WeightSwitcher {
    /// Decodes records of the lease log. Malformed records are logged and skipped.
    fn parse_records(&self, read: &TopicRecords) -> Vec<StoredRecord> {
        let parse_one = |(offset, payload): (u64, &Bytes)| match serde_json::from_slice(payload) {
            Ok(record) => Some(StoredRecord { offset, record }),
            Err(error) => {
                self.gateway.log_notable(&Event::RecordMalformed {
                    key: "lease log",
                    reason: &error.to_string(),
                });
                None
            }
        };
        let first_offset = read.origin.next.offset - read.records.len() as u64;
        let payloads = (first_offset..).zip(&read.records);
        payloads.filter_map(parse_one).collect()
    }

    /// Reads the lease log. While the lease is free and this daemon may take it, the read does not wait
    /// for new records.
    pub(super) async fn follow_lease(&mut self) -> LeaseLogRead {
        let is_held = self.lease.acquisition(self.gateway.now()) == LeaseStep::Wait;
        let wait = match (
            is_held || !self.is_candidate(),
            self.outdated_servers().is_empty(),
        ) {
            (true, true) => FOLLOW_WAIT_FREEING,
            (true, false) => FOLLOW_WAIT,
            (false, _) => Duration::ZERO,
        };
        let from = self.lease.position();
        match self.reader.read(&self.gateway, from, wait).await {
            Ok(read) => {
                self.lease_dependency.on_answer(&self.gateway);
                self.on_lease_read(&read)
            }
            Err(StoreError::Restored(epoch)) => {
                self.lease_dependency.on_answer(&self.gateway);
                self.on_epoch_answer(epoch)
            }
            Err(StoreError::Expired(first)) => {
                // Records that the metadata store no longer keeps are much older than any valid
                // lease, unless the store has lost its history.
                let now = self.gateway.now();
                self.lease.on_read(&[], first.offset, now);
                self.complete_from = now + ANNOUNCED_EFFECT_MAX;
                LeaseLogRead::Failed
            }
            Err(error) => {
                self.lease_dependency
                    .on_failure(&self.gateway, &error.to_string());
                LeaseLogRead::Failed
            }
        }
    }

    /// Gives the lease up if another log was read in a higher epoch. The lease log is then read anew.
    pub(super) fn enter_seen_epoch(&mut self) {
        let epoch = self.gateway.state.borrow().epoch_sighting.epoch();
        if epoch > self.lease.position().epoch {
            self.on_epoch_answer(epoch);
        }
    }

    /// Handles a read that was answered in another epoch. In a higher one, the log is read anew.
    fn on_epoch_answer(&mut self, epoch: StoreEpoch) -> LeaseLogRead {
        if epoch < self.lease.position().epoch {
            return LeaseLogRead::Failed;
        }
        if let Some(fencing_token) = self.lease.fencing_token(self.gateway.now()) {
            self.log_lease_change("lost, the store was restored", fencing_token);
        }
        let seen_at = self.gateway.on_epoch_seen(epoch);
        self.lease.on_epoch(epoch, seen_at);
        self.on_restored(seen_at);
        LeaseLogRead::Partial
    }

    /// Records that the metadata store was restored from a copy, and that this daemon first knew it
    /// at `seen_at`. What was announced in records that the store has lost may still take effect.
    fn on_restored(&mut self, seen_at: Duration) {
        self.complete_from = self.complete_from.max(seen_at + ANNOUNCED_EFFECT_MAX);
    }

    /// Applies the answer to an append of a record that was sent as `payload`.
    pub(super) fn on_append_answer(
        &mut self,
        append: StartedAppend,
        outcome: AppendOutcome,
        payload: Bytes,
    ) -> AppendResult {
        let (AppendOutcome::Stored(position) | AppendOutcome::Conflict(position)) = outcome;
        let started_at = append.started_at;
        let seen_at = self.gateway.on_epoch_seen(position.epoch);
        let result = self.lease.on_append_answer(append, outcome, seen_at);
        match result {
            AppendResult::Stored => {
                self.on_log_verified(started_at);
                let gateway = &self.gateway;
                gateway.on_topic_read(Topic::Leases, position, &[payload], started_at);
                self.forget_updates();
            }
            AppendResult::Conflict => {}
            AppendResult::Restored => self.on_restored(seen_at),
        }
        result
    }

    /// Applies records of the lease log.
    fn on_lease_read(&mut self, read: &TopicRecords) -> LeaseLogRead {
        let records = self.parse_records(read);
        let now = self.gateway.now();
        self.lease.on_read(&records, read.origin.next.offset, now);
        // Applied again, old records would replace newer ones that the store has lost.
        let is_news = |stored: &StoredRecord| !self.lease.is_known(stored);
        let news = records.into_iter().filter(is_news);
        let news: Vec<LeaseRecord> = news.map(|stored| stored.record).collect();
        self.on_lease_records(&news);
        self.on_log_verified(read.origin.verified_at);
        if read.origin.is_complete() {
            LeaseLogRead::Complete
        } else if read.records.is_empty() {
            LeaseLogRead::Failed
        } else {
            LeaseLogRead::Partial
        }
    }

    fn on_lease_records(&self, records: &[LeaseRecord]) {
        let now = self.gateway.now();
        apply_records(&mut self.gateway.state.borrow_mut().servers, records, now);
    }

    /// Records that this daemon knew all announcements at a time, unless some were dropped or lost
    /// before it read them.
    fn on_log_verified(&self, verified_at: Duration) {
        if verified_at >= self.complete_from {
            self.gateway.state.borrow_mut().switches_read_at = verified_at;
        }
    }
}
