//! Stream of the events of one attempt. Each event is checked against the request.

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
/// Longest wait for the end of the body after the end marker. If the body has not ended by then,
/// the connection is closed instead of reused.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Event that was checked against the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The engine generated the next token of the answer.
    Token {
        /// Index of the token in the answer, starting at 0.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// The answer is complete: the finish event and the end marker were received.
    Finish {
        /// Reason for which the engine stopped, such as `stop`.
        reason: String,
        /// Token counts of the request.
        usage: EngineUsage,
    },
}

/// Values that the next event must carry.
#[derive(Debug)]
pub(crate) struct ExpectedEvent {
    pub(crate) id: String,
    pub(crate) attempt: AttemptId,
    pub(crate) index: u64,
}

/// Event as sent by the engine, before it is checked.
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

/// Stream of the events of one attempt. Dropping it before its end cancels the request.
#[derive(Debug)]
pub struct EngineStream {
    body: Option<AnswerBody>,
    decoder: SseDecoder,
    expected: ExpectedEvent,
    /// Reason and usage of the finish event, once it was received.
    finish: Option<(String, EngineUsage)>,
    dropped: Arc<DropCounters>,
}

impl EngineStream {
    pub(super) fn new(
        body: AnswerBody,
        expected: ExpectedEvent,
        dropped: Arc<DropCounters>,
    ) -> Self {
        Self {
            body: Some(body),
            decoder: SseDecoder::default(),
            expected,
            finish: None,
            dropped,
        }
    }

    /// Returns the index of the next token. A later attempt resumes from here.
    #[must_use]
    pub fn next_index(&self) -> u64 {
        self.expected.index
    }

    /// Waits for the next event. Returns `None` after [`EngineEvent::Finish`] or an error.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError`] if the answer is incomplete, malformed or out of order. The
    /// connection is then closed.
    pub async fn next(&mut self) -> Result<Option<EngineEvent>, EngineError> {
        let result = self.next_event().await;
        if result.is_err() {
            // Dropping the body closes the connection.
            self.body = None;
        }
        result
    }

    async fn next_event(&mut self) -> Result<Option<EngineEvent>, EngineError> {
        loop {
            let Some(body) = &mut self.body else {
                return Ok(None);
            };
            let data = self
                .decoder
                .next()
                .map_err(|_| EngineError::Malformed("event longer than the limit".to_owned()))?;
            match data {
                Some(data) if *data == *END_MARKER => return self.finish_stream().map(Some),
                Some(data) => {
                    if let Some(event) = self.check_event(&data)? {
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

    /// Decodes an event and checks it. Returns `None` for a dropped event and for the finish event,
    /// which is returned to the caller when the end marker arrives.
    fn check_event(&mut self, data: &[u8]) -> Result<Option<EngineEvent>, EngineError> {
        let event: RawEvent<'_> = serde_json::from_slice(data)
            .map_err(|error| EngineError::Malformed(error.to_string()))?;
        let expected = &mut self.expected;
        let carries_ids = event.id.is_some() || event.attempt.is_some();
        let is_from_this_attempt = event.id.as_deref() == Some(expected.id.as_str())
            && event.attempt == Some(expected.attempt);
        if let Some(reason) = event.finish_reason {
            if carries_ids && !is_from_this_attempt {
                self.dropped.foreign.fetch_add(1, Ordering::Relaxed);
                return Ok(None);
            }
            self.finish = Some((reason.into_owned(), event.usage));
            return Ok(None);
        }
        if !is_from_this_attempt {
            self.dropped.foreign.fetch_add(1, Ordering::Relaxed);
            return Ok(None);
        }
        let (Some(index), Some(text)) = (event.index, event.text) else {
            let detail = "event is neither a token nor the finish".to_owned();
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

    /// Checks the usage when the end marker arrives, and reads the rest of the body in the
    /// background so that the connection can be reused.
    fn finish_stream(&mut self) -> Result<EngineEvent, EngineError> {
        let Some((reason, usage)) = self.finish.take() else {
            return Err(EngineError::MissingEndMarker);
        };
        if usage.completion_tokens != self.expected.index {
            let (received, reported) = (self.expected.index, usage.completion_tokens);
            return Err(EngineError::TokenCountMismatch(received, reported));
        }
        if let Some(body) = self.body.take() {
            tokio::spawn(tokio::time::timeout(DRAIN_TIMEOUT, drain(body)));
        }
        Ok(EngineEvent::Finish { reason, usage })
    }
}

/// Reads the body to its end, which returns the connection to the pool.
async fn drain(mut body: AnswerBody) {
    while let Ok(Some(_)) = body.next().await {}
}
