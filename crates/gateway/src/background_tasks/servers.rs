//! Follows the table in which backend servers publish their entries.

use super::rollouts::on_servers_changed;
use super::skipped_entries::SkippedEntries;
use super::snapshot::{MissingKeys, Snapshot, SnapshotReader};
use super::store_statements::ask_others;
use crate::dependency::Dependency;
use crate::gateway::Gateway;
use crate::groups::StoreReads;
use crate::log::Event;
use crate::log_position::LogPosition;
use crate::ports::{Change, StoreError, Table, Topic};
use crate::server::{ServerEntry, ServerState};
use crate::store_outage::HeartbeatHistory;
use crate::topic_reader::{TopicReader, TopicRecords, decode_changes};
use indexmap::IndexSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between two reads. Together, the servers publish several times a second, so a read that
/// waits for changes would return immediately; periodic reads cost less.
const POLL_PAUSE: Duration = Duration::from_millis(750);
/// Maximum random deviation of that pause, as a fraction of it.
const JITTER: f64 = 0.15;
/// Time without news of the metadata store after which it counts as having been unavailable,
/// although no read of it failed. Without an outage, a daemon that reads the copy of a leader that
/// reads another one's knows the table as of at most 1.1 s ago when its next read returns.
const SILENCE_MIN: Duration = Duration::from_millis(2000);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How far the table was read.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// Position from which to read next.
    next: LogPosition,
    /// Time up to which the records before that position contain all changes.
    verified_at: Duration,
}

/// Follows the table of backend servers until the daemon ends.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    let clock = Arc::clone(&gateway.ports.clock);
    let mut follower = Follower {
        dependency: Dependency::new("metadata store, servers"),
        reader: TopicReader::new(Topic::Table(Table::Servers), clock),
        snapshots: SnapshotReader::new(Table::Servers, RETRY_PAUSE),
        heartbeats: HeartbeatHistory::default(),
        skipped: SkippedEntries::default(),
        gateway,
    };
    let mut known_until = None;
    loop {
        let mut progress = follower.load_snapshot(known_until).await;
        while let Some(next) = follower.read_once(progress).await {
            progress = next;
        }
        known_until = Some(progress.verified_at);
    }
}

struct Follower {
    gateway: Rc<Gateway>,
    dependency: Dependency,
    reader: TopicReader,
    snapshots: SnapshotReader,
    heartbeats: HeartbeatHistory,
    skipped: SkippedEntries,
}

impl Follower {
    /// Lists the table, which was known up to `known_until` before.
    async fn load_snapshot(&mut self, known_until: Option<Duration>) -> Progress {
        let gateway = Rc::clone(&self.gateway);
        let snapshot = self.snapshots.read(&gateway, &mut self.dependency).await;
        let progress = Progress {
            next: snapshot.origin.next,
            verified_at: snapshot.origin.verified_at,
        };
        on_listed(&gateway, &snapshot, known_until);
        self.heartbeats
            .on_changes(&snapshot.changes.changes, progress.verified_at);
        let outdated = apply_snapshot(&gateway, snapshot);
        self.skipped.set(outdated, gateway.now());
        progress
    }

    /// Reads the records that follow after a pause. Returns `None` if the table has to be listed again.
    async fn read_once(&mut self, progress: Progress) -> Option<Progress> {
        let gateway = Rc::clone(&self.gateway);
        sleep(gateway.jittered(poll_pause(&gateway), JITTER)).await;
        let read = self.reader.read(&gateway, progress.next, Duration::ZERO);
        match read.await {
            Ok(read) => Some(self.on_records(read, progress.verified_at)),
            Err(StoreError::Expired(_) | StoreError::Restored(_)) => None,
            Err(error) => {
                self.dependency.on_failure(&gateway, &error.to_string());
                let state = &mut *gateway.state.borrow_mut();
                state.store_availability.on_failure();
                Some(progress)
            }
        }
    }

    /// Applies records that were read. The table was known up to `known_until` before.
    fn on_records(&mut self, read: TopicRecords, known_until: Duration) -> Progress {
        let gateway = Rc::clone(&self.gateway);
        let progress = Progress {
            next: read.origin.next,
            verified_at: known_until.max(read.origin.verified_at),
        };
        let is_outage_over = on_read(&gateway, &mut self.dependency, known_until);
        if read.origin.is_complete() {
            let state = &mut *gateway.state.borrow_mut();
            state.store_availability.on_read(read.origin.served_at);
        }
        let mut changes = decode_changes(&gateway, Table::Servers, read).changes;
        self.skipped.on_changes(&changes);
        let due = self.skipped.take_due(gateway.now());
        changes.extend(due.into_iter().map(Change::ServerUpdated));
        if is_outage_over {
            let window = progress.verified_at - known_until;
            on_outage_over(
                &gateway,
                &mut self.heartbeats,
                &changes,
                known_until,
                window,
            );
        }
        self.heartbeats.on_changes(&changes, progress.verified_at);
        apply(&gateway, changes);
        progress
    }
}

/// Returns the pause between two reads. Changes that pass through leaders are read several times,
/// so each of these reads follows after a fraction of the pause.
fn poll_pause(gateway: &Gateway) -> Duration {
    match gateway.state.borrow().store_reads {
        StoreReads::Direct => POLL_PAUSE,
        StoreReads::DirectForGroup | StoreReads::FromLeader(_) => POLL_PAUSE / 2,
        StoreReads::Relay(_) => POLL_PAUSE / 4,
    }
}

/// Records that the table was listed. It was known up to `known_until` before. A daemon that lists it
/// for the first time knows no expired entries.
fn on_listed(gateway: &Gateway, snapshot: &Snapshot, known_until: Option<Duration>) {
    let now = gateway.now();
    let availability = &mut gateway.state.borrow_mut().store_availability;
    if snapshot.is_after_failure {
        availability.on_failure();
    }
    availability.on_read(snapshot.origin.served_at);
    let Some(known_until) = known_until else {
        return;
    };
    if snapshot.missing_keys == MissingKeys::MayBeLost {
        // Entries that the store has lost are written again, like those that expired.
        availability.on_restored(now);
    } else if snapshot.is_after_failure || now.saturating_sub(known_until) >= SILENCE_MIN {
        availability.on_regained(known_until, now);
    }
}

/// Records that a read was answered, and returns whether it ended an outage. `known_until` is the time
/// up to which the table was known before.
fn on_read(gateway: &Gateway, dependency: &mut Dependency, known_until: Duration) -> bool {
    if gateway.now().saturating_sub(known_until) < SILENCE_MIN {
        dependency.on_answer(gateway)
    } else {
        dependency.on_answer_after_silence(gateway, known_until)
    }
}

/// Records the end of an outage. `changes` are all changes in the time `window`, which contains it.
/// The heartbeats among them may show that the store served the servers meanwhile.
fn on_outage_over(
    gateway: &Gateway,
    heartbeats: &mut HeartbeatHistory,
    changes: &[Change],
    known_until: Duration,
    window: Duration,
) {
    let now = gateway.now();
    let availability = &mut gateway.state.borrow_mut().store_availability;
    availability.on_regained(known_until, now);
    if heartbeats.was_store_available(changes, window) {
        gateway.metrics.count("own_store_outages");
        availability.disregard_outage();
    } else {
        heartbeats.clear();
    }
}

/// Returns the time for which servers without an entry are still used.
fn expired_entry_grace(gateway: &Gateway) -> Duration {
    let now = gateway.now();
    gateway.state.borrow().store_availability.grace_left(now)
}

/// Applies a listing, and returns the entries of it that are not newer than the removal of their
/// servers.
fn apply_snapshot(gateway: &Rc<Gateway>, snapshot: Snapshot) -> Vec<ServerEntry> {
    let grace = expired_entry_grace(gateway);
    let mut changes = snapshot.changes.changes;
    let listed: IndexSet<String> = changes
        .iter()
        .filter_map(|change| match change {
            Change::ServerUpdated(entry) => Some(entry.id.clone()),
            _ => None,
        })
        .collect();
    let now = gateway.now();
    gateway
        .state
        .borrow_mut()
        .servers
        .retain_listed(&listed, grace, now);
    let outdated = match snapshot.missing_keys {
        MissingKeys::Removed => Vec::new(),
        MissingKeys::MayBeLost => take_outdated(gateway, &mut changes),
    };
    apply(gateway, changes);
    let is_first_listing = !std::mem::replace(&mut gateway.state.borrow_mut().has_servers, true);
    if is_first_listing {
        gateway.cache_stores_changed.notify_one();
    }
    outdated
}

/// Removes entries from the listing of a restored store that are older than what this daemon knows,
/// and unreadable ones of servers that it knows. Returns those of servers that it does not know.
fn take_outdated(gateway: &Gateway, changes: &mut Vec<Change>) -> Vec<ServerEntry> {
    let servers = &gateway.state.borrow().servers;
    let mut removed = Vec::new();
    changes.retain(|change| match change {
        Change::ServerUpdated(entry) if servers.is_outdated(entry) => {
            if servers.key_of(&entry.id).is_none() {
                removed.push(entry.clone());
            }
            false
        }
        Change::Malformed { key, .. } => servers.key_of(key).is_none(),
        _ => true,
    });
    removed
}

fn apply(gateway: &Rc<Gateway>, changes: Vec<Change>) {
    let grace = expired_entry_grace(gateway);
    for change in changes {
        match change {
            Change::ServerUpdated(entry) => on_server_updated(gateway, entry),
            Change::ServerRemoved(id) => on_server_removed(gateway, &id, grace, "entry removed"),
            Change::Malformed { key, reason } => {
                gateway.log_notable(&Event::RecordMalformed {
                    key: &key,
                    reason: &reason,
                });
                // The newest entry under the key is malformed, so there is no usable server.
                on_server_removed(gateway, &key, Duration::ZERO, "entry unreadable");
            }
            _ => {}
        }
    }
    expire(gateway);
    on_servers_changed(gateway);
    let has_expired_entries = gateway.state.borrow().servers.has_expired_entries();
    if has_expired_entries {
        ask_others(gateway);
    }
}

/// Removes the servers whose entries did not come back in time.
pub(super) fn expire(gateway: &Gateway) {
    let now = gateway.now();
    let expired = gateway.state.borrow_mut().servers.expire(now);
    for id in expired {
        log_server(gateway, &id, "entry did not come back", "", "");
    }
}

fn on_server_updated(gateway: &Gateway, entry: ServerEntry) {
    let now = gateway.now();
    let change = {
        let state = gateway.state.borrow();
        let known = state.servers.key_of(&entry.id);
        match known.and_then(|key| state.servers.get(key)) {
            None => Some("added"),
            Some(known) if known.entry.started_at_ms < entry.started_at_ms => Some("restarted"),
            Some(known) if known.entry.state == ServerState::Draining => None,
            Some(known) if known.entry.state != entry.state => Some("state changed"),
            Some(known) if known.entry.models != entry.models => Some("weights changed"),
            Some(_) => None,
        }
    };
    if let Some(change) = change {
        let address = entry.address.to_string();
        let change = if entry.state == ServerState::Draining {
            "draining"
        } else {
            change
        };
        log_server(gateway, &entry.id, change, &entry.service, &address);
    }
    gateway
        .state
        .borrow_mut()
        .servers
        .on_entry_published(entry, now);
}

fn on_server_removed(gateway: &Gateway, id: &str, grace: Duration, reason: &str) {
    let now = gateway.now();
    let is_known = gateway.state.borrow().servers.key_of(id).is_some();
    if is_known {
        log_server(gateway, id, reason, "", "");
        gateway
            .state
            .borrow_mut()
            .servers
            .on_entry_removed(id, grace, now);
    }
}

fn log_server(gateway: &Gateway, server: &str, change: &str, service: &str, address: &str) {
    gateway.log_notable(&Event::Server {
        server,
        change,
        service,
        address,
    });
}
