//! Client of model engines: one attempt of a completion as a stream of typed events.

mod sse;
mod stream;

pub use stream::{EngineEvent, EngineStream};

use crate::connection::ConnectionSettings;
use crate::error::TransportError;
use crate::exchange::{CallOptions, request};
use crate::kv::KvImport;
use crate::pool::{Pool, PoolCounters};
use anvilgw_core::{AttemptId, ErrorKind, Failure, RequestId, Stage};
use http::{HeaderValue, Method, StatusCode, header};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use stream::Expected;

/// One attempt of a completion.
#[derive(Clone, Debug, Default)]
pub struct EngineRequest {
    /// Identifier of the request, which each event repeats.
    pub request_id: RequestId,
    /// Number of the attempt, which each event repeats.
    pub attempt_id: AttemptId,
    /// Whether the body is that of a chat completion.
    pub is_chat: bool,
    /// Body of the caller. `stream` and `anvilgw` are replaced.
    pub body: Map<String, Value>,
    /// Keys of the KV blocks of the prompt, in order, in hexadecimal digits.
    pub blocks: Vec<String>,
    /// Tokens of a full block.
    pub block_tokens: u64,
    /// Blocks that the engine may import in place of computing them.
    pub import: Vec<KvImport>,
    /// Position of the first token that the caller still needs.
    pub resume_from: u64,
    /// Requests with a higher priority start first.
    pub priority: i32,
    /// Weight version to which the keys belong.
    pub weight_version: u64,
    /// Options of the exchange.
    pub options: CallOptions,
}

/// Field `anvilgw` of the body.
#[derive(Serialize)]
struct Extension<'a> {
    request_id: String,
    attempt: AttemptId,
    blocks: &'a [String],
    block_tokens: u64,
    import: &'a [KvImport],
    resume_from: u64,
    priority: i32,
    weight_version: u64,
}

/// Tokens of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer, those before `resume_from` included.
    pub completion_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub reused_tokens: u64,
    /// Prompt tokens imported for this request.
    pub imported_tokens: u64,
    /// Prompt tokens computed, and on a resumed attempt the tokens before `resume_from`.
    pub recomputed_tokens: u64,
}

quick_error! {
    /// Why an attempt has no complete answer.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum EngineError {
        /// The exchange failed.
        Transport(error: TransportError) {
            display("{}", error)
            from()
        }
        /// The engine refused the request.
        Refused(status: u16, detail: String) {
            display("refused with status {}: {}", status, detail)
        }
        /// A token is missing.
        MissingToken(expected: u64, index: u64) {
            display("token {} in place of {}", index, expected)
        }
        /// The usage does not agree with the tokens received.
        TokenCountMismatch(expected: u64, reported: u64) {
            display("{} tokens received, {} reported", expected, reported)
        }
        /// The answer ended without the end marker.
        MissingEndMarker {
            display("answer ended without the end marker")
        }
        /// An event could not be understood.
        Malformed(detail: String) {
            display("malformed event: {}", detail)
        }
    }
}

impl EngineError {
    /// The error kind that belongs to the error.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Transport(error) => error.cause().kind(),
            Self::Refused(..) => ErrorKind::BackendFailed,
            Self::MissingToken(..)
            | Self::TokenCountMismatch(..)
            | Self::MissingEndMarker
            | Self::Malformed(_) => ErrorKind::AnswerBroken,
        }
    }

    /// How far the attempt got.
    #[must_use]
    pub fn stage(&self) -> Stage {
        match self {
            Self::Transport(error) => error.stage(),
            // An engine decides on 4xx and 503 before it starts a request.
            Self::Refused(status, _) if *status < 500 || *status == 503 => Stage::Connecting,
            Self::Refused(..) => Stage::AnswerLost,
            Self::MissingToken(..)
            | Self::TokenCountMismatch(..)
            | Self::MissingEndMarker
            | Self::Malformed(_) => Stage::AnswerStarted,
        }
    }
}

impl From<EngineError> for Failure {
    fn from(error: EngineError) -> Self {
        Self::new(error.kind(), error.stage(), error.to_string())
    }
}

/// Events that a client has dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedEvents {
    /// Events of another request or attempt.
    pub foreign: u64,
    /// Tokens that had been received before.
    pub repeated: u64,
}

#[derive(Debug, Default)]
pub(crate) struct DropCounters {
    foreign: AtomicU64,
    repeated: AtomicU64,
}

/// Client of one model engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    pool: Arc<Pool>,
    dropped: Arc<DropCounters>,
}

impl EngineClient {
    /// Creates a client. Connections are opened on demand.
    #[must_use]
    pub fn new(addr: SocketAddr, settings: ConnectionSettings) -> Self {
        Self {
            pool: Arc::new(Pool::new(addr, settings)),
            dropped: Arc::default(),
        }
    }

    /// Starts an attempt. Dropping the stream before its end closes the connection, by which the
    /// engine cancels the request.
    ///
    /// # Errors
    ///
    /// [`EngineError::Refused`] if the engine did not accept the request,
    /// [`EngineError::Transport`] if there was no answer.
    pub async fn stream(&self, attempt: &EngineRequest) -> Result<EngineStream, EngineError> {
        let path = if attempt.is_chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        };
        let id = attempt.request_id.to_string();
        let body = body_of(attempt, &id)?;
        let mut request = request(Method::POST, path, body.into())?;
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(header::CONTENT_TYPE, json);
        let answer = self.pool.exchange(request, &attempt.options).await?;
        if answer.status != StatusCode::OK {
            let status = answer.status.as_u16();
            // The status alone says that the request was refused.
            let detail = answer.body.collect().await.unwrap_or_default();
            let detail = String::from_utf8_lossy(&detail).into_owned();
            return Err(EngineError::Refused(status, detail));
        }
        let expected = Expected {
            id,
            attempt: attempt.attempt_id,
            index: attempt.resume_from,
        };
        let dropped = Arc::clone(&self.dropped);
        Ok(EngineStream::new(answer.body, expected, dropped))
    }

    /// Events dropped so far.
    #[must_use]
    pub fn dropped(&self) -> DroppedEvents {
        DroppedEvents {
            foreign: self.dropped.foreign.load(Ordering::Relaxed),
            repeated: self.dropped.repeated.load(Ordering::Relaxed),
        }
    }

    /// Number of connections that wait for work.
    #[must_use]
    pub fn idle_connections(&self) -> usize {
        self.pool.idle_connections()
    }

    /// Counters of the connections.
    #[must_use]
    pub fn counters(&self) -> PoolCounters {
        self.pool.counters()
    }
}

fn body_of(attempt: &EngineRequest, id: &str) -> Result<Vec<u8>, EngineError> {
    let extension = Extension {
        request_id: id.to_owned(),
        attempt: attempt.attempt_id,
        blocks: &attempt.blocks,
        block_tokens: attempt.block_tokens,
        import: &attempt.import,
        resume_from: attempt.resume_from,
        priority: attempt.priority,
        weight_version: attempt.weight_version,
    };
    let encode = || {
        let mut body = attempt.body.clone();
        body.insert("stream".to_owned(), true.into());
        body.insert("anvilgw".to_owned(), serde_json::to_value(extension)?);
        serde_json::to_vec(&body)
    };
    encode().map_err(|error| EngineError::Malformed(error.to_string()))
}
