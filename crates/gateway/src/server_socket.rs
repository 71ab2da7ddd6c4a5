//! The socket of a connection to a backend server, which is closed if the peer acknowledges nothing.

use socket2::SockRef;
use std::cell::Cell;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Time without an acknowledgement after which the kernel closes a connection. A peer that lost
/// power sends no reset, so nothing else ends such a connection.
const TIMEOUT: Duration = Duration::from_millis(1500);
/// The same for long requests. The kernel also counts the time for which the peer reads nothing and
/// its buffers are full, and a server may read a long body late.
const TIMEOUT_FOR_LONG: Duration = Duration::from_secs(5);
/// Longer bodies may fill the receive buffer of a server.
const LONG_BODY_BYTES: u64 = 64 * 1024;

/// Time without an acknowledgement after which a connection is closed. The owner of the connection
/// chooses it through a clone.
#[derive(Clone, Debug)]
pub(crate) struct UnacknowledgedTimeout {
    timeout: Rc<Cell<Duration>>,
}

impl UnacknowledgedTimeout {
    pub(crate) fn new() -> Self {
        Self {
            timeout: Rc::new(Cell::new(TIMEOUT)),
        }
    }

    /// Chooses the time while a request with a body of this length has no answer.
    pub(crate) fn choose_for_request(&self, body_bytes: u64) {
        let is_long = body_bytes > LONG_BODY_BYTES;
        self.timeout
            .set(if is_long { TIMEOUT_FOR_LONG } else { TIMEOUT });
    }

    /// Chooses the time after the head of an answer.
    pub(crate) fn choose_for_answer(&self) {
        self.timeout.set(TIMEOUT);
    }
}

/// Socket of a backend server.
#[derive(Debug)]
pub(crate) struct ServerSocket {
    stream: TcpStream,
    timeout: UnacknowledgedTimeout,
    applied: Duration,
}

impl ServerSocket {
    /// Wraps a stream, and sets the option for the first time.
    ///
    /// # Errors
    ///
    /// Returns an error if the option cannot be set.
    pub(crate) fn new(stream: TcpStream, timeout: UnacknowledgedTimeout) -> Result<Self> {
        let applied = timeout.timeout.get();
        SockRef::from(&stream).set_tcp_user_timeout(Some(applied))?;
        Ok(Self {
            stream,
            timeout,
            applied,
        })
    }

    /// Applies a change of the timeout.
    fn apply_timeout(&mut self) -> Result<()> {
        let timeout = self.timeout.timeout.get();
        if self.applied != timeout {
            SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout))?;
            self.applied = timeout;
        }
        Ok(())
    }
}

impl AsyncRead for ServerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.apply_timeout()?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ServerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.apply_timeout()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.apply_timeout()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
