//! Limits on the size of request headers and on the size and duration of request bodies.

use anvilgw_core::{ErrorKind, Failure, Stage};
use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use http::HeaderMap;
use http_body_util::BodyExt;
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
    match tokio::time::timeout(time_limit, receive(body, max_bytes)).await {
        Ok(received) => received,
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

/// Receives a body into one buffer. A list of its chunks would take tens of bytes for each, so that a
/// body in chunks of a byte would take many times its size.
async fn receive(mut body: Body, max_bytes: usize) -> Result<Bytes, Failure> {
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            Failure::new(
                ErrorKind::BadRequest,
                Stage::Received,
                format!("the body ended early: {error}"),
            )
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if received.len() + data.len() > max_bytes {
            return Err(Failure::new(
                ErrorKind::BodyTooLarge,
                Stage::Received,
                format!("the body is larger than {max_bytes} bytes"),
            ));
        }
        received.extend_from_slice(&data);
    }
    Ok(received.freeze())
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
