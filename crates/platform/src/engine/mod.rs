//! Client of model engines. It makes one attempt of a completion and returns a stream of checked
//! events.

mod sse;
mod stream;

pub use stream::{EngineEvent, EngineStream};

use crate::connection::ConnectionSettings;
use crate::error::TransportError;
use crate::exchange::{CallOptions, build_request};
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
use stream::ExpectedEvent;

/// Request to an engine for one attempt of a completion.
#[derive(Clone, Debug, Default)]
pub struct EngineRequest {
    /// Identifier of the caller's request. The engine repeats it in each event.
    pub request_id: RequestId,
    /// Number of the attempt. The engine repeats it in each event.
    pub attempt_id: AttemptId,
    /// Whether `body` belongs to a chat completion. Otherwise it is that of a text completion.
    pub is_chat: bool,
    /// Body of the caller's request. Its fields `stream` and `anvilgw` are replaced.
    pub body: Map<String, Value>,
    /// Keys of the KV blocks of the prompt, in prompt order and in hexadecimal digits.
    pub blocks: Vec<String>,
    /// Number of tokens in a full block.
    pub block_tokens: u64,
    /// Blocks that the engine may import instead of computing them.
    pub import: Vec<KvImport>,
    /// Index of the first token that the caller still needs; 0 unless an earlier attempt was broken
    /// off.
    pub resume_from: u64,
    /// Priority in the queue of the engine. Requests with a higher value start first.
    pub priority: i32,
    /// Version of the weights for which `blocks` were computed.
    pub weight_version: u64,
    /// Options of the exchange.
    pub options: CallOptions,
}

/// Value of the field `anvilgw` in the body.
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

/// Token counts of a completed request, as reported by the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineUsage {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens of the answer, including those before `resume_from`.
    pub completion_tokens: u64,
    /// Number of prompt tokens found in the prefix cache.
    pub reused_tokens: u64,
    /// Number of prompt tokens imported for this request.
    pub imported_tokens: u64,
    /// Number of prompt tokens computed. A resumed attempt also counts the tokens before
    /// `resume_from`.
    pub recomputed_tokens: u64,
}

quick_error! {
    /// Error of an attempt that has no complete answer.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum EngineError {
        /// The HTTP exchange failed.
        Transport(error: TransportError) {
            display("{}", error)
            from()
        }
        /// The engine answered with a status other than 200; `detail` is the body of the answer.
        Refused(status: u16, detail: String) {
            display("refused with status {}: {}", status, detail)
        }
        /// At least one token is missing: the event carries `index` instead of `expected`. Also
        /// reported for a token after the finish event.
        MissingToken(expected: u64, index: u64) {
            display("token {} received where token {} was expected", index, expected)
        }
        /// The usage reports another number of answer tokens than were received. Both include those
        /// before `resume_from`.
        TokenCountMismatch(received: u64, reported: u64) {
            display("received {} tokens, but the engine reported {}", received, reported)
        }
        /// The answer ended without the finish event or the end marker.
        MissingEndMarker {
            display("answer ended without the finish event or the end marker")
        }
        /// An event is malformed, too long or of no known kind.
        Malformed(detail: String) {
            display("malformed event: {}", detail)
        }
    }
}

impl EngineError {
    /// Returns the error kind under which the error is reported to the caller.
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

    /// Returns how far the attempt got.
    #[must_use]
    pub fn stage(&self) -> Stage {
        match self {
            Self::Transport(error) => error.stage(),
            // Engines answer with 4xx and 503 only before they start a request.
            Self::Refused(400..500 | 503, _) => Stage::Connecting,
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

/// Counts of the events that a client has dropped since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedEvents {
    /// Number of events that belong to another request or attempt.
    pub foreign: u64,
    /// Number of tokens that had been received before.
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

    /// Starts an attempt. Dropping the stream before its end closes the connection, which cancels
    /// the request at the engine.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError::Refused`] if the engine did not accept the request and
    /// [`EngineError::Transport`] if there was no answer.
    pub async fn stream(&self, attempt: &EngineRequest) -> Result<EngineStream, EngineError> {
        let path = if attempt.is_chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        };
        let id = attempt.request_id.to_string();
        let body = encode_body(attempt, &id)?;
        let mut request = build_request(Method::POST, path, body.into())?;
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(header::CONTENT_TYPE, json);
        let answer = self.pool.exchange(request, &attempt.options).await?;
        if answer.status != StatusCode::OK {
            let status = answer.status.as_u16();
            // The status alone proves that the request was refused.
            let detail = answer.body.collect().await.unwrap_or_default();
            let detail = String::from_utf8_lossy(&detail).into_owned();
            return Err(EngineError::Refused(status, detail));
        }
        let expected = ExpectedEvent {
            id,
            attempt: attempt.attempt_id,
            index: attempt.resume_from,
        };
        let dropped = Arc::clone(&self.dropped);
        Ok(EngineStream::new(answer.body, expected, dropped))
    }

    /// Returns the counts of the events dropped so far.
    #[must_use]
    pub fn dropped(&self) -> DroppedEvents {
        DroppedEvents {
            foreign: self.dropped.foreign.load(Ordering::Relaxed),
            repeated: self.dropped.repeated.load(Ordering::Relaxed),
        }
    }

    /// Returns the number of idle connections in the pool.
    #[must_use]
    pub fn idle_connections(&self) -> usize {
        self.pool.idle_connections()
    }

    /// Returns the counters of the connections to the engine.
    #[must_use]
    pub fn counters(&self) -> PoolCounters {
        self.pool.counters()
    }
}

/// Encodes the body of the request, with the fields `stream` and `anvilgw` set.
fn encode_body(attempt: &EngineRequest, id: &str) -> Result<Vec<u8>, EngineError> {
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
