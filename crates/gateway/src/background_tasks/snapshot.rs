//! Reads whole tables of the metadata store.

use crate::dependency::Dependency;
use crate::gateway::Gateway;
use crate::ports::{Changes, Table, Topic};
use crate::read_origin::ReadOrigin;
use std::time::Duration;
use tokio::time::sleep;

/// Newest record of each key of a table.
pub(super) struct Snapshot {
    pub(super) changes: Changes,
    /// Where and when it was read. The start of the read counts, because the metadata store may have
    /// taken its answer at any time from then on.
    pub(super) origin: ReadOrigin,
}

/// Reads a table, and retries until the metadata store answers.
pub(super) async fn read_snapshot(
    gateway: &Gateway,
    dependency: &mut Dependency,
    table: Table,
    retry_pause: Duration,
) -> Snapshot {
    loop {
        let started_at = gateway.now();
        match gateway.ports.metadata_store.snapshot(table).await {
            Ok(changes) => {
                dependency.on_answer(gateway);
                let origin = ReadOrigin::new(None, changes.next, started_at);
                gateway.on_log_listed(Topic::Table(table), changes.changes.len(), &origin);
                return Snapshot { changes, origin };
            }
            Err(error) => {
                dependency.on_failure(gateway, &error.to_string());
                sleep(retry_pause).await;
            }
        }
    }
}
