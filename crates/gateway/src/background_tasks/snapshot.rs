//! Reads whole tables of the metadata store.

use crate::dependency::Dependency;
use crate::gateway::Gateway;
use crate::log_position::StoreEpoch;
use crate::ports::{Changes, StoreError, Table, Topic};
use crate::read_origin::ReadOrigin;
use std::time::Duration;
use tokio::time::sleep;

/// What a snapshot tells about keys that it does not contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MissingKeys {
    /// They have no value.
    Removed,
    /// The store was restored from an older copy since the table was read last. They may have had a
    /// value that is about to be written again.
    MayBeLost,
}

/// Newest record of each key of a table.
pub(super) struct Snapshot {
    pub(super) changes: Changes,
    /// Where and when it was read. The start of the read counts, because the metadata store may have
    /// taken its answer at any time from then on.
    pub(super) origin: ReadOrigin,
    pub(super) missing_keys: MissingKeys,
    /// Whether it is the first one of the table that this daemon has read.
    pub(super) is_first: bool,
    /// Whether reads of the table had failed before.
    pub(super) is_after_failure: bool,
}

/// Reads snapshots of one table, and notices if the store was restored between two of them.
pub(super) struct SnapshotReader {
    table: Table,
    retry_pause: Duration,
    /// Epoch of the last snapshot.
    known_epoch: Option<StoreEpoch>,
}

impl SnapshotReader {
    pub(super) fn new(table: Table, retry_pause: Duration) -> Self {
        Self {
            table,
            retry_pause,
            known_epoch: None,
        }
    }

    /// Reads the table, and retries until the metadata store answers.
    pub(super) async fn read(
        &mut self,
        gateway: &Gateway,
        dependency: &mut Dependency,
    ) -> Snapshot {
        loop {
            match self.try_read(gateway).await {
                Ok(mut snapshot) => {
                    snapshot.is_after_failure = dependency.on_answer(gateway);
                    return snapshot;
                }
                Err(error) => {
                    dependency.on_failure(gateway, &error.to_string());
                    sleep(self.retry_pause).await;
                }
            }
        }
    }

    /// Reads the table once.
    pub(super) async fn try_read(&mut self, gateway: &Gateway) -> Result<Snapshot, StoreError> {
        let started_at = gateway.now();
        let changes = gateway.ports.metadata_store.snapshot(self.table).await?;
        let epoch = changes.next.epoch;
        let known_epoch = self.known_epoch.replace(epoch);
        let origin = ReadOrigin::store(changes.next, started_at, gateway.now());
        gateway.on_log_listed(Topic::Table(self.table), changes.changes.len(), &origin);
        let is_restored = known_epoch.is_some_and(|known| known != epoch);
        Ok(Snapshot {
            changes,
            origin,
            missing_keys: if is_restored {
                MissingKeys::MayBeLost
            } else {
                MissingKeys::Removed
            },
            is_first: known_epoch.is_none(),
            is_after_failure: false,
        })
    }
}
