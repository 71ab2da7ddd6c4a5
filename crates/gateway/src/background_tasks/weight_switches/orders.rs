//! Orders to backend servers to load weights, and questions for their progress.

use super::WeightSwitcher;
use crate::lease::{CancelledSwitch, ORDER_EFFECT_MAX, ServerWeights};
use crate::log::Event;
use crate::permit_client::acquire_control_permits;
use crate::ports::{OrderAnswer, OrderError, WeightOrder};
use crate::server::ServerEntry;
use crate::server_notices::on_server_notice;
use crate::weights::{OrderOutcome, OutdatedServer, is_backing_off};
use futures_util::future::join_all;
use std::time::Duration;

/// Number of calls with which a server is ordered to load weights: its report, and the order.
const CALLS_PER_ORDER: u32 = 2;

/// A server that can be ordered to load weights.
pub(super) struct ReadyServer {
    pub(super) target: OutdatedServer,
    entry: ServerEntry,
    /// Number of orders that the server has accepted since its start.
    orders_accepted: u64,
    /// Time until which an earlier order for the model may still take effect.
    earlier_order_until: Option<Duration>,
}

impl ReadyServer {
    /// Returns the record by which the order is announced.
    pub(super) fn announcement(&self) -> ServerWeights {
        ServerWeights {
            server: self.entry.id.clone(),
            model: self.target.model.clone(),
            version: self.target.version,
        }
    }
}

/// What a server reported about its weights.
enum Progress {
    /// It holds the newest weights.
    Switched,
    /// It is carrying out an order.
    Busy,
    /// It holds older weights and can be ordered.
    Ready(ReadyServer),
    /// It did not report on the model's weights.
    Unknown,
}

impl WeightSwitcher {
    /// Asks servers that were ordered to load weights for their progress, because their entries
    /// report it only with the next heartbeat.
    pub(super) async fn poll_progress(&mut self) {
        let now = self.gateway.now();
        let mut asked = self.outdated_servers();
        asked.retain(|one| {
            let servers = &self.gateway.state.borrow().servers;
            self.orders.is_poll_due(one, now) && !is_backing_off(servers, one, now)
        });
        for (target, progress) in self.reports(asked, 1).await {
            let now = self.gateway.now();
            let is_answered = !matches!(progress, Progress::Unknown);
            self.orders.on_polled(&target, is_answered, now);
            if let Progress::Ready(ready) = progress {
                self.orders.on_idle(&target, now);
                self.cancel_announcement(&ready, ready.earlier_order_until);
            }
        }
    }

    /// Returns those of the servers that can be ordered now, according to their reports.
    pub(super) async fn ready_servers(
        &mut self,
        candidates: Vec<OutdatedServer>,
    ) -> Vec<ReadyServer> {
        let mut ready_servers = Vec::new();
        for (target, progress) in self.reports(candidates, CALLS_PER_ORDER).await {
            let outcome = match progress {
                Progress::Ready(ready) => {
                    ready_servers.push(ready);
                    continue;
                }
                Progress::Switched => continue,
                Progress::Busy => OrderOutcome::Busy,
                Progress::Unknown => OrderOutcome::NoReport,
            };
            let now = self.gateway.now();
            self.orders.on_outcome(&target, outcome, now);
        }
        ready_servers
    }

    /// Fetches the reports of servers to which `calls` calls may be sent under the limits that they
    /// name. All are asked at the same time, so that one that does not answer delays no other.
    async fn reports(
        &mut self,
        servers: Vec<OutdatedServer>,
        calls: u32,
    ) -> Vec<(OutdatedServer, Progress)> {
        let asked = servers.into_iter().map(|target| {
            let switcher = &*self;
            async move {
                let gateway = &switcher.gateway;
                if !acquire_control_permits(gateway, target.server, calls).await {
                    return None;
                }
                let progress = switcher.fetch_progress(&target).await;
                Some((target, progress))
            }
        });
        let reports: Vec<_> = join_all(asked).await.into_iter().flatten().collect();
        for (target, progress) in &reports {
            if let Progress::Switched = progress {
                self.loaded.extend(self.loaded_weights(target));
            }
        }
        reports
    }

    /// Returns the weights that a server has reported.
    fn loaded_weights(&self, target: &OutdatedServer) -> Option<ServerWeights> {
        let state = self.gateway.state.borrow();
        let server = state.servers.get(target.server)?;
        Some(ServerWeights {
            server: server.entry.id.clone(),
            model: target.model.clone(),
            version: server.reported_version_of(&target.model)?,
        })
    }

    /// Orders the servers at the same time, if this daemon still holds the lease.
    pub(super) async fn send_orders(&mut self, ready: Vec<ReadyServer>) {
        let Some(fencing_token) = self.lease.fencing_token(self.gateway.now()) else {
            return;
        };
        let calls = ready.into_iter().map(|ready| {
            let switcher = &*self;
            async move {
                let order = WeightOrder {
                    model: ready.target.model.clone(),
                    version: ready.target.version,
                    fencing_token,
                    expected_orders: ready.orders_accepted,
                };
                switcher.count_control_call(&ready.target);
                let client = &switcher.gateway.ports.order_client;
                let answer = client.load_weights(&ready.entry, &order).await;
                (ready, order, answer)
            }
        });
        for (ready, order, answer) in join_all(calls).await {
            self.on_order_answer(&ready, &order, &answer);
        }
    }

    /// Lets requests reach a server again that was announced to switch and does not. Nothing is read
    /// from it while an order may still take effect, until the time `order_until`.
    fn cancel_announcement(&mut self, ready: &ReadyServer, order_until: Option<Duration>) {
        let target = &ready.target;
        let now = self.gateway.now();
        self.set_pending_order(ready, order_until);
        let servers = &mut self.gateway.state.borrow_mut().servers;
        if let Some(server) = servers.get_mut(target.server) {
            server.on_switch_cancelled(&target.model, target.version);
        }
        let left = order_until.map_or(Duration::ZERO, |until| until.saturating_sub(now));
        self.gateway.metrics.count(if left.is_zero() {
            "switches_cancelled"
        } else {
            "switches_cancelled_with_pending_order"
        });
        self.gateway.log_notable(&Event::Server {
            server: &ready.entry.id,
            change: &format!(
                "switch cancelled, order pending for {} ms",
                left.as_millis()
            ),
            service: &ready.entry.service,
            address: &ready.entry.address.to_string(),
        });
        self.cancelled.push(CancelledSwitch {
            weights: ready.announcement(),
            order_left_ms: left.as_millis() as u64,
        });
    }

    /// Records until when an order to a server may take effect.
    fn set_pending_order(&self, ready: &ReadyServer, until: Option<Duration>) {
        let target = &ready.target;
        let servers = &mut self.gateway.state.borrow_mut().servers;
        let Some(server) = servers.get_mut(target.server) else {
            return;
        };
        server.on_orders_settled(&target.model);
        if let Some(until) = until {
            let expected = Some(ready.orders_accepted);
            server.on_order_pending(&target.model, target.version, until, expected);
        }
    }

    /// Counts a call to a server for the log of the requests under its limit.
    fn count_control_call(&self, target: &OutdatedServer) {
        let servers = &mut self.gateway.state.borrow_mut().servers;
        if let Some(server) = servers.get_mut(target.server) {
            server.on_control_call_sent();
        }
    }

    /// Fetches the report of a server, and records the version that it tells.
    async fn fetch_progress(&self, target: &OutdatedServer) -> Progress {
        let Some(entry) = self.server_entry(target) else {
            return Progress::Unknown;
        };
        self.count_control_call(target);
        let report = match self.gateway.ports.order_client.report(&entry).await {
            Ok(report) => report,
            Err(error) => {
                self.on_no_report(target, &entry, &error);
                return Progress::Unknown;
            }
        };
        on_server_notice(&self.gateway, target.server, report.notice);
        let served = report.models.iter().find(|one| one.model == target.model);
        let Some(served) = served else {
            return Progress::Unknown;
        };
        self.on_version_reported(target, served.version, report.is_busy);
        if served.version >= target.version {
            Progress::Switched
        } else if report.is_busy {
            Progress::Busy
        } else {
            Progress::Ready(ReadyServer {
                target: target.clone(),
                entry,
                orders_accepted: report.orders_accepted,
                earlier_order_until: self.pending_after_report(target, report.orders_accepted),
            })
        }
    }

    /// Returns the time until which an earlier order for the model may take effect, at a server that
    /// loads nothing and reports the number of orders that it has accepted.
    fn pending_after_report(
        &self,
        target: &OutdatedServer,
        orders_accepted: u64,
    ) -> Option<Duration> {
        let now = self.gateway.now();
        let servers = &mut self.gateway.state.borrow_mut().servers;
        let server = servers.get_mut(target.server)?;
        server.on_orders_reported(orders_accepted);
        server.model_order_pending_until(&target.model, now)
    }

    fn on_no_report(&self, target: &OutdatedServer, entry: &ServerEntry, error: &OrderError) {
        self.on_order_error(target, error);
        self.gateway.log_notable(&Event::Order {
            server: &entry.id,
            model: &target.model,
            version: target.version,
            loaded: self.loaded_version(target),
            loaded_left_ms: self.loaded_left_ms(target),
            fencing_token: 0,
            expected_orders: 0,
            outcome: &format!("not given, no report: {error}"),
        });
    }

    fn on_order_error(&self, target: &OutdatedServer, error: &OrderError) {
        if let OrderError::Rejected(_, notice) = error {
            on_server_notice(&self.gateway, target.server, *notice);
        }
    }

    fn on_version_reported(&self, target: &OutdatedServer, version: u64, is_busy: bool) {
        let servers = &mut self.gateway.state.borrow_mut().servers;
        if let Some(server) = servers.get_mut(target.server) {
            server.on_weights_loaded(&target.model, version);
            if version >= target.version && !is_busy {
                server.on_switched(&target.model, version);
            }
        }
    }

    /// Returns the version of the weights that a server has reported.
    fn loaded_version(&self, target: &OutdatedServer) -> Option<u64> {
        let state = self.gateway.state.borrow();
        let server = state.servers.get(target.server)?;
        server.reported_version_of(&target.model)
    }

    /// Returns for how long the weights of a server may still serve new requests.
    fn loaded_left_ms(&self, target: &OutdatedServer) -> Option<u64> {
        let version = self.loaded_version(target)?;
        let state = self.gateway.state.borrow();
        let published = state.weights.get(&target.model)?;
        let switch_time = self.gateway.settings.bounds.weight_switch;
        let until = published.serves_until(version, switch_time)?;
        Some(until.saturating_sub(self.gateway.now()).as_millis() as u64)
    }

    fn server_entry(&self, target: &OutdatedServer) -> Option<ServerEntry> {
        let state = self.gateway.state.borrow();
        let server = state.servers.get(target.server)?;
        Some(server.entry.clone())
    }

    fn on_order_answer(
        &mut self,
        ready: &ReadyServer,
        order: &WeightOrder,
        answer: &Result<OrderAnswer, OrderError>,
    ) {
        let now = self.gateway.now();
        let text = match answer {
            Ok(answer) => format!("{answer:?}"),
            Err(error) => {
                self.on_order_error(&ready.target, error);
                error.to_string()
            }
        };
        self.gateway.log_notable(&Event::Order {
            server: &ready.entry.id,
            model: &order.model,
            version: order.version,
            loaded: self.loaded_version(&ready.target),
            loaded_left_ms: self.loaded_left_ms(&ready.target),
            fencing_token: order.fencing_token,
            expected_orders: order.expected_orders,
            outcome: &text,
        });
        let outcome = match answer {
            Ok(OrderAnswer::Accepted | OrderAnswer::Holds) => OrderOutcome::Accepted,
            Err(OrderError::NoAnswer(_)) => OrderOutcome::Unanswered,
            Ok(OrderAnswer::Conflict | OrderAnswer::Fenced) | Err(OrderError::Rejected(..)) => {
                OrderOutcome::Rejected
            }
        };
        self.orders.on_outcome(&ready.target, outcome, now);
        if outcome == OrderOutcome::Rejected {
            self.cancel_announcement(ready, ready.earlier_order_until);
        } else {
            // Once the order has taken effect, no earlier one does.
            self.set_pending_order(ready, Some(now + ORDER_EFFECT_MAX));
        }
        match answer {
            Ok(OrderAnswer::Fenced) => {
                self.lease.on_fenced(now);
                self.log_lease_change("fenced", order.fencing_token);
            }
            Ok(OrderAnswer::Holds) => {
                self.on_version_reported(&ready.target, ready.target.version, false);
            }
            _ => {}
        }
    }
}
