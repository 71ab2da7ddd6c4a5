//! Stand-in of the log service: a [`MemoryLog`] behind HTTP.

use crate::memory_log::{AppendOutcome, LogConfig, MemoryLog};
use crate::pause::pause;
use crate::server::{Reply, RunningStandin, Server, Standin, StandinRequest};
use anvilgw_core::{LogError, LogSlice, Offset};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Largest number of records in one read if the caller sets no maximum.
const DEFAULT_MAX_RECORDS: u64 = 1_000;

/// Stand-in of the log service. It dereferences to the [`MemoryLog`] behind it, which holds the
/// records, faults and counters.
#[derive(Debug)]
pub struct LogStandin {
    log: MemoryLog,
}

#[derive(Deserialize)]
struct AppendBody {
    payload: String,
}

impl LogStandin {
    /// Starts the stand-in at `addr`; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding `addr`, for instance if the address is in use.
    pub async fn start(config: LogConfig, addr: SocketAddr) -> io::Result<RunningStandin<Self>> {
        Self::start_with(MemoryLog::new(config), addr).await
    }

    /// Starts the stand-in on an existing log, for instance to restart it with its records.
    ///
    /// # Errors
    ///
    /// Returns the error of binding `addr`, for instance if the address is in use.
    pub async fn start_with(log: MemoryLog, addr: SocketAddr) -> io::Result<RunningStandin<Self>> {
        Server::start(addr, 0, |_| Arc::new(Self { log })).await
    }

    async fn append(&self, stream: &str, request: &StandinRequest) -> Reply {
        let payload = serde_json::from_slice::<AppendBody>(&request.body)
            .ok()
            .and_then(|body| STANDARD.decode(body.payload).ok());
        let Some(payload) = payload else {
            return Reply::error(StatusCode::BAD_REQUEST, "the payload is not base64 in JSON");
        };
        pause(self.log.injected_delay()).await;
        match self.log.try_append(stream, &payload) {
            AppendOutcome::Appended(offset) => Reply::ok(&json!({"offset": offset})),
            AppendOutcome::OverRate => {
                Reply::error(StatusCode::TOO_MANY_REQUESTS, "over the append rate")
            }
            AppendOutcome::Outage => Reply::error(StatusCode::SERVICE_UNAVAILABLE, "outage"),
            AppendOutcome::RequestLost | AppendOutcome::AnswerLost => Reply::Cut,
        }
    }

    async fn read(&self, stream: &str, request: &StandinRequest) -> Reply {
        self.log.count_read();
        pause(self.log.injected_delay()).await;
        let from = Offset(request.number("from").unwrap_or(0));
        let max = request.number("max").unwrap_or(DEFAULT_MAX_RECORDS) as usize;
        let wait = Duration::from_millis(request.number("wait_ms").unwrap_or(0));
        let end = Instant::now() + wait;
        let mut appended = self.log.subscribe();
        loop {
            appended.borrow_and_update();
            match self.log.try_read(stream, from, max) {
                Ok(slice) if slice.records.is_empty() && Instant::now() < end => {}
                result => return Self::answer(result),
            }
            // The log is read again after an append as well as at the end of the wait.
            let _ = timeout_at(end, appended.changed()).await;
        }
    }

    fn answer(result: Result<LogSlice, LogError>) -> Reply {
        match result {
            Ok(slice) => {
                let records: Vec<_> = slice
                    .records
                    .iter()
                    .map(|record| {
                        json!({"offset": record.offset, "payload": STANDARD.encode(&record.payload)})
                    })
                    .collect();
                Reply::ok(&json!({
                    "first_offset": slice.first_offset,
                    "next_offset": slice.next_offset,
                    "records": records,
                }))
            }
            Err(LogError::Trimmed(first_offset, next_offset)) => Reply::json(
                StatusCode::GONE,
                &json!({"first_offset": first_offset, "next_offset": next_offset}),
            ),
            Err(error) => Reply::error(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        }
    }
}

impl Deref for LogStandin {
    type Target = MemoryLog;

    fn deref(&self) -> &MemoryLog {
        &self.log
    }
}

impl Standin for LogStandin {
    async fn handle(self: Arc<Self>, request: StandinRequest) -> Reply {
        match (&request.method, request.segments().as_slice()) {
            (&Method::POST, ["streams", stream, "records"]) => self.append(stream, &request).await,
            (&Method::GET, ["streams", stream, "records"]) => self.read(stream, &request).await,
            (&Method::GET, ["control", "counters"]) => Reply::ok(&self.log.counters()),
            _ => Reply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn replace_faults(&self, faults: serde_json::Value) -> Result<(), serde_json::Error> {
        self.log.set_faults(serde_json::from_value(faults)?);
        Ok(())
    }
}
