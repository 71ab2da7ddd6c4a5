//! Orders backend servers to load the newest weights, and frees cached parts of older weights in
//! the cache stores. One daemon at a time does this, under a lease.

mod orders;

use self::orders::ReadyServer;
use super::retired_parts::{PartRetirement, retired_parts};
use crate::dependency::Dependency;
use crate::gateway::Gateway;
use crate::groups::Role;
use crate::lease::{
    ANNOUNCED_EFFECT_MAX, CancelledSwitch, LeaseRecord, LeaseStep, LeaseView, ServerWeights,
};
use crate::log::Event;
use crate::log_position::{LogPosition, StoreEpoch};
use crate::ports::{AppendOutcome, StoreError, Topic};
use crate::topic_reader::TopicReader;
use crate::weights::{
    OrderTracker, OutdatedServer, apply_announcement, apply_records, next_orders, outdated_servers,
};
use bytes::Bytes;
use rand::RngExt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between two checks while there is nothing to do.
const IDLE_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two rounds of the lease holder.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// Time for which the metadata store may hold a read of the lease log back until there is a record.
const FOLLOW_WAIT: Duration = Duration::from_millis(250);
/// The same while the only remaining work is to free cached parts of replaced weights, which does
/// not affect requests.
const FOLLOW_WAIT_FREEING: Duration = Duration::from_millis(1000);
/// Maximum random delay before the lease is taken, in milliseconds, so that not all daemons try at
/// once.
const ACQUIRE_DELAY_MAX_MS: u64 = 120;
/// Time between the announcement of an order and the order itself, in which all daemons read the
/// announcement.
const ANNOUNCEMENT_LEAD_TIME: Duration = Duration::from_millis(60);
/// Time from which a round of the lease holder is logged. A few such rounds use up the lease.
const SLOW_ROUND: Duration = Duration::from_millis(400);

/// Runs until the daemon ends. Orders servers and frees parts while this daemon holds the lease;
/// otherwise follows the lease log and takes the lease when it is free.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    let incarnation = gateway.ports.clock.wall_ms();
    let order_gap = gateway.settings.bounds.order_gap;
    let mut switcher = WeightSwitcher {
        lease: LeaseView::new(gateway.settings.instance.clone(), incarnation, order_gap),
        incarnation,
        epoch: StoreEpoch::default(),
        orders: OrderTracker::default(),
        retirement: PartRetirement::default(),
        loaded: Vec::new(),
        cancelled: Vec::new(),
        complete_from: Duration::ZERO,
        lease_dependency: Dependency::new("metadata store, leases"),
        reader: TopicReader::new(Topic::Leases, Arc::clone(&gateway.ports.clock)),
        gateway,
    };
    loop {
        let is_draining = switcher.gateway.is_draining.get();
        if is_draining {
            switcher.release_lease().await;
        }
        if is_draining || switcher.is_idle() {
            switcher.orders.clear();
            switcher.forget_updates();
            sleep(IDLE_PAUSE).await;
            continue;
        }
        switcher.round().await;
    }
}

/// What a record of the lease log tells other daemons.
#[derive(Default)]
struct RecordContent {
    /// Servers that are about to be ordered.
    switching: Vec<ServerWeights>,
    /// Whether the lease is given up.
    is_released: bool,
}

struct WeightSwitcher {
    gateway: Rc<Gateway>,
    lease: LeaseView,
    incarnation: u64,
    /// Epoch in which the log of leases was read.
    epoch: StoreEpoch,
    orders: OrderTracker,
    retirement: PartRetirement,
    /// Weights that servers have loaded and that no lease record contains yet.
    loaded: Vec<ServerWeights>,
    /// Announced switches that do not take place and that no lease record contains yet.
    cancelled: Vec<CancelledSwitch>,
    /// Time from which on no announcement in records that were dropped before they were read can
    /// still matter.
    complete_from: Duration,
    lease_dependency: Dependency,
    reader: TopicReader,
}

impl WeightSwitcher {
    fn is_idle(&self) -> bool {
        !self.has_updates()
            && self.outdated_servers().is_empty()
            && retired_parts(&self.gateway, 1).is_empty()
    }

    /// Returns whether the next lease record has something to tell of earlier orders.
    fn has_updates(&self) -> bool {
        !self.loaded.is_empty() || !self.cancelled.is_empty()
    }

    fn outdated_servers(&self) -> Vec<OutdatedServer> {
        let state = self.gateway.state.borrow();
        let switch_time = self.gateway.settings.bounds.weight_switch;
        outdated_servers(&state.servers, state.weights.iter(), switch_time)
    }

    /// Forgets what the next lease record would have told other daemons.
    fn forget_updates(&mut self) {
        self.loaded.clear();
        self.cancelled.clear();
    }

    async fn round(&mut self) {
        let now = self.gateway.now();
        if self.lease.fencing_token(now).is_some() {
            self.holder_round().await;
            sleep(ROUND_PAUSE).await;
            return;
        }
        // Only the holder may report on switches: its records are in order.
        self.forget_updates();
        if !self.follow_lease().await {
            sleep(IDLE_PAUSE).await;
            return;
        }
        if self.is_candidate()
            && let LeaseStep::Append {
                offset,
                fencing_token,
            } = self.lease.acquisition(self.gateway.now())
        {
            let wait_ms = {
                let rng = &mut self.gateway.state.borrow_mut().rng;
                rng.random_range(0..ACQUIRE_DELAY_MAX_MS)
            };
            sleep(Duration::from_millis(wait_ms)).await;
            let content = RecordContent::default();
            self.append_record(offset, fencing_token, content).await;
        }
    }

    /// Gives the lease up, if this daemon holds it.
    async fn release_lease(&mut self) {
        if let LeaseStep::Append {
            offset,
            fencing_token,
        } = self.lease.renewal(self.gateway.now(), true)
        {
            let content = RecordContent {
                switching: Vec::new(),
                is_released: true,
            };
            self.append_record(offset, fencing_token, content).await;
            self.log_lease_change("released", fencing_token);
        }
    }

    /// Returns whether this daemon may take the lease. In a large fleet only the leaders of groups
    /// may: they are enough, and each attempt of another daemon would cost a call to the metadata
    /// store.
    fn is_candidate(&self) -> bool {
        !matches!(
            self.gateway.state.borrow().role,
            Some(Role::Follower { .. })
        )
    }

    /// Decodes records of the lease log. Malformed records are logged and skipped.
    fn parse_records(&self, payloads: &[Bytes]) -> Vec<LeaseRecord> {
        let parse_one = |payload: &Bytes| match serde_json::from_slice(payload) {
            Ok(record) => Some(record),
            Err(error) => {
                self.gateway.log_notable(&Event::RecordMalformed {
                    key: "lease log",
                    reason: &error.to_string(),
                });
                None
            }
        };
        payloads.iter().filter_map(parse_one).collect()
    }

    /// Reads the lease log and returns whether the read succeeded. While the lease is free and this
    /// daemon may take it, the read does not wait for new records.
    async fn follow_lease(&mut self) -> bool {
        let from = LogPosition {
            epoch: self.epoch,
            offset: self.lease.next_offset(),
        };
        let is_held = self.lease.acquisition(self.gateway.now()) == LeaseStep::Wait;
        let wait = match (
            is_held || !self.is_candidate(),
            self.outdated_servers().is_empty(),
        ) {
            (true, true) => FOLLOW_WAIT_FREEING,
            (true, false) => FOLLOW_WAIT,
            (false, _) => Duration::ZERO,
        };
        match self.reader.read(&self.gateway, from, wait).await {
            Ok(page) => {
                let records = self.parse_records(&page.records);
                let now = self.gateway.now();
                self.lease_dependency.on_answer(&self.gateway);
                self.epoch = page.origin.next.epoch;
                self.lease.on_read(&records, page.origin.next.offset, now);
                self.on_lease_records(&records);
                self.on_log_verified(page.origin.verified_at);
                true
            }
            Err(StoreError::Expired(first)) => {
                // Records that the metadata store no longer keeps are much older than any valid
                // lease, unless the store has lost its history.
                let now = self.gateway.now();
                self.epoch = first.epoch;
                self.lease.on_read(&[], first.offset, now);
                self.complete_from = now + ANNOUNCED_EFFECT_MAX;
                false
            }
            Err(StoreError::Restored(epoch)) => {
                let now = self.gateway.now();
                self.epoch = epoch;
                self.lease.on_read(&[], 0, now);
                self.complete_from = now + ANNOUNCED_EFFECT_MAX;
                false
            }
            Err(error) => {
                self.lease_dependency
                    .on_failure(&self.gateway, &error.to_string());
                false
            }
        }
    }

    fn on_lease_records(&self, records: &[LeaseRecord]) {
        let now = self.gateway.now();
        apply_records(&mut self.gateway.state.borrow_mut().servers, records, now);
    }

    /// Records that this daemon knew all announcements at a time, unless some were dropped before
    /// it read them.
    fn on_log_verified(&self, verified_at: Duration) {
        if verified_at >= self.complete_from {
            self.gateway.state.borrow_mut().switches_read_at = verified_at;
        }
    }

    async fn holder_round(&mut self) {
        let started_at = self.gateway.now();
        self.poll_progress().await;
        let polled_at = self.gateway.now();
        let ready = self.ready_servers(self.candidates(polled_at)).await;
        let has_updates = !ready.is_empty() || self.has_updates();
        if let LeaseStep::Append {
            offset,
            fencing_token,
        } = self.lease.renewal(self.gateway.now(), has_updates)
        {
            let content = RecordContent {
                switching: ready.iter().map(ReadyServer::announcement).collect(),
                is_released: false,
            };
            self.append_record(offset, fencing_token, content).await;
        }
        // Without the lease the orders are not given, so their servers stay in use.
        let holds_lease = self.lease.fencing_token(self.gateway.now()).is_some();
        if holds_lease && !ready.is_empty() {
            self.block_requests(&ready);
            sleep(ANNOUNCEMENT_LEAD_TIME).await;
        }
        self.send_orders(ready).await;
        self.retirement.start(&self.gateway);
        let ended_at = self.gateway.now();
        if ended_at > started_at + SLOW_ROUND {
            self.gateway.log_notable(&Event::SlowSwitchRound {
                polls_ms: polled_at.saturating_sub(started_at).as_millis() as u64,
                orders_ms: ended_at.saturating_sub(polled_at).as_millis() as u64,
            });
        }
    }

    /// Returns the servers to order next.
    fn candidates(&self, now: Duration) -> Vec<OutdatedServer> {
        let unreserved: Vec<OutdatedServer> = self
            .outdated_servers()
            .into_iter()
            .filter(|one| !self.is_reserved_by_other(one, now))
            .collect();
        let state = self.gateway.state.borrow();
        next_orders(&state.servers, &unreserved, &self.orders, now)
    }

    async fn append_record(&mut self, offset: u64, fencing_token: u64, content: RecordContent) {
        let started_at = self.gateway.now();
        let record = LeaseRecord {
            holder: self.gateway.settings.instance.clone(),
            incarnation: self.incarnation,
            fencing_token,
            switching: content.switching,
            loaded: self.loaded.clone(),
            cancelled: self.cancelled.clone(),
            is_released: content.is_released,
        };
        let payload = match serde_json::to_vec(&record) {
            Ok(payload) => Bytes::from(payload),
            Err(error) => {
                self.log_lease_change(&format!("record not encoded: {error}"), fencing_token);
                return;
            }
        };
        let was_held = self.lease.fencing_token(started_at).is_some();
        match self
            .gateway
            .ports
            .metadata_store
            .append_lease(offset, payload.clone())
            .await
        {
            Ok(AppendOutcome::Stored(stored)) => {
                self.on_log_verified(started_at);
                let gateway = &self.gateway;
                gateway.on_topic_read(Topic::Leases, stored, &[payload], started_at);
                self.forget_updates();
                self.lease
                    .on_append_stored(record, stored.offset, started_at);
                if !was_held {
                    self.log_lease_change("taken", fencing_token);
                }
            }
            Ok(AppendOutcome::Conflict(_)) => {
                self.lease.on_append_unconfirmed();
                if was_held {
                    self.log_lease_change("lost to another daemon", fencing_token);
                }
            }
            Err(error) => {
                // The record may have been stored anyway, or be stored later; reading the log shows
                // whether it was.
                self.lease.on_append_unconfirmed();
                self.log_lease_change(&format!("append failed: {error}"), fencing_token);
            }
        }
    }

    fn is_reserved_by_other(&self, one: &OutdatedServer, now: Duration) -> bool {
        let state = self.gateway.state.borrow();
        let server = state.servers.get(one.server);
        server.is_some_and(|server| self.lease.is_reserved_by_other(&server.entry.id, now))
    }

    fn block_requests(&self, ready: &[ReadyServer]) {
        let now = self.gateway.now();
        let servers = &mut self.gateway.state.borrow_mut().servers;
        for one in ready {
            if let Some(server) = servers.get_mut(one.target.server) {
                apply_announcement(server, &one.announcement(), now);
            }
        }
    }

    fn log_lease_change(&self, change: &str, fencing_token: u64) {
        self.gateway.log_notable(&Event::Lease {
            change,
            fencing_token,
        });
    }
}
