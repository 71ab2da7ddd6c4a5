//! Why recent requests went where they went.

use anvilgw_core::RequestId;
use anvilgw_router::Explanation;
use indexmap::IndexMap;
use serde::Serialize;
use std::sync::Mutex;

/// Requests remembered by a daemon. An explanation with 20 candidates takes about 4 KB.
const CAPACITY: usize = 2048;

/// One attempt of a request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Attempt {
    /// Number of the attempt.
    pub(crate) number: u64,
    /// Candidates, prices and the choice.
    pub(crate) decision: Option<Explanation>,
    /// Blocks imported for it.
    pub(crate) imported_blocks: usize,
    /// Name of the chosen server.
    pub(crate) server: Option<String>,
    /// How it ended; absent while it runs.
    pub(crate) outcome: Option<String>,
}

/// Everything about one request. The names of the servers are added when it is shown.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Record {
    /// The workspace.
    pub(crate) workspace: String,
    /// Model or service.
    pub(crate) target: String,
    /// Trace identifier.
    pub(crate) trace_id: String,
    /// Configuration version at the start.
    pub(crate) config_version: u64,
    /// Time in the admission queue in milliseconds.
    pub(crate) queued_ms: f64,
    /// The attempts.
    pub(crate) attempts: Vec<Attempt>,
    /// The claim, for non-idempotent calls.
    pub(crate) claim: Option<String>,
    /// The end of the request; absent while it runs.
    pub(crate) result: Option<String>,
    /// Names of the backend servers by their numbers.
    pub(crate) server_names: Vec<String>,
}

/// Bounded store of [`Record`]s.
#[derive(Default)]
pub(crate) struct ExplainStore {
    records: Mutex<IndexMap<RequestId, Record>>,
}

impl ExplainStore {
    /// Starts a record and drops the oldest one if the store is full.
    pub(crate) fn start(&self, id: RequestId, record: Record) {
        let mut records = self.records.lock().expect("explain lock");
        if records.len() >= CAPACITY {
            records.shift_remove_index(0);
        }
        records.insert(id, record);
    }

    /// Changes a record if it is still remembered.
    pub(crate) fn update(&self, id: RequestId, change: impl FnOnce(&mut Record)) {
        let mut records = self.records.lock().expect("explain lock");
        if let Some(record) = records.get_mut(&id) {
            change(record);
        }
    }

    /// Adds an attempt. It replaces the last one if that found no server, because a request that waits
    /// for capacity looks many times.
    pub(crate) fn attempt(&self, id: RequestId, attempt: Attempt) {
        self.update(id, |record| {
            record.attempts.pop_if(|last| {
                let decision = last.decision.as_ref();
                decision.is_some_and(|decision| decision.selected.is_none())
            });
            record.attempts.push(attempt);
        });
    }

    /// The record of a request.
    pub(crate) fn get(&self, id: RequestId) -> Option<Record> {
        let records = self.records.lock().expect("explain lock");
        records.get(&id).cloned()
    }
}
