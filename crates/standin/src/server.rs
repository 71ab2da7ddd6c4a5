//! HTTP server that all stand-ins share: start, stop, restart and faults of connections.

use crate::fault_rng::FaultRng;
use crate::wire::{Wire, WireIo};
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

/// Body of an answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Largest request body that a stand-in reads.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause before listening or accepting is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Path on which faults are set.
const FAULTS_PATH: &str = "/control/faults";
/// Prefix of the paths that faults of chance leave alone.
const CONTROL_PREFIX: &str = "/control/";

/// Faults of connections, the same for all stand-ins. In `POST /control/faults` they are the field
/// `connections`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConnectionFaults {
    /// Probability that the connection of a request goes silent for good instead of passing the
    /// request on.
    pub silence_probability: f64,
    /// Silences all connections that are open now, except the one that carries this order.
    pub silence_open: bool,
    /// Closes all connections that are open now, except the one that carries this order.
    pub cut_open: bool,
}

/// One request to a stand-in.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) wire: Arc<Wire>,
}

impl Call {
    /// Numeric parameter of the query string.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }

    /// Parameter of the query string. Parameters of the stand-ins need no percent-encoding.
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// Segments of the path.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|part| !part.is_empty())
            .collect()
    }
}

/// What a stand-in does with a request.
pub(crate) enum Reply {
    /// Answers it.
    Answer(Response<Body>),
    /// Closes the connection without an answer.
    Cut,
    /// Lets the connection go silent for good.
    Silence,
}

impl Reply {
    /// Answers with a JSON value.
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

    /// Answers with a JSON value and status 200.
    pub(crate) fn ok(value: &impl Serialize) -> Self {
        Self::json(StatusCode::OK, value)
    }

    /// Answers with an error.
    pub(crate) fn error(status: StatusCode, message: &str) -> Self {
        Self::json(status, &serde_json::json!({"error": {"message": message}}))
    }
}

/// Logic of one kind of stand-in.
pub(crate) trait Standin: Send + Sync + 'static {
    /// Executes a request.
    fn handle(self: Arc<Self>, call: Call) -> impl Future<Output = Reply> + Send;

    /// Replaces the faults by those in the JSON value.
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
    /// Keeps the port while nothing listens, so that no other process is given it meanwhile and the
    /// callers of a stand-in that is down meet a refusal and not a stranger.
    _port: TcpSocket,
    phase: watch::Sender<Phase>,
    wires: Mutex<Vec<Weak<Wire>>>,
    silence_probability: Mutex<f64>,
    fault_rng: FaultRng,
    accepted: AtomicU64,
}

impl Server {
    /// Binds the address and serves the stand-in that `build` makes from the server.
    pub(crate) async fn start<S: Standin>(
        addr: SocketAddr,
        seed: u64,
        build: impl FnOnce(&Arc<Self>) -> Arc<S>,
    ) -> io::Result<RunningStandin<S>> {
        // The shared binding below would not notice that the address is in use.
        drop(TcpListener::bind(addr).await?);
        let port = bind_shared(addr)?;
        let addr = port.local_addr()?;
        let listener = listen(addr)?;
        let server = Arc::new(Self {
            addr,
            _port: port,
            phase: watch::Sender::new(Phase::Up),
            wires: Mutex::default(),
            silence_probability: Mutex::new(0.0),
            fault_rng: FaultRng::new(seed),
            accepted: AtomicU64::new(0),
        });
        let standin = build(&server);
        tokio::spawn(accept(Arc::clone(&server), Arc::clone(&standin), listener));
        Ok(RunningStandin { standin, server })
    }

    /// Refuses connections and closes the open ones, as after the death of the process.
    pub(crate) fn down(&self) {
        self.shift(Phase::Down);
    }

    /// Listens again at the same address.
    pub(crate) fn up(&self) {
        self.shift(Phase::Up);
    }

    /// Completes when the stand-in is stopped.
    pub(crate) async fn until_stopped(&self) {
        let mut phase = self.phase.subscribe();
        // The sender is a field of `self`, so it cannot be gone.
        let _ = phase.wait_for(|phase| *phase == Phase::Stopped).await;
    }

    fn shift(&self, next: Phase) {
        self.phase.send_if_modified(|phase| {
            let changed = *phase != next && *phase != Phase::Stopped;
            if changed {
                *phase = next;
            }
            changed
        });
    }

    fn for_wires(&self, exempt: Option<&Arc<Wire>>, act: impl Fn(&Wire)) {
        let wires = self.wires.lock().expect("wires lock");
        wires
            .iter()
            .filter_map(Weak::upgrade)
            .filter(|wire| exempt.is_none_or(|exempt| !Arc::ptr_eq(exempt, wire)))
            .for_each(|wire| act(&wire));
    }

    fn apply(&self, faults: &ConnectionFaults, exempt: Option<&Arc<Wire>>) {
        *self.silence_probability.lock().expect("fault lock") = faults.silence_probability;
        if faults.silence_open {
            self.for_wires(exempt, Wire::silence);
        }
        if faults.cut_open {
            self.for_wires(exempt, Wire::cut);
        }
    }

    fn add_wire(&self) -> Arc<Wire> {
        let wire = Arc::new(Wire::default());
        let mut wires = self.wires.lock().expect("wires lock");
        wires.retain(|other| other.strong_count() > 0);
        wires.push(Arc::downgrade(&wire));
        self.accepted.fetch_add(1, Ordering::Relaxed);
        wire
    }
}

/// A started stand-in. It stops when this handle is dropped.
pub struct RunningStandin<S> {
    standin: Arc<S>,
    server: Arc<Server>,
}

impl<S> RunningStandin<S> {
    /// Address at which the stand-in listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.server.shift(Phase::Stopped);
    }

    /// Refuses connections and closes the open ones until [`RunningStandin::restore`]. State is kept.
    pub fn disconnect(&self) {
        self.server.down();
    }

    /// Listens again after [`RunningStandin::disconnect`].
    pub fn restore(&self) {
        self.server.up();
    }

    /// Sets the faults of connections.
    pub fn set_connection_faults(&self, faults: &ConnectionFaults) {
        self.server.apply(faults, None);
    }

    /// Number of connections accepted so far.
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

/// Binds an address in a way that lets another socket of this process bind it too.
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
            // Out of file descriptors: accepting again at once would spin.
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

async fn serve<S: Standin>(server: Arc<Server>, standin: Arc<S>, stream: TcpStream) {
    let mut phase = server.phase.subscribe();
    let wire = server.add_wire();
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| {
        respond(
            Arc::clone(&server),
            Arc::clone(&standin),
            Arc::clone(&wire),
            request,
        )
    });
    let io = TokioIo::new(WireIo {
        stream,
        wire: &wire,
    });
    let connection = http1::Builder::new().serve_connection(io, service);
    tokio::select! {
        // An error of the connection is its end, which the peer sees as well.
        _ = connection => {}
        () = wire.until_cut() => {}
        _ = phase.wait_for(|phase| *phase != Phase::Up) => {}
    }
}

async fn respond<S: Standin>(
    server: Arc<Server>,
    standin: Arc<S>,
    wire: Arc<Wire>,
    request: Request<Incoming>,
) -> io::Result<Response<Body>> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let call = Call {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body: body.map_err(io::Error::other)?.to_bytes(),
        wire: Arc::clone(&wire),
    };
    let is_control = call.path.starts_with(CONTROL_PREFIX);
    let silence_probability = *server.silence_probability.lock().expect("fault lock");
    let reply = if call.path == FAULTS_PATH && call.method == Method::POST {
        set_faults(&server, &*standin, &wire, &call)
    } else if !is_control && server.fault_rng.chance(silence_probability) {
        Reply::Silence
    } else {
        standin.handle(call).await
    };
    match reply {
        Reply::Answer(answer) => Ok(answer),
        Reply::Cut => Err(io::ErrorKind::ConnectionAborted.into()),
        Reply::Silence => {
            wire.silence();
            pending().await
        }
    }
}

fn set_faults<S: Standin>(server: &Server, standin: &S, wire: &Arc<Wire>, call: &Call) -> Reply {
    let applied =
        serde_json::from_slice::<serde_json::Map<_, _>>(&call.body).and_then(|mut all| {
            let connections = all.remove("connections").map(serde_json::from_value);
            let connections: ConnectionFaults = connections.transpose()?.unwrap_or_default();
            standin.replace_faults(all.into())?;
            server.apply(&connections, Some(wire));
            Ok(())
        });
    match applied {
        Ok(()) => Reply::ok(&serde_json::json!({})),
        Err(error) => Reply::error(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
