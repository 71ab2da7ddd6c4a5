//! Sends load reports to the other daemons.

use super::peer_messages::send_message;
use crate::caches::{CacheDirectory, LinkAccount, link_hash, name_hash};
use crate::configuration::Configuration;
use crate::gateway::{Gateway, ServiceLoad};
use crate::groups::Role;
use crate::peer_message::PeerMessage;
use crate::peers::{EngineLoad, EngineTotal, LoadReport, LoadReporter, ReportScope, report_period};
use crate::server::Server;
use crate::settings::LoadControl;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Pause between checks for the role of this daemon while it is not known.
const ROLE_PAUSE: Duration = Duration::from_millis(200);

/// Sends load reports until the daemon ends.
pub(crate) async fn send(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut sender = ReportSender::new(&gateway, &socket);
    loop {
        let role = current_role(&gateway);
        if let Some(role) = &role {
            sender.send(role);
        }
        sleep(role.as_ref().map_or(ROLE_PAUSE, report_period)).await;
    }
}

/// Returns the role of this daemon, after discarding reports that are too old.
fn current_role(gateway: &Gateway) -> Option<Role> {
    let now = gateway.now();
    let state = &mut *gateway.state.borrow_mut();
    let role = state.role.clone()?;
    state.peer_loads.expire(&role, now);
    Some(role)
}

struct ReportSender<'a> {
    gateway: &'a Gateway,
    socket: &'a UdpSocket,
    daemon: LoadReporter,
    group: LoadReporter,
    fleet: LoadReporter,
}

impl<'a> ReportSender<'a> {
    fn new(gateway: &'a Gateway, socket: &'a UdpSocket) -> Self {
        let sender_hash = name_hash(&gateway.settings.instance);
        let load_control = gateway.settings.load_control;
        let reporter = |scope| {
            let reporter = LoadReporter::new(scope, sender_hash);
            match load_control {
                LoadControl::Memory => reporter,
                LoadControl::StartTime => reporter.with_work(),
            }
        };
        Self {
            gateway,
            socket,
            daemon: reporter(ReportScope::Daemon),
            group: reporter(ReportScope::Group),
            fleet: reporter(ReportScope::Fleet),
        }
    }

    fn send(&mut self, role: &Role) {
        let sequence = self.gateway.ports.clock.wall_ms();
        let state = &mut *self.gateway.state.borrow_mut();
        let now = self.gateway.now();
        let servers = state.servers.iter().map(|(_, server)| server);
        let mut engines = state.servers.iter().count();
        let own = match self.gateway.settings.load_control {
            LoadControl::Memory => own_loads(servers, now),
            LoadControl::StartTime => {
                state.links.expire(now);
                let mut own = own_loads_with_work(servers, now);
                own.extend(own_claims(&state.loads, now));
                own.extend(store_links(&state.caches, &state.links, now));
                engines += claim_keys_max(state.configuration.as_deref());
                engines += state.caches.store_addresses().count();
                own
            }
        };
        match role {
            Role::Mesh { peers } => {
                let reports = self.daemon.next_reports(&own, engines, sequence);
                send_all(self.gateway, self.socket, reports, peers);
            }
            Role::Follower { leader } => {
                state.peer_loads.on_reported(&own);
                let reports = self.daemon.next_reports(&own, engines, sequence);
                send_all(self.gateway, self.socket, reports, &[*leader]);
            }
            Role::Leader { followers, leaders } => {
                let group = state.peer_loads.sum_of(&own, &[ReportScope::Daemon]);
                let reports = self.group.next_reports(&group, engines, sequence);
                send_all(self.gateway, self.socket, reports, leaders);
                let fleet = state
                    .peer_loads
                    .sum_of(&own, &[ReportScope::Daemon, ReportScope::Group]);
                let reports = self.fleet.next_reports(&fleet, engines, sequence);
                send_all(self.gateway, self.socket, reports, followers);
            }
        }
    }
}

fn own_loads<'a>(servers: impl Iterator<Item = &'a Server>, now: Duration) -> Vec<EngineLoad> {
    servers
        .map(|server| EngineLoad::new(server.server_hash(), server.estimated_tokens(now)))
        .filter(|load| load.tokens() > 0)
        .collect()
}

fn own_loads_with_work<'a>(
    servers: impl Iterator<Item = &'a Server>,
    now: Duration,
) -> Vec<EngineLoad> {
    servers
        .filter(|server| server.in_flight > 0 || server.estimated_tokens(now) > 0)
        .map(|server| {
            let total = EngineTotal {
                tokens: server.estimated_tokens(now),
                uncomputed_tokens: server.uncomputed_tokens,
                requests: u64::from(server.in_flight),
            };
            EngineLoad::with_work(server.server_hash(), total)
        })
        .collect()
}

/// Returns the tokens that wait on the links of cache stores. Each link is reported as an engine of
/// its own.
fn store_links(caches: &CacheDirectory, links: &LinkAccount, now: Duration) -> Vec<EngineLoad> {
    caches
        .store_addresses()
        .map(|store| EngineLoad::new(link_hash(store), links.tokens_left(store, now) as u64))
        .filter(|load| load.tokens() > 0)
        .collect()
}

/// Returns what workspaces claim at busy services. Claims are reported like loads on engines.
fn own_claims(loads: &IndexMap<String, ServiceLoad>, now: Duration) -> Vec<EngineLoad> {
    let mut claims = Vec::new();
    for load in loads.values() {
        if load.overload.span.is_recent(now) {
            let reported = load.overload.shares.claims(now);
            claims.extend(reported.map(|(key, tokens)| EngineLoad::new(key.0, tokens as u64)));
        }
    }
    claims
}

/// Returns how many claims daemons may report at most: those of all workspaces at all services with
/// engines. It determines the parts of a report, so it must not change with the load.
fn claim_keys_max(configuration: Option<&Configuration>) -> usize {
    let Some(configuration) = configuration else {
        return 0;
    };
    let services = configuration.services();
    let with_engines = services.filter(|service| service.engine.is_some()).count();
    with_engines * configuration.workspaces().len()
}

fn send_all(
    gateway: &Gateway,
    socket: &UdpSocket,
    reports: Vec<LoadReport>,
    recipients: &[SocketAddr],
) {
    for report in reports {
        let message = PeerMessage::Load(report.fit_datagram());
        send_message(gateway, socket, &message, recipients);
    }
}
