//! Folding of the configuration and pending configuration changes.

use super::ChangeOutcome;
use super::log_io::ConfigRead;
use anvilgw_config::{
    ConfigFold, ConfigRecord, ConfigState, FoldOutcome, Outcome, PeerUpdate, RecordId, Snapshot,
};
use anvilgw_core::Offset;
use anvilgw_kernel::{EventKind, Journal};
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time after which a change without a verdict is appended again. Duplicates are ignored by their
/// record id.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_500);
/// Maximum number of changes whose verdict is awaited.
const MAX_PENDING_CHANGES: usize = 64;

struct PendingChange {
    payload: Vec<u8>,
    appended_at: Duration,
    reply: oneshot::Sender<ChangeOutcome>,
}

/// The configuration as folded from the log, and the changes whose verdict is awaited.
pub(super) struct Configuration {
    fold: Option<ConfigFold>,
    /// Whether records could not be folded, so that reading must start from a snapshot.
    needs_restart: bool,
    pending: IndexMap<RecordId, PendingChange>,
    journal: Arc<Journal>,
}

impl Configuration {
    pub(super) fn new(journal: Arc<Journal>) -> Self {
        Self {
            fold: None,
            needs_restart: false,
            pending: IndexMap::new(),
            journal,
        }
    }

    /// Returns the offset to read next, or `None` if reading must start from a snapshot.
    pub(super) fn next_offset(&self) -> Option<Offset> {
        if self.needs_restart {
            return None;
        }
        self.fold.as_ref().and_then(ConfigFold::next_offset)
    }

    pub(super) fn current(&self) -> Option<Arc<ConfigState>> {
        self.fold.as_ref().map(ConfigFold::current)
    }

    pub(super) fn version(&self) -> u64 {
        self.current().map_or(0, |state| state.version)
    }

    pub(super) fn snapshot(&self) -> Option<Snapshot> {
        self.fold.as_ref().and_then(ConfigFold::snapshot)
    }

    pub(super) fn update_since(&self, version: u64) -> PeerUpdate {
        self.fold
            .as_ref()
            .map_or(PeerUpdate::Nothing, |fold| fold.update_since(version))
    }

    /// Applies what was read from the log. Returns whether the configuration is now complete up to
    /// the end of the stream.
    pub(super) fn on_read(&mut self, read: ConfigRead, wall_ms: u64) -> bool {
        let tail = match read {
            ConfigRead::Tail(slice) => slice,
            ConfigRead::Restart {
                bootstrap,
                first_offset,
                tail,
            } => {
                let restarted = match &mut self.fold {
                    Some(fold) => fold.resync_with_log(bootstrap, first_offset),
                    None => bootstrap
                        .start(first_offset)
                        .map(|fold| self.fold = Some(fold)),
                };
                if let Err(error) = restarted {
                    self.record(wall_ms, EventKind::ConfigRejected, &error.to_string());
                    return false;
                }
                self.needs_restart = false;
                tail
            }
        };
        let Some(fold) = &mut self.fold else {
            return false;
        };
        let journal = Arc::clone(&self.journal);
        let result = fold.fold_slice(&tail, |folded| record_folded(&journal, wall_ms, &folded));
        if let Err(error) = result {
            self.needs_restart = true;
            self.record(wall_ms, EventKind::ConfigRejected, &error.to_string());
            return false;
        }
        self.reply_to_decided();
        true
    }

    /// Applies an update from a peer.
    pub(super) fn on_peer_update(&mut self, update: PeerUpdate, wall_ms: u64) {
        // A daemon without a configuration applies the update to version 0, the empty configuration
        // from which all daemons start.
        let result = match &mut self.fold {
            Some(fold) => fold.apply_update(update).map(|_| ()),
            None => {
                let mut fold = ConfigFold::from_peer(ConfigState::default());
                fold.apply_update(update).map(|newer| {
                    self.fold = newer.then_some(fold);
                })
            }
        };
        if let Err(error) = result {
            self.record(wall_ms, EventKind::ConfigRejected, &error.to_string());
        }
    }

    /// Adds a change to the pending ones and returns the payload to append. If the change cannot be
    /// taken, replies `Undecided` and returns `None`.
    pub(super) fn submit(
        &mut self,
        record: &ConfigRecord,
        reply: oneshot::Sender<ChangeOutcome>,
        now: Duration,
    ) -> Option<Vec<u8>> {
        if self.pending.len() >= MAX_PENDING_CHANGES {
            let _ = reply.send(ChangeOutcome::Undecided);
            return None;
        }
        let Ok(payload) = record.encode() else {
            // The admin endpoint has validated the change, so this record has another origin.
            let _ = reply.send(ChangeOutcome::Undecided);
            return None;
        };
        let pending = PendingChange {
            payload: payload.clone(),
            appended_at: now,
            reply,
        };
        self.pending.insert(record.record_id, pending);
        Some(payload)
    }

    /// Returns the payloads to append again because no verdict arrived in time. Drops changes whose
    /// authors have disconnected.
    pub(super) fn take_due_retries(&mut self, now: Duration) -> Vec<Vec<u8>> {
        self.pending.retain(|_, pending| !pending.reply.is_closed());
        self.pending
            .values_mut()
            .filter(|pending| now.saturating_sub(pending.appended_at) >= RETRY_INTERVAL)
            .map(|pending| {
                pending.appended_at = now;
                pending.payload.clone()
            })
            .collect()
    }

    /// Returns whether the verdict on any change is awaited.
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    fn reply_to_decided(&mut self) {
        let Some(fold) = &self.fold else { return };
        let decided: Vec<_> = self
            .pending
            .keys()
            .filter_map(|id| fold.outcome(*id).cloned())
            .collect();
        for outcome in decided {
            let Some(pending) = self.pending.swap_remove(&outcome.record_id) else {
                continue;
            };
            let answer = match outcome.outcome {
                Outcome::Accepted { version } => ChangeOutcome::Accepted(version),
                Outcome::Rejected(rejection) => ChangeOutcome::Rejected(rejection),
            };
            let _ = pending.reply.send(answer);
        }
    }

    fn record(&self, wall_ms: u64, kind: EventKind, cause: &str) {
        self.journal.record(wall_ms, kind, "configuration", cause);
    }
}

fn record_folded(journal: &Journal, wall_ms: u64, folded: &FoldOutcome) {
    let (kind, cause) = match folded {
        FoldOutcome::Decided(outcome) => match &outcome.outcome {
            Outcome::Accepted { version } => {
                (EventKind::ConfigApplied, format!("version {version}"))
            }
            Outcome::Rejected(rejection) => (EventKind::ConfigRejected, rejection.to_string()),
        },
        FoldOutcome::Unreadable(error) => (EventKind::ConfigRejected, error.to_string()),
        FoldOutcome::Duplicate(_) | FoldOutcome::AlreadyFolded => return,
    };
    journal.record(wall_ms, kind, "configuration", cause);
}
