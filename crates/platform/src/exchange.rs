//! One request and its answer on a connection of a pool.

use crate::connection::Connection;
use crate::error::{TransportCause, TransportError};
use crate::pool::Pool;
use anvilgw_core::Stage;
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use http::header::{HOST, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body::Body as _;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Header that carries the trace context.
const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Options of one exchange.
#[derive(Clone, Debug, Default)]
pub struct CallOptions {
    /// Trace context, propagated as `traceparent`.
    pub traceparent: Option<HeaderValue>,
    /// Longest time without progress, if it differs from `silence_ms` of the connection.
    pub silence_timeout: Option<Duration>,
    /// Longest duration of the whole exchange.
    pub time_limit: Option<Duration>,
    /// Uses a new connection. An idle connection that has silently died would leave the outcome of
    /// the call unknown.
    pub fresh_connection: bool,
}

/// Limits that apply to each wait of an exchange.
#[derive(Clone, Copy, Debug)]
struct Limits {
    silence: Duration,
    end: Option<Instant>,
}

/// Why a wait ended without a result.
enum Expired {
    Silent,
    TimedOut,
}

impl Limits {
    async fn apply<T>(
        &self,
        connection: &Connection,
        wait: impl Future<Output = T>,
    ) -> Result<T, Expired> {
        let silent = connection
            .progress
            .until_silent(Instant::now(), self.silence);
        let timed_out = async {
            match self.end {
                Some(end) => sleep_until(end).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            result = wait => Ok(result),
            () = timed_out => Err(Expired::TimedOut),
            () = silent => Err(Expired::Silent),
        }
    }

    fn cause(&self, expired: &Expired) -> TransportCause {
        match expired {
            Expired::Silent => TransportCause::Silent(self.silence.as_millis() as u64),
            Expired::TimedOut => TransportCause::TimedOut,
        }
    }
}

/// An answer whose body has not been read yet.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: AnswerBody,
}

/// Body of an answer. Dropping it before its end closes the connection, which cancels the request.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    incoming: Incoming,
    connection: Option<Connection>,
    pool: Arc<Pool>,
    limits: Limits,
    stage: Stage,
}

/// An exchange without an answer.
struct Unanswered {
    error: TransportError,
    /// The request, if no byte of it was written.
    unsent: Option<Request<Full<Bytes>>>,
}

impl From<TransportError> for Unanswered {
    fn from(error: TransportError) -> Self {
        Self {
            error,
            unsent: None,
        }
    }
}

impl Pool {
    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn exchange(
        self: &Arc<Self>,
        mut request: Request<Full<Bytes>>,
        options: &CallOptions,
    ) -> Result<Answer, TransportError> {
        self.complete_headers(&mut request, options);
        let limits = self.limits(options);
        let mut connection = self.connect(options, limits.end).await?;
        loop {
            let was_used = connection.progress.written_bytes() > 0;
            match self.send_on(connection, limits, request).await {
                Ok(answer) => return Ok(answer),
                // The idle connection was closed by the server before anything was sent.
                Err(Unanswered {
                    unsent: Some(message),
                    ..
                }) if was_used => {
                    request = message;
                    connection = self.connect(&fresh(options), limits.end).await?;
                }
                Err(unanswered) => return Err(unanswered.error),
            }
        }
    }

    /// Opens a new connection for one exchange, which [`Pool::exchange_on`] makes.
    pub(crate) async fn open(
        &self,
        time_limit: Option<Duration>,
    ) -> Result<Connection, TransportError> {
        let options = CallOptions {
            fresh_connection: true,
            ..CallOptions::default()
        };
        let end = time_limit.map(|limit| Instant::now() + limit);
        self.connect(&options, end).await
    }

    /// Sends a request on an open connection and waits for the head of the answer. Nothing is
    /// repeated on another connection.
    pub(crate) async fn exchange_on(
        self: &Arc<Self>,
        connection: Connection,
        mut request: Request<Full<Bytes>>,
        options: &CallOptions,
    ) -> Result<Answer, TransportError> {
        self.complete_headers(&mut request, options);
        let sent = self.send_on(connection, self.limits(options), request);
        sent.await.map_err(|unanswered| unanswered.error)
    }

    async fn send_on(
        self: &Arc<Self>,
        mut connection: Connection,
        limits: Limits,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, Unanswered> {
        let written_before = connection.progress.written_bytes();
        let sent = connection.sender.try_send_request(request).boxed();
        match limits.apply(&connection, sent).await {
            Ok(Ok(response)) => {
                let (parts, incoming) = response.into_parts();
                let answer = check_framing(self, connection, limits, parts, incoming).await;
                answer.map_err(Unanswered::from)
            }
            Ok(Err(mut error)) => {
                let unsent = error.take_message();
                let detail = error.into_error().to_string();
                let is_unsent = connection.close().await == written_before;
                Err(Unanswered {
                    error: failed(TransportCause::Closed(detail), is_unsent),
                    unsent: unsent.filter(|_| is_unsent),
                })
            }
            Err(expired) => {
                if matches!(expired, Expired::Silent) {
                    self.went_silent();
                }
                let is_unsent = connection.close().await == written_before;
                Err(failed(limits.cause(&expired), is_unsent).into())
            }
        }
    }

    fn limits(&self, options: &CallOptions) -> Limits {
        let silence = Duration::from_millis(self.settings().silence_ms);
        Limits {
            silence: options.silence_timeout.unwrap_or(silence),
            end: options.time_limit.map(|limit| Instant::now() + limit),
        }
    }

    fn complete_headers(&self, request: &mut Request<Full<Bytes>>, options: &CallOptions) {
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
        end: Option<Instant>,
    ) -> Result<Connection, TransportError> {
        let take = self.take(options.fresh_connection);
        match end {
            Some(end) => {
                tokio::time::timeout_at(end, take)
                    .await
                    .unwrap_or(Err(TransportError::Failed(
                        TransportCause::TimedOut,
                        Stage::Connecting,
                    )))
            }
            None => take.await,
        }
    }
}

fn fresh(options: &CallOptions) -> CallOptions {
    CallOptions {
        fresh_connection: true,
        ..options.clone()
    }
}

fn failed(cause: TransportCause, is_unsent: bool) -> TransportError {
    let stage = match cause {
        _ if is_unsent => Stage::Connecting,
        TransportCause::TimedOut => Stage::Written,
        _ => Stage::AnswerLost,
    };
    TransportError::Failed(cause, stage)
}

/// Refuses an answer whose end could not be told from a broken connection.
async fn check_framing(
    pool: &Arc<Pool>,
    connection: Connection,
    limits: Limits,
    parts: http::response::Parts,
    incoming: Incoming,
) -> Result<Answer, TransportError> {
    // An error status may come from something that did not pass the request on, so it is no proof
    // of execution.
    let stage = if parts.status.as_u16() < 400 {
        Stage::AnswerStarted
    } else {
        Stage::AnswerLost
    };
    let is_framed =
        incoming.size_hint().exact().is_some() || parts.headers.contains_key(TRANSFER_ENCODING);
    if !is_framed {
        connection.close().await;
        let cause = TransportCause::Truncated("neither content-length nor chunks".to_owned());
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

impl AnswerBody {
    /// Reads the next part. `None` is the verified end, after which the connection is reused.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, TransportError> {
        loop {
            let Some(connection) = &self.connection else {
                return Ok(None);
            };
            let frame = self.limits.apply(connection, self.incoming.frame()).await;
            match frame {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Ok(Some(Err(error))) => {
                    self.connection = None;
                    return Err(self.broken(TransportCause::Truncated(error.to_string())));
                }
                Ok(None) => {
                    if let Some(connection) = self.connection.take() {
                        self.pool.give_back(connection);
                    }
                    return Ok(None);
                }
                Err(expired) => {
                    if matches!(expired, Expired::Silent) {
                        self.pool.went_silent();
                    }
                    self.connection = None;
                    return Err(self.broken(self.limits.cause(&expired)));
                }
            }
        }
    }

    /// Reads the whole body.
    pub(crate) async fn collect(mut self) -> Result<Bytes, TransportError> {
        let limit = self.pool.settings().max_answer_bytes;
        let mut all = BytesMut::new();
        while let Some(data) = self.next().await? {
            if all.len() + data.len() > limit {
                return Err(self.broken(TransportCause::TooLarge(limit)));
            }
            all.extend_from_slice(&data);
        }
        Ok(all.freeze())
    }

    fn broken(&self, cause: TransportCause) -> TransportError {
        TransportError::Failed(cause, self.stage)
    }
}

/// Builds a request.
pub(crate) fn request(
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
