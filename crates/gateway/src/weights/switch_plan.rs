//! Selects the backend servers that are ordered to load new weights next.

use super::order_tracker::OrderTracker;
use super::publications::PublishedWeights;
use crate::server::{ServerKey, ServerState, Servers};
use indexmap::{IndexMap, IndexSet};
use std::ops::Range;
use std::time::Duration;

/// Fraction of the servers with a model that switch to its new weights at the same time. The others
/// have to serve the requests meanwhile.
const SWITCHING_FRACTION: f64 = 0.17;
/// Time from the order to a server until its switch is confirmed, as the plan assumes it.
const SWITCH_DURATION: Duration = Duration::from_millis(1200);

/// A server that holds outdated weights of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutdatedServer {
    /// The server.
    pub server: ServerKey,
    /// Model whose weights are outdated.
    pub model: String,
    /// Newest version, which the server has to load.
    pub version: u64,
    /// Time at which the weights that it holds stop serving new requests.
    pub serves_until: Duration,
}

/// Returns the servers that hold older weights than the newest published ones. `switch_time` is the
/// operators' time limit for a switch. Servers that are draining or misdirected are left out.
#[must_use]
pub fn outdated_servers<'a>(
    servers: &Servers,
    published: impl Iterator<Item = (&'a String, &'a PublishedWeights)>,
    switch_time: Duration,
) -> Vec<OutdatedServer> {
    let mut found = Vec::new();
    for (model, weights) in published {
        for (key, server) in servers.iter() {
            let is_excluded =
                server.entry.state == ServerState::Draining || server.is_address_reused;
            let loaded = server.reported_version_of(model);
            let serves_until =
                loaded.and_then(|version| weights.serves_until(version, switch_time));
            if let Some(serves_until) = serves_until.filter(|_| !is_excluded) {
                found.push(OutdatedServer {
                    server: key,
                    model: model.clone(),
                    version: weights.version,
                    serves_until,
                });
            }
        }
    }
    found
}

/// Selects the servers to order next. A server gets one order at a time, as it carries out one, and
/// each model has its own limit of concurrent switches.
#[must_use]
pub fn next_orders(
    servers: &Servers,
    outdated: &[OutdatedServer],
    orders: &OrderTracker,
    now: Duration,
) -> Vec<OutdatedServer> {
    let may_be_loading = |one: &&OutdatedServer| orders.may_be_loading(one, now);
    let loading = outdated.iter().filter(may_be_loading);
    let mut occupied: IndexSet<ServerKey> = loading.map(|one| one.server).collect();
    let mut by_model: IndexMap<&str, Vec<&OutdatedServer>> = IndexMap::new();
    for one in outdated {
        by_model.entry(&one.model).or_default().push(one);
    }
    let mut selected = Vec::new();
    for (model, outdated) in by_model {
        let switching_max = switching_max(servers, model);
        let switching = outdated.iter().copied().filter(may_be_loading).count();
        let can_be_ordered = |one: &&OutdatedServer| {
            !occupied.contains(&one.server)
                && orders.may_order(one, now)
                && !is_backing_off(servers, one, now)
        };
        let waiting = outdated.into_iter().filter(can_be_ordered).collect();
        let next = next_of_model(servers, waiting, switching..switching_max, now);
        occupied.extend(next.iter().map(|one| one.server));
        selected.extend(next);
    }
    selected
}

/// Returns the number of servers with a model that may switch at the same time.
fn switching_max(servers: &Servers, model: &str) -> usize {
    let server_count = servers_with_model(servers, model) as f64;
    ((server_count * SWITCHING_FRACTION).round() as usize).max(1)
}

/// Selects the servers of one model to order next, of those that can be ordered. `switching` ranges
/// from the number of servers that may be loading to the limit.
///
/// Servers whose weights serve no longer come first, and then idle ones, because a switch there
/// affects the fewest requests. If the others would then not all switch before their weights stop
/// serving, those whose weights stop first come first.
fn next_of_model(
    servers: &Servers,
    mut waiting: Vec<&OutdatedServer>,
    switching: Range<usize>,
    now: Duration,
) -> Vec<OutdatedServer> {
    waiting.sort_by_key(|one| {
        let server = servers.get(one.server);
        // Loads are whole numbers of requests.
        let load = server.map_or(0, |server| server.load(now) as u64);
        (one.serves_until > now, load)
    });
    let switching_max = switching.end;
    let mut selected = Vec::new();
    for before in switching {
        let Some(others) = waiting.get(1..) else {
            break;
        };
        let next = if are_in_time(others, before + 1, switching_max, now) {
            0
        } else {
            most_urgent(&waiting)
        };
        selected.push(waiting.remove(next).clone());
    }
    selected
}

/// Returns whether all servers switch before their weights stop serving, if those whose weights stop
/// first come first and `switching` others are switching now. Weights that serve no longer do not
/// count.
fn are_in_time(
    servers: &[&OutdatedServer],
    switching: usize,
    switching_max: usize,
    now: Duration,
) -> bool {
    let mut times: Vec<Duration> = servers.iter().map(|one| one.serves_until).collect();
    times.sort_unstable();
    (switching..).zip(times).all(|(position, serves_until)| {
        let rounds = 1 + position / switching_max;
        let switched_at = now + SWITCH_DURATION * rounds as u32;
        switched_at <= serves_until || serves_until <= now
    })
}

/// Returns the index of the server whose weights stop serving first; the first one of several.
fn most_urgent(waiting: &[&OutdatedServer]) -> usize {
    let indexed = waiting.iter().enumerate();
    let most_urgent = indexed.min_by_key(|(_, one)| one.serves_until);
    most_urgent.map_or(0, |(index, _)| index)
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
