//! The baseline of the failure experiments: callers reach the engines in turn, and health checks take
//! an engine out of the turn. Nothing is drained, tried again or resumed.

use super::drive::{Answered, Load, Sample, prompt};
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

/// Interval of the checks.
const INTERVAL: Duration = Duration::from_secs(1);
/// Failed checks in a row that take an engine out.
const FAILED_CHECKS: u32 = 2;

/// Client of the direct calls.
pub(super) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Makes a client.
pub(super) fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// A streaming completion for an engine or a daemon.
pub(super) fn completion(address: SocketAddr, prompt: &str, tokens: u64) -> Request<Full<Bytes>> {
    let body = json!({
        "model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": true,
    });
    Request::post(format!("http://{address}/v1/completions"))
        .header("authorization", format!("Bearer {}", workspace_key(0)))
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("constant parts are valid")
}

/// Sends a completion and reads its stream to the end marker.
pub(super) async fn stream(
    client: HttpClient,
    request: Request<Full<Bytes>>,
    intended: Instant,
) -> Answered {
    let mut first_token = None;
    let mut tail = Bytes::new();
    let failure = match client.request(request).await {
        Err(error) => Some(error.to_string()),
        Ok(response) if !response.status().is_success() => Some(response.status().to_string()),
        Ok(response) => {
            let mut body = response.into_body();
            while let Some(Ok(frame)) = body.frame().await {
                if let Ok(data) = frame.into_data() {
                    first_token.get_or_insert_with(|| intended.elapsed());
                    tail = data;
                }
            }
            let is_whole = tail.trim_ascii_end().ends_with(b"data: [DONE]");
            (!is_whole).then(|| "the stream has no end".to_owned())
        }
    };
    let total = intended.elapsed();
    Answered {
        first_token: first_token.unwrap_or(total),
        total,
        attempts: 1,
        failure,
    }
}

/// Engines in turn, less those that fail their checks.
pub(super) struct HealthChecked {
    client: HttpClient,
    engines: Vec<SocketAddr>,
    healthy: Mutex<Vec<SocketAddr>>,
}

impl HealthChecked {
    /// Starts checking the engines of a bed.
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
                tokio::time::sleep(INTERVAL).await;
            }
        });
        checked
    }

    async fn check(&self, failed: &mut [u32]) {
        for (engine, failed) in self.engines.iter().zip(failed.iter_mut()) {
            let uri = format!("http://{engine}/control/load");
            let uri = uri.parse().expect("the address is valid");
            let answer = tokio::time::timeout(INTERVAL, self.client.get(uri)).await;
            *failed = match answer {
                Ok(Ok(response)) if response.status().is_success() => 0,
                _ => *failed + 1,
            };
        }
        let healthy = self.engines.iter().zip(failed.iter());
        let healthy = healthy.filter(|(_, failed)| **failed < FAILED_CHECKS);
        let healthy = healthy.map(|(engine, _)| *engine).collect();
        *self.healthy.lock().expect("health lock") = healthy;
    }

    /// Starts a load over the healthy engines.
    pub(super) fn drive(
        self: &Arc<Self>,
        load: Load,
        words: usize,
        tokens: u64,
    ) -> JoinHandle<Vec<Sample>> {
        let checked = Arc::clone(self);
        load.start(move |number, intended| {
            let engine = {
                let healthy = checked.healthy.lock().expect("health lock");
                let all = if healthy.is_empty() {
                    &checked.engines
                } else {
                    &*healthy
                };
                all[number % all.len()]
            };
            let request = completion(engine, &prompt(load.seed, number, words), tokens);
            stream(checked.client.clone(), request, intended)
        })
    }
}
