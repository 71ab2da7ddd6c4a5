//! A socket wrapper that holds back the end of an answer while its request is still on its way.
//!
//! An answer without a length ends with its connection. A server that closes a connection before it
//! has received the whole request first ends the answer, and its kernel resets the connection when
//! more of the request arrives. Such an answer was broken off, although its end arrives as that of a
//! whole one.

use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{IoSlice, Result};
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// Size of a request's body up to which the request arrives at the server at once: it fits into the
/// first packets of a connection. A server that closes the connection without having read it resets
/// the connection instead of ending it.
const ARRIVES_AT_ONCE_BYTES: u64 = 8 * 1024;
/// Time after the end of an answer within which a reset arrives, if the server had closed the
/// connection while bytes of the request were on their way: a round trip between failure domains.
const RESET_WAIT: Duration = Duration::from_millis(50);

/// The request that is being sent, as far as the socket has to know it. The owner of the connection
/// changes it through a clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upload {
    state: Rc<UploadState>,
}

#[derive(Debug, Default)]
struct UploadState {
    body_bytes: Cell<u64>,
    /// Whether bytes of the answer have arrived.
    is_answer_begun: Cell<bool>,
    /// Task that waits to read the end of the answer.
    reader: RefCell<Option<Waker>>,
}

impl Upload {
    /// Records that a request with a body of this size is sent next.
    pub(crate) fn begin(&self, body_bytes: u64) {
        self.state.body_bytes.set(body_bytes);
        self.state.is_answer_begun.set(false);
    }

    /// Records that the answer was read to its end while the connection stays open.
    pub(crate) fn finish(&self) {
        self.begin(0);
        self.wake_reader();
    }

    fn on_answer_bytes(&self) {
        self.state.is_answer_begun.set(true);
    }

    fn is_answer_begun(&self) -> bool {
        self.state.is_answer_begun.get()
    }

    fn arrives_at_once(&self) -> bool {
        self.state.body_bytes.get() <= ARRIVES_AT_ONCE_BYTES
    }

    fn set_reader(&self, context: &Context<'_>) {
        self.state.reader.replace(Some(context.waker().clone()));
    }

    fn wake_reader(&self) {
        if let Some(reader) = self.state.reader.take() {
            reader.wake();
        }
    }
}

/// A socket that reports the end of an answer only once its request was sent, and reports it as an
/// error if the connection was reset after it.
#[derive(Debug)]
pub(crate) struct UploadGuard<S> {
    inner: S,
    upload: Upload,
    /// Whether bytes of a request wait to be written to the socket.
    has_unsent: bool,
    is_ended_by_peer: bool,
    reset_wait: Option<Pin<Box<Sleep>>>,
}

impl<S: AsFd> UploadGuard<S> {
    pub(crate) fn new(inner: S, upload: Upload) -> Self {
        Self {
            inner,
            upload,
            has_unsent: false,
            is_ended_by_peer: false,
            reset_wait: None,
        }
    }

    /// Completes when the end of the peer's bytes can be reported.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<Result<()>> {
        if !self.upload.is_answer_begun() {
            return Poll::Ready(Ok(()));
        }
        if self.has_unsent {
            self.upload.set_reader(context);
            return Poll::Pending;
        }
        if self.upload.arrives_at_once() {
            return Poll::Ready(Ok(()));
        }
        self.upload.set_reader(context);
        let new_wait = || Box::pin(sleep(RESET_WAIT));
        let wait = self.reset_wait.get_or_insert_with(new_wait);
        ready!(wait.as_mut().poll(context));
        let error = SockRef::from(&self.inner).take_error()?;
        Poll::Ready(error.map_or(Ok(()), Err))
    }
}

impl<S: AsFd> AsFd for UploadGuard<S> {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.inner.as_fd()
    }
}

impl<S: AsyncRead + AsFd + Unpin> AsyncRead for UploadGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if !self.is_ended_by_peer {
            let filled = buffer.filled().len();
            ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
            if buffer.filled().len() > filled {
                self.upload.on_answer_bytes();
                return Poll::Ready(Ok(()));
            }
            self.is_ended_by_peer = true;
        }
        self.poll_end(context)
    }
}

impl<S: AsyncWrite + AsFd + Unpin> AsyncWrite for UploadGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.has_unsent = true;
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.has_unsent = true;
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    /// The writer flushes only after it has written all that it has.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_flush(context))?;
        self.has_unsent = false;
        self.upload.wake_reader();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
