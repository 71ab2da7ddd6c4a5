//! Client of plain services. It makes single attempts; retries are up to the caller.

use crate::connection::{Connection, ConnectionSettings};
use crate::exchange::{Answer, CallOptions, build_request};
use crate::json::{JsonClient, PlatformError};
use crate::pool::{Pool, PoolCounters};
use anvilgw_core::Failure;
use bytes::Bytes;
use http::Request;
use http::header::{self, HeaderName};
use http::{HeaderMap, Method, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Hop-by-hop headers, which are not forwarded. `host` and `content-length` are set anew for each
/// connection.
const HOP_HEADERS: [HeaderName; 11] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::HOST,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query string, starting with `/`.
    pub path_and_query: String,
    /// Headers to forward. Hop-by-hop headers are removed before the call is sent.
    pub headers: HeaderMap,
    /// Body, sent unchanged.
    pub body: Bytes,
    /// Options of the exchange.
    pub options: CallOptions,
}

impl ServiceCall {
    /// Creates a call without headers and with default options.
    #[must_use]
    pub fn new(method: Method, path_and_query: impl Into<String>, body: Bytes) -> Self {
        Self {
            method,
            path_and_query: path_and_query.into(),
            headers: HeaderMap::new(),
            body,
            options: CallOptions::default(),
        }
    }
}

/// Complete answer of a plain service, with any status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Load report of a plain service. It may be out of date when it is received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Number of calls in execution.
    pub running: u64,
    /// Number of calls executed since the service started.
    pub executed: u64,
}

/// Client of one server of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    pool: Arc<Pool>,
}

impl ServiceClient {
    /// Creates a client. Connections are opened on demand.
    #[must_use]
    pub fn new(addr: SocketAddr, settings: ConnectionSettings) -> Self {
        Self {
            pool: Arc::new(Pool::new(addr, settings)),
        }
    }

    /// Makes one attempt of a call. The call is never sent again once its first byte was written.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] whose stage is [`Connecting`] if no byte was written, [`Written`]
    /// (time limit) or [`AnswerLost`] (otherwise) if any was, and [`AnswerStarted`] if an answer
    /// with a status below 400 is incomplete.
    ///
    /// [`Connecting`]: anvilgw_core::Stage::Connecting
    /// [`Written`]: anvilgw_core::Stage::Written
    /// [`AnswerLost`]: anvilgw_core::Stage::AnswerLost
    /// [`AnswerStarted`]: anvilgw_core::Stage::AnswerStarted
    pub async fn call(&self, call: ServiceCall) -> Result<ServiceAnswer, Failure> {
        let options = call.options.clone();
        let answer = self.pool.exchange(to_http_request(call)?, &options).await?;
        read_answer(answer).await
    }

    /// Opens a new connection for one call, so that the caller can decide whether to send the call
    /// once the connection is open.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] at stage [`Connecting`](anvilgw_core::Stage::Connecting) if the
    /// connection cannot be opened within `time_limit`.
    pub async fn connect(
        &self,
        time_limit: Option<Duration>,
    ) -> Result<ServiceConnection, Failure> {
        Ok(ServiceConnection {
            connection: self.pool.open_connection(time_limit).await?,
            pool: Arc::clone(&self.pool),
        })
    }

    /// Reads the load report of the service.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if there is no valid answer.
    pub async fn load_report(&self) -> Result<ServiceLoad, PlatformError> {
        JsonClient::with_pool(Arc::clone(&self.pool))
            .get("/control/load", &CallOptions::default())
            .await
    }

    /// Returns the counters of the connections to the server.
    #[must_use]
    pub fn counters(&self) -> PoolCounters {
        self.pool.counters()
    }
}

/// Open connection to a server of a plain service, on which one call can be sent. Dropping it
/// closes the connection.
#[derive(Debug)]
pub struct ServiceConnection {
    connection: Connection,
    pool: Arc<Pool>,
}

impl ServiceConnection {
    /// Makes one attempt of a call on this connection. [`CallOptions::fresh_connection`] has no
    /// effect.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] as [`ServiceClient::call`] does.
    pub async fn send(self, call: ServiceCall) -> Result<ServiceAnswer, Failure> {
        let options = call.options.clone();
        let request = to_http_request(call)?;
        let sent = self.pool.exchange_on(self.connection, request, &options);
        read_answer(sent.await?).await
    }
}

fn to_http_request(call: ServiceCall) -> Result<Request<Full<Bytes>>, Failure> {
    let mut request = build_request(call.method, &call.path_and_query, call.body)?;
    *request.headers_mut() = call.headers;
    remove_hop_headers(request.headers_mut());
    Ok(request)
}

async fn read_answer(answer: Answer) -> Result<ServiceAnswer, Failure> {
    let mut headers = answer.headers;
    remove_hop_headers(&mut headers);
    Ok(ServiceAnswer {
        status: answer.status,
        headers,
        body: answer.body.collect().await?,
    })
}

/// Removes [`HOP_HEADERS`] and the headers that `connection` lists.
fn remove_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in &listed {
        headers.remove(name);
    }
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
}
