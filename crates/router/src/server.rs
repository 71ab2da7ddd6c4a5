//! Configuration and state of one backend server, and the summaries that a selection reads.

use crate::breaker::{Breaker, BreakerState};
use crate::cold::{ColdSettings, WarmUpChange, WarmUpState};
use crate::kv::{AdapterId, WeightVersion};
use crate::load::ServerLoad;
use crate::price::{BlockSizes, EngineRates};
use crate::select::Exclusion;
use anvilgw_core::{DomainId, ModelId, ServerId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Configuration of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerSpec {
    /// Identifier of the server.
    pub id: ServerId,
    /// Failure domain of the server.
    pub domain: DomainId,
    /// Models that the server serves, each listed once.
    pub models: Vec<ServedModel>,
    /// Limits of the server while it is cold.
    pub cold: ColdSettings,
}

/// A model on a backend server. Load, warm-up and circuit breaker belong to the server as a whole,
/// since all its models run on the same accelerators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServedModel {
    /// Identifier of the model.
    pub model: ModelId,
    /// Version of the weights that the server holds.
    pub weight_version: WeightVersion,
    /// Adapters that the server holds.
    pub adapters: Vec<AdapterId>,
    /// Speeds of the server with this model.
    pub rates: EngineRates,
    /// Block and token sizes of the model, the same on all its servers.
    pub sizes: BlockSizes,
}

impl ServerSpec {
    /// Returns the configuration of a model on the server; `None` if the server does not serve it.
    #[must_use]
    pub fn served_model(&self, model: ModelId) -> Option<&ServedModel> {
        self.models.iter().find(|served| served.model == model)
    }

    /// Returns the speeds by which the server's queue is estimated: those of its slowest model,
    /// because a load report does not state which model its tokens belong to. `None` if it serves
    /// no model.
    #[must_use]
    pub fn queue_rates(&self) -> Option<EngineRates> {
        let rates = self.models.iter().map(|served| served.rates);
        rates.min_by(|a, b| a.prefill_tokens_per_s.total_cmp(&b.prefill_tokens_per_s))
    }

    /// Returns true if the server must load weights to take over the configuration `other`.
    pub(crate) fn needs_weight_load_for(&self, other: &Self) -> bool {
        other.models.iter().any(|wanted| {
            self.served_model(wanted.model)
                .is_none_or(|held| held.weight_version != wanted.weight_version)
        })
    }
}

/// Outcome of a request that was sent to a server, as far as it concerns the server's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendOutcome {
    /// The server answered completely.
    Completed,
    /// The server refused the request or failed in a way typical of overload.
    Overloaded,
    /// The connection failed or timed out, or the server answered with another error.
    Failed,
    /// The caller or the daemon cancelled the request. The state of the server does not change.
    Cancelled,
}

/// State changes of a server that a request outcome or a load report caused, for the journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChange {
    /// Change between cold and warm, if any.
    #[serde(rename = "temperature")]
    pub warm_up: Option<WarmUpChange>,
    /// New state of the circuit breaker, if it changed.
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
    /// Index of the summary of the server's first model. The others follow it.
    pub(crate) first_summary: usize,
    /// Speeds by which the server's queue is estimated.
    pub(crate) queue_rates: EngineRates,
}

impl Server {
    /// Records that a request failed or that the server does not answer it.
    pub(crate) fn on_failure(&mut self, now: Duration) -> ServerChange {
        let opened = self.breaker.on_failure(now);
        ServerChange {
            warm_up: self.warm_up.on_request_failed(now),
            breaker: opened.then_some(BreakerState::Open),
        }
    }
}

/// Values that a selection reads for every candidate: one model on one server. A summary fits into
/// one or two cache lines; reading the full state of 600 servers took twice the time of the rest of
/// the selection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ModelSummary {
    pub(crate) server: ServerId,
    pub(crate) domain: DomainId,
    /// Index of the server in the router's map of servers.
    pub(crate) server_index: u32,
    /// Index of the model in [`ServerSpec::models`].
    pub(crate) model_index: u16,
    in_service: bool,
    lacks_cold_permit: bool,
    /// Index of the engine's speeds in the router's list of distinct speeds.
    pub(crate) rates_index: u16,
    weight_version: WeightVersion,
    blocked_until: Duration,
    backlog_ms: f64,
    backlog_end_ms: f64,
    batch_wait_ms: f64,
}

impl ModelSummary {
    pub(crate) fn new(
        server: &Server,
        server_index: u32,
        model_index: u16,
        rates_index: u16,
    ) -> Self {
        let spec = &server.spec;
        let rates = &server.queue_rates;
        let cold = server.warm_up.cold_cause().is_some();
        Self {
            server: spec.id,
            domain: spec.domain,
            server_index,
            model_index,
            in_service: server.in_service,
            lacks_cold_permit: cold && server.cold_permits_free == 0,
            rates_index,
            weight_version: spec.models[usize::from(model_index)].weight_version,
            blocked_until: server.breaker.blocked_until(),
            backlog_ms: server.load.backlog_ms(rates),
            backlog_end_ms: server.load.backlog_end_ms(rates),
            batch_wait_ms: server.load.batch_wait_ms(rates),
        }
    }

    /// Returns the expected time until a new request starts its prefill.
    #[inline]
    pub(crate) fn queue_ms(&self, now_ms: f64) -> f64 {
        let left_ms = self.backlog_end_ms - now_ms;
        left_ms.min(self.backlog_ms).max(0.0) + self.batch_wait_ms
    }

    /// Returns the reason why the server cannot take a request, if any. The adapter and the earlier
    /// attempts of the request are checked elsewhere.
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
        } else if self.lacks_cold_permit {
            Some(Exclusion::ColdLimit)
        } else {
            None
        }
    }
}
