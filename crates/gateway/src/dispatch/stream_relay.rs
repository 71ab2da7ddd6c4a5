//! Passes the events of a stream on to the client.
//!
//! A resumable stream is passed on event by event, so that another server can continue it after the
//! last event that the client has, when it breaks or stalls. Any other stream is passed on as it
//! arrives. When a stream breaks and cannot be resumed, the client's connection is closed without
//! the end of the body.

use super::attempt::{Attempt, Exchange};
use super::attempt_state::AttemptState;
use super::overlap::{Overlap, overlap};
use super::progress::Progress;
use super::retries::{
    NOT_ACCEPTED_PAUSE, on_not_accepted, return_unsent_retry, take_overlapping_retry,
};
use super::routed_request::RoutedRequest;
use super::stream_buffer::{StreamBuffer, TruncatedStream};
use crate::answer::{AnswerBody, BodyError};
use crate::body_memory::BodyReservation;
use crate::connection::describe;
use crate::gateway::Gateway;
use crate::retry::{AttemptError, RetryDecision, RetryPolicy};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt, stream};
use http::StatusCode;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use quick_error::quick_error;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Time without an event after which another server is asked to continue a resumable stream.
/// Clients abandon a stream after a gap of two seconds or more.
const STALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest event. A server that sends more bytes without the end of an event is treated as broken.
const EVENT_MAX_BYTES: usize = 256 * 1024;
/// Bytes of a stream that take up no memory of their own in the account: the usual events are
/// smaller, and the connection's part covers them.
const UNCOUNTED_BYTES: usize = 16 * 1024;
/// A stream's bytes are held by the server's connection and by the client's.
const HOLDERS: usize = 2;

quick_error! {
    /// Why a stream can be received no further from its server.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum StreamError {
        /// The connection ended with an error.
        Cut(reason: String) {
            display("the stream was cut: {}", reason)
        }
        /// The stream ended, but not after an event.
        Truncated(error: TruncatedStream) {
            display("{}", error)
            from()
        }
        /// An event is longer than [`EVENT_MAX_BYTES`].
        EventTooLong {
            display("an event is too long")
        }
        /// The server has not begun with the request while its weights may serve new ones.
        NotBegun {
            display("not begun before the time of the weights was over")
        }
        /// The request's deadline has passed.
        DeadlineExceeded {
            display("no event before the deadline")
        }
    }
}

/// Returns the next bytes of an answer, or `None` at its end. Empty frames and trailers are
/// skipped.
pub(super) async fn next_data(exchange: &mut Exchange) -> Result<Option<Bytes>, StreamError> {
    loop {
        let time_to_begin = exchange.time_to_begin();
        let frame = exchange.body.frame();
        let frame = match time_to_begin {
            Some(time) => timeout(time, frame)
                .await
                .map_err(|_| StreamError::NotBegun)?,
            None => frame.await,
        };
        match frame {
            None => return Ok(None),
            Some(Err(error)) => return Err(StreamError::Cut(describe(&error))),
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

/// Closes the connection of a stream that cannot be received further, and records the failure for
/// its server.
pub(super) fn close_after(exchange: Exchange, error: &StreamError) {
    match error {
        StreamError::DeadlineExceeded => exchange.close_timed_out(),
        // The server may be sound: its queue is long.
        StreamError::NotBegun => drop(exchange),
        StreamError::Cut(_) | StreamError::Truncated(_) | StreamError::EventTooLong => {
            exchange.close_broken();
        }
    }
}

/// Receives the events of a stream.
struct EventReader {
    buffer: StreamBuffer,
    /// Identifier of the last event that was received completely.
    last_event_id: Option<u64>,
}

impl EventReader {
    /// Receives the next bytes that can be passed on, or `None` at the end of the stream. Nothing is
    /// lost if the future is dropped.
    async fn next(&mut self, exchange: &mut Exchange) -> Result<Option<Bytes>, StreamError> {
        loop {
            if let Some(bytes) = self.take_ready() {
                return Ok(Some(bytes));
            }
            if self.buffer.partial_bytes() > EVENT_MAX_BYTES {
                return Err(StreamError::EventTooLong);
            }
            match next_data(exchange).await? {
                Some(bytes) => self.buffer.push(bytes),
                None => {
                    self.buffer.check_end(exchange.framing)?;
                    return Ok(self.buffer.take_rest());
                }
            }
        }
    }

    /// Receives until there is an event with a new identifier, or the end of the stream. Comments
    /// carry no identifier. Appends what can be passed on to `received`.
    async fn next_event(
        &mut self,
        exchange: &mut Exchange,
        received: &mut BytesMut,
    ) -> Result<(), StreamError> {
        let last_event_id = self.last_event_id;
        while self.last_event_id == last_event_id {
            match self.next(exchange).await? {
                Some(bytes) => received.extend_from_slice(&bytes),
                None => break,
            }
        }
        Ok(())
    }

    fn take_ready(&mut self) -> Option<Bytes> {
        let ready = self.buffer.take_ready()?;
        self.last_event_id = ready.last_event_id.or(self.last_event_id);
        Some(ready.bytes)
    }
}

/// What a [`StreamRelay`] does next.
enum RelayStep {
    Pass(Bytes),
    End,
    /// The stream makes no progress, so that another server should continue it.
    Stalled,
}

/// Passes a stream on to the client, and lets other servers continue it.
pub(super) struct StreamRelay {
    gateway: Rc<Gateway>,
    routed: RoutedRequest,
    progress: RefCell<Progress>,
    policy: RetryPolicy,
    exchange: Option<Exchange>,
    reader: EventReader,
    /// Received bytes that are passed on next.
    received: BytesMut,
    memory: BodyReservation,
    /// Largest number of bytes at once that `memory` covers.
    covered_bytes: usize,
    /// When the last event with a new identifier was received, or the stream was resumed.
    last_event_at: Duration,
    /// When another server is asked to continue the stream.
    ask_another_at: Duration,
}

impl StreamRelay {
    pub(super) fn new(
        gateway: &Rc<Gateway>,
        routed: RoutedRequest,
        progress: Progress,
        exchange: Exchange,
        buffer: StreamBuffer,
    ) -> Self {
        let now = gateway.now();
        Self {
            gateway: Rc::clone(gateway),
            memory: routed.body_memory.connection().reserve(),
            covered_bytes: UNCOUNTED_BYTES,
            policy: RetryPolicy::new(routed.route.kind, routed.route.attempts_max),
            reader: EventReader {
                buffer,
                last_event_id: routed.meta.resume_after,
            },
            routed,
            progress: RefCell::new(progress),
            exchange: Some(exchange),
            received: BytesMut::new(),
            last_event_at: now,
            ask_another_at: now + STALL_TIMEOUT,
        }
    }

    pub(super) fn into_body(self) -> AnswerBody {
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
            if !self.received.is_empty() {
                return Ok(Some(self.received.split().freeze()));
            }
            let resumed = match self.step().await {
                Ok(RelayStep::Pass(bytes)) if self.cover(bytes.len()).await => {
                    return Ok(Some(bytes));
                }
                Ok(RelayStep::Pass(_)) => Err("not enough memory for the stream".to_owned()),
                Ok(RelayStep::End) => {
                    self.finish();
                    return Ok(None);
                }
                Ok(RelayStep::Stalled) => self.ask_another().await,
                Err(error) => {
                    self.on_broken(&error);
                    self.resume(AttemptError::OutcomeUnknown("the stream broke".to_owned()))
                        .await
                }
            };
            if let Err(not_resumed) = resumed {
                self.progress
                    .borrow_mut()
                    .on_stream_broken_off(&not_resumed);
                return Err(BodyError::Broken);
            }
        }
    }

    /// Reserves memory for bytes that are more than any before. Returns `false` if there is none.
    async fn cover(&mut self, bytes: usize) -> bool {
        if bytes <= self.covered_bytes {
            return true;
        }
        let needed = (bytes - self.covered_bytes) * HOLDERS;
        let is_covered = self.memory.grow(needed as u64).await;
        if is_covered {
            self.covered_bytes = bytes;
        }
        is_covered
    }

    fn finish(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            let status = exchange.status;
            exchange.complete(&self.gateway, status.is_success());
            self.progress
                .borrow_mut()
                .on_answer_delivered(status.as_u16());
        }
    }

    async fn step(&mut self) -> Result<RelayStep, StreamError> {
        if let Some(bytes) = self.reader.take_ready() {
            self.on_event();
            return Ok(RelayStep::Pass(bytes));
        }
        let now = self.gateway.now();
        let remaining = self.routed.remaining(now);
        if remaining.is_zero() {
            return Err(StreamError::DeadlineExceeded);
        }
        let limit = if self.reader.buffer.is_resumable() {
            remaining.min(self.ask_another_at.saturating_sub(now))
        } else {
            remaining
        };
        let Some(exchange) = &mut self.exchange else {
            return Err(StreamError::Cut("no server sends it".to_owned()));
        };
        let last_event_id = self.reader.last_event_id;
        match timeout(limit, self.reader.next(exchange)).await {
            Err(_) if limit < remaining => Ok(RelayStep::Stalled),
            Err(_) => Err(StreamError::DeadlineExceeded),
            Ok(Err(error)) => Err(error),
            Ok(Ok(None)) => Ok(RelayStep::End),
            Ok(Ok(Some(bytes))) => {
                if self.reader.last_event_id != last_event_id {
                    self.on_event();
                }
                Ok(RelayStep::Pass(bytes))
            }
        }
    }

    /// Records that the stream has made progress.
    fn on_event(&mut self) {
        let now = self.gateway.now();
        self.last_event_at = now;
        self.ask_another_at = now + STALL_TIMEOUT;
    }

    /// Records that the stream broke at its server, and closes the connection.
    fn on_broken(&mut self, error: &StreamError) {
        let Some(exchange) = self.exchange.take() else {
            return;
        };
        let state = Rc::clone(exchange.state());
        close_after(exchange, error);
        state.record.borrow_mut().answer.stream_position = Some(self.reader.buffer.position());
        let progress = &mut self.progress.borrow_mut();
        progress.on_attempt_failed(&state, error.to_string());
    }

    /// Asks another server to continue a stalled stream. The stream goes on from the server that
    /// sends first; the stalled one stays connected until the other one has accepted the request.
    /// Returns why the stream cannot be resumed if it broke meanwhile.
    async fn ask_another(&mut self) -> Result<(), String> {
        self.ask_another_at = self.gateway.now() + NOT_ACCEPTED_PAUSE;
        let Some(exchange) = &mut self.exchange else {
            return Ok(());
        };
        if !take_overlapping_retry(&self.gateway, &self.routed, &self.progress, self.policy) {
            return Ok(());
        }
        let open_state = Rc::clone(exchange.state());
        let other_state = Rc::new(AttemptState::default());
        let last_event_id = self.reader.last_event_id;
        let open = self.reader.next_event(exchange, &mut self.received);
        let mut open = open.boxed_local().fuse();
        let other = request_rest(
            &self.gateway,
            &self.routed,
            &self.progress,
            Rc::clone(&other_state),
            last_event_id,
        );
        let outcome = overlap(&mut open, &open_state, other, &other_state).await;
        drop(open);
        match outcome {
            Overlap::OpenCompleted(()) => {
                return_unsent_retry(&self.gateway, &self.routed, &other_state);
                self.on_event();
            }
            Overlap::Replaced { open: None, other } => self.on_replaced(other, &open_state),
            Overlap::Replaced {
                open: Some(error),
                other,
            } => {
                self.on_broken(&error);
                self.on_resumed(other);
            }
            Overlap::NotAccepted(error) => {
                on_not_accepted(
                    &self.gateway,
                    &self.routed,
                    &self.progress,
                    &other_state,
                    error,
                );
                let progress = &mut self.progress.borrow_mut();
                progress.on_answering(&open_state.record.borrow());
            }
            Overlap::Failed { open, other } => {
                if let Some(error) = open {
                    self.on_broken(&error);
                }
                return self.resume(other).await;
            }
        }
        Ok(())
    }

    /// Continues the stream with the answer of another server than the one that stalled.
    fn on_replaced(&mut self, exchange: Exchange, stalled: &AttemptState) {
        let silent_ms = self
            .gateway
            .now()
            .saturating_sub(self.last_event_at)
            .as_millis();
        {
            let answer = &mut stalled.record.borrow_mut().answer;
            answer.silent_ms = Some(silent_ms as u64);
            answer.stream_position = Some(self.reader.buffer.position());
        }
        self.progress
            .borrow_mut()
            .on_attempt_failed(stalled, format!("no event for {silent_ms} ms"));
        self.on_resumed(exchange);
    }

    fn on_resumed(&mut self, exchange: Exchange) {
        self.gateway.metrics.count("streams_resumed");
        self.reader.buffer.restart();
        self.progress
            .borrow_mut()
            .on_answering(&exchange.state().record.borrow());
        self.exchange = Some(exchange);
        self.on_event();
    }

    /// Resumes the stream at another server after an attempt failed with `error`. Returns why that
    /// failed otherwise.
    async fn resume(&mut self, mut error: AttemptError) -> Result<(), String> {
        if !self.reader.buffer.is_resumable() {
            return Err("the stream cannot be resumed".to_owned());
        }
        loop {
            let decision = self.policy.decide(
                &self.gateway,
                &self.routed,
                &mut self.progress.borrow_mut(),
                &error,
            );
            if let RetryDecision::Fail(reason, _) = decision {
                return Err(format!("{}: {}", error.describe(), reason.describe()));
            }
            let rest = request_rest(
                &self.gateway,
                &self.routed,
                &self.progress,
                Rc::default(),
                self.reader.last_event_id,
            );
            match rest.await {
                Ok(exchange) => {
                    self.on_resumed(exchange);
                    return Ok(());
                }
                Err(failed) => error = failed,
            }
        }
    }
}

/// Requests the rest of a stream after an event, and logs a failure.
async fn request_rest(
    gateway: &Rc<Gateway>,
    routed: &RoutedRequest,
    progress: &RefCell<Progress>,
    state: Rc<AttemptState>,
    last_event_id: Option<u64>,
) -> Result<Exchange, AttemptError> {
    let shared = Rc::clone(&state);
    let attempt = Attempt::select(gateway, routed, progress, shared, last_event_id).await?;
    let error = match attempt.run().await {
        Ok(exchange) if exchange.status == StatusCode::OK => return Ok(exchange),
        Ok(exchange) => AttemptError::ServerFailed(exchange.status.as_u16()),
        Err(error) => error,
    };
    let progress = &mut progress.borrow_mut();
    progress.on_attempt_failed(&state, error.describe());
    Err(error)
}
