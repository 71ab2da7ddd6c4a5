//! Incremental decoder of server-sent events.

use bytes::{Buf, Bytes, BytesMut};

/// Longest event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Decoder of the data of server-sent events. Comments and other fields are skipped.
#[derive(Debug, Default)]
pub(crate) struct SseDecoder {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that contain no line end.
    scanned: usize,
    data: Option<BytesMut>,
}

/// An event longer than the limit.
#[derive(Debug)]
pub(crate) struct TooLong;

impl SseDecoder {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Data of the next complete event.
    pub(crate) fn next(&mut self) -> Result<Option<Bytes>, TooLong> {
        while let Some(line) = self.next_line() {
            if line.is_empty() {
                if let Some(data) = self.data.take() {
                    return Ok(Some(data.freeze()));
                }
            } else if let Some(value) = line.strip_prefix(b"data:") {
                let value = value.strip_prefix(b" ").unwrap_or(value);
                self.add(value);
            }
        }
        let held = self.buffer.len() + self.data.as_ref().map_or(0, BytesMut::len);
        if held > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        Ok(None)
    }

    fn add(&mut self, value: &[u8]) {
        match &mut self.data {
            Some(data) => {
                data.extend_from_slice(b"\n");
                data.extend_from_slice(value);
            }
            None => self.data = Some(BytesMut::from(value)),
        }
    }

    /// Takes a line without its end, which is LF or CRLF.
    fn next_line(&mut self) -> Option<BytesMut> {
        let new = &self.buffer[self.scanned..];
        let Some(length) = new.iter().position(|byte| *byte == b'\n') else {
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
