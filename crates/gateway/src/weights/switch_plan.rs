//! Selects the backend servers that are ordered to load new weights next.

use super::publications::PublishedWeights;
use crate::server::{ServerKey, ServerState, Servers};
use std::time::Duration;

/// Fraction of the servers that switch at the same time. A server spends most of a switch on
/// finishing its running generations; loading the weights is short.
const SWITCHING_FRACTION: f64 = 0.17;
/// Time after which an order is assumed to have had no effect. It covers the generations that
/// finish first, the load itself and one heartbeat.
const ORDER_TIMEOUT: Duration = Duration::from_secs(6);

/// An order to load weights that this daemon has sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentOrder {
    /// Server that received the order.
    pub server: ServerKey,
    /// Version that the server was ordered to load.
    pub version: u64,
    /// Time at which the order was sent.
    pub sent_at: Duration,
    /// Earliest time of the next request for the server's progress.
    pub poll_at: Duration,
}

/// A server that holds outdated weights of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutdatedServer {
    /// The server.
    pub server: ServerKey,
    /// Model whose weights are outdated.
    pub model: String,
    /// Newest version, which the server has to load.
    pub version: u64,
}

/// Returns the servers that hold older weights than the newest published ones. Servers that are
/// draining or misdirected are left out.
#[must_use]
pub fn outdated_servers<'a>(
    servers: &Servers,
    published: impl Iterator<Item = (&'a String, &'a PublishedWeights)>,
) -> Vec<OutdatedServer> {
    let mut found = Vec::new();
    for (model, weights) in published {
        for (key, server) in servers.iter() {
            let is_excluded =
                server.entry.state == ServerState::Draining || server.is_address_reused;
            let version = server.reported_version_of(model);
            if !is_excluded && version.is_some_and(|version| version < weights.version) {
                found.push(OutdatedServer {
                    server: key,
                    model: model.clone(),
                    version: weights.version,
                });
            }
        }
    }
    found
}

/// Selects the servers to order next. `sent_orders` lists the orders sent so far; those that may
/// still take effect count towards the limit of concurrent switches.
#[must_use]
pub fn next_orders(
    servers: &Servers,
    outdated: &[OutdatedServer],
    sent_orders: &[SentOrder],
    now: Duration,
) -> Vec<OutdatedServer> {
    let is_pending = |candidate: &OutdatedServer| {
        sent_orders.iter().any(|order| {
            order.server == candidate.server
                && order.version == candidate.version
                && now < order.sent_at + ORDER_TIMEOUT
        })
    };
    let server_count = outdated
        .first()
        .map_or(0, |first| servers_with_model(servers, &first.model));
    let loading_max = ((server_count as f64 * SWITCHING_FRACTION).round() as usize).max(1);
    let loading = outdated.iter().filter(|one| is_pending(one)).count();
    let can_be_ordered =
        |one: &&OutdatedServer| !is_pending(one) && !is_backing_off(servers, one, now);
    let mut waiting: Vec<&OutdatedServer> = outdated.iter().filter(can_be_ordered).collect();
    // Idle servers come first, because their generations finish soonest. Loads are whole numbers of
    // requests.
    waiting.sort_by_key(|one| {
        let server = servers.get(one.server);
        server.map_or(0, |server| server.load(now) as u64)
    });
    waiting
        .into_iter()
        .take(loading_max.saturating_sub(loading))
        .cloned()
        .collect()
}

/// Returns whether a server has asked this daemon to send it nothing for some time, including
/// orders and progress requests.
pub(crate) fn is_backing_off(servers: &Servers, outdated: &OutdatedServer, now: Duration) -> bool {
    let server = servers.get(outdated.server);
    server.is_some_and(|server| !server.backoff_left(now).is_zero())
}

fn servers_with_model(servers: &Servers, model: &str) -> usize {
    servers
        .iter()
        .filter(|(_, server)| server.entry.version_of(model).is_some())
        .count()
}
