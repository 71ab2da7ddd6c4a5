//! Checks of a client's request before it is forwarded: route, API key and service.

use crate::configuration::{Configuration, Route, Service, Workspace};
use crate::gateway::Gateway;
use crate::request::RequestMeta;
use anvilgw_core::{ErrorKind, Failure, Stage};
use http::request::Parts;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;

/// `Retry-After` of refusals that concern only this daemon, so that the client tries another one.
const ELSEWHERE_RETRY_AFTER: Duration = Duration::from_millis(50);

/// What was found for a request: its route, the chosen service and, if the route needs a key, its
/// workspace.
pub(crate) struct RequestContext {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) workspace: Option<Arc<Workspace>>,
}

/// Finds the route, workspace and service of a request.
///
/// If the daemon's copy of the configuration is too old, it cannot reject a request for good: a
/// request that matches no route, or needs a key, gets a failure that tells the client to try
/// another daemon.
pub(crate) fn check_request(
    gateway: &Gateway,
    head: &Parts,
    meta: &RequestMeta,
) -> Result<RequestContext, Failure> {
    if gateway.is_refusing.get() {
        return Err(retry_elsewhere(
            ErrorKind::ShuttingDown,
            "the daemon is shutting down",
        ));
    }
    let state = &mut *gateway.state.borrow_mut();
    let now = gateway.now();
    let is_current = state.configuration_freshness.is_current(now);
    let Some(configuration) = state.configuration.clone() else {
        return Err(retry_elsewhere(ErrorKind::NotReady, "no configuration yet"));
    };
    let Some(route) = configuration
        .route_for(host_of(head), head.uri.path())
        .cloned()
    else {
        return Err(final_if_current(
            is_current,
            ErrorKind::NotFound,
            "no route matches",
        ));
    };
    let workspace = if route.is_public || !configuration.requires_keys() {
        None
    } else {
        if !is_current {
            return Err(stale_configuration());
        }
        Some(workspace_of(&configuration, meta)?)
    };
    let draw = state.rng.random::<f64>();
    let service = choose_service(&configuration, &route, draw).ok_or_else(|| {
        retry_elsewhere(ErrorKind::NoBackend, "the service of the route is unknown")
    })?;
    Ok(RequestContext {
        configuration,
        route,
        service,
        workspace,
    })
}

fn host_of(head: &Parts) -> &str {
    let header = head.headers.get(http::header::HOST);
    header
        .and_then(|host| host.to_str().ok())
        .or(head.uri.host())
        .unwrap_or_default()
}

fn workspace_of(
    configuration: &Configuration,
    meta: &RequestMeta,
) -> Result<Arc<Workspace>, Failure> {
    let key = meta.key.as_deref().unwrap_or_default();
    configuration.workspace_for(key).cloned().ok_or_else(|| {
        Failure::new(
            ErrorKind::Unauthenticated,
            Stage::Received,
            "unknown or missing API key",
        )
    })
}

/// Chooses among the services of a route by weight. `draw` is a random number from 0 to 1.
fn choose_service(configuration: &Configuration, route: &Route, draw: f64) -> Option<Arc<Service>> {
    let total: f64 = route.targets.iter().map(|target| target.weight).sum();
    let mut rest = draw * total;
    let chosen = route.targets.iter().find(|target| {
        rest -= target.weight;
        rest < 0.0
    });
    let target = chosen.or(route.targets.last())?;
    configuration.service(&target.service).cloned()
}

/// Creates a final failure if the copy of the configuration is current, and a retryable one
/// otherwise.
fn final_if_current(is_current: bool, kind: ErrorKind, detail: &str) -> Failure {
    if is_current {
        Failure::new(kind, Stage::Received, detail)
    } else {
        stale_configuration()
    }
}

fn stale_configuration() -> Failure {
    retry_elsewhere(
        ErrorKind::StaleView,
        "the copy of the configuration is too old",
    )
}

/// Creates a failure that tells the client to try another daemon.
fn retry_elsewhere(kind: ErrorKind, detail: &str) -> Failure {
    Failure::new(kind, Stage::Received, detail).with_retry_after(ELSEWHERE_RETRY_AFTER)
}
