//! Splits a server-sent event stream into its events.

use bytes::{Bytes, BytesMut};

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes of the event as received, with the blank line that ends it.
    pub bytes: Bytes,
    /// Value of the event's `id` line, if it has one that is a number.
    pub id: Option<u64>,
}

/// Splits received bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer in which no event ends.
    scanned_bytes: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, or `None` until more bytes arrive.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let Some(end) = event_end(&self.buffer, self.scanned_bytes) else {
            // The last three bytes may be the beginning of the longest separator, `\r\n\r\n`.
            self.scanned_bytes = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.scanned_bytes = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Returns the number of bytes received after the last complete event.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether bytes of an incomplete event are left.
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
