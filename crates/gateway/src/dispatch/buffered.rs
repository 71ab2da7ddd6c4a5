//! Requests whose answer is buffered as a whole before the client gets it, so that a broken answer
//! can be retried.

use super::attempt::Exchange;
use super::progress::Progress;
use super::retries::with_retries;
use super::routed_request::RoutedRequest;
use crate::answer::{AnswerBody, failure_answer, reserved_body};
use crate::body_buffer::{BodyBuffer, BufferError};
use crate::body_memory::BodyReservation;
use crate::connection::describe;
use crate::framing::Framing;
use crate::gateway::Gateway;
use crate::retry::AttemptError;
use anvilgw_core::Failure;
use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::timeout;

/// Longest answer that is buffered.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;
/// Length of an answer from which on the read buffer of its server's connection counts, too.
const LONG_ANSWER_BYTES: usize = 64 * 1024;
/// Size of that read buffer, which only long answers fill.
const READ_BUFFER_BYTES: u64 = 128 * 1024;
/// Failure reason for an answer that does not fit into the memory for bodies.
const MEMORY_EXHAUSTED: &str = "not enough memory for the answer";

/// A backend server's answer whose body was read to its end.
struct BufferedAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    memory: BodyReservation,
}

/// Serves a request and returns the backend server's answer, or one that reports the failure.
pub(crate) async fn serve_buffered(
    gateway: &Rc<Gateway>,
    routed: RoutedRequest,
) -> Response<AnswerBody> {
    let progress = RefCell::new(Progress::new(gateway, &routed));
    gateway.record_first_attempt(&routed.service.name);
    let result = fetch_answer(gateway, &routed, &progress).await;
    let mut progress = progress.into_inner();
    match result {
        Ok(answer) => {
            progress.on_answer_delivered(answer.status.as_u16());
            client_answer(gateway, answer)
        }
        Err(failure) => {
            progress.on_request_failed(&failure);
            failure_answer(gateway, &routed.meta.id, &failure)
        }
    }
}

fn client_answer(gateway: &Gateway, answer: BufferedAnswer) -> Response<AnswerBody> {
    let mut headers = gateway.ports.codec.answer_headers(&answer.headers);
    headers.insert(CONTENT_LENGTH, HeaderValue::from(answer.body.len()));
    let mut response = Response::new(reserved_body(answer.body, answer.memory));
    *response.status_mut() = answer.status;
    *response.headers_mut() = headers;
    response
}

async fn fetch_answer(
    gateway: &Rc<Gateway>,
    routed: &RoutedRequest,
    progress: &RefCell<Progress>,
) -> Result<BufferedAnswer, Failure> {
    // The last 5xx answer of a server, which the client gets if no other attempt succeeds.
    let failed_answer = RefCell::new(None);
    let read = async |exchange: Exchange| {
        exchange.state().on_body_begun();
        let answer = read_answer(gateway, routed, exchange).await?;
        if answer.status.is_server_error() {
            let status = answer.status.as_u16();
            failed_answer.replace(Some(answer));
            return Err(AttemptError::ServerFailed(status));
        }
        Ok(answer)
    };
    let result = with_retries(gateway, routed, progress, read).await;
    result.or_else(|failure| failed_answer.into_inner().ok_or(failure))
}

/// Reads a body to its end. Fails if it is longer than [`ANSWER_MAX_BYTES`] or memory runs out.
async fn read_body(
    reservation: BodyReservation,
    body: &mut Incoming,
) -> Result<(Bytes, BodyReservation), String> {
    let mut read_buffer = reservation.connection().reserve();
    let mut is_long = false;
    let mut read_bytes = 0;
    let mut buffer = BodyBuffer::new(reservation, body.size_hint().exact(), ANSWER_MAX_BYTES);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| format!("the answer was cut: {}", describe(&error)))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        read_bytes += data.len();
        if read_bytes > LONG_ANSWER_BYTES && !is_long {
            is_long = true;
            if !read_buffer.grow(READ_BUFFER_BYTES).await {
                return Err(MEMORY_EXHAUSTED.to_owned());
            }
        }
        buffer.push(&data).await.map_err(|error| match error {
            BufferError::TooLong => format!("the answer is longer than {ANSWER_MAX_BYTES} bytes"),
            BufferError::NoMemory => MEMORY_EXHAUSTED.to_owned(),
        })?;
    }
    Ok(buffer.into_parts())
}

async fn read_answer(
    gateway: &Rc<Gateway>,
    routed: &RoutedRequest,
    mut exchange: Exchange,
) -> Result<BufferedAnswer, AttemptError> {
    let remaining = routed.remaining(gateway.now());
    let read = read_body(
        routed.body_memory.connection().reserve(),
        &mut exchange.body,
    );
    let (body, memory) = match timeout(remaining, read).await {
        Ok(Ok(read)) => read,
        Ok(Err(reason)) => {
            exchange.close_broken();
            return Err(AttemptError::OutcomeUnknown(reason));
        }
        Err(_) => {
            exchange.close_timed_out();
            return Err(AttemptError::OutcomeUnknown(
                "the answer did not end in time".to_owned(),
            ));
        }
    };
    let status = exchange.status;
    // A success without a length or chunks whose connection ends before the body begins was broken
    // off: a server that has nothing to send states so.
    if body.is_empty() && status.is_success() && exchange.framing == Framing::ConnectionEnd {
        exchange.close_broken();
        return Err(AttemptError::OutcomeUnknown(
            "the answer ended before its body".to_owned(),
        ));
    }
    let headers = std::mem::take(&mut exchange.headers);
    exchange.complete(gateway, !status.is_server_error());
    Ok(BufferedAnswer {
        status,
        headers,
        body,
        memory,
    })
}
