//! Serves the connections and requests of clients.

use super::client_socket::{ClientSocket, EndOfAnswer};
use super::idle_timer::IdleTimer;
use super::refused_body::UnreadBody;
use super::request_checks::{RequestContext, check_request};
use crate::answer::{AnswerBody, failure_answer, status_of, tracked_body};
use crate::body_buffer::{BodyBuffer, BufferError};
use crate::body_memory::{
    BodyReservation, CloseReason, ConnectionMemory, GroupKey, OpenConnection,
};
use crate::caches::name_hash;
use crate::configuration::Workspace;
use crate::connection::describe;
use crate::connection_limit::{Admission, ConnectionLimit};
use crate::dispatch::{RoutedRequest, serve_buffered, serve_stream};
use crate::gateway::Gateway;
use crate::log::{Event, RequestLine};
use crate::request::{Prompt, RequestMeta};
use anvilgw_core::{ErrorKind, Failure, Stage};
use anvilgw_quarantine::{PartKey, Suspect, WorkspaceKey};
use bytes::Bytes;
use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderValue, Request, Response, Version};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

/// Pause after a failure to accept a connection, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time between the last bytes of a broken answer and the reset of its connection. A reset discards
/// the bytes that have not reached the client yet.
const RESET_DELAY: Duration = Duration::from_millis(100);
/// Smallest read buffer that hyper allows.
const READ_BUFFER_MIN_BYTES: usize = 8 * 1024;

/// Accepts connections of clients and counts the open ones.
pub(crate) struct ClientListener {
    gateway: Rc<Gateway>,
    listener: TcpListener,
    close_signal: watch::Sender<bool>,
    limit: Rc<RefCell<ConnectionLimit>>,
}

impl ClientListener {
    pub(crate) fn new(gateway: Rc<Gateway>, listener: TcpListener) -> Self {
        let (close_signal, _) = watch::channel(false);
        let count_max = gateway.client_connections_max();
        Self {
            gateway,
            listener,
            close_signal,
            limit: Rc::new(RefCell::new(ConnectionLimit::new(count_max))),
        }
    }

    /// Accepts connections until the future is dropped.
    pub(crate) async fn run(&self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, address)) => self.admit(stream, address.ip()),
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

    /// Closes each connection after its current request.
    pub(crate) fn close_connections(&self) {
        self.close_signal.send_replace(true);
    }

    /// Returns the number of open connections.
    pub(crate) fn open_connections(&self) -> usize {
        self.limit.borrow().open_count()
    }

    /// Serves a connection if there is room or another one can be closed. Closes it otherwise, before
    /// anything was read of it.
    fn admit(&self, stream: TcpStream, address: IpAddr) {
        let memory = &self.gateway.body_memory;
        let is_admitted = match self.limit.borrow().admission(address) {
            Admission::Accept => true,
            Admission::Refuse => false,
            Admission::CloseOther => memory.close_for_room(None),
            Admission::CloseOtherOfAddress => memory.close_for_room(Some(address)),
        };
        if is_admitted {
            self.spawn_connection(stream, address);
        } else {
            self.gateway.metrics.count("client_connections_refused");
        }
    }

    fn spawn_connection(&self, stream: TcpStream, address: IpAddr) {
        let gateway = Rc::clone(&self.gateway);
        let close_signal = self.close_signal.subscribe();
        let limit = Rc::clone(&self.limit);
        limit.borrow_mut().on_open(address);
        let open = gateway.body_memory.open(address);
        tokio::task::spawn_local(async move {
            serve_connection(gateway, stream, open, close_signal).await;
            limit.borrow_mut().on_closed(address);
        });
    }
}

async fn serve_connection(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    open: OpenConnection,
    mut close_signal: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        gateway.log_routine(&Event::DependencyLost {
            dependency: "client connection",
            reason: &error.to_string(),
        });
        return;
    }
    let end_of_answer = EndOfAnswer::default();
    let socket = ClientSocket::new(stream, end_of_answer.clone(), open.clone());
    let service_gateway = Rc::clone(&gateway);
    let service_end_of_answer = end_of_answer.clone();
    let service_memory: ConnectionMemory = open.clone();
    let service = service_fn(move |request| {
        let gateway = Rc::clone(&service_gateway);
        let end_of_answer = service_end_of_answer.clone();
        let memory = service_memory.clone();
        async move {
            Ok::<_, Infallible>(serve_request(&gateway, request, &end_of_answer, memory).await)
        }
    });
    let buffer_bytes = header_buffer_bytes(&gateway);
    let mut header_max = gateway.client_header_max_bytes.subscribe();
    let mut connection = http1::Builder::new()
        .timer(IdleTimer::new(gateway.client_idle_timeout.subscribe()))
        // Enables the timeout. `IdleTimer` knows how long it is.
        .header_read_timeout(Duration::ZERO)
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(socket), service);
    let until_end = async {
        tokio::select! {
            result = &mut connection => result,
            _ = close_signal.wait_for(|is_closing| *is_closing) => {
                Pin::new(&mut connection).graceful_shutdown();
                (&mut connection).await
            }
            // The buffer keeps its size, so the client has to connect again to send longer heads.
            _ = header_max.wait_for(|max| buffer_bytes_for(*max) > buffer_bytes) => {
                gateway.metrics.count("client_connections_closed_for_limits");
                Pin::new(&mut connection).graceful_shutdown();
                (&mut connection).await
            }
        }
    };
    let result = tokio::select! {
        result = until_end => result,
        reason = open.closed() => return count_closed(&gateway, reason),
    };
    let socket = connection.into_parts().io.into_inner();
    if let Err(error) = result {
        if end_of_answer.is_end_of_connection() {
            // The connection is reset when `socket` is dropped.
            sleep(RESET_DELAY).await;
        }
        report_broken(&gateway, &error);
    }
    socket.linger().await;
}

/// Returns the size of the buffer for the head of a request.
fn header_buffer_bytes(gateway: &Gateway) -> usize {
    let state = gateway.state.borrow();
    let limits = state
        .configuration
        .as_ref()
        .map(|configuration| configuration.limits)
        .unwrap_or_default();
    buffer_bytes_for(limits.header_max_bytes)
}

fn buffer_bytes_for(header_max_bytes: usize) -> usize {
    header_max_bytes.max(READ_BUFFER_MIN_BYTES) * 2
}

fn report_broken(gateway: &Gateway, error: &hyper::Error) {
    gateway.metrics.count("client_connections_broken");
    if error.is_parse() {
        gateway.log_notable(&Event::Request(RequestLine {
            outcome: "unreadable",
            reason: &describe(error),
            ..RequestLine::default()
        }));
    }
}

/// Counts a connection that is closed in favor of others.
fn count_closed(gateway: &Gateway, reason: CloseReason) {
    gateway.metrics.count(match reason {
        CloseReason::Memory => "client_connections_closed_for_memory",
        CloseReason::Room => "client_connections_closed_for_room",
        CloseReason::Unread => "client_connections_closed_unread",
    });
}

async fn serve_request(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    end_of_answer: &EndOfAnswer,
    memory: ConnectionMemory,
) -> Response<AnswerBody> {
    let has_chunks = request.version() >= Version::HTTP_11;
    // A request with both a length and chunks ends where its chunks end. The bytes after it may
    // have been meant as its body, so they must not be read as another request (request smuggling).
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let mut response = answer_request(gateway, request, &memory).await;
    if !has_chunks && response.body().size_hint().exact().is_none() {
        end_of_answer.set_end_of_connection();
    }
    let is_error = response.status().is_client_error() || response.status().is_server_error();
    let is_configuration_current = gateway
        .state
        .borrow()
        .configuration_freshness
        .is_current(gateway.now());
    if is_chunked || gateway.is_draining.get() || (is_error && !is_configuration_current) {
        close_after(&mut response);
    }
    response.map(|body| tracked_body(body, memory))
}

/// Makes hyper close the connection after an answer.
fn close_after(response: &mut Response<AnswerBody>) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}

async fn answer_request(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    memory: &ConnectionMemory,
) -> Response<AnswerBody> {
    let arrived_at = gateway.now();
    let (head, mut body) = request.into_parts();
    let meta = gateway.ports.codec.parse_request(&head.headers);
    let unread_body = UnreadBody::of(&head);
    let received = Received {
        head,
        meta,
        arrived_at,
    };
    let routed = route_request(gateway, received, &mut body, memory).await;
    memory.on_request_received();
    let routed = match routed {
        Ok(routed) => routed,
        Err((id, failure)) => {
            let mut response = log_and_refuse(gateway, &id, &failure, arrived_at);
            if !unread_body.discard(body, memory) {
                close_after(&mut response);
            }
            return response;
        }
    };
    let id = routed.meta.id.clone();
    let mut is_ending = gateway.is_ending.subscribe();
    tokio::select! {
        response = serve_routed(gateway, routed) => response,
        _ = is_ending.wait_for(|is_ending| *is_ending) => {
            let detail = "the daemon stops before the request has an answer";
            let failure = Failure::new(ErrorKind::ShuttingDown, Stage::AnswerLost, detail);
            log_and_refuse(gateway, &id, &failure, arrived_at)
        }
    }
}

async fn serve_routed(gateway: &Rc<Gateway>, routed: RoutedRequest) -> Response<AnswerBody> {
    if routed.route.kind.is_stream() {
        serve_stream(gateway, routed).await
    } else {
        serve_buffered(gateway, routed).await
    }
}

/// A request whose body was not read yet.
struct Received {
    head: Parts,
    meta: RequestMeta,
    arrived_at: Duration,
}

/// Checks a request, reads its body and assembles the routed request. Returns the identifier of the
/// request with the failure otherwise.
async fn route_request(
    gateway: &Rc<Gateway>,
    received: Received,
    body: &mut Incoming,
    memory: &ConnectionMemory,
) -> Result<RoutedRequest, (String, Failure)> {
    let Received {
        head,
        meta,
        arrived_at,
    } = received;
    let context = match check_request(gateway, &head, &meta) {
        Ok(context) => context,
        Err(failure) => return Err((meta.id, failure)),
    };
    if let Some(workspace) = &context.workspace {
        memory.set_group(GroupKey::of_workspace(&workspace.name));
    }
    let body = match read_body(&context, body, memory.reserve()).await {
        Ok(body) => body,
        Err(failure) => {
            if failure.kind() == ErrorKind::Overloaded {
                gateway.metrics.count("client_bodies_refused");
            }
            return Err((meta.id, failure));
        }
    };
    Ok(to_routed_request(head, body, meta, context, arrived_at))
}

/// A body with the memory that is reserved for it.
struct ReservedBody {
    body: Bytes,
    memory: BodyReservation,
}

fn to_routed_request(
    head: Parts,
    body: ReservedBody,
    meta: RequestMeta,
    context: RequestContext,
    arrived_at: Duration,
) -> RoutedRequest {
    let timeout = context.route.timeout;
    let limit = meta
        .deadline
        .map_or(timeout, |deadline| deadline.min(timeout));
    let target = head.uri.path_and_query().cloned();
    let suspects = suspects(meta.prompt.as_ref(), context.workspace.as_deref());
    RoutedRequest {
        method: head.method,
        target: target.unwrap_or_else(|| http::uri::PathAndQuery::from_static("/")),
        headers: head.headers,
        body: body.body,
        body_memory: body.memory,
        meta,
        configuration: context.configuration,
        route: context.route,
        service: context.service,
        workspace: context.workspace,
        suspects,
        arrived_at,
        end_at: arrived_at + limit,
    }
}

/// Returns the shared parts of a request's prompt. The last part belongs to the request or its
/// session alone, so no other request would be spared.
fn suspects(prompt: Option<&Prompt>, workspace: Option<&Workspace>) -> Rc<[Suspect]> {
    let workspace = WorkspaceKey(workspace.map_or(0, |workspace| name_hash(&workspace.name)));
    let parts = prompt.map_or(&[][..], Prompt::shared_parts);
    parts
        .iter()
        .map(|part| Suspect {
            part: PartKey(part.id_hash),
            workspace,
        })
        .collect()
}

async fn read_body(
    context: &RequestContext,
    body: &mut Incoming,
    reservation: BodyReservation,
) -> Result<ReservedBody, Failure> {
    let limits = context.configuration.limits;
    let failure = |kind, detail: String| Failure::new(kind, Stage::Received, detail);
    let length = body.size_hint().exact();
    let mut buffer = BodyBuffer::new(reservation, length, limits.body_max_bytes);
    let end_at = Instant::now() + context.route.timeout;
    // The timeout of a connection without a request also holds within one: a client that honors it
    // never pauses for so long.
    let progress_max = limits.close_idle_after();
    loop {
        let wait_until = end_at.min(Instant::now() + progress_max);
        let data = match timeout_at(wait_until, body.frame()).await {
            Ok(None) => break,
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(error))) => {
                let detail = format!("the body cannot be read: {error}");
                return Err(failure(ErrorKind::BadRequest, detail));
            }
            Err(_) => {
                let detail = "the body did not arrive in time".to_owned();
                return Err(failure(ErrorKind::RequestTimeout, detail));
            }
        };
        buffer.push(&data).await.map_err(|error| match error {
            BufferError::TooLong => failure(
                ErrorKind::BodyTooLarge,
                format!("the body exceeds {} bytes", limits.body_max_bytes),
            ),
            BufferError::NoMemory => failure(ErrorKind::Overloaded, error.to_string()),
        })?;
    }
    let (body, memory) = buffer.into_parts();
    Ok(ReservedBody { body, memory })
}

fn log_and_refuse(
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
        status: status_of(failure).as_u16(),
        outcome: failure.kind().answer().code,
        reason: failure.detail(),
        executed: failure.executed().as_str(),
        elapsed_ms: now.saturating_sub(arrived_at).as_millis() as u64,
        configuration,
        configuration_age_ms: state
            .configuration_freshness
            .age(now)
            .map_or(u64::MAX, |age| age.as_millis() as u64),
        ..RequestLine::default()
    }));
    drop(state);
    failure_answer(gateway, request_id, failure)
}
