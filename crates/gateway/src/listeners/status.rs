//! Serves readiness checks and metrics.

use crate::gateway::Gateway;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

/// Path of the metrics. Every other path answers with the readiness.
const METRICS_PATH: &str = "/metrics";

/// Answers a readiness check or a read of the metrics.
pub(crate) fn answer_status(
    gateway: &Gateway,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    if request.uri().path() == METRICS_PATH {
        return Response::new(Full::new(gateway.metrics.render().into()));
    }
    let (ready, reason) = gateway.readiness();
    let mut response = Response::new(Full::new(Bytes::from_static(reason.as_bytes())));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
