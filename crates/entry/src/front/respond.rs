//! Answers to callers.

use anvilgw_core::{Executed, Failure, RequestId};
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::Serialize;
use std::time::Duration;

/// Identifier of the request, on every answer.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Whether the request was executed, on every refusal and failure.
pub(crate) const EXECUTED: HeaderName = HeaderName::from_static("x-anvilgw-executed");

const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Body of a refusal or failure.
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
    /// Describes a failure.
    pub(crate) fn new(request_id: RequestId, failure: &'a Failure) -> Self {
        Self {
            error: ErrorFields {
                code: failure.kind().answer().code,
                message: failure.detail(),
                executed: failure.executed(),
                request_id: request_id.to_string(),
                retry_after_ms: failure.retry_after().map(|after| after.as_millis() as u64),
            },
        }
    }

    /// The JSON text. Serialising these plain fields cannot fail.
    pub(crate) fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// A body that is sent at once.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A JSON answer.
pub(crate) fn json(status: StatusCode, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    response
}

/// Adds the request id.
pub(crate) fn tag(response: &mut Response<Body>, request_id: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&request_id.to_string()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
}

/// The answer to a refused or failed request.
pub(crate) fn failure(request_id: RequestId, failure: &Failure) -> Response<Body> {
    let status = StatusCode::from_u16(failure.kind().answer().status)
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json(status, ErrorBody::new(request_id, failure).to_json());
    let headers = response.headers_mut();
    headers.insert(
        EXECUTED,
        HeaderValue::from_static(failure.executed().as_str()),
    );
    if let Some(after) = failure.retry_after() {
        headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(after)));
    }
    tag(&mut response, request_id);
    response
}

/// `retry-after` counts whole seconds, rounded up so that nobody returns too early.
fn whole_seconds(after: Duration) -> u64 {
    after.as_secs() + u64::from(after.subsec_nanos() > 0)
}
