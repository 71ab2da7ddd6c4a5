//! Accept loop and connections of the callers' address.

use super::respond;
use anvilgw_core::{ErrorKind, Failure, RequestId, Stage};
use gotham::helpers::http::Body;
use gotham::router::Router;
use gotham::service::call_handler;
use gotham::state::State;
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

/// Smallest read buffer that hyper accepts.
const MIN_READ_BUFFER_BYTES: usize = 8192;
/// Size of hyper's read buffer as a multiple of the header limit. The request handler refuses
/// headers over the limit with a complete error answer; hyper answers without a body. Its limit is
/// therefore larger, so that only grossly oversized headers reach it.
const READ_BUFFER_PER_HEADER_LIMIT: usize = 4;
/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Limits on connections and request headers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// Largest total size of the headers of a request, in bytes.
    pub(crate) header_bytes: usize,
    /// Time within which a caller must send the headers.
    pub(crate) header_read: Duration,
    /// Maximum number of open connections. Further callers wait until one closes.
    pub(crate) connections: usize,
}

/// Accepts and serves connections until `drain` becomes true, then waits for running requests to
/// finish. If `stop` becomes true, open connections are closed, as they would be if the process
/// ended.
pub(crate) async fn serve(
    listener: TcpListener,
    router: Router,
    limits: ServerLimits,
    mut drain: watch::Receiver<bool>,
    stop: watch::Receiver<bool>,
) {
    let router = Arc::new(router);
    let slots = Arc::new(Semaphore::new(limits.connections));
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &slots) => accepted,
            _ = drain.wait_for(|drain| *drain) => break,
        };
        let Some((stream, address, slot)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        // Disables Nagle's algorithm: small events of a stream must not wait for an
        // acknowledgement.
        let _ = stream.set_nodelay(true);
        let connection = run_connection(
            stream,
            address,
            Arc::clone(&router),
            limits,
            graceful.watcher(),
        );
        let mut stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = connection => {}
                _ = stop.wait_for(|stop| *stop) => {}
            }
            drop(slot);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let slot = Arc::clone(slots).acquire_owned().await.ok()?;
    let (stream, address) = listener.accept().await.ok()?;
    Some((stream, address, slot))
}

/// Serves one connection until it closes or, after a graceful shutdown, until its running request
/// is answered.
async fn run_connection(
    stream: TcpStream,
    address: SocketAddr,
    router: Arc<Router>,
    limits: ServerLimits,
    graceful: Watcher,
) {
    let service = service_fn(move |request: Request<Incoming>| {
        let state = State::from_request(request, address);
        let handled = call_handler(Arc::clone(&router), AssertUnwindSafe(state));
        async move { handled.await.map(add_error_body) }
    });
    let buffer_bytes =
        (limits.header_bytes * READ_BUFFER_PER_HEADER_LIMIT).max(MIN_READ_BUFFER_BYTES);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_read)
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    // Errors here are protocol errors of the caller or a closed connection.
    let _ = graceful.watch(connection).await;
}

/// Adds the usual error body to the answers that gotham itself makes for unknown paths, unsupported
/// methods and panics.
fn add_error_body(response: Response<Body>) -> Response<Body> {
    if response.headers().contains_key(CONTENT_TYPE) {
        return response;
    }
    let (kind, detail) = match response.status() {
        StatusCode::NOT_FOUND => (ErrorKind::NotFound, "the path does not exist"),
        StatusCode::METHOD_NOT_ALLOWED => (
            ErrorKind::MethodNotAllowed,
            "the path does not support this method",
        ),
        StatusCode::INTERNAL_SERVER_ERROR => (ErrorKind::Internal, "the request handler failed"),
        _ => return response,
    };
    // A handler that panicked may have sent the request to a backend server.
    let stage = match kind {
        ErrorKind::Internal => Stage::Written,
        _ => Stage::Received,
    };
    let id = RequestId(uuid::Uuid::now_v7().as_u128());
    respond::failure_response(id, &Failure::new(kind, stage, detail))
}
