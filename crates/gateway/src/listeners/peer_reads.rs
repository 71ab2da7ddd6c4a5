//! Serves this daemon's copies of topics and of the log of the cache stores to other daemons. They
//! contain the API keys of workspaces, so they are served only on the address for other daemons.

use crate::background_tasks::fleet_orders::FleetOrders;
use crate::cache_store_log::Cursor;
use crate::gateway::Gateway;
use crate::log_position::{LogPosition, StoreEpoch};
use crate::page::encode;
use crate::ports::Topic;
use bincode::Encode;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

/// Path of the copies of the metadata store's topics.
const TOPIC_LOG_PATH: &str = "/topics";
/// Path of the log of changes at the cache stores.
const CACHE_STORE_LOG_PATH: &str = "/stores";

/// Path of the statement since when the metadata store has served the servers' table.
pub(crate) const STORE_SERVED_PATH: &str = "/store-served";

/// Path of what this daemon knows of the operators' orders.
pub(crate) const FLEET_ORDERS_PATH: &str = "/fleet-orders";

/// Answers a read of another daemon. Unknown paths get 404.
pub(crate) fn answer_peer(gateway: &Gateway, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let query = request.uri().query().unwrap_or_default();
    match request.uri().path() {
        CACHE_STORE_LOG_PATH => answer_cache_store_log(gateway, query),
        TOPIC_LOG_PATH => answer_topic_log(gateway, query),
        FLEET_ORDERS_PATH => page_response(FleetOrders::known_to(gateway).as_ref()),
        STORE_SERVED_PATH => answer_store_served(gateway),
        _ => page_response(None::<&()>),
    }
}

/// Returns the request target to read another daemon's log of the cache stores.
pub(crate) fn cache_store_log_target(cursor: Cursor) -> String {
    format!("{CACHE_STORE_LOG_PATH}?{}.{}", cursor.log_id, cursor.next)
}

fn parse_cursor(query: &str) -> Option<Cursor> {
    let (log_id, next) = query.split_once('.')?;
    Some(Cursor {
        log_id: log_id.parse().ok()?,
        next: next.parse().ok()?,
    })
}

/// Answers with the changes at the cache stores. A daemon that keeps no log answers 404: its fleet is
/// small, or it does not know its role yet.
fn answer_cache_store_log(gateway: &Gateway, query: &str) -> Response<Full<Bytes>> {
    let cursor = parse_cursor(query).unwrap_or_default();
    let now = gateway.now();
    let page = gateway
        .state
        .borrow()
        .caches
        .cache_store_log_page(cursor, now);
    page_response(page.as_ref())
}

/// A read of another daemon's copy of a topic, from a position on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TopicRead {
    pub(crate) topic: Topic,
    pub(crate) from: LogPosition,
}

/// Returns the request target to read another daemon's copy of a topic.
pub(crate) fn topic_log_target(read: TopicRead) -> String {
    let name = read.topic.name();
    let LogPosition { epoch, offset } = read.from;
    format!("{TOPIC_LOG_PATH}?{name}.{epoch}.{offset}")
}

fn parse_topic_read(query: &str) -> Option<TopicRead> {
    let (name, position) = query.split_once('.')?;
    let (epoch, offset) = position.split_once('.')?;
    let topic = Topic::ALL.into_iter().find(|topic| topic.name() == name)?;
    Some(TopicRead {
        topic,
        from: LogPosition {
            epoch: StoreEpoch(epoch.parse().ok()?),
            offset: offset.parse().ok()?,
        },
    })
}

fn answer_topic_log(gateway: &Gateway, query: &str) -> Response<Full<Bytes>> {
    let now = gateway.now();
    let state = gateway.state.borrow();
    let page = parse_topic_read(query).and_then(|read| {
        let log = state.topic_logs.get(&read.topic)?;
        log.page(read.from, now)
    });
    page_response(page.as_ref())
}

fn answer_store_served(gateway: &Gateway) -> Response<Full<Bytes>> {
    let now = gateway.now();
    let statement = gateway.state.borrow().store_availability.statement(now);
    page_response(statement.as_ref())
}

fn page_response(page: Option<&impl Encode>) -> Response<Full<Bytes>> {
    let (status, body) = match page.map(encode) {
        Some(Ok(bytes)) => (StatusCode::OK, Bytes::from(bytes)),
        Some(Err(error)) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into()),
        None => (
            StatusCode::NOT_FOUND,
            Bytes::from_static(b"this daemon keeps no such log"),
        ),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
