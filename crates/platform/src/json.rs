//! Client for requests with JSON bodies and JSON answers.

use crate::connection::ConnectionSettings;
use crate::error::TransportError;
use crate::exchange::{CallOptions, build_request};
use crate::pool::{Pool, PoolCounters};
use anvilgw_core::{ErrorKind, Failure, Stage};
use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;

quick_error! {
    /// Error of a call with a JSON answer to an engine, a store, a plain service or the instance
    /// list.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PlatformError {
        /// The exchange failed.
        Transport(error: TransportError) {
            display("{}", error)
            from()
        }
        /// The server answered with a status other than 200; `detail` is the body of the answer.
        Status(status: u16, detail: String) {
            display("status {}: {}", status, detail)
        }
        /// The answer has status 200, but its body is not the expected JSON.
        Protocol(detail: String) {
            display("unexpected answer: {}", detail)
        }
    }
}

impl PlatformError {
    /// Returns how far the call got.
    #[must_use]
    pub fn stage(&self) -> Stage {
        match self {
            Self::Transport(error) => error.stage(),
            Self::Status(..) => Stage::AnswerLost,
            Self::Protocol(_) => Stage::AnswerStarted,
        }
    }
}

impl From<PlatformError> for Failure {
    fn from(error: PlatformError) -> Self {
        let kind = match &error {
            PlatformError::Transport(error) => error.cause().kind(),
            PlatformError::Status(..) => ErrorKind::BackendFailed,
            PlatformError::Protocol(_) => ErrorKind::AnswerBroken,
        };
        Self::new(kind, error.stage(), error.to_string())
    }
}

/// Client that sends requests with JSON bodies to one server and decodes the JSON answers.
#[derive(Clone, Debug)]
pub(crate) struct JsonClient {
    pool: Arc<Pool>,
}

impl JsonClient {
    pub(crate) fn new(addr: SocketAddr, settings: ConnectionSettings) -> Self {
        Self::with_pool(Arc::new(Pool::new(addr, settings)))
    }

    pub(crate) fn with_pool(pool: Arc<Pool>) -> Self {
        Self { pool }
    }

    pub(crate) fn counters(&self) -> PoolCounters {
        self.pool.counters()
    }

    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        options: &CallOptions,
    ) -> Result<T, PlatformError> {
        self.send(Method::GET, path, Bytes::new(), options).await
    }

    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &(impl Serialize + Sync),
        options: &CallOptions,
    ) -> Result<T, PlatformError> {
        let body =
            serde_json::to_vec(body).map_err(|error| PlatformError::Protocol(error.to_string()))?;
        self.send(Method::POST, path, body.into(), options).await
    }

    async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        options: &CallOptions,
    ) -> Result<T, PlatformError> {
        let mut request = build_request(method, path, body)?;
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(header::CONTENT_TYPE, json);
        let answer = self.pool.exchange(request, options).await?;
        let status = answer.status;
        let body = answer.body.collect().await?;
        if status != StatusCode::OK {
            let detail = String::from_utf8_lossy(&body).into_owned();
            return Err(PlatformError::Status(status.as_u16(), detail));
        }
        serde_json::from_slice(&body).map_err(|error| PlatformError::Protocol(error.to_string()))
    }
}
