//! Selection of a backend server, with an explanation.

use crate::cold::ColdCause;
use crate::kv::{AdapterId, WeightVersion};
use crate::prefix_match::PrefixMatch;
use crate::price::{CostWeights, PricedPlan, ServePlan};
use anvilgw_core::{DomainId, ErrorKind, Failure, ModelId, ServerId, Stage};
use quick_error::quick_error;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Candidates whose cost exceeds the lowest by at most this share are near-equal. It covers the
/// error of lagging load reports, so that daemons do not all pick the same server.
pub const NEAR_EQUAL_SHARE: f64 = 0.10;
/// Smallest cost in the random choice, which keeps the proportions finite.
const COST_FLOOR: f64 = 1e-6;
/// Candidates listed in an explanation. The details of all of 600 would take 100 KB per request.
const EXPLAINED_MAX: usize = 16;

/// A request to route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRequest {
    /// Model.
    pub model: ModelId,
    /// Adapter, if any.
    pub adapter: Option<AdapterId>,
    /// Version of the weights that the keys of the prompt were derived with.
    pub weight_version: WeightVersion,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Servers on which an earlier attempt failed.
    pub tried: Vec<ServerId>,
}

/// Why a server was not considered, in the order of the checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// It holds other weights.
    WeightVersion,
    /// It does not hold the adapter.
    Adapter,
    /// An operator took it out of service, or its instance leaves.
    OutOfService,
    /// An operator took its failure domain out of service.
    DomainOut,
    /// An earlier attempt of the request failed on it.
    Tried,
    /// Its circuit breaker is open.
    BreakerOpen,
    /// It is cold and this daemon holds no free permit for it.
    ColdLimit,
}

/// A server that was considered.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Why it is cold, if it is.
    pub cold: Option<ColdCause>,
    /// Cheapest way to serve the prompt on it, with its price.
    pub priced: PricedPlan,
    /// Probability with which it was selected; zero if it was not among the near-equal.
    pub probability: f64,
}

/// A server that was not considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Excluded {
    /// The server.
    pub server: ServerId,
    /// Why.
    pub reason: Exclusion,
}

/// Everything a decision was based on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Model of the request.
    pub model: ModelId,
    /// Version of the weights.
    pub weight_version: WeightVersion,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// What the index knew.
    pub prefix: PrefixMatch,
    /// Weights of the deployment.
    pub weights: CostWeights,
    /// The cheapest of the servers that were considered, and the selected one, by cost.
    pub candidates: Vec<Candidate>,
    /// Number of servers that were considered.
    pub considered: usize,
    /// Highest cost of a server that was considered.
    pub highest_cost: f64,
    /// Servers of the model that were not considered.
    pub excluded: Vec<Excluded>,
    /// Selected server, if any.
    pub selected: Option<ServerId>,
}

/// Priority that an engine gives to the prefill of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PrefillPriority {
    /// The default.
    Normal,
    /// The prefill is long and yields to shorter ones, which it would delay by many times their own
    /// length.
    Low,
}

/// Where and how a request is served.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The server.
    pub server: ServerId,
    /// The way.
    pub plan: ServePlan,
    /// Expected time to first token.
    pub ttft_ms: f64,
    /// Priority of the prefill.
    pub priority: PrefillPriority,
    /// Whether a permit for a cold server is needed before sending.
    pub needs_cold_permit: bool,
}

quick_error! {
    /// Why no server was selected.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum NoCandidate {
        /// No server is configured for the model.
        UnknownModel { display("no backend server is configured for the model") }
        /// All servers are excluded.
        AllExcluded(closest: Exclusion, servers: usize) {
            display("none of {} backend servers can take the request, at best {:?}", servers, closest)
        }
    }
}

impl NoCandidate {
    /// The failure that the caller is told.
    #[must_use]
    pub fn failure(&self, stage: Stage) -> Failure {
        Failure::new(ErrorKind::NoBackend, stage, self.to_string())
    }
}

/// A decision and its explanation.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The choice, or why there is none.
    pub outcome: Result<Choice, NoCandidate>,
    /// What it was based on.
    pub explanation: Explanation,
}

/// A candidate before its plan is worked out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scored {
    /// Position in the table of servers.
    pub(crate) at: usize,
    pub(crate) queue_ms: f64,
    pub(crate) cost: f64,
    pub(crate) probability: f64,
}

/// Selects among near-equal candidates in proportion to the inverse of their cost, writes the
/// probabilities into them and returns the position of the selected one.
pub(crate) fn choose(scored: &mut [Scored], rng: &mut impl Rng) -> Option<usize> {
    let cost = |scored: &Scored| {
        if scored.cost > COST_FLOOR {
            scored.cost
        } else {
            COST_FLOOR
        }
    };
    let mut lowest = cost(scored.first()?);
    for candidate in scored.iter() {
        if cost(candidate) < lowest {
            lowest = cost(candidate);
        }
    }
    let limit = lowest * (1.0 + NEAR_EQUAL_SHARE);
    let mut total = 0.0;
    for candidate in scored.iter_mut() {
        let cost = cost(candidate);
        candidate.probability = if cost <= limit { lowest / cost } else { 0.0 };
        total += candidate.probability;
    }
    let mut remaining = rng.random::<f64>() * total;
    let mut selected = None;
    for (at, candidate) in scored.iter_mut().enumerate() {
        if candidate.probability > 0.0 {
            if remaining >= 0.0 {
                // Keeps the last near-equal candidate if rounding leaves a remainder.
                selected = Some(at);
                remaining -= candidate.probability;
            }
            candidate.probability /= total;
        }
    }
    selected
}

/// Reduces candidates to those that an explanation lists: the cheapest and the selected one, in the
/// order of their cost. Returns the highest cost of all.
pub(crate) fn keep_explained(scored: &mut Vec<Scored>, selected: Option<usize>) -> f64 {
    let mut highest = 0.0;
    let mut kept: Vec<Scored> = Vec::with_capacity(EXPLAINED_MAX + 1);
    for candidate in scored.iter() {
        if candidate.cost > highest {
            highest = candidate.cost;
        }
        let full = kept.len() == EXPLAINED_MAX;
        if full && kept.last().is_some_and(|last| candidate.cost >= last.cost) {
            continue;
        }
        if full {
            kept.pop();
        }
        let position = kept.partition_point(|known| known.cost <= candidate.cost);
        kept.insert(position, *candidate);
    }
    let selected = selected.map(|at| scored[at]);
    let listed = |selected: &Scored| kept.iter().any(|known| known.at == selected.at);
    if let Some(selected) = selected.filter(|selected| !listed(selected)) {
        kept.push(selected);
    }
    *scored = kept;
    highest
}
