//! State of one backend server, and the summary of it that a selection reads.

use crate::breaker::Breaker;
use crate::cold::ColdSettings;
use crate::cold::Temperature;
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
    /// Model that it serves.
    pub model: ModelId,
    /// Version of the weights that it holds.
    pub weight_version: WeightVersion,
    /// Adapters that it holds.
    pub adapters: Vec<AdapterId>,
    /// Its speeds.
    pub rates: EngineRates,
    /// Sizes of the blocks of its model, the same for all its servers.
    pub sizes: BlockSizes,
    /// How it starts.
    pub cold: ColdSettings,
}

#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) spec: ServerSpec,
    pub(crate) in_service: bool,
    pub(crate) load: ServerLoad,
    pub(crate) temperature: Temperature,
    pub(crate) breaker: Breaker,
    pub(crate) cold_permits_free: u32,
}

/// What a selection reads of a server that it does not select. It fits into one or two cache lines;
/// reading the whole state of 600 servers took twice the time of everything else.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Summary {
    pub(crate) server: ServerId,
    pub(crate) domain: DomainId,
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
    pub(crate) fn new(server: &Server, speeds: u16) -> Self {
        let spec = &server.spec;
        let cold = server.temperature.cold_cause().is_some();
        Self {
            server: spec.id,
            domain: spec.domain,
            in_service: server.in_service,
            cold_limit: cold && server.cold_permits_free == 0,
            speeds,
            weight_version: spec.weight_version,
            blocked_until: server.breaker.blocked_until(),
            backlog_ms: server.load.backlog_ms(&spec.rates),
            backlog_end_ms: server.load.backlog_end_ms(&spec.rates),
            slot_ms: server.load.slot_ms(&spec.rates),
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
