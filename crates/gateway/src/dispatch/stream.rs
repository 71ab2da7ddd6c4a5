//! Requests whose answer is a stream of events.
//!
//! A stream that can be resumed is passed on event by event, so that after a break another server
//! continues after the last event that the client has. Any other stream is passed on as it arrives,
//! and a break ends the client's connection without the end of the body.

use super::attempt::{AttemptOptions, Exchange, attempt};
use super::call::Call;
use super::progress::Progress;
use super::retries::with_retries;
use super::target::has_alternative;
use crate::answer::{AnswerBody, BodyError, full_body, refuse};
use crate::configuration::RouteKind;
use crate::gateway::Gateway;
use crate::retry::{AttemptError, RetryDecision, RetryPolicy};
use crate::sse::EventSplitter;
use anvilgw_core::Failure;
use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http::{HeaderMap, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Time without an event after which a stream that can be resumed is resumed elsewhere. Callers
/// abandon a stream after a gap of two seconds or more.
const STALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest event. A server that sends more bytes without the end of an event is out of order.
const EVENT_MAX_BYTES: usize = 256 * 1024;

/// Serves a request and returns the stream, or a failure.
pub(crate) async fn serve_stream(gateway: &Rc<Gateway>, call: Call) -> Response<AnswerBody> {
    let mut progress = Progress::new(gateway, &call);
    gateway.on_first_attempt(&call.service.name);
    if let Some(prompt) = &call.meta.prompt {
        let admission = &mut gateway.state.borrow_mut().admission;
        admission.on_request(&call.route.name, prompt.footprint_tokens());
    }
    match open_stream(gateway, &call, &mut progress).await {
        Ok(opened) => opened.into_response(gateway, call, progress),
        Err(failure) => {
            progress.on_failed(&failure);
            refuse(gateway, &call.meta.id, &failure)
        }
    }
}

/// A stream of which the first bytes, or the end, were received.
struct Opened {
    exchange: Exchange,
    first: Option<Bytes>,
}

impl Opened {
    fn into_response(
        mut self,
        gateway: &Rc<Gateway>,
        call: Call,
        mut progress: Progress,
    ) -> Response<AnswerBody> {
        let status = self.exchange.status;
        let server_headers: HeaderMap = std::mem::take(&mut self.exchange.headers);
        let headers = gateway.ports.codec.pass_answer(&server_headers);
        let body = match self.first {
            None => {
                self.exchange.complete(gateway, status.is_success());
                progress.on_answered(status.as_u16());
                full_body(Bytes::new())
            }
            Some(first) => {
                progress.on_first_event();
                note_computing(gateway, &call);
                let relay = Relay::new(gateway, call, progress, self.exchange, &first);
                relay.into_body()
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }
}

/// Learns from the time to the first event how fast engines compute. Shared parts may have been held or
/// read, so the tokens of the request alone are the least that was computed.
fn note_computing(gateway: &Gateway, call: &Call) {
    let Some(prompt) = &call.meta.prompt else {
        return;
    };
    let elapsed = gateway.now().saturating_sub(call.arrived);
    let rates = &mut gateway.state.borrow_mut().computing_rates;
    let rate = rates.entry(call.service.name.clone()).or_default();
    rate.on_first_event(prompt.unshared_tokens(), elapsed);
}

async fn open_stream(
    gateway: &Rc<Gateway>,
    call: &Call,
    progress: &mut Progress,
) -> Result<Opened, Failure> {
    let policy = RetryPolicy::new(call.route.kind, call.route.attempts_max);
    let read = async |progress: &Progress, exchange: Exchange, limit: Duration| {
        let opened = first_bytes(exchange, limit).await?;
        if may_retry_status(&opened, policy, progress) {
            return Err(AttemptError::ServerFailed(opened.exchange.status.as_u16()));
        }
        Ok(opened)
    };
    with_retries(gateway, call, progress, read).await
}

fn may_retry_status(opened: &Opened, policy: RetryPolicy, progress: &Progress) -> bool {
    let status = opened.exchange.status;
    let cause = AttemptError::ServerFailed(status.as_u16());
    status.is_server_error() && policy.allows(&cause, progress.sent, progress.connect_failures)
}

async fn first_bytes(mut exchange: Exchange, limit: Duration) -> Result<Opened, AttemptError> {
    match timeout(limit, next_data(&mut exchange)).await {
        Ok(Ok(first)) => Ok(Opened { exchange, first }),
        Ok(Err(reason)) => {
            exchange.broken();
            Err(AttemptError::OutcomeUnknown(reason))
        }
        Err(_) => {
            exchange.timed_out();
            Err(AttemptError::OutcomeUnknown("no event in time".to_owned()))
        }
    }
}

/// The next bytes of an answer, or `None` at its end.
async fn next_data(exchange: &mut Exchange) -> Result<Option<Bytes>, String> {
    loop {
        match exchange.body.frame().await {
            None => return Ok(None),
            Some(Err(error)) => return Err(format!("the stream was cut: {error}")),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) if data.is_empty() => {}
                Ok(data) => return Ok(Some(data)),
                Err(_trailers) => {}
            },
        }
    }
}

/// What a relay does next.
enum Step {
    Pass(Bytes),
    End,
    Broken(String),
}

/// Passes a stream on to the client.
struct Relay {
    gateway: Rc<Gateway>,
    call: Call,
    progress: Progress,
    policy: RetryPolicy,
    exchange: Option<Exchange>,
    splitter: Option<EventSplitter>,
    last_event: Option<u64>,
    /// When the last event was received.
    event_at: Duration,
    pending: Option<Bytes>,
}

impl Relay {
    fn new(
        gateway: &Rc<Gateway>,
        call: Call,
        progress: Progress,
        exchange: Exchange,
        first: &Bytes,
    ) -> Self {
        let kind = call.route.kind;
        let is_resumable =
            kind == RouteKind::Stream { resumable: true } && exchange.status == StatusCode::OK;
        let mut splitter = is_resumable.then(EventSplitter::default);
        let pending = match &mut splitter {
            Some(splitter) => {
                splitter.push(first);
                None
            }
            None => Some(first.clone()),
        };
        Self {
            gateway: Rc::clone(gateway),
            policy: RetryPolicy::new(kind, call.route.attempts_max),
            last_event: call.meta.resume_after,
            event_at: gateway.now(),
            call,
            progress,
            exchange: Some(exchange),
            splitter,
            pending,
        }
    }

    fn into_body(self) -> AnswerBody {
        let frames = stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        });
        Box::pin(StreamBody::new(Box::pin(frames)))
    }

    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.step().await {
                Step::Pass(bytes) => return Ok(Some(bytes)),
                Step::End => {
                    self.finish();
                    return Ok(None);
                }
                Step::Broken(reason) => {
                    if let Some(exchange) = self.exchange.take() {
                        exchange.broken();
                    }
                    self.progress.on_failed_attempt(reason);
                    if !self.resume().await {
                        self.progress.on_broken_off();
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
            self.progress.on_answered(status.as_u16());
        }
    }

    async fn step(&mut self) -> Step {
        loop {
            if let Some(bytes) = self.take_ready() {
                return Step::Pass(bytes);
            }
            if self.is_event_too_long() {
                return Step::Broken("an event has no end".to_owned());
            }
            let (remaining, stalls_in) = self.time_left();
            if remaining.is_zero() || (stalls_in.is_zero() && self.has_alternative()) {
                return Step::Broken("no event in time".to_owned());
            }
            let limit = if stalls_in.is_zero() {
                remaining.min(STALL_TIMEOUT)
            } else {
                remaining.min(stalls_in)
            };
            let Some(exchange) = &mut self.exchange else {
                return Step::Broken("no server continues the stream".to_owned());
            };
            match timeout(limit, next_data(exchange)).await {
                // The times are looked at again.
                Err(_) => {}
                Ok(Err(reason)) => return Step::Broken(reason),
                Ok(Ok(None)) => return self.at_end(),
                Ok(Ok(Some(bytes))) => match &mut self.splitter {
                    Some(splitter) => splitter.push(&bytes),
                    None => self.pending = Some(bytes),
                },
            }
        }
    }

    fn is_event_too_long(&self) -> bool {
        let partial_bytes = self.splitter.as_ref().map(EventSplitter::partial_bytes);
        partial_bytes.is_some_and(|bytes| bytes > EVENT_MAX_BYTES)
    }

    /// Time until the request ends, and until the stream counts as stalled.
    fn time_left(&self) -> (Duration, Duration) {
        let now = self.gateway.now();
        let remaining = self.call.remaining(now);
        let stalls_in = if self.splitter.is_some() {
            (self.event_at + STALL_TIMEOUT).saturating_sub(now)
        } else {
            remaining
        };
        (remaining, stalls_in)
    }

    /// Whether the stream could go on at another server. A slow server is better than none.
    fn has_alternative(&self) -> bool {
        let cause = AttemptError::OutcomeUnknown(String::new());
        let (sent, connect_failures) = (self.progress.sent, self.progress.connect_failures);
        let is_allowed = self.policy.allows(&cause, sent, connect_failures);
        is_allowed
            && self.gateway.has_retry(&self.call.service.name)
            && has_alternative(&self.gateway, &self.call, &self.progress)
    }

    fn at_end(&self) -> Step {
        let has_partial = self
            .splitter
            .as_ref()
            .is_some_and(EventSplitter::has_partial_event);
        if has_partial {
            return Step::Broken("the stream ended within an event".to_owned());
        }
        Step::End
    }

    /// Bytes that can be passed on: all complete events, or what was received.
    fn take_ready(&mut self) -> Option<Bytes> {
        let Some(splitter) = &mut self.splitter else {
            return self.pending.take();
        };
        let known_event = self.last_event;
        let first = splitter.next_event()?;
        self.last_event = first.id.or(self.last_event);
        let mut bytes = first.bytes;
        if let Some(second) = splitter.next_event() {
            let mut joined = BytesMut::from(bytes.as_ref());
            let mut next = Some(second);
            while let Some(event) = next {
                joined.extend_from_slice(&event.bytes);
                self.last_event = event.id.or(self.last_event);
                next = splitter.next_event();
            }
            bytes = joined.freeze();
        }
        if self.last_event != known_event {
            // Comments alone are no progress.
            self.event_at = self.gateway.now();
        }
        Some(bytes)
    }

    /// Continues the stream at another server.
    async fn resume(&mut self) -> bool {
        if self.splitter.is_none() {
            return false;
        }
        self.splitter = Some(EventSplitter::default());
        let mut cause = AttemptError::OutcomeUnknown("the stream broke".to_owned());
        loop {
            let verdict = self
                .policy
                .decide(&self.gateway, &self.call, &mut self.progress, &cause);
            if let RetryDecision::Fail(_) = verdict {
                return false;
            }
            let options = AttemptOptions {
                resume_after: self.last_event,
                head_limit: self.call.remaining(self.gateway.now()),
            };
            let result = attempt(&self.gateway, &self.call, &mut self.progress, options);
            cause = match result.await {
                Ok(exchange) if exchange.status == StatusCode::OK => {
                    self.gateway.metrics.count("streams_resumed");
                    self.event_at = self.gateway.now();
                    self.exchange = Some(exchange);
                    return true;
                }
                Ok(exchange) => AttemptError::ServerFailed(exchange.status.as_u16()),
                Err(cause) => cause,
            };
            self.progress.on_failed_attempt(cause.describe());
        }
    }
}
