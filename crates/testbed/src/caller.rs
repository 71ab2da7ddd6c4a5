//! A client of the daemons that checks the answers.

use crate::layout::{MODEL, OPERATOR_KEY, SERVICE, workspace_key};
use anvilgw_core::Executed;
use anvilgw_standin::answer_text;
use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use quick_error::quick_error;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

quick_error! {
    /// Reason why a call has no complete and correct answer.
    #[derive(Debug)]
    pub enum CallerError {
        /// The daemon could not be reached, the connection broke or the answer could not be read.
        Connection(detail: String) { display("connection: {}", detail) }
        /// The daemon refused the request or reported that it failed. Holds the HTTP status, the
        /// error code and whether the request was executed, if the daemon says so.
        Refused(status: u16, code: String, executed: Option<Executed>) {
            display("refused with {} {}, executed: {:?}", status, code, executed)
        }
        /// The stream of a completion ended with an error event. Holds the data of that event.
        StreamFailed(data: String) { display("stream broke: {}", data) }
        /// The answer cannot be parsed or is not the one that belongs to this prompt.
        WrongAnswer(detail: String) { display("wrong answer: {}", detail) }
    }
}

/// A completion that was received completely and found correct.
#[derive(Clone, Debug)]
pub struct CompletionResponse {
    /// Identifier of the request, from the `x-request-id` header.
    pub request_id: String,
    /// Time from sending the request to the first token.
    pub first_token: Duration,
    /// Time from sending the request to the end of the stream.
    pub total: Duration,
    /// Number of generated tokens.
    pub tokens: u64,
}

/// An answer of the plain service.
#[derive(Clone, Debug)]
pub struct ServiceResponse {
    /// HTTP status that the service returned.
    pub status: StatusCode,
    /// Body that the service returned.
    pub body: Bytes,
    /// Whether this is the recorded answer of an earlier request with the same idempotency key.
    pub replayed: bool,
}

/// HTTP client that calls the daemons as a workspace or as the operator.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    listen_addresses: Vec<SocketAddr>,
    admin_addresses: Vec<SocketAddr>,
}

impl Caller {
    pub(crate) fn new(listen_addresses: Vec<SocketAddr>, admin_addresses: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            listen_addresses,
            admin_addresses,
        }
    }

    /// Sends a request and returns the response with its body still unread.
    ///
    /// # Errors
    ///
    /// [`CallerError::Connection`] if there is no response.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<http::Response<hyper::body::Incoming>, CallerError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))
            .map_err(|error| CallerError::Connection(error.to_string()))?;
        request.headers_mut().extend(headers);
        let response = self.client.request(request).await;
        response.map_err(|error| CallerError::Connection(error.to_string()))
    }

    /// Streams a completion and checks that it is the complete answer to this prompt.
    ///
    /// # Errors
    ///
    /// [`CallerError`] if there is no complete answer. [`CallerError::WrongAnswer`] shows a fault
    /// in the daemon or an engine.
    pub async fn complete(
        &self,
        daemon: usize,
        workspace: usize,
        prompt: &str,
        max_tokens: u64,
    ) -> Result<CompletionResponse, CallerError> {
        let body = json!({
            "model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        let started = Instant::now();
        let response = self
            .send(
                self.listen_addresses[daemon],
                Method::POST,
                "/v1/completions",
                bearer(&workspace_key(workspace)),
                body.to_string().into(),
            )
            .await?;
        if response.status() != StatusCode::OK {
            return Err(refusal_error(response).await);
        }
        let request_id = header_text(response.headers(), "x-request-id");
        let mut stream = StreamedText::new(started);
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| CallerError::Connection(error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                stream.push(&data)?;
            }
        }
        let text = stream.finish()?;
        if text.0 != answer_text(prompt, max_tokens) {
            let detail = format!(
                "{} tokens, but not the text that belongs to the prompt",
                text.1
            );
            return Err(CallerError::WrongAnswer(detail));
        }
        Ok(CompletionResponse {
            request_id,
            first_token: stream.first_token.unwrap_or_default(),
            total: started.elapsed(),
            tokens: text.1,
        })
    }

    /// Calls the plain service. Without an idempotency key, the daemon generates one for a
    /// non-idempotent call.
    ///
    /// # Errors
    ///
    /// [`CallerError`] if the call was refused or failed.
    pub async fn call_service(
        &self,
        daemon: usize,
        workspace: usize,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<ServiceResponse, CallerError> {
        let mut headers = bearer(&workspace_key(workspace));
        if let Some(key) = key.and_then(|key| key.parse().ok()) {
            headers.insert("idempotency-key", key);
        }
        let path = format!("/services/{SERVICE}{path}");
        let body = Bytes::from(body.to_owned());
        let response = self
            .send(self.listen_addresses[daemon], method, &path, headers, body)
            .await?;
        if response.headers().contains_key("x-anvilgw-executed") {
            return Err(refusal_error(response).await);
        }
        let status = response.status();
        let replayed = response.headers().contains_key("idempotent-replayed");
        let body = read_body(response).await?;
        Ok(ServiceResponse {
            status,
            body,
            replayed,
        })
    }

    /// Calls an operator endpoint and returns its JSON.
    ///
    /// # Errors
    ///
    /// [`CallerError`] if the daemon does not answer with JSON.
    pub async fn call_admin(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<Value, CallerError> {
        let headers = bearer(OPERATOR_KEY);
        let body = match method {
            Method::GET => Bytes::new(),
            _ => body.to_string().into(),
        };
        let response = self
            .send(self.admin_addresses[daemon], method, path, headers, body)
            .await?;
        let body = read_body(response).await?;
        serde_json::from_slice(&body).map_err(|error| CallerError::Connection(error.to_string()))
    }

    /// Publishes a configuration change through a daemon and returns the daemon's answer. `change`
    /// has the JSON form of the operator API.
    ///
    /// # Errors
    ///
    /// [`CallerError`] if the daemon does not answer with JSON.
    pub async fn publish_change(
        &self,
        daemon: usize,
        expected_version: u64,
        change: &Value,
    ) -> Result<Value, CallerError> {
        let body = json!({
            "expected_version": expected_version,
            "record_id": uuid::Uuid::now_v7(),
            "change": change,
        });
        self.call_admin(daemon, Method::POST, "/admin/config", &body)
            .await
    }
}

fn bearer(key: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(value) = format!("Bearer {key}").parse() {
        headers.insert(AUTHORIZATION, value);
    }
    headers
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

async fn read_body(response: http::Response<hyper::body::Incoming>) -> Result<Bytes, CallerError> {
    let collected = response.into_body().collect().await;
    collected
        .map(|collected| collected.to_bytes())
        .map_err(|error| CallerError::Connection(error.to_string()))
}

async fn refusal_error(response: http::Response<hyper::body::Incoming>) -> CallerError {
    let status = response.status().as_u16();
    let executed = match header_text(response.headers(), "x-anvilgw-executed").as_str() {
        "no" => Some(Executed::No),
        "yes" => Some(Executed::Yes),
        "unknown" => Some(Executed::Unknown),
        _ => None,
    };
    let body = match read_body(response).await {
        Ok(body) => body,
        Err(error) => return error,
    };
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let code = body["error"]["code"].as_str().unwrap_or_default();
    CallerError::Refused(status, code.to_owned(), executed)
}

/// Parses the event stream of a completion and collects its text.
struct StreamedText {
    started: Instant,
    buffer: String,
    text: String,
    tokens: u64,
    first_token: Option<Duration>,
    complete: bool,
    error: Option<String>,
}

impl StreamedText {
    fn new(started: Instant) -> Self {
        Self {
            started,
            buffer: String::new(),
            text: String::new(),
            tokens: 0,
            first_token: None,
            complete: false,
            error: None,
        }
    }

    fn push(&mut self, bytes: &[u8]) -> Result<(), CallerError> {
        let text = std::str::from_utf8(bytes);
        let text = text.map_err(|error| CallerError::WrongAnswer(error.to_string()))?;
        self.buffer.push_str(text);
        while let Some(end) = self.buffer.find("\n\n") {
            let event: String = self.buffer.drain(..end + 2).collect();
            self.handle_event(event.trim_end())?;
        }
        Ok(())
    }

    fn handle_event(&mut self, event: &str) -> Result<(), CallerError> {
        if let Some(data) = event.strip_prefix("event: error\ndata: ") {
            self.error = Some(data.to_owned());
            return Ok(());
        }
        let Some(data) = event.strip_prefix("data: ") else {
            return Ok(());
        };
        if data == "[DONE]" {
            self.complete = true;
            return Ok(());
        }
        let chunk: Value = serde_json::from_str(data)
            .map_err(|error| CallerError::WrongAnswer(error.to_string()))?;
        let choice = &chunk["choices"][0];
        let Some(index) = choice["token_index"].as_u64() else {
            return Ok(());
        };
        if index != self.tokens {
            let detail = format!("received token {index}, expected token {}", self.tokens);
            return Err(CallerError::WrongAnswer(detail));
        }
        self.first_token
            .get_or_insert_with(|| self.started.elapsed());
        self.tokens += 1;
        self.text
            .push_str(choice["text"].as_str().unwrap_or_default());
        Ok(())
    }

    fn finish(&mut self) -> Result<(String, u64), CallerError> {
        if let Some(error) = self.error.take() {
            return Err(CallerError::StreamFailed(error));
        }
        if !self.complete {
            let detail = "the stream ended without [DONE]";
            return Err(CallerError::Connection(detail.to_owned()));
        }
        Ok((std::mem::take(&mut self.text), self.tokens))
    }
}
