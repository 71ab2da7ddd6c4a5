//! A lease log of a metadata store that can be restored from an older copy, and daemons' calls to it.

use anvilgw_gateway::lease::{
    AppendResult, LeaseRecord, LeaseStep, LeaseView, StartedAppend, StoredRecord,
};
use anvilgw_gateway::log_position::{LogPosition, StoreEpoch};
use anvilgw_gateway::ports::AppendOutcome;
use std::time::Duration;

/// Answer to a read.
#[derive(Clone, Debug)]
pub(crate) struct ReadAnswer {
    pub(crate) epoch: StoreEpoch,
    /// Records from the requested offset on, or `None` if the log ends before it.
    pub(crate) records: Option<Vec<StoredRecord>>,
    pub(crate) is_complete: bool,
}

/// A log with conditional appends, in memory.
#[derive(Clone, Default)]
pub(crate) struct Log {
    pub(crate) epoch: StoreEpoch,
    pub(crate) records: Vec<LeaseRecord>,
}

impl Log {
    /// Returns the position of the next record.
    pub(crate) fn end(&self) -> LogPosition {
        LogPosition {
            epoch: self.epoch,
            offset: self.records.len() as u64,
        }
    }

    /// Appends a record if the log ends at the offset `at`.
    pub(crate) fn append_at(&mut self, at: u64, record: LeaseRecord) -> AppendOutcome {
        let end = self.end();
        if end.offset != at {
            return AppendOutcome::Conflict(end);
        }
        self.records.push(record);
        AppendOutcome::Stored(end)
    }

    /// Replaces the records by an older copy of the log. Their offsets are assigned again.
    pub(crate) fn restore(&mut self, copy: &[LeaseRecord]) {
        self.records = copy.to_vec();
        self.epoch = StoreEpoch(self.epoch.0 + 1);
    }

    /// Reads at most `count` records from an offset on.
    pub(crate) fn read_page(&self, from_offset: u64, count: usize) -> ReadAnswer {
        let records = self.records.get(from_offset as usize..);
        let stored = records.map(|records| {
            let offsets = from_offset..;
            let stored = offsets.zip(records.iter().take(count).cloned());
            let stored = stored.map(|(offset, record)| StoredRecord { offset, record });
            stored.collect()
        });
        ReadAnswer {
            epoch: self.epoch,
            records: stored,
            is_complete: records.is_none_or(|records| records.len() <= count),
        }
    }

    /// Appends a record as the daemon's view demands. Returns whether the record was stored.
    pub(crate) fn append(
        &mut self,
        view: &mut LeaseView,
        record: impl Fn(u64) -> LeaseRecord,
        now: Duration,
    ) -> bool {
        let LeaseStep::Append {
            offset,
            fencing_token,
        } = view.acquisition(now)
        else {
            return false;
        };
        let record = record(fencing_token);
        let outcome = self.append_at(offset, record.clone());
        let append = StartedAppend {
            record,
            started_at: now,
        };
        view.on_append_answer(append, outcome, now) == AppendResult::Stored
    }

    /// Reads the whole log, anew if its epoch is another one than that of the view.
    pub(crate) fn read(&self, view: &mut LeaseView, now: Duration) {
        for _ in 0..2 {
            let from = view.position();
            let answer = self.read_page(from.offset, usize::MAX);
            on_read_answer(view, from, answer, now, now);
        }
    }
}

/// Applies the answer to a read from the position `from`. Returns whether all records are known.
pub(crate) fn on_read_answer(
    view: &mut LeaseView,
    from: LogPosition,
    answer: ReadAnswer,
    now: Duration,
    seen_at: Duration,
) -> bool {
    if answer.epoch != from.epoch {
        view.on_epoch(answer.epoch, seen_at);
        return false;
    }
    match answer.records {
        Some(records) => {
            view.on_read(&records, from.offset + records.len() as u64, now);
            answer.is_complete
        }
        None => {
            view.on_read(&[], 0, now);
            false
        }
    }
}
