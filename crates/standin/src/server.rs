//! HTTP server shared by all stand-ins, with start, stop, restart and connection faults.

use crate::connection::{Connection, ConnectionIo, Pause};
use crate::fault_rng::FaultRng;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::future::{Future, pending};
use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Body of an HTTP response.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Largest request body that a stand-in reads.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Largest number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause before a failed attempt to listen or accept is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Path of the request that sets faults.
const FAULTS_PATH: &str = "/control/faults";
/// Prefix of the paths whose requests are exempt from random connection faults.
const CONTROL_PREFIX: &str = "/control/";

/// Connection faults, available for all stand-ins. `POST /control/faults` sets them in the field
/// `connections`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConnectionFaults {
    /// Probability that a request is not executed and its connection stays open and silent for
    /// good.
    pub silence_probability: f64,
    /// Silences all connections that are open now, except the one on which these faults are set.
    pub silence_open: bool,
    /// Closes all connections that are open now, except the one on which these faults are set.
    pub cut_open: bool,
    /// Time in milliseconds from now in which nothing is read from or written to any connection, as
    /// if the process got no processor time. After that, everything goes on. Connections are still
    /// accepted by the operating system.
    pub pause_ms: u64,
}

/// A request that a stand-in has received, with its whole body.
#[derive(Debug)]
pub(crate) struct StandinRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) connection: Arc<Connection>,
}

impl StandinRequest {
    /// Returns a numeric parameter of the query string, or `None` if it is absent or not a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }

    /// Returns a parameter of the query string. It is not percent-decoded, because no parameter of
    /// a stand-in needs it.
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// Returns the non-empty segments of the path.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|part| !part.is_empty())
            .collect()
    }
}

/// How a stand-in responds to a request.
pub(crate) enum Reply {
    /// Sends a response.
    Answer(Response<Body>),
    /// Closes the connection without an answer.
    Cut,
    /// Keeps the connection open and silent for good.
    Silence,
}

impl Reply {
    /// Creates an answer with a JSON value.
    pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("answers of stand-ins serialize");
        let body = Full::new(Bytes::from(body)).map_err(|never| match never {});
        Self::Answer(
            Response::builder()
                .status(status)
                .header(header::CONTENT_TYPE, "application/json")
                .body(UnsyncBoxBody::new(body))
                .expect("constant headers are valid"),
        )
    }

    /// Creates an answer with a JSON value and status 200.
    pub(crate) fn ok(value: &impl Serialize) -> Self {
        Self::json(StatusCode::OK, value)
    }

    /// Creates an error answer with a message.
    pub(crate) fn error(status: StatusCode, message: &str) -> Self {
        Self::json(status, &serde_json::json!({"error": {"message": message}}))
    }
}

/// Behaviour of one kind of stand-in behind the shared [`Server`].
pub(crate) trait Standin: Send + Sync + 'static {
    /// Handles a request.
    fn handle(self: Arc<Self>, request: StandinRequest) -> impl Future<Output = Reply> + Send;

    /// Replaces all faults with those in the JSON value.
    fn replace_faults(&self, faults: serde_json::Value) -> Result<(), serde_json::Error>;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Up,
    Down,
    Stopped,
}

/// Listener and open connections of a stand-in.
#[derive(Debug)]
pub(crate) struct Server {
    addr: SocketAddr,
    /// Reserves the port while nothing listens. Otherwise another process might get the port, and
    /// callers of a stand-in that is down would reach that process instead of being refused.
    _port: TcpSocket,
    phase: watch::Sender<Phase>,
    connections: Mutex<Vec<Weak<Connection>>>,
    silence_probability: Mutex<f64>,
    pause: Pause,
    fault_rng: FaultRng,
    accepted: AtomicU64,
}

impl Server {
    /// Binds the address and serves the stand-in that `build` creates.
    pub(crate) async fn start<S: Standin>(
        addr: SocketAddr,
        seed: u64,
        build: impl FnOnce(&Arc<Self>) -> Arc<S>,
    ) -> io::Result<RunningStandin<S>> {
        // `bind_shared` succeeds even if another socket has bound the address with `SO_REUSEPORT`.
        drop(TcpListener::bind(addr).await?);
        let port = bind_shared(addr)?;
        let addr = port.local_addr()?;
        let listener = listen(addr)?;
        let server = Arc::new(Self {
            addr,
            _port: port,
            phase: watch::Sender::new(Phase::Up),
            connections: Mutex::default(),
            silence_probability: Mutex::new(0.0),
            pause: Pause::default(),
            fault_rng: FaultRng::new(seed),
            accepted: AtomicU64::new(0),
        });
        let standin = build(&server);
        tokio::spawn(accept(Arc::clone(&server), Arc::clone(&standin), listener));
        Ok(RunningStandin { standin, server })
    }

    /// Refuses connections and closes the open ones, as if the process had died.
    pub(crate) fn take_down(&self) {
        self.set_phase(Phase::Down);
    }

    /// Listens again at the same address after [`Server::take_down`].
    pub(crate) fn bring_up(&self) {
        self.set_phase(Phase::Up);
    }

    /// Completes when the stand-in is stopped.
    pub(crate) async fn until_stopped(&self) {
        let mut phase = self.phase.subscribe();
        // Waiting fails only if the sender is dropped, and `self` owns the sender.
        let _ = phase.wait_for(|phase| *phase == Phase::Stopped).await;
    }

    /// Changes the phase. A stopped stand-in stays stopped.
    fn set_phase(&self, next: Phase) {
        self.phase.send_if_modified(|phase| {
            let changed = *phase != next && *phase != Phase::Stopped;
            if changed {
                *phase = next;
            }
            changed
        });
    }

    fn for_each_connection(&self, exempt: Option<&Arc<Connection>>, act: impl Fn(&Connection)) {
        let connections = self.connections.lock().expect("connections lock");
        connections
            .iter()
            .filter_map(Weak::upgrade)
            .filter(|connection| exempt.is_none_or(|exempt| !Arc::ptr_eq(exempt, connection)))
            .for_each(|connection| act(&connection));
    }

    /// Applies connection faults to all open connections except `exempt`.
    fn apply_connection_faults(&self, faults: &ConnectionFaults, exempt: Option<&Arc<Connection>>) {
        *self.silence_probability.lock().expect("fault lock") = faults.silence_probability;
        if faults.silence_open {
            self.for_each_connection(exempt, Connection::silence);
        }
        if faults.cut_open {
            self.for_each_connection(exempt, Connection::cut);
        }
        if faults.pause_ms > 0 {
            self.pause.start(Duration::from_millis(faults.pause_ms));
        }
    }

    fn add_connection(&self) -> Arc<Connection> {
        let connection = Arc::new(Connection::default());
        let mut connections = self.connections.lock().expect("connections lock");
        connections.retain(|other| other.strong_count() > 0);
        connections.push(Arc::downgrade(&connection));
        self.accepted.fetch_add(1, Ordering::Relaxed);
        connection
    }
}

/// Handle of a running stand-in, which stops when the handle is dropped.
pub struct RunningStandin<S> {
    standin: Arc<S>,
    server: Arc<Server>,
}

impl<S> RunningStandin<S> {
    /// Returns the address at which the stand-in listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Closes the listener and all connections for good.
    pub fn stop(&self) {
        self.server.set_phase(Phase::Stopped);
    }

    /// Refuses connections and closes the open ones until [`RunningStandin::restore`]. The
    /// stand-in keeps its state.
    pub fn disconnect(&self) {
        self.server.take_down();
    }

    /// Listens again after [`RunningStandin::disconnect`].
    pub fn restore(&self) {
        self.server.bring_up();
    }

    /// Sets the connection faults. `silence_open`, `cut_open` and `pause_ms` take effect once, now.
    pub fn set_connection_faults(&self, faults: &ConnectionFaults) {
        self.server.apply_connection_faults(faults, None);
    }

    /// Returns the number of connections accepted so far.
    #[must_use]
    pub fn accepted_connections(&self) -> u64 {
        self.server.accepted.load(Ordering::Relaxed)
    }
}

impl<S> Deref for RunningStandin<S> {
    type Target = S;

    fn deref(&self) -> &S {
        &self.standin
    }
}

impl<S> Drop for RunningStandin<S> {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn accept<S: Standin>(server: Arc<Server>, standin: Arc<S>, listener: TcpListener) {
    let mut phase = server.phase.subscribe();
    let mut listener = Some(listener);
    loop {
        let current = *phase.borrow_and_update();
        match (current, &listener) {
            (Phase::Stopped, _) => return,
            (Phase::Down, _) => listener = None,
            (Phase::Up, Some(_)) => {}
            (Phase::Up, None) => match listen(server.addr) {
                Ok(bound) => listener = Some(bound),
                Err(_) => {
                    tokio::time::sleep(RETRY_PAUSE).await;
                    continue;
                }
            },
        }
        tokio::select! {
            _ = phase.changed() => {}
            stream = next_connection(listener.as_ref()) => {
                tokio::spawn(serve(Arc::clone(&server), Arc::clone(&standin), stream));
            }
        }
    }
}

/// Binds an address with `SO_REUSEPORT`, so that a further socket can bind it too.
fn bind_shared(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseport(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    bind_shared(addr)?.listen(BACKLOG)
}

async fn next_connection(listener: Option<&TcpListener>) -> TcpStream {
    let Some(listener) = listener else {
        return pending().await;
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            // When file descriptors are exhausted, retrying without a pause would be a busy loop.
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

async fn serve<S: Standin>(server: Arc<Server>, standin: Arc<S>, stream: TcpStream) {
    let mut phase = server.phase.subscribe();
    let connection = server.add_connection();
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| {
        respond(
            Arc::clone(&server),
            Arc::clone(&standin),
            Arc::clone(&connection),
            request,
        )
    });
    let io = TokioIo::new(ConnectionIo::new(stream, &connection, &server.pause));
    let http_connection = http1::Builder::new().serve_connection(io, service);
    tokio::select! {
        // An error ends the connection, which the peer notices itself.
        _ = http_connection => {}
        () = connection.until_cut() => {}
        _ = phase.wait_for(|phase| *phase != Phase::Up) => {}
    }
}

async fn respond<S: Standin>(
    server: Arc<Server>,
    standin: Arc<S>,
    connection: Arc<Connection>,
    request: Request<Incoming>,
) -> io::Result<Response<Body>> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let request = StandinRequest {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body: body.map_err(io::Error::other)?.to_bytes(),
        connection: Arc::clone(&connection),
    };
    let is_control = request.path.starts_with(CONTROL_PREFIX);
    let silence_probability = *server.silence_probability.lock().expect("fault lock");
    let reply = if request.path == FAULTS_PATH && request.method == Method::POST {
        set_faults(&server, &*standin, &connection, &request)
    } else if !is_control && server.fault_rng.chance(silence_probability) {
        Reply::Silence
    } else {
        standin.handle(request).await
    };
    match reply {
        Reply::Answer(answer) => Ok(answer),
        Reply::Cut => Err(io::ErrorKind::ConnectionAborted.into()),
        Reply::Silence => {
            connection.silence();
            pending().await
        }
    }
}

fn set_faults<S: Standin>(
    server: &Server,
    standin: &S,
    connection: &Arc<Connection>,
    request: &StandinRequest,
) -> Reply {
    let applied =
        serde_json::from_slice::<serde_json::Map<_, _>>(&request.body).and_then(|mut all| {
            let connection_faults = all.remove("connections").map(serde_json::from_value);
            let connection_faults: ConnectionFaults =
                connection_faults.transpose()?.unwrap_or_default();
            standin.replace_faults(all.into())?;
            server.apply_connection_faults(&connection_faults, Some(connection));
            Ok(())
        });
    match applied {
        Ok(()) => Reply::ok(&serde_json::json!({})),
        Err(error) => Reply::error(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
