//! Exchanges one request and its answer on a pooled or a newly opened connection.

use crate::connection::Connection;
use crate::error::{TransportCause, TransportError};
use crate::pool::Pool;
use crate::silence::SilenceSignal;
use anvilgw_core::{Stage, is_chunked, is_final_status};
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use http::header::{HOST, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body::Body as _;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Header of the W3C trace context.
const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Options of one exchange with a server.
#[derive(Clone, Debug, Default)]
pub struct CallOptions {
    /// Value of the `traceparent` header. `None` leaves the headers of the call as they are.
    pub traceparent: Option<HeaderValue>,
    /// Longest time in which no byte is sent or received. Defaults to
    /// [`ConnectionSettings::silence_ms`](crate::ConnectionSettings::silence_ms).
    pub silence_timeout: Option<Duration>,
    /// Reports a silent connection. The exchange then goes on until its time limit; without a
    /// signal, it fails when its connection falls silent.
    pub silence_signal: Option<SilenceSignal>,
    /// Longest duration of the exchange, from opening a connection (if none is open yet) to the
    /// last byte of the answer. Unlimited by default.
    pub time_limit: Option<Duration>,
    /// Opens a new connection instead of reusing an idle one. If the peer of an idle connection is
    /// gone without having closed it, the outcome of the call remains unknown.
    pub fresh_connection: bool,
}

/// Time limits of an exchange. [`Limits::run`] applies them to each wait.
#[derive(Clone, Debug)]
struct Limits {
    silence: Duration,
    silence_signal: Option<SilenceSignal>,
    deadline: Option<Instant>,
}

/// The limit that ended a wait before its result.
enum Expired {
    Silent,
    TimedOut,
}

impl Limits {
    /// Waits for `wait` until the connection has been silent for too long or the deadline passes.
    async fn run<T>(
        &self,
        pool: &Pool,
        connection: &Connection,
        wait: impl Future<Output = T>,
    ) -> Result<T, Expired> {
        self.report_silence(false);
        let mut wait = pin!(wait);
        let silent = connection
            .progress
            .until_silent(Instant::now(), self.silence);
        let mut timed_out = pin!(self.until_deadline());
        tokio::select! {
            biased;
            result = &mut wait => return Ok(result),
            () = &mut timed_out => return Err(Expired::TimedOut),
            () = silent => {}
        }
        pool.record_silent_connection();
        if self.silence_signal.is_none() {
            return Err(Expired::Silent);
        }
        self.report_silence(true);
        tokio::select! {
            biased;
            result = wait => {
                self.report_silence(false);
                Ok(result)
            }
            () = timed_out => Err(Expired::TimedOut),
        }
    }

    async fn until_deadline(&self) {
        match self.deadline {
            Some(deadline) => sleep_until(deadline).await,
            None => std::future::pending().await,
        }
    }

    fn report_silence(&self, is_silent: bool) {
        if let Some(signal) = &self.silence_signal {
            signal.set(is_silent);
        }
    }

    fn cause(&self, expired: &Expired) -> TransportCause {
        match expired {
            Expired::Silent => TransportCause::Silent(self.silence.as_millis() as u64),
            Expired::TimedOut => TransportCause::TimedOut,
        }
    }
}

/// Head of an answer, with the body still to be read.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: AnswerBody,
}

/// Body of an answer, read from the connection on demand. Dropping it before its end closes the
/// connection, which cancels the request at the server.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    incoming: Incoming,
    connection: Option<Connection>,
    pool: Arc<Pool>,
    limits: Limits,
    stage: Stage,
}

/// Failure to send a request or to receive the head of its answer.
struct SendError {
    error: TransportError,
    /// The request, if no byte of it was written and it can be sent on another connection.
    unsent: Option<Request<Full<Bytes>>>,
}

impl From<TransportError> for SendError {
    fn from(error: TransportError) -> Self {
        Self {
            error,
            unsent: None,
        }
    }
}

impl Pool {
    /// Sends a request and waits for the head of the answer. If an idle connection turns out to be
    /// closed before a byte was written, the request is sent on a new connection.
    pub(crate) async fn exchange(
        self: &Arc<Self>,
        mut request: Request<Full<Bytes>>,
        options: &CallOptions,
    ) -> Result<Answer, TransportError> {
        self.set_headers(&mut request, options);
        let limits = self.limits(options);
        let mut connection = self.connect(options, limits.deadline).await?;
        loop {
            let was_used = connection.progress.written_bytes() > 0;
            match self.send_on(connection, limits.clone(), request).await {
                Ok(answer) => return Ok(answer),
                // The server closed the idle connection before a byte of the request was written.
                Err(SendError {
                    unsent: Some(message),
                    ..
                }) if was_used => {
                    request = message;
                    connection = self
                        .connect(&with_fresh_connection(options), limits.deadline)
                        .await?;
                }
                Err(send_error) => return Err(send_error.error),
            }
        }
    }

    /// Opens a new connection, to be used by one [`Pool::exchange_on`].
    pub(crate) async fn open_connection(
        &self,
        time_limit: Option<Duration>,
    ) -> Result<Connection, TransportError> {
        let options = CallOptions {
            fresh_connection: true,
            ..CallOptions::default()
        };
        let deadline = time_limit.map(|limit| Instant::now() + limit);
        self.connect(&options, deadline).await
    }

    /// Sends a request on an open connection and waits for the head of the answer. The request is
    /// never sent again on another connection.
    pub(crate) async fn exchange_on(
        self: &Arc<Self>,
        connection: Connection,
        mut request: Request<Full<Bytes>>,
        options: &CallOptions,
    ) -> Result<Answer, TransportError> {
        self.set_headers(&mut request, options);
        let sent = self.send_on(connection, self.limits(options), request);
        sent.await.map_err(|send_error| send_error.error)
    }

    async fn send_on(
        self: &Arc<Self>,
        mut connection: Connection,
        limits: Limits,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, SendError> {
        let written_before = connection.progress.written_bytes();
        let sent = connection.sender.try_send_request(request).boxed();
        match limits.run(self, &connection, sent).await {
            Ok(Ok(response)) => {
                let (parts, incoming) = response.into_parts();
                let answer = check_head(self, connection, limits, parts, incoming).await;
                answer.map_err(SendError::from)
            }
            Ok(Err(mut error)) => {
                let unsent = error.take_message();
                let detail = error.into_error().to_string();
                let is_unsent = connection.close().await == written_before;
                Err(SendError {
                    error: failed_exchange(TransportCause::Closed(detail), is_unsent),
                    unsent: unsent.filter(|_| is_unsent),
                })
            }
            Err(expired) => {
                let is_unsent = connection.close().await == written_before;
                Err(failed_exchange(limits.cause(&expired), is_unsent).into())
            }
        }
    }

    fn limits(&self, options: &CallOptions) -> Limits {
        let silence = Duration::from_millis(self.settings().silence_ms);
        Limits {
            silence: options.silence_timeout.unwrap_or(silence),
            silence_signal: options.silence_signal.clone(),
            deadline: options.time_limit.map(|limit| Instant::now() + limit),
        }
    }

    fn set_headers(&self, request: &mut Request<Full<Bytes>>, options: &CallOptions) {
        let host = HeaderValue::try_from(self.addr().to_string())
            .expect("a socket address is a valid header value");
        request.headers_mut().insert(HOST, host);
        if let Some(traceparent) = &options.traceparent {
            request
                .headers_mut()
                .insert(TRACEPARENT, traceparent.clone());
        }
    }

    async fn connect(
        &self,
        options: &CallOptions,
        deadline: Option<Instant>,
    ) -> Result<Connection, TransportError> {
        let take = self.take_or_open(options.fresh_connection);
        match deadline {
            Some(deadline) => tokio::time::timeout_at(deadline, take).await.unwrap_or(Err(
                TransportError::Failed(TransportCause::TimedOut, Stage::Connecting),
            )),
            None => take.await,
        }
    }
}

fn with_fresh_connection(options: &CallOptions) -> CallOptions {
    CallOptions {
        fresh_connection: true,
        ..options.clone()
    }
}

/// Returns the error of an exchange that failed before the head of its answer.
fn failed_exchange(cause: TransportCause, is_unsent: bool) -> TransportError {
    let stage = match cause {
        _ if is_unsent => Stage::Connecting,
        TransportCause::TimedOut => Stage::Written,
        _ => Stage::AnswerLost,
    };
    TransportError::Failed(cause, stage)
}

/// Rejects an answer with a status that no final answer has, and one with neither `content-length` nor
/// chunked encoding: its end could not be distinguished from a broken connection.
async fn check_head(
    pool: &Arc<Pool>,
    connection: Connection,
    limits: Limits,
    parts: http::response::Parts,
    incoming: Incoming,
) -> Result<Answer, TransportError> {
    let status = parts.status.as_u16();
    if !is_final_status(status) {
        connection.close().await;
        let cause = TransportCause::InvalidStatus(status);
        return Err(TransportError::Failed(cause, Stage::AnswerLost));
    }
    // An error status may come from an intermediary that did not forward the request, so it does
    // not prove that the request was executed.
    let stage = if status < 400 {
        Stage::AnswerStarted
    } else {
        Stage::AnswerLost
    };
    let is_framed = incoming.size_hint().exact().is_some() || has_chunks(&parts.headers);
    if !is_framed {
        connection.close().await;
        let cause =
            TransportCause::Truncated("neither content-length nor chunked encoding".to_owned());
        return Err(TransportError::Failed(cause, stage));
    }
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body: AnswerBody {
            incoming,
            connection: Some(connection),
            pool: Arc::clone(pool),
            limits,
            stage,
        },
    })
}

fn has_chunks(headers: &HeaderMap) -> bool {
    let last_value = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let codings = last_value.and_then(|value| value.to_str().ok());
    codings.is_some_and(is_chunked)
}

impl AnswerBody {
    /// Reads the next part of the body. Returns `None` once the body is complete according to its
    /// framing; the connection is then returned to the pool.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, TransportError> {
        loop {
            let Some(connection) = &self.connection else {
                return Ok(None);
            };
            let frame = self.incoming.frame();
            let frame = self.limits.run(&self.pool, connection, frame).await;
            match frame {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Ok(Some(Err(error))) => {
                    self.connection = None;
                    return Err(self.body_error(TransportCause::Truncated(error.to_string())));
                }
                Ok(None) => {
                    if let Some(connection) = self.connection.take() {
                        self.pool.return_connection(connection);
                    }
                    return Ok(None);
                }
                Err(expired) => {
                    self.connection = None;
                    return Err(self.body_error(self.limits.cause(&expired)));
                }
            }
        }
    }

    /// Reads the rest of the body, up to
    /// [`ConnectionSettings::max_answer_bytes`](crate::ConnectionSettings::max_answer_bytes).
    pub(crate) async fn collect(mut self) -> Result<Bytes, TransportError> {
        let limit = self.pool.settings().max_answer_bytes;
        let mut all = BytesMut::new();
        while let Some(data) = self.next().await? {
            if all.len() + data.len() > limit {
                return Err(self.body_error(TransportCause::TooLarge(limit)));
            }
            all.extend_from_slice(&data);
        }
        Ok(all.freeze())
    }

    fn body_error(&self, cause: TransportCause) -> TransportError {
        TransportError::Failed(cause, self.stage)
    }
}

/// Builds a request. A path that is not a valid URI is reported at [`Stage::Connecting`].
pub(crate) fn build_request(
    method: Method,
    path_and_query: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, TransportError> {
    Request::builder()
        .method(method)
        .uri(path_and_query)
        .body(Full::new(body))
        .map_err(|error| {
            TransportError::Failed(
                TransportCause::Invalid(error.to_string()),
                Stage::Connecting,
            )
        })
}
