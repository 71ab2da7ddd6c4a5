//! Open connections go silent for good while new ones work.

use super::load::{Latencies, block_on, figures, not_run, open_loop, poisson};
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
    about: "time from silence of the connections to work completed on new ones",
    run,
};

const DAEMONS: usize = 3;
const ENGINES: usize = 6;
const CALLS_PER_S: f64 = 200.0;
/// Part of the calls that are completions; the others are status reads of the plain service.
const COMPLETIONS: f64 = 0.3;
const TOKENS: u64 = 12;
const WORK_MS: u64 = 10;
const SHORT: Duration = Duration::from_secs(30);
const LONG: Duration = Duration::from_secs(300);
/// Time between two moments at which all open connections to the backend servers go silent.
const SILENCE_PERIOD: Duration = Duration::from_secs(3);
/// Calls that take longer than this met a silent connection: undisturbed ones take less than 100 ms.
const MET_SILENCE: Duration = Duration::from_millis(900);
const RESUME_MAX_MS: f64 = 2_000.0;
const BASELINE_LIMIT: Duration = Duration::from_secs(10);

#[derive(Clone)]
struct Planned {
    server: usize,
    /// The prompt of a completion.
    prompt: Option<String>,
}

struct Ended {
    intended: Duration,
    ended: Duration,
    result: Result<(), String>,
}

fn run(options: RunOptions) -> Report {
    block_on(measure(options)).unwrap_or_else(|error| not_run(EXPERIMENT.name, options, &error))
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
    let duration = if options.long { LONG } else { SHORT };
    let mut rng = StdRng::seed_from_u64(options.seed);
    let arrivals = poisson(&mut rng, CALLS_PER_S, duration);
    let planned: Vec<_> = (0..arrivals.len())
        .map(|index| Planned {
            server: rng.random_range(0..DAEMONS),
            prompt: rng
                .random_bool(COMPLETIONS)
                .then(|| format!("call {index}")),
        })
        .collect();
    let start = Instant::now();
    let (silences, calls, baseline) = tokio::join!(
        silence(&bed, start, duration),
        product(&bed, start, &arrivals, &planned),
        baseline(&bed, start, &arrivals, &planned),
    );
    bed.stop().await;
    Ok(report(options, &silences, &calls, &baseline))
}

/// Silences all open connections of the backend servers from time to time. Returns the times.
async fn silence(bed: &Testbed, start: Instant, duration: Duration) -> Vec<Duration> {
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

async fn product(
    bed: &Testbed,
    start: Instant,
    arrivals: &[Duration],
    planned: &[Planned],
) -> Vec<Ended> {
    let caller = bed.caller();
    open_loop(start, arrivals, |index, intended| {
        let (caller, planned) = (caller.clone(), planned[index].clone());
        async move {
            let result = match &planned.prompt {
                Some(prompt) => {
                    let answer = caller.complete(planned.server, 0, prompt, TOKENS);
                    answer.await.map(|_| ())
                }
                None => {
                    let answer =
                        caller.call_service(planned.server, 0, Method::GET, "/status", None, "");
                    answer.await.map(|_| ())
                }
            };
            Ended {
                intended: intended - start,
                ended: start.elapsed(),
                result: result.map_err(|error| error.to_string()),
            }
        }
    })
    .await
}

/// Status reads of the plain service over kept connections, without detection of silence.
async fn baseline(
    bed: &Testbed,
    start: Instant,
    arrivals: &[Duration],
    planned: &[Planned],
) -> Vec<Ended> {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let reads = arrivals.iter().zip(planned);
    let reads: Vec<_> = reads
        .filter(|(_, planned)| planned.prompt.is_none())
        .map(|(at, planned)| (*at, planned.server))
        .collect();
    let arrivals: Vec<_> = reads.iter().map(|(at, _)| *at).collect();
    open_loop(start, &arrivals, |index, intended| {
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
            let limited = timeout(BASELINE_LIMIT, read).await;
            Ended {
                intended: intended - start,
                ended: start.elapsed(),
                result: limited.unwrap_or(Err("no answer".to_owned())),
            }
        }
    })
    .await
}

struct Summary {
    all: Latencies,
    resumed: Latencies,
    lost: usize,
    errors: IndexMap<String, usize>,
}

/// Latencies of all calls, and of those that met silence the time from the silence, or from the
/// intended start if that is later, to the end.
fn summary(silences: &[Duration], calls: &[Ended]) -> Summary {
    let mut summary = Summary {
        all: Latencies::new(),
        resumed: Latencies::new(),
        lost: 0,
        errors: IndexMap::new(),
    };
    for call in calls {
        let latency = call.ended.saturating_sub(call.intended);
        if let Err(error) = &call.result {
            summary.lost += 1;
            *summary.errors.entry(error.clone()).or_default() += 1;
            continue;
        }
        summary.all.record(latency);
        if latency >= MET_SILENCE {
            let silence = silences
                .iter()
                .find(|at| **at > call.intended && **at < call.ended);
            let from = silence.map_or(call.intended, |at| call.intended.max(*at));
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
    calls: &[Ended],
    baseline: &[Ended],
) -> Report {
    let product = summary(silences, calls);
    let baseline = summary(silences, baseline);
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
