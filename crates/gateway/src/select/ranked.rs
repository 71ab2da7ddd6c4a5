//! Selection of the engine for a prompt, among servers in the order of their ranks.

use super::zones::within_zone;
use super::{Admission, CacheUse, NoServer, PromptQuery, Selected, SelectedStart, StartQuery};
use crate::caches::{CachePlan, PlanDestination, TransferPolicy, WaitingTokens, name_hash};
use crate::overload::{FleetLoad, ServiceOverload, admit};
use crate::peers::PeerLoads;
use crate::region_constraints::RegionConstraints;
use crate::server::{Server, ServerKey, Servers};
use crate::start_estimate::{Candidate, PromptTokens, Requirement, ServerWork, StartEstimate};
use crate::weights::{cache_scope, may_read_part};
use crate::workspace_shares::ClaimKey;
use anvilgw_router::BreakerState;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Factor by which a server's load may exceed the candidates' mean before a prompt goes to the
/// server that ranks next.
const SPILL_FACTOR: f64 = 1.25;
/// Fraction of an engine's memory by which its load may exceed the mean in addition.
const SPILL_SLACK_FRACTION: f64 = 0.08;

/// Selects the server that ranks first for the prompt among those whose load is not far above
/// the mean, or that begins with the prompt early enough. `draw` is a random number from 0 to 1.
///
/// Ranks spread prompts evenly over the servers, whatever these have cached at the moment.
/// Selecting servers by their cache contents would gather more and more prompts on a few of
/// them, which would then run out of memory.
pub(super) fn select_by_rank(
    servers: &Servers,
    keys: &[ServerKey],
    query: &PromptQuery<'_>,
    region_constraints: RegionConstraints<'_>,
    draw: f64,
    now: Duration,
) -> Result<Selected, NoServer> {
    let affinity = query.prompt.affinity().unwrap_or_default();
    let mut ranked: Vec<(u64, ServerKey, &Server)> = keys
        .iter()
        .filter_map(|key| servers.get(*key).map(|server| (*key, server)))
        .map(|(key, server)| (rank(affinity, &server.entry.id), key, server))
        .collect();
    ranked.sort_unstable_by_key(|(rank, _, _)| std::cmp::Reverse(*rank));
    let (index, estimate) = match query.start {
        Some(start) => {
            let (index, estimate) = first_with_early_start(&ranked, query, start, draw, now)?;
            (index, Some(estimate))
        }
        None => {
            let index = first_with_even_load(&ranked, query, now).ok_or(NoServer::NoMemory)?;
            (index, None)
        }
    };
    let (_, key, server) = ranked[index];
    // The server that ranks highest among the others has most likely served the prompt before.
    let likely_source = ranked
        .iter()
        .filter(|(_, other, _)| *other != key)
        .map(|(_, _, other)| *other)
        .find(|other| is_readable_source(other, now));
    let mut cache = plan_cache_use(server, likely_source, query, region_constraints, now);
    cache.is_first_in_rank = index == 0;
    let (_, _, first) = ranked[0];
    cache.has_left_zone = server.entry.failure_domain != first.entry.failure_domain;
    let own_tokens = query.prompt.unshared_tokens() + cache.plan.computed_tokens;
    Ok(Selected {
        server: key,
        permit_needed: None,
        start: estimate.map(|estimate| SelectedStart {
            estimate,
            own_tokens: u64::from(own_tokens),
        }),
        cache: Some(cache),
    })
}

/// Returns the index of the first server in rank order whose load in tokens is not far above the
/// mean, or else of the first one with room.
fn first_with_even_load(
    ranked: &[(u64, ServerKey, &Server)],
    query: &PromptQuery<'_>,
    now: Duration,
) -> Option<usize> {
    let tokens: Vec<f64> = ranked
        .iter()
        .map(|(_, _, server)| tokens_on(server, query, now))
        .collect();
    let total: f64 = tokens.iter().sum();
    let mean = total / ranked.len().max(1) as f64;
    let slack = query.engine_capacity_tokens as f64 * SPILL_SLACK_FRACTION;
    let bound = (mean * SPILL_FACTOR + slack).min(query.memory_limit_tokens);
    let within = tokens.iter().position(|tokens| *tokens <= bound);
    let has_room = |tokens: &f64| *tokens <= query.memory_limit_tokens;
    within.or_else(|| tokens.iter().position(has_room))
}

/// Returns the index and the estimated start of the first server in rank order that begins with the
/// request early enough, if the request is admitted.
fn first_with_early_start(
    ranked: &[(u64, ServerKey, &Server)],
    query: &PromptQuery<'_>,
    start: StartQuery<'_>,
    draw: f64,
    now: Duration,
) -> Result<(usize, StartEstimate), NoServer> {
    let works: Vec<(ServerWork, StartEstimate)> = ranked
        .iter()
        .map(|(_, _, server)| work_at(server, query.peer_loads, now))
        .map(|work| (work, StartEstimate::of(&work, &start.service)))
        .collect();
    let candidates: Vec<Candidate> = ranked
        .iter()
        .zip(&works)
        .map(|((_, _, server), (work, estimate))| Candidate {
            estimate: *estimate,
            slowness: work.slowness,
            memory_tokens: tokens_on(server, query, now),
        })
        .collect();
    let fleet = FleetLoad::of(&works);
    let requirement = requirement(query, start);
    let index = requirement.choose(&candidates);
    let Some(index) = index else {
        let rejection = start
            .admission
            .map(|admission| admission.demand.memory_rejection(&fleet, &start.service));
        return Err(rejection.map_or(NoServer::NoMemory, NoServer::Overloaded));
    };
    let index = within_zone(ranked, &candidates, &requirement, query, index);
    let estimate = candidates[index].estimate;
    if let Some(admission) = &start.admission {
        let rejected_share = rejected_share(admission, &fleet, query.peer_loads, now);
        let start_ms = estimate.start_ms();
        admit(&admission.demand, &fleet, rejected_share, start_ms, draw)
            .map_err(NoServer::Overloaded)?;
    }
    Ok((index, estimate))
}

/// Returns the share of the workspace's requests of this urgency that is rejected.
fn rejected_share(
    admission: &Admission<'_>,
    fleet: &FleetLoad,
    peer_loads: &PeerLoads,
    now: Duration,
) -> f64 {
    let ServiceOverload {
        throttle, shares, ..
    } = admission.overload;
    let share = throttle.rejected_share(&admission.demand, fleet, now);
    let others = |key: ClaimKey| peer_loads.tokens_on(key.0);
    admission
        .claim_key
        .map_or(share, |key| shares.rejected_share(key, share, others, now))
}

fn requirement(query: &PromptQuery<'_>, start: StartQuery) -> Requirement {
    let unshared = query.prompt.unshared_tokens();
    Requirement {
        latency_target: start.latency_target,
        prompt: PromptTokens {
            shared: query.prompt.prompt_tokens.saturating_sub(unshared),
            unshared,
        },
        service: start.service,
        capacity_tokens: query.engine_capacity_tokens,
        memory_limit_tokens: query.memory_limit_tokens,
    }
}

/// Returns the work of all daemons' requests at a server.
pub(super) fn work_at(server: &Server, peer_loads: &PeerLoads, now: Duration) -> ServerWork {
    let others = peer_loads.total_on(server.server_hash());
    let known_requests = f64::from(server.in_flight) + others.requests as f64;
    ServerWork {
        uncomputed_tokens: server.uncomputed_tokens + others.uncomputed_tokens,
        requests: server.load(now).max(known_requests),
        slots: server.entry.slots,
        waiting: server.reported_waiting(now),
        slowness: server.speed.slowness(now),
    }
}

/// Returns whether prompt parts may be read from an engine. A read from an engine that does not
/// answer costs some hundred milliseconds, and a cold engine has nothing cached yet. An engine that
/// may still carry out an order to load weights could send parts of both weights.
fn is_readable_source(server: &Server, now: Duration) -> bool {
    server.breaker.state(now) == BreakerState::Closed
        && !server.is_cold(now)
        && !server.is_switching(now)
        && server.order_pending_until(now).is_none()
}

/// Returns the tokens that the requests of all daemons occupy on an engine.
fn tokens_on(server: &Server, query: &PromptQuery<'_>, now: Duration) -> f64 {
    let others = query.peer_loads.tokens_on(server.server_hash());
    (server.estimated_tokens(now) + others) as f64
}

/// Plans from where a server reads the shared parts of the prompt.
///
/// The scope includes the model and the version of its weights, and the request requires both, so
/// nothing computed with other weights is ever found under the scope. An engine that switches
/// weights continues its running requests with the new weights, so parts are not read from
/// engines that are ordered to switch.
fn plan_cache_use(
    server: &Server,
    likely_source: Option<&Server>,
    query: &PromptQuery<'_>,
    region_constraints: RegionConstraints<'_>,
    now: Duration,
) -> CacheUse {
    let model = &query.prompt.model;
    let version = server.version_of(model);
    let scope = cache_scope(model, version, query.cache_sharing);
    let is_newest = query
        .published_weights
        .is_none_or(|published| Some(published.version) == version);
    let may_transfer = version.is_some()
        && query.is_configuration_current
        && (is_newest || query.are_switches_current);
    let mut plan = CachePlan::default();
    if may_transfer {
        let waiting_tokens = |source| query.waiting_tokens(source, now);
        let waiting_tokens: &WaitingTokens<'_> = &waiting_tokens;
        let likely_engine = likely_source
            .filter(|source| source.version_of(model) == version)
            .map(|source| source.entry.address);
        let policy = TransferPolicy {
            may_write_stores: is_newest,
            may_read_from_store: &|id_hash| match (query.published_weights, version) {
                (Some(published), Some(version)) => {
                    may_read_part(published, version, id_hash, query.old_part_times, now)
                }
                _ => true,
            },
            likely_engine,
            region_constraints,
            waiting_tokens: query.links.map(|_| waiting_tokens),
            draw: query.links.map_or(1.0, |links| links.draw),
        };
        let parts = query.prompt.shared_parts();
        let located = query.caches.locate(name_hash(&scope), parts, now);
        let plan_for = PlanDestination {
            failure_domain: &server.entry.failure_domain,
            prefill_rate: query.prefill_rate,
        };
        plan = query.caches.plan(&located, plan_for, policy);
    }
    CacheUse {
        weight_version: version,
        scope,
        plan,
        is_first_in_rank: false,
        has_left_zone: false,
    }
}

/// Returns the rank of a server for a prompt by rendezvous hashing: all daemons rank servers
/// alike, and adding or removing a server moves only that server's prompts.
fn rank(affinity: u64, server_id: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    affinity.hash(&mut hasher);
    server_id.hash(&mut hasher);
    hasher.finish()
}
