//! Zones (failure domains) in the selection of a server.

use super::ranked::work_at;
use super::{PromptQuery, Query};
use crate::peers::PeerLoads;
use crate::server::{Server, ServerKey, Servers};
use crate::server_speed::ServiceSpeed;
use crate::start_estimate::{Candidate, Requirement, StartEstimate};
use crate::zone_choice::{ZoneChoice, ZoneCost, ZoneEstimate};
use anvilgw_router::BreakerState;
use indexmap::IndexMap;
use std::time::Duration;

/// What it costs if a request leaves its zone. Messages take 0.9 ms each way; no setting states the
/// price of bytes.
pub(crate) const ZONE_COST: ZoneCost = ZoneCost {
    extra_ms: 1.8,
    price_ms: 20.0,
};

/// Inputs to the choice of a zone.
#[derive(Clone, Copy, Debug)]
pub struct ZoneQuery<'a> {
    /// Failure domain of this daemon.
    pub own_zone: &'a str,
    /// Shares of the service's requests that leave each zone.
    pub choice: &'a ZoneChoice,
    /// Random number from 0 to 1.
    pub draw: f64,
}

/// What the estimates of the zones of a service are made from.
#[derive(Clone, Copy)]
pub(crate) struct ZoneInputs<'a> {
    pub(crate) servers: &'a Servers,
    pub(crate) service: &'a str,
    /// Memory capacity of an engine in tokens. Zero if it is not known.
    pub(crate) capacity_tokens: u64,
    pub(crate) peer_loads: &'a PeerLoads,
    pub(crate) speed: &'a ServiceSpeed,
}

#[derive(Default)]
struct ZoneSum {
    start_ms: f64,
    pressure: f64,
    servers: f64,
}

/// Estimates the starts and the pressure in the zones with usable servers of a service.
pub(crate) fn zone_estimates(
    inputs: ZoneInputs<'_>,
    now: Duration,
) -> IndexMap<String, ZoneEstimate> {
    let mut sums: IndexMap<&str, ZoneSum> = IndexMap::new();
    let servers = inputs.servers.iter().map(|(_, server)| server);
    let usable = servers.filter(|server| {
        server.entry.service == inputs.service
            && inputs.servers.is_in_service(server)
            && is_usable(server, now)
    });
    for server in usable {
        let work = work_at(server, inputs.peer_loads, now);
        let others = inputs.peer_loads.tokens_on(server.server_hash());
        let tokens = (server.estimated_tokens(now) + others) as f64;
        let memory = tokens / (inputs.capacity_tokens as f64).max(1.0);
        let memory = if inputs.capacity_tokens > 0 {
            memory
        } else {
            0.0
        };
        let slots = work.requests / f64::from(work.slots.max(1));
        let sum = sums.entry(&server.entry.failure_domain).or_default();
        sum.start_ms += StartEstimate::of(&work, inputs.speed).start_ms();
        sum.pressure += memory.max(slots);
        sum.servers += 1.0;
    }
    let mean = |sum: ZoneSum| ZoneEstimate {
        start_ms: sum.start_ms / sum.servers,
        pressure: sum.pressure / sum.servers,
    };
    sums.into_iter()
        .map(|(zone, sum)| (zone.to_owned(), mean(sum)))
        .collect()
}

fn is_usable(server: &Server, now: Duration) -> bool {
    server.breaker.state(now) == BreakerState::Closed
        && !server.is_switching(now)
        && !server.is_cold(now)
        && server.backoff_left(now).is_zero()
}

/// Returns those of the candidates for a request without a prompt that are in the zone of its choice
/// and not full. Returns all of them if there is none, or if the daemon's own zone is full.
pub(super) fn in_chosen_zone(
    servers: &Servers,
    keys: &[ServerKey],
    query: &Query<'_>,
    now: Duration,
) -> Vec<ServerKey> {
    let Some(zones) = query.zones else {
        return keys.to_vec();
    };
    let zone = zones.choice.target(zones.own_zone, zones.draw);
    let zone = zone.unwrap_or(zones.own_zone);
    let is_candidate = |key: &&ServerKey| {
        servers.get(**key).is_some_and(|server| {
            let has_slot = server.load(now) < f64::from(server.entry.slots.max(1));
            server.entry.failure_domain == zone && has_slot
        })
    };
    let chosen: Vec<ServerKey> = keys.iter().filter(is_candidate).copied().collect();
    if chosen.is_empty() || zones.choice.is_full(zones.own_zone) {
        keys.to_vec()
    } else {
        chosen
    }
}

/// Returns the index of the server for a prompt whose choice among all zones, `index`, is outside the
/// zone of the server that ranks first. The prompt stays in that zone, in whose stores its parts are,
/// unless it belongs to the share that leaves, or no server there begins within the latency target.
pub(super) fn within_zone(
    ranked: &[(u64, ServerKey, &Server)],
    candidates: &[Candidate],
    requirement: &Requirement,
    query: &PromptQuery<'_>,
    index: usize,
) -> usize {
    let zone_of = |index: usize| ranked[index].2.entry.failure_domain.as_str();
    let Some(zones) = query.zones else {
        return index;
    };
    let home = zone_of(0);
    let zone = zones.choice.target(home, zones.draw).unwrap_or(home);
    if zone_of(index) == home || zone_of(index) == zone {
        return index;
    }
    let Some(in_zone) = requirement.choose_among(candidates, &|one| zone_of(one) == zone) else {
        return index;
    };
    let first_event_ms = |index: usize| requirement.first_event_ms(&candidates[index], index == 0);
    let target_ms = requirement.latency_target.as_secs_f64() * 1000.0;
    let is_timely = first_event_ms(in_zone) <= target_ms;
    let cost_ms = ZONE_COST.extra_ms + ZONE_COST.price_ms;
    let is_not_much_later = first_event_ms(in_zone) <= first_event_ms(index) + cost_ms;
    if is_timely || is_not_much_later || zones.choice.is_full(zone_of(index)) {
        in_zone
    } else {
        index
    }
}
