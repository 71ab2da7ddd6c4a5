//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;

/// Longest head that is read, in bytes.
const HEAD_MAX_BYTES: usize = 1 << 20;

/// Head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub first_line: String,
    /// Names in lower case, with values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of the first header with a name, given in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of an answer, or 0.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"))
    }
}

/// Reads messages of one connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes. Returns `false` at the end of the connection.
    fn fill(&mut self) -> Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    fn fill_or_fail(&mut self) -> Result<()> {
        if self.fill()? {
            Ok(())
        } else {
            Err(Error::new(ErrorKind::UnexpectedEof, "the connection ended"))
        }
    }

    /// Reads a head. Returns `None` if the connection ends before it begins.
    pub fn head(&mut self) -> Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head {
                    first_line,
                    headers,
                }));
            }
            if self.buffer.len() > HEAD_MAX_BYTES {
                return Err(Error::new(ErrorKind::InvalidData, "the head is too long"));
            }
            let was_empty = self.buffer.is_empty();
            if !self.fill()? {
                return if was_empty {
                    Ok(None)
                } else {
                    Err(Error::new(ErrorKind::UnexpectedEof, "the head was cut"))
                };
            }
        }
    }

    /// Reads exactly `count` bytes.
    pub fn bytes(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill_or_fail()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(text);
            }
            self.fill_or_fail()?;
        }
    }

    /// Reads the next chunk of a chunked body; an empty one is the end.
    pub fn chunk(&mut self) -> Result<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16)
            .map_err(|_| Error::new(ErrorKind::InvalidData, "not the size of a chunk"))?;
        let bytes = self.bytes(size)?;
        self.line()?;
        Ok(bytes)
    }

    /// Reads the whole body of a message. An answer without a length ends with the connection.
    pub fn body(&mut self, head: &Head, is_answer: bool) -> Result<Vec<u8>> {
        if head.is_chunked() {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        if let Some(length) = head.length() {
            return self.bytes(length);
        }
        if !is_answer {
            return Ok(Vec::new());
        }
        while self.fill()? {}
        Ok(std::mem::take(&mut self.buffer))
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> Result<()> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Writes one chunk of a chunked body. An empty one ends the body.
pub fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> Result<()> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    stream.write_all(&chunk)
}
