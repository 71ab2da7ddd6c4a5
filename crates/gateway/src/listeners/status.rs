//! Serves readiness checks and metrics.

use crate::gateway::Gateway;
use crate::{log_metrics, rollout_metrics};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

/// Path of the metrics. Every other path is a readiness check.
const METRICS_PATH: &str = "/metrics";

/// Answers a read of the metrics, or a readiness check: 200 if the daemon takes new connections,
/// 503 otherwise, with the reason as body.
pub(crate) fn answer_status(
    gateway: &Gateway,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    if request.uri().path() == METRICS_PATH {
        let state = gateway.state.borrow();
        let rollouts = rollout_metrics::render(&state.rollouts);
        let logs = log_metrics::render(&state, gateway.now());
        let text = [gateway.metrics.render(), rollouts, logs].concat();
        return Response::new(Full::new(text.into()));
    }
    let (ready, reason) = gateway.readiness();
    let mut response = Response::new(Full::new(Bytes::from_static(reason.as_bytes())));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
