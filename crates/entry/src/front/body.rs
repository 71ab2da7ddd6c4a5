//! Limits on the size of request headers and on the size and duration of request bodies.

use anvilgw_core::{ErrorKind, Failure, Stage};
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::HeaderMap;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use std::time::Duration;

/// Reads a request body of at most `max_bytes` within `time_limit`.
///
/// # Errors
///
/// A failure at stage `Received` if the body is larger, takes longer or ends early.
pub(crate) async fn read_body(
    body: Body,
    max_bytes: usize,
    time_limit: Duration,
) -> Result<Bytes, Failure> {
    let collected = tokio::time::timeout(time_limit, Limited::new(body, max_bytes).collect()).await;
    match collected {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Failure::new(
            ErrorKind::BodyTooLarge,
            Stage::Received,
            format!("the body is larger than {max_bytes} bytes"),
        )),
        Ok(Err(error)) => Err(Failure::new(
            ErrorKind::BadRequest,
            Stage::Received,
            format!("the body ended early: {error}"),
        )),
        Err(_) => Err(Failure::new(
            ErrorKind::RequestTimeout,
            Stage::Received,
            format!(
                "the body was not received within {} ms",
                time_limit.as_millis()
            ),
        )),
    }
}

/// Checks the total size of the request headers.
///
/// # Errors
///
/// A failure at stage `Received` if names and values together are larger than `max_bytes`.
pub(crate) fn check_headers(headers: &HeaderMap, max_bytes: usize) -> Result<(), Failure> {
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if bytes <= max_bytes {
        return Ok(());
    }
    Err(Failure::new(
        ErrorKind::HeadersTooLarge,
        Stage::Received,
        format!("the headers are larger than {max_bytes} bytes"),
    ))
}
