//! Clients of the backend servers, and the router's description of servers and links, both built
//! from the settings.

use anvilgw_config::{BackendServer, CostWeightSettings, ModelSettings, Settings};
use anvilgw_core::{DomainId, ModelId, ServerId, StoreId};
use anvilgw_platform::{ConnectionSettings, EngineClient, EngineControl, ServiceClient};
use anvilgw_router::{
    AdapterId, BlockSizes, ColdSettings, CostWeights, EngineRates, Holder, LinkRates, Router,
    RouterSettings, ServedModel, ServerSpec, WeightVersion,
};
use std::net::SocketAddr;

/// Mean number of generated tokens per request that the router's queue estimate starts with.
const MEAN_DECODE_TOKENS: f64 = 128.0;
/// Completions after which the concurrency limit of a cold server rises by one step.
const COMPLETIONS_PER_CAPACITY_STEP: f64 = 2.0;
/// Prefill rate of a plain service in tokens per second. Calls of plain services have no prompt, so
/// the value only keeps the cost estimate finite.
const SERVICE_TOKENS_PER_S: f64 = 1e9;
/// Disk rate of a store as a fraction of the rate of its link.
const DISK_TO_LINK_RATIO: f64 = 0.5;
/// Time until the first byte of a transfer between machines of one region.
const LINK_LATENCY_MS: f64 = 2.0;
/// Time without received data after which reading a load report or cache events fails.
const CONTROL_SILENCE_MS: u64 = 1_000;

/// Type of a backend server, with the clients that reach it.
pub(crate) enum BackendKind {
    /// A model engine.
    Engine {
        /// Client for completions.
        client: EngineClient,
        /// Client for load reports and cache events.
        control: EngineControl,
    },
    /// A server of a plain service.
    Service {
        /// Client for calls of the service.
        client: ServiceClient,
        /// Whether the server offers load reports, by the settings of the service.
        reports_load: bool,
    },
}

/// One backend server.
pub(crate) struct Backend {
    /// Number of the server, its index in [`Backends`].
    pub(crate) id: ServerId,
    /// Name of its instance, under which operators take the server out of service.
    pub(crate) name: String,
    /// Name of its failure domain.
    pub(crate) domain: String,
    /// Address that requests and control calls are sent to.
    pub(crate) address: SocketAddr,
    /// Type of the server and its clients.
    pub(crate) kind: BackendKind,
}

/// All backend servers, indexed by [`ServerId`].
pub(crate) struct Backends {
    servers: Vec<Backend>,
}

impl Backends {
    /// Builds the clients of all servers in the settings. Connections are opened on first use.
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
            .map(|(id, server)| build_backend(id, &server, connection, control))
            .collect();
        Self { servers }
    }

    /// Returns the server with the given number, or `None` if there is none.
    pub(crate) fn get(&self, id: ServerId) -> Option<&Backend> {
        self.servers.get(id.0 as usize)
    }

    /// Returns all servers in the order of their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.servers.iter()
    }
}

fn build_backend(
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

/// Returns the model number that represents a plain service in the router. These numbers follow
/// those of the models.
pub(crate) fn service_model(settings: &Settings, service_index: usize) -> ModelId {
    ModelId(u16::try_from(settings.models.len() + service_index).unwrap_or(u16::MAX))
}

/// Returns the number that engines use for the weight version of a model: the configured version if
/// it is a number, otherwise a hash of it.
pub(crate) fn weight_version(model: &ModelSettings) -> WeightVersion {
    let name = &model.weight_version;
    WeightVersion(name.parse().unwrap_or_else(|_| {
        let hash = blake3::hash(name.as_bytes());
        let mut half = [0; 8];
        half.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(half)
    }))
}

/// Returns the router's description of each backend server. Servers in an unknown failure domain
/// are left out.
pub(crate) fn server_specs(settings: &Settings) -> Vec<ServerSpec> {
    settings
        .backend_servers()
        .filter_map(|(id, server)| server_spec(settings, id, &server))
        .collect()
}

fn server_spec(
    settings: &Settings,
    id: ServerId,
    server: &BackendServer<'_>,
) -> Option<ServerSpec> {
    let domain = settings.domain_id(server.failure_domain())?;
    let cold = ColdSettings {
        cold_concurrency: server.cold_concurrency(),
        full_concurrency: server.capacity_concurrency(),
        completions_per_step: COMPLETIONS_PER_CAPACITY_STEP,
    };
    let models = match server {
        BackendServer::Model {
            settings: server_settings,
            ..
        } => server_settings
            .models
            .iter()
            .filter_map(|name| served_model(settings, name, server_settings.capacity_concurrency))
            .collect(),
        BackendServer::Service { service, .. } => {
            let index = settings.services.get_index_of(*service)?;
            vec![service_as_model(
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

/// Describes a model on a server that runs at most `max_concurrency` requests.
fn served_model(settings: &Settings, name: &str, max_concurrency: u32) -> Option<ServedModel> {
    let model = settings.models.get(name)?;
    Some(ServedModel {
        model: settings.model_id(name)?,
        weight_version: weight_version(model),
        adapters: adapter_ids(model),
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

/// Describes a plain service as a model without KV cache.
fn service_as_model(model: ModelId, max_concurrency: u32) -> ServedModel {
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

fn adapter_ids(model: &ModelSettings) -> Vec<AdapterId> {
    (0..model.adapters.len())
        .filter_map(|index| u16::try_from(index).ok())
        .map(AdapterId)
        .collect()
}

/// Creates a router that has no servers and links yet.
pub(crate) fn router(settings: &Settings) -> Router {
    Router::new(RouterSettings {
        weights: cost_weights(settings.weights),
        ..RouterSettings::default()
    })
}

/// Returns the links of model servers and stores with their full rates, which all daemons share.
pub(crate) fn links(settings: &Settings) -> Vec<(Holder, LinkRates)> {
    let servers = settings
        .backend_servers()
        .filter_map(|(id, server)| match server {
            BackendServer::Model {
                settings: server_settings,
                ..
            } => Some((
                Holder::Server(id),
                link_rates(server_settings.link_bytes_per_s),
            )),
            BackendServer::Service { .. } => None,
        });
    let stores = settings.stores.values().enumerate().map(|(index, store)| {
        let id = StoreId(u16::try_from(index).unwrap_or(u16::MAX));
        (Holder::Store(id), link_rates(store.link_bytes_per_s))
    });
    servers.chain(stores).collect()
}

fn cost_weights(settings: CostWeightSettings) -> CostWeights {
    CostWeights {
        per_ttft_s: settings.ttft,
        per_1k_recomputed_tokens: settings.recompute,
        per_link_gb: settings.link,
    }
}

fn link_rates(bytes_per_s: u64) -> LinkRates {
    let bytes_per_s = bytes_per_s as f64;
    LinkRates {
        bytes_per_s,
        transfer_bytes_per_s: bytes_per_s,
        latency_ms: LINK_LATENCY_MS,
        disk_bytes_per_s: bytes_per_s * DISK_TO_LINK_RATIO,
        usable: bytes_per_s > 0.0,
    }
}

/// Returns the numbers of all failure domains.
pub(crate) fn domains(settings: &Settings) -> Vec<DomainId> {
    settings
        .domains
        .keys()
        .filter_map(|name| settings.domain_id(name))
        .collect()
}
