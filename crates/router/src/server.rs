//! State of one backend server, and the summary of it that a selection reads.

use crate::breaker::{Breaker, BreakerState};
use crate::cold::{ColdSettings, WarmUpChange, WarmUpState};
use crate::kv::{AdapterId, WeightVersion};
use crate::load::ServerLoad;
use crate::price::{BlockSizes, EngineRates};
use crate::select::Exclusion;
use anvilgw_core::{DomainId, ModelId, ServerId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A backend server as configured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerSpec {
    /// The server.
    pub id: ServerId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Models that it serves, each once.
    pub models: Vec<ServedModel>,
    /// How it starts.
    pub cold: ColdSettings,
}

/// A model on a backend server. Load, temperature and circuit breaker belong to the server, since all
/// its models run on the same accelerators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServedModel {
    /// The model.
    pub model: ModelId,
    /// Version of the weights that the server holds.
    pub weight_version: WeightVersion,
    /// Adapters that the server holds.
    pub adapters: Vec<AdapterId>,
    /// Speeds of the server with this model.
    pub rates: EngineRates,
    /// Sizes of the blocks of the model, the same for all its servers.
    pub sizes: BlockSizes,
}

impl ServerSpec {
    /// What the server serves of a model.
    #[must_use]
    pub fn served(&self, model: ModelId) -> Option<&ServedModel> {
        self.models.iter().find(|served| served.model == model)
    }

    /// Speeds at which the queue of the server is estimated: those of its slowest model, because a
    /// load report does not say which model its tokens belong to. `None` without a model.
    #[must_use]
    pub fn queue_rates(&self) -> Option<EngineRates> {
        let rates = self.models.iter().map(|served| served.rates);
        rates.min_by(|a, b| a.prefill_tokens_per_s.total_cmp(&b.prefill_tokens_per_s))
    }

    /// Whether the server has to load weights to become `other`.
    pub(crate) fn needs_load_for(&self, other: &Self) -> bool {
        other.models.iter().any(|wanted| {
            self.served(wanted.model)
                .is_none_or(|held| held.weight_version != wanted.weight_version)
        })
    }
}

/// Outcome of a request for the state of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendOutcome {
    /// The answer was complete.
    Completed,
    /// The server refused the request or failed in a way typical of overload.
    Overloaded,
    /// The connection failed or went silent, or the server answered with another error.
    Failed,
    /// The caller or the daemon cancelled it; says nothing about the server.
    Cancelled,
}

/// Changes of state that an outcome or a report caused, for the journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChange {
    /// Change of temperature.
    #[serde(rename = "temperature")]
    pub warm_up: Option<WarmUpChange>,
    /// New state of the circuit breaker.
    pub breaker: Option<BreakerState>,
}

#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) spec: ServerSpec,
    pub(crate) in_service: bool,
    pub(crate) load: ServerLoad,
    pub(crate) warm_up: WarmUpState,
    pub(crate) breaker: Breaker,
    pub(crate) cold_permits_free: u32,
    /// Position of the summary of its first model.
    pub(crate) first_summary: usize,
    /// Speeds at which its queue is estimated.
    pub(crate) queue_rates: EngineRates,
}

/// What a selection reads of a model on a server that it does not select. It fits into one or two cache lines;
/// reading the whole state of 600 servers took twice the time of everything else.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Summary {
    pub(crate) server: ServerId,
    pub(crate) domain: DomainId,
    /// Position of the server in the table of the router.
    pub(crate) at: u32,
    /// Position of the model in the list of the server.
    pub(crate) served: u16,
    in_service: bool,
    cold_limit: bool,
    /// Number of the engine's speeds in the table of the router.
    pub(crate) speeds: u16,
    weight_version: WeightVersion,
    blocked_until: Duration,
    backlog_ms: f64,
    backlog_end_ms: f64,
    slot_ms: f64,
}

impl Summary {
    pub(crate) fn new(server: &Server, at: u32, served: u16, speeds: u16) -> Self {
        let spec = &server.spec;
        let rates = &server.queue_rates;
        let cold = server.warm_up.cold_cause().is_some();
        Self {
            server: spec.id,
            domain: spec.domain,
            at,
            served,
            in_service: server.in_service,
            cold_limit: cold && server.cold_permits_free == 0,
            speeds,
            weight_version: spec.models[usize::from(served)].weight_version,
            blocked_until: server.breaker.blocked_until(),
            backlog_ms: server.load.backlog_ms(rates),
            backlog_end_ms: server.load.backlog_end_ms(rates),
            slot_ms: server.load.slot_ms(rates),
        }
    }

    /// Expected time until a new request starts its prefill.
    #[inline]
    pub(crate) fn queue_ms(&self, now_ms: f64) -> f64 {
        let left_ms = self.backlog_end_ms - now_ms;
        left_ms.min(self.backlog_ms).max(0.0) + self.slot_ms
    }

    /// Why the server cannot take a request, apart from adapters and the request's own history.
    #[inline]
    pub(crate) fn exclusion(
        &self,
        weight_version: WeightVersion,
        domains_out: &[DomainId],
        now: Duration,
    ) -> Option<Exclusion> {
        if self.weight_version != weight_version {
            Some(Exclusion::WeightVersion)
        } else if !self.in_service {
            Some(Exclusion::OutOfService)
        } else if domains_out.contains(&self.domain) {
            Some(Exclusion::DomainOut)
        } else if now < self.blocked_until {
            Some(Exclusion::BreakerOpen)
        } else if self.cold_limit {
            Some(Exclusion::ColdLimit)
        } else {
            None
        }
    }
}
