//! Operators' configuration in the form that the gateway uses.

use crate::caches::{CacheStoreSpec, name_hash};
use bytes::Bytes;
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Executing the request twice has the same effect as executing it once.
    Idempotent,
    /// The request must not be executed more than once.
    NonIdempotent,
    /// The answer is a stream of events. The request is idempotent only if the stream can be
    /// resumed.
    Stream {
        /// Whether another backend server can continue a stream after a given event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may be sent again although a server may already have executed it.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route sends requests to, with its share of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other targets of the route.
    pub weight: f64,
}

/// A route of the configuration: which requests it matches and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, used in logs.
    pub name: String,
    /// Host of the requests that the route matches, without a port; compared without regard to
    /// case.
    pub host: String,
    /// Path prefix of the requests that the route matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests of the route may be repeated.
    pub kind: RouteKind,
    /// Longest time that a client waits for the answer.
    pub timeout: Duration,
    /// Target time to the answer, or to its first event for streams.
    pub latency_target: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that serve the route, among which traffic is divided by weight.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of backend servers that one request is sent to.
    pub attempts_max: u32,
    /// Whether clients may use the route without a key.
    pub is_public: bool,
    /// Regions in which requests of the route may be executed. Empty allows all.
    pub allowed_regions: Vec<String>,
}

/// Settings of the model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Capacity of one engine's KV cache, in tokens.
    pub kv_capacity_tokens: u64,
}

/// A service with the settings of its backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, by which routes and server entries refer to the service.
    pub name: String,
    /// Maximum number of connections that one backend server of the service accepts from all
    /// clients together.
    pub connections_max: u32,
    /// Requests per second that a cold backend server can handle; 0 if servers of the service have
    /// no cold start.
    pub cold_requests_per_s: f64,
    /// Settings of its engines; `None` if the service does not run models.
    pub engine: Option<EngineSpec>,
    /// The cache store that the service runs, if it is one.
    pub cache_store: Option<CacheStoreSpec>,
}

/// A workspace with the keys of its clients and its rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name, used in logs and in the scopes of cached prompts.
    pub name: String,
    /// Keys that identify its clients.
    pub keys: Vec<String>,
    /// Priority that replaces the priority of the route, if set.
    pub priority: Option<u8>,
    /// Whether its cached prompts are kept separate from those of all other workspaces.
    pub is_isolated: bool,
    /// Regions in which requests of the workspace may be executed. Empty allows all.
    pub allowed_regions: Vec<String>,
}

/// Limits on requests and connections of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_max_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_max_bytes: usize,
    /// Time within which a request has to be received completely.
    pub read_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl ClientLimits {
    /// Returns the time after which the gateway closes an idle connection, or one on which a head
    /// has not arrived completely. It exceeds the idle timeout, so that a client that honors the
    /// timeout does not send a request while the connection is being closed.
    pub(crate) fn close_idle_after(&self) -> Duration {
        const MARGIN: Duration = Duration::from_secs(1);
        /// Longest time that can be added to any point in time.
        const MAX: Duration = Duration::from_secs(24 * 60 * 60);
        // Both cases have a single timeout.
        let timeout = self.idle_timeout.max(self.read_timeout);
        timeout.saturating_add(MARGIN).min(MAX)
    }
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            header_max_bytes: 16 * 1024,
            body_max_bytes: 4 * 1024 * 1024,
            read_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Index of a route in its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteIndex(usize);

/// Index of a workspace in its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkspaceIndex(usize);

/// One version of the configuration, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version; increases with each change by the operators.
    pub version: u64,
    /// Limits on requests and connections of clients.
    pub limits: ClientLimits,
    /// Record of the metadata store that it was decoded from, for daemons that cannot read it any
    /// more. Empty if there is none.
    pub record: Bytes,
    routes: Vec<Arc<Route>>,
    services: IndexMap<String, Arc<Service>>,
    requires_keys: bool,
    isolated_hash: Option<u64>,
    workspaces: Vec<Arc<Workspace>>,
    routes_by_host: IndexMap<String, Vec<RouteIndex>>,
    workspaces_by_key: IndexMap<String, WorkspaceIndex>,
}

impl Configuration {
    /// Creates a configuration and indexes its routes and keys. Clients need no keys if `workspaces`
    /// is `None`. An empty list has no valid key.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Option<Vec<Workspace>>,
        limits: ClientLimits,
    ) -> Self {
        let mut routes_by_host: IndexMap<String, Vec<RouteIndex>> = IndexMap::new();
        for (index, route) in routes.iter().enumerate() {
            routes_by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(RouteIndex(index));
        }
        for indexes in routes_by_host.values_mut() {
            // Sort by descending length, so that the first match is the longest.
            indexes.sort_by_key(|index| std::cmp::Reverse(routes[index.0].path_prefix.len()));
        }
        let requires_keys = workspaces.is_some();
        let workspaces = workspaces.unwrap_or_default();
        let workspaces_by_key = workspaces
            .iter()
            .enumerate()
            .flat_map(|(index, workspace)| {
                let keys = workspace.keys.iter();
                keys.map(move |key| (key.clone(), WorkspaceIndex(index)))
            })
            .collect();
        Self {
            version,
            limits,
            record: Bytes::new(),
            routes: routes.into_iter().map(Arc::new).collect(),
            services: services
                .into_iter()
                .map(|service| (service.name.clone(), Arc::new(service)))
                .collect(),
            requires_keys,
            isolated_hash: isolated_hash(&workspaces),
            workspaces: workspaces.into_iter().map(Arc::new).collect(),
            routes_by_host,
            workspaces_by_key,
        }
    }

    /// Returns the route with the longest path prefix that matches `path`, among the routes of
    /// `host`. A port in `host` is ignored.
    #[must_use]
    pub fn route_for(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host);
        let indexes = match self.routes_by_host.get(host) {
            Some(indexes) => indexes,
            None => self.routes_by_host.get(&host.to_ascii_lowercase())?,
        };
        indexes
            .iter()
            .map(|index| &self.routes[index.0])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the workspace that the client's key belongs to.
    #[must_use]
    pub fn workspace_for(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.workspaces_by_key
            .get(key)
            .map(|workspace| &self.workspaces[workspace.0])
    }

    /// Returns all workspaces in the order of the configuration.
    #[must_use]
    pub fn workspaces(&self) -> &[Arc<Workspace>] {
        &self.workspaces
    }

    /// Returns whether clients need keys, which is the case if the configuration lists workspaces,
    /// even none.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// Returns the hash of the workspaces whose cached prompts are kept apart, or `None` if there are
    /// none. All daemons derive the same one from a configuration.
    #[must_use]
    pub fn isolated_hash(&self) -> Option<u64> {
        self.isolated_hash
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services in the order of the configuration.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns all routes in the order of the configuration.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }
}

fn isolated_hash(workspaces: &[Workspace]) -> Option<u64> {
    let isolated = workspaces.iter().filter(|workspace| workspace.is_isolated);
    let mut names: Vec<&str> = isolated.map(|workspace| workspace.name.as_str()).collect();
    names.sort_unstable();
    // Serialized names cannot run into each other.
    let text = serde_json::to_string(&names).ok()?;
    (!names.is_empty()).then(|| name_hash(&text))
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
