//! Answers to completion requests: server-sent events or one JSON object.

use super::respond::{self, ErrorBody};
use crate::context::CountGuard;
use crate::dispatch::completion::Completion;
use anvilgw_core::Failure;
use anvilgw_platform::{EngineEvent, EngineUsage};
use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderValue, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use serde::Serialize;
use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

const EVENT_STREAM_MEDIA_TYPE: HeaderValue = HeaderValue::from_static("text/event-stream");
const NO_CACHE: HeaderValue = HeaderValue::from_static("no-cache");
const END_MARKER: &[u8] = b"data: [DONE]\n\n";

/// Fields that are the same in all events of an answer.
struct AnswerFields {
    id: String,
    model: String,
    created_s: u64,
    is_chat: bool,
    include_usage: bool,
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<Choice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    /// Position of the token in the answer, by which a caller can resume a broken stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    token_index: Option<u64>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Message<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    content: &'a str,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

impl From<EngineUsage> for Usage {
    fn from(usage: EngineUsage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.prompt_tokens + usage.completion_tokens,
        }
    }
}

impl AnswerFields {
    fn new(completion: &Completion) -> Self {
        let request = completion.request();
        let created = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            id: completion.request_context().id.to_string(),
            model: request.model_name.clone(),
            created_s: created.map_or(0, |since_epoch| since_epoch.as_secs()),
            is_chat: request.is_chat,
            include_usage: request.include_usage,
        }
    }

    fn chunk<'a>(&'a self, choices: Vec<Choice<'a>>, usage: Option<Usage>) -> Chunk<'a> {
        Chunk {
            id: &self.id,
            object: match self.is_chat {
                true => "chat.completion.chunk",
                false => "text_completion",
            },
            created: self.created_s,
            model: &self.model,
            choices,
            usage,
        }
    }

    fn choice<'a>(&self, text: &'a str, index: Option<u64>, finish: Option<&'a str>) -> Choice<'a> {
        let delta = self.is_chat.then_some(Message {
            role: (index == Some(0)).then_some("assistant"),
            content: text,
        });
        Choice {
            index: 0,
            text: (!self.is_chat).then_some(text),
            delta,
            message: None,
            token_index: index,
            finish_reason: finish,
        }
    }

    /// Returns the server-sent events for one engine event.
    fn encode_event(&self, event: &EngineEvent) -> Bytes {
        match event {
            EngineEvent::Token { index, text } => {
                let choice = self.choice(text, Some(*index), None);
                event_frame(&self.chunk(vec![choice], None)).into()
            }
            EngineEvent::Finish { reason, usage } => {
                let choice = self.choice("", None, Some(reason));
                let mut bytes = event_frame(&self.chunk(vec![choice], None));
                if self.include_usage {
                    let usage = self.chunk(Vec::new(), Some((*usage).into()));
                    bytes.extend_from_slice(&event_frame(&usage));
                }
                bytes.extend_from_slice(END_MARKER);
                bytes.into()
            }
        }
    }
}

/// Encodes a chunk as one server-sent event.
fn event_frame(chunk: &Chunk<'_>) -> Vec<u8> {
    let mut bytes = b"data: ".to_vec();
    // Serialization of these fields cannot fail.
    let _ = serde_json::to_writer(&mut bytes, chunk);
    bytes.extend_from_slice(b"\n\n");
    bytes
}

/// Encodes a failure as the server-sent event that ends a broken stream.
fn error_frame(completion: &Completion, failure: &Failure) -> Bytes {
    let mut bytes = b"event: error\ndata: ".to_vec();
    bytes.extend_from_slice(&ErrorBody::new(completion.request_context().id, failure).to_json());
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}

/// State of a streamed answer between two events.
struct StreamState {
    completion: Completion,
    fields: AnswerFields,
    first_event: Option<EngineEvent>,
    ended: bool,
    _open_stream: CountGuard,
}

impl StreamState {
    async fn next(mut self) -> Option<(Result<Frame<Bytes>, io::Error>, Self)> {
        if self.ended {
            return None;
        }
        let event = match self.first_event.take() {
            Some(event) => Ok(event),
            None => self.completion.next().await,
        };
        let bytes = match event {
            Ok(event) => {
                self.ended = matches!(event, EngineEvent::Finish { .. });
                self.fields.encode_event(&event)
            }
            Err(failure) => {
                // No end marker is sent, so the caller cannot mistake the answer for a complete
                // one.
                self.ended = true;
                error_frame(&self.completion, &failure)
            }
        };
        Some((Ok(Frame::data(bytes)), self))
    }
}

/// Streams the answer. Waits for the first event before it returns, so that a failure until then is
/// answered with an error status.
///
/// # Errors
///
/// The failure to report to the caller if the request fails before the first event.
pub(crate) async fn stream(
    mut completion: Completion,
    open_stream: CountGuard,
) -> Result<Response<Body>, Failure> {
    let first_event = completion.next().await?;
    let state = StreamState {
        fields: AnswerFields::new(&completion),
        completion,
        first_event: Some(first_event),
        ended: false,
        _open_stream: open_stream,
    };
    let body = StreamBody::new(stream::unfold(state, StreamState::next)).boxed_unsync();
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, EVENT_STREAM_MEDIA_TYPE);
    headers.insert(CACHE_CONTROL, NO_CACHE);
    Ok(response)
}

/// Collects the answer into one JSON object.
///
/// # Errors
///
/// The failure to report to the caller if the answer cannot be completed.
pub(crate) async fn collect(mut completion: Completion) -> Result<Response<Body>, Failure> {
    let fields = AnswerFields::new(&completion);
    let mut text = String::new();
    let (reason, usage) = loop {
        match completion.next().await? {
            EngineEvent::Token { text: token, .. } => text.push_str(&token),
            EngineEvent::Finish { reason, usage } => break (reason, usage),
        }
    };
    let message = fields.is_chat.then_some(Message {
        role: Some("assistant"),
        content: &text,
    });
    let choice = Choice {
        index: 0,
        text: (!fields.is_chat).then_some(text.as_str()),
        delta: None,
        message,
        token_index: None,
        finish_reason: Some(&reason),
    };
    let mut chunk = fields.chunk(vec![choice], Some(usage.into()));
    if fields.is_chat {
        chunk.object = "chat.completion";
    }
    let json = serde_json::to_vec(&chunk).unwrap_or_default();
    Ok(respond::json_response(StatusCode::OK, json))
}
