//! Checks on a client's request before it is sent anywhere.

use crate::configuration::{Configuration, Route, Service, Workspace};
use crate::gateway::Gateway;
use crate::request::RequestMeta;
use anvilgw_core::{ErrorKind, Failure, Stage};
use http::request::Parts;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a caller may come back to another daemon.
const ELSEWHERE_RETRY_AFTER: Duration = Duration::from_millis(50);

/// What a request is allowed to use.
pub(crate) struct Admitted {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) workspace: Option<Arc<Workspace>>,
}

/// Finds route, workspace and service of a request.
///
/// A daemon whose copy of the configuration is too old refuses what it would refuse for good by that
/// copy, and what needs a key, with "not executed, try elsewhere".
pub(crate) fn admit(
    gateway: &Gateway,
    head: &Parts,
    meta: &RequestMeta,
) -> Result<Admitted, Failure> {
    if gateway.is_refusing.get() {
        return Err(elsewhere(ErrorKind::ShuttingDown, "the daemon shuts down"));
    }
    let state = &mut *gateway.state.borrow_mut();
    let now = gateway.now();
    let is_current = state.trust.is_current(now);
    let Some(configuration) = state.configuration.clone() else {
        return Err(elsewhere(ErrorKind::NotReady, "no configuration yet"));
    };
    let Some(route) = configuration
        .route_for(host_of(head), head.uri.path())
        .cloned()
    else {
        return Err(final_if(
            is_current,
            ErrorKind::NotFound,
            "no route matches",
        ));
    };
    let workspace = if route.is_public || !configuration.requires_keys() {
        None
    } else {
        if !is_current {
            return Err(stale());
        }
        Some(workspace_of(&configuration, meta)?)
    };
    let draw = state.rng.random::<f64>();
    let service = choose_service(&configuration, &route, draw)
        .ok_or_else(|| elsewhere(ErrorKind::NoBackend, "the service of the route is unknown"))?;
    Ok(Admitted {
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
            "no workspace holds the key",
        )
    })
}

/// Chooses among the services of a route by weight. `draw` lies between 0 and 1.
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

fn final_if(is_current: bool, kind: ErrorKind, detail: &str) -> Failure {
    if is_current {
        Failure::new(kind, Stage::Received, detail)
    } else {
        stale()
    }
}

fn stale() -> Failure {
    elsewhere(
        ErrorKind::StaleView,
        "the copy of the configuration is too old",
    )
}

fn elsewhere(kind: ErrorKind, detail: &str) -> Failure {
    Failure::new(kind, Stage::Received, detail).with_retry_after(ELSEWHERE_RETRY_AFTER)
}
