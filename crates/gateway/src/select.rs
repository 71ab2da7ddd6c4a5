//! Selection of the backend server for a request.

mod ranked;
mod zones;

use crate::caches::{CacheDirectory, CachePlan, LinkAccount, link_hash};
use crate::configuration::Service;
use crate::overload::{Demand, RejectReason, Rejection, ServiceOverload};
use crate::peers::PeerLoads;
use crate::permits::PermitState;
use crate::prefill_rate::PrefillRate;
use crate::region_constraints::RegionConstraints;
use crate::request::Prompt;
use crate::request_limit::RequestRate;
use crate::server::{Server, ServerKey, Servers};
use crate::server_speed::ServiceSpeed;
use crate::start_estimate::StartEstimate;
use crate::weights::{CacheSharing, OldPartTimes, PublishedWeights};
use crate::workspace_shares::ClaimKey;
use rand::{Rng, RngExt};
use ranked::select_by_rank;
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::Duration;
pub use zones::ZoneQuery;
use zones::in_chosen_zone;
pub(crate) use zones::{ZONE_COST, ZoneInputs, zone_estimates};

/// Share of failed requests from which a server is avoided. Smaller shares are attributed to the
/// requests rather than to the server.
const FAILURE_SHARE_TOLERATED: f64 = 0.3;
/// Lower bound of the success share by which a server's load is divided, so that a failing
/// server's relative load stays finite.
const SUCCESS_SHARE_MIN: f64 = 0.1;
/// Largest random increase of a server's load, as a fraction of it. It keeps the daemons from
/// all choosing the same server at the same time.
const LOAD_JITTER_FRACTION: f64 = 0.2;
/// Probability with which a request may also go to avoided servers, so that their recovery is
/// noticed.
const AVOIDED_PROBE_PROBABILITY: f64 = 0.03;

/// Requirements of a request for its backend server.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Service whose servers are candidates.
    pub service: &'a Service,
    /// Regions to which the request is confined.
    pub region_constraints: RegionConstraints<'a>,
    /// Prompt-specific inputs, if the request is a generation.
    pub prompt: Option<PromptQuery<'a>>,
    /// Servers on which earlier attempts were made. They are not selected again.
    pub tried: &'a [ServerKey],
    /// Servers whose software version may not serve the request.
    pub excluded: &'a [ServerKey],
    /// This daemon's share of the fleet, from 0 to 1, by which fleet-wide allowances are divided.
    pub share: f64,
    /// Whether servers are candidates for which the issuer must be asked for a permit first.
    pub may_ask_permits: bool,
    /// Inputs to the choice of a zone, for requests without a prompt. `None` if all zones are alike.
    pub zones: Option<ZoneQuery<'a>>,
    /// Whether a request without a prompt is rejected at once if all servers are known to be full.
    pub rejects_if_full: bool,
}

impl<'a> Query<'a> {
    /// Creates the query of a first attempt of a request without a prompt, by a daemon without a
    /// fleet.
    #[must_use]
    pub fn new(service: &'a Service, region_constraints: RegionConstraints<'a>) -> Self {
        Self {
            service,
            region_constraints,
            prompt: None,
            tried: &[],
            excluded: &[],
            share: 1.0,
            may_ask_permits: true,
            zones: None,
            rejects_if_full: false,
        }
    }
}

/// Inputs to the selection for a generation: its prompt, the caches, engine load and weights.
#[derive(Clone, Copy, Debug)]
pub struct PromptQuery<'a> {
    /// Prompt of the request.
    pub prompt: &'a Prompt,
    /// Directory of the prompt parts that the cache stores hold.
    pub caches: &'a CacheDirectory,
    /// Rate at which the service's engines compute prompts.
    pub prefill_rate: PrefillRate,
    /// Load of other daemons' requests on the engines.
    pub peer_loads: &'a PeerLoads,
    /// Inputs to the estimate of the start at each server. `None` if servers are selected by the
    /// tokens in their memory alone.
    pub start: Option<StartQuery<'a>>,
    /// Whose requests share cached prompts with this one.
    pub cache_sharing: CacheSharing<'a>,
    /// Oldest version of the weights that may serve the request. `None` allows all.
    pub oldest_version: Option<u64>,
    /// Memory capacity of an engine in tokens. Zero if it is not known.
    pub engine_capacity_tokens: u64,
    /// Largest load in tokens at which an engine is still given the prompt.
    pub memory_limit_tokens: f64,
    /// Newest and earlier published versions of the model's weights, or `None` if operators have
    /// published none.
    pub published_weights: Option<&'a PublishedWeights>,
    /// Times for which prompt parts of replaced weights may still be read.
    pub old_part_times: OldPartTimes,
    /// Whether this daemon's copy of the operators' configuration is current.
    pub is_configuration_current: bool,
    /// Whether this daemon knows all announced weight switches.
    pub are_switches_current: bool,
    /// Account of planned transfers. `None` if reads are planned as if each link were idle.
    pub links: Option<LinkQuery<'a>>,
    /// Inputs to the choice of a zone. `None` if all zones are alike.
    pub zones: Option<ZoneQuery<'a>>,
}

/// Inputs to the choice between reading a prompt part and computing it.
#[derive(Clone, Copy, Debug)]
pub struct LinkQuery<'a> {
    /// This daemon's planned transfers.
    pub account: &'a LinkAccount,
    /// Random number from 0 to 1, by which the request accepts a wait for a link.
    pub draw: f64,
}

impl PromptQuery<'_> {
    /// Returns the tokens that requests of all daemons transfer from a source.
    fn waiting_tokens(&self, source: SocketAddr, now: Duration) -> f64 {
        let others = self.peer_loads.tokens_on(link_hash(source)) as f64;
        let own = |links: LinkQuery<'_>| links.account.tokens_left(source, now);
        self.links.map_or(0.0, own) + others
    }
}

/// Inputs to the estimate of the start at each server.
#[derive(Clone, Copy, Debug)]
pub struct StartQuery<'a> {
    /// Latency target of the request.
    pub latency_target: Duration,
    /// Speed of the service's engines.
    pub service: ServiceSpeed,
    /// What decides on the admission of the request. `None` if it is already admitted.
    pub admission: Option<Admission<'a>>,
}

/// What decides on the admission of a request.
#[derive(Clone, Copy, Debug)]
pub struct Admission<'a> {
    /// The request.
    pub demand: Demand,
    /// Control of the service's overload.
    pub overload: &'a ServiceOverload,
    /// Key of the workspace's claims, if the client belongs to one.
    pub claim_key: Option<ClaimKey>,
}

/// Estimated start at the selected server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SelectedStart {
    /// Estimated start of the request.
    pub estimate: StartEstimate,
    /// Tokens of the request's own prompt that the server is expected to compute.
    pub own_tokens: u64,
}

/// Result of a selection.
#[derive(Clone, Debug, Default)]
pub struct Selected {
    /// Key of the selected server.
    pub server: ServerKey,
    /// Use of cached prompts, if the request is a generation.
    pub cache: Option<CacheUse>,
    /// Rate for which a permit must be requested from the issuer before the request is sent. `None`
    /// if requests to the server are not limited, or a permit was taken.
    pub permit_needed: Option<RequestRate>,
    /// Estimated start, if servers are selected by it.
    pub start: Option<SelectedStart>,
}

/// How a generation uses cached prompts on the selected server.
#[derive(Clone, Debug)]
pub struct CacheUse {
    /// Version of the weights that produced everything cached under the scope. The request
    /// requires this version.
    pub weight_version: Option<u64>,
    /// Scope of the cache. Cached prompts are shared only by requests with the same scope.
    pub scope: String,
    /// Where each shared part of the prompt is read from and written to.
    pub plan: CachePlan,
    /// Whether the server is the one that ranks first for the prompt.
    pub is_first_in_rank: bool,
    /// Whether the server is in another failure domain than the one that ranks first.
    pub has_left_zone: bool,
}

/// Reason why no server can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoServer {
    /// No server of the service is in service within the allowed regions and with the required
    /// weights.
    NoneInService,
    /// No server in service is usable: each has been tried, is switching weights, has an open
    /// circuit breaker, or is backing off.
    AllUnavailable,
    /// Every server in service has asked for a back-off. Holds the shortest remaining one.
    BackingOff(Duration),
    /// The servers that are usable otherwise get as many requests as they take. Holds the shortest
    /// time after which one may take another.
    RateLimited(Duration),
    /// Every usable engine is loaded beyond the limit for the prompt.
    NoMemory,
    /// The request is not admitted because of the load.
    Overloaded(Rejection),
}

impl NoServer {
    /// Returns a description for log lines and error responses.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoneInService => "no backend server is in service",
            Self::NoMemory => "no engine has memory for the prompt now",
            Self::RateLimited(_) => "backend servers get as many requests as they take now",
            Self::BackingOff(_) => "all backend servers asked for no requests now",
            Self::AllUnavailable => "no backend server can take the request now",
            Self::Overloaded(rejection) => match rejection.reason {
                RejectReason::TooLate => "no engine begins before the client gives up",
                RejectReason::StartLimit => "engines begin too late for requests of this urgency",
                RejectReason::Memory => "no engine has memory for the prompt in time",
                RejectReason::Full => "all backend servers are full",
            },
        }
    }
}

/// Selects the server for a request. A generation goes to the server that ranks first for its
/// prompt and is not overloaded, any other request to the least loaded server. Requests to a
/// server that is cold or names a limit need permits.
///
/// # Errors
///
/// Returns [`NoServer`] if no server can take the request.
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
        return Err(why_none_usable(servers, &in_service, query, now));
    }
    let mut selected = match &query.prompt {
        Some(prompt) => {
            let draw = match prompt.start {
                Some(_) => rng.random(),
                None => 0.0,
            };
            select_by_rank(
                servers,
                &preferred,
                prompt,
                query.region_constraints,
                draw,
                now,
            )
        }
        None if query.rejects_if_full && all_full(servers, &preferred, now) => {
            Err(NoServer::Overloaded(Rejection::all_full()))
        }
        None => least_loaded(
            servers,
            &in_chosen_zone(servers, &preferred, query, now),
            now,
            rng,
        )
        .map(|server| Selected {
            server,
            ..Selected::default()
        })
        .ok_or(NoServer::NoMemory),
    }?;
    if let Some(server) = servers.get_mut(selected.server) {
        let allowed = server.allowed_rate(query.service.cold_requests_per_s, now);
        selected.permit_needed = server.take_permit(allowed, query.share, now);
    }
    Ok(selected)
}

fn why_none_usable(
    servers: &mut Servers,
    in_service: &[ServerKey],
    query: &Query<'_>,
    now: Duration,
) -> NoServer {
    if let Some(backoff) = servers.backoff_left(&query.service.name, now) {
        return NoServer::BackingOff(backoff);
    }
    let mut pause = |key: &ServerKey| {
        let server = servers.get_mut(*key)?;
        let allowed = server.allowed_rate(query.service.cold_requests_per_s, now);
        match server.permit_state(allowed, query.share, now) {
            PermitState::Paused(pause) => Some(pause),
            PermitState::Available | PermitState::MustAsk => None,
        }
    };
    let untried = in_service.iter().filter(|key| !query.tried.contains(key));
    let shortest = untried.filter_map(&mut pause).min();
    shortest.map_or(NoServer::AllUnavailable, NoServer::RateLimited)
}

fn servers_in_service(servers: &Servers, query: &Query<'_>) -> Vec<ServerKey> {
    servers
        .iter()
        .filter(|(_, server)| server.entry.service == query.service.name)
        .filter(|(_, server)| servers.is_in_service(server))
        .filter(|(key, _)| !query.excluded.contains(key))
        .filter(|(_, server)| query.region_constraints.allow(&server.entry.failure_domain))
        .filter(|(_, server)| has_weights(server, query.prompt.as_ref()))
        .map(|(key, _)| key)
        .collect()
}

fn has_weights(server: &Server, prompt: Option<&PromptQuery<'_>>) -> bool {
    let Some(query) = prompt else { return true };
    let Some(oldest) = query.oldest_version else {
        return true;
    };
    // A request to a server of unknown version cannot demand one.
    let version = server.version_of(&query.prompt.model);
    version.is_some_and(|version| version >= oldest)
}

fn usable_servers(
    servers: &mut Servers,
    in_service: &[ServerKey],
    query: &Query<'_>,
    now: Duration,
) -> Vec<ServerKey> {
    let cold_per_s = query.service.cold_requests_per_s;
    let mut usable = |key: &ServerKey| {
        if query.tried.contains(key) {
            return false;
        }
        let Some(server) = servers.get_mut(*key) else {
            return false;
        };
        let accepts_requests = server.backoff_left(now).is_zero();
        let allowed = server.allowed_rate(cold_per_s, now);
        let is_within_limit = match server.permit_state(allowed, query.share, now) {
            PermitState::Available => true,
            PermitState::MustAsk => query.may_ask_permits,
            PermitState::Paused(_) => false,
        };
        accepts_requests
            && is_within_limit
            && server.breaker.allows(now)
            && !server.is_switching(now)
    };
    in_service
        .iter()
        .copied()
        .filter(|key| usable(key))
        .collect()
}

fn drop_failing(servers: &Servers, usable: Vec<ServerKey>, rng: &mut impl Rng) -> Vec<ServerKey> {
    let is_reliable = |key: &ServerKey| {
        servers
            .get(*key)
            .is_some_and(|server| server.failure_share() < FAILURE_SHARE_TOLERATED)
    };
    let reliable: Vec<ServerKey> = usable.iter().copied().filter(is_reliable).collect();
    if reliable.is_empty()
        || reliable.len() == usable.len()
        || rng.random::<f64>() < AVOIDED_PROBE_PROBABILITY
    {
        return usable;
    }
    reliable
}

fn all_full(servers: &Servers, keys: &[ServerKey], now: Duration) -> bool {
    let mut known = keys.iter().filter_map(|key| servers.get(*key));
    known.all(|server| server.is_full(now))
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
    load / success_share * (1.0 + LOAD_JITTER_FRACTION * rng.random::<f64>())
}
