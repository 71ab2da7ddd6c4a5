//! Open-loop load on real daemons, and a stand-in for the load balancer in front of them.
//!
//! Arrivals form a Poisson process that does not wait for answers. Latencies count from the
//! intended send time, so a slow system cannot hide its delay by slowing the load.

use crate::report::Figures;
use anvilgw_testbed::{Caller, CallerError, Testbed};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{HeaderMap, Method, StatusCode};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::task::JoinHandle;

/// Time after which a caller gives up an attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause of a caller between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time after which an unanswered readiness probe counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Highest latency that histograms record: 10 minutes. Longer ones are recorded as this.
const LATENCY_MAX_US: u64 = 600_000_000;

/// Creates the multi-threaded runtime of an experiment.
pub(super) fn runtime() -> Runtime {
    Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the operating system gives threads")
}

/// Parameters of an open-loop load: requests with Poisson arrivals at a mean rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    pub(super) seed: u64,
    pub(super) rate_per_s: f64,
    pub(super) duration: Duration,
}

impl Load {
    fn arrivals(self) -> Vec<Duration> {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut at = 0.0;
        let mut arrivals = Vec::new();
        loop {
            at -= (1.0 - rng.random::<f64>()).ln() / self.rate_per_s;
            if at >= self.duration.as_secs_f64() {
                return arrivals;
            }
            arrivals.push(Duration::from_secs_f64(at));
        }
    }

    /// Starts the load. `call` gets the number of the request and its intended send time. The task
    /// returns the samples in the order of arrival.
    pub(super) fn start<F, Fut>(self, call: F) -> JoinHandle<Vec<Sample>>
    where
        F: Fn(usize, Instant) -> Fut + Send + 'static,
        Fut: Future<Output = RequestResult> + Send + 'static,
    {
        tokio::spawn(async move {
            let runtime = Handle::current();
            // Runtime timers have a resolution of 1 ms; a sleeping thread is more precise.
            let sent = tokio::task::spawn_blocking(move || send_all(self, &runtime, call));
            let mut samples = Vec::new();
            for (at, request) in sent.await.expect("the sender does not panic") {
                let result = request.await.expect("a caller does not panic");
                samples.push(Sample { at, result });
            }
            samples
        })
    }
}

fn send_all<F, Fut>(
    load: Load,
    runtime: &Handle,
    call: F,
) -> Vec<(Duration, JoinHandle<RequestResult>)>
where
    F: Fn(usize, Instant) -> Fut,
    Fut: Future<Output = RequestResult> + Send + 'static,
{
    let started = Instant::now();
    load.arrivals()
        .into_iter()
        .enumerate()
        .map(|(number, at)| {
            let intended_start = started + at;
            thread::sleep(intended_start.saturating_duration_since(Instant::now()));
            (at, runtime.spawn(call(number, intended_start)))
        })
        .collect()
}

/// Result of a request as its caller saw it, over all attempts.
#[derive(Clone, Debug)]
pub(super) struct RequestResult {
    /// Time from the intended send time to the first token, or to the failure if no token came.
    pub(super) first_token: Duration,
    /// Time from the intended send time to the end of the answer or to the failure.
    pub(super) total: Duration,
    /// Number of attempts that the caller made.
    pub(super) attempts: u32,
    /// Cause of the failure of the last attempt; `None` if the answer is complete.
    pub(super) failure: Option<String>,
}

/// A request of a load and its result.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    /// Intended send time, relative to the start of the load.
    pub(super) at: Duration,
    pub(super) result: RequestResult,
}

/// Returns a quantile of durations in milliseconds, with three significant digits.
pub(super) fn quantile_ms(times: impl IntoIterator<Item = Duration>, quantile: f64) -> f64 {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, LATENCY_MAX_US, 3).expect("the bounds are valid");
    for time in times {
        histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// Returns the times to first token of the successful requests with an intended send time in
/// `from..to`.
pub(super) fn first_token_times(
    samples: &[Sample],
    from: Duration,
    to: Duration,
) -> impl Iterator<Item = Duration> {
    samples
        .iter()
        .filter(move |sample| (from..to).contains(&sample.at))
        .filter(|sample| sample.result.failure.is_none())
        .map(|sample| sample.result.first_token)
}

/// Counts the requests without a complete answer.
pub(super) fn failures(samples: &[Sample]) -> usize {
    samples
        .iter()
        .filter(|sample| sample.result.failure.is_some())
        .count()
}

/// Adds the number of requests, the number that needed a retry by the caller, and the failures by
/// cause.
pub(super) fn add_request_figures(figures: &mut Figures, samples: &[Sample]) {
    let retried = samples.iter().filter(|s| s.result.attempts > 1).count();
    figures.insert("requests".to_owned(), json!(samples.len()));
    figures.insert("requests_with_caller_retry".to_owned(), json!(retried));
    let mut causes = indexmap::IndexMap::<_, u64>::new();
    for failure_cause in samples.iter().filter_map(|s| s.result.failure.as_ref()) {
        *causes.entry(failure_cause).or_default() += 1;
    }
    if !causes.is_empty() {
        figures.insert("failure_causes".to_owned(), json!(causes));
    }
}

/// Stand-in for the platform's load balancer. Sends requests to the ready daemons in turn and
/// learns of changes in readiness with a lag.
pub(super) struct Balancer {
    caller: Caller,
    daemons: Vec<SocketAddr>,
    ready: Mutex<Vec<usize>>,
    next: AtomicUsize,
}

impl Balancer {
    /// Creates a balancer and starts a task that probes the readiness of all daemons of the bed,
    /// with a pause of `lag` between two rounds. The task ends when the balancer is dropped.
    pub(super) fn start(bed: &Testbed, lag: Duration) -> Arc<Self> {
        let count = bed.config().daemons;
        let balancer = Arc::new(Self {
            caller: bed.caller(),
            daemons: (0..count).map(|index| bed.listen_address(index)).collect(),
            ready: Mutex::new((0..count).collect()),
            next: AtomicUsize::new(0),
        });
        let probed = Arc::downgrade(&balancer);
        tokio::spawn(async move {
            while let Some(balancer) = Weak::upgrade(&probed) {
                balancer.probe().await;
                drop(balancer);
                tokio::time::sleep(lag).await;
            }
        });
        balancer
    }

    /// Probes all daemons at once and replaces the set of ready ones.
    async fn probe(&self) {
        let probes = self.daemons.iter().map(|daemon| async {
            let (headers, body) = (HeaderMap::new(), Bytes::new());
            let call = self
                .caller
                .send(*daemon, Method::GET, "/readyz", headers, body);
            let answer = tokio::time::timeout(PROBE_TIMEOUT, call).await;
            matches!(answer, Ok(Ok(response)) if response.status() == StatusCode::OK)
        });
        let states = futures_util::future::join_all(probes).await;
        let ready = (0..states.len()).filter(|index| states[*index]).collect();
        *self.ready.lock().expect("ready lock") = ready;
    }

    /// Returns the next ready daemon other than `failed`, or the next of all daemons if there is
    /// none.
    fn next_daemon(&self, failed: Option<usize>) -> usize {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let ready = self.ready.lock().expect("ready lock");
        let others: Vec<_> = ready.iter().filter(|d| Some(**d) != failed).collect();
        match others.len() {
            0 => number % self.daemons.len(),
            count => *others[number % count],
        }
    }

    /// Sends an idempotent completion. After a failure it tries another daemon, with up to
    /// `attempts` attempts in total.
    pub(super) async fn complete(
        &self,
        prompt: &str,
        tokens: u64,
        intended_start: Instant,
        attempts: u32,
    ) -> RequestResult {
        let mut failed = None;
        let mut attempt = 0;
        loop {
            attempt += 1;
            let daemon = self.next_daemon(failed);
            let sent = intended_start.elapsed();
            let call = self.caller.complete(daemon, 0, prompt, tokens);
            let failure = match tokio::time::timeout(ATTEMPT_TIMEOUT, call).await {
                Ok(Ok(answer)) => {
                    return RequestResult {
                        first_token: sent + answer.first_token,
                        total: sent + answer.total,
                        attempts: attempt,
                        failure: None,
                    };
                }
                Ok(Err(error)) => failure_cause(&error),
                Err(_) => "no answer in time".to_owned(),
            };
            if attempt >= attempts {
                return RequestResult {
                    first_token: intended_start.elapsed(),
                    total: intended_start.elapsed(),
                    attempts: attempt,
                    failure: Some(failure),
                };
            }
            failed = Some(daemon);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Returns the cause of a failure without details that differ between requests.
fn failure_cause(error: &CallerError) -> String {
    match error {
        CallerError::Connection(_) => "connection broke".to_owned(),
        CallerError::Refused(status, code, _) => format!("refused with {status} {code}"),
        CallerError::StreamFailed(data) => format!("stream broke: {}", error_code(data)),
        CallerError::WrongAnswer(detail) => format!("wrong answer: {detail}"),
    }
}

/// Returns the error code of an error event, or an empty string if the event has none.
fn error_code(data: &str) -> String {
    serde_json::from_str::<serde_json::Value>(data)
        .ok()
        .and_then(|data| data["error"]["code"].as_str().map(str::to_owned))
        .unwrap_or_default()
}

/// Returns a prompt of `words` words that is unique to the request, so no prefix is shared.
pub(super) fn unique_prompt(seed: u64, number: usize, words: usize) -> String {
    (0..words)
        .map(|word| format!("s{seed}r{number}w{word} "))
        .collect()
}
