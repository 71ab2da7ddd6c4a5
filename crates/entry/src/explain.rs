//! Explanations of recent requests: the routing decision and the outcome of each attempt.

use anvilgw_core::RequestId;
use anvilgw_router::Explanation;
use indexmap::IndexMap;
use serde::Serialize;
use std::sync::Mutex;

/// Maximum number of records that a daemon keeps. An explanation with 20 candidates takes about 4
/// KB.
const CAPACITY: usize = 2048;
/// Maximum number of attempts that a record keeps: the first one and the last ones. While a server
/// is silent, a request is sent to others again and again.
const ATTEMPTS_MAX: usize = 8;

/// One attempt to serve a request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct AttemptRecord {
    /// Number of the attempt, unique at this daemon.
    pub(crate) number: u64,
    /// Candidates, their prices and the selected server. `None` if routing did not reach a
    /// decision.
    pub(crate) decision: Option<Explanation>,
    /// KV cache blocks that the engine is told to import for the attempt.
    pub(crate) imported_blocks: usize,
    /// Name of the selected backend server; `None` if none was selected.
    pub(crate) server: Option<String>,
    /// How the attempt ended; `None` while it runs.
    pub(crate) outcome: Option<String>,
}

/// What a daemon records about one request. `server_names` is filled in when the record is shown.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct RequestRecord {
    /// Name of the workspace that sent the request.
    pub(crate) workspace: String,
    /// Name of the requested model or service.
    pub(crate) target: String,
    /// Trace identifier of the request, as in the log.
    pub(crate) trace_id: String,
    /// Configuration version that was in force when the request started.
    pub(crate) config_version: u64,
    /// Time that the request spent in the admission queue, in milliseconds.
    pub(crate) queued_ms: f64,
    /// Attempts in the order in which they were made, at most [`ATTEMPTS_MAX`].
    pub(crate) attempts: Vec<AttemptRecord>,
    /// Claim key of a non-idempotent call; `None` for other requests.
    pub(crate) claim: Option<String>,
    /// How the request ended; `None` while it runs.
    pub(crate) result: Option<String>,
    /// Names of the backend servers, indexed by server number.
    pub(crate) server_names: Vec<String>,
}

/// Bounded in-memory store of [`RequestRecord`]s.
#[derive(Default)]
pub(crate) struct ExplainStore {
    records: Mutex<IndexMap<RequestId, RequestRecord>>,
}

impl ExplainStore {
    /// Inserts the record of a new request and drops the oldest record if the store is full.
    pub(crate) fn insert(&self, id: RequestId, record: RequestRecord) {
        let mut records = self.records.lock().expect("explain lock");
        if records.len() >= CAPACITY {
            records.shift_remove_index(0);
        }
        records.insert(id, record);
    }

    /// Applies `change` to the record of a request, if the store still has it.
    pub(crate) fn update(&self, id: RequestId, change: impl FnOnce(&mut RequestRecord)) {
        let mut records = self.records.lock().expect("explain lock");
        if let Some(record) = records.get_mut(&id) {
            change(record);
        }
    }

    /// Adds an attempt to the record of a request. The attempt replaces the previous one if that
    /// selected no server, because a request that waits for capacity repeats the selection many
    /// times.
    pub(crate) fn add_attempt(&self, id: RequestId, attempt: AttemptRecord) {
        self.update(id, |record| {
            record.attempts.pop_if(|last| {
                let decision = last.decision.as_ref();
                decision.is_some_and(|decision| decision.selected.is_none())
            });
            if record.attempts.len() >= ATTEMPTS_MAX {
                record.attempts.remove(1);
            }
            record.attempts.push(attempt);
        });
    }

    /// Returns the record of a request, or `None` if the store has dropped it.
    pub(crate) fn get(&self, id: RequestId) -> Option<RequestRecord> {
        let records = self.records.lock().expect("explain lock");
        records.get(&id).cloned()
    }
}
