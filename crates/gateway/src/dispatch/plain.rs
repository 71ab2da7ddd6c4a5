//! Requests whose answer is one whole body.

use super::attempt::Exchange;
use super::call::Call;
use super::progress::Progress;
use super::retries::with_retries;
use crate::answer::{AnswerBody, full_body, refuse};
use crate::bodies::BodyMemory;
use crate::gateway::Gateway;
use crate::retry::AttemptError;
use anvilgw_core::Failure;
use bytes::{Bytes, BytesMut};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Longest answer that is held as a whole.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;
/// Reason of an answer for which there is no memory.
const NO_MEMORY: &str = "no memory for the answer";

/// A whole answer of a backend server.
struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Serves a request and returns the whole answer, or a failure.
pub(crate) async fn serve_plain(gateway: &Rc<Gateway>, call: Call) -> Response<AnswerBody> {
    let mut progress = Progress::new(gateway, &call);
    gateway.on_first_attempt(&call.service.name);
    match answer_of(gateway, &call, &mut progress).await {
        Ok(answer) => {
            progress.on_answered(answer.status.as_u16());
            deliver(gateway, answer)
        }
        Err(failure) => {
            progress.on_failed(&failure);
            refuse(gateway, &call.meta.id, &failure)
        }
    }
}

fn deliver(gateway: &Gateway, answer: WholeAnswer) -> Response<AnswerBody> {
    let mut headers = gateway.ports.codec.pass_answer(&answer.headers);
    headers.insert(CONTENT_LENGTH, HeaderValue::from(answer.body.len()));
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = headers;
    response
}

async fn answer_of(
    gateway: &Rc<Gateway>,
    call: &Call,
    progress: &mut Progress,
) -> Result<WholeAnswer, Failure> {
    // The answer of a server that failed, for the case that no other server does better.
    let mut failed_answer: Option<WholeAnswer> = None;
    let read = async |_: &Progress, exchange: Exchange, _: Duration| {
        let answer = read_whole(gateway, call, exchange).await?;
        if answer.status.is_server_error() {
            let status = answer.status.as_u16();
            failed_answer = Some(answer);
            return Err(AttemptError::ServerFailed(status));
        }
        Ok(answer)
    };
    let result = with_retries(gateway, call, progress, read).await;
    result.or_else(|failure| failed_answer.ok_or(failure))
}

/// Reads a body to its end, if there is memory for it.
async fn read_body(memory: &BodyMemory, body: &mut Incoming) -> Result<Bytes, String> {
    let mut reservation = memory.reserve(Some(0)).ok_or(NO_MEMORY)?;
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| format!("the answer was cut: {error}"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if read.len() + data.len() > ANSWER_MAX_BYTES {
            return Err(format!(
                "the answer is longer than {ANSWER_MAX_BYTES} bytes"
            ));
        }
        if !reservation.grow(data.len() as u64) {
            return Err(NO_MEMORY.to_owned());
        }
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
}

async fn read_whole(
    gateway: &Rc<Gateway>,
    call: &Call,
    mut exchange: Exchange,
) -> Result<WholeAnswer, AttemptError> {
    let remaining = call.remaining(gateway.now());
    let read = read_body(&gateway.bodies, &mut exchange.body);
    let body = match timeout(remaining, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(reason)) => {
            exchange.broken();
            return Err(AttemptError::OutcomeUnknown(reason));
        }
        Err(_) => {
            exchange.timed_out();
            return Err(AttemptError::OutcomeUnknown(
                "the answer did not end in time".to_owned(),
            ));
        }
    };
    let status = exchange.status;
    let headers = std::mem::take(&mut exchange.headers);
    exchange.complete(gateway, !status.is_server_error());
    Ok(WholeAnswer {
        status,
        headers,
        body,
    })
}
