//! The bytes of a stream between their arrival and their delivery to the client.

use crate::framing::Framing;
use crate::log::StreamPosition;
use crate::sse::{EventScanner, EventSplitter};
use bytes::{Bytes, BytesMut};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, StatusCode};
use quick_error::quick_error;

/// Media type of a stream of events. A server that states none sends events, too.
const EVENT_STREAM_TYPE: &[u8] = b"text/event-stream";

quick_error! {
    /// Why a stream that has ended is not complete.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum TruncatedStream {
        /// Its last event was received in part.
        WithinEvent {
            display("the stream ended within an event")
        }
        /// Its connection ended before the first event, and nothing else marks its end.
        BeforeFirstEvent {
            display("the stream ended before its first event")
        }
    }
}

/// Bytes that can be passed on to the client.
pub(super) struct ReadyBytes {
    pub(super) bytes: Bytes,
    /// Identifier of the last event in `bytes` that has one.
    pub(super) last_event_id: Option<u64>,
}

/// Received bytes of an answer that are not passed on yet, and how far the answer was received.
pub(super) struct StreamBuffer {
    content: Content,
    has_received: bool,
}

enum Content {
    /// Events that are passed on as a whole, so that the stream can be resumed after each.
    WholeEvents(EventSplitter),
    /// Bytes that are passed on as they arrive. `scanner` is `None` if they are not events.
    Bytes {
        pending: Option<Bytes>,
        scanner: Option<EventScanner>,
    },
}

impl StreamBuffer {
    /// Creates the buffer of an answer on a streaming route whose streams may be resumable.
    pub(super) fn new(status: StatusCode, headers: &HeaderMap, is_route_resumable: bool) -> Self {
        let has_events = has_events(status, headers);
        let content = if has_events && is_route_resumable {
            Content::WholeEvents(EventSplitter::default())
        } else {
            Content::Bytes {
                pending: None,
                scanner: has_events.then(EventScanner::default),
            }
        };
        Self {
            content,
            has_received: false,
        }
    }

    /// Returns whether another server can resume the stream after the bytes that were passed on.
    pub(super) fn is_resumable(&self) -> bool {
        matches!(self.content, Content::WholeEvents(_))
    }

    /// Discards the event that was received in part, before another server resumes the stream.
    pub(super) fn restart(&mut self) {
        if let Content::WholeEvents(splitter) = &mut self.content {
            *splitter = EventSplitter::default();
        }
        self.has_received = false;
    }

    /// Appends received bytes. Bytes that are ready must have been taken before.
    pub(super) fn push(&mut self, bytes: Bytes) {
        self.has_received = true;
        match &mut self.content {
            Content::WholeEvents(splitter) => splitter.push(&bytes),
            Content::Bytes { pending, scanner } => {
                if let Some(scanner) = scanner {
                    scanner.scan(&bytes);
                }
                *pending = Some(bytes);
            }
        }
    }

    /// Takes the bytes that can be passed on: all complete events of a resumable stream, or
    /// whatever another stream has delivered.
    pub(super) fn take_ready(&mut self) -> Option<ReadyBytes> {
        match &mut self.content {
            Content::WholeEvents(splitter) => take_events(splitter),
            Content::Bytes { pending, .. } => pending.take().map(|bytes| ReadyBytes {
                bytes,
                last_event_id: None,
            }),
        }
    }

    /// Takes the bytes that are left after the last event of a complete stream.
    pub(super) fn take_rest(&mut self) -> Option<Bytes> {
        let Content::WholeEvents(splitter) = &mut self.content else {
            return None;
        };
        Some(splitter.take_rest()).filter(|rest| !rest.is_empty())
    }

    /// Returns the number of bytes of the event that was received in part, if they are kept.
    pub(super) fn partial_bytes(&self) -> usize {
        match &self.content {
            Content::WholeEvents(splitter) => splitter.partial_bytes(),
            Content::Bytes { .. } => 0,
        }
    }

    /// Returns how far the answer was received.
    pub(super) fn position(&self) -> StreamPosition {
        let is_between_events = match &self.content {
            Content::WholeEvents(splitter) => !splitter.has_partial_event(),
            Content::Bytes { scanner, .. } => {
                scanner.is_none_or(|scanner| scanner.is_between_events())
            }
        };
        if !self.has_received {
            StreamPosition::BeforeFirstEvent
        } else if is_between_events {
            StreamPosition::BetweenEvents
        } else {
            StreamPosition::WithinEvent
        }
    }

    /// Checks whether an answer that has ended here is complete, as far as can be told.
    ///
    /// # Errors
    ///
    /// Returns how the stream is truncated. A connection that ends between two events looks like
    /// the end of the stream and is not an error.
    pub(super) fn check_end(&self, framing: Framing) -> Result<(), TruncatedStream> {
        let has_events = match &self.content {
            Content::WholeEvents(_) => true,
            Content::Bytes { scanner, .. } => scanner.is_some(),
        };
        match self.position() {
            StreamPosition::WithinEvent => Err(TruncatedStream::WithinEvent),
            StreamPosition::BeforeFirstEvent if has_events && framing == Framing::ConnectionEnd => {
                Err(TruncatedStream::BeforeFirstEvent)
            }
            StreamPosition::BeforeFirstEvent | StreamPosition::BetweenEvents => Ok(()),
        }
    }
}

/// Returns whether the body of an answer consists of events. A failure has another body.
fn has_events(status: StatusCode, headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    let is_event_type = content_type.is_none_or(|value| {
        let value = value.as_bytes();
        let length = value.len().min(EVENT_STREAM_TYPE.len());
        value[..length].eq_ignore_ascii_case(EVENT_STREAM_TYPE)
    });
    status == StatusCode::OK && is_event_type
}

fn take_events(splitter: &mut EventSplitter) -> Option<ReadyBytes> {
    let first = splitter.next_event()?;
    let mut ready = ReadyBytes {
        bytes: first.bytes,
        last_event_id: first.id,
    };
    let Some(second) = splitter.next_event() else {
        return Some(ready);
    };
    let mut joined = BytesMut::from(ready.bytes.as_ref());
    let mut next = Some(second);
    while let Some(event) = next {
        joined.extend_from_slice(&event.bytes);
        ready.last_event_id = event.id.or(ready.last_event_id);
        next = splitter.next_event();
    }
    ready.bytes = joined.freeze();
    Some(ready)
}
