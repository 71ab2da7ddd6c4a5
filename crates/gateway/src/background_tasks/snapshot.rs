//! Reads whole tables of the metadata store.

use crate::dependency::Dependency;
use crate::gateway::Gateway;
use crate::ports::{Changes, Table};
use std::time::Duration;
use tokio::time::sleep;

/// Newest record of each key of a table.
pub(super) struct Snapshot {
    pub(super) changes: Changes,
    /// Time at which the read started. The metadata store may have taken its answer at any time
    /// from then on.
    pub(super) started_at: Duration,
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
                return Snapshot {
                    changes,
                    started_at,
                };
            }
            Err(error) => {
                dependency.on_failure(gateway, &error.to_string());
                sleep(retry_pause).await;
            }
        }
    }
}
