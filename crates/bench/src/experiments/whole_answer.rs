//! Broken, crossed and duplicated engine answers: callers get only complete answers of their own.

use super::load::{Latencies, block_on, figures, not_run, open_loop, poisson};
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
const SHORT: Duration = Duration::from_secs(24);
const LONG: Duration = Duration::from_secs(300);
const TOKENS_MIN: u64 = 12;
const TOKENS_MAX: u64 = 40;
/// Tokens of an attempt before its fault.
const AFTER_TOKENS: u64 = 5;
/// Longest wait of the baseline's caller for the next part of an answer.
const BASELINE_SILENCE: Duration = Duration::from_secs(2);

fn engine_faults() -> EngineFaults {
    EngineFaults {
        after_tokens: AFTER_TOKENS,
        cut_probability: 0.04,
        silence_probability: 0.003,
        foreign_probability: 0.15,
        repeat_probability: 0.15,
        skip_probability: 0.04,
        no_end_probability: 0.04,
        ..EngineFaults::default()
    }
}

#[derive(Clone)]
struct Planned {
    daemon: usize,
    engine: usize,
    prompt: String,
    tokens: u64,
}

fn plan(rng: &mut StdRng, index: usize) -> Planned {
    let words = (0..rng.random_range(4..40)).map(|_| format!("{:05x}", rng.random::<u16>()));
    let words: Vec<_> = words.collect();
    Planned {
        daemon: rng.random_range(0..DAEMONS),
        engine: rng.random_range(0..ENGINES),
        prompt: format!("{index} {}", words.join(" ")),
        tokens: rng.random_range(TOKENS_MIN..=TOKENS_MAX),
    }
}

fn run(options: RunOptions) -> Report {
    block_on(measure(options)).unwrap_or_else(|error| not_run(EXPERIMENT.name, options, &error))
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
    let duration = if options.long { LONG } else { SHORT };
    let arrivals = poisson(&mut rng, CALLS_PER_S, duration);
    let planned: Vec<_> = (0..arrivals.len()).map(|i| plan(&mut rng, i)).collect();
    let half = arrivals.partition_point(|at| *at < duration / 2);
    let accepted = || -> u64 { bed.engines.iter().map(|e| e.counters().accepted).sum() };
    let before = accepted();
    let product = product(&bed, &arrivals, &planned).await;
    let attempts = accepted() - before;
    // The baseline needs no more than half of the load to show its errors.
    let baseline = baseline(&bed, &arrivals[..half], &planned).await;
    bed.stop().await;
    Ok(report(options, &product, attempts, &baseline))
}

#[derive(Default)]
struct Outcomes {
    calls: usize,
    complete: usize,
    wrong: usize,
    /// Calls that ended with an error that their caller could see, by its code.
    failed: IndexMap<String, usize>,
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

async fn product(bed: &Testbed, arrivals: &[Duration], planned: &[Planned]) -> Outcomes {
    let caller = bed.caller();
    let results = open_loop(Instant::now(), arrivals, |index, intended| {
        let (caller, planned) = (caller.clone(), planned[index].clone());
        async move {
            let Planned {
                daemon,
                prompt,
                tokens,
                ..
            } = planned;
            let answer = caller.complete(daemon, 0, &prompt, tokens).await;
            answer.map(|_| intended.elapsed())
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
                eprintln!("wrong answer: {detail}");
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

/// Calls an engine without a daemon and shows every answer whose HTTP body ends regularly.
async fn baseline(bed: &Testbed, arrivals: &[Duration], planned: &[Planned]) -> Outcomes {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let results = open_loop(Instant::now(), arrivals, |index, _| {
        let (client, planned) = (client.clone(), planned[index].clone());
        let address = bed.engines[planned.engine].addr();
        async move {
            let text = direct(&client, address, &planned).await;
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

async fn direct(
    client: &Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    planned: &Planned,
) -> Option<String> {
    let body = json!({
        "model": MODEL, "prompt": planned.prompt, "max_tokens": planned.tokens, "stream": true,
    });
    let request = Request::post(format!("http://{address}/v1/completions"))
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()?;
    let response = timeout(BASELINE_SILENCE, client.request(request)).await;
    let mut body = response.ok()?.ok()?.into_body();
    let mut events = String::new();
    while let Some(frame) = timeout(BASELINE_SILENCE, body.frame()).await.ok()? {
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
    let mut figures_of_product = figures(product.figures());
    // Each fault takes effect after the first tokens of an attempt, so every further attempt resumes
    // a stream.
    let resumed = attempts.saturating_sub(product.calls as u64);
    figures_of_product.insert("resumed_attempts".to_owned(), json!(resumed));
    Report {
        experiment: EXPERIMENT.name,
        seed: options.seed,
        target: figures(json!({"wrong_shown_as_complete": 0})),
        baseline: figures(baseline.figures()),
        product: figures_of_product,
        ratio: figures(json!({})),
        pass: product.wrong == 0 && product.complete > 0 && resumed > 0,
    }
}
