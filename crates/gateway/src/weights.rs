//! Decides on switches of model weights: which servers are ordered to load new weights next, which
//! versions may serve requests, and when cached parts of replaced weights are freed.

use crate::server::{ServerKey, ServerState, Servers};
use indexmap::IndexMap;
use std::time::Duration;

/// Fraction of the operators' time limit for a switch after which only the newest weights serve new
/// requests.
const OLD_WEIGHTS_FRACTION: f64 = 0.8;
/// Fraction of the servers that switch at the same time. A server spends most of a switch on
/// finishing its running generations; loading the weights is short.
const SWITCHING_FRACTION: f64 = 0.17;
/// Time after which an order is assumed to have had no effect. It covers the generations that
/// finish first, the load itself and one heartbeat.
const ORDER_TIMEOUT: Duration = Duration::from_secs(6);

/// Versions of one model's weights that operators have published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedWeights {
    /// Newest published version, which all servers have to load.
    pub version: u64,
    /// The latest publications, oldest first; at most [`PUBLICATIONS_MAX`].
    publications: Vec<WeightPublication>,
}

/// Publication of one version. A daemon does not know its exact time, only an interval that
/// contains it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightPublication {
    /// Published version; increases with each publication of the model.
    pub version: u64,
    /// Start of the interval: the latest time at which this daemon's copy of the operators' table
    /// was known to be complete and did not contain the version. `None` if the first copy that the
    /// daemon read contained it already.
    pub published_after: Option<Duration>,
    /// End of the interval: the time at which this daemon read the version.
    pub learned_at: Duration,
}

/// Number of publications that are remembered. A switch of weights takes seconds, so servers hold
/// versions of the last few publications only.
const PUBLICATIONS_MAX: usize = 8;

impl PublishedWeights {
    /// Creates the list from the first publication that the daemon has read.
    #[must_use]
    pub fn new(publication: WeightPublication) -> Self {
        Self {
            version: publication.version,
            publications: vec![publication],
        }
    }

    /// Records the publication of a newer version and drops the oldest ones beyond the limit.
    pub fn on_published(&mut self, publication: WeightPublication) {
        self.version = publication.version;
        self.publications.push(publication);
        let surplus = self.publications.len().saturating_sub(PUBLICATIONS_MAX);
        self.publications.drain(..surplus);
    }

    /// Returns the oldest remembered publication that is newer than `version`.
    fn replaced_by(&self, version: u64) -> Option<&WeightPublication> {
        self.publications
            .iter()
            .find(|publication| publication.version > version)
    }
}

/// Returns the oldest version that may serve a new request, or `None` while older weights are still
/// allowed.
#[must_use]
pub fn oldest_allowed_version(
    published: &PublishedWeights,
    switch_time: Duration,
    now: Duration,
) -> Option<u64> {
    let publication = published.publications.last()?;
    let old_allowed_for = switch_time.mul_f64(OLD_WEIGHTS_FRACTION);
    let may_be_old = publication
        .published_after
        .is_some_and(|after| now < after + old_allowed_for);
    (!may_be_old).then_some(published.version)
}

/// Returns the scope that keeps cached prompts apart: the version of the weights that computed
/// them, and the workspace if it is isolated.
#[must_use]
pub fn cache_scope(version: Option<u64>, isolated_workspace: Option<&str>) -> String {
    let version = version.map_or_else(|| "w".to_owned(), |version| format!("w{version}"));
    match isolated_workspace {
        Some(workspace) => format!("{version}/{workspace}"),
        None => version,
    }
}

/// Returns the version of the weights in a scope, or `None` if the scope contains none.
#[must_use]
pub fn scope_version(scope: &str) -> Option<u64> {
    let version = scope.strip_prefix('w')?;
    let version = version.split('/').next().unwrap_or_default();
    version.parse().ok()
}

/// Longest time that a request allows its server for reading cached parts from a cache store. The
/// server abandons a read that takes longer.
pub const FETCH_TIME_MAX: Duration = Duration::from_millis(1000);
/// Longest time for which the metadata store may withhold a change while it answers reads, as it
/// does when it truncates its history. A copy may therefore lack changes that are up to this much
/// older than the time at which it was verified.
const WITHHELD_CHANGE_MAX: Duration = Duration::from_millis(1000);
/// Largest error in a daemon's estimate of the servers' clock.
const CLOCK_MARGIN: Duration = Duration::from_millis(500);
/// Operators' bounds that determine how long cached parts of replaced weights are read from cache
/// stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OldPartTimes {
    /// Age up to which a daemon uses its copy of the operators' table.
    pub configuration_age_max: Duration,
    /// Time limit for a switch of all servers to new weights.
    pub weight_switch: Duration,
}

impl OldPartTimes {
    /// Returns how long after the replacement of its version a part may still be read from cache
    /// stores.
    ///
    /// Servers switch one after the other until old weights no longer serve. Parts of the old
    /// weights are retired at the same pace to make room for new parts, in an order that all
    /// daemons derive from the hashes of the parts' identifiers. No part is retired before
    /// `configuration_age_max`: until then a daemon may not have learned of the new version, so the
    /// part could not be freed anyway.
    fn read_time(self, id_hash: u64) -> Duration {
        let last = self.weight_switch.mul_f64(OLD_WEIGHTS_FRACTION);
        let position = id_hash as f64 / u64::MAX as f64;
        self.configuration_age_max
            + last
                .saturating_sub(self.configuration_age_max)
                .mul_f64(position)
    }

    /// Returns how long after this daemon learned of the replacement no daemon reads the part any
    /// more.
    ///
    /// A daemon that knows the newer weights stops after the part's read time, counted from before
    /// their publication. A daemon that does not know them has an older copy of the table and stops
    /// when that copy expires. A read that either of them started last ends within
    /// [`FETCH_TIME_MAX`].
    fn free_time(self, id_hash: u64) -> Duration {
        // The read time is never below `configuration_age_max`, so it also covers outdated copies.
        self.read_time(id_hash) + WITHHELD_CHANGE_MAX + FETCH_TIME_MAX + CLOCK_MARGIN
    }
}

/// Returns whether a cached part that weights of `version` computed may still be read from cache
/// stores.
#[must_use]
pub fn may_read_part(
    published: &PublishedWeights,
    version: u64,
    id_hash: u64,
    times: OldPartTimes,
    now: Duration,
) -> bool {
    let Some(publication) = published.replaced_by(version) else {
        return true;
    };
    let published_after = publication.published_after;
    published_after.is_some_and(|after| now < after + times.read_time(id_hash))
}

/// Returns whether no daemon reads a cached part any more, so that it can be freed.
#[must_use]
pub fn is_retired(
    scope: &str,
    id_hash: u64,
    published: &IndexMap<String, PublishedWeights>,
    times: OldPartTimes,
    now: Duration,
) -> bool {
    let Some(version) = scope_version(scope) else {
        return false;
    };
    // A scope does not contain its model, so a version counts as replaced only if all models have
    // replaced it.
    let is_replaced = |published: &PublishedWeights| {
        let publication = published.replaced_by(version);
        publication
            .is_some_and(|publication| now >= publication.learned_at + times.free_time(id_hash))
    };
    !published.is_empty() && published.values().all(is_replaced)
}

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
