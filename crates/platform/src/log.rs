//! HTTP client of the log service.

use crate::connection::ConnectionSettings;
use crate::error::TransportError;
use crate::exchange::{CallOptions, build_request};
use crate::pool::{Pool, PoolCounters};
use anvilgw_core::{LogError, LogRecord, LogService, LogSlice, Offset, Stage};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, mpsc};
use std::time::Duration;
use tokio::runtime::{Builder, Handle, Runtime};

/// Settings of the log client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogClientSettings {
    /// Settings of the connections to the log service.
    pub connection: ConnectionSettings,
    /// Time in milliseconds within which an append must be answered. It is longer than
    /// `silence_ms`, since a slow log service sends nothing until the record is stored. A read may
    /// take this long in addition to the time that it waits for records.
    pub answer_ms: u64,
}

impl Default for LogClientSettings {
    fn default() -> Self {
        Self {
            connection: ConnectionSettings::default(),
            answer_ms: 2_000,
        }
    }
}

#[derive(Serialize)]
struct AppendBody {
    payload: String,
}

#[derive(Deserialize)]
struct AppendAnswer {
    offset: Offset,
}

#[derive(Deserialize)]
struct TrimmedAnswer {
    first_offset: Offset,
    next_offset: Offset,
}

#[derive(Deserialize)]
struct ReadAnswer {
    first_offset: Offset,
    next_offset: Offset,
    records: Vec<RecordAnswer>,
}

#[derive(Deserialize)]
struct RecordAnswer {
    offset: Offset,
    payload: String,
}

/// Client of the log service over HTTP. Calls block the calling thread, so they must not be made on
/// a worker thread of an asynchronous runtime that runs other tasks.
#[derive(Debug)]
pub struct HttpLogService {
    pool: Arc<Pool>,
    settings: LogClientSettings,
    handle: Handle,
    /// Runtime of `handle` if this client created it.
    runtime: Option<Runtime>,
}

impl HttpLogService {
    /// Creates a client with its own runtime, which has one worker thread.
    ///
    /// # Errors
    ///
    /// Returns the error of building the runtime.
    pub fn new(addr: SocketAddr, settings: LogClientSettings) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("log-client")
            .enable_all()
            .build()?;
        let mut client = Self::with_handle(addr, settings, runtime.handle().clone());
        client.runtime = Some(runtime);
        Ok(client)
    }

    /// Creates a client that runs its exchanges on an existing runtime. Calls fail with
    /// [`LogError::AnswerLost`] once that runtime is shut down.
    #[must_use]
    pub fn with_handle(addr: SocketAddr, settings: LogClientSettings, handle: Handle) -> Self {
        Self {
            pool: Arc::new(Pool::new(addr, settings.connection)),
            settings,
            handle,
            runtime: None,
        }
    }

    /// Returns the counters of the connections to the log service.
    #[must_use]
    pub fn counters(&self) -> PoolCounters {
        self.pool.counters()
    }

    /// Runs an exchange on the runtime and blocks the calling thread until it ends.
    fn block_on<T: Send + 'static>(
        &self,
        exchange: impl Future<Output = Result<T, LogError>> + Send + 'static,
    ) -> Result<T, LogError> {
        let (sender, receiver) = mpsc::sync_channel(1);
        self.handle.spawn(async move {
            // Sending fails only if the calling thread has ended.
            let _ = sender.send(exchange.await);
        });
        receiver
            .recv()
            .unwrap_or_else(|_| Err(LogError::AnswerLost("the runtime was shut down".to_owned())))
    }

    fn options(&self, wait: Duration) -> CallOptions {
        CallOptions {
            silence_timeout: Some(Duration::from_millis(self.settings.answer_ms) + wait),
            ..CallOptions::default()
        }
    }
}

impl Drop for HttpLogService {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            // Dropping a runtime waits for its threads, which panics in an asynchronous context.
            runtime.shutdown_background();
        }
    }
}

impl LogService for HttpLogService {
    fn append(&self, stream: &str, payload: &[u8]) -> Result<Offset, LogError> {
        let body = AppendBody {
            payload: STANDARD.encode(payload),
        };
        let body = serde_json::to_vec(&body).map_err(|error| protocol_error(&error))?;
        let path = format!("/streams/{stream}/records");
        let (pool, options) = (Arc::clone(&self.pool), self.options(Duration::ZERO));
        self.block_on(async move {
            let (status, body) = send_request(&pool, Method::POST, &path, body.into(), &options)
                .await
                .map_err(|error| append_error(&error))?;
            match status {
                StatusCode::OK => match parse::<AppendAnswer>(&body) {
                    Ok(answer) => Ok(answer.offset),
                    // The service has stored the record; only its offset is unknown.
                    Err(error) => Err(LogError::AnswerLost(error.to_string())),
                },
                status => Err(status_error(status, &body)),
            }
        })
    }

    fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<LogSlice, LogError> {
        let wait_ms = wait.as_millis();
        let path = format!("/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}");
        let (pool, options) = (Arc::clone(&self.pool), self.options(wait));
        self.block_on(async move {
            let (status, body) = send_request(&pool, Method::GET, &path, Bytes::new(), &options)
                .await
                .map_err(|error| LogError::Unavailable(error.to_string()))?;
            match status {
                StatusCode::OK => checked_slice(parse(&body)?, from),
                StatusCode::GONE => {
                    let trimmed: TrimmedAnswer = parse(&body)?;
                    Err(LogError::Trimmed(trimmed.first_offset, trimmed.next_offset))
                }
                status => Err(status_error(status, &body)),
            }
        })
    }
}

/// Sends a request and reads the whole answer, with any status.
async fn send_request(
    pool: &Arc<Pool>,
    method: Method,
    path: &str,
    body: Bytes,
    options: &CallOptions,
) -> Result<(StatusCode, Bytes), TransportError> {
    let request = build_request(method, path, body)?;
    let answer = pool.exchange(request, options).await?;
    let status = answer.status;
    match answer.body.collect().await {
        Ok(body) => Ok((status, body)),
        // The status alone proves that the call had no effect.
        Err(_) if is_refusal(status) => Ok((status, Bytes::new())),
        Err(error) => Err(error),
    }
}

/// Returns the error of an append that has no answer: [`LogError::AnswerLost`] if the record may
/// have been stored.
fn append_error(error: &TransportError) -> LogError {
    if error.stage() == Stage::Connecting {
        LogError::Unavailable(error.to_string())
    } else {
        LogError::AnswerLost(error.to_string())
    }
}

/// Whether the log service refused a call before it took effect.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn status_error(status: StatusCode, body: &Bytes) -> LogError {
    let detail = format!("status {status}: {}", String::from_utf8_lossy(body));
    match status {
        status if is_refusal(status) => LogError::Unavailable(detail),
        // After any other server error the record may have been stored.
        status if status.is_server_error() => LogError::AnswerLost(detail),
        _ => LogError::Protocol(detail),
    }
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, LogError> {
    serde_json::from_slice(body).map_err(|error| protocol_error(&error))
}

fn protocol_error(error: &impl ToString) -> LogError {
    LogError::Protocol(error.to_string())
}

/// Decodes an answer to a read and checks that its records continue from `from` without a gap.
fn checked_slice(answer: ReadAnswer, from: Offset) -> Result<LogSlice, LogError> {
    let mut records = Vec::with_capacity(answer.records.len());
    for (expected, record) in (from.0..).zip(answer.records) {
        if record.offset.0 != expected || record.offset >= answer.next_offset {
            let detail = format!(
                "record at offset {} where offset {expected} is expected",
                record.offset
            );
            return Err(LogError::Protocol(detail));
        }
        records.push(LogRecord {
            offset: record.offset,
            payload: STANDARD
                .decode(record.payload)
                .map_err(|error| protocol_error(&error))?,
        });
    }
    if from < answer.first_offset {
        return Err(LogError::Trimmed(answer.first_offset, answer.next_offset));
    }
    Ok(LogSlice {
        first_offset: answer.first_offset,
        next_offset: answer.next_offset,
        records,
    })
}
