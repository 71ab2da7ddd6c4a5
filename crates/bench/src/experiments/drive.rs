//! Open-loop load over real daemons, and the balancer between callers and daemons.
//!
//! Arrivals form a Poisson process that does not wait for answers. Latencies count from the intended
//! send time, so a slow system cannot hide its delay by slowing the load.

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

/// Longest time that a caller waits for one attempt.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(20);
/// Pause of a caller before it tries again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time after which the balancer takes an unanswered readiness probe for a failure.
const PROBE_LIMIT: Duration = Duration::from_millis(500);
/// Longest latency that is told apart from longer ones: 10 minutes.
const LONGEST_US: u64 = 600_000_000;

/// Runtime of an experiment.
pub(super) fn runtime() -> Runtime {
    Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the operating system gives threads")
}

/// A stretch of open-loop load.
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

    /// Starts the load. `call` gets the number of the request and its intended send time. The result
    /// is in the order of arrival.
    pub(super) fn start<F, Fut>(self, call: F) -> JoinHandle<Vec<Sample>>
    where
        F: Fn(usize, Instant) -> Fut + Send + 'static,
        Fut: Future<Output = Answered> + Send + 'static,
    {
        tokio::spawn(async move {
            let runtime = Handle::current();
            // Timers of the runtime have a resolution of 1 ms, a sleeping thread is more precise.
            let sent = tokio::task::spawn_blocking(move || send_all(self, &runtime, call));
            let mut samples = Vec::new();
            for (at, request) in sent.await.expect("the sender does not panic") {
                let answered = request.await.expect("a caller does not panic");
                samples.push(Sample { at, answered });
            }
            samples
        })
    }
}

fn send_all<F, Fut>(load: Load, runtime: &Handle, call: F) -> Vec<(Duration, JoinHandle<Answered>)>
where
    F: Fn(usize, Instant) -> Fut,
    Fut: Future<Output = Answered> + Send + 'static,
{
    let started = Instant::now();
    load.arrivals()
        .into_iter()
        .enumerate()
        .map(|(number, at)| {
            let intended = started + at;
            thread::sleep(intended.saturating_duration_since(Instant::now()));
            (at, runtime.spawn(call(number, intended)))
        })
        .collect()
}

/// What a caller got.
#[derive(Clone, Debug)]
pub(super) struct Answered {
    /// From the intended send time to the first token.
    pub(super) first_token: Duration,
    /// From the intended send time to the end.
    pub(super) total: Duration,
    /// Attempts of the caller.
    pub(super) attempts: u32,
    /// Why there is no complete answer.
    pub(super) failure: Option<String>,
}

/// A request of a load.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    /// Intended send time since the start of the load.
    pub(super) at: Duration,
    pub(super) answered: Answered,
}

/// A quantile in milliseconds.
pub(super) fn quantile_ms(times: impl IntoIterator<Item = Duration>, quantile: f64) -> f64 {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are valid");
    for time in times {
        histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// Times to first token of the answered requests that arrived within a window.
pub(super) fn first_tokens(
    samples: &[Sample],
    from: Duration,
    to: Duration,
) -> impl Iterator<Item = Duration> {
    samples
        .iter()
        .filter(move |sample| (from..to).contains(&sample.at))
        .filter(|sample| sample.answered.failure.is_none())
        .map(|sample| sample.answered.first_token)
}

/// Requests without a complete answer.
pub(super) fn failures(samples: &[Sample]) -> usize {
    samples
        .iter()
        .filter(|sample| sample.answered.failure.is_some())
        .count()
}

/// Adds the number of requests, and of failures by cause.
pub(super) fn note_requests(figures: &mut Figures, samples: &[Sample]) {
    let retried = samples.iter().filter(|s| s.answered.attempts > 1).count();
    figures.insert("requests".to_owned(), json!(samples.len()));
    figures.insert("requests_with_caller_retry".to_owned(), json!(retried));
    let mut causes = indexmap::IndexMap::<_, u64>::new();
    for cause in samples.iter().filter_map(|s| s.answered.failure.as_ref()) {
        *causes.entry(cause).or_default() += 1;
    }
    if !causes.is_empty() {
        figures.insert("failure_causes".to_owned(), json!(causes));
    }
}

/// Stands for the platform's load balancer: sends to ready daemons in turn and learns of their
/// readiness with a lag.
pub(super) struct Balancer {
    caller: Caller,
    daemons: Vec<SocketAddr>,
    ready: Mutex<Vec<usize>>,
    next: AtomicUsize,
}

impl Balancer {
    /// Starts probing the readiness of all daemons of a bed once per `lag`.
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

    async fn probe(&self) {
        let probes = self.daemons.iter().map(|daemon| async {
            let (headers, body) = (HeaderMap::new(), Bytes::new());
            let call = self
                .caller
                .send(*daemon, Method::GET, "/readyz", headers, body);
            let answer = tokio::time::timeout(PROBE_LIMIT, call).await;
            matches!(answer, Ok(Ok(response)) if response.status() == StatusCode::OK)
        });
        let states = futures_util::future::join_all(probes).await;
        let ready = (0..states.len()).filter(|index| states[*index]).collect();
        *self.ready.lock().expect("ready lock") = ready;
    }

    /// The next ready daemon other than the one that failed.
    fn pick(&self, failed: Option<usize>) -> usize {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let ready = self.ready.lock().expect("ready lock");
        let others: Vec<_> = ready.iter().filter(|d| Some(**d) != failed).collect();
        match others.len() {
            0 => number % self.daemons.len(),
            count => *others[number % count],
        }
    }

    /// Sends an idempotent completion and, up to `attempts` times, tries another daemon.
    pub(super) async fn complete(
        &self,
        prompt: &str,
        tokens: u64,
        intended: Instant,
        attempts: u32,
    ) -> Answered {
        let mut failed = None;
        let mut attempt = 0;
        loop {
            attempt += 1;
            let daemon = self.pick(failed);
            let sent = intended.elapsed();
            let call = self.caller.complete(daemon, 0, prompt, tokens);
            let failure = match tokio::time::timeout(ATTEMPT_LIMIT, call).await {
                Ok(Ok(answer)) => {
                    return Answered {
                        first_token: sent + answer.first_token,
                        total: sent + answer.total,
                        attempts: attempt,
                        failure: None,
                    };
                }
                Ok(Err(error)) => cause(&error),
                Err(_) => "no answer in time".to_owned(),
            };
            if attempt >= attempts {
                return Answered {
                    first_token: intended.elapsed(),
                    total: intended.elapsed(),
                    attempts: attempt,
                    failure: Some(failure),
                };
            }
            failed = Some(daemon);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// A cause without details that differ between requests.
fn cause(error: &CallerError) -> String {
    match error {
        CallerError::Connection(_) => "connection broke".to_owned(),
        CallerError::Refused(status, code, _) => format!("refused with {status} {code}"),
        CallerError::StreamFailed(data) => format!("stream broke: {}", code_of(data)),
        CallerError::WrongAnswer(detail) => format!("wrong answer: {detail}"),
    }
}

fn code_of(data: &str) -> String {
    serde_json::from_str::<serde_json::Value>(data)
        .ok()
        .and_then(|data| data["error"]["code"].as_str().map(str::to_owned))
        .unwrap_or_default()
}

/// A prompt of its own for each request, so that no prefix is shared.
pub(super) fn prompt(seed: u64, number: usize, words: usize) -> String {
    (0..words)
        .map(|word| format!("s{seed}r{number}w{word} "))
        .collect()
}
