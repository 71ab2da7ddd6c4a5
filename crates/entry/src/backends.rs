//! Clients and names of the backend servers and stores, built from the settings.

use anvilgw_config::{BackendServer, CostWeightSettings, ModelSettings, Settings};
use anvilgw_core::{DomainId, ModelId, ServerId, StoreId};
use anvilgw_platform::{ConnectionSettings, EngineClient, EngineControl, ServiceClient};
use anvilgw_router::{
    AdapterId, BlockSizes, ColdSettings, CostWeights, EngineRates, Holder, LinkRates, Router,
    RouterSettings, ServedModel, ServerSpec, WeightVersion,
};
use std::net::SocketAddr;

/// Generated tokens of a request, assumed for the estimate of queues until requests say otherwise.
const MEAN_DECODE_TOKENS: f64 = 128.0;
/// Completions per unit of capacity that a cold server gains.
const COMPLETIONS_PER_STEP: f64 = 2.0;
/// Prompt tokens per second of a plain service: its calls have no prompt, so the figure only keeps
/// the estimate finite.
const SERVICE_TOKENS_PER_S: f64 = 1e9;
/// Disk rate behind a store's link, relative to the link.
const DISK_PER_LINK: f64 = 0.5;
/// Time until the first byte of a transfer within a region.
const LINK_LATENCY_MS: f64 = 2.0;
/// Time limit of reading a load report or cache events.
const CONTROL_SILENCE_MS: u64 = 1_000;

/// How a backend server is reached.
pub(crate) enum BackendKind {
    /// A model engine.
    Engine {
        /// Client for completions.
        client: EngineClient,
        /// Client for load reports and cache events.
        control: EngineControl,
    },
    /// One server of a plain service.
    Service {
        /// Client for calls.
        client: ServiceClient,
        /// Whether the server reports its load.
        reports_load: bool,
    },
}

/// One backend server.
pub(crate) struct Backend {
    /// Number.
    pub(crate) id: ServerId,
    /// Name under which its instance is taken out of service.
    pub(crate) name: String,
    /// Name of its failure domain.
    pub(crate) domain: String,
    /// Address.
    pub(crate) address: SocketAddr,
    /// Clients.
    pub(crate) kind: BackendKind,
}

/// All backend servers, indexed by [`ServerId`].
pub(crate) struct Backends {
    servers: Vec<Backend>,
}

impl Backends {
    /// Builds the clients.
    pub(crate) fn new(settings: &Settings) -> Self {
        let connection = ConnectionSettings {
            silence_ms: settings.limits.silence_ms,
            ..ConnectionSettings::default()
        };
        let control = ConnectionSettings {
            silence_ms: CONTROL_SILENCE_MS,
            max_idle: 2,
            ..connection
        };
        let servers = settings
            .backend_servers()
            .map(|(id, server)| backend(id, &server, connection, control))
            .collect();
        Self { servers }
    }

    /// A backend server.
    pub(crate) fn get(&self, id: ServerId) -> Option<&Backend> {
        self.servers.get(id.0 as usize)
    }

    /// All backend servers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.servers.iter()
    }
}

fn backend(
    id: ServerId,
    server: &BackendServer<'_>,
    connection: ConnectionSettings,
    control: ConnectionSettings,
) -> Backend {
    let address = server.address();
    let kind = match server {
        BackendServer::Model { .. } => BackendKind::Engine {
            client: EngineClient::new(address, connection),
            control: EngineControl::new(address, control),
        },
        BackendServer::Service { settings, .. } => BackendKind::Service {
            client: ServiceClient::new(address, connection),
            reports_load: settings.reports_load,
        },
    };
    Backend {
        id,
        name: server.instance_name(),
        domain: server.failure_domain().to_owned(),
        address,
        kind,
    }
}

/// Number of the pseudo-model under which the router knows a plain service.
pub(crate) fn service_model(settings: &Settings, service_index: usize) -> ModelId {
    ModelId(u16::try_from(settings.models.len() + service_index).unwrap_or(u16::MAX))
}

/// The number that engines know a weight version by. Names that are no numbers are hashed.
pub(crate) fn weight_version(model: &ModelSettings) -> WeightVersion {
    let name = &model.weight_version;
    WeightVersion(name.parse().unwrap_or_else(|_| {
        let hash = blake3::hash(name.as_bytes());
        let mut half = [0; 8];
        half.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(half)
    }))
}

/// What the router knows about each backend server.
pub(crate) fn server_specs(settings: &Settings) -> Vec<ServerSpec> {
    settings
        .backend_servers()
        .filter_map(|(id, server)| spec(settings, id, &server))
        .collect()
}

fn spec(settings: &Settings, id: ServerId, server: &BackendServer<'_>) -> Option<ServerSpec> {
    let domain = settings.domain_id(server.failure_domain())?;
    let cold = ColdSettings {
        cold_concurrency: server.cold_concurrency(),
        full_concurrency: server.capacity_concurrency(),
        completions_per_step: COMPLETIONS_PER_STEP,
    };
    let models = match server {
        BackendServer::Model { settings: own, .. } => own
            .models
            .iter()
            .filter_map(|name| served(settings, name, own.capacity_concurrency))
            .collect(),
        BackendServer::Service { service, .. } => {
            let index = settings.services.get_index_of(*service)?;
            vec![service_calls(
                service_model(settings, index),
                server.capacity_concurrency(),
            )]
        }
    };
    Some(ServerSpec {
        id,
        domain,
        models,
        cold,
    })
}

/// A model on a server with the given concurrency.
fn served(settings: &Settings, name: &str, max_concurrency: u32) -> Option<ServedModel> {
    let model = settings.models.get(name)?;
    Some(ServedModel {
        model: settings.model_id(name)?,
        weight_version: weight_version(model),
        adapters: adapters(model),
        rates: EngineRates {
            prefill_tokens_per_s: model.prefill_tokens_per_s.into(),
            decode_ms_per_token: model.decode_ms_per_token,
            mean_decode_tokens: MEAN_DECODE_TOKENS,
            max_concurrency,
        },
        sizes: BlockSizes {
            block_tokens: model.block_tokens,
            kv_bytes_per_token: model.kv_bytes_per_token,
        },
    })
}

/// The pseudo-model of a plain service.
fn service_calls(model: ModelId, max_concurrency: u32) -> ServedModel {
    ServedModel {
        model,
        weight_version: WeightVersion(0),
        adapters: Vec::new(),
        rates: EngineRates {
            prefill_tokens_per_s: SERVICE_TOKENS_PER_S,
            decode_ms_per_token: 1.0,
            mean_decode_tokens: 1.0,
            max_concurrency,
        },
        sizes: BlockSizes {
            block_tokens: 1,
            kv_bytes_per_token: 0,
        },
    }
}

fn adapters(model: &ModelSettings) -> Vec<AdapterId> {
    (0..model.adapters.len())
        .filter_map(|index| u16::try_from(index).ok())
        .map(AdapterId)
        .collect()
}

/// The router without servers and links.
pub(crate) fn router(settings: &Settings) -> Router {
    Router::new(RouterSettings {
        weights: weights(settings.weights),
        ..RouterSettings::default()
    })
}

/// The links of model servers and stores with their whole rates.
pub(crate) fn links(settings: &Settings) -> Vec<(Holder, LinkRates)> {
    let servers = settings
        .backend_servers()
        .filter_map(|(id, server)| match server {
            BackendServer::Model { settings: own, .. } => {
                Some((Holder::Server(id), link(own.link_bytes_per_s)))
            }
            BackendServer::Service { .. } => None,
        });
    let stores = settings.stores.values().enumerate().map(|(index, store)| {
        let id = StoreId(u16::try_from(index).unwrap_or(u16::MAX));
        (Holder::Store(id), link(store.link_bytes_per_s))
    });
    servers.chain(stores).collect()
}

fn weights(settings: CostWeightSettings) -> CostWeights {
    CostWeights {
        per_ttft_s: settings.ttft,
        per_1k_recomputed_tokens: settings.recompute,
        per_link_gb: settings.link,
    }
}

fn link(bytes_per_s: u64) -> LinkRates {
    let bytes_per_s = bytes_per_s as f64;
    LinkRates {
        bytes_per_s,
        transfer_bytes_per_s: bytes_per_s,
        latency_ms: LINK_LATENCY_MS,
        disk_bytes_per_s: bytes_per_s * DISK_PER_LINK,
        usable: bytes_per_s > 0.0,
    }
}

/// Numbers of all failure domains.
pub(crate) fn domains(settings: &Settings) -> Vec<DomainId> {
    settings
        .domains
        .keys()
        .filter_map(|name| settings.domain_id(name))
        .collect()
}
