//! Requests whose answer is a stream of server-sent events, until the first bytes of the stream.

use super::attempt::Exchange;
use super::progress::Progress;
use super::retries::with_retries;
use super::routed_request::RoutedRequest;
use super::stream_buffer::StreamBuffer;
use super::stream_relay::{StreamError, StreamRelay, close_after, next_data};
use crate::answer::{AnswerBody, failure_answer, full_body};
use crate::configuration::RouteKind;
use crate::gateway::Gateway;
use crate::log::StreamPosition;
use crate::retry::AttemptError;
use anvilgw_core::Failure;
use bytes::Bytes;
use http::{HeaderMap, Response};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::timeout;

/// Serves a request and returns the answer that carries the stream, or one that reports the
/// failure.
pub(crate) async fn serve_stream(
    gateway: &Rc<Gateway>,
    routed: RoutedRequest,
) -> Response<AnswerBody> {
    let progress = RefCell::new(Progress::new(gateway, &routed));
    gateway.record_first_attempt(&routed.service.name);
    if let Some(prompt) = &routed.meta.prompt {
        let admission = &mut gateway.state.borrow_mut().admission;
        admission.on_request(&routed.route.name, prompt.footprint_tokens());
    }
    let result = open_stream(gateway, &routed, &progress).await;
    let mut progress = progress.into_inner();
    match result {
        Ok(opened) => opened.into_response(gateway, routed, progress),
        Err(failure) => {
            progress.on_request_failed(&failure);
            failure_answer(gateway, &routed.meta.id, &failure)
        }
    }
}

/// A stream whose first bytes are in `buffer`, which is `None` if the stream ended without any.
struct OpenedStream {
    exchange: Exchange,
    buffer: Option<StreamBuffer>,
}

impl OpenedStream {
    fn into_response(
        mut self,
        gateway: &Rc<Gateway>,
        routed: RoutedRequest,
        mut progress: Progress,
    ) -> Response<AnswerBody> {
        let status = self.exchange.status;
        let server_headers: HeaderMap = std::mem::take(&mut self.exchange.headers);
        let headers = gateway.ports.codec.answer_headers(&server_headers);
        let body = match self.buffer {
            None => {
                self.exchange.complete(gateway, status.is_success());
                progress.on_answer_delivered(status.as_u16());
                full_body(Bytes::new())
            }
            Some(buffer) => {
                progress.on_first_event();
                record_prefill_rate(gateway, &routed);
                StreamRelay::new(gateway, routed, progress, self.exchange, buffer).into_body()
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }
}

/// Updates the estimate of how fast the service's engines compute from the time to the first event.
/// The shared parts of the prompt may have come from a cache, so only the request's unshared tokens
/// are certain to have been computed.
fn record_prefill_rate(gateway: &Gateway, routed: &RoutedRequest) {
    let Some(prompt) = &routed.meta.prompt else {
        return;
    };
    let elapsed = gateway.now().saturating_sub(routed.arrived_at);
    let rates = &mut gateway.state.borrow_mut().prefill_rates;
    let rate = rates.entry(routed.service.name.clone()).or_default();
    rate.on_first_event(prompt.unshared_tokens(), elapsed);
}

async fn open_stream(
    gateway: &Rc<Gateway>,
    routed: &RoutedRequest,
    progress: &RefCell<Progress>,
) -> Result<OpenedStream, Failure> {
    // The last 5xx answer of a server, which the client gets if no other attempt succeeds.
    let failed_answer = RefCell::new(None);
    let read = async |exchange: Exchange| {
        let opened = first_bytes(gateway, routed, exchange).await?;
        let status = opened.exchange.status;
        if status.is_server_error() {
            failed_answer.replace(Some(opened));
            return Err(AttemptError::ServerFailed(status.as_u16()));
        }
        Ok(opened)
    };
    let result = with_retries(gateway, routed, progress, read).await;
    result.or_else(|failure| failed_answer.into_inner().ok_or(failure))
}

fn set_position(exchange: &Exchange, position: Option<StreamPosition>) {
    exchange.state().record.borrow_mut().answer.stream_position = position;
}

async fn first_bytes(
    gateway: &Gateway,
    routed: &RoutedRequest,
    mut exchange: Exchange,
) -> Result<OpenedStream, AttemptError> {
    let is_resumable = routed.route.kind == RouteKind::Stream { resumable: true };
    let mut buffer = StreamBuffer::new(exchange.status, &exchange.headers, is_resumable);
    set_position(&exchange, Some(StreamPosition::BeforeFirstEvent));
    let limit = routed.remaining(gateway.now());
    let end: Result<(), StreamError> = match timeout(limit, next_data(&mut exchange)).await {
        Ok(Ok(Some(first))) => {
            set_position(&exchange, None);
            buffer.push(first);
            let buffer = Some(buffer);
            return Ok(OpenedStream { exchange, buffer });
        }
        Ok(Ok(None)) => buffer.check_end(exchange.framing).map_err(Into::into),
        Ok(Err(error)) => Err(error),
        Err(_) => {
            exchange.close_timed_out();
            let reason = "no event before the deadline".to_owned();
            return Err(AttemptError::OutcomeUnknown(reason));
        }
    };
    if let Err(error) = end {
        close_after(exchange, &error);
        return Err(AttemptError::OutcomeUnknown(error.to_string()));
    }
    set_position(&exchange, None);
    Ok(OpenedStream {
        exchange,
        buffer: None,
    })
}
