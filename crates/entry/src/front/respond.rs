//! HTTP answers: JSON bodies, error bodies and headers.

use anvilgw_core::{Executed, Failure, RequestId};
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::Serialize;
use std::time::Duration;

/// Header with the request identifier, set on every answer.
pub(crate) const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Header that tells whether the request was executed, set on every error answer.
pub(crate) const EXECUTED_HEADER: HeaderName = HeaderName::from_static("x-anvilgw-executed");

const JSON_MEDIA_TYPE: HeaderValue = HeaderValue::from_static("application/json");

/// JSON body of an error answer.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorFields<'a> {
    code: &'static str,
    message: &'a str,
    executed: Executed,
    request_id: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl<'a> ErrorBody<'a> {
    /// Builds the body that describes a failure of the given request.
    pub(crate) fn new(request_id: RequestId, failure: &'a Failure) -> Self {
        Self {
            error: ErrorFields {
                code: failure.kind().answer().code,
                message: failure.detail(),
                executed: failure.executed(),
                request_id: request_id.to_string(),
                retry_after_ms: failure.retry_after().map(|delay| delay.as_millis() as u64),
            },
        }
    }

    /// Returns the body as JSON text. Serialization of these fields cannot fail.
    pub(crate) fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Returns a body that is sent as a whole, as opposed to a stream.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns an answer with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, JSON_MEDIA_TYPE);
    response
}

/// Sets the header with the request identifier.
pub(crate) fn set_request_id(response: &mut Response<Body>, request_id: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&request_id.to_string()) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}

/// Returns the answer to a refused or failed request, with status, error body and headers.
pub(crate) fn failure_response(request_id: RequestId, failure: &Failure) -> Response<Body> {
    let status = StatusCode::from_u16(failure.kind().answer().status)
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json_response(status, ErrorBody::new(request_id, failure).to_json());
    let headers = response.headers_mut();
    headers.insert(
        EXECUTED_HEADER,
        HeaderValue::from_static(failure.executed().as_str()),
    );
    if let Some(delay) = failure.retry_after() {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds_rounded_up(delay)));
    }
    set_request_id(&mut response, request_id);
    response
}

/// Returns a delay in whole seconds, the unit of `retry-after`, rounded up so that callers do not
/// retry too early.
fn seconds_rounded_up(delay: Duration) -> u64 {
    delay.as_secs() + u64::from(delay.subsec_nanos() > 0)
}
