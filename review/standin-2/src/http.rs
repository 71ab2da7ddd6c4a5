//! HTTP/1.1 messages over blocking sockets.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request or an answer whose body was read to its end.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Request target with its query.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }

    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a connection.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // Small messages are to leave at once; a socket without the option only is slower.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Connects within one second.
    pub fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> Result<()> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(Error::new(ErrorKind::UnexpectedEof, "connection closed"));
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.buffer.drain(..end + 2).collect::<Vec<u8>>();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    fn bytes(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a head.
    pub fn read_head(&mut self) -> Result<Message> {
        let first_line = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
        Ok(Message {
            first_line,
            headers,
            body: Vec::new(),
        })
    }

    /// Reads a message with its whole body. An answer without a length or chunks ends with its
    /// connection.
    pub fn read(&mut self) -> Result<Message> {
        let mut message = self.read_head()?;
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| Error::new(ErrorKind::InvalidData, "chunk size"))?;
                let chunk = self.bytes(size)?;
                message.body.extend_from_slice(&chunk);
                self.line()?;
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message.header("content-length");
        let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        message.body = self.bytes(length)?;
        Ok(message)
    }

    /// Writes an answer with a length.
    pub fn answer(&mut self, status: u16, headers: &str, body: &[u8]) -> Result<()> {
        let head = format!(
            "HTTP/1.1 {status} x\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        self.stream.write_all(&[head.as_bytes(), body].concat())
    }

    pub fn write(&mut self, text: &str) -> Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    pub fn write_chunk(&mut self, text: &str) -> Result<()> {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len()))
    }
}

/// Serves each connection on a thread of its own until the process ends.
pub fn serve(listener: TcpListener, handle: impl Fn(Connection) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(Connection::new(stream)));
        }
    });
}
