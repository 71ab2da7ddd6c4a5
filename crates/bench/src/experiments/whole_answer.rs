//! Engines cut, swap and repeat parts of their answers: callers get no wrong or partial answer that
//! looks complete.

use super::load::{Latencies, block_on, figures, not_run_report, open_loop, poisson};
use super::{Experiment, RunOptions};
use crate::report::Report;
use anvilgw_standin::{EngineConfig, EngineFaults, answer_text};
use anvilgw_testbed::{CallerError, MODEL, Testbed, TestbedConfig, TestbedError};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout};

pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "whole-answer",
    about: "wrong or partial answers shown as complete while engines answer wrongly",
    run,
};

const DAEMONS: usize = 3;
const ENGINES: usize = 6;
const CALLS_PER_S: f64 = 250.0;
const SHORT_RUN: Duration = Duration::from_secs(24);
const LONG_RUN: Duration = Duration::from_secs(300);
const OUTPUT_TOKENS_MIN: u64 = 12;
const OUTPUT_TOKENS_MAX: u64 = 40;
/// Tokens that an engine sends in an attempt before its fault takes effect.
const FAULT_AFTER_TOKENS: u64 = 5;
/// Longest wait of the baseline's caller for the response head or the next frame of the body.
const BASELINE_READ_TIMEOUT: Duration = Duration::from_secs(2);

fn engine_faults() -> EngineFaults {
    EngineFaults {
        after_tokens: FAULT_AFTER_TOKENS,
        cut_probability: 0.04,
        silence_probability: 0.003,
        foreign_probability: 0.15,
        repeat_probability: 0.15,
        skip_probability: 0.04,
        no_end_probability: 0.04,
        ..EngineFaults::default()
    }
}

/// A completion of the load.
#[derive(Clone)]
struct PlannedCall {
    /// Index of the daemon that the product's caller uses.
    daemon: usize,
    /// Index of the engine that the baseline's caller uses.
    engine: usize,
    prompt: String,
    tokens: u64,
}

fn plan_call(rng: &mut StdRng, index: usize) -> PlannedCall {
    let words = (0..rng.random_range(4..40)).map(|_| format!("{:05x}", rng.random::<u16>()));
    let words: Vec<_> = words.collect();
    PlannedCall {
        daemon: rng.random_range(0..DAEMONS),
        engine: rng.random_range(0..ENGINES),
        prompt: format!("{index} {}", words.join(" ")),
        tokens: rng.random_range(OUTPUT_TOKENS_MIN..=OUTPUT_TOKENS_MAX),
    }
}

fn run(options: RunOptions) -> Report {
    block_on(measure(options))
        .unwrap_or_else(|error| not_run_report(EXPERIMENT.name, options, &error))
}

async fn measure(options: RunOptions) -> Result<Report, TestbedError> {
    let bed = Testbed::start(TestbedConfig {
        daemons: DAEMONS,
        engines: ENGINES,
        service_servers: 0,
        stores: 0,
        engine: EngineConfig {
            decode_ms: 4.0,
            prefill_tokens_per_s: 400_000.0,
            max_running: 64,
            seed: options.seed,
            ..TestbedConfig::default().engine
        },
        engine_concurrency: 64,
        ..TestbedConfig::default()
    })
    .await?;
    bed.wait_for_epoch().await?;
    for engine in &bed.engines {
        engine.set_faults(engine_faults());
    }
    let mut rng = StdRng::seed_from_u64(options.seed);
    let duration = if options.long { LONG_RUN } else { SHORT_RUN };
    let arrivals = poisson(&mut rng, CALLS_PER_S, duration);
    let planned: Vec<_> = (0..arrivals.len())
        .map(|i| plan_call(&mut rng, i))
        .collect();
    let half = arrivals.partition_point(|at| *at < duration / 2);
    let accepted = || -> u64 { bed.engines.iter().map(|e| e.counters().accepted).sum() };
    let before = accepted();
    let product = run_product(&bed, &arrivals, &planned).await;
    let attempts = accepted() - before;
    // Half of the load is enough for the baseline to show its errors.
    let baseline = run_baseline(&bed, &arrivals[..half], &planned).await;
    bed.stop().await;
    Ok(report(options, &product, attempts, &baseline))
}

/// Numbers of calls by outcome.
#[derive(Default)]
struct Outcomes {
    calls: usize,
    complete: usize,
    /// Calls whose answer looks complete but is wrong or partial.
    wrong: usize,
    /// Calls that ended with an error that the caller sees, by error code.
    failed: IndexMap<String, usize>,
    /// Latencies of the complete calls; `None` in the baseline.
    latencies: Option<Latencies>,
}

impl Outcomes {
    fn fail(&mut self, code: String) {
        *self.failed.entry(code).or_default() += 1;
    }

    fn figures(&self) -> Value {
        json!({
            "calls": self.calls,
            "complete_and_right": self.complete,
            "wrong_shown_as_complete": self.wrong,
            "failed_visibly": self.failed,
            "latency": self.latencies.as_ref().map(Latencies::figures),
        })
    }
}

/// Sends the calls through the daemons.
async fn run_product(bed: &Testbed, arrivals: &[Duration], planned: &[PlannedCall]) -> Outcomes {
    let caller = bed.caller();
    let results = open_loop(Instant::now(), arrivals, |index, intended_start| {
        let (caller, planned) = (caller.clone(), planned[index].clone());
        async move {
            let PlannedCall {
                daemon,
                prompt,
                tokens,
                ..
            } = planned;
            let answer = caller.complete(daemon, 0, &prompt, tokens).await;
            answer.map(|_| intended_start.elapsed())
        }
    });
    let mut outcomes = Outcomes::default();
    let mut latencies = Latencies::new();
    for result in results.await {
        outcomes.calls += 1;
        match result {
            Ok(latency) => {
                outcomes.complete += 1;
                latencies.record(latency);
            }
            Err(CallerError::WrongAnswer(detail)) => {
                eprintln!("answer shown as complete is wrong: {detail}");
                outcomes.wrong += 1;
            }
            Err(CallerError::Refused(_, code, _)) => outcomes.fail(code),
            Err(CallerError::StreamFailed(data)) => {
                let data: Value = serde_json::from_str(&data).unwrap_or_default();
                let code = data["error"]["code"].as_str().unwrap_or("broken");
                outcomes.fail(format!("stream: {code}"));
            }
            Err(CallerError::Connection(_)) => outcomes.fail("connection".to_owned()),
        }
    }
    outcomes.latencies = Some(latencies);
    outcomes
}

/// Sends the calls to the engines without a daemon. Every answer whose HTTP body ends regularly is
/// shown to the caller as complete.
async fn run_baseline(bed: &Testbed, arrivals: &[Duration], planned: &[PlannedCall]) -> Outcomes {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let results = open_loop(Instant::now(), arrivals, |index, _| {
        let (client, planned) = (client.clone(), planned[index].clone());
        let address = bed.engines[planned.engine].addr();
        async move {
            let text = complete_directly(&client, address, &planned).await;
            text.map(|text| text == answer_text(&planned.prompt, planned.tokens))
        }
    });
    let mut outcomes = Outcomes::default();
    for result in results.await {
        outcomes.calls += 1;
        match result {
            Some(true) => outcomes.complete += 1,
            Some(false) => outcomes.wrong += 1,
            None => outcomes.fail("connection".to_owned()),
        }
    }
    outcomes
}

/// Reads a completion from an engine. Returns the text, or `None` if the HTTP body broke off.
async fn complete_directly(
    client: &Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    planned: &PlannedCall,
) -> Option<String> {
    let body = json!({
        "model": MODEL, "prompt": planned.prompt, "max_tokens": planned.tokens, "stream": true,
    });
    let request = Request::post(format!("http://{address}/v1/completions"))
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()?;
    let response = timeout(BASELINE_READ_TIMEOUT, client.request(request)).await;
    let mut body = response.ok()?.ok()?.into_body();
    let mut events = String::new();
    while let Some(frame) = timeout(BASELINE_READ_TIMEOUT, body.frame()).await.ok()? {
        if let Ok(data) = frame.ok()?.into_data() {
            events.push_str(std::str::from_utf8(&data).ok()?);
        }
    }
    let texts = events
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .filter_map(|event| event["text"].as_str().map(str::to_owned));
    Some(texts.collect())
}

fn report(options: RunOptions, product: &Outcomes, attempts: u64, baseline: &Outcomes) -> Report {
    let mut product_figures = figures(product.figures());
    // A fault takes effect only after the first tokens of an attempt, so every further attempt
    // resumes a stream.
    let resumed_attempts = attempts.saturating_sub(product.calls as u64);
    product_figures.insert("resumed_attempts".to_owned(), json!(resumed_attempts));
    Report {
        experiment: EXPERIMENT.name,
        seed: options.seed,
        target: figures(json!({"wrong_shown_as_complete": 0})),
        baseline: figures(baseline.figures()),
        product: product_figures,
        ratio: figures(json!({})),
        pass: product.wrong == 0 && product.complete > 0 && resumed_attempts > 0,
    }
}
