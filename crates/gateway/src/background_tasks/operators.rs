//! Follows the operators' table: configuration, failure domains in and out of service, and
//! published weights.

use super::rollouts::{
    on_rollout_malformed, on_rollout_ordered, on_rollout_withdrawn, on_servers_changed,
};
use super::snapshot::{MissingKeys, Snapshot, SnapshotReader};
use crate::dependency::Dependency;
use crate::gateway::Gateway;
use crate::log::Event;
use crate::ports::{Change, Changes, StoreError, Table, Topic};
use crate::read_origin::ReadOrigin;
use crate::topic_reader::{TopicReader, decode_changes};
use crate::weights::{PublishedWeights, WeightPublication};
use indexmap::IndexSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Fraction of the age limit of the configuration for which the metadata store may hold a read back
/// until there are changes. Each answer proves that the copy was current when the read started, so
/// the copy is never older than two reads. Shorter reads leave more of the age limit when the store
/// becomes unavailable.
const FOLLOW_WAIT_FRACTION: f64 = 0.16;
/// Time after a restore of the metadata store during which orders stay in force that the store does
/// not contain. Operators write again what the store has lost.
const RESTORED_ORDER_GRACE: Duration = Duration::from_secs(5);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows the operators' table until the daemon ends.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    let mut dependency = Dependency::new("metadata store, operators");
    let follow_wait = gateway
        .state
        .borrow()
        .configuration_freshness
        .limit()
        .mul_f64(FOLLOW_WAIT_FRACTION);
    let clock = Arc::clone(&gateway.ports.clock);
    let mut reader = TopicReader::new(Topic::Table(Table::Operators), clock);
    let mut snapshots = SnapshotReader::new(Table::Operators, RETRY_PAUSE);
    loop {
        let snapshot = snapshots.read(&gateway, &mut dependency).await;
        let mut position = snapshot.origin.next;
        // After the grace, the table is listed again, and keys that are still missing are removed.
        let relisting_due_at = match snapshot.missing_keys {
            MissingKeys::Removed => None,
            MissingKeys::MayBeLost => Some(gateway.now() + RESTORED_ORDER_GRACE),
        };
        apply_snapshot(&gateway, snapshot);
        let mut wait = Duration::ZERO;
        loop {
            if relisting_due_at.is_some_and(|due_at| due_at <= gateway.now()) {
                break;
            }
            match reader.read(&gateway, position, wait).await {
                Ok(read) => {
                    dependency.on_answer(&gateway);
                    let origin = read.origin.clone();
                    position = origin.next;
                    let changes = decode_changes(&gateway, Table::Operators, read);
                    apply(&gateway, changes, &origin);
                    wait = follow_wait;
                }
                Err(StoreError::Expired(_) | StoreError::Restored(_)) => break,
                Err(error) => {
                    dependency.on_failure(&gateway, &error.to_string());
                    // Request an immediate answer, which proves that the copy is current.
                    wait = Duration::ZERO;
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

fn apply_snapshot(gateway: &Gateway, snapshot: Snapshot) {
    if snapshot.missing_keys == MissingKeys::Removed {
        // A snapshot contains no records of domains that were put back into service, so all domains
        // count as in service until its records say otherwise.
        gateway.state.borrow_mut().servers.enable_all_domains();
        withdraw_unlisted(gateway, &snapshot.changes);
    }
    apply(gateway, snapshot.changes, &snapshot.origin);
}

/// Applies the removal of orders that a snapshot, which contains no removals, does not list.
fn withdraw_unlisted(gateway: &Gateway, changes: &Changes) {
    let listed: IndexSet<&str> = changes
        .changes
        .iter()
        .filter_map(|change| match change {
            Change::RolloutOrdered(request) => Some(request.service.as_str()),
            Change::RolloutMalformed { service, .. } => Some(service),
            _ => None,
        })
        .collect();
    let ordered = gateway.state.borrow().rollouts.ordered_services();
    for service in ordered {
        if !listed.contains(service.as_str()) {
            on_rollout_withdrawn(gateway, &service);
        }
    }
}

fn apply(gateway: &Gateway, changes: Changes, origin: &ReadOrigin) {
    for change in changes.changes {
        apply_change(gateway, change, origin);
    }
    gateway
        .state
        .borrow_mut()
        .configuration_freshness
        .on_verified(origin.verified_at);
    on_servers_changed(gateway);
}

fn apply_change(gateway: &Gateway, change: Change, origin: &ReadOrigin) {
    match change {
        Change::Configuration(configuration) => {
            let state = &mut *gateway.state.borrow_mut();
            let replaced = state
                .configuration
                .as_ref()
                .map_or(0, |known| known.version);
            if configuration.version <= replaced {
                return;
            }
            gateway.log_notable(&Event::ConfigurationApplied {
                version: configuration.version,
                replaced,
                routes: configuration.routes().len(),
                origin: origin.fields(gateway.now()),
            });
            let close_idle_after = configuration.limits.close_idle_after();
            gateway.client_idle_timeout.send_replace(close_idle_after);
            state.configuration = Some(configuration);
            if replaced == 0 {
                gateway.cache_stores_changed.notify_one();
            }
        }
        Change::DomainOut(domain) => {
            gateway.state.borrow_mut().servers.disable_domain(&domain);
            log_failure_domain(gateway, &domain, false);
        }
        Change::DomainIn(domain) => {
            gateway.state.borrow_mut().servers.enable_domain(&domain);
            log_failure_domain(gateway, &domain, true);
        }
        Change::Weights { model, version } => on_weights_published(gateway, model, version),
        Change::Malformed { key, reason } => gateway.log_notable(&Event::RecordMalformed {
            key: &key,
            reason: &reason,
        }),
        Change::RolloutOrdered(request) => on_rollout_ordered(gateway, request),
        Change::RolloutWithdrawn(service) => on_rollout_withdrawn(gateway, &service),
        Change::RolloutMalformed { service, reason } => {
            on_rollout_malformed(gateway, &service, &reason);
        }
        Change::ServerUpdated(_) | Change::ServerRemoved(_) => {}
    }
}

fn log_failure_domain(gateway: &Gateway, domain: &str, in_service: bool) {
    gateway.log_notable(&Event::FailureDomain { domain, in_service });
}

fn on_weights_published(gateway: &Gateway, model: String, version: u64) {
    let learned_at = gateway.now();
    let state = &mut *gateway.state.borrow_mut();
    let known = state
        .weights
        .get(&model)
        .map_or(0, |published| published.version);
    if version <= known {
        return;
    }
    gateway.log_notable(&Event::WeightsNamed {
        model: &model,
        version,
    });
    state.quarantine.on_new_weights();
    let publication = WeightPublication {
        version,
        published_after: state.configuration_freshness.verified_at(),
        learned_at,
    };
    match state.weights.get_mut(&model) {
        Some(published) => published.on_published(publication),
        None => {
            state
                .weights
                .insert(model, PublishedWeights::new(publication));
        }
    }
}
