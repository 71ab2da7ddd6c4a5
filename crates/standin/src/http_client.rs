//! HTTP client for requests from one stand-in to another.

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Time limit of requests that are expected to take long, such as loading weights.
const LONG_TIMEOUT: Duration = Duration::from_secs(600);

/// HTTP client with a time limit for each request. Errors are returned as text.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    request_timeout: Duration,
}

impl HttpClient {
    pub(crate) fn new(request_timeout: Duration) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            request_timeout,
        }
    }

    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, String> {
        self.send(addr, path, None, self.request_timeout).await
    }

    pub(crate) async fn get_with_long_timeout<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, String> {
        self.send(addr, path, None, LONG_TIMEOUT).await
    }

    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<T, String> {
        self.send(addr, path, Some(body), self.request_timeout)
            .await
    }

    async fn send<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: Option<&Value>,
        request_timeout: Duration,
    ) -> Result<T, String> {
        let method = if body.is_some() {
            Method::POST
        } else {
            Method::GET
        };
        let body = body.map_or_else(Bytes::new, |body| Bytes::from(body.to_string()));
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        let exchange = async {
            let answer = self.client.request(request).await;
            let (head, body) = answer.map_err(|error| error.to_string())?.into_parts();
            let body = body.collect().await.map_err(|error| error.to_string())?;
            if !head.status.is_success() {
                return Err(format!("status {}", head.status));
            }
            serde_json::from_slice(&body.to_bytes()).map_err(|error| error.to_string())
        };
        timeout(request_timeout, exchange)
            .await
            .unwrap_or_else(|_| Err("no answer in time".to_owned()))
    }
}
