//! Open-loop load on a test bed and its latencies.
//!
//! Calls start at Poisson arrivals, whether or not earlier ones have ended, and latencies count from
//! the intended start, so a stalled server cannot hide its stall by delaying the load.

use super::RunOptions;
use crate::report::{Figures, Report};
use anvilgw_testbed::TestbedError;
use hdrhistogram::Histogram;
use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use std::future::Future;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Digits that latencies are recorded with.
const DIGITS: u8 = 3;

/// Runs an experiment on a runtime of its own.
pub(super) fn block_on<T>(run: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the operating system grants threads")
        .block_on(run)
}

/// Poisson arrivals during `duration`.
pub(super) fn poisson(rng: &mut StdRng, rate_per_s: f64, duration: Duration) -> Vec<Duration> {
    let mut arrivals = Vec::new();
    let mut now_s = 0.0;
    loop {
        now_s += -rng.random::<f64>().max(1e-12).ln() / rate_per_s;
        if now_s >= duration.as_secs_f64() {
            return arrivals;
        }
        arrivals.push(Duration::from_secs_f64(now_s));
    }
}

/// Starts a task at each arrival and returns the results in the order of the arrivals. `call` gets
/// the number of the arrival and its intended time.
pub(super) async fn open_loop<T, F>(
    start: Instant,
    arrivals: &[Duration],
    call: impl Fn(usize, Instant) -> F,
) -> Vec<T>
where
    T: Send + 'static,
    F: Future<Output = T> + Send + 'static,
{
    let mut tasks = Vec::with_capacity(arrivals.len());
    for (index, at) in arrivals.iter().enumerate() {
        let intended = start + *at;
        sleep_until(intended).await;
        tasks.push(tokio::spawn(call(index, intended)));
    }
    let mut results = Vec::with_capacity(tasks.len());
    for task in tasks {
        results.push(task.await.expect("a call does not panic"));
    }
    results
}

/// Latencies of completed calls.
pub(super) struct Latencies(Histogram<u64>);

impl Latencies {
    /// No latencies.
    pub(super) fn new() -> Self {
        Self(Histogram::new(DIGITS).expect("the number of digits is valid"))
    }

    /// Records one latency.
    pub(super) fn record(&mut self, latency: Duration) {
        self.0 += latency.as_micros() as u64;
    }

    /// Number of latencies.
    pub(super) fn count(&self) -> u64 {
        self.0.len()
    }

    /// A quantile in milliseconds.
    pub(super) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1e3
    }

    /// The mean in milliseconds.
    pub(super) fn mean_ms(&self) -> f64 {
        self.0.mean() / 1e3
    }

    /// Mean, median, 95th and 99th percentile.
    pub(super) fn figures(&self) -> Value {
        json!({
            "count": self.count(),
            "mean_ms": self.mean_ms(),
            "p50_ms": self.quantile_ms(0.50),
            "p95_ms": self.quantile_ms(0.95),
            "p99_ms": self.quantile_ms(0.99),
        })
    }
}

impl FromIterator<Duration> for Latencies {
    fn from_iter<I: IntoIterator<Item = Duration>>(latencies: I) -> Self {
        let mut all = Self::new();
        latencies
            .into_iter()
            .for_each(|latency| all.record(latency));
        all
    }
}

/// The fields of a JSON object.
pub(super) fn figures(value: Value) -> Figures {
    match value {
        Value::Object(fields) => fields,
        _ => Figures::new(),
    }
}

/// The report of an experiment whose bed did not start.
pub(super) fn not_run(
    experiment: &'static str,
    options: RunOptions,
    error: &TestbedError,
) -> Report {
    Report {
        experiment,
        seed: options.seed,
        target: Figures::new(),
        baseline: Figures::new(),
        product: figures(json!({"not_run": error.to_string()})),
        ratio: Figures::new(),
        pass: false,
    }
}
