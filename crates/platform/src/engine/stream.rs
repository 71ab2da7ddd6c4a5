//! The events of one attempt, checked against what was asked for.

use super::sse::SseDecoder;
use super::{DropCounters, EngineError, EngineUsage};
use crate::exchange::AnswerBody;
use anvilgw_core::AttemptId;
use serde::Deserialize;
use std::borrow::Cow;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Data of the end marker.
const END_MARKER: &[u8] = b"[DONE]";
/// Longest wait for the end of the body after the end marker. Without it the connection is not
/// reused.
const DRAIN_LIMIT: Duration = Duration::from_secs(1);

/// A checked event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The next token.
    Token {
        /// Position.
        index: u64,
        /// Text.
        text: String,
    },
    /// The answer is complete: the end marker was received.
    Finish {
        /// Why the engine stopped.
        reason: String,
        /// Tokens used.
        usage: EngineUsage,
    },
}

/// What the next event must carry.
#[derive(Debug)]
pub(crate) struct Expected {
    pub(crate) id: String,
    pub(crate) attempt: AttemptId,
    pub(crate) index: u64,
}

/// An event as the engine sends it.
#[derive(Deserialize)]
struct RawEvent<'a> {
    #[serde(borrow)]
    id: Option<Cow<'a, str>>,
    attempt: Option<AttemptId>,
    index: Option<u64>,
    #[serde(borrow)]
    text: Option<Cow<'a, str>>,
    #[serde(borrow)]
    finish_reason: Option<Cow<'a, str>>,
    #[serde(default)]
    usage: EngineUsage,
}

/// Stream of the events of one attempt.
#[derive(Debug)]
pub struct EngineStream {
    body: Option<AnswerBody>,
    decoder: SseDecoder,
    expected: Expected,
    finish: Option<(String, EngineUsage)>,
    dropped: Arc<DropCounters>,
}

impl EngineStream {
    pub(super) fn new(body: AnswerBody, expected: Expected, dropped: Arc<DropCounters>) -> Self {
        Self {
            body: Some(body),
            decoder: SseDecoder::default(),
            expected,
            finish: None,
            dropped,
        }
    }

    /// Position of the next token. A later attempt resumes from here.
    #[must_use]
    pub fn next_index(&self) -> u64 {
        self.expected.index
    }

    /// Waits for the next event. After [`EngineEvent::Finish`] or an error there is none.
    ///
    /// # Errors
    ///
    /// [`EngineError`] if the answer is incomplete or out of order.
    pub async fn next(&mut self) -> Result<Option<EngineEvent>, EngineError> {
        let result = self.advance().await;
        if result.is_err() {
            // Closes the connection.
            self.body = None;
        }
        result
    }

    async fn advance(&mut self) -> Result<Option<EngineEvent>, EngineError> {
        loop {
            let Some(body) = &mut self.body else {
                return Ok(None);
            };
            let data = self
                .decoder
                .next()
                .map_err(|_| EngineError::Malformed("event too long".to_owned()))?;
            match data {
                Some(data) if *data == *END_MARKER => return self.end().map(Some),
                Some(data) => {
                    if let Some(event) = self.accept(&data)? {
                        return Ok(Some(event));
                    }
                }
                None => match body.next().await? {
                    Some(bytes) => self.decoder.push(&bytes),
                    None => return Err(EngineError::MissingEndMarker),
                },
            }
        }
    }

    fn accept(&mut self, data: &[u8]) -> Result<Option<EngineEvent>, EngineError> {
        let event: RawEvent<'_> = serde_json::from_slice(data)
            .map_err(|error| EngineError::Malformed(error.to_string()))?;
        let expected = &mut self.expected;
        let is_named = event.id.is_some() || event.attempt.is_some();
        let is_own = event.id.as_deref() == Some(expected.id.as_str())
            && event.attempt == Some(expected.attempt);
        if let Some(reason) = event.finish_reason {
            if is_named && !is_own {
                self.dropped.foreign.fetch_add(1, Ordering::Relaxed);
                return Ok(None);
            }
            self.finish = Some((reason.into_owned(), event.usage));
            return Ok(None);
        }
        if !is_own {
            self.dropped.foreign.fetch_add(1, Ordering::Relaxed);
            return Ok(None);
        }
        let (Some(index), Some(text)) = (event.index, event.text) else {
            let detail = "neither a token nor the finish".to_owned();
            return Err(EngineError::Malformed(detail));
        };
        if index < expected.index {
            self.dropped.repeated.fetch_add(1, Ordering::Relaxed);
            return Ok(None);
        }
        if index > expected.index || self.finish.is_some() {
            return Err(EngineError::MissingToken(expected.index, index));
        }
        expected.index += 1;
        let text = text.into_owned();
        Ok(Some(EngineEvent::Token { index, text }))
    }

    /// Handles the end marker.
    fn end(&mut self) -> Result<EngineEvent, EngineError> {
        let Some((reason, usage)) = self.finish.take() else {
            return Err(EngineError::MissingEndMarker);
        };
        if usage.completion_tokens != self.expected.index {
            let (expected, reported) = (self.expected.index, usage.completion_tokens);
            return Err(EngineError::TokenCountMismatch(expected, reported));
        }
        if let Some(body) = self.body.take() {
            tokio::spawn(tokio::time::timeout(DRAIN_LIMIT, drain(body)));
        }
        Ok(EngineEvent::Finish { reason, usage })
    }
}

/// Reads to the end of the body, which gives the connection back.
async fn drain(mut body: AnswerBody) {
    while let Ok(Some(_)) = body.next().await {}
}
