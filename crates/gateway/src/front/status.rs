//! Serves readiness checks, metrics and, to other daemons, the log of the stores.

use crate::gateway::Gateway;
use crate::log::Event;
use crate::page::encode;
use crate::ports::{Table, Topic};
use crate::store_log::Cursor;
use bincode::Encode;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Longest life of a connection for status.
const CONNECTION_LIFE_MAX: Duration = Duration::from_secs(60);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Path of the metrics. Every other path answers with the readiness.
const METRICS_PATH: &str = "/metrics";
/// Path of the copies of topics of the metadata store.
const TOPIC_LOG_PATH: &str = "/topics";
/// Path of the log of the stores.
const STORE_LOG_PATH: &str = "/stores";

/// Accepts connections for readiness checks and metrics.
pub(crate) struct StatusListener {
    gateway: Rc<Gateway>,
    listener: TcpListener,
}

impl StatusListener {
    pub(crate) fn new(gateway: Rc<Gateway>, listener: TcpListener) -> Self {
        Self { gateway, listener }
    }

    /// Accepts connections until the task is dropped.
    pub(crate) async fn run(&self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    let gateway = Rc::clone(&self.gateway);
                    tokio::task::spawn_local(serve_connection(gateway, stream));
                }
                Err(error) => {
                    self.gateway.log_notable(&Event::DependencyLost {
                        dependency: "status listener",
                        reason: &error.to_string(),
                    });
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream) {
    let service = service_fn(move |request| {
        let response = answer(&gateway, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A checker that goes away in the middle of a check needs no line in the log.
    let _ = timeout(CONNECTION_LIFE_MAX, connection).await;
}

fn answer(gateway: &Gateway, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() == METRICS_PATH {
        return Response::new(Full::new(gateway.metrics.render().into()));
    }
    if request.uri().path() == STORE_LOG_PATH {
        return store_log(gateway, request.uri().query().unwrap_or_default());
    }
    if request.uri().path() == TOPIC_LOG_PATH {
        return topic_log(gateway, request.uri().query().unwrap_or_default());
    }
    let (ready, reason) = gateway.readiness();
    let mut response = Response::new(Full::new(Bytes::from_static(reason.as_bytes())));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Target of a read of another daemon's log of the stores.
pub(crate) fn store_log_target(cursor: Cursor) -> String {
    format!("{STORE_LOG_PATH}?{}.{}", cursor.log_id, cursor.next)
}

fn parse_cursor(query: &str) -> Option<Cursor> {
    let (log_id, next) = query.split_once('.')?;
    Some(Cursor {
        log_id: log_id.parse().ok()?,
        next: next.parse().ok()?,
    })
}

/// Answers with what changed at the stores. A daemon that keeps no log is not the leader that the
/// reader takes it for.
fn store_log(gateway: &Gateway, query: &str) -> Response<Full<Bytes>> {
    let cursor = parse_cursor(query).unwrap_or_default();
    let now = gateway.now();
    let page = gateway.state.borrow().caches.store_page(cursor, now);
    page_response(page.as_ref())
}

/// A read of another daemon's copy of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TopicRead {
    pub(crate) topic: Topic,
    pub(crate) from_offset: u64,
}

/// Names of topics between daemons.
const TOPIC_NAMES: [(&str, Topic); 3] = [
    ("operators", Topic::Table(Table::Operators)),
    ("servers", Topic::Table(Table::Servers)),
    ("leases", Topic::Leases),
];

/// Target of a read of another daemon's copy of a topic.
pub(crate) fn topic_log_target(read: TopicRead) -> String {
    let mut names = TOPIC_NAMES.iter();
    let name = names.find(|(_, topic)| *topic == read.topic);
    let name = name.map_or("", |(name, _)| name);
    format!("{TOPIC_LOG_PATH}?{name}.{}", read.from_offset)
}

fn parse_topic_read(query: &str) -> Option<TopicRead> {
    let (name, from_offset) = query.split_once('.')?;
    let (_, topic) = TOPIC_NAMES.iter().find(|(known, _)| *known == name)?;
    Some(TopicRead {
        topic: *topic,
        from_offset: from_offset.parse().ok()?,
    })
}

fn topic_log(gateway: &Gateway, query: &str) -> Response<Full<Bytes>> {
    let now = gateway.now();
    let state = gateway.state.borrow();
    let page = parse_topic_read(query).and_then(|read| {
        let log = state.topic_logs.get(&read.topic)?;
        log.page(read.from_offset, now)
    });
    page_response(page.as_ref())
}

fn page_response(page: Option<&impl Encode>) -> Response<Full<Bytes>> {
    let (status, body) = match page.map(encode) {
        Some(Ok(bytes)) => (StatusCode::OK, Bytes::from(bytes)),
        Some(Err(error)) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into()),
        None => (StatusCode::NOT_FOUND, Bytes::from_static(b"not kept here")),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
