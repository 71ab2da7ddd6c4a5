//! The operators' configuration as the gateway uses it.

use crate::caches::CacheStoreSpec;
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Executing the request twice has the same effect as once.
    Idempotent,
    /// The request may be executed at most once.
    NonIdempotent,
    /// The answer is a stream of events. It is idempotent only if it can be resumed.
    Stream {
        /// Whether another backend server can continue the stream after a given event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have been executed may be sent again.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route sends to, with its part of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Relative weight among the targets of the route.
    pub weight: f64,
}

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to its first event, for which the route aims.
    pub latency_target: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that serve the route.
    pub targets: Vec<RouteTarget>,
    /// Backend servers to which one request may be sent.
    pub attempts_max: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Regions to which the route is confined. Empty allows all.
    pub allowed_regions: Vec<String>,
}

/// What the configuration says of the model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Tokens of KV cache that an engine holds.
    pub kv_capacity_tokens: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Connections that a backend server of the service accepts from all callers together.
    pub connections_max: u32,
    /// Requests per second that a cold backend server bears; 0 if the service has no cold start.
    pub cold_requests_per_s: f64,
    /// Engines of the service, unless it is a plain service.
    pub engine: Option<EngineSpec>,
    /// The store that the service is, if it is one.
    pub store: Option<CacheStoreSpec>,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Rank that replaces the rank of the route.
    pub priority: Option<u8>,
    /// Whether its cached prompts are kept apart from those of all other workspaces.
    pub is_isolated: bool,
    /// Regions to which the workspace is confined. Empty allows all.
    pub allowed_regions: Vec<String>,
}

/// Limits on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest head of a request.
    pub header_max_bytes: usize,
    /// Largest body of a request.
    pub body_max_bytes: usize,
    /// Time within which a request has to arrive.
    pub read_timeout: Duration,
    /// Time for which an idle connection stays open.
    pub idle_timeout: Duration,
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

/// Position of a route in its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteKey(usize);

/// Position of a workspace in its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkspaceKey(usize);

/// One version of the configuration, indexed for look-ups.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version; increases with each change.
    pub version: u64,
    /// Limits on what clients send.
    pub limits: ClientLimits,
    routes: Vec<Arc<Route>>,
    services: IndexMap<String, Arc<Service>>,
    workspaces: Vec<Arc<Workspace>>,
    routes_by_host: IndexMap<String, Vec<RouteKey>>,
    workspaces_by_key: IndexMap<String, WorkspaceKey>,
}

impl Configuration {
    /// Indexes the parts of a configuration.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Vec<Workspace>,
        limits: ClientLimits,
    ) -> Self {
        let mut routes_by_host: IndexMap<String, Vec<RouteKey>> = IndexMap::new();
        for (index, route) in routes.iter().enumerate() {
            routes_by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(RouteKey(index));
        }
        for keys in routes_by_host.values_mut() {
            // The first match is then the longest one.
            keys.sort_by_key(|key| std::cmp::Reverse(routes[key.0].path_prefix.len()));
        }
        let workspaces_by_key = workspaces
            .iter()
            .enumerate()
            .flat_map(|(index, workspace)| {
                let keys = workspace.keys.iter();
                keys.map(move |key| (key.clone(), WorkspaceKey(index)))
            })
            .collect();
        Self {
            version,
            limits,
            routes: routes.into_iter().map(Arc::new).collect(),
            services: services
                .into_iter()
                .map(|service| (service.name.clone(), Arc::new(service)))
                .collect(),
            workspaces: workspaces.into_iter().map(Arc::new).collect(),
            routes_by_host,
            workspaces_by_key,
        }
    }

    /// The route with the longest prefix of `path` among those of `host`.
    #[must_use]
    pub fn route_for(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host);
        let keys = match self.routes_by_host.get(host) {
            Some(keys) => keys,
            None => self.routes_by_host.get(&host.to_ascii_lowercase())?,
        };
        keys.iter()
            .map(|key| &self.routes[key.0])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// The workspace that holds a key.
    #[must_use]
    pub fn workspace_for(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.workspaces_by_key
            .get(key)
            .map(|workspace| &self.workspaces[workspace.0])
    }

    /// Whether callers need keys at all.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// All routes.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
