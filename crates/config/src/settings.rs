//! The settings of one daemon.
//!
//! [`Settings::parse`] reads them from an INI text. Tests and tools can also build them with
//! [`Settings::new`] and the `with_` methods; [`Settings::check`] then finds contradictions. Maps keep
//! the order of the file, which numbers models, stores, failure domains and backend servers.

mod contradictions;
mod model;
mod parse;
mod paths;

pub use model::{
    BudgetSettings, ClaimSettings, CostWeightSettings, DaemonSettings, DomainSettings,
    InstanceListSettings, KeyHash, LimitSettings, LogSettings, LoggingSettings, MetricsSettings,
    ModelSettings, Output, ServerSettings, ServiceServer, ServiceSettings, StoreSettings,
    TraceSettings, UndatedKeys,
};
pub use paths::PathRule;

use crate::fault::Faults;
use anvilgw_core::{DomainId, ModelId, ServerId, StoreId};
use indexmap::IndexMap;
use std::net::SocketAddr;

/// Everything that a daemon learns from its settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `[daemon]`
    pub daemon: DaemonSettings,
    /// `[limits]`
    pub limits: LimitSettings,
    /// `[log]`
    pub log: LogSettings,
    /// `[instances]`
    pub instances: InstanceListSettings,
    /// `[domain NAME]`, numbered by [`DomainId`].
    pub domains: IndexMap<String, DomainSettings>,
    /// `[model NAME]`, numbered by [`ModelId`].
    pub models: IndexMap<String, ModelSettings>,
    /// `[server NAME]`, the first backend servers.
    pub servers: IndexMap<String, ServerSettings>,
    /// `[service NAME]`, whose servers follow the model servers as backend servers.
    pub services: IndexMap<String, ServiceSettings>,
    /// `[store NAME]`, numbered by [`StoreId`].
    pub stores: IndexMap<String, StoreSettings>,
    /// `[weights]`
    pub weights: CostWeightSettings,
    /// `[budgets]`
    pub budgets: BudgetSettings,
    /// `[claims]`
    pub claims: ClaimSettings,
    /// `[keys]`: hashes of the bearer keys of each workspace.
    pub keys: IndexMap<String, Vec<KeyHash>>,
    /// `[operators]`: hashes of the bearer keys of each operator.
    pub operators: IndexMap<String, Vec<KeyHash>>,
    /// `[logging]`
    pub logging: LoggingSettings,
    /// `[trace]`
    pub trace: TraceSettings,
    /// `[metrics]`
    pub metrics: MetricsSettings,
}

/// A backend server: a model server or one server of a plain service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendServer<'a> {
    /// A model server.
    Model {
        /// Name of the server.
        name: &'a str,
        /// Its settings.
        settings: &'a ServerSettings,
    },
    /// One server of a plain service.
    Service {
        /// Name of the service.
        service: &'a str,
        /// Address and failure domain.
        server: &'a ServiceServer,
        /// Settings of the service.
        settings: &'a ServiceSettings,
    },
}

impl BackendServer<'_> {
    /// Address of the server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Model { settings, .. } => settings.address,
            Self::Service { server, .. } => server.address,
        }
    }

    /// Name of its failure domain.
    #[must_use]
    pub fn failure_domain(&self) -> &str {
        match self {
            Self::Model { settings, .. } => &settings.failure_domain,
            Self::Service { server, .. } => &server.failure_domain,
        }
    }

    /// Name by which the instance of the server is taken out of service: the name of a model server,
    /// the address of a server of a service.
    #[must_use]
    pub fn instance_name(&self) -> String {
        match self {
            Self::Model { name, .. } => (*name).to_owned(),
            Self::Service { server, .. } => server.address.to_string(),
        }
    }

    /// Requests that it runs at once when warm.
    #[must_use]
    pub fn capacity_concurrency(&self) -> u32 {
        match self {
            Self::Model { settings, .. } => settings.capacity_concurrency,
            Self::Service { settings, .. } => settings.capacity_concurrency,
        }
    }

    /// Requests that it runs at once when cold, over all daemons.
    #[must_use]
    pub fn cold_concurrency(&self) -> u32 {
        match self {
            Self::Model { settings, .. } => settings.cold_concurrency,
            Self::Service { settings, .. } => settings.cold_concurrency,
        }
    }
}

impl Settings {
    /// Creates settings with the required sections and the defaults of all others.
    #[must_use]
    pub fn new(daemon: DaemonSettings, log: LogSettings) -> Self {
        Self {
            daemon,
            limits: LimitSettings::default(),
            log,
            instances: InstanceListSettings::default(),
            domains: IndexMap::new(),
            models: IndexMap::new(),
            servers: IndexMap::new(),
            services: IndexMap::new(),
            stores: IndexMap::new(),
            weights: CostWeightSettings::default(),
            budgets: BudgetSettings::default(),
            claims: ClaimSettings::default(),
            keys: IndexMap::new(),
            operators: IndexMap::new(),
            logging: LoggingSettings::default(),
            trace: TraceSettings::default(),
            metrics: MetricsSettings::default(),
        }
    }

    /// Reads settings from an INI text.
    ///
    /// # Errors
    ///
    /// All faults of the text. Settings with any fault are not returned.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        parse::parse(text)
    }

    /// Finds contradictions between the values, for settings that were built by a program.
    ///
    /// # Errors
    ///
    /// All contradictions.
    pub fn check(&self) -> Result<(), Faults> {
        let found = contradictions::find(self);
        Faults::into_result(
            found
                .into_iter()
                .map(|contradiction| contradiction.fault)
                .collect(),
        )
    }

    /// Adds a failure domain.
    #[must_use]
    pub fn with_domain(mut self, name: &str, settings: DomainSettings) -> Self {
        self.domains.insert(name.to_owned(), settings);
        self
    }

    /// Adds a model.
    #[must_use]
    pub fn with_model(mut self, name: &str, settings: ModelSettings) -> Self {
        self.models.insert(name.to_owned(), settings);
        self
    }

    /// Adds a model server.
    #[must_use]
    pub fn with_server(mut self, name: &str, settings: ServerSettings) -> Self {
        self.servers.insert(name.to_owned(), settings);
        self
    }

    /// Adds a plain service.
    #[must_use]
    pub fn with_service(mut self, name: &str, settings: ServiceSettings) -> Self {
        self.services.insert(name.to_owned(), settings);
        self
    }

    /// Adds a store.
    #[must_use]
    pub fn with_store(mut self, name: &str, settings: StoreSettings) -> Self {
        self.stores.insert(name.to_owned(), settings);
        self
    }

    /// Adds the hash of a bearer key of a workspace.
    #[must_use]
    pub fn with_workspace_key(mut self, workspace: &str, hash: KeyHash) -> Self {
        self.keys
            .entry(workspace.to_owned())
            .or_default()
            .push(hash);
        self
    }

    /// Adds the hash of a bearer key of an operator.
    #[must_use]
    pub fn with_operator_key(mut self, name: &str, hash: KeyHash) -> Self {
        self.operators
            .entry(name.to_owned())
            .or_default()
            .push(hash);
        self
    }

    /// Number of a failure domain.
    #[must_use]
    pub fn domain_id(&self, name: &str) -> Option<DomainId> {
        let index = self.domains.get_index_of(name)?;
        u16::try_from(index).ok().map(DomainId)
    }

    /// Number of a model.
    #[must_use]
    pub fn model_id(&self, name: &str) -> Option<ModelId> {
        let index = self.models.get_index_of(name)?;
        u16::try_from(index).ok().map(ModelId)
    }

    /// Number of a store.
    #[must_use]
    pub fn store_id(&self, name: &str) -> Option<StoreId> {
        let index = self.stores.get_index_of(name)?;
        u16::try_from(index).ok().map(StoreId)
    }

    /// All backend servers with their numbers: the model servers, then the servers of each service.
    pub fn backend_servers(&self) -> impl Iterator<Item = (ServerId, BackendServer<'_>)> {
        let models = self
            .servers
            .iter()
            .map(|(name, settings)| BackendServer::Model { name, settings });
        let services = self.services.iter().flat_map(|(service, settings)| {
            settings
                .servers
                .iter()
                .map(move |server| BackendServer::Service {
                    service,
                    server,
                    settings,
                })
        });
        (0..).map(ServerId).zip(models.chain(services))
    }
}
