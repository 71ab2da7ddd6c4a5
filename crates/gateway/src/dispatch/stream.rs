//! Requests whose answer is a stream of server-sent events.
//!
//! A resumable stream is passed on event by event, so that when it breaks, another server can
//! continue after the last event that the client has. Any other stream is passed on as it arrives.
//! When a stream breaks and cannot be resumed, the client's connection is closed without the end of
//! the body.

use super::attempt::{AttemptOptions, Exchange, attempt};
use super::progress::Progress;
use super::retries::with_retries;
use super::routed_request::RoutedRequest;
use super::stream_buffer::StreamBuffer;
use super::target::has_alternative;
use crate::answer::{AnswerBody, BodyError, failure_answer, full_body};
use crate::configuration::RouteKind;
use crate::connection::describe;
use crate::gateway::Gateway;
use crate::log::StreamPosition;
use crate::retry::{AttemptError, RetryDecision, RetryPolicy};
use anvilgw_core::Failure;
use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Time without an event after which a resumable stream is resumed at another server. Clients
/// abandon a stream after a gap of two seconds or more.
const STALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest event. A server that sends more bytes without the end of an event is treated as broken.
const EVENT_MAX_BYTES: usize = 256 * 1024;

/// Serves a request and returns the answer that carries the stream, or one that reports the
/// failure.
pub(crate) async fn serve_stream(
    gateway: &Rc<Gateway>,
    routed: RoutedRequest,
) -> Response<AnswerBody> {
    let mut progress = Progress::new(gateway, &routed);
    gateway.record_first_attempt(&routed.service.name);
    if let Some(prompt) = &routed.meta.prompt {
        let admission = &mut gateway.state.borrow_mut().admission;
        admission.on_request(&routed.route.name, prompt.footprint_tokens());
    }
    match open_stream(gateway, &routed, &mut progress).await {
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
    progress: &mut Progress,
) -> Result<OpenedStream, Failure> {
    let policy = RetryPolicy::new(routed.route.kind, routed.route.attempts_max);
    let is_resumable = routed.route.kind == RouteKind::Stream { resumable: true };
    let read = async |progress: &mut Progress, exchange: Exchange, limit: Duration| {
        progress.answer.stream_position = Some(StreamPosition::BeforeFirstEvent);
        let opened = first_bytes(exchange, is_resumable, limit).await?;
        progress.answer.stream_position = None;
        if may_retry_status(&opened, policy, progress) {
            return Err(AttemptError::ServerFailed(opened.exchange.status.as_u16()));
        }
        Ok(opened)
    };
    with_retries(gateway, routed, progress, read).await
}

fn may_retry_status(opened: &OpenedStream, policy: RetryPolicy, progress: &Progress) -> bool {
    let status = opened.exchange.status;
    let error = AttemptError::ServerFailed(status.as_u16());
    status.is_server_error()
        && policy.allows(&error, progress.sent_count, progress.connect_failures)
}

async fn first_bytes(
    mut exchange: Exchange,
    is_route_resumable: bool,
    limit: Duration,
) -> Result<OpenedStream, AttemptError> {
    let mut buffer = StreamBuffer::new(exchange.status, &exchange.headers, is_route_resumable);
    let end = match timeout(limit, next_data(&mut exchange)).await {
        Ok(Ok(Some(first))) => {
            buffer.push(first);
            let buffer = Some(buffer);
            return Ok(OpenedStream { exchange, buffer });
        }
        Ok(Ok(None)) => buffer
            .check_end(exchange.framing)
            .map_err(|truncated| truncated.to_string()),
        Ok(Err(reason)) => Err(reason),
        Err(_) => {
            exchange.close_timed_out();
            return Err(AttemptError::OutcomeUnknown("no event in time".to_owned()));
        }
    };
    if let Err(reason) = end {
        exchange.close_broken();
        return Err(AttemptError::OutcomeUnknown(reason));
    }
    Ok(OpenedStream {
        exchange,
        buffer: None,
    })
}

/// Returns the next bytes of an answer, or `None` at its end. Empty frames and trailers are
/// skipped.
async fn next_data(exchange: &mut Exchange) -> Result<Option<Bytes>, String> {
    loop {
        match exchange.body.frame().await {
            None => return Ok(None),
            Some(Err(error)) => return Err(format!("the stream was cut: {}", describe(&error))),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) if data.is_empty() => {}
                Ok(data) => {
                    exchange.on_body_bytes();
                    return Ok(Some(data));
                }
                Err(_trailers) => {}
            },
        }
    }
}

/// What a [`StreamRelay`] does next.
enum RelayStep {
    Pass(Bytes),
    End,
    Broken(String),
}

/// Passes a stream on to the client and resumes it at other servers.
struct StreamRelay {
    gateway: Rc<Gateway>,
    routed: RoutedRequest,
    progress: Progress,
    policy: RetryPolicy,
    exchange: Option<Exchange>,
    buffer: StreamBuffer,
    last_event_id: Option<u64>,
    /// When the last event with a new identifier was received, or the stream was resumed.
    last_event_at: Duration,
}

impl StreamRelay {
    fn new(
        gateway: &Rc<Gateway>,
        routed: RoutedRequest,
        progress: Progress,
        exchange: Exchange,
        buffer: StreamBuffer,
    ) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            policy: RetryPolicy::new(routed.route.kind, routed.route.attempts_max),
            last_event_id: routed.meta.resume_after,
            last_event_at: gateway.now(),
            routed,
            progress,
            exchange: Some(exchange),
            buffer,
        }
    }

    fn into_body(self) -> AnswerBody {
        let frames = stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Ok(None) => None,
                Err(error) => {
                    // hyper discards what it has not sent yet when a body fails, but sends it when
                    // the body has to wait.
                    yield_now().await;
                    Some((Err(error), None))
                }
            }
        });
        Box::pin(StreamBody::new(Box::pin(frames)))
    }

    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.step().await {
                RelayStep::Pass(bytes) => return Ok(Some(bytes)),
                RelayStep::End => {
                    self.finish();
                    return Ok(None);
                }
                RelayStep::Broken(reason) => {
                    if let Some(exchange) = self.exchange.take() {
                        exchange.close_broken();
                    }
                    self.progress.answer.stream_position = Some(self.buffer.position());
                    self.progress.on_attempt_failed(reason);
                    if let Err(not_resumed) = self.resume().await {
                        self.progress.on_stream_broken_off(&not_resumed);
                        return Err(BodyError::Broken);
                    }
                }
            }
        }
    }

    fn finish(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            let status = exchange.status;
            exchange.complete(&self.gateway, status.is_success());
            self.progress.on_answer_delivered(status.as_u16());
        }
    }

    async fn step(&mut self) -> RelayStep {
        loop {
            if let Some(bytes) = self.take_ready() {
                return RelayStep::Pass(bytes);
            }
            if self.buffer.partial_bytes() > EVENT_MAX_BYTES {
                return RelayStep::Broken("an event is too long".to_owned());
            }
            let (remaining, stalls_in) = self.time_left();
            if remaining.is_zero() {
                return RelayStep::Broken("no event before the deadline".to_owned());
            }
            if stalls_in.is_zero() && self.has_alternative() {
                let silent_ms = self
                    .gateway
                    .now()
                    .saturating_sub(self.last_event_at)
                    .as_millis();
                self.progress.answer.silent_ms = Some(silent_ms as u64);
                return RelayStep::Broken(format!("no event for {silent_ms} ms"));
            }
            let limit = if stalls_in.is_zero() {
                remaining.min(STALL_TIMEOUT)
            } else {
                remaining.min(stalls_in)
            };
            let Some(exchange) = &mut self.exchange else {
                return RelayStep::Broken("no server can continue the stream".to_owned());
            };
            match timeout(limit, next_data(exchange)).await {
                // Not necessarily the deadline: the loop checks the times again.
                Err(_) => {}
                Ok(Err(reason)) => return RelayStep::Broken(reason),
                Ok(Ok(None)) => {
                    return match self.buffer.check_end(exchange.framing) {
                        Ok(()) => self
                            .buffer
                            .take_rest()
                            .map_or(RelayStep::End, RelayStep::Pass),
                        Err(truncated) => RelayStep::Broken(truncated.to_string()),
                    };
                }
                Ok(Ok(Some(bytes))) => self.buffer.push(bytes),
            }
        }
    }

    /// Returns the time until the request's deadline, and until the stream counts as stalled.
    fn time_left(&self) -> (Duration, Duration) {
        let now = self.gateway.now();
        let remaining = self.routed.remaining(now);
        let stalls_in = if self.buffer.is_resumable() {
            (self.last_event_at + STALL_TIMEOUT).saturating_sub(now)
        } else {
            remaining
        };
        (remaining, stalls_in)
    }

    /// Returns whether the stream could be resumed at another server. If not, a stalled stream is
    /// kept, since a slow server is better than none.
    fn has_alternative(&self) -> bool {
        let error = AttemptError::OutcomeUnknown(String::new());
        let (sent_count, connect_failures) =
            (self.progress.sent_count, self.progress.connect_failures);
        let is_allowed = self.policy.allows(&error, sent_count, connect_failures);
        is_allowed
            && self.gateway.has_retry_budget(&self.routed.service.name)
            && has_alternative(&self.gateway, &self.routed, &self.progress)
    }

    /// Takes the bytes that can be passed on.
    fn take_ready(&mut self) -> Option<Bytes> {
        let ready = self.buffer.take_ready()?;
        let last_event_id = ready.last_event_id.or(self.last_event_id);
        if last_event_id != self.last_event_id {
            // Comments carry no identifier and do not count as progress.
            self.last_event_at = self.gateway.now();
        }
        self.last_event_id = last_event_id;
        Some(ready.bytes)
    }

    /// Resumes the stream at another server. Returns why that failed otherwise.
    async fn resume(&mut self) -> Result<(), String> {
        if !self.buffer.is_resumable() {
            return Err("the stream cannot be resumed".to_owned());
        }
        self.buffer.restart();
        let mut error = AttemptError::OutcomeUnknown("the stream broke".to_owned());
        loop {
            let decision =
                self.policy
                    .decide(&self.gateway, &self.routed, &mut self.progress, &error);
            if let RetryDecision::Fail(reason, _) = decision {
                return Err(format!("{}: {}", error.describe(), reason.describe()));
            }
            let options = AttemptOptions {
                resume_after: self.last_event_id,
                head_timeout: self.routed.remaining(self.gateway.now()),
            };
            let result = attempt(&self.gateway, &self.routed, &mut self.progress, options);
            error = match result.await {
                Ok(exchange) if exchange.status == StatusCode::OK => {
                    self.gateway.metrics.count("streams_resumed");
                    self.last_event_at = self.gateway.now();
                    self.exchange = Some(exchange);
                    return Ok(());
                }
                Ok(exchange) => AttemptError::ServerFailed(exchange.status.as_u16()),
                Err(error) => error,
            };
            if !error.is_before_attempt() {
                self.progress.on_attempt_failed(error.describe());
            }
        }
    }
}
