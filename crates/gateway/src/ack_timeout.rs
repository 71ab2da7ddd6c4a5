//! A socket wrapper that ends a connection whose peer acknowledges nothing any more.
//!
//! A peer that lost power sends no reset, so only missing acknowledgements tell. The kernel's own
//! limit counts the time in which a peer's receive window is closed like the time in which the peer
//! acknowledges nothing, although a process that reads nothing for a while closes the window on a
//! sound machine. While a request is on its way, the statistics of the connection decide instead,
//! and the kernel's limit is moved ahead of them.

use crate::peer_liveness::{PROBE_INTERVAL_MAX, PeerLiveness, PeerState, Unacknowledged};
use crate::tcp_info::{TcpInfo, limit_retransmission_interval};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{Error, ErrorKind, Result};
use std::os::fd::AsFd;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// Time without an acknowledgement of data after which a peer counts as unreachable.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);
/// The same while a long request is sent that the peer has not begun to answer.
const UPLOAD_TIMEOUT: Duration = Duration::from_millis(4000);
/// Size of a body in bytes from which on a request is long.
const LONG_BODY_BYTES: u64 = 32 * 1024;
/// The kernel's limit while data waits for the peer, if the kernel sends probes often enough without
/// it. It is so long that this process may be stopped meanwhile.
const STALLED_LIMIT: Duration = Duration::from_secs(60);
/// Time between two looks at the statistics of a connection while a request is on its way.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// State of a connection that its owner, its socket and its monitor share.
#[derive(Debug, Default)]
struct SharedState {
    /// Size of the body of the request that is being sent; zero once its answer has begun.
    body_bytes: Cell<u64>,
    /// Number of requests that were begun.
    requests: Cell<u64>,
    request_begun: Notify,
    /// What the peer did not acknowledge, if the connection ends because of it.
    unreachable: Cell<Option<Unacknowledged>>,
    /// Whether the connection has ended because the peer acknowledged nothing, also if the kernel has
    /// ended it.
    is_unreachable: Cell<bool>,
    /// Task that reads from the socket.
    reader: RefCell<Option<Waker>>,
}

/// The request that is being sent. The owner of the connection sets it through a clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentRequest {
    state: Rc<SharedState>,
}

impl SentRequest {
    /// Records that a request with a body of this size is sent next.
    pub(crate) fn begin(&self, body_bytes: u64) {
        self.state.body_bytes.set(body_bytes);
        self.state.requests.set(self.state.requests.get() + 1);
        self.state.request_begun.notify_one();
    }

    /// Records that the answer to the request has begun.
    pub(crate) fn on_answer(&self) {
        self.state.body_bytes.set(0);
    }

    /// Returns whether the connection was closed because its peer acknowledged nothing.
    pub(crate) fn is_peer_unreachable(&self) -> bool {
        self.state.is_unreachable.get()
    }
}

impl SharedState {
    fn ack_timeout(&self) -> Duration {
        if self.body_bytes.get() > LONG_BODY_BYTES {
            UPLOAD_TIMEOUT
        } else {
            UNACKNOWLEDGED_TIMEOUT
        }
    }

    fn on_unreachable(&self, unacknowledged: Unacknowledged) {
        self.unreachable.set(Some(unacknowledged));
        self.is_unreachable.set(true);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    fn check_reachable(&self) -> Result<()> {
        match self.unreachable.get() {
            Some(unacknowledged) => {
                let reason = unacknowledged.to_string();
                Err(Error::new(ErrorKind::TimedOut, reason))
            }
            None => Ok(()),
        }
    }
}

/// A socket with its limit on unacknowledged data.
#[derive(Debug)]
struct LimitedSocket<S> {
    inner: S,
    limit_in_force: Option<Duration>,
    /// Whether the kernel sends window probes often enough, whatever the limit is.
    has_frequent_probes: bool,
}

impl<S: AsFd> LimitedSocket<S> {
    fn new(inner: S) -> Self {
        let limited = limit_retransmission_interval(&inner, PROBE_INTERVAL_MAX);
        Self {
            inner,
            limit_in_force: None,
            has_frequent_probes: limited.is_ok(),
        }
    }

    /// Returns the limit while data waits for the peer. Without frequent probes, it is `needed`, which
    /// makes the kernel send the next one in time.
    fn stalled_limit(&self, needed: Duration) -> Duration {
        if self.has_frequent_probes {
            STALLED_LIMIT
        } else {
            needed
        }
    }

    fn set_limit(&mut self, limit: Duration) -> Result<()> {
        if self.limit_in_force != Some(limit) {
            SockRef::from(&self.inner).set_tcp_user_timeout(Some(limit))?;
            self.limit_in_force = Some(limit);
        }
        Ok(())
    }

    /// Returns whether the kernel closed the connection although the peer has sent acknowledgements
    /// until then. It does so if this process was stopped while the window was closed.
    fn has_recent_ack(&self) -> bool {
        let info = TcpInfo::read(&self.inner);
        info.is_ok_and(|info| info.last_ack_age < UNACKNOWLEDGED_TIMEOUT)
    }
}

/// A socket that ends with an error when its peer acknowledges nothing any more.
#[derive(Debug)]
pub(crate) struct AckTimeout<S> {
    socket: Rc<RefCell<LimitedSocket<S>>>,
    state: Rc<SharedState>,
}

impl<S: AsFd> AckTimeout<S> {
    /// Wraps a connected socket. Its monitor has to run as long as the socket is used.
    pub(crate) fn new(inner: S, request: &SentRequest) -> Result<(Self, PeerMonitor<S>)> {
        let mut socket = LimitedSocket::new(inner);
        socket.set_limit(UNACKNOWLEDGED_TIMEOUT)?;
        let socket = Rc::new(RefCell::new(socket));
        let monitor = PeerMonitor {
            socket: Rc::clone(&socket),
            state: Rc::clone(&request.state),
        };
        let state = Rc::clone(&request.state);
        Ok((Self { socket, state }, monitor))
    }

    /// Records whether the kernel closed the connection because its peer acknowledged nothing.
    fn inspect<T>(&self, result: &Poll<Result<T>>) {
        if let Poll::Ready(Err(error)) = result
            && error.kind() == ErrorKind::TimedOut
            && !self.socket.borrow().has_recent_ack()
        {
            self.state.is_unreachable.set(true);
        }
    }
}

/// Watches the acknowledgements of a connection's peer while a request is on its way.
#[derive(Debug)]
pub(crate) struct PeerMonitor<S> {
    socket: Rc<RefCell<LimitedSocket<S>>>,
    state: Rc<SharedState>,
}

impl<S: AsFd> PeerMonitor<S> {
    /// Runs until it is dropped.
    pub(crate) async fn run(self) {
        let started_at = Instant::now();
        loop {
            self.state.request_begun.notified().await;
            while self.watch_request(started_at).await {}
        }
    }

    /// Watches one request until it has arrived or the peer is unreachable. Returns whether another
    /// one was begun meanwhile.
    async fn watch_request(&self, started_at: Instant) -> bool {
        let request = self.state.requests.get();
        let mut liveness = PeerLiveness::new(started_at.elapsed());
        let mut limit = self.state.ack_timeout();
        while self.set_limit(limit).is_ok() && !liveness.is_settled() {
            sleep(CHECK_INTERVAL).await;
            if self.state.requests.get() != request {
                return true;
            }
            let timeout = self.state.ack_timeout();
            let Ok(info) = TcpInfo::read(&self.socket.borrow().inner) else {
                // The kernel's limit decides alone.
                if limit == UNACKNOWLEDGED_TIMEOUT {
                    return false;
                }
                limit = timeout;
                continue;
            };
            limit = match liveness.observe(&info, timeout, started_at.elapsed()) {
                PeerState::Settled => UNACKNOWLEDGED_TIMEOUT,
                PeerState::Receiving => timeout,
                PeerState::Stalled(needed) => self.socket.borrow().stalled_limit(needed),
                PeerState::Unreachable(unacknowledged) => {
                    self.state.on_unreachable(unacknowledged);
                    return false;
                }
            };
        }
        false
    }

    fn set_limit(&self, limit: Duration) -> Result<()> {
        self.socket.borrow_mut().set_limit(limit)
    }
}

impl<S: AsyncRead + AsFd + Unpin> AsyncRead for AckTimeout<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.state.check_reachable()?;
        let result = Pin::new(&mut self.socket.borrow_mut().inner).poll_read(context, buffer);
        self.inspect(&result);
        if result.is_pending() {
            self.state.reader.replace(Some(context.waker().clone()));
        }
        result
    }
}

impl<S: AsyncWrite + AsFd + Unpin> AsyncWrite for AckTimeout<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.state.check_reachable()?;
        let result = Pin::new(&mut self.socket.borrow_mut().inner).poll_write(context, bytes);
        self.inspect(&result);
        result
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.state.check_reachable()?;
        let mut socket = self.socket.borrow_mut();
        let result = Pin::new(&mut socket.inner).poll_write_vectored(context, slices);
        drop(socket);
        self.inspect(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.borrow().inner.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket.borrow_mut().inner).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket.borrow_mut().inner).poll_shutdown(context)
    }
}
