//! Selection of a backend server for a request, with an explanation.

use crate::cold::ColdCause;
use crate::kv::{AdapterId, WeightVersion};
use crate::prefix_match::PrefixMatch;
use crate::price::{CostWeights, PricedPlan, ServePlan};
use anvilgw_core::{DomainId, ErrorKind, Failure, ModelId, ServerId, Stage};
use quick_error::quick_error;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Candidates whose cost exceeds the lowest cost by at most this share are near-equal. The share
/// covers the error of lagging load reports, so that daemons do not all select the same server.
pub const NEAR_EQUAL_SHARE: f64 = 0.10;
/// Lower bound of the cost in the random choice, which keeps the inverse of a cost finite.
const COST_MIN: f64 = 1e-6;
/// Cheapest candidates listed in an explanation. All of 600 would take 100 KB per request.
const EXPLAINED_CANDIDATES_MAX: usize = 16;

/// Properties of a request that a selection depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRequest {
    /// Model that the request asks for.
    pub model: ModelId,
    /// Adapter that the request asks for, if any.
    pub adapter: Option<AdapterId>,
    /// Version of the weights that the block keys of the prompt were computed with.
    pub weight_version: WeightVersion,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Servers on which an earlier attempt failed.
    pub tried: Vec<ServerId>,
}

/// Reason why a server was not considered. The variants stand in the order of the checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// The server holds another version of the weights.
    WeightVersion,
    /// The server does not hold the adapter.
    Adapter,
    /// An operator took the server out of service, or its instance is leaving.
    OutOfService,
    /// An operator took the failure domain of the server out of service.
    DomainOut,
    /// An earlier attempt of the request failed on the server.
    Tried,
    /// The circuit breaker of the server is open, or half-open with a probe in progress.
    BreakerOpen,
    /// The server is cold and this daemon holds no free permit for it.
    ColdLimit,
}

/// A server that was considered for a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Identifier of the server.
    pub server: ServerId,
    /// Failure domain of the server.
    pub domain: DomainId,
    /// Reason why the server is cold; `None` if it is warm.
    pub cold: Option<ColdCause>,
    /// Cheapest plan to serve the prompt on the server, with its price.
    pub priced: PricedPlan,
    /// Probability with which the random choice selects the server; zero if its cost is not
    /// near-equal to the lowest.
    pub probability: f64,
}

/// A server that was not considered for a request, with the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Excluded {
    /// Identifier of the server.
    pub server: ServerId,
    /// First check that the server failed.
    pub reason: Exclusion,
}

/// Inputs and intermediate results of a routing decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Model of the request.
    pub model: ModelId,
    /// Version of the weights that the request needs.
    pub weight_version: WeightVersion,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Holders of the prompt's prefix, as the index knew them.
    pub prefix: PrefixMatch,
    /// Weights by which the costs were computed.
    pub weights: CostWeights,
    /// The cheapest of the considered servers and the selected one, in the order of their cost.
    pub candidates: Vec<Candidate>,
    /// Number of considered servers, including those not listed in `candidates`.
    pub considered: usize,
    /// Highest cost of a considered server.
    pub highest_cost: f64,
    /// Servers configured for the model that were not considered.
    pub excluded: Vec<Excluded>,
    /// Selected server; `None` if all are excluded.
    pub selected: Option<ServerId>,
}

/// Priority that an engine gives to the prefill of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PrefillPriority {
    /// Default priority, for short prefills.
    Normal,
    /// The prefill is long and yields to shorter ones, which it would otherwise delay by many times
    /// their own duration.
    Low,
}

/// Selected server and the plan by which it serves the request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Identifier of the server.
    pub server: ServerId,
    /// Blocks to reuse, import and compute.
    pub plan: ServePlan,
    /// Expected time to first token, in milliseconds.
    pub ttft_ms: f64,
    /// Priority of the prefill on the engine.
    pub priority: PrefillPriority,
    /// Whether the daemon must take a permit for a cold server before it sends the request.
    pub needs_cold_permit: bool,
}

quick_error! {
    /// Reason why no server was selected.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum NoCandidate {
        /// No server is configured for the model.
        UnknownModel { display("no backend server is configured for the model") }
        /// All servers of the model are excluded. `closest` is the exclusion latest in the order of
        /// the checks.
        AllExcluded(closest: Exclusion, servers: usize) {
            display("none of {} backend servers can take the request; the closest is excluded by {:?}", servers, closest)
        }
    }
}

impl NoCandidate {
    /// Returns the failure to report to the caller, for a request that failed in `stage`.
    #[must_use]
    pub fn failure(&self, stage: Stage) -> Failure {
        Failure::new(ErrorKind::NoBackend, stage, self.to_string())
    }
}

/// Result of a selection and its explanation.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Selected server and plan, or the reason why there is none.
    pub outcome: Result<Choice, NoCandidate>,
    /// Inputs and intermediate results that led to the outcome.
    pub explanation: Explanation,
}

/// A considered server with its cost, before its full plan is computed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScoredCandidate {
    /// Index of the summary in the router.
    pub(crate) summary_index: usize,
    pub(crate) queue_ms: f64,
    pub(crate) cost: f64,
    pub(crate) probability: f64,
}

/// Selects a near-equal candidate at random, in proportion to the inverse of its cost. Writes the
/// probabilities into the candidates and returns the position of the selected one.
pub(crate) fn choose_near_equal(
    candidates: &mut [ScoredCandidate],
    rng: &mut impl Rng,
) -> Option<usize> {
    let cost = |candidate: &ScoredCandidate| {
        if candidate.cost > COST_MIN {
            candidate.cost
        } else {
            COST_MIN
        }
    };
    let mut lowest = cost(candidates.first()?);
    for candidate in candidates.iter() {
        if cost(candidate) < lowest {
            lowest = cost(candidate);
        }
    }
    let limit = lowest * (1.0 + NEAR_EQUAL_SHARE);
    let mut total = 0.0;
    for candidate in candidates.iter_mut() {
        let cost = cost(candidate);
        candidate.probability = if cost <= limit { lowest / cost } else { 0.0 };
        total += candidate.probability;
    }
    let mut remaining = rng.random::<f64>() * total;
    let mut selected = None;
    for (position, candidate) in candidates.iter_mut().enumerate() {
        if candidate.probability > 0.0 {
            if remaining >= 0.0 {
                // The last near-equal candidate stays selected if rounding leaves a remainder.
                selected = Some(position);
                remaining -= candidate.probability;
            }
            candidate.probability /= total;
        }
    }
    selected
}

/// Reduces the candidates to those that an explanation lists: the cheapest ones and the selected
/// one, in the order of their cost. Returns the highest cost of all candidates.
pub(crate) fn retain_explained(
    candidates: &mut Vec<ScoredCandidate>,
    selected: Option<usize>,
) -> f64 {
    let mut highest = 0.0;
    let mut kept: Vec<ScoredCandidate> = Vec::with_capacity(EXPLAINED_CANDIDATES_MAX + 1);
    for candidate in candidates.iter() {
        if candidate.cost > highest {
            highest = candidate.cost;
        }
        let full = kept.len() == EXPLAINED_CANDIDATES_MAX;
        if full && kept.last().is_some_and(|last| candidate.cost >= last.cost) {
            continue;
        }
        if full {
            kept.pop();
        }
        let position = kept.partition_point(|other| other.cost <= candidate.cost);
        kept.insert(position, *candidate);
    }
    let selected = selected.map(|position| candidates[position]);
    let listed = |selected: &ScoredCandidate| {
        kept.iter()
            .any(|other| other.summary_index == selected.summary_index)
    };
    if let Some(selected) = selected.filter(|selected| !listed(selected)) {
        kept.push(selected);
    }
    *candidates = kept;
    highest
}
