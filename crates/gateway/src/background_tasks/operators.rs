//! Follows the operators' table: configuration, failure domains in and out of service, and
//! published weights.

use super::fleet_orders::{FleetOrders, ask_daemon, ask_fleet};
use super::rollouts::{
    on_orders_complete, on_orders_restored, on_rollout_malformed, on_rollout_ordered,
    on_rollout_withdrawn, on_servers_changed,
};
use super::snapshot::{MissingKeys, Snapshot, SnapshotReader};
use crate::dependency::Dependency;
use crate::gateway::Gateway;
use crate::log::Event;
use crate::log_position::{LogPosition, StoreEpoch};
use crate::ports::{Change, Changes, StoreError, Table, Topic};
use crate::read_origin::ReadOrigin;
use crate::topic_reader::{TopicReader, decode_changes};
use crate::weights::{PublishedWeights, WeightPublication};
use bytes::Bytes;
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
/// Pause between attempts to list the table again after that time.
const RELISTING_PAUSE: Duration = Duration::from_secs(1);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows the operators' table until the daemon ends.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    let follow_wait = gateway
        .state
        .borrow()
        .configuration_freshness
        .limit()
        .mul_f64(FOLLOW_WAIT_FRACTION);
    let clock = Arc::clone(&gateway.ports.clock);
    let mut follower = Follower {
        dependency: Dependency::new("metadata store, operators"),
        reader: TopicReader::new(Topic::Table(Table::Operators), clock),
        snapshots: SnapshotReader::new(Table::Operators, RETRY_PAUSE),
        next: LogPosition::default(),
        relisting_due_at: None,
        follow_wait,
        gateway,
    };
    loop {
        follower.load_snapshot().await;
        let mut wait = Duration::ZERO;
        while let Some(next_wait) = follower.read_once(wait).await {
            wait = next_wait;
            follower.relist_if_due().await;
        }
    }
}

struct Follower {
    gateway: Rc<Gateway>,
    dependency: Dependency,
    reader: TopicReader,
    snapshots: SnapshotReader,
    /// Position from which to read next.
    next: LogPosition,
    /// Time at which the table is listed again to remove keys that a restored store lacked and that
    /// were not written again.
    relisting_due_at: Option<Duration>,
    follow_wait: Duration,
}

impl Follower {
    /// Lists the table, and retries until the store answers. After a restore that the leader has read,
    /// its copy is followed instead.
    async fn load_snapshot(&mut self) {
        loop {
            match self.snapshots.try_read(&self.gateway).await {
                Ok(snapshot) => {
                    self.dependency.on_answer(&self.gateway);
                    return self.on_loaded(snapshot).await;
                }
                Err(error) => {
                    self.dependency
                        .on_failure(&self.gateway, &error.to_string());
                    if self.take_leader_orders().await {
                        return;
                    }
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Applies a listing. If it is the first one, and the store was restored before, other daemons are
    /// asked what it may lack.
    async fn on_loaded(&mut self, mut snapshot: Snapshot) {
        let is_restored_copy = snapshot.origin.next.epoch != StoreEpoch::default();
        if snapshot.is_first && is_restored_copy {
            let known = ask_fleet(&self.gateway).await;
            if !known.is_empty() {
                snapshot.missing_keys = MissingKeys::MayBeLost;
            }
            apply_fleet_orders(&self.gateway, known, &snapshot.origin);
        }
        self.on_snapshot(snapshot);
    }

    /// Applies what the leader has read of the restored store, so that its copy can be followed from
    /// there. Returns `false` if there is nothing newer.
    async fn take_leader_orders(&mut self) -> bool {
        let (leader, is_started) = {
            let state = self.gateway.state.borrow();
            (state.store_reads.source(), state.configuration.is_some())
        };
        let Some(leader) = leader.filter(|_| is_started) else {
            return false;
        };
        let Some(orders) = ask_daemon(&self.gateway, leader).await else {
            return false;
        };
        if orders.next.epoch <= self.next.epoch {
            return false;
        }
        self.next = orders.next;
        self.relisting_due_at = Some(self.gateway.now() + RELISTING_PAUSE);
        on_store_restored(&self.gateway);
        let origin = ReadOrigin::copy(leader, orders.next, Duration::ZERO);
        apply_fleet_orders(&self.gateway, vec![orders], &origin);
        true
    }

    /// Lists the table again if that is due. A store that cannot be read is asked again later;
    /// meanwhile the copy of the leader is followed.
    async fn relist_if_due(&mut self) {
        let now = self.gateway.now();
        if self.relisting_due_at.is_none_or(|due_at| now < due_at) {
            return;
        }
        match self.snapshots.try_read(&self.gateway).await {
            Ok(snapshot) => self.on_snapshot(snapshot),
            Err(_) => self.relisting_due_at = Some(now + RELISTING_PAUSE),
        }
    }

    fn on_snapshot(&mut self, snapshot: Snapshot) {
        self.next = snapshot.origin.next;
        self.relisting_due_at = match snapshot.missing_keys {
            MissingKeys::Removed => None,
            MissingKeys::MayBeLost => Some(self.gateway.now() + RESTORED_ORDER_GRACE),
        };
        apply_snapshot(&self.gateway, snapshot);
    }

    /// Reads the records that follow and returns how long the next read may wait for some. Returns
    /// `None` if the table has to be listed again.
    async fn read_once(&mut self, wait: Duration) -> Option<Duration> {
        let gateway = Rc::clone(&self.gateway);
        match self.reader.read(&gateway, self.next, wait).await {
            Ok(read) => {
                self.dependency.on_answer(&gateway);
                let origin = read.origin.clone();
                self.next = origin.next;
                let changes = decode_changes(&gateway, Table::Operators, read);
                apply(&gateway, changes, &origin);
                Some(self.follow_wait)
            }
            Err(StoreError::Expired(_) | StoreError::Restored(_)) => None,
            Err(error) => {
                self.dependency.on_failure(&gateway, &error.to_string());
                sleep(RETRY_PAUSE).await;
                // Request an immediate answer, which proves that the copy is current.
                Some(Duration::ZERO)
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
    } else {
        on_store_restored(gateway);
    }
    apply(gateway, snapshot.changes, &snapshot.origin);
}

/// Keeps orders in force that the restored store may lack.
fn on_store_restored(gateway: &Gateway) {
    on_orders_restored(gateway);
    prolong_publications(gateway);
}

/// Applies what other daemons know, as if this daemon had read it before the store was restored.
fn apply_fleet_orders(gateway: &Gateway, known: Vec<FleetOrders>, origin: &ReadOrigin) {
    for orders in known {
        let record = Bytes::from(orders.configuration_record);
        let store = &gateway.ports.metadata_store;
        let decoded = store.decode(Table::Operators, origin.next.offset, record);
        if let Some(change @ Change::Configuration(_)) = decoded {
            apply_change(gateway, change, origin);
        }
        let domains_out = orders.domains_out.into_iter().map(Change::DomainOut);
        let weights = orders
            .weights
            .into_iter()
            .map(|(model, version)| Change::Weights { model, version });
        for change in domains_out.chain(weights) {
            apply_change(gateway, change, origin);
        }
    }
}

/// Counts the time of published weights from the end of the grace, because another daemon may read
/// of them only when operators have written them again.
fn prolong_publications(gateway: &Gateway) {
    let repeated_at = gateway.now() + RESTORED_ORDER_GRACE;
    let weights = &mut gateway.state.borrow_mut().weights;
    for published in weights.values_mut() {
        published.on_store_restored(repeated_at);
    }
}

/// Applies the removal of orders that a snapshot, which contains no removals, does not list.
fn withdraw_unlisted(gateway: &Gateway, changes: &Changes) {
    on_orders_complete(gateway);
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
            let header_max_bytes = configuration.limits.header_max_bytes;
            gateway
                .client_header_max_bytes
                .send_replace(header_max_bytes);
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
