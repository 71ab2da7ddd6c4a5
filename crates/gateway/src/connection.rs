//! HTTP/1.1 connections to backend servers and to the platform.

use crate::ack_timeout::{AckTimeout, SentRequest};
use crate::read_limit::{ReadAllowance, ReadLimited};
use crate::upload_guard::{Upload, UploadGuard};
use anvilgw_core::is_final_status;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Idle time after which the kernel sends keep-alive probes, and the time between them.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest head of an answer, in bytes. A server that never ends the head would otherwise be read
/// until the request's deadline.
const HEAD_MAX_BYTES: usize = 256 * 1024;
/// Size of a connection's read buffer.
const BUFFER_MAX_BYTES: usize = 128 * 1024;

quick_error! {
    /// Why a request got no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SendError {
        /// Nothing of the request was sent.
        NotSent(reason: String) {
            display("not sent: {}", reason)
        }
        /// Nothing was sent, because nothing listens at the address.
        Refused(reason: String) {
            display("not sent: {}", reason)
        }
        /// Nothing was sent, because this daemon has as many connections to the address open as it
        /// may.
        NoConnection {
            display("not sent: the limit of connections to the server is reached")
        }
        /// The request was sent at least in part, so it may have been executed.
        OutcomeUnknown(reason: String) {
            display("no answer: {}", reason)
        }
    }
}

/// An open HTTP/1.1 connection. Dropping it closes it at once, which also cancels a request in
/// progress.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    allowance: ReadAllowance,
    request: SentRequest,
    upload: Upload,
    /// Number of requests that were sent, at least in part.
    sent_requests: u64,
    _open: OpenCount,
}

impl Connection {
    /// Opens a connection to `address` within the time `limit`. The connection holds `open` until
    /// it is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Refused`] if nothing listens at the address, and [`SendError::NotSent`]
    /// if the connection cannot be opened in time.
    pub async fn open(
        address: SocketAddr,
        limit: Duration,
        open: OpenCount,
    ) -> Result<Self, SendError> {
        let not_sent = |reason: String| SendError::NotSent(reason);
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                let reason = format!("connect {address}: {error}");
                return Err(match error.kind() {
                    std::io::ErrorKind::ConnectionRefused => SendError::Refused(reason),
                    _ => not_sent(reason),
                });
            }
            Err(_) => return Err(not_sent(format!("connect {address}: timeout"))),
        };
        let option_failed = |error| not_sent(format!("socket options: {error}"));
        set_options(&stream).map_err(option_failed)?;
        let request = SentRequest::default();
        let upload = Upload::default();
        let stream = UploadGuard::new(stream, upload.clone());
        let (stream, peer_monitor) = AckTimeout::new(stream, &request).map_err(option_failed)?;
        let allowance = ReadAllowance::default();
        let stream = TokioIo::new(ReadLimited::new(stream, allowance.clone()));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_MAX_BYTES)
            .handshake(stream)
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            tokio::select! {
                // An error also reaches the request in progress. An idle connection has none, so it
                // is ignored here.
                _ = connection => {}
                () = peer_monitor.run() => {}
            }
        });
        Ok(Self {
            address,
            sender,
            task,
            allowance,
            request,
            upload,
            sent_requests: 0,
            _open: open,
        })
    }

    /// Returns the address that the connection was opened to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the connection was closed because the peer acknowledged nothing: it has lost
    /// power, or is cut off.
    #[must_use]
    pub fn is_peer_unreachable(&self) -> bool {
        self.request.is_peer_unreachable()
    }

    /// Returns whether an answer may belong to an earlier request, because more than one was sent. A
    /// server may answer a request a second time, when the answer to the next one is expected.
    pub(crate) fn may_carry_earlier_answers(&self) -> bool {
        self.sent_requests > 1
    }

    /// Returns whether a request can be sent now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Records that the last answer was read to its end while the connection stays open.
    pub(crate) fn on_answer_read(&self) {
        self.upload.finish();
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`], whose variant tells whether the request may have been executed.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.allowance.limit_to(HEAD_MAX_BYTES);
        let body_bytes = request.body().size_hint().exact().unwrap_or(u64::MAX);
        self.request.begin(body_bytes);
        self.upload.begin(body_bytes);
        self.sent_requests += 1;
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.allowance.lift();
                self.request.on_answer();
                let status = response.status().as_u16();
                if !is_final_status(status) {
                    let reason = format!("status {status} is not that of a final answer");
                    return Err(SendError::OutcomeUnknown(reason));
                }
                Ok(response)
            }
            Err(mut error) => {
                let was_sent = error.take_message().is_none();
                let reason = describe(error.error());
                Err(if was_sent {
                    SendError::OutcomeUnknown(reason)
                } else {
                    SendError::NotSent(reason)
                })
            }
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns the message of an error and of all its sources.
#[must_use]
pub fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        source = inner.source();
    }
    text
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Guard that counts one open connection until it is dropped.
#[derive(Debug)]
pub struct OpenCount {
    count: Rc<Cell<usize>>,
}

impl OpenCount {
    /// Increments `count` until the guard is dropped.
    #[must_use]
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self {
            count: Rc::clone(count),
        }
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(1));
    }
}
