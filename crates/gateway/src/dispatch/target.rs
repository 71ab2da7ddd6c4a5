//! Chooses the backend server of an attempt.

use super::call::Call;
use super::progress::Progress;
use crate::admission::MemoryRequest;
use crate::caches::CacheDirectory;
use crate::configuration::Service;
use crate::gateway::Gateway;
use crate::log::{Choice, PromptChoice};
use crate::prefill_rate::PrefillRate;
use crate::region_constraints::RegionConstraints;
use crate::retry::AttemptError;
use crate::select::{CacheUse, NoServer, PromptQuery, Query, Selected, has_usable_server, select};
use crate::server::{Server, ServerKey, Servers};
use crate::weights::{FETCH_TIME_MAX, oldest_allowed_version};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Age of the announcements of weight switches up to which caches of older weights are read. A load
/// takes longer than this, so a server is not read any more before it has switched.
const SWITCHES_MAX_AGE: Duration = Duration::from_millis(600);
/// Part of its time for which a request waits for memory on an engine. The rest is for its run, or
/// for another try after a refusal.
const MEMORY_WAIT_PART: f64 = 0.3;
/// Latency targets for which a request waits for memory at most. Callers give a stream up that has
/// not begun after some four targets.
const MEMORY_WAIT_TARGETS: f64 = 2.5;
/// Time between the first two looks for memory.
const MEMORY_WAIT_STEP: Duration = Duration::from_millis(20);
/// Factor by which the time to the next look grows. New requests look most often: they can still be
/// answered within their latency target, and those that cannot any more make way.
const MEMORY_WAIT_GROWTH: f64 = 1.25;

/// Longest time for which a prompt waits until the daemon, after its start, has read what the stores
/// hold. Without that it would be computed although a store has it, which takes longer.
const STORES_WAIT: Duration = Duration::from_millis(200);
/// Time between two looks whether the contents of the stores are known.
const STORES_WAIT_STEP: Duration = Duration::from_millis(10);

/// The server of an attempt.
pub(super) struct Target {
    pub(super) key: ServerKey,
    pub(super) id: String,
    pub(super) address: SocketAddr,
    pub(super) cache: Option<CacheUse>,
    /// Time on the servers' clock after which parts from elsewhere are not waited for.
    pub(super) fetch_until_ms: Option<u64>,
    /// What decided for the server.
    pub(super) choice: Choice,
}

impl Target {
    fn new(server: &Server, selected: Selected, caches: &CacheDirectory, now: Duration) -> Self {
        let prompt = selected.cache.as_ref().map(prompt_choice);
        let fetched_tokens = prompt.map_or(0, |prompt| prompt.fetched_tokens);
        let fetch_until = now + fetch_patience(fetched_tokens);
        Self {
            key: selected.server,
            id: server.entry.id.clone(),
            address: server.entry.address,
            cache: selected.cache,
            fetch_until_ms: caches.server_clock_ms(fetch_until),
            choice: Choice {
                load: server.load(now),
                load_age_ms: server.load_age(now).map(|age| age.as_millis() as u64),
                prompt,
            },
        }
    }

    pub(super) fn weight_version(&self) -> Option<u64> {
        self.cache.as_ref()?.weight_version
    }
}

/// Time for which it is worth to wait for parts from elsewhere: some times the time in which an engine
/// computes them, since computing also delays all others on the engine.
fn fetch_patience(tokens: u32) -> Duration {
    const BASE: Duration = Duration::from_millis(150);
    const PER_TOKEN: Duration = Duration::from_micros(30);
    (BASE + PER_TOKEN * tokens).min(FETCH_TIME_MAX)
}

async fn wait_for_stores(gateway: &Gateway, call: &Call) {
    let wait_until = call.arrived + STORES_WAIT.min(call.route.latency_target / 2);
    let is_known = || gateway.state.borrow().caches.knows_store_contents();
    while !is_known() && gateway.now() < wait_until {
        sleep(STORES_WAIT_STEP).await;
    }
}

/// Chooses a server. While no engine has memory, it waits: runs end all the time, and a late answer
/// is better for most callers than none.
pub(super) async fn choose_with_wait(
    gateway: &Gateway,
    call: &Call,
    progress: &Progress,
) -> Result<Target, AttemptError> {
    if call.meta.prompt.is_some() {
        wait_for_stores(gateway, call).await;
    }
    let time = call.end_at.saturating_sub(call.arrived);
    let wait = time
        .mul_f64(MEMORY_WAIT_PART)
        .min(call.route.latency_target.mul_f64(MEMORY_WAIT_TARGETS));
    let wait_until = call.arrived + wait;
    let mut step = MEMORY_WAIT_STEP;
    loop {
        let is_waiting = step > MEMORY_WAIT_STEP;
        let chosen = choose(gateway, call, progress, is_waiting);
        let lacks_memory = matches!(chosen, Err(AttemptError::NoServer(NoServer::NoMemory)));
        if !lacks_memory || gateway.now() + step > wait_until {
            return chosen;
        }
        sleep(step).await;
        step = step.mul_f64(MEMORY_WAIT_GROWTH);
    }
}

fn choose(
    gateway: &Gateway,
    call: &Call,
    progress: &Progress,
    is_waiting: bool,
) -> Result<Target, AttemptError> {
    let now = gateway.now();
    let selected = with_query(
        gateway,
        call,
        progress,
        is_waiting,
        |servers, query, rng| select(servers, query, now, rng).map_err(AttemptError::NoServer),
    )?;
    let state = gateway.state.borrow();
    let server = state
        .servers
        .get(selected.server)
        .ok_or(AttemptError::NoServer(NoServer::NoneInService))?;
    Ok(Target::new(server, selected, &state.caches, now))
}

/// Whether a server could take the request that was not tried yet.
pub(super) fn has_alternative(gateway: &Gateway, call: &Call, progress: &Progress) -> bool {
    with_query(gateway, call, progress, false, |servers, query, _| {
        has_usable_server(servers, query, gateway.now())
    })
}

/// Gives what a request needs, and the servers, to a decision.
fn with_query<T>(
    gateway: &Gateway,
    call: &Call,
    progress: &Progress,
    is_waiting: bool,
    decide: impl FnOnce(&mut Servers, &Query<'_>, &mut SmallRng) -> T,
) -> T {
    let now = gateway.now();
    let state = &mut *gateway.state.borrow_mut();
    let prompt = call.meta.prompt.as_ref().map(|prompt| {
        let named = state.weights.get(&prompt.model);
        let switch_time = gateway.settings.bounds.weight_switch;
        PromptQuery {
            prompt,
            caches: &state.caches,
            prefill_rate: computing_rate(&state.computing_rates, &call.service),
            peer_loads: &state.peer_loads,
            isolated_workspace: call.isolated_workspace(),
            oldest_version: named.and_then(|named| oldest_allowed_version(named, switch_time, now)),
            engine_capacity_tokens: engine_capacity(&call.service),
            memory_limit_tokens: state.admission.limit_tokens(
                &MemoryRequest {
                    route: &call.route.name,
                    urgency: call.urgency(),
                    is_waiting,
                },
                engine_capacity(&call.service),
            ),
            named,
            old_part_times: gateway.old_part_times(),
            is_configuration_current: state.trust.is_current(now),
            are_switches_current: now < state.switches_read_at + SWITCHES_MAX_AGE,
        }
    });
    let query = Query {
        service: &call.service,
        region_constraints: RegionConstraints {
            regions: &gateway.settings.regions,
            route: &call.route.allowed_regions,
            workspace: call
                .workspace
                .as_deref()
                .map_or(&[], |workspace| workspace.allowed_regions.as_slice()),
        },
        prompt,
        tried: &progress.tried,
        share: state.share,
    };
    decide(&mut state.servers, &query, &mut state.rng)
}

fn computing_rate(rates: &IndexMap<String, PrefillRate>, service: &Service) -> PrefillRate {
    rates.get(&service.name).copied().unwrap_or_default()
}

fn prompt_choice(cache: &CacheUse) -> PromptChoice {
    PromptChoice {
        weights: cache.weight_version,
        fetched_tokens: cache.plan.fetched_tokens,
        computed_tokens: cache.plan.computed_tokens,
    }
}

fn engine_capacity(service: &Service) -> u64 {
    let engine = service.engine.as_ref();
    engine.map_or(0, |engine| engine.kv_capacity_tokens)
}
