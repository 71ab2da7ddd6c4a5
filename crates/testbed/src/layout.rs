//! The components of a test bed and the settings of its daemons.

use anvilgw_config::{
    DaemonSettings, DomainSettings, Entitlement, Entitlements, LogSettings, ModelSettings, Output,
    Plan, Plans, Priority, ServerSettings, ServiceServer, ServiceSettings, Settings, StoreSettings,
};
use anvilgw_standin::{EngineConfig, LogConfig, ServiceConfig, StoreConfig};
use std::net::SocketAddr;

/// Name of the model that all engines serve.
pub const MODEL: &str = "lumen";
/// Name of the plain (non-model) service.
pub const SERVICE: &str = "courts";
/// Bearer key that every daemon accepts from the operator.
pub const OPERATOR_KEY: &str = "operator-key-of-the-test-bed";

const BLOCK_TOKENS: u32 = 64;
/// Bytes per token: one word of the engine stand-in's answers and the space after it.
const BYTES_PER_TOKEN: u32 = 6;
const KV_BYTES_PER_TOKEN: u64 = 1_000;
const WEIGHT_VERSION: u64 = 1;
const LINK_BYTES_PER_S: u64 = 200_000_000;

/// Configuration of a test bed: number of its components, their speeds and limits.
#[derive(Clone, Debug)]
pub struct TestbedConfig {
    /// Number of failure domains.
    pub domains: usize,
    /// Number of entry daemons, assigned to the failure domains in turn.
    pub daemons: usize,
    /// Number of model engines, assigned to the failure domains in turn.
    pub engines: usize,
    /// Number of backend servers of the plain service, assigned to the failure domains in turn.
    pub service_servers: usize,
    /// Number of stores for KV cache blocks, assigned to the failure domains in turn.
    pub stores: usize,
    /// Number of workspaces. The first one's plan has ten times the rates of the others.
    pub workspaces: usize,
    /// Configuration of each engine. The engine's index is added to the seed.
    pub engine: EngineConfig,
    /// Number of requests that an engine runs at the same time.
    pub engine_concurrency: u32,
    /// Configuration of each server of the plain service. The server's index is added to the seed.
    pub service: ServiceConfig,
    /// Configuration of each store.
    pub store: StoreConfig,
    /// Configuration of the log service.
    pub log: LogConfig,
    /// Retention of the log that the daemons assume, in seconds.
    pub retention_s: u64,
    /// Default and longest deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Time that the load balancer needs to notice that a daemon is draining, in milliseconds.
    pub balancer_lag_ms: u64,
    /// Time without progress after which a connection counts as silent, in milliseconds.
    pub silence_ms: u64,
    /// Minimum interval between two appends of a claim partition, in milliseconds.
    pub claim_interval_ms: u64,
    /// Number of claim partitions.
    pub partitions: u16,
    /// Maximum number of streams that a workspace may have open at one daemon.
    pub streams_per_workspace: u32,
    /// Requests per second in the plan of each workspace but the first, which gets ten times as
    /// many.
    pub small_requests_per_s: u32,
    /// Destination of the daemons' logs.
    pub logging: Output,
}

impl Default for TestbedConfig {
    fn default() -> Self {
        let engine = EngineConfig {
            models: vec![MODEL.to_owned()],
            weight_version: WEIGHT_VERSION,
            kv_bytes_per_token: KV_BYTES_PER_TOKEN,
            ..EngineConfig::default()
        };
        Self {
            domains: 3,
            daemons: 3,
            engines: 6,
            service_servers: 3,
            stores: 2,
            workspaces: 4,
            engine_concurrency: 32,
            engine,
            service: ServiceConfig {
                name: SERVICE.to_owned(),
                ..ServiceConfig::default()
            },
            store: StoreConfig::default(),
            log: LogConfig {
                appends_per_s: 400,
                ..LogConfig::default()
            },
            retention_s: 3_600,
            deadline_ms: 20_000,
            balancer_lag_ms: 100,
            silence_ms: 1_000,
            claim_interval_ms: 10,
            partitions: 2,
            streams_per_workspace: 500,
            small_requests_per_s: 1_000,
            logging: Output::None,
        }
    }
}

/// Addresses that the stand-ins listen on.
pub(crate) struct Addresses {
    pub(crate) log: SocketAddr,
    pub(crate) instances: SocketAddr,
    pub(crate) engines: Vec<SocketAddr>,
    pub(crate) services: Vec<SocketAddr>,
    pub(crate) stores: Vec<SocketAddr>,
}

/// Addresses that one daemon listens on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DaemonAddresses {
    pub(crate) listen: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) peer: SocketAddr,
}

/// Returns the name of the failure domain with this index.
pub(crate) fn domain_name(index: usize) -> String {
    format!("domain-{index}")
}

/// Returns the name of the engine with this index.
pub(crate) fn engine_name(index: usize) -> String {
    format!("engine-{index}")
}

/// Returns the name of the workspace with this index. Index 0 is the one with the large plan.
#[must_use]
pub fn workspace_name(index: usize) -> String {
    format!("workspace-{index}")
}

/// Returns the bearer key of the workspace with this index.
#[must_use]
pub fn workspace_key(index: usize) -> String {
    format!("workspace-key-{index}")
}

/// Builds the settings of the daemon with this index.
pub(crate) fn settings(
    config: &TestbedConfig,
    addresses: &Addresses,
    daemons: &[DaemonAddresses],
    index: usize,
) -> Settings {
    let own = daemons[index];
    let domain = |index: usize| domain_name(index % config.domains);
    let number = u32::try_from(index).unwrap_or(u32::MAX);
    let instance = format!("entry-{index}");
    let mut daemon = DaemonSettings::new(
        number,
        &instance,
        &domain(index),
        own.listen,
        own.admin,
        own.peer,
    );
    daemon.deadline_default_ms = config.deadline_ms;
    daemon.deadline_max_ms = config.deadline_ms;
    daemon.drain_ms = config.deadline_ms + 1_000;
    daemon.balancer_lag_ms = config.balancer_lag_ms;
    let mut log = LogSettings::new(vec![addresses.log]);
    log.retention_s = config.retention_s;
    let mut settings = Settings::new(daemon, log);
    settings.limits.silence_ms = config.silence_ms;
    settings.limits.streams_per_workspace = config.streams_per_workspace;
    settings.instances.addresses = vec![addresses.instances];
    settings.instances.seeds = daemons.iter().map(|daemon| daemon.peer).collect();
    settings.claims.min_interval_ms = config.claim_interval_ms;
    settings.claims.partitions = config.partitions;
    settings.logging.output = config.logging.clone();
    for index in 0..config.domains {
        settings = settings.with_domain(&domain_name(index), DomainSettings::default());
    }
    settings = with_backends(settings, config, addresses);
    for index in 0..config.workspaces {
        let hash = blake3::hash(workspace_key(index).as_bytes());
        settings = settings.with_workspace_key(&workspace_name(index), hash);
    }
    settings.with_operator_key("operator", blake3::hash(OPERATOR_KEY.as_bytes()))
}

fn with_backends(
    mut settings: Settings,
    config: &TestbedConfig,
    addresses: &Addresses,
) -> Settings {
    let domain = |index: usize| domain_name(index % config.domains);
    let model = ModelSettings {
        weight_version: WEIGHT_VERSION.to_string(),
        block_tokens: BLOCK_TOKENS,
        bytes_per_token: BYTES_PER_TOKEN,
        kv_bytes_per_token: KV_BYTES_PER_TOKEN,
        prefill_tokens_per_s: config.engine.prefill_tokens_per_s as u32,
        decode_ms_per_token: config.engine.decode_ms,
        adapters: Vec::new(),
    };
    settings = settings.with_model(MODEL, model);
    for (index, address) in addresses.engines.iter().enumerate() {
        let server = ServerSettings {
            address: *address,
            failure_domain: domain(index),
            models: vec![MODEL.to_owned()],
            capacity_concurrency: config.engine_concurrency,
            cold_concurrency: config.engine.cold_concurrency as u32,
            checks_fencing: config.engine.obeys_fencing,
            link_bytes_per_s: LINK_BYTES_PER_S,
        };
        settings = settings.with_server(&engine_name(index), server);
    }
    let servers = addresses
        .services
        .iter()
        .enumerate()
        .map(|(index, address)| ServiceServer {
            address: *address,
            failure_domain: domain(index),
        })
        .collect();
    let service = ServiceSettings {
        servers,
        capacity_concurrency: 1_000,
        cold_concurrency: 1_000,
        reports_load: true,
        idempotent: Vec::new(),
        non_idempotent: Vec::new(),
    };
    settings = settings.with_service(SERVICE, service);
    for (index, address) in addresses.stores.iter().enumerate() {
        let store = StoreSettings {
            address: *address,
            failure_domain: domain(index),
            link_bytes_per_s: LINK_BYTES_PER_S,
        };
        settings = settings.with_store(&format!("store-{index}"), store);
    }
    settings
}

/// Builds the plans: workspace 0 gets ten times the rates, concurrency and weight of the others.
pub(crate) fn plans(config: &TestbedConfig) -> Plans {
    let mut plans = Plans::default();
    for index in 0..config.workspaces {
        let scale = if index == 0 { 10 } else { 1 };
        let requests_per_s = config.small_requests_per_s * scale;
        let plan = Plan {
            requests_per_s,
            tokens_per_s: requests_per_s * 1_000,
            burst_requests: requests_per_s,
            burst_tokens: requests_per_s * 2_000,
            concurrency: 500 * scale,
            weight: 10 * scale,
            priority: Priority::Interactive,
        };
        plans.workspaces.insert(workspace_name(index), plan);
    }
    plans
}

/// Builds the entitlements: every workspace may use the model and the plain service.
pub(crate) fn entitlements(config: &TestbedConfig) -> Entitlements {
    let mut entitlements = Entitlements::default();
    for index in 0..config.workspaces {
        let entitlement = Entitlement {
            models: vec![MODEL.to_owned()],
            adapters: Vec::new(),
            services: vec![SERVICE.to_owned()],
        };
        entitlements
            .workspaces
            .insert(workspace_name(index), entitlement);
    }
    entitlements
}
