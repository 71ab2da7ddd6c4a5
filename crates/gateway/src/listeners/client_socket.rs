//! The socket of a client's connection, which is reset if an answer breaks off whose end is only
//! marked by the end of the connection.

use crate::body_memory::ConnectionMemory;
use socket2::SockRef;
use std::cell::Cell;
use std::future::pending;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest time for which a client may read its last answer before the connection is closed.
const LINGER_MAX: Duration = Duration::from_secs(1);

/// Tells the socket of a connection that the end of the connection is the end of its last answer.
#[derive(Clone, Debug, Default)]
pub(super) struct EndOfAnswer {
    is_end_of_connection: Rc<Cell<bool>>,
}

impl EndOfAnswer {
    /// Makes the connection end with a reset unless it is shut down, which happens after the last
    /// byte of the answer.
    pub(super) fn set_end_of_connection(&self) {
        self.is_end_of_connection.set(true);
    }

    /// Returns whether the connection would end with a reset now.
    pub(super) fn is_end_of_connection(&self) -> bool {
        self.is_end_of_connection.get()
    }
}

/// Socket of a client.
#[derive(Debug)]
pub(super) struct ClientSocket {
    stream: TcpStream,
    end_of_answer: EndOfAnswer,
    memory: ConnectionMemory,
    is_reset_on_close: bool,
    /// Whether all answers were sent and no more will be.
    is_shut_down: bool,
}

impl ClientSocket {
    pub(super) fn new(
        stream: TcpStream,
        end_of_answer: EndOfAnswer,
        memory: ConnectionMemory,
    ) -> Self {
        Self {
            stream,
            end_of_answer,
            memory,
            is_reset_on_close: false,
            is_shut_down: false,
        }
    }

    /// Waits until the client has closed the connection, for [`LINGER_MAX`] at most. Closing it
    /// earlier would reset it if the client still sends, and the reset may discard the last answer.
    ///
    /// What the client sends is not read: it would be a request that gets no answer, and a client
    /// repeats a request only if it was not read.
    pub(super) async fn linger(&self) {
        if !self.is_shut_down {
            return;
        }
        let closed = async {
            let ready = self.stream.ready(Interest::READABLE).await;
            if ready.is_ok_and(|ready| !ready.is_read_closed()) {
                // Unread bytes keep the socket ready, so that a wait for the end would not pause.
                pending::<()>().await;
            }
        };
        // Both outcomes end the wait.
        let _ = timeout(LINGER_MAX, closed).await;
    }

    fn observe_write(&self, result: Poll<Result<usize>>) -> Poll<Result<usize>> {
        match &result {
            Poll::Ready(Ok(count)) => self.memory.on_written(*count),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.memory.on_write_blocked(),
        }
        result
    }

    /// Applies [`EndOfAnswer`] before the first bytes of the answer are sent. The kernel then resets
    /// the connection also if this process is killed.
    fn prepare_write(&mut self) -> Result<()> {
        if self.is_reset_on_close || !self.end_of_answer.is_end_of_connection() {
            return Ok(());
        }
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
        self.is_reset_on_close = true;
        Ok(())
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.memory.on_read(buffer.filled().len() - filled);
        result
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.prepare_write()?;
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.observe_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.prepare_write()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.observe_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// hyper flushes only when it holds nothing more to write.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.memory.on_flushed();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        if self.is_reset_on_close {
            SockRef::from(&self.stream).set_linger(None)?;
            self.is_reset_on_close = false;
            self.end_of_answer.is_end_of_connection.set(false);
        }
        let result = ready!(Pin::new(&mut self.stream).poll_shutdown(context));
        self.is_shut_down = result.is_ok();
        Poll::Ready(result)
    }
}
