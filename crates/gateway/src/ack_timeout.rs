//! A socket wrapper that adapts the kernel's limit on unacknowledged data to the size of a request.
//!
//! The kernel counts the time in which a peer's receive window is closed like the time in which the
//! peer acknowledges nothing. A process that reads nothing for a while closes the window once a
//! request has filled its receive buffer, although its machine is sound.

use socket2::SockRef;
use std::cell::Cell;
use std::io::{ErrorKind, Result};
use std::os::fd::AsFd;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Time without an acknowledgement after which the kernel closes a connection. A peer that lost
/// power sends no reset, so nothing else ends such a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);
/// The same while a request is sent that may fill the peer's receive buffer. It also bounds the
/// time in which the peer reads nothing.
const UNREAD_TIMEOUT: Duration = Duration::from_millis(4000);
/// Size of a body in bytes that fits into every peer's receive buffer, with the head of the
/// request. Kernels grant about 64 KiB at first.
const RECEIVE_BUFFER_MIN_BYTES: u64 = 32 * 1024;

/// Size of the body of the request that is being sent. The owner of the connection sets it through
/// a clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestSize {
    body_bytes: Rc<Cell<u64>>,
}

impl RequestSize {
    /// Sets the size of the body of the next request.
    pub(crate) fn set(&self, body_bytes: u64) {
        self.body_bytes.set(body_bytes);
    }

    /// Records that the answer to the request has begun, so that the peer reads.
    pub(crate) fn on_answer(&self) {
        self.body_bytes.set(0);
    }

    fn ack_timeout(&self) -> Duration {
        if self.body_bytes.get() > RECEIVE_BUFFER_MIN_BYTES {
            UNREAD_TIMEOUT
        } else {
            UNACKNOWLEDGED_TIMEOUT
        }
    }
}

/// Whether the kernel closed a connection because its peer acknowledged nothing. The owner of the
/// connection reads it through a clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerUnreachable(Rc<Cell<bool>>);

impl PeerUnreachable {
    pub(crate) fn get(&self) -> bool {
        self.0.get()
    }

    fn inspect<T>(&self, result: &Poll<Result<T>>) {
        if let Poll::Ready(Err(error)) = result
            && error.kind() == ErrorKind::TimedOut
        {
            self.0.set(true);
        }
    }
}

/// A socket whose limit on unacknowledged data depends on the size of the request.
#[derive(Debug)]
pub(crate) struct AckTimeout<S> {
    inner: S,
    request_size: RequestSize,
    peer_unreachable: PeerUnreachable,
    timeout_in_force: Option<Duration>,
}

impl<S: AsFd> AckTimeout<S> {
    pub(crate) fn new(
        inner: S,
        request_size: RequestSize,
        peer_unreachable: PeerUnreachable,
    ) -> Self {
        Self {
            inner,
            request_size,
            peer_unreachable,
            timeout_in_force: None,
        }
    }

    /// Sets the limit for the request that is being sent, if it is not in force.
    fn adapt(&mut self) -> Result<()> {
        let timeout = Some(self.request_size.ack_timeout());
        if self.timeout_in_force != timeout {
            SockRef::from(&self.inner).set_tcp_user_timeout(timeout)?;
            self.timeout_in_force = timeout;
        }
        Ok(())
    }
}

impl<S: AsyncRead + AsFd + Unpin> AsyncRead for AckTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.adapt()?;
        let result = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.peer_unreachable.inspect(&result);
        result
    }
}

impl<S: AsyncWrite + AsFd + Unpin> AsyncWrite for AckTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.adapt()?;
        let result = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.peer_unreachable.inspect(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.adapt()?;
        let result = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.peer_unreachable.inspect(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
