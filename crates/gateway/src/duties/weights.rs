//! Brings the backend servers to the newest weights, and frees what older weights have left in the
//! stores. One daemon does it at a time, under a lease.

use crate::dependency::Dependency;
use crate::gateway::Gateway;
use crate::groups::Role;
use crate::lease::{LeaseRecord, LeaseStep, LeaseView, ServerWeights};
use crate::log::Event;
use crate::ports::{Append, OrderAnswer, OrderError, ServerReport, StoreError, Topic, WeightOrder};
use crate::reader::TopicReader;
use crate::server::ServerEntry;
use crate::server_notices::on_server_notice;
use crate::weights::{Outdated, SentOrder, is_backing_off, is_retired, next_orders, outdated};
use bytes::Bytes;
use rand::RngExt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between two looks while there is nothing to do.
const IDLE_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two rounds of the holder.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// Time for which the store may hold a read of the lease log back until there is a record.
const FOLLOW_WAIT: Duration = Duration::from_millis(250);
/// The same while only parts of replaced weights are left to be freed, which is no concern of requests.
const FOLLOW_WAIT_FREEING: Duration = Duration::from_millis(1000);
/// Longest random wait before the lease is taken, so that not all daemons try at once.
const TAKE_WAIT_MAX_MS: u64 = 120;
/// Longest time for which a server that was ordered to load takes no requests: it ends its runs first.
const SWITCH_TIME: Duration = Duration::from_millis(6000);
/// Time between the announcement of an order and the order, in which all daemons learn of it.
const ANNOUNCE_TIME: Duration = Duration::from_millis(60);
/// Time after an order before which its server is not asked whether it is done.
const LOAD_TIME_MIN: Duration = Duration::from_millis(900);
/// Pause between two questions to a server whether it is done.
const ASK_PAUSE: Duration = Duration::from_millis(150);
/// Parts of a store that are freed in one call.
const FREED_AT_ONCE: usize = 400;

/// Runs until the daemon ends.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    let incarnation = gateway.ports.clock.wall_ms();
    let turn_time = gateway.settings.bounds.lease;
    let mut duty = WeightDuty {
        lease: LeaseView::new(gateway.settings.instance.clone(), incarnation, turn_time),
        incarnation,
        sent: Vec::new(),
        loaded: Vec::new(),
        lease_log: Dependency::new("metadata store, leases"),
        reader: TopicReader::new(Topic::Leases, Arc::clone(&gateway.ports.clock)),
        gateway,
    };
    loop {
        if duty.is_idle() || duty.gateway.is_draining.get() {
            duty.sent.clear();
            sleep(IDLE_PAUSE).await;
            continue;
        }
        duty.round().await;
    }
}

struct WeightDuty {
    gateway: Rc<Gateway>,
    lease: LeaseView,
    incarnation: u64,
    sent: Vec<SentOrder>,
    /// Weights that servers have loaded and that are not announced yet.
    loaded: Vec<ServerWeights>,
    lease_log: Dependency,
    reader: TopicReader,
}

impl WeightDuty {
    fn is_idle(&self) -> bool {
        self.outdated().is_empty() && self.retired_parts(1).is_empty()
    }

    fn outdated(&self) -> Vec<Outdated> {
        let state = self.gateway.state.borrow();
        outdated(&state.servers, state.weights.iter())
    }

    async fn round(&mut self) {
        let now = self.gateway.now();
        if self.lease.fencing_token(now).is_some() {
            self.holder_round().await;
            sleep(ROUND_PAUSE).await;
            return;
        }
        if !self.follow().await {
            sleep(IDLE_PAUSE).await;
            return;
        }
        if self.is_candidate()
            && let LeaseStep::Append { at, fencing_token } = self.lease.step(self.gateway.now())
        {
            let wait_ms = {
                let rng = &mut self.gateway.state.borrow_mut().rng;
                rng.random_range(0..TAKE_WAIT_MAX_MS)
            };
            sleep(Duration::from_millis(wait_ms)).await;
            self.append(at, fencing_token, &[]).await;
        }
    }

    /// Whether this daemon may take the lease. In a large fleet the leaders of groups are enough of
    /// them, and each attempt of the others would be a call to the store.
    fn is_candidate(&self) -> bool {
        !matches!(
            self.gateway.state.borrow().role,
            Some(Role::Follower { .. })
        )
    }

    /// Decodes the records of the lease log. Malformed ones are logged and count as nothing.
    fn parse(&self, payloads: &[Bytes]) -> Vec<LeaseRecord> {
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

    /// Reads the lease log. While nobody holds the lease, the read does not wait.
    async fn follow(&mut self) -> bool {
        let from_offset = self.lease.next_offset();
        let is_held = self.lease.step(self.gateway.now()) == LeaseStep::Wait;
        let wait = match (is_held || !self.is_candidate(), self.outdated().is_empty()) {
            (true, true) => FOLLOW_WAIT_FREEING,
            (true, false) => FOLLOW_WAIT,
            (false, _) => Duration::ZERO,
        };
        match self.reader.read(&self.gateway, from_offset, wait).await {
            Ok(page) => {
                let records = self.parse(&page.records);
                let now = self.gateway.now();
                self.lease_log.on_answer(&self.gateway);
                self.lease.on_read(&records, page.next_offset, now);
                self.on_records(&records);
                self.gateway.state.borrow_mut().switches_read_at = page.verified_at;
                true
            }
            Err(StoreError::Expired(first_offset)) => {
                // Records that the store no longer keeps are far older than any lease.
                let now = self.gateway.now();
                self.lease.on_read(&[], first_offset, now);
                false
            }
            Err(error) => {
                self.lease_log.on_failure(&self.gateway, &error.to_string());
                false
            }
        }
    }

    /// Keeps requests from the servers that another daemon orders to load, until they are done.
    fn on_records(&self, records: &[LeaseRecord]) {
        let now = self.gateway.now();
        let state = &mut *self.gateway.state.borrow_mut();
        for record in records {
            for ordered in &record.switching {
                let key = state.servers.key_of(&ordered.server);
                if let Some(server) = key.and_then(|key| state.servers.get_mut(key)) {
                    let until = now + SWITCH_TIME;
                    server.on_switch_ordered(&ordered.model, ordered.version, until);
                }
            }
            for loaded in &record.loaded {
                let key = state.servers.key_of(&loaded.server);
                if let Some(server) = key.and_then(|key| state.servers.get_mut(key)) {
                    server.on_weights_loaded(&loaded.model, loaded.version);
                    server.on_switched(&loaded.model, loaded.version);
                }
            }
        }
    }

    async fn holder_round(&mut self) {
        self.ask_for_progress().await;
        let now = self.gateway.now();
        let due = {
            let state = self.gateway.state.borrow();
            let free: Vec<Outdated> = self
                .outdated()
                .into_iter()
                .filter(|one| !self.is_others_turn(one, now))
                .collect();
            next_orders(&state.servers, &free, &self.sent, now)
        };
        let has_news = !due.is_empty() || !self.loaded.is_empty();
        if let LeaseStep::Append { at, fencing_token } = self.lease.renewal(now, has_news) {
            self.append(at, fencing_token, &due).await;
        }
        if !due.is_empty() {
            self.avoid(&due);
            sleep(ANNOUNCE_TIME).await;
        }
        for one in due {
            self.order(one).await;
        }
        self.free_retired().await;
    }

    async fn append(&mut self, at: u64, fencing_token: u64, due: &[Outdated]) {
        let started_at = self.gateway.now();
        let record = LeaseRecord {
            holder: self.gateway.settings.instance.clone(),
            incarnation: self.incarnation,
            fencing_token,
            switching: self.announcements(due),
            loaded: std::mem::take(&mut self.loaded),
        };
        let payload = match serde_json::to_vec(&record) {
            Ok(payload) => Bytes::from(payload),
            Err(error) => {
                self.log_lease(&format!("record not encoded: {error}"), fencing_token);
                return;
            }
        };
        let was_held = self.lease.fencing_token(started_at).is_some();
        match self
            .gateway
            .ports
            .store
            .append_lease(at, payload.clone())
            .await
        {
            Ok(Append::Stored(offset)) => {
                self.gateway.state.borrow_mut().switches_read_at = started_at;
                let gateway = &self.gateway;
                gateway.on_topic_read(Topic::Leases, offset, &[payload], started_at);
                self.lease.on_stored(record, offset, started_at);
                if !was_held {
                    self.log_lease("taken", fencing_token);
                }
            }
            Ok(Append::Moved(_)) => {
                self.lease.on_moved();
                if was_held {
                    self.log_lease("lost to another daemon", fencing_token);
                }
            }
            Err(error) => {
                // The record may be stored all the same, now or later; the log tells.
                self.lease.on_moved();
                self.log_lease(&format!("append failed: {error}"), fencing_token);
            }
        }
    }

    fn is_others_turn(&self, one: &Outdated, now: Duration) -> bool {
        let state = self.gateway.state.borrow();
        let server = state.servers.get(one.server);
        server.is_some_and(|server| self.lease.is_others_turn(&server.entry.id, now))
    }

    fn announcements(&self, due: &[Outdated]) -> Vec<ServerWeights> {
        let state = self.gateway.state.borrow();
        let announce = |one: &Outdated| {
            let server = state.servers.get(one.server)?;
            Some(ServerWeights {
                server: server.entry.id.clone(),
                model: one.model.clone(),
                version: one.version,
            })
        };
        due.iter().filter_map(announce).collect()
    }

    fn avoid(&self, due: &[Outdated]) {
        let until = self.gateway.now() + SWITCH_TIME;
        let servers = &mut self.gateway.state.borrow_mut().servers;
        for one in due {
            if let Some(server) = servers.get_mut(one.server) {
                server.on_switch_ordered(&one.model, one.version, until);
            }
        }
    }

    fn log_lease(&self, change: &str, fencing_token: u64) {
        self.gateway.log_notable(&Event::Lease {
            change,
            fencing_token,
        });
    }

    /// Asks the servers that were ordered to load whether they are done, because their entries tell
    /// it only with their next heartbeat.
    async fn ask_for_progress(&mut self) {
        let now = self.gateway.now();
        let outdated = self.outdated();
        let asked: Vec<Outdated> = outdated
            .into_iter()
            .filter(|one| {
                let order = self.sent.iter().rfind(|order| order.server == one.server);
                order.is_some_and(|order| now >= order.ask_at)
            })
            .filter(|one| !is_backing_off(&self.gateway.state.borrow().servers, one, now))
            .collect();
        for one in asked {
            if let Some(order) = self
                .sent
                .iter_mut()
                .rfind(|order| order.server == one.server)
            {
                order.ask_at = now + ASK_PAUSE;
            }
            if let Some(entry) = self.entry(&one) {
                self.report(&one, &entry).await;
            }
            if let Some(loaded) = self.loaded(&one) {
                self.loaded.push(loaded);
            }
        }
    }

    /// The weights that a server was ordered to load, if it told that it holds them.
    fn loaded(&self, due: &Outdated) -> Option<ServerWeights> {
        let state = self.gateway.state.borrow();
        let server = state.servers.get(due.server)?;
        let version = server.reported_version_of(&due.model)?;
        (version >= due.version).then(|| ServerWeights {
            server: server.entry.id.clone(),
            model: due.model.clone(),
            version,
        })
    }

    async fn order(&mut self, due: Outdated) {
        let Some(fencing_token) = self.lease.fencing_token(self.gateway.now()) else {
            return;
        };
        let Some(entry) = self.entry(&due) else {
            return;
        };
        let Some(report) = self.report(&due, &entry).await else {
            return;
        };
        let order = WeightOrder {
            model: due.model.clone(),
            version: due.version,
            fencing_token,
            expected_orders: report.orders_accepted,
        };
        // The report took time; the lease may have ended meanwhile.
        let now = self.gateway.now();
        if self.lease.fencing_token(now) != Some(fencing_token) {
            return;
        }
        self.sent.push(SentOrder {
            server: due.server,
            version: due.version,
            sent_at: now,
            ask_at: now + LOAD_TIME_MIN,
        });
        let answer = self.gateway.ports.orders.load_weights(&entry, &order).await;
        self.on_answer(&due, &entry, &order, &answer);
    }

    /// The state of a server that can take the order now.
    async fn report(&self, due: &Outdated, entry: &ServerEntry) -> Option<ServerReport> {
        match self.gateway.ports.orders.report(entry).await {
            Ok(report) => {
                on_server_notice(&self.gateway, due.server, report.notice);
                let served = report.models.iter().find(|one| one.model == due.model);
                let is_outdated = served.is_some_and(|one| one.version < due.version);
                if let Some(served) = served {
                    self.on_served(due, served.version, report.is_busy);
                }
                (is_outdated && !report.is_busy).then_some(report)
            }
            Err(error) => {
                self.on_order_error(due, &error);
                self.gateway.log_notable(&Event::Order {
                    server: &entry.id,
                    model: &due.model,
                    version: due.version,
                    fencing_token: 0,
                    expected_orders: 0,
                    outcome: &format!("not given, no report: {error}"),
                });
                None
            }
        }
    }

    fn on_order_error(&self, due: &Outdated, error: &OrderError) {
        if let OrderError::Rejected(_, notice) = error {
            on_server_notice(&self.gateway, due.server, *notice);
        }
    }

    fn on_served(&self, due: &Outdated, version: u64, is_busy: bool) {
        let servers = &mut self.gateway.state.borrow_mut().servers;
        if let Some(server) = servers.get_mut(due.server) {
            server.on_weights_loaded(&due.model, version);
            if version >= due.version && !is_busy {
                server.on_switched(&due.model, version);
            }
        }
    }

    fn entry(&self, due: &Outdated) -> Option<ServerEntry> {
        let state = self.gateway.state.borrow();
        state
            .servers
            .get(due.server)
            .map(|server| server.entry.clone())
    }

    fn on_answer(
        &mut self,
        due: &Outdated,
        entry: &ServerEntry,
        order: &WeightOrder,
        answer: &Result<OrderAnswer, OrderError>,
    ) {
        let now = self.gateway.now();
        let outcome = match answer {
            Ok(answer) => format!("{answer:?}"),
            Err(error) => {
                self.on_order_error(due, error);
                error.to_string()
            }
        };
        self.gateway.log_notable(&Event::Order {
            server: &entry.id,
            model: &order.model,
            version: order.version,
            fencing_token: order.fencing_token,
            expected_orders: order.expected_orders,
            outcome: &outcome,
        });
        if *answer == Ok(OrderAnswer::Fenced) {
            self.lease.on_fenced(now);
            self.log_lease("fenced", order.fencing_token);
        }
        if *answer == Ok(OrderAnswer::Holds) {
            self.on_served(due, due.version, false);
        }
    }

    fn retired_parts(
        &self,
        limit: usize,
    ) -> Vec<(std::net::SocketAddr, Vec<crate::caches::CachedPart>)> {
        let now = self.gateway.now();
        let state = self.gateway.state.borrow();
        let times = self.gateway.old_part_times();
        state.caches.retired_parts(limit, |scope, id_hash| {
            is_retired(scope, id_hash, &state.weights, times, now)
        })
    }

    /// Frees what no daemon reads any more.
    async fn free_retired(&mut self) {
        for (address, parts) in self.retired_parts(FREED_AT_ONCE) {
            match self.gateway.ports.caches.free(address, &parts).await {
                Ok(()) => {
                    self.gateway.log_notable(&Event::PartsFreed {
                        store: &address.to_string(),
                        parts: parts.len(),
                    });
                    let state = &mut *self.gateway.state.borrow_mut();
                    state.caches.on_parts_freed(address, &parts);
                }
                Err(reason) => self.gateway.log_notable(&Event::DependencyLost {
                    dependency: "store of kept cache",
                    reason: &reason.to_string(),
                }),
            }
        }
    }
}
