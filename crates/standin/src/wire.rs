//! Connections of a stand-in that can go silent.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Size of the buffer into which the bytes of a silent connection are discarded.
const DISCARD_BYTES: usize = 4096;

/// Faults of one open connection.
#[derive(Debug, Default)]
pub(crate) struct Wire {
    silent: AtomicBool,
    cut: Notify,
}

impl Wire {
    /// From now on the connection takes bytes, passes none of them on and sends none.
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

/// Stream of one accepted connection.
pub(crate) struct WireIo<'a> {
    pub(crate) stream: TcpStream,
    pub(crate) wire: &'a Wire,
}

impl AsyncRead for WireIo<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if !self.wire.is_silent() {
            return result;
        }
        buf.set_filled(before);
        let mut discarded = [0; DISCARD_BYTES];
        loop {
            let mut discard = ReadBuf::new(&mut discarded);
            match Pin::new(&mut self.stream).poll_read(cx, &mut discard) {
                Poll::Ready(Ok(())) if !discard.filled().is_empty() => {}
                // The end of the peer's side is not passed on either: a middlebox that has dropped
                // the state of a connection drops its FIN and RST too.
                _ => return Poll::Pending,
            }
        }
    }
}

impl AsyncWrite for WireIo<'_> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.wire.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.wire.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
