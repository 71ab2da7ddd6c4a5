//! Finds the events in a stream of server-sent events.
//!
//! A line ends with LF, CR or CRLF, and an event ends with an empty line.

use bytes::{Bytes, BytesMut};

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes of the event as received, with the blank line that ends it.
    pub bytes: Bytes,
    /// Value of the event's `id` line, if it has one that is a number.
    pub id: Option<u64>,
}

/// Finds the ends of events in bytes that arrive in pieces.
#[derive(Clone, Copy, Debug)]
pub struct EventScanner {
    /// Whether the current line has no bytes yet.
    is_line_empty: bool,
    /// Whether the last byte was a CR. An LF after it belongs to the same line end.
    is_after_cr: bool,
    is_between_events: bool,
}

impl Default for EventScanner {
    fn default() -> Self {
        Self {
            is_line_empty: true,
            is_after_cr: false,
            is_between_events: true,
        }
    }
}

impl EventScanner {
    /// Scans bytes up to the next end of an event and returns their number. Returns `None` if no
    /// event ends in `bytes`; all of them are scanned then.
    ///
    /// If the pieces are divided between the CR and the LF that end an event, the event ends with
    /// the CR, and the LF is scanned without an effect.
    pub fn next_end(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            let ends_line = match byte {
                b'\n' => !self.is_after_cr,
                b'\r' => true,
                _ => false,
            };
            let continues_line_end = *byte == b'\n' && self.is_after_cr;
            self.is_after_cr = *byte == b'\r';
            if continues_line_end {
                continue;
            }
            let ends_event = ends_line && self.is_line_empty;
            self.is_line_empty = ends_line;
            self.is_between_events = ends_event;
            if ends_event {
                return Some(index + 1 + self.skip_lf(&bytes[index + 1..]));
            }
        }
        None
    }

    /// Scans all of `bytes`.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while let Some(end) = self.next_end(bytes) {
            bytes = &bytes[end..];
        }
    }

    /// Returns whether the bytes scanned so far end with a complete event, or are none.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.is_between_events
    }

    /// Scans an LF that completes the line end of the last byte, and returns the number of bytes.
    fn skip_lf(&mut self, bytes: &[u8]) -> usize {
        if self.is_after_cr && bytes.first() == Some(&b'\n') {
            self.is_after_cr = false;
            return 1;
        }
        0
    }
}

/// Splits received bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanner: EventScanner,
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
        let Some(end) = self.scanner.next_end(&self.buffer[self.scanned_bytes..]) else {
            self.scanned_bytes = self.buffer.len();
            return None;
        };
        let event_bytes = self.scanned_bytes + end;
        self.scanned_bytes = 0;
        let bytes = self.buffer.split_to(event_bytes).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Returns the number of bytes received after the last complete event.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the last event is incomplete, once [`Self::next_event`] has returned `None`.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.scanner.is_between_events()
    }

    /// Removes and returns the bytes after the last complete event: none, a part of an event, or
    /// the LF of a line end whose CR ended the event.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned_bytes = 0;
        self.buffer.split().freeze()
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| matches!(byte, b'\n' | b'\r'))
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
