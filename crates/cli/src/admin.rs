//! HTTP client of the daemons' operator endpoints.

use crate::error::CliError;
use crate::options::Options;
use anvilgw_config::{ChangeRequest, ChangeResponse, ConfigReport, ForceEpochResponse};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode, header};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::runtime::Runtime;

/// Time limit of one request. A daemon answers a change only after it has read it back from the
/// log.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of times that all addresses are tried before the command fails.
const ROUNDS: u32 = 3;
/// Pause before all addresses are tried again.
const ROUND_PAUSE: Duration = Duration::from_millis(300);
/// Largest accepted body of an answer. A full configuration has at most about 200 KB.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// Reason why an HTTP exchange with one address gave no answer.
enum ExchangeError {
    /// The connection could not be opened, so the request was certainly not sent.
    NotSent(String),
    /// The connection broke or no answer came in time, so the daemon may have processed the
    /// request.
    AnswerLost(String),
    /// The request could not be built, so no address is tried.
    InvalidRequest(String),
}

/// HTTP status and body of an answer.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

/// Client of the operator endpoints of one or several daemons, whose addresses are tried in turn.
pub(crate) struct AdminClient {
    runtime: Runtime,
    addresses: Vec<SocketAddr>,
    key: String,
}

impl AdminClient {
    pub(crate) fn new(options: &Options) -> Result<Self, CliError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| {
                CliError::Failed(format!("the async runtime cannot be started: {error}"))
            })?;
        Ok(Self {
            runtime,
            addresses: options.admin_addresses()?,
            key: options.operator_key()?,
        })
    }

    /// Reads the current configuration with `GET /admin/config`.
    pub(crate) fn config(&self) -> Result<ConfigReport, CliError> {
        self.get("/admin/config")
    }

    /// Reads an operator endpoint with `GET` and parses its JSON.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let answer = self
            .call(&Method::GET, path, &Bytes::new())
            .map_err(|error| match error {
                ExchangeError::NotSent(detail)
                | ExchangeError::AnswerLost(detail)
                | ExchangeError::InvalidRequest(detail) => CliError::Failed(detail),
            })?;
        if answer.status.is_success() {
            return from_json(&answer.body).map_err(CliError::Failed);
        }
        Err(CliError::Failed(refusal_text(&answer)))
    }

    /// Submits a change with `POST /admin/config`. If an answer is lost, the request is repeated
    /// with the same record identifier; a change that was already made is not made again.
    pub(crate) fn post(&self, request: &ChangeRequest) -> Result<ChangeResponse, CliError> {
        let body = serde_json::to_vec(request)
            .map_err(|error| CliError::Failed(format!("the change cannot be sent: {error}")))?;
        let unknown = |detail| CliError::OutcomeUnknown(request.record_id, detail);
        match self.call(&Method::POST, "/admin/config", &body.into()) {
            Ok(answer) => match from_json(&answer.body) {
                Ok(verdict) => Ok(verdict),
                Err(detail) if answer.status.is_success() => Err(unknown(detail)),
                Err(_) => Err(CliError::Failed(refusal_text(&answer))),
            },
            Err(ExchangeError::AnswerLost(detail)) => Err(unknown(detail)),
            Err(ExchangeError::NotSent(detail) | ExchangeError::InvalidRequest(detail)) => {
                Err(CliError::Failed(detail))
            }
        }
    }

    /// Calls `POST /admin/epoch` at one address after the other until the daemon that holds the
    /// duty of epochs takes the command. Returns `false` if the last daemon answered without
    /// holding the duty.
    pub(crate) fn force_epoch(&self) -> Result<bool, CliError> {
        let mut outcome = Err(CliError::Failed("no address".to_owned()));
        for address in &self.addresses {
            let exchange = self.exchange(*address, &Method::POST, "/admin/epoch", Bytes::new());
            outcome = match self.runtime.block_on(exchange) {
                Ok(answer) if answer.status.is_success() => {
                    let answer: ForceEpochResponse =
                        from_json(&answer.body).map_err(CliError::Failed)?;
                    if answer.forced {
                        return Ok(true);
                    }
                    Ok(false)
                }
                Ok(answer) => Err(CliError::Failed(refusal_text(&answer))),
                Err(
                    ExchangeError::NotSent(detail)
                    | ExchangeError::AnswerLost(detail)
                    | ExchangeError::InvalidRequest(detail),
                ) => Err(CliError::Failed(detail)),
            };
        }
        outcome
    }

    /// Tries all addresses in turn until one answers. If none does and an answer was lost at any of
    /// them, returns [`ExchangeError::AnswerLost`], because that daemon may have processed the
    /// request.
    fn call(&self, method: &Method, path: &str, body: &Bytes) -> Result<Answer, ExchangeError> {
        let mut failure = ExchangeError::NotSent("no address".to_owned());
        for round in 0..ROUNDS {
            if round > 0 {
                std::thread::sleep(ROUND_PAUSE);
            }
            for address in &self.addresses {
                let exchange = self.exchange(*address, method, path, body.clone());
                match (self.runtime.block_on(exchange), &failure) {
                    (Ok(answer), _) => return Ok(answer),
                    (Err(invalid @ ExchangeError::InvalidRequest(_)), _) => return Err(invalid),
                    (Err(ExchangeError::NotSent(_)), ExchangeError::AnswerLost(_)) => {}
                    (Err(error), _) => failure = error,
                }
            }
        }
        Err(failure)
    }

    /// Sends a request to one address and reads the answer.
    async fn exchange(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, ExchangeError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| {
                ExchangeError::InvalidRequest(format!("the request is invalid: {error}"))
            })?;
        let exchange = async {
            let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
            let answer = client.request(request).await.map_err(|error| {
                let detail = format!("{address}: {}", with_sources(&error));
                if error.is_connect() {
                    ExchangeError::NotSent(detail)
                } else {
                    ExchangeError::AnswerLost(detail)
                }
            })?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), ANSWER_MAX_BYTES)
                .collect()
                .await;
            let lost = |error| ExchangeError::AnswerLost(format!("{address}: {error}"));
            Ok(Answer {
                status,
                body: body.map_err(lost)?.to_bytes(),
            })
        };
        tokio::time::timeout(REQUEST_TIMEOUT, exchange)
            .await
            .unwrap_or_else(|_| {
                let detail = format!(
                    "{address}: no answer within {} s",
                    REQUEST_TIMEOUT.as_secs()
                );
                Err(ExchangeError::AnswerLost(detail))
            })
    }
}

/// Joins the messages of an error and of all its sources.
fn with_sources(error: &(dyn Error + 'static)) -> String {
    std::iter::successors(Some(error), |&error| error.source())
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}

fn from_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| format!("unexpected answer: {error}"))
}

/// Describes an error answer by its status and, if the body has one, the message in
/// `{"error": {"message"}}`.
fn refusal_text(answer: &Answer) -> String {
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    match body["error"]["message"].as_str() {
        Some(message) => format!("refused with status {}: {message}", answer.status.as_u16()),
        None => format!("refused with status {}", answer.status),
    }
}
