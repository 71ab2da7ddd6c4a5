//! Exchanges evidence on prompt parts with the other daemons through the metadata store.

use super::peer_messages::send_message;
use crate::dependency::Dependency;
use crate::dispatch::encode_record;
use crate::gateway::Gateway;
use crate::groups::{Role, StoreReads};
use crate::log::Event;
use crate::peer_message::PeerMessage;
use crate::ports::{AppendOutcome, KeyedBytes, StoreError, Topic};
use crate::read_origin::ReadOrigin;
use crate::server_ends::report_replaced;
use crate::topic_reader::TopicReader;
use anvilgw_quarantine::attribution::Scope;
use anvilgw_quarantine::record::{KeyedRecord, Record, RecordKey};
use anvilgw_quarantine::{PartKey, QuarantineChange};
use rand::RngExt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time for which a read waits for records while there has been no report lately.
const QUIET_WAIT: Duration = Duration::from_secs(6);
/// The same after a report, when more are to be expected and a message about them may be lost.
const ACTIVE_WAIT: Duration = Duration::from_secs(2);
/// Time after a report until the log counts as quiet.
const ACTIVE_TIME: Duration = Duration::from_secs(30);
/// Fraction of the wait for which the loop pauses if the metadata store did not hold the read back,
/// as is the case until the log has its first record.
const EMPTY_PAUSE_FRACTION: f64 = 0.5;
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause between two rounds in which this daemon looks for something to tell.
const QUIET_ROUND_PAUSE: Duration = Duration::from_secs(2);
/// The same while answers broke off lately or there has been a report.
const ACTIVE_ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Range of the delay before an append, in milliseconds. Reports of several ends go together, and
/// daemons that know the same part to be sound do not all say so.
const APPEND_DELAY_RANGE_MS: std::ops::Range<u64> = 20..100;

/// Reads the fleet's evidence until the daemon ends.
pub(crate) async fn follow(gateway: Rc<Gateway>) {
    let clock = Arc::clone(&gateway.ports.clock);
    let mut follower = Follower {
        dependency: Dependency::new("metadata store, evidence"),
        reader: TopicReader::new(Topic::Evidence, clock),
        last_report_at: None,
        has_created_log: false,
        gateway,
    };
    loop {
        load_listing(&follower.gateway, &mut follower.dependency).await;
        follower.has_created_log = false;
        while follower.read_once().await {}
    }
}

struct Follower {
    gateway: Rc<Gateway>,
    dependency: Dependency,
    reader: TopicReader,
    last_report_at: Option<Duration>,
    has_created_log: bool,
}

impl Follower {
    /// Reads the records that follow. Returns `false` if some of them were deleted, or lost by the
    /// metadata store, so that all records have to be listed again.
    async fn read_once(&mut self) -> bool {
        let gateway = Rc::clone(&self.gateway);
        let from = gateway.state.borrow().quarantine.table().next();
        let started_at = gateway.now();
        let wait = self.wait(started_at);
        let result = tokio::select! {
            result = self.reader.read(&gateway, from, wait) => result,
            () = gateway.evidence_news.notified() => {
                self.reader.read(&gateway, from, Duration::ZERO).await
            }
        };
        match result {
            Ok(read) => {
                self.dependency.on_answer(&gateway);
                if read.records.is_empty() {
                    let elapsed = gateway.now().saturating_sub(started_at);
                    self.on_nothing_read(wait, elapsed).await;
                } else {
                    self.last_report_at = Some(gateway.now());
                    apply(&gateway, &read.records, from.offset);
                }
            }
            Err(StoreError::Expired(_) | StoreError::Restored(_)) => return false,
            Err(error) => {
                self.dependency.on_failure(&gateway, &error.to_string());
                sleep(RETRY_PAUSE).await;
            }
        }
        true
    }

    fn wait(&self, now: Duration) -> Duration {
        let is_active = self.last_report_at.is_some_and(|at| now < at + ACTIVE_TIME);
        if is_active { ACTIVE_WAIT } else { QUIET_WAIT }
    }

    /// Makes up for a read that was not held back. The metadata store cannot hold reads of a log
    /// back that has no record yet, so a daemon whose copy others read appends a first one.
    async fn on_nothing_read(&mut self, wait: Duration, elapsed: Duration) {
        let pause = wait.mul_f64(EMPTY_PAUSE_FRACTION);
        if elapsed >= pause {
            return;
        }
        let next = self.gateway.state.borrow().quarantine.table().next();
        let store_reads = self.gateway.state.borrow().store_reads;
        if next.offset == 0 && store_reads == StoreReads::DirectForGroup && !self.has_created_log {
            let removal = KeyedRecord {
                key: RecordKey::Cleared(PartKey(0)),
                record: None,
            };
            let first: Vec<KeyedBytes> = encode_record(&removal).into_iter().collect();
            let store = &self.gateway.ports.metadata_store;
            self.has_created_log = store.append_evidence(Some(0), first).await.is_ok();
        }
        tokio::select! {
            () = sleep(pause - elapsed) => {}
            () = self.gateway.evidence_news.notified() => {}
        }
    }
}

/// Reads all records, and retries until the metadata store answers. The daemon does not wait for
/// the first answer to become ready: without the evidence it can still serve.
async fn load_listing(gateway: &Gateway, dependency: &mut Dependency) {
    loop {
        let started_at = gateway.now();
        let result = gateway.ports.metadata_store.list_evidence().await;
        let is_listed = result.is_ok();
        match result {
            Ok(listing) => {
                dependency.on_answer(gateway);
                let origin = ReadOrigin::store(listing.next, started_at, gateway.now());
                gateway.on_log_listed(Topic::Evidence, listing.records.len(), &origin);
                let records = listing.records.iter();
                let records = records
                    .filter_map(|(bytes, offset)| Some((decode_record(gateway, bytes)?, *offset)));
                let records: Vec<(KeyedRecord, u64)> = records.collect();
                let quarantine = &mut gateway.state.borrow_mut().quarantine;
                quarantine.on_listing(records, listing.next, started_at);
            }
            Err(error) => dependency.on_failure(gateway, &error.to_string()),
        }
        gateway.state.borrow_mut().has_asked_for_evidence = true;
        if is_listed {
            log_changes(gateway);
            gateway.evidence_changed.notify_one();
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}

fn apply(gateway: &Gateway, records: &[bytes::Bytes], from_offset: u64) {
    let store = &gateway.ports.metadata_store;
    let now = gateway.now();
    for (offset, record) in (from_offset..).zip(records) {
        let bytes = store.decode_evidence(record.clone());
        let decoded = bytes.and_then(|bytes| decode_record(gateway, &bytes));
        let quarantine = &mut gateway.state.borrow_mut().quarantine;
        if let Some(record) = decoded {
            quarantine.on_record(record, offset, now);
        }
        quarantine.on_read(offset + 1);
    }
    log_changes(gateway);
    tell_readers(gateway);
    gateway.evidence_changed.notify_one();
}

/// Tells the daemons that read this one's copy that there are new records.
fn tell_readers(gateway: &Gateway) {
    let state = gateway.state.borrow();
    let recipients = match &state.role {
        Some(Role::Mesh { peers }) => peers.clone(),
        Some(Role::Leader { followers, leaders }) => [followers.as_slice(), leaders].concat(),
        Some(Role::Follower { .. }) | None => Vec::new(),
    };
    if state.store_reads.serves_copies()
        && let Some(socket) = gateway.permit_client.socket()
    {
        send_message(gateway, &socket, &PeerMessage::EvidenceNews, &recipients);
    }
}

/// Decodes a record. Records that cannot be decoded are logged and skipped.
fn decode_record(gateway: &Gateway, bytes: &KeyedBytes) -> Option<KeyedRecord> {
    let key: RecordKey = match bytes.key.parse() {
        Ok(key) => key,
        Err(error) => {
            log_malformed(gateway, &bytes.key, &error);
            return None;
        }
    };
    if bytes.value.is_empty() {
        return Some(KeyedRecord { key, record: None });
    }
    match Record::decode(key, &bytes.value) {
        Ok(record) => Some(KeyedRecord {
            key,
            record: Some(record),
        }),
        Err(error) => {
            log_malformed(gateway, &bytes.key, &error);
            None
        }
    }
}

fn log_malformed(gateway: &Gateway, key: &str, error: &dyn std::error::Error) {
    gateway.log_notable(&Event::RecordMalformed {
        key,
        reason: &error.to_string(),
    });
}

/// Tells the other daemons what this one has seen, until the daemon ends.
pub(crate) async fn publish(gateway: Rc<Gateway>) {
    let mut dependency = Dependency::new("metadata store, reports of server ends");
    loop {
        tokio::select! {
            () = gateway.evidence_changed.notified() => {}
            () = sleep(round_pause(&gateway)) => {}
        }
        report_replaced(&gateway);
        log_changes(&gateway);
        if !has_outgoing(&gateway) {
            continue;
        }
        let delay_ms = {
            let rng = &mut gateway.state.borrow_mut().rng;
            rng.random_range(APPEND_DELAY_RANGE_MS)
        };
        sleep(Duration::from_millis(delay_ms)).await;
        append_outgoing(&gateway, &mut dependency).await;
    }
}

fn has_outgoing(gateway: &Gateway) -> bool {
    let times = gateway.times();
    let state = &mut *gateway.state.borrow_mut();
    let daemons = 1.0 / state.share.clamp(f64::EPSILON, 1.0);
    state.quarantine.set_fleet_size(daemons as u64);
    state.quarantine.has_outgoing(times)
}

fn round_pause(gateway: &Gateway) -> Duration {
    let state = gateway.state.borrow();
    if state.pending_ends.is_empty() && !state.quarantine.awaits_records() {
        QUIET_ROUND_PAUSE
    } else {
        ACTIVE_ROUND_PAUSE
    }
}

async fn append_outgoing(gateway: &Gateway, dependency: &mut Dependency) {
    let times = gateway.times();
    let outgoing = gateway.state.borrow_mut().quarantine.outgoing(times);
    let encoded: Vec<KeyedBytes> = outgoing.iter().filter_map(encode_record).collect();
    if encoded.is_empty() {
        return;
    }
    let store = &gateway.ports.metadata_store;
    match store.append_evidence(None, encoded).await {
        Ok(AppendOutcome::Stored(stored) | AppendOutcome::Conflict(stored)) => {
            dependency.on_answer(gateway);
            let quarantine = &mut gateway.state.borrow_mut().quarantine;
            quarantine.on_appended(&outgoing, stored.epoch);
            if stored.epoch != quarantine.table().next().epoch {
                // A read notices that the store was restored.
                gateway.evidence_news.notify_one();
            }
        }
        Err(error) => {
            dependency.on_failure(gateway, &error.to_string());
            sleep(RETRY_PAUSE).await;
            gateway.evidence_changed.notify_one();
        }
    }
}

fn log_changes(gateway: &Gateway) {
    let times = gateway.times();
    let changes = gateway.state.borrow_mut().quarantine.take_changes(times);
    for change in changes {
        match change {
            QuarantineChange::Quarantined(found) => gateway.log_notable(&Event::Quarantine {
                change: "quarantined",
                parts: &hex(&found.parts),
                ends: Some(found.ends),
                workspaces: match &found.scope {
                    Scope::Fleet => None,
                    Scope::Workspaces(workspaces) => Some(workspaces.len()),
                },
            }),
            QuarantineChange::Released(parts) => gateway.log_notable(&Event::Quarantine {
                change: "released",
                parts: &hex(&parts),
                ends: None,
                workspaces: None,
            }),
        }
    }
}

fn hex(parts: &[PartKey]) -> Vec<String> {
    parts
        .iter()
        .map(|part| format!("{:016x}", part.0))
        .collect()
}
