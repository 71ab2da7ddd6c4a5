//! Selects the backend server of an attempt.

use super::progress::Progress;
use super::rollouts::{choose_side, fall_back_to_base};
use super::routed_request::RoutedRequest;
use super::zones::{record_transfers, record_zone, update_service_load};
use crate::admission::{MemoryAdmission, MemoryRequest};
use crate::caches::{CacheDirectory, fetch_time_limit};
use crate::configuration::Service;
use crate::gateway::{Gateway, ServiceLoad, State};
use crate::log::{Choice, PromptChoice};
use crate::overload::{Demand, MoreUrgent, RejectReason};
use crate::pending_ends::start_of;
use crate::permit_client::{PermitTarget, acquire_permit};
use crate::permits::PermitPurpose;
use crate::prefill_rate::PrefillRate;
use crate::region_constraints::RegionConstraints;
use crate::retry::AttemptError;
use crate::select::{
    Admission, CacheUse, LinkQuery, NoServer, PromptQuery, Query, Selected, SelectedStart,
    StartQuery, ZoneQuery, select,
};
use crate::server::{Server, ServerKey, Servers};
use crate::server_ends::UsedServer;
use crate::weights::oldest_allowed_version;
use crate::workspace_shares::ClaimKey;
use anvilgw_quarantine::ServerStart;
use indexmap::IndexMap;
use rand::RngExt;
use rand::rngs::SmallRng;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Age of the last read of announced weight switches up to which caches of older weights are used.
/// Loading weights takes longer than this, so a server's old cache is no longer used by the time
/// that it has switched.
const SWITCHES_AGE_MAX: Duration = Duration::from_millis(600);
/// Fraction of a request's total time for which it may wait for memory on an engine. The rest is
/// for its execution, or for the client's retry after a refusal.
const MEMORY_WAIT_FRACTION: f64 = 0.3;
/// Longest wait for memory, as a multiple of the route's latency target. Clients abandon a stream
/// that has not begun after about four targets.
const MEMORY_WAIT_TARGETS: f64 = 2.5;
/// Time between the first two checks for free memory.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Factor by which the time to the next check grows. New requests check most often and so get
/// memory first: they can still meet their latency target, while requests that have waited long no
/// longer can.
const MEMORY_POLL_GROWTH: f64 = 1.25;

/// Longest time for which a prompt waits until a newly started daemon has read the contents of the
/// cache stores. Without the wait, parts that a store holds would be computed again, which takes
/// longer.
const STORES_WAIT_MAX: Duration = Duration::from_millis(200);
/// Maximum number of permits that an attempt requests. After that it only considers servers that
/// need none.
const PERMIT_ASKS_MAX: u32 = 4;
/// Time between two checks whether the contents of the cache stores are known.
const STORES_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The backend server selected for an attempt.
pub(super) struct Target {
    pub(super) key: ServerKey,
    /// Start of the server that was selected.
    start: ServerStart,
    pub(super) id: String,
    pub(super) address: SocketAddr,
    pub(super) cache: Option<CacheUse>,
    /// Time on the servers' clock, in milliseconds, until which the server waits for prompt parts
    /// from cache stores and other servers. `None` if that clock is not known yet.
    pub(super) fetch_until_ms: Option<u64>,
    /// Time by which a generation has to begin, so that the time of its weights is not over by then.
    pub(super) begin_by: Option<Duration>,
    /// Software version of the server, if it publishes one.
    pub(super) version: Option<String>,
    pub(super) is_cold: bool,
    /// Estimated start, if servers are selected by it.
    pub(super) start_estimate: Option<SelectedStart>,
    /// What was known of the server when it was selected, for the log.
    pub(super) choice: Choice,
}

impl Target {
    fn new(
        server: &Server,
        selected: Selected,
        caches: &CacheDirectory,
        limits: WeightLimits,
        now: Duration,
    ) -> Self {
        let weights_left = limits.serves_until.map(|until| until.saturating_sub(now));
        let prompt = selected
            .cache
            .as_ref()
            .map(|cache| prompt_choice(cache, weights_left));
        let fetched_tokens = prompt.map_or(0, |prompt| prompt.fetched_tokens);
        let fetch_until = now + fetch_time_limit(fetched_tokens);
        Self {
            key: selected.server,
            start: start_of(server),
            id: server.entry.id.clone(),
            address: server.entry.address,
            cache: selected.cache,
            fetch_until_ms: caches.server_clock_ms(fetch_until),
            begin_by: limits.begin_by,
            version: server.entry.version.clone(),
            is_cold: server.is_cold(now),
            start_estimate: selected.start,
            choice: Choice {
                start_ms: selected
                    .start
                    .map(|start| start.estimate.start_ms().round() as u64),
                load: server.load(now),
                load_age_ms: server.load_age(now).map(|age| age.as_millis() as u64),
                prompt,
            },
        }
    }

    pub(super) fn used_server(&self) -> UsedServer {
        UsedServer {
            key: self.key,
            start: self.start,
        }
    }

    pub(super) fn weight_version(&self) -> Option<u64> {
        self.cache.as_ref()?.weight_version
    }
}

async fn wait_for_stores(gateway: &Gateway, routed: &RoutedRequest) {
    let wait_until = routed.arrived_at + STORES_WAIT_MAX.min(routed.route.latency_target / 2);
    let is_known = || gateway.state.borrow().caches.knows_store_contents();
    while !is_known() && gateway.now() < wait_until {
        sleep(STORES_POLL_INTERVAL).await;
    }
}

/// Selects a server, and records what the request claims.
pub(super) async fn select_target_with_wait(
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &RefCell<Progress>,
) -> Result<Target, AttemptError> {
    if routed.meta.prompt.is_some() {
        wait_for_stores(gateway, routed).await;
    }
    let is_first_attempt = progress.borrow().tried_servers.is_empty();
    let result = select_target_with_memory(gateway, routed, progress).await;
    if is_first_attempt {
        record_claim(gateway, routed);
    }
    result
}

/// Selects a server. If no engine has free memory, waits for some: requests end all the time, and
/// most clients prefer a late answer to none.
async fn select_target_with_memory(
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &RefCell<Progress>,
) -> Result<Target, AttemptError> {
    let time = routed.end_at.saturating_sub(routed.arrived_at);
    let wait = time
        .mul_f64(MEMORY_WAIT_FRACTION)
        .min(routed.route.latency_target.mul_f64(MEMORY_WAIT_TARGETS));
    let wait_until = routed.arrived_at + wait;
    let mut poll_interval = MEMORY_POLL_INTERVAL;
    loop {
        let is_waiting = poll_interval > MEMORY_POLL_INTERVAL;
        let result = select_target(gateway, routed, progress, is_waiting).await;
        let wait_until = match &result {
            Err(AttemptError::NoServer(NoServer::NoMemory)) => wait_until,
            Err(AttemptError::NoServer(NoServer::Overloaded(rejection)))
                if rejection.reason == RejectReason::Memory =>
            {
                wait_until.min(routed.arrived_at + rejection.limit)
            }
            _ => return result,
        };
        if gateway.now() + poll_interval > wait_until {
            return result;
        }
        sleep(poll_interval).await;
        poll_interval = poll_interval.mul_f64(MEMORY_POLL_GROWTH);
    }
}

/// Selects a server. If it names a limit on its requests, acquires a permit; without one, selects
/// among the others.
async fn select_target(
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &RefCell<Progress>,
    is_waiting: bool,
) -> Result<Target, AttemptError> {
    choose_side(gateway, routed, progress);
    let mut asks = 0;
    while asks <= PERMIT_ASKS_MAX {
        let options = QueryOptions {
            is_waiting,
            may_ask_permits: asks < PERMIT_ASKS_MAX,
        };
        let now = gateway.now();
        let selected =
            match with_query(gateway, routed, progress, options, |servers, query, rng| {
                select(servers, query, now, rng)
            }) {
                Err(_) if fall_back_to_base(gateway, routed, progress) => {
                    asks = 0;
                    continue;
                }
                result => result.map_err(AttemptError::NoServer)?,
            };
        asks += 1;
        if let Some(limit) = selected.permit_needed {
            let target = PermitTarget::Server(selected.server);
            if !acquire_permit(gateway, target, limit, PermitPurpose::Request).await {
                continue;
            }
        }
        record_transfers(gateway, &selected, now);
        record_zone(gateway, &selected);
        let state = gateway.state.borrow();
        let server = state.servers.get(selected.server);
        // The server may have left while the permit was requested.
        if let Some(server) = server.filter(|server| state.servers.is_in_service(server)) {
            let version = selected
                .cache
                .as_ref()
                .and_then(|cache| cache.weight_version);
            let limits = weight_limits(gateway, &state, routed, version).unwrap_or_default();
            return Ok(Target::new(server, selected, &state.caches, limits, now));
        }
    }
    Err(AttemptError::NoServer(NoServer::AllUnavailable))
}

/// Times that limit the use of the weights of a selected server.
#[derive(Clone, Copy, Default)]
struct WeightLimits {
    /// Time at which they stop serving new requests, if newer ones are published.
    serves_until: Option<Duration>,
    /// Time by which a request on them has to begin.
    begin_by: Option<Duration>,
}

fn weight_limits(
    gateway: &Gateway,
    state: &State,
    routed: &RoutedRequest,
    version: Option<u64>,
) -> Option<WeightLimits> {
    let prompt = routed.meta.prompt.as_ref()?;
    let published = state.weights.get(&prompt.model)?;
    let verified_at = state.configuration_freshness.verified_at()?;
    let switch_time = gateway.settings.bounds.weight_switch;
    let version = version?;
    Some(WeightLimits {
        serves_until: published.serves_until(version, switch_time),
        begin_by: Some(published.must_begin_by(version, verified_at, switch_time)),
    })
}

/// Options of a selection.
#[derive(Clone, Copy)]
struct QueryOptions {
    /// Whether the request has already waited for memory.
    is_waiting: bool,
    /// Whether servers are candidates for which a permit must be requested first.
    may_ask_permits: bool,
}

/// Calls `decide` with the servers and a description of what the request needs.
fn with_query<T>(
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &RefCell<Progress>,
    options: QueryOptions,
    decide: impl FnOnce(&mut Servers, &Query<'_>, &mut SmallRng) -> T,
) -> T {
    let now = gateway.now();
    update_service_load(gateway, routed);
    let state = &mut *gateway.state.borrow_mut();
    let is_first_attempt = progress.borrow().tried_servers.is_empty();
    let load = state.loads.get(&routed.service.name);
    let load = load.filter(|_| gateway.is_start_controlled());
    let start = load.and_then(|load| start_query(load, routed, is_first_attempt, now));
    let zones = load.map(|load| ZoneQuery {
        own_zone: &gateway.settings.failure_domain,
        choice: &load.zones,
        draw: state.rng.random(),
    });
    let memory_limit_tokens =
        memory_limit_tokens(&state.admission, routed, options, start.as_ref(), now);
    let prompt = routed.meta.prompt.as_ref().map(|prompt| {
        let published_weights = state.weights.get(&prompt.model);
        let switch_time = gateway.settings.bounds.weight_switch;
        PromptQuery {
            prompt,
            caches: &state.caches,
            prefill_rate: prefill_rate(&state.prefill_rates, &routed.service),
            peer_loads: &state.peer_loads,
            start,
            cache_sharing: routed.cache_sharing(),
            oldest_version: published_weights
                .and_then(|published| oldest_allowed_version(published, switch_time, now)),
            engine_capacity_tokens: engine_capacity(&routed.service),
            memory_limit_tokens,
            published_weights,
            old_part_times: gateway.old_part_times(),
            is_configuration_current: state.configuration_freshness.is_current(now),
            are_switches_current: now < state.switches_read_at + SWITCHES_AGE_MAX,
            zones,
            links: gateway.is_start_controlled().then(|| LinkQuery {
                account: &state.links,
                draw: state.rng.random(),
            }),
        }
    });
    let side = progress.borrow().rollout_side;
    let service = &routed.service.name;
    let excluded = state.rollouts.excluded(&state.servers, service, side);
    let query = Query {
        service: &routed.service,
        region_constraints: region_constraints(gateway, routed),
        prompt,
        tried: &progress.borrow().tried_servers,
        excluded: &excluded,
        share: state.share,
        may_ask_permits: options.may_ask_permits,
        zones,
        rejects_if_full: gateway.is_start_controlled() && is_first_attempt,
    };
    decide(&mut state.servers, &query, &mut state.rng)
}

/// Returns the largest load in tokens at which an engine is still given the prompt. After a recent
/// rejection because of the load, less urgent requests leave more of the memory free.
fn memory_limit_tokens(
    admission: &MemoryAdmission,
    routed: &RoutedRequest,
    options: QueryOptions,
    start: Option<&StartQuery<'_>>,
    now: Duration,
) -> f64 {
    let capacity_tokens = engine_capacity(&routed.service);
    let request = MemoryRequest {
        route: &routed.route.name,
        urgency: routed.urgency(),
        is_waiting: options.is_waiting,
    };
    let free_fraction = start
        .and_then(|start| start.admission)
        .filter(|admission| admission.overload.span.is_recent(now))
        .map_or(0.0, |admission| admission.demand.free_memory_fraction());
    admission.limit_tokens(&request, capacity_tokens) - capacity_tokens as f64 * free_fraction
}

fn region_constraints<'a>(
    gateway: &'a Gateway,
    routed: &'a RoutedRequest,
) -> RegionConstraints<'a> {
    let workspace = routed.workspace.as_deref();
    RegionConstraints {
        regions: &gateway.settings.regions,
        route: &routed.route.allowed_regions,
        workspace: workspace.map_or(&[], |workspace| workspace.allowed_regions.as_slice()),
    }
}

/// Returns the inputs to the estimate of the start, if load is controlled by it and the memory of
/// the service's engines is known.
fn start_query<'a>(
    load: &'a ServiceLoad,
    routed: &RoutedRequest,
    is_first_attempt: bool,
    now: Duration,
) -> Option<StartQuery<'a>> {
    if engine_capacity(&routed.service) == 0 {
        return None;
    }
    // A stream that the client resumes was admitted before.
    let is_new = is_first_attempt && routed.meta.resume_after.is_none();
    Some(StartQuery {
        latency_target: routed.route.latency_target,
        service: load.speed,
        admission: is_new.then(|| Admission {
            demand: demand(routed, now),
            overload: &load.overload,
            claim_key: claim_key(routed),
        }),
    })
}

fn claim_key(routed: &RoutedRequest) -> Option<ClaimKey> {
    let workspace = routed.workspace_name()?;
    Some(ClaimKey::of(&routed.service.name, workspace))
}

/// Records what a request claims, after the decision on it, which must not depend on its size.
fn record_claim(gateway: &Gateway, routed: &RoutedRequest) {
    let (Some(prompt), Some(key)) = (&routed.meta.prompt, claim_key(routed)) else {
        return;
    };
    let now = gateway.now();
    let state = &mut *gateway.state.borrow_mut();
    if let Some(load) = state.loads.get_mut(&routed.service.name) {
        let shares = &mut load.overload.shares;
        shares.on_request(key, prompt.footprint_tokens(), now);
    }
}

/// Returns what decides on the admission of a request.
fn demand(routed: &RoutedRequest, now: Duration) -> Demand {
    let routes = routed.configuration.routes().iter();
    let same_service = routes
        .filter(|route| {
            let mut targets = route.targets.iter();
            targets.any(|target| target.service == routed.service.name)
        })
        .map(|route| (route.priority, route.latency_target));
    Demand {
        latency_target: routed.route.latency_target,
        more_urgent: MoreUrgent::among(same_service, routed.urgency()),
        waited: now.saturating_sub(routed.arrived_at),
        remaining: routed.remaining(now),
    }
}

fn prefill_rate(rates: &IndexMap<String, PrefillRate>, service: &Service) -> PrefillRate {
    rates.get(&service.name).copied().unwrap_or_default()
}

fn prompt_choice(cache: &CacheUse, weights_left: Option<Duration>) -> PromptChoice {
    PromptChoice {
        weights: cache.weight_version,
        weights_left_ms: weights_left.map(|left| left.as_millis() as u64),
        fetched_tokens: cache.plan.fetched_tokens,
        computed_tokens: cache.plan.computed_tokens,
    }
}

pub(super) fn engine_capacity(service: &Service) -> u64 {
    let engine = service.engine.as_ref();
    engine.map_or(0, |engine| engine.kv_capacity_tokens)
}
