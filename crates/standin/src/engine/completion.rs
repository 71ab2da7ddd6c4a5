//! Completion requests: parsing, import of KV blocks, and the answer as JSON or as a stream.

use super::answer::{AnswerGenerator, prompt_of, token_count};
use super::batch::{Job, Progress};
use super::protocol::{Extension, Usage};
use super::stream::{EventStream, StreamFault};
use super::{EngineStandin, InFlightRequest};
use crate::server::{Reply, StandinRequest};
use http::StatusCode;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::watch;

/// Number of requests received without a `request_id`.
static UNNAMED_REQUESTS: AtomicU64 = AtomicU64::new(0);

/// A parsed completion request.
#[derive(Debug)]
pub(crate) struct Completion {
    pub(crate) extension: Extension,
    pub(crate) answer: AnswerGenerator,
    pub(crate) prompt_tokens: u64,
    prompt: String,
    /// Position after the last token of the answer.
    pub(crate) end: u64,
    pub(crate) finish_reason: &'static str,
    is_stream: bool,
    is_chat: bool,
}

impl Completion {
    fn parse(
        engine: &EngineStandin,
        request: &StandinRequest,
        is_chat: bool,
    ) -> Result<Self, String> {
        let body: Value =
            serde_json::from_slice(&request.body).map_err(|error| error.to_string())?;
        let prompt = prompt_of(&body).ok_or("the body has no valid prompt or messages")?;
        let extension = body.get("anvilgw").cloned().map(serde_json::from_value);
        let mut extension: Extension = extension
            .transpose()
            .map_err(|error| error.to_string())?
            .unwrap_or_default();
        if extension.request_id.is_empty() {
            let number = UNNAMED_REQUESTS.fetch_add(1, Ordering::Relaxed);
            extension.request_id = format!("unnamed-{number}");
        }
        extension.block_tokens = extension.block_tokens.max(1);
        let max_tokens = body.get("max_tokens").and_then(Value::as_u64);
        let end = max_tokens.unwrap_or(engine.config.default_tokens);
        if extension.resume_from > end {
            return Err("resume_from lies after the end of the answer".to_owned());
        }
        Ok(Self {
            extension,
            answer: AnswerGenerator::new(&prompt),
            prompt_tokens: token_count(&prompt),
            prompt,
            end,
            finish_reason: if max_tokens.is_some() {
                "length"
            } else {
                "stop"
            },
            is_stream: body.get("stream").and_then(Value::as_bool) == Some(true),
            is_chat,
        })
    }

    /// Returns whether the prompt contains `text`, unless that is empty.
    fn has_text(&self, text: &str) -> bool {
        !text.is_empty() && self.prompt.contains(text)
    }

    /// Imports KV blocks for the request, queues it and returns the channel of its progress.
    pub(crate) async fn start(
        &self,
        engine: &Arc<EngineStandin>,
        in_flight: &InFlightRequest,
    ) -> watch::Receiver<Progress> {
        let imported_tokens = engine.import_for(&self.extension, self.prompt_tokens).await;
        let resume_from = self.extension.resume_from;
        let (progress, receiver) = watch::channel(Progress {
            produced: resume_from,
            ..Progress::default()
        });
        let job = Job {
            keys: self.extension.blocks.clone(),
            block_tokens: self.extension.block_tokens,
            priority: self.extension.priority,
            end: self.end,
            usage: Usage {
                prompt_tokens: self.prompt_tokens,
                completion_tokens: resume_from,
                imported_tokens,
                ..Usage::default()
            },
            prefill_left: 0.0,
            decode_credit_ms: 0.0,
            is_decoding: false,
            progress,
        };
        engine.submit(job, in_flight);
        receiver
    }

    /// Returns the whole answer as JSON.
    fn json(&self, usage: &Usage) -> Value {
        let text = self.answer.text(self.extension.resume_from, self.end);
        let mut choice = json!({"index": 0, "finish_reason": self.finish_reason});
        if self.is_chat {
            choice["message"] = json!({"role": "assistant", "content": text});
        } else {
            choice["text"] = text.into();
        }
        json!({
            "id": self.extension.request_id,
            "attempt": self.extension.attempt,
            "object": if self.is_chat { "chat.completion" } else { "text_completion" },
            "choices": [choice],
            "usage": usage,
        })
    }
}

/// Handles a completion request, with the stream fault that is drawn for it.
pub(crate) async fn complete(
    engine: Arc<EngineStandin>,
    request: StandinRequest,
    is_chat: bool,
) -> Reply {
    let completion = match Completion::parse(&engine, &request, is_chat) {
        Ok(completion) => completion,
        Err(message) => return Reply::error(StatusCode::BAD_REQUEST, &message),
    };
    if let Some(refusal) = refusal(&engine, &request, &completion.extension) {
        return refusal;
    }
    let Some(in_flight) = engine.accept_request() else {
        return Reply::Cut;
    };
    let faults = engine.state().faults.clone();
    if completion.has_text(&faults.crash_on_text) {
        engine.crash(&mut engine.state());
        return Reply::Cut;
    }
    let fault = StreamFault::draw(&faults, &engine.fault_rng);
    if completion.is_stream {
        let after = completion.extension.resume_from + faults.after_tokens;
        return EventStream::start(
            engine,
            completion,
            in_flight,
            (fault, after),
            request.connection,
        );
    }
    let mut progress = completion.start(&engine, &in_flight).await;
    let ended = match progress.wait_for(|progress| progress.ended).await {
        Ok(progress) => *progress,
        // The sender is dropped when the engine crashes.
        Err(_) => return Reply::Cut,
    };
    match fault {
        StreamFault::Cut => Reply::Cut,
        StreamFault::Silence => Reply::Silence,
        _ => Reply::ok(&completion.json(&ended.usage)),
    }
}

/// Records the `traceparent` of a request, and returns an error answer if the engine refuses the
/// request.
fn refusal(
    engine: &EngineStandin,
    request: &StandinRequest,
    extension: &Extension,
) -> Option<Reply> {
    let mut state = engine.state();
    let traceparent = request.headers.get("traceparent");
    state.last_traceparent = traceparent.and_then(|value| Some(value.to_str().ok()?.to_owned()));
    let version = extension.weight_version;
    if state.faults.refuse {
        Some(Reply::error(StatusCode::SERVICE_UNAVAILABLE, "refused"))
    } else if state.orders.loading {
        let message = "weights are being loaded";
        Some(Reply::error(StatusCode::SERVICE_UNAVAILABLE, message))
    } else if version != 0 && version != state.orders.weight_version {
        let message = format!("weight version is {}", state.orders.weight_version);
        Some(Reply::error(StatusCode::CONFLICT, &message))
    } else {
        refuse_model(&state.orders.models, &request.body)
    }
}

fn refuse_model(models: &[String], body: &[u8]) -> Option<Reply> {
    if models.is_empty() {
        return None;
    }
    let body: Value = serde_json::from_slice(body).ok()?;
    let model = body.get("model").and_then(Value::as_str).unwrap_or("");
    (!models.iter().any(|served| served == model))
        .then(|| Reply::error(StatusCode::NOT_FOUND, "the model is not loaded"))
}
