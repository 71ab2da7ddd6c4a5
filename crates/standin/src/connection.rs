//! Accepted connections, which faults can pause, silence or close.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep_until};

/// Size of the buffer into which the bytes of a silent connection are discarded.
const DISCARD_BYTES: usize = 4096;

/// Silences or closes one open connection.
#[derive(Debug, Default)]
pub(crate) struct Connection {
    silent: AtomicBool,
    cut: Notify,
}

impl Connection {
    /// Silences the connection for good: it stays open, discards what it receives and sends
    /// nothing.
    pub(crate) fn silence(&self) {
        self.silent.store(true, Ordering::Release);
    }

    /// Closes the connection.
    pub(crate) fn cut(&self) {
        self.cut.notify_one();
    }

    pub(crate) async fn until_cut(&self) {
        self.cut.notified().await;
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }
}

/// Pause of all connections of a stand-in, as of a process that gets no processor time.
#[derive(Debug, Default)]
pub(crate) struct Pause {
    until: Mutex<Option<Instant>>,
}

impl Pause {
    /// Starts a pause. Nothing is read from or written to any connection until it ends.
    pub(crate) fn start(&self, duration: Duration) {
        *self.until.lock().expect("pause lock") = Some(Instant::now() + duration);
    }

    /// Returns the end of the pause, or `None` if there is none or it has passed.
    fn end(&self) -> Option<Instant> {
        let until = *self.until.lock().expect("pause lock");
        until.filter(|until| *until > Instant::now())
    }
}

/// TCP stream of an accepted connection, which honours the faults set on the [`Connection`] and the
/// [`Pause`] of its server.
pub(crate) struct ConnectionIo<'a> {
    stream: TcpStream,
    connection: &'a Connection,
    pause: &'a Pause,
    pause_end: Option<Pin<Box<Sleep>>>,
}

impl<'a> ConnectionIo<'a> {
    pub(crate) fn new(stream: TcpStream, connection: &'a Connection, pause: &'a Pause) -> Self {
        Self {
            stream,
            connection,
            pause,
            pause_end: None,
        }
    }

    /// Is ready when the server is not paused.
    fn poll_resumed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while let Some(end) = self.pause.end() {
            let pause_end = self.pause_end.insert(Box::pin(sleep_until(end)));
            ready!(pause_end.as_mut().poll(cx));
        }
        Poll::Ready(())
    }
}

impl AsyncRead for ConnectionIo<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_resumed(cx));
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if !self.connection.is_silent() {
            return result;
        }
        buf.set_filled(before);
        let mut discarded = [0; DISCARD_BYTES];
        loop {
            let mut discard = ReadBuf::new(&mut discarded);
            match Pin::new(&mut self.stream).poll_read(cx, &mut discard) {
                Poll::Ready(Ok(())) if !discard.filled().is_empty() => {}
                // A close by the peer is hidden too: a middlebox that has dropped the state of a
                // connection also drops its FIN and RST.
                _ => return Poll::Pending,
            }
        }
    }
}

impl AsyncWrite for ConnectionIo<'_> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_resumed(cx));
        if self.connection.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.connection.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
