//! Baseline of the failure experiments: requests go to the engines in turn, without a daemon, and
//! health checks take failed engines out. Nothing is drained, retried or resumed.

use super::drive::{Load, RequestResult, Sample, unique_prompt};
use anvilgw_testbed::{MODEL, Testbed, workspace_key};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Pause between two rounds of checks, and time-out of a check.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Consecutive failed checks after which an engine gets no more requests.
const FAILURE_THRESHOLD: u32 = 2;

/// HTTP client that calls engines and daemons directly.
pub(super) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client with `TCP_NODELAY` set.
pub(super) fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Returns a streaming completion request to an engine or a daemon.
pub(super) fn completion_request(
    address: SocketAddr,
    prompt: &str,
    tokens: u64,
) -> Request<Full<Bytes>> {
    let body = json!({
        "model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": true,
    });
    Request::post(format!("http://{address}/v1/completions"))
        .header("authorization", format!("Bearer {}", workspace_key(0)))
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("constant parts are valid")
}

/// Sends a completion and reads its stream. A stream without its end marker is a failure.
pub(super) async fn stream_completion(
    client: HttpClient,
    request: Request<Full<Bytes>>,
    intended_start: Instant,
) -> RequestResult {
    let mut first_token = None;
    let mut tail = Bytes::new();
    let failure = match client.request(request).await {
        Err(error) => Some(error.to_string()),
        Ok(response) if !response.status().is_success() => Some(response.status().to_string()),
        Ok(response) => {
            let mut body = response.into_body();
            while let Some(Ok(frame)) = body.frame().await {
                if let Ok(data) = frame.into_data() {
                    first_token.get_or_insert_with(|| intended_start.elapsed());
                    tail = data;
                }
            }
            let is_whole = tail.trim_ascii_end().ends_with(b"data: [DONE]");
            (!is_whole).then(|| "the stream has no end".to_owned())
        }
    };
    let total = intended_start.elapsed();
    RequestResult {
        first_token: first_token.unwrap_or(total),
        total,
        attempts: 1,
        failure,
    }
}

/// Sends requests in turn to the engines that pass their health checks, or to all if none does.
pub(super) struct HealthCheckedEngines {
    client: HttpClient,
    engines: Vec<SocketAddr>,
    healthy: Mutex<Vec<SocketAddr>>,
}

impl HealthCheckedEngines {
    /// Starts a task that checks the engines of a bed until the returned value is dropped.
    pub(super) fn start(bed: &Testbed) -> Arc<Self> {
        let engines: Vec<_> = bed.engines.iter().map(|engine| engine.addr()).collect();
        let checked = Arc::new(Self {
            client: client(),
            healthy: Mutex::new(engines.clone()),
            engines,
        });
        let target = Arc::downgrade(&checked);
        tokio::spawn(async move {
            let mut failed = vec![0; target.upgrade().map_or(0, |c| c.engines.len())];
            while let Some(checked) = Weak::upgrade(&target) {
                checked.check(&mut failed).await;
                drop(checked);
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        });
        checked
    }

    /// Checks all engines once. `failed` holds the consecutive failures of each.
    async fn check(&self, failed: &mut [u32]) {
        for (engine, failed) in self.engines.iter().zip(failed.iter_mut()) {
            let uri = format!("http://{engine}/control/load");
            let uri = uri.parse().expect("the address is valid");
            let answer = tokio::time::timeout(CHECK_INTERVAL, self.client.get(uri)).await;
            *failed = match answer {
                Ok(Ok(response)) if response.status().is_success() => 0,
                _ => *failed + 1,
            };
        }
        let healthy = self.engines.iter().zip(failed.iter());
        let healthy = healthy.filter(|(_, failed)| **failed < FAILURE_THRESHOLD);
        let healthy = healthy.map(|(engine, _)| *engine).collect();
        *self.healthy.lock().expect("health lock") = healthy;
    }

    /// Starts a load of completions with `words` words of prompt and `tokens` tokens of answer
    /// each.
    pub(super) fn start_load(
        self: &Arc<Self>,
        load: Load,
        words: usize,
        tokens: u64,
    ) -> JoinHandle<Vec<Sample>> {
        let checked = Arc::clone(self);
        load.start(move |number, intended_start| {
            let engine = {
                let healthy = checked.healthy.lock().expect("health lock");
                let candidates = if healthy.is_empty() {
                    &checked.engines
                } else {
                    &*healthy
                };
                candidates[number % candidates.len()]
            };
            let request =
                completion_request(engine, &unique_prompt(load.seed, number, words), tokens);
            stream_completion(checked.client.clone(), request, intended_start)
        })
    }
}
