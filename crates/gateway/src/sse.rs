//! Events of a server-sent event stream.

use bytes::{Bytes, BytesMut};

/// A complete event, as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The bytes of the event with the blank line that ends it.
    pub bytes: Bytes,
    /// Its identifier.
    pub id: Option<u64>,
}

/// Splits received bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that hold no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let Some(end) = event_end(&self.buffer, self.searched) else {
            // The end may begin with the last three bytes.
            self.searched = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Bytes that were received after the last complete event.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether bytes of an incomplete event are left.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

fn event_end(buffer: &[u8], from: usize) -> Option<usize> {
    (from..buffer.len()).find_map(|at| {
        let rest = &buffer[at..];
        if rest.starts_with(b"\n\n") {
            return Some(at + 2);
        }
        rest.starts_with(b"\r\n\r\n").then_some(at + 4)
    })
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
