//! Answers to clients: body types, and the answer for a failed request.

use crate::body_memory::{BodyReservation, ConnectionMemory};
use crate::gateway::Gateway;
use anvilgw_core::{Executed, Failure};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use quick_error::quick_error;
use serde::Serialize;
use std::pin::Pin;
use std::task::{Context, Poll};

quick_error! {
    /// Why the body of an answer ends early. The connection is then closed without the end of the
    /// body, so that the client can tell that the answer is incomplete.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum BodyError {
        /// The backend server's answer was cut off and no other server can continue it.
        Broken {
            display("the backend server's answer was cut off")
        }
    }
}

/// Body of an answer to a client, complete or streamed.
pub(crate) type AnswerBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyError>>>;

/// Returns a body whose bytes are all in memory.
pub(crate) fn full_body(bytes: Bytes) -> AnswerBody {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// A body whose memory counts toward the account until it was sent.
struct ReservedAnswer {
    inner: Full<Bytes>,
    reservation: Option<BodyReservation>,
}

/// Returns a body whose bytes are all in memory, with the memory that is reserved for them.
pub(crate) fn reserved_body(bytes: Bytes, reservation: BodyReservation) -> AnswerBody {
    Box::pin(ReservedAnswer {
        inner: Full::new(bytes),
        reservation: Some(reservation),
    })
}

impl Body for ReservedAnswer {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let inner = Pin::new(&mut self.inner);
        inner.poll_frame(context).map_err(|never| match never {})
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for ReservedAnswer {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            let connection = reservation.connection().clone();
            connection.keep_until_sent(reservation);
        }
    }
}

/// A body whose end tells the account that the daemon waits for the client's next request.
struct TrackedAnswer {
    inner: AnswerBody,
    connection: ConnectionMemory,
}

/// Returns a body that tells the account of its end.
pub(crate) fn tracked_body(inner: AnswerBody, connection: ConnectionMemory) -> AnswerBody {
    Box::pin(TrackedAnswer { inner, connection })
}

impl Body for TrackedAnswer {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.inner.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for TrackedAnswer {
    fn drop(&mut self) {
        self.connection.on_answer_end();
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: &'static str,
    message: &'a str,
    executed: Executed,
}

/// Returns the HTTP status of a failure. Clients take 408, 421, 429 and 503 as a promise that
/// nothing was executed, so a failure for which that is uncertain gets 502 instead.
pub(crate) fn status_of(failure: &Failure) -> StatusCode {
    let stated = failure.kind().answer().status;
    let promises_not_executed = matches!(stated, 408 | 421 | 429 | 503);
    if promises_not_executed && failure.executed() != Executed::No {
        return StatusCode::BAD_GATEWAY;
    }
    StatusCode::from_u16(stated).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Builds the JSON answer that reports a failure to the client, with `Retry-After` if nothing was
/// executed.
pub(crate) fn failure_answer(
    gateway: &Gateway,
    request_id: &str,
    failure: &Failure,
) -> Response<AnswerBody> {
    let detail = ErrorDetail {
        code: failure.kind().answer().code,
        message: failure.detail(),
        executed: failure.executed(),
    };
    // Serialization cannot fail: every field has a JSON representation.
    let text = serde_json::to_vec(&ErrorBody { error: detail }).unwrap_or_default();
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let status = status_of(failure);
    if let Some(after) = failure
        .retry_after()
        .filter(|_| failure.executed() == Executed::No)
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    gateway.ports.codec.set_request_id(request_id, &mut headers);
    let mut response = Response::new(full_body(text.into()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
