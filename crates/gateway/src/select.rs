//! Selection of the backend server for a request.

use crate::caches::{CacheDirectory, CachePlan, PlanFor, Sources, name_hash};
use crate::computing_rate::ComputingRate;
use crate::configuration::Service;
use crate::peers::PeerLoads;
use crate::places::Places;
use crate::request::Prompt;
use crate::server::{Server, ServerKey, Servers};
use crate::weights::{OldPartTimes, PublishedWeights, cache_scope, may_read_part};
use anvilgw_router::BreakerState;
use rand::{Rng, RngExt};
use std::cmp::Ordering;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Load above the mean of the candidates from which a prompt leaves the server that ranks first.
const SPILL_FACTOR: f64 = 1.25;
/// Part of an engine's memory by which it may exceed the mean in any case.
const SPILL_SLACK_PART: f64 = 0.08;
/// Failure share above which a server is avoided. Below it lie failures that belong to the requests
/// and not to the server.
const FAILURE_SHARE_TOLERATED: f64 = 0.3;
/// Success share below which failures do not make a server look more loaded still.
const SUCCESS_SHARE_MIN: f64 = 0.1;
/// Random part of a server's load. It keeps the daemons from sending to the same server at the same time.
const RANDOM_LOAD_PART: f64 = 0.2;
/// Probability of a request to an avoided server, so that its recovery is noticed.
const AVOIDED_PROBE: f64 = 0.03;

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Service.
    pub service: &'a Service,
    /// Regions that the request may use.
    pub places: Places<'a>,
    /// Prompt, if the request is a generation.
    pub prompt: Option<PromptQuery<'a>>,
    /// Servers that were tried already.
    pub tried: &'a [ServerKey],
    /// This daemon's part of the fleet.
    pub share: f64,
}

/// What the selection needs to know of a prompt.
#[derive(Clone, Copy, Debug)]
pub struct PromptQuery<'a> {
    /// The prompt.
    pub prompt: &'a Prompt,
    /// Who holds what.
    pub caches: &'a CacheDirectory,
    /// How fast engines compute.
    pub computing_rate: ComputingRate,
    /// Load that other daemons put on the engines.
    pub peer_loads: &'a PeerLoads,
    /// The workspace, if its cached prompts are kept apart.
    pub isolated_workspace: Option<&'a str>,
    /// Oldest version of the weights that may serve the request.
    pub oldest_version: Option<u64>,
    /// Tokens that an engine holds. Zero if that is not known.
    pub engine_capacity_tokens: u64,
    /// Tokens on an engine up to which it takes the prompt.
    pub memory_limit_tokens: f64,
    /// Versions of the model's weights that were named.
    pub named: Option<&'a PublishedWeights>,
    /// How long parts of replaced weights are read.
    pub old_part_times: OldPartTimes,
    /// Whether the copy of the operators' table is current.
    pub is_configuration_current: bool,
    /// Whether all announced switches of weights are known.
    pub are_switches_current: bool,
}

/// A selected server.
#[derive(Clone, Debug, Default)]
pub struct Selected {
    /// The server.
    pub server: ServerKey,
    /// How the request uses cached prompts there.
    pub cache: Option<CacheUse>,
}

/// How a generation uses cached prompts.
#[derive(Clone, Debug)]
pub struct CacheUse {
    /// Version of the weights that made what is cached under the scope.
    pub weight_version: Option<u64>,
    /// Cached prompts are found only under the same scope.
    pub scope: String,
    /// Sources and stores of the shared parts.
    pub plan: CachePlan,
}

/// Why no server can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoServer {
    /// The service has no server in service.
    NoneInService,
    /// All that are in service are cold and at their limit, failing, or tried already.
    AllUnavailable,
    /// All that are in service want no requests of this daemon before some time has passed.
    BackingOff(Duration),
    /// No engine has memory for the prompt.
    NoMemory,
}

impl NoServer {
    /// Text for logs and answers.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoneInService => "no backend server is in service",
            Self::NoMemory => "no engine has memory for the prompt now",
            Self::BackingOff(_) => "all backend servers asked for no requests now",
            Self::AllUnavailable => "no backend server can take the request now",
        }
    }
}

/// Selects a server.
///
/// # Errors
///
/// [`NoServer`] if none can take the request.
pub fn select(
    servers: &mut Servers,
    query: &Query<'_>,
    now: Duration,
    rng: &mut impl Rng,
) -> Result<Selected, NoServer> {
    let in_service = servers_in_service(servers, query);
    if in_service.is_empty() {
        return Err(NoServer::NoneInService);
    }
    let usable = usable_servers(servers, &in_service, query, now);
    let preferred = drop_failing(servers, usable, rng);
    if preferred.is_empty() {
        let backoff = servers.backoff_left(&query.service.name, now);
        return Err(backoff.map_or(NoServer::AllUnavailable, NoServer::BackingOff));
    }
    let chosen = match &query.prompt {
        Some(prompt) => by_rank(servers, &preferred, prompt, query.places, now),
        None => least_loaded(servers, &preferred, now, rng).map(|server| Selected {
            server,
            cache: None,
        }),
    };
    let selected = chosen.ok_or(NoServer::NoMemory)?;
    take_cold_budget(servers, selected.server, query, now);
    Ok(selected)
}

/// Whether a server could take the request that was not tried yet. It may still lack memory.
pub fn has_usable(servers: &mut Servers, query: &Query<'_>, now: Duration) -> bool {
    let in_service = servers_in_service(servers, query);
    !usable_servers(servers, &in_service, query, now).is_empty()
}

fn servers_in_service(servers: &Servers, query: &Query<'_>) -> Vec<ServerKey> {
    servers
        .iter()
        .filter(|(_, server)| server.entry.service == query.service.name)
        .filter(|(_, server)| servers.is_in_service(server))
        .filter(|(_, server)| query.places.allow(&server.entry.failure_domain))
        .filter(|(_, server)| has_weights(server, query.prompt.as_ref()))
        .map(|(key, _)| key)
        .collect()
}

fn has_weights(server: &Server, prompt: Option<&PromptQuery<'_>>) -> bool {
    let Some(query) = prompt else { return true };
    let version = server.version_of(&query.prompt.model);
    match (version, query.oldest_version) {
        (Some(version), Some(oldest)) => version >= oldest,
        _ => true,
    }
}

fn usable_servers(
    servers: &mut Servers,
    in_service: &[ServerKey],
    query: &Query<'_>,
    now: Duration,
) -> Vec<ServerKey> {
    let per_s = query.service.cold_requests_per_s;
    let mut usable = |key: &ServerKey| {
        if query.tried.contains(key) {
            return false;
        }
        let Some(server) = servers.get_mut(*key) else {
            return false;
        };
        let bears_more = !server.is_cold(now)
            || per_s <= 0.0
            || server.cold_budget().allows(per_s, query.share, now);
        let is_wanted = server.backoff_left(now).is_zero();
        is_wanted && bears_more && server.breaker.allows(now) && !server.is_switching(now)
    };
    in_service
        .iter()
        .copied()
        .filter(|key| usable(key))
        .collect()
}

fn take_cold_budget(servers: &mut Servers, key: ServerKey, query: &Query<'_>, now: Duration) {
    let per_s = query.service.cold_requests_per_s;
    if let Some(server) = servers.get_mut(key)
        && server.is_cold(now)
        && per_s > 0.0
    {
        server.cold_budget().take(per_s, query.share, now);
    }
}

fn drop_failing(servers: &Servers, usable: Vec<ServerKey>, rng: &mut impl Rng) -> Vec<ServerKey> {
    let is_sound = |key: &ServerKey| {
        servers
            .get(*key)
            .is_some_and(|server| server.failure_share() < FAILURE_SHARE_TOLERATED)
    };
    let sound: Vec<ServerKey> = usable.iter().copied().filter(is_sound).collect();
    if sound.is_empty() || sound.len() == usable.len() || rng.random::<f64>() < AVOIDED_PROBE {
        return usable;
    }
    sound
}

/// The server that ranks first for the prompt among those that are not loaded far above the mean.
///
/// Ranks spread the prompts evenly over the servers, whatever these hold at the moment. Choosing the
/// holders themselves gathers more and more prompts on few servers, which then run out of memory.
fn by_rank(
    servers: &Servers,
    keys: &[ServerKey],
    query: &PromptQuery<'_>,
    places: Places<'_>,
    now: Duration,
) -> Option<Selected> {
    let affinity = query.prompt.affinity().unwrap_or_default();
    let mut ranked: Vec<(u64, ServerKey, f64)> = keys
        .iter()
        .filter_map(|key| servers.get(*key).map(|server| (*key, server)))
        .map(|(key, server)| {
            let tokens = tokens_on(server, query, now);
            (rank(affinity, &server.entry.id), key, tokens)
        })
        .collect();
    let total: f64 = ranked.iter().map(|(_, _, tokens)| tokens).sum();
    let mean = total / ranked.len().max(1) as f64;
    let slack = query.engine_capacity_tokens as f64 * SPILL_SLACK_PART;
    let bound = (mean * SPILL_FACTOR + slack).min(query.memory_limit_tokens);
    ranked.sort_unstable_by_key(|(rank, _, _)| std::cmp::Reverse(*rank));
    let within = ranked.iter().find(|(_, _, tokens)| *tokens <= bound);
    let has_room = |(_, _, tokens): &&(u64, ServerKey, f64)| *tokens <= query.memory_limit_tokens;
    let (_, key, _) = within.or_else(|| ranked.iter().find(has_room))?;
    let server = servers.get(*key)?;
    // The server that ranks highest among the others has probably served the prompt before.
    let others = ranked.iter().filter(|(_, other, _)| other != key);
    let likely_holder = others
        .filter_map(|(_, other, _)| servers.get(*other))
        .find(|other| is_sound_source(other, now));
    Some(Selected {
        server: *key,
        cache: Some(use_cache(server, likely_holder, query, places, now)),
    })
}

/// Whether parts may be read from an engine. A read from one that does not answer takes some hundred
/// milliseconds, and one that is cold holds nothing yet.
fn is_sound_source(server: &Server, now: Duration) -> bool {
    server.breaker.state(now) == BreakerState::Closed
        && !server.is_cold(now)
        && !server.is_switching(now)
}

/// Tokens that all daemons' requests take up on an engine.
fn tokens_on(server: &Server, query: &PromptQuery<'_>, now: Duration) -> f64 {
    let others = query.peer_loads.tokens_on(server.load_hash());
    (server.known_tokens(now) + others) as f64
}

/// Where a server takes the shared parts of the prompt from.
///
/// The scope names the version of the weights, and the request demands that version, so that
/// nothing made by other weights is ever found under it. A server that is about to switch goes on
/// with its runs under the new weights, so nothing is read from it any more.
fn use_cache(
    server: &Server,
    likely_holder: Option<&Server>,
    query: &PromptQuery<'_>,
    places: Places<'_>,
    now: Duration,
) -> CacheUse {
    let model = &query.prompt.model;
    let version = server.version_of(model);
    let scope = cache_scope(version, query.isolated_workspace);
    let is_newest = query
        .named
        .is_none_or(|named| Some(named.version) == version);
    let may_transfer = version.is_some()
        && query.is_configuration_current
        && (is_newest || query.are_switches_current);
    let mut plan = CachePlan::default();
    if may_transfer {
        let likely_engine = likely_holder
            .filter(|holder| holder.version_of(model) == version)
            .map(|holder| holder.entry.address);
        let sources = Sources {
            may_write_stores: is_newest,
            may_read_from_store: &|id_hash| match (query.named, version) {
                (Some(named), Some(version)) => {
                    may_read_part(named, version, id_hash, query.old_part_times, now)
                }
                _ => true,
            },
            likely_engine,
            places,
        };
        let parts = query.prompt.shared_parts();
        let located = query.caches.locate(name_hash(&scope), parts);
        let plan_for = PlanFor {
            failure_domain: &server.entry.failure_domain,
            computing_rate: query.computing_rate,
        };
        plan = query.caches.plan(&located, plan_for, sources);
    }
    CacheUse {
        weight_version: version,
        scope,
        plan,
    }
}

/// Rendezvous hashing: all daemons rank the servers of a prompt alike, and a server that comes or
/// goes moves only its own prompts.
fn rank(affinity: u64, server_id: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    affinity.hash(&mut hasher);
    server_id.hash(&mut hasher);
    hasher.finish()
}

fn least_loaded(
    servers: &Servers,
    keys: &[ServerKey],
    now: Duration,
    rng: &mut impl Rng,
) -> Option<ServerKey> {
    let mut scored: Vec<(f64, ServerKey)> = keys
        .iter()
        .filter_map(|key| servers.get(*key).map(|server| (*key, server)))
        .map(|(key, server)| (relative_load(server, now, rng), key))
        .collect();
    scored.sort_unstable_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal));
    scored.first().map(|(_, key)| *key)
}

fn relative_load(server: &Server, now: Duration, rng: &mut impl Rng) -> f64 {
    let slots = f64::from(server.entry.slots.max(1));
    let load = (server.load(now) + 1.0) / slots;
    let success_share = (1.0 - server.failure_share()).max(SUCCESS_SHARE_MIN);
    load / success_share * (1.0 + RANDOM_LOAD_PART * rng.random::<f64>())
}
