//! The log service over HTTP.

use crate::memory_log::{Appended, LogConfig, MemoryLog};
use crate::pause::pause;
use crate::server::{Call, Reply, RunningStandin, Server, Standin};
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

/// Records of one read if the caller sets no maximum.
const DEFAULT_MAX_RECORDS: u64 = 1_000;

/// Stand-in of the log service. Dereferences to the [`MemoryLog`] behind it, which holds faults and
/// counters.
#[derive(Debug)]
pub struct LogStandin {
    log: MemoryLog,
}

#[derive(Deserialize)]
struct AppendBody {
    payload: String,
}

impl LogStandin {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// The error of binding the address.
    pub async fn start(config: LogConfig, addr: SocketAddr) -> io::Result<RunningStandin<Self>> {
        Self::start_with(MemoryLog::new(config), addr).await
    }

    /// Starts the stand-in on an existing log, for instance to restart it with its records.
    ///
    /// # Errors
    ///
    /// The error of binding the address.
    pub async fn start_with(log: MemoryLog, addr: SocketAddr) -> io::Result<RunningStandin<Self>> {
        Server::start(addr, 0, |_| Arc::new(Self { log })).await
    }

    async fn append(&self, stream: &str, call: &Call) -> Reply {
        let payload = serde_json::from_slice::<AppendBody>(&call.body)
            .ok()
            .and_then(|body| STANDARD.decode(body.payload).ok());
        let Some(payload) = payload else {
            return Reply::error(StatusCode::BAD_REQUEST, "the payload is not base64 in JSON");
        };
        pause(self.log.slow()).await;
        match self.log.try_append(stream, &payload) {
            Appended::At(offset) => Reply::ok(&json!({"offset": offset})),
            Appended::OverRate => {
                Reply::error(StatusCode::TOO_MANY_REQUESTS, "over the append rate")
            }
            Appended::Outage => Reply::error(StatusCode::SERVICE_UNAVAILABLE, "outage"),
            Appended::RequestLost | Appended::AnswerLost => Reply::Cut,
        }
    }

    async fn read(&self, stream: &str, call: &Call) -> Reply {
        self.log.count_read();
        pause(self.log.slow()).await;
        let from = Offset(call.number("from").unwrap_or(0));
        let max = call.number("max").unwrap_or(DEFAULT_MAX_RECORDS) as usize;
        let wait = Duration::from_millis(call.number("wait_ms").unwrap_or(0));
        let end = Instant::now() + wait;
        let mut appended = self.log.subscribe();
        loop {
            appended.borrow_and_update();
            match self.log.try_read(stream, from, max) {
                Ok(slice) if slice.records.is_empty() && Instant::now() < end => {}
                result => return Self::answer(result),
            }
            // Both an append and the end of the wait lead to another read.
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
    async fn handle(self: Arc<Self>, call: Call) -> Reply {
        match (&call.method, call.segments().as_slice()) {
            (&Method::POST, ["streams", stream, "records"]) => self.append(stream, &call).await,
            (&Method::GET, ["streams", stream, "records"]) => self.read(stream, &call).await,
            (&Method::GET, ["control", "counters"]) => Reply::ok(&self.log.counters()),
            _ => Reply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn replace_faults(&self, faults: serde_json::Value) -> Result<(), serde_json::Error> {
        self.log.set_faults(serde_json::from_value(faults)?);
        Ok(())
    }
}
