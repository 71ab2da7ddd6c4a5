//! HTTP/1.1 connection that counts the bytes written and records when it last made progress.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout};

/// Settings of the connections to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ConnectionSettings {
    /// Longest time to open a TCP connection, in milliseconds.
    pub connect_ms: u64,
    /// Time in milliseconds after which a connection with a request in flight is closed if no byte
    /// was sent or received. [`CallOptions::silence_timeout`](crate::CallOptions::silence_timeout)
    /// overrides it for one exchange.
    pub silence_ms: u64,
    /// Time in milliseconds after which an idle connection is no longer reused. The longer a
    /// connection is idle, the more likely it is that the server or a middlebox has dropped it.
    pub idle_ms: u64,
    /// Highest number of idle connections in the pool. Further ones are closed.
    pub max_idle: usize,
    /// Longest answer body, in bytes, that is collected in memory. Streamed answers are not
    /// limited.
    pub max_answer_bytes: usize,
}

impl Default for ConnectionSettings {
    fn default() -> Self {
        Self {
            connect_ms: 1_000,
            silence_ms: 1_000,
            idle_ms: 5_000,
            max_idle: 32,
            max_answer_bytes: 16 << 20,
        }
    }
}

/// Progress of a connection: the bytes written to it and when a byte was last sent or received.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Time at which the connection was opened.
    origin: Instant,
    written_bytes: AtomicU64,
    /// Time of the last byte sent or received, in microseconds since `origin`.
    last_progress_us: AtomicU64,
}

impl Progress {
    fn new() -> Self {
        Self {
            origin: Instant::now(),
            written_bytes: AtomicU64::new(0),
            last_progress_us: AtomicU64::new(0),
        }
    }

    /// Returns the number of bytes written since the connection was opened.
    pub(crate) fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::Acquire)
    }

    /// Completes when no byte was sent or received for `silence`, counted from `start` at the
    /// earliest.
    pub(crate) async fn until_silent(&self, start: Instant, silence: Duration) {
        loop {
            let last =
                self.origin + Duration::from_micros(self.last_progress_us.load(Ordering::Acquire));
            let end = last.max(start) + silence;
            if end <= Instant::now() {
                return;
            }
            sleep_until(end).await;
        }
    }

    fn record_progress(&self) {
        let since_origin = self.origin.elapsed().as_micros() as u64;
        self.last_progress_us.store(since_origin, Ordering::Release);
    }

    fn record_write(&self, count: usize) {
        self.written_bytes.fetch_add(count as u64, Ordering::AcqRel);
        self.record_progress();
    }
}

/// TCP stream that records reads and writes in a [`Progress`].
struct CountedIo {
    stream: TcpStream,
    progress: Arc<Progress>,
}

impl AsyncRead for CountedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            self.progress.record_progress();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.progress.record_write(count);
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.progress.record_write(count);
        Poll::Ready(Ok(count))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Open HTTP/1.1 connection. Dropping it closes the socket.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) progress: Arc<Progress>,
    /// Task that reads from and writes to the socket.
    driver: JoinHandle<()>,
}

impl Connection {
    /// Opens a TCP connection within `connect_timeout` and prepares it for HTTP/1.1.
    pub(crate) async fn open(addr: SocketAddr, connect_timeout: Duration) -> io::Result<Self> {
        let stream = timeout(connect_timeout, TcpStream::connect(addr))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let progress = Arc::new(Progress::new());
        let io = CountedIo {
            stream,
            progress: Arc::clone(&progress),
        };
        let (sender, connection) = http1::handshake(TokioIo::new(io))
            .await
            .map_err(io::Error::other)?;
        // The request in flight receives the error of the connection too and handles it.
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            progress,
            driver,
        })
    }

    /// Closes the socket and returns the number of bytes written to it. The driver task is stopped
    /// before the counter is read; otherwise it could still write after the caller has reported the
    /// request as not sent.
    pub(crate) async fn close(mut self) -> u64 {
        self.driver.abort();
        let _ = (&mut self.driver).await;
        self.progress.written_bytes()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
