//! Client of plain services: one attempt of one call.

use crate::connection::{Connection, ConnectionSettings};
use crate::exchange::{Answer, CallOptions, request};
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

/// Headers that belong to one connection and are not passed on.
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

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path_and_query: String,
    /// Headers to pass on. Those that belong to one connection are left out.
    pub headers: HeaderMap,
    /// Body.
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

/// The complete answer of a plain service, whatever its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers without those that belong to one connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Load report of a plain service. It describes a moment in the past.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Calls in execution.
    pub running: u64,
    /// Calls executed since the start.
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

    /// Makes one attempt of a call. It is never repeated after the first byte was written.
    ///
    /// # Errors
    ///
    /// A [`Failure`] whose stage is [`Connecting`] if no byte was written,
    /// [`AnswerLost`] or [`Written`] (time limit) if any was, and [`AnswerStarted`] if a successful
    /// answer was cut.
    ///
    /// [`Connecting`]: anvilgw_core::Stage::Connecting
    /// [`Written`]: anvilgw_core::Stage::Written
    /// [`AnswerLost`]: anvilgw_core::Stage::AnswerLost
    /// [`AnswerStarted`]: anvilgw_core::Stage::AnswerStarted
    pub async fn call(&self, call: ServiceCall) -> Result<ServiceAnswer, Failure> {
        let options = call.options.clone();
        let answer = self.pool.exchange(prepare(call)?, &options).await?;
        complete(answer).await
    }

    /// Opens a new connection for one call, so that the caller can decide after that whether to send
    /// it.
    ///
    /// # Errors
    ///
    /// A [`Failure`] at stage [`Connecting`](anvilgw_core::Stage::Connecting) if the connection does
    /// not open in time.
    pub async fn connect(
        &self,
        time_limit: Option<Duration>,
    ) -> Result<ServiceConnection, Failure> {
        Ok(ServiceConnection {
            connection: self.pool.open(time_limit).await?,
            pool: Arc::clone(&self.pool),
        })
    }

    /// Reads the load report.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if there is no valid answer.
    pub async fn load_report(&self) -> Result<ServiceLoad, PlatformError> {
        JsonClient::over(Arc::clone(&self.pool))
            .get("/control/load", &CallOptions::default())
            .await
    }

    /// Counters of the connections.
    #[must_use]
    pub fn counters(&self) -> PoolCounters {
        self.pool.counters()
    }
}

/// An open connection on which one call can be sent. Dropping it closes the connection.
#[derive(Debug)]
pub struct ServiceConnection {
    connection: Connection,
    pool: Arc<Pool>,
}

impl ServiceConnection {
    /// Makes one attempt of a call on this connection. `fresh_connection` of its options has no
    /// effect.
    ///
    /// # Errors
    ///
    /// As [`ServiceClient::call`].
    pub async fn send(self, call: ServiceCall) -> Result<ServiceAnswer, Failure> {
        let options = call.options.clone();
        let request = prepare(call)?;
        let sent = self.pool.exchange_on(self.connection, request, &options);
        complete(sent.await?).await
    }
}

fn prepare(call: ServiceCall) -> Result<Request<Full<Bytes>>, Failure> {
    let mut request = request(call.method, &call.path_and_query, call.body)?;
    *request.headers_mut() = call.headers;
    remove_hop_headers(request.headers_mut());
    Ok(request)
}

async fn complete(answer: Answer) -> Result<ServiceAnswer, Failure> {
    let mut headers = answer.headers;
    remove_hop_headers(&mut headers);
    Ok(ServiceAnswer {
        status: answer.status,
        headers,
        body: answer.body.collect().await?,
    })
}

fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in &named {
        headers.remove(name);
    }
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
}
