//! Orders to backend servers to load weights, and questions for their progress.

use super::WeightSwitcher;
use crate::lease::ServerWeights;
use crate::log::Event;
use crate::permit_client::acquire_control_permits;
use crate::ports::{OrderAnswer, OrderError, ServerReport, WeightOrder};
use crate::server::{ServerEntry, ServerKey};
use crate::server_notices::on_server_notice;
use crate::weights::{OutdatedServer, SentOrder, is_backing_off};
use std::time::Duration;

/// Time after an order before the server is first asked for its progress.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(900);
/// Pause between two requests to a server for its progress.
const POLL_PAUSE: Duration = Duration::from_millis(150);

impl WeightSwitcher {
    /// Asks servers that were ordered to load weights for their progress, because their entries
    /// report it only with the next heartbeat.
    pub(super) async fn poll_progress(&mut self) {
        let now = self.gateway.now();
        let outdated = self.outdated_servers();
        let asked: Vec<OutdatedServer> = outdated
            .into_iter()
            .filter(|one| {
                let order = self
                    .sent_orders
                    .iter()
                    .rfind(|order| order.server == one.server);
                order.is_some_and(|order| now >= order.poll_at)
            })
            .filter(|one| !is_backing_off(&self.gateway.state.borrow().servers, one, now))
            .collect();
        for one in self.permitted(asked, 1).await {
            if let Some(order) = self
                .sent_orders
                .iter_mut()
                .rfind(|order| order.server == one.server)
            {
                order.poll_at = now + POLL_PAUSE;
            }
            if let Some(entry) = self.server_entry(&one) {
                self.fetch_report(&one, &entry).await;
            }
            if let Some(loaded) = self.loaded_weights(&one) {
                self.loaded.push(loaded);
            }
        }
    }

    /// Returns the servers to which a number of calls may be sent under the limits that they name.
    pub(super) async fn permitted(
        &self,
        servers: Vec<OutdatedServer>,
        calls: u32,
    ) -> Vec<OutdatedServer> {
        let mut permitted = Vec::new();
        for one in servers {
            if acquire_control_permits(&self.gateway, one.server, calls).await {
                permitted.push(one);
            }
        }
        permitted
    }

    /// Returns the weights that a server was ordered to load, if it has reported that it holds
    /// them.
    fn loaded_weights(&self, outdated: &OutdatedServer) -> Option<ServerWeights> {
        let state = self.gateway.state.borrow();
        let server = state.servers.get(outdated.server)?;
        let version = server.reported_version_of(&outdated.model)?;
        (version >= outdated.version).then(|| ServerWeights {
            server: server.entry.id.clone(),
            model: outdated.model.clone(),
            version,
        })
    }

    pub(super) async fn send_order(&mut self, outdated: OutdatedServer) {
        let Some(fencing_token) = self.lease.fencing_token(self.gateway.now()) else {
            return;
        };
        let Some(entry) = self.server_entry(&outdated) else {
            return;
        };
        let Some(report) = self.fetch_report(&outdated, &entry).await else {
            return;
        };
        let order = WeightOrder {
            model: outdated.model.clone(),
            version: outdated.version,
            fencing_token,
            expected_orders: report.orders_accepted,
        };
        // The lease may have expired while the report was fetched.
        let now = self.gateway.now();
        if self.lease.fencing_token(now) != Some(fencing_token) {
            return;
        }
        self.sent_orders.push(SentOrder {
            server: outdated.server,
            version: outdated.version,
            sent_at: now,
            poll_at: now + FIRST_POLL_DELAY,
        });
        self.count_control_call(outdated.server);
        let answer = self
            .gateway
            .ports
            .order_client
            .load_weights(&entry, &order)
            .await;
        self.on_order_answer(&outdated, &entry, &order, &answer);
    }

    /// Counts a call to a server for the log of the requests under its limit.
    fn count_control_call(&self, key: ServerKey) {
        if let Some(server) = self.gateway.state.borrow_mut().servers.get_mut(key) {
            server.on_control_call_sent();
        }
    }

    /// Fetches the report of a server, and returns it if the server can be ordered now: it holds
    /// older weights and is not busy.
    async fn fetch_report(
        &self,
        outdated: &OutdatedServer,
        entry: &ServerEntry,
    ) -> Option<ServerReport> {
        self.count_control_call(outdated.server);
        match self.gateway.ports.order_client.report(entry).await {
            Ok(report) => {
                on_server_notice(&self.gateway, outdated.server, report.notice);
                let served = report.models.iter().find(|one| one.model == outdated.model);
                let is_outdated = served.is_some_and(|one| one.version < outdated.version);
                if let Some(served) = served {
                    self.on_version_reported(outdated, served.version, report.is_busy);
                }
                (is_outdated && !report.is_busy).then_some(report)
            }
            Err(error) => {
                self.on_order_error(outdated, &error);
                self.gateway.log_notable(&Event::Order {
                    server: &entry.id,
                    model: &outdated.model,
                    version: outdated.version,
                    loaded: self.loaded_version(outdated),
                    loaded_left_ms: self.loaded_left_ms(outdated),
                    fencing_token: 0,
                    expected_orders: 0,
                    outcome: &format!("not given, no report: {error}"),
                });
                None
            }
        }
    }

    fn on_order_error(&self, outdated: &OutdatedServer, error: &OrderError) {
        if let OrderError::Rejected(_, notice) = error {
            on_server_notice(&self.gateway, outdated.server, *notice);
        }
    }

    fn on_version_reported(&self, outdated: &OutdatedServer, version: u64, is_busy: bool) {
        let servers = &mut self.gateway.state.borrow_mut().servers;
        if let Some(server) = servers.get_mut(outdated.server) {
            server.on_weights_loaded(&outdated.model, version);
            if version >= outdated.version && !is_busy {
                server.on_switched(&outdated.model, version);
            }
        }
    }

    /// Returns the version of the weights that a server has reported.
    fn loaded_version(&self, outdated: &OutdatedServer) -> Option<u64> {
        let state = self.gateway.state.borrow();
        let server = state.servers.get(outdated.server)?;
        server.reported_version_of(&outdated.model)
    }

    /// Returns for how long the weights of a server may still serve new requests.
    fn loaded_left_ms(&self, outdated: &OutdatedServer) -> Option<u64> {
        let version = self.loaded_version(outdated)?;
        let state = self.gateway.state.borrow();
        let published = state.weights.get(&outdated.model)?;
        let switch_time = self.gateway.settings.bounds.weight_switch;
        let until = published.serves_until(version, switch_time)?;
        Some(until.saturating_sub(self.gateway.now()).as_millis() as u64)
    }

    fn server_entry(&self, outdated: &OutdatedServer) -> Option<ServerEntry> {
        let state = self.gateway.state.borrow();
        state
            .servers
            .get(outdated.server)
            .map(|server| server.entry.clone())
    }

    fn on_order_answer(
        &mut self,
        outdated: &OutdatedServer,
        entry: &ServerEntry,
        order: &WeightOrder,
        answer: &Result<OrderAnswer, OrderError>,
    ) {
        let now = self.gateway.now();
        let outcome = match answer {
            Ok(answer) => format!("{answer:?}"),
            Err(error) => {
                self.on_order_error(outdated, error);
                error.to_string()
            }
        };
        self.gateway.log_notable(&Event::Order {
            server: &entry.id,
            model: &order.model,
            version: order.version,
            loaded: self.loaded_version(outdated),
            loaded_left_ms: self.loaded_left_ms(outdated),
            fencing_token: order.fencing_token,
            expected_orders: order.expected_orders,
            outcome: &outcome,
        });
        if *answer == Ok(OrderAnswer::Fenced) {
            self.lease.on_fenced(now);
            self.log_lease_change("fenced", order.fencing_token);
        }
        if *answer == Ok(OrderAnswer::Holds) {
            self.on_version_reported(outdated, outdated.version, false);
        }
    }
}
