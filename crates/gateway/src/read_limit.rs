//! A socket wrapper that limits how many bytes an answer's head may take up.

use std::cell::Cell;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes that may still be read from a socket, unlimited by default. The owner of the
/// connection sets it through a clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadAllowance {
    bytes: Rc<Cell<Option<usize>>>,
}

impl ReadAllowance {
    /// Limits further reads to `bytes` in total.
    pub(crate) fn limit_to(&self, bytes: usize) {
        self.bytes.set(Some(bytes));
    }

    /// Removes the limit.
    pub(crate) fn lift(&self) {
        self.bytes.set(None);
    }

    fn is_used_up(&self) -> bool {
        self.bytes.get() == Some(0)
    }

    fn take(&self, count: usize) {
        let rest = self.bytes.get().map(|bytes| bytes.saturating_sub(count));
        self.bytes.set(rest);
    }
}

/// A socket whose reads count against a [`ReadAllowance`] and fail when it is used up.
#[derive(Debug)]
pub(crate) struct ReadLimited<S> {
    inner: S,
    allowance: ReadAllowance,
}

impl<S> ReadLimited<S> {
    pub(crate) fn new(inner: S, allowance: ReadAllowance) -> Self {
        Self { inner, allowance }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ReadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if self.allowance.is_used_up() {
            let error = Error::new(ErrorKind::InvalidData, "the head of the answer is too long");
            return Poll::Ready(Err(error));
        }
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        self.allowance.take(buffer.filled().len() - filled);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ReadLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
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
