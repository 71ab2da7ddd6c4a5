//! Open-loop load on a test bed and its latencies.
//!
//! Calls start at Poisson arrivals whether or not earlier calls have ended. Latencies count from
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

/// Significant digits with which latencies are recorded.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Runs a future to its end on a new multi-threaded runtime.
pub(super) fn block_on<T>(run: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the operating system grants threads")
        .block_on(run)
}

/// Draws the arrival times of a Poisson process within `duration`, relative to its start.
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

/// Spawns a call at each arrival and returns the results in the order of arrival. `call` gets the
/// index of the arrival and its intended start.
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
        let intended_start = start + *at;
        sleep_until(intended_start).await;
        tasks.push(tokio::spawn(call(index, intended_start)));
    }
    let mut results = Vec::with_capacity(tasks.len());
    for task in tasks {
        results.push(task.await.expect("a call does not panic"));
    }
    results
}

/// Histogram of the latencies of completed calls, with a resolution of 1 µs.
pub(super) struct Latencies(Histogram<u64>);

impl Latencies {
    /// Returns an empty histogram.
    pub(super) fn new() -> Self {
        Self(Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is valid"))
    }

    /// Records one latency.
    pub(super) fn record(&mut self, latency: Duration) {
        self.0 += latency.as_micros() as u64;
    }

    /// Returns the number of recorded latencies.
    pub(super) fn count(&self) -> u64 {
        self.0.len()
    }

    /// Returns a quantile in milliseconds.
    pub(super) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the mean in milliseconds.
    pub(super) fn mean_ms(&self) -> f64 {
        self.0.mean() / 1e3
    }

    /// Returns count, mean, median, 95th and 99th percentile as a JSON object.
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
        let mut collected = Self::new();
        latencies
            .into_iter()
            .for_each(|latency| collected.record(latency));
        collected
    }
}

/// Returns the fields of a JSON object; no fields for any other value.
pub(super) fn figures(value: Value) -> Figures {
    match value {
        Value::Object(fields) => fields,
        _ => Figures::new(),
    }
}

/// Returns the report of an experiment whose test bed failed. It misses its targets.
pub(super) fn not_run_report(
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
