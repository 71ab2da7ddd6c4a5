//! All open connections to the backend servers go silent for good, while new connections work.

use super::load::{Latencies, block_on, figures, not_run_report, open_loop, poisson};
use super::{Experiment, RunOptions};
use crate::report::Report;
use anvilgw_standin::{ConnectionFaults, EngineConfig, ServiceConfig};
use anvilgw_testbed::{SERVICE, Testbed, TestbedConfig, TestbedError};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};

pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "silent-connection",
    about: "time from the silence of open connections to the completion of their calls on new ones",
    run,
};

const DAEMONS: usize = 3;
const ENGINES: usize = 6;
const CALLS_PER_S: f64 = 200.0;
/// Share of the calls that are completions; the others are status reads of the service.
const COMPLETION_SHARE: f64 = 0.3;
const OUTPUT_TOKENS: u64 = 12;
const WORK_MS: u64 = 10;
const SHORT_RUN: Duration = Duration::from_secs(30);
const LONG_RUN: Duration = Duration::from_secs(300);
/// Interval in which all open connections to the backend servers are silenced.
const SILENCE_PERIOD: Duration = Duration::from_secs(3);
/// Latency from which a call counts as having met a silent connection; undisturbed calls take less
/// than 100 ms.
const MET_SILENCE_MIN: Duration = Duration::from_millis(900);
/// Limit of the 99th percentile of the time from a silence to the end of the calls that met it.
const RESUME_MAX_MS: f64 = 2_000.0;
const BASELINE_TIMEOUT: Duration = Duration::from_secs(10);

/// A call of the load.
#[derive(Clone)]
struct PlannedCall {
    /// Index of the daemon in the product, and of the service server (modulo their number) in the
    /// baseline.
    target: usize,
    /// Prompt of a completion; `None` for a status read.
    prompt: Option<String>,
}

/// A call and its result.
struct FinishedCall {
    /// Relative to the start of the load, as `ended`.
    intended_start: Duration,
    ended: Duration,
    result: Result<(), String>,
}

fn run(options: RunOptions) -> Report {
    block_on(measure(options))
        .unwrap_or_else(|error| not_run_report(EXPERIMENT.name, options, &error))
}

async fn measure(options: RunOptions) -> Result<Report, TestbedError> {
    let bed = Testbed::start(TestbedConfig {
        daemons: DAEMONS,
        engines: ENGINES,
        stores: 0,
        engine: EngineConfig {
            decode_ms: 2.0,
            prefill_tokens_per_s: 400_000.0,
            ..TestbedConfig::default().engine
        },
        service: ServiceConfig {
            name: SERVICE.to_owned(),
            work_ms: WORK_MS,
            ..ServiceConfig::default()
        },
        ..TestbedConfig::default()
    })
    .await?;
    bed.wait_for_epoch().await?;
    let duration = if options.long { LONG_RUN } else { SHORT_RUN };
    let mut rng = StdRng::seed_from_u64(options.seed);
    let arrivals = poisson(&mut rng, CALLS_PER_S, duration);
    let planned: Vec<_> = (0..arrivals.len())
        .map(|index| PlannedCall {
            target: rng.random_range(0..DAEMONS),
            prompt: rng
                .random_bool(COMPLETION_SHARE)
                .then(|| format!("call {index}")),
        })
        .collect();
    let start = Instant::now();
    let (silences, calls, baseline) = tokio::join!(
        inject_silences(&bed, start, duration),
        run_product(&bed, start, &arrivals, &planned),
        run_baseline(&bed, start, &arrivals, &planned),
    );
    bed.stop().await;
    Ok(report(options, &silences, &calls, &baseline))
}

/// Silences all open connections of the backend servers once per [`SILENCE_PERIOD`] and returns the
/// times, relative to the start of the load.
async fn inject_silences(bed: &Testbed, start: Instant, duration: Duration) -> Vec<Duration> {
    let faults = ConnectionFaults {
        silence_open: true,
        ..ConnectionFaults::default()
    };
    let mut silences = Vec::new();
    let mut at = SILENCE_PERIOD;
    while at < duration {
        sleep_until(start + at).await;
        silences.push(start.elapsed());
        for engine in &bed.engines {
            engine.set_connection_faults(&faults);
        }
        for service in &bed.services {
            service.set_connection_faults(&faults);
        }
        at += SILENCE_PERIOD;
    }
    silences
}

/// Sends all calls through the daemons.
async fn run_product(
    bed: &Testbed,
    start: Instant,
    arrivals: &[Duration],
    planned: &[PlannedCall],
) -> Vec<FinishedCall> {
    let caller = bed.caller();
    open_loop(start, arrivals, |index, intended_start| {
        let (caller, planned) = (caller.clone(), planned[index].clone());
        async move {
            let result = match &planned.prompt {
                Some(prompt) => {
                    let answer = caller.complete(planned.target, 0, prompt, OUTPUT_TOKENS);
                    answer.await.map(|_| ())
                }
                None => {
                    let answer =
                        caller.call_service(planned.target, 0, Method::GET, "/status", None, "");
                    answer.await.map(|_| ())
                }
            };
            FinishedCall {
                intended_start: intended_start - start,
                ended: start.elapsed(),
                result: result.map_err(|error| error.to_string()),
            }
        }
    })
    .await
}

/// Sends the status reads to the service without a daemon, over pooled connections and without
/// detection of silence.
async fn run_baseline(
    bed: &Testbed,
    start: Instant,
    arrivals: &[Duration],
    planned: &[PlannedCall],
) -> Vec<FinishedCall> {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let reads = arrivals.iter().zip(planned);
    let reads: Vec<_> = reads
        .filter(|(_, planned)| planned.prompt.is_none())
        .map(|(at, planned)| (*at, planned.target))
        .collect();
    let arrivals: Vec<_> = reads.iter().map(|(at, _)| *at).collect();
    open_loop(start, &arrivals, |index, intended_start| {
        let address = bed.services[reads[index].1 % bed.services.len()].addr();
        let client = client.clone();
        async move {
            let read = async {
                let request = Request::get(format!("http://{address}/status"))
                    .body(Full::default())
                    .map_err(|error| error.to_string())?;
                let answer = client.request(request).await;
                let body = answer.map_err(|error| error.to_string())?.into_body();
                let body = body.collect().await.map_err(|error| error.to_string())?;
                drop(body);
                Ok(())
            };
            let limited = timeout(BASELINE_TIMEOUT, read).await;
            FinishedCall {
                intended_start: intended_start - start,
                ended: start.elapsed(),
                result: limited.unwrap_or(Err("no answer".to_owned())),
            }
        }
    })
    .await
}

/// Latencies and failures of a run.
struct Summary {
    all: Latencies,
    /// Times that calls took to complete after they met a silence.
    resumed: Latencies,
    lost: usize,
    errors: IndexMap<String, usize>,
}

/// Summarizes the calls. For a call that met a silence, it also records the time from the silence,
/// or from the intended start if that is later, to the end of the call.
fn summarize(silences: &[Duration], calls: &[FinishedCall]) -> Summary {
    let mut summary = Summary {
        all: Latencies::new(),
        resumed: Latencies::new(),
        lost: 0,
        errors: IndexMap::new(),
    };
    for call in calls {
        let latency = call.ended.saturating_sub(call.intended_start);
        if let Err(error) = &call.result {
            summary.lost += 1;
            *summary.errors.entry(error.clone()).or_default() += 1;
            continue;
        }
        summary.all.record(latency);
        if latency >= MET_SILENCE_MIN {
            let silence = silences
                .iter()
                .find(|at| **at > call.intended_start && **at < call.ended);
            let from = silence.map_or(call.intended_start, |at| call.intended_start.max(*at));
            summary.resumed.record(call.ended.saturating_sub(from));
        }
    }
    summary
}

impl Summary {
    fn figures(&self) -> Value {
        json!({
            "latency": self.all.figures(),
            "met_silence": self.resumed.figures(),
            "lost": self.lost,
            "errors": self.errors,
        })
    }
}

fn report(
    options: RunOptions,
    silences: &[Duration],
    calls: &[FinishedCall],
    baseline: &[FinishedCall],
) -> Report {
    let product = summarize(silences, calls);
    let baseline = summarize(silences, baseline);
    let resumed_ms = product.resumed.quantile_ms(0.99);
    let mut figures_of_product = figures(product.figures());
    figures_of_product.insert("silences".to_owned(), json!(silences.len()));
    Report {
        experiment: EXPERIMENT.name,
        seed: options.seed,
        target: figures(json!({"silence_to_complete_p99_ms_max": RESUME_MAX_MS, "lost": 0})),
        baseline: figures(baseline.figures()),
        ratio: figures(json!({})),
        pass: product.lost == 0 && product.resumed.count() > 0 && resumed_ms <= RESUME_MAX_MS,
        product: figures_of_product,
    }
}
