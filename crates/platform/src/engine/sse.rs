//! Incremental decoder of server-sent events.

use bytes::{Buf, Bytes, BytesMut};

/// Highest number of buffered bytes without a complete event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Decoder of the `data` fields of server-sent events. Comments and other fields are skipped.
#[derive(Debug, Default)]
pub(crate) struct SseDecoder {
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` that are known to contain no line end.
    scanned: usize,
    /// Data of the incomplete event. Several `data` lines are joined by LF.
    data: Option<BytesMut>,
}

/// An event exceeds [`MAX_EVENT_BYTES`].
#[derive(Debug)]
pub(crate) struct EventTooLong;

impl SseDecoder {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the data of the next complete event, or `None` if more bytes have to be pushed
    /// first.
    pub(crate) fn next(&mut self) -> Result<Option<Bytes>, EventTooLong> {
        while let Some(line) = self.next_line() {
            if line.is_empty() {
                if let Some(data) = self.data.take() {
                    return Ok(Some(data.freeze()));
                }
            } else if let Some(value) = line.strip_prefix(b"data:") {
                let value = value.strip_prefix(b" ").unwrap_or(value);
                self.append_data(value);
            }
        }
        let held = self.buffer.len() + self.data.as_ref().map_or(0, BytesMut::len);
        if held > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(None)
    }

    fn append_data(&mut self, value: &[u8]) {
        match &mut self.data {
            Some(data) => {
                data.extend_from_slice(b"\n");
                data.extend_from_slice(value);
            }
            None => self.data = Some(BytesMut::from(value)),
        }
    }

    /// Removes a complete line from the buffer and returns it without its LF or CRLF.
    fn next_line(&mut self) -> Option<BytesMut> {
        let unscanned = &self.buffer[self.scanned..];
        let Some(length) = unscanned.iter().position(|byte| *byte == b'\n') else {
            self.scanned = self.buffer.len();
            return None;
        };
        let mut line = self.buffer.split_to(self.scanned + length);
        self.buffer.advance(1);
        self.scanned = 0;
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        Some(line)
    }
}
