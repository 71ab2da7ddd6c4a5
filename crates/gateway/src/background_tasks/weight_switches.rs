//! Orders backend servers to load the newest weights, and frees cached parts of older weights in
//! the cache stores. One daemon at a time does this, under a lease.

mod lease_log;
mod orders;

use self::lease_log::LeaseLogRead;
use self::orders::ReadyServer;
use super::retired_parts::{PartRetirement, retired_parts};
use crate::dependency::Dependency;
use crate::gateway::Gateway;
use crate::groups::Role;
use crate::lease::{
    AppendResult, CancelledSwitch, LeaseRecord, LeaseStep, LeaseView, ServerWeights, StartedAppend,
};
use crate::log::Event;
use crate::ports::Topic;
use crate::topic_reader::TopicReader;
use crate::weights::{
    OrderTracker, OutdatedServer, apply_announcement, next_orders, outdated_servers,
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
    orders: OrderTracker,
    retirement: PartRetirement,
    /// Weights that servers have loaded and that no lease record contains yet.
    loaded: Vec<ServerWeights>,
    /// Announced switches that do not take place and that no lease record contains yet.
    cancelled: Vec<CancelledSwitch>,
    /// Time from which on no announcement can still matter whose record was dropped, or lost by a
    /// restored store, before it was read.
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
        self.enter_seen_epoch();
        let now = self.gateway.now();
        if self.lease.fencing_token(now).is_some() {
            self.holder_round().await;
            sleep(ROUND_PAUSE).await;
            return;
        }
        // Only the holder may report on switches: its records are in order.
        self.forget_updates();
        match self.follow_lease().await {
            LeaseLogRead::Complete => {}
            LeaseLogRead::Partial => return,
            LeaseLogRead::Failed => {
                sleep(IDLE_PAUSE).await;
                return;
            }
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
        let store = &self.gateway.ports.metadata_store;
        match store.append_lease(offset, payload.clone()).await {
            Ok(outcome) => {
                let append = StartedAppend { record, started_at };
                let result = self.on_append_answer(append, outcome, payload);
                match (was_held, result) {
                    (false, AppendResult::Stored) => self.log_lease_change("taken", fencing_token),
                    (true, AppendResult::Conflict) => {
                        self.log_lease_change("lost to another daemon", fencing_token);
                    }
                    (_, AppendResult::Restored) => {
                        self.log_lease_change("not held, the store was restored", fencing_token);
                    }
                    _ => {}
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
