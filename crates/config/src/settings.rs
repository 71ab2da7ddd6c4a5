//! The settings of one daemon.
//!
//! [`Settings::parse`] reads them from an INI text. Tests and tools can also build them with
//! [`Settings::new`] and the `with_` methods, and find contradictions with [`Settings::check`]. The
//! maps keep the order of the file: the position of a model, store, failure domain or backend
//! server is its numeric id.

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

/// Content of a settings file. A section that is not written has its default values.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `[daemon]`: the identity of this daemon, its addresses and its deadlines.
    pub daemon: DaemonSettings,
    /// `[limits]`: limits on the use of this daemon by callers.
    pub limits: LimitSettings,
    /// `[log]`: the log service of the platform.
    pub log: LogSettings,
    /// `[instances]`: the instance list of the platform, and the daemons to join at start.
    pub instances: InstanceListSettings,
    /// `[domain NAME]`: failure domains by name. The position is the [`DomainId`].
    pub domains: IndexMap<String, DomainSettings>,
    /// `[model NAME]`: models by name. The position is the [`ModelId`].
    pub models: IndexMap<String, ModelSettings>,
    /// `[server NAME]`: model servers by name. They have the lowest [`ServerId`]s.
    pub servers: IndexMap<String, ServerSettings>,
    /// `[service NAME]`: plain services by name. The [`ServerId`]s of their servers follow those of
    /// the model servers.
    pub services: IndexMap<String, ServiceSettings>,
    /// `[store NAME]`: stores of retained KV cache by name. The position is the [`StoreId`].
    pub stores: IndexMap<String, StoreSettings>,
    /// `[weights]`: weights of the routing cost.
    pub weights: CostWeightSettings,
    /// `[budgets]`: budgets that all daemons share.
    pub budgets: BudgetSettings,
    /// `[claims]`: idempotency claims.
    pub claims: ClaimSettings,
    /// `[keys]`: hashes of the bearer keys by workspace.
    pub keys: IndexMap<String, Vec<KeyHash>>,
    /// `[operators]`: hashes of the bearer keys by operator.
    pub operators: IndexMap<String, Vec<KeyHash>>,
    /// `[logging]`: log lines.
    pub logging: LoggingSettings,
    /// `[trace]`: trace spans.
    pub trace: TraceSettings,
    /// `[metrics]`: metrics sent to statsd.
    pub metrics: MetricsSettings,
}

/// A backend server: a model server or one server of a plain service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendServer<'a> {
    /// A model server.
    Model {
        /// Name in the header `[server NAME]`.
        name: &'a str,
        /// Settings of the server.
        settings: &'a ServerSettings,
    },
    /// One server of a plain service.
    Service {
        /// Name in the header `[service NAME]`.
        service: &'a str,
        /// Address and failure domain of the server.
        server: &'a ServiceServer,
        /// Settings that all servers of the service share.
        settings: &'a ServiceSettings,
    },
}

impl BackendServer<'_> {
    /// Returns the address of the server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Model { settings, .. } => settings.address,
            Self::Service { server, .. } => server.address,
        }
    }

    /// Returns the name of the failure domain of the server.
    #[must_use]
    pub fn failure_domain(&self) -> &str {
        match self {
            Self::Model { settings, .. } => &settings.failure_domain,
            Self::Service { server, .. } => &server.failure_domain,
        }
    }

    /// Returns the name under which operators take the instance of the server out of service: the
    /// name of a model server, or the address of a server of a plain service.
    #[must_use]
    pub fn instance_name(&self) -> String {
        match self {
            Self::Model { name, .. } => (*name).to_owned(),
            Self::Service { server, .. } => server.address.to_string(),
        }
    }

    /// Returns how many requests the server runs at once when it is warm.
    #[must_use]
    pub fn capacity_concurrency(&self) -> u32 {
        match self {
            Self::Model { settings, .. } => settings.capacity_concurrency,
            Self::Service { settings, .. } => settings.capacity_concurrency,
        }
    }

    /// Returns how many requests of all daemons together the server runs at once when it is cold.
    #[must_use]
    pub fn cold_concurrency(&self) -> u32 {
        match self {
            Self::Model { settings, .. } => settings.cold_concurrency,
            Self::Service { settings, .. } => settings.cold_concurrency,
        }
    }
}

impl Settings {
    /// Creates settings with the given required sections, defaults for the optional ones, and no
    /// failure domains, models, servers, services, stores or keys.
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

    /// Parses and validates settings from an INI text.
    ///
    /// # Errors
    ///
    /// All faults of the text, with their lines. Contradictions between values count as faults.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        parse::parse(text)
    }

    /// Checks that the values do not contradict each other, for settings that were built by a
    /// program. The ranges of single values are not checked; [`Settings::parse`] checks both.
    ///
    /// # Errors
    ///
    /// All contradictions, without lines.
    pub fn check(&self) -> Result<(), Faults> {
        let found = contradictions::find(self);
        Faults::into_result(
            found
                .into_iter()
                .map(|contradiction| contradiction.fault)
                .collect(),
        )
    }

    /// Adds a failure domain, or replaces the one with this name.
    #[must_use]
    pub fn with_domain(mut self, name: &str, settings: DomainSettings) -> Self {
        self.domains.insert(name.to_owned(), settings);
        self
    }

    /// Adds a model, or replaces the one with this name.
    #[must_use]
    pub fn with_model(mut self, name: &str, settings: ModelSettings) -> Self {
        self.models.insert(name.to_owned(), settings);
        self
    }

    /// Adds a model server, or replaces the one with this name.
    #[must_use]
    pub fn with_server(mut self, name: &str, settings: ServerSettings) -> Self {
        self.servers.insert(name.to_owned(), settings);
        self
    }

    /// Adds a plain service, or replaces the one with this name.
    #[must_use]
    pub fn with_service(mut self, name: &str, settings: ServiceSettings) -> Self {
        self.services.insert(name.to_owned(), settings);
        self
    }

    /// Adds a store, or replaces the one with this name.
    #[must_use]
    pub fn with_store(mut self, name: &str, settings: StoreSettings) -> Self {
        self.stores.insert(name.to_owned(), settings);
        self
    }

    /// Adds the hash of a bearer key to those of a workspace.
    #[must_use]
    pub fn with_workspace_key(mut self, workspace: &str, hash: KeyHash) -> Self {
        self.keys
            .entry(workspace.to_owned())
            .or_default()
            .push(hash);
        self
    }

    /// Adds the hash of a bearer key to those of an operator.
    #[must_use]
    pub fn with_operator_key(mut self, name: &str, hash: KeyHash) -> Self {
        self.operators
            .entry(name.to_owned())
            .or_default()
            .push(hash);
        self
    }

    /// Returns the id of a failure domain, or `None` if the settings have none with this name.
    #[must_use]
    pub fn domain_id(&self, name: &str) -> Option<DomainId> {
        let index = self.domains.get_index_of(name)?;
        u16::try_from(index).ok().map(DomainId)
    }

    /// Returns the id of a model, or `None` if the settings have none with this name.
    #[must_use]
    pub fn model_id(&self, name: &str) -> Option<ModelId> {
        let index = self.models.get_index_of(name)?;
        u16::try_from(index).ok().map(ModelId)
    }

    /// Returns the id of a store, or `None` if the settings have none with this name.
    #[must_use]
    pub fn store_id(&self, name: &str) -> Option<StoreId> {
        let index = self.stores.get_index_of(name)?;
        u16::try_from(index).ok().map(StoreId)
    }

    /// Iterates over all backend servers with their ids: the model servers, then the servers of
    /// each service.
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
