//! Serves clients.

use super::request_checks::{Admitted, admit};
use crate::answer::{AnswerBody, refuse};
use crate::body_memory::BodyReservation;
use crate::connection::describe;
use crate::dispatch::{RoutedRequest, serve_buffered, serve_stream};
use crate::gateway::Gateway;
use crate::log::{Event, RequestLine};
use crate::request::RequestMeta;
use anvilgw_core::{ErrorKind, Failure, Stage};
use bytes::Bytes;
use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Pause after a connection could not be accepted, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time beyond the idle timeout after which an idle connection is closed, so that a client that
/// keeps to the timeout does not cross the close.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Smallest read buffer that the HTTP library allows.
const READ_BUFFER_MIN_BYTES: usize = 8 * 1024;

/// Accepts connections of clients.
pub(crate) struct ClientListener {
    gateway: Rc<Gateway>,
    listener: TcpListener,
    close: watch::Sender<bool>,
    open: Rc<Cell<usize>>,
}

impl ClientListener {
    pub(crate) fn new(gateway: Rc<Gateway>, listener: TcpListener) -> Self {
        let (close, _) = watch::channel(false);
        Self {
            gateway,
            listener,
            close,
            open: Rc::default(),
        }
    }

    /// Accepts connections until the task is dropped.
    pub(crate) async fn run(&self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => self.spawn(stream),
                Err(error) => {
                    self.gateway.log_notable(&Event::DependencyLost {
                        dependency: "client listener",
                        reason: &error.to_string(),
                    });
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Lets all connections end after the request that they serve.
    pub(crate) fn close_connections(&self) {
        self.close.send_replace(true);
    }

    pub(crate) fn open_connections(&self) -> usize {
        self.open.get()
    }

    fn spawn(&self, stream: TcpStream) {
        let gateway = Rc::clone(&self.gateway);
        let close = self.close.subscribe();
        let open = Rc::clone(&self.open);
        open.set(open.get() + 1);
        tokio::task::spawn_local(async move {
            serve_connection(gateway, stream, close).await;
            open.set(open.get().saturating_sub(1));
        });
    }
}

async fn serve_connection(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    mut close: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        gateway.log_routine(&Event::DependencyLost {
            dependency: "client connection",
            reason: &error.to_string(),
        });
        return;
    }
    let limits = gateway
        .state
        .borrow()
        .configuration
        .as_ref()
        .map(|configuration| configuration.limits)
        .unwrap_or_default();
    let service_gateway = Rc::clone(&gateway);
    let service = service_fn(move |request| {
        let gateway = Rc::clone(&service_gateway);
        async move { Ok::<_, Infallible>(serve(&gateway, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library has one timeout for an idle connection and for a head that arrives slowly.
        .header_read_timeout(limits.idle_timeout.max(limits.read_timeout) + IDLE_MARGIN)
        .max_buf_size(limits.header_max_bytes.max(READ_BUFFER_MIN_BYTES) * 2)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = close.wait_for(|is_closing| *is_closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        gateway.metrics.count("client_connections_broken");
        if error.is_parse() {
            gateway.log_notable(&Event::Request(RequestLine {
                outcome: "unreadable",
                reason: &describe(&error),
                ..RequestLine::default()
            }));
        }
    }
}

async fn serve(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    // A request with both a length and chunks ends where its chunks end. What follows on the
    // connection may have been meant as its body, so it must not be read as another request.
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let mut response = answer(gateway, request).await;
    let is_unsure = response.status().is_client_error() || response.status().is_server_error();
    let is_trusted = gateway.state.borrow().trust.is_current(gateway.now());
    if is_chunked || gateway.is_draining.get() || (is_unsure && !is_trusted) {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived_at = gateway.now();
    let (head, body) = request.into_parts();
    let meta = gateway.ports.codec.parse_request(&head.headers);
    let routed = match prepare(gateway, head, body, meta, arrived_at).await {
        Ok(routed) => routed,
        Err((id, failure)) => return refuse_logged(gateway, &id, &failure, arrived_at),
    };
    if routed.route.kind.is_stream() {
        serve_stream(gateway, routed).await
    } else {
        serve_buffered(gateway, routed).await
    }
}

async fn prepare(
    gateway: &Rc<Gateway>,
    head: Parts,
    body: Incoming,
    meta: RequestMeta,
    arrived_at: Duration,
) -> Result<RoutedRequest, (String, Failure)> {
    let admitted = match admit(gateway, &head, &meta) {
        Ok(admitted) => admitted,
        Err(failure) => return Err((meta.id, failure)),
    };
    let Some(memory) = gateway.body_memory.reserve(body.size_hint().exact()) else {
        let detail = "too many bodies are held in memory";
        let failure = Failure::new(ErrorKind::Overloaded, Stage::Received, detail);
        return Err((meta.id, failure));
    };
    let body = match read_body(&admitted, body).await {
        Ok(body) => body,
        Err(failure) => return Err((meta.id, failure)),
    };
    let body = HeldBody { body, memory };
    Ok(to_call(head, body, meta, admitted, arrived_at))
}

/// A body with the memory that is set aside for it.
struct HeldBody {
    body: Bytes,
    memory: BodyReservation,
}

fn to_call(
    head: Parts,
    body: HeldBody,
    meta: RequestMeta,
    admitted: Admitted,
    arrived_at: Duration,
) -> RoutedRequest {
    let timeout = admitted.route.timeout;
    let limit = meta
        .deadline
        .map_or(timeout, |deadline| deadline.min(timeout));
    let target = head.uri.path_and_query().cloned();
    RoutedRequest {
        method: head.method,
        target: target.unwrap_or_else(|| http::uri::PathAndQuery::from_static("/")),
        headers: head.headers,
        body: body.body,
        _body_memory: body.memory,
        meta,
        configuration: admitted.configuration,
        route: admitted.route,
        service: admitted.service,
        workspace: admitted.workspace,
        arrived_at,
        end_at: arrived_at + limit,
    }
}

async fn read_body(admitted: &Admitted, body: Incoming) -> Result<Bytes, Failure> {
    let limits = admitted.configuration.limits;
    let collected = Limited::new(body, limits.body_max_bytes).collect();
    let failure = |kind, detail: String| Failure::new(kind, Stage::Received, detail);
    match timeout(admitted.route.timeout, collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(failure(
            ErrorKind::BodyTooLarge,
            format!("the body exceeds {} bytes", limits.body_max_bytes),
        )),
        Ok(Err(error)) => Err(failure(
            ErrorKind::BadRequest,
            format!("the body cannot be read: {error}"),
        )),
        Err(_) => Err(failure(
            ErrorKind::RequestTimeout,
            "the body did not arrive in time".to_owned(),
        )),
    }
}

fn refuse_logged(
    gateway: &Rc<Gateway>,
    request_id: &str,
    failure: &Failure,
    arrived_at: Duration,
) -> Response<AnswerBody> {
    let now = gateway.now();
    gateway.metrics.count("requests_refused");
    let state = gateway.state.borrow();
    let configuration = state
        .configuration
        .as_ref()
        .map_or(0, |known| known.version);
    gateway.log_notable(&Event::Request(RequestLine {
        request: request_id,
        status: failure.kind().answer().status,
        outcome: failure.kind().answer().code,
        reason: failure.detail(),
        executed: failure.executed().as_str(),
        elapsed_ms: now.saturating_sub(arrived_at).as_millis() as u64,
        configuration,
        configuration_age_ms: state
            .trust
            .age(now)
            .map_or(u64::MAX, |age| age.as_millis() as u64),
        ..RequestLine::default()
    }));
    drop(state);
    refuse(gateway, request_id, failure)
}
