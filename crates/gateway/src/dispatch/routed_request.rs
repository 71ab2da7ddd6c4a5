//! A client's request after the checks of the client listener.

use crate::body_memory::BodyReservation;
use crate::configuration::{Configuration, Route, Service, Workspace};
use crate::request::RequestMeta;
use crate::weights::CacheSharing;
use anvilgw_quarantine::Suspect;
use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A request with the route, service and workspace that were found for it. Times are uptimes of the
/// daemon's clock.
pub(crate) struct RoutedRequest {
    pub(crate) method: Method,
    pub(crate) target: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Memory of the body, released when the request has ended.
    pub(crate) body_memory: BodyReservation,
    pub(crate) meta: RequestMeta,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) workspace: Option<Arc<Workspace>>,
    /// Shared parts of the prompt, under which a server may end.
    pub(crate) suspects: Rc<[Suspect]>,
    pub(crate) arrived_at: Duration,
    /// Deadline by which the answer must have ended.
    pub(crate) end_at: Duration,
}

impl RoutedRequest {
    pub(crate) fn remaining(&self, now: Duration) -> Duration {
        self.end_at.saturating_sub(now)
    }

    pub(crate) fn workspace_name(&self) -> Option<&str> {
        self.workspace
            .as_deref()
            .map(|workspace| workspace.name.as_str())
    }

    /// Returns the request's rank at backend servers, 0 to 9, where 0 is the most urgent. The
    /// workspace's priority takes precedence over the route's.
    pub(crate) fn urgency(&self) -> u8 {
        /// Least urgent rank that backend servers accept.
        const URGENCY_MAX: u8 = 9;
        let own = self
            .workspace
            .as_deref()
            .and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority).min(URGENCY_MAX)
    }

    /// Returns whose requests share cached prompts with this one.
    pub(crate) fn cache_sharing(&self) -> CacheSharing<'_> {
        let workspace = self.workspace.as_deref();
        match workspace.filter(|workspace| workspace.is_isolated) {
            Some(workspace) => CacheSharing::Isolated(&workspace.name),
            None => CacheSharing::Shared {
                isolated_hash: self.configuration.isolated_hash(),
            },
        }
    }
}
