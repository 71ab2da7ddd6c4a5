//! Switches of model weights: which servers are ordered to load next, and which may still serve.

use crate::server::{ServerKey, ServerState, Servers};
use indexmap::IndexMap;
use std::time::Duration;

/// Part of the time for a switch after which only new weights serve.
const OLD_WEIGHTS_PART: f64 = 0.8;
/// Part of the servers that switch at once. Most of the time of a switch the server ends its runs;
/// the load itself is short.
const SWITCHING_PART: f64 = 0.17;
/// Time after which an order is taken to have had no effect: runs that end first, the load itself and
/// a heartbeat.
const ORDER_EFFECT_TIME: Duration = Duration::from_secs(6);

/// Versions of a model's weights that operators named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedWeights {
    /// Newest version.
    pub version: u64,
    /// The newest naming and earlier ones, oldest first.
    namings: Vec<Naming>,
}

/// One version that was named. A daemon does not know when, only between which two times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Naming {
    /// Version.
    pub version: u64,
    /// The newest time up to which the copy of the operators' table held all changes and not this one.
    /// `None` if the daemon found the version in the first copy that it read.
    pub named_after: Option<Duration>,
    /// When this daemon learnt of it.
    pub learnt_at: Duration,
}

/// Namings that are remembered. A switch of weights takes seconds, so servers hold the versions of the
/// last few namings only.
const NAMINGS_MAX: usize = 8;

impl NamedWeights {
    /// Starts with the first naming that is known.
    #[must_use]
    pub fn new(naming: Naming) -> Self {
        Self {
            version: naming.version,
            namings: vec![naming],
        }
    }

    /// Takes over the naming of a newer version.
    pub fn on_named(&mut self, naming: Naming) {
        self.version = naming.version;
        self.namings.push(naming);
        let surplus = self.namings.len().saturating_sub(NAMINGS_MAX);
        self.namings.drain(..surplus);
    }

    /// The naming that replaced a version, as far as is known.
    fn replaced_by(&self, version: u64) -> Option<&Naming> {
        self.namings.iter().find(|naming| naming.version > version)
    }
}

/// The oldest version that may serve a new request, if there is a limit.
#[must_use]
pub fn oldest_allowed(named: &NamedWeights, switch_time: Duration, now: Duration) -> Option<u64> {
    let naming = named.namings.last()?;
    let old_serve_for = switch_time.mul_f64(OLD_WEIGHTS_PART);
    let may_be_old = naming
        .named_after
        .is_some_and(|after| now < after + old_serve_for);
    (!may_be_old).then_some(named.version)
}

/// Scope of cached prompts: the version of the weights that made them, and the workspace if it is
/// isolated.
#[must_use]
pub fn cache_scope(version: Option<u64>, isolated_workspace: Option<&str>) -> String {
    let version = version.map_or_else(|| "w".to_owned(), |version| format!("w{version}"));
    match isolated_workspace {
        Some(workspace) => format!("{version}/{workspace}"),
        None => version,
    }
}

/// Version of the weights that a scope names.
#[must_use]
pub fn scope_version(scope: &str) -> Option<u64> {
    let version = scope.strip_prefix('w')?;
    let version = version.split('/').next().unwrap_or_default();
    version.parse().ok()
}

/// Longest time for which a request lets its server read parts from elsewhere. The server gives such a
/// read up then.
pub const FETCH_TIME_MAX: Duration = Duration::from_millis(1000);
/// Time for which the store may hold back a change although it answers reads: it does so while its history
/// is dropped. A copy may miss a change that is so much older than the copy's own time.
const LATE_NEWS_MAX: Duration = Duration::from_millis(1000);
/// Inaccuracy of the servers' clock as daemons know it.
const CLOCK_MARGIN: Duration = Duration::from_millis(500);
/// Bounds of the operators that decide how long parts of replaced weights are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OldPartTimes {
    /// Age up to which a daemon relies on its copy of the operators' table.
    pub trust_limit: Duration,
    /// Time for a switch of weights.
    pub weight_switch: Duration,
}

impl OldPartTimes {
    /// Time after a version was replaced for which one of its parts is still read from stores.
    ///
    /// Servers switch one after the other until old weights no longer serve. Parts of the old weights
    /// make room for those of the new ones at the same pace, in an order that all daemons derive from
    /// the parts' names. No part goes before the trust limit: it could not be freed sooner anyway.
    fn read_time(self, id_hash: u64) -> Duration {
        let last = self.weight_switch.mul_f64(OLD_WEIGHTS_PART);
        let position = id_hash as f64 / u64::MAX as f64;
        self.trust_limit + last.saturating_sub(self.trust_limit).mul_f64(position)
    }

    /// Time after this daemon learnt that a version was replaced after which none of the daemons reads
    /// one of its parts any more.
    ///
    /// A daemon that knows of the newer weights stops with the part's time, counted from before they
    /// were named. One that does not know of them has a copy of the table from before. The last read that
    /// either began ends within the longest read.
    fn free_time(self, id_hash: u64) -> Duration {
        // No read time is below the trust limit.
        self.read_time(id_hash) + LATE_NEWS_MAX + FETCH_TIME_MAX + CLOCK_MARGIN
    }
}

/// Whether a part of a version may still be read from stores.
#[must_use]
pub fn may_read_part(
    named: &NamedWeights,
    version: u64,
    id_hash: u64,
    times: OldPartTimes,
    now: Duration,
) -> bool {
    let Some(naming) = named.replaced_by(version) else {
        return true;
    };
    let named_after = naming.named_after;
    named_after.is_some_and(|after| now < after + times.read_time(id_hash))
}

/// Whether no daemon reads a part any more, so that it can be freed.
#[must_use]
pub fn is_retired(
    scope: &str,
    id_hash: u64,
    named: &IndexMap<String, NamedWeights>,
    times: OldPartTimes,
    now: Duration,
) -> bool {
    let Some(version) = scope_version(scope) else {
        return false;
    };
    // A scope does not tell its model. With several models, only what all have replaced counts.
    let is_replaced = |named: &NamedWeights| {
        let naming = named.replaced_by(version);
        naming.is_some_and(|naming| now >= naming.learnt_at + times.free_time(id_hash))
    };
    !named.is_empty() && named.values().all(is_replaced)
}

/// An order that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentOrder {
    /// Server.
    pub server: ServerKey,
    /// Version that it loads.
    pub version: u64,
    /// When it was sent.
    pub sent_at: Duration,
    /// When the server is next asked whether it is done.
    pub ask_at: Duration,
}

/// A server that has to load other weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outdated {
    /// Server.
    pub server: ServerKey,
    /// Model.
    pub model: String,
    /// Version to load.
    pub version: u64,
}

/// Servers whose weights are older than the newest ones.
#[must_use]
pub fn outdated<'a>(
    servers: &Servers,
    named: impl Iterator<Item = (&'a String, &'a NamedWeights)>,
) -> Vec<Outdated> {
    let mut found = Vec::new();
    for (model, weights) in named {
        for (key, server) in servers.iter() {
            let is_leaving =
                server.entry.state == ServerState::Draining || server.is_address_reused;
            let version = server.reported_version_of(model);
            if !is_leaving && version.is_some_and(|version| version < weights.version) {
                found.push(Outdated {
                    server: key,
                    model: model.clone(),
                    version: weights.version,
                });
            }
        }
    }
    found
}

/// The servers to order next, given the orders that may still be carried out.
#[must_use]
pub fn next_orders(
    servers: &Servers,
    outdated: &[Outdated],
    sent: &[SentOrder],
    now: Duration,
) -> Vec<Outdated> {
    let is_pending = |candidate: &Outdated| {
        sent.iter().any(|order| {
            order.server == candidate.server
                && order.version == candidate.version
                && now < order.sent_at + ORDER_EFFECT_TIME
        })
    };
    let fleet = outdated
        .first()
        .map_or(0, |first| servers_with_model(servers, &first.model));
    let loading_max = ((fleet as f64 * SWITCHING_PART).round() as usize).max(1);
    let loading = outdated.iter().filter(|one| is_pending(one)).count();
    let can_be_ordered = |one: &&Outdated| !is_pending(one) && !is_backing_off(servers, one, now);
    let mut waiting: Vec<&Outdated> = outdated.iter().filter(can_be_ordered).collect();
    // Idle servers first: their runs end soonest. Loads are whole requests.
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

/// Whether a server wants no calls of this daemon, orders and questions included.
pub(crate) fn is_backing_off(servers: &Servers, due: &Outdated, now: Duration) -> bool {
    let server = servers.get(due.server);
    server.is_some_and(|server| !server.backoff_left(now).is_zero())
}

fn servers_with_model(servers: &Servers, model: &str) -> usize {
    servers
        .iter()
        .filter(|(_, server)| server.entry.version_of(model).is_some())
        .count()
}
