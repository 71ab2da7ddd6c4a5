//! `anvilgw demo`: runs daemons with stand-ins for the external systems and sends a mixed load.

use crate::error::{CliError, EXIT_CODES};
use crate::options::Options;
use crate::render::{print, print_json, print_table};
use anvilgw_testbed::{Caller, CallerError, Testbed, TestbedConfig};
use http::Method;
use indexmap::IndexMap;
use lexopt::Parser;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use serde_json::{Value, json};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

const HELP: &str = "\
Runs three daemons, model engines, a plain service, stores and the log service in this process, sends
a mixed load through them, takes a failure domain out of service and returns it

Usage: anvilgw demo [--seconds N] [--json]

Options:
  --seconds N   duration of the load (default 6)
  --json        print only the result as JSON
  -h, --help    print this help

Exit code 0 only if no answer was lost, wrong or doubled.
";

const DEFAULT_SECONDS: u64 = 6;
/// Number of callers that request completions.
const PROMPT_CALLERS: usize = 12;
/// Number of callers that call the plain service.
const SERVICE_CALLERS: usize = 4;
/// Number of growing prompts that each caller of completions sends again and again.
const HISTORIES_PER_CALLER: usize = 4;
/// Number of words of a new history.
const INITIAL_WORDS: usize = 400;
/// Number of words that are appended to a history before each request.
const ADDED_WORDS: usize = 40;
const ANSWER_TOKENS: u64 = 24;
/// Mean pause of a caller between two requests.
const MEAN_PAUSE_MS: f64 = 60.0;
/// Maximum number of times that a request is sent. The callers' client libraries retry as well.
const CALLER_ATTEMPTS: usize = 5;
const RETRY_DELAY: Duration = Duration::from_millis(300);
const SEED: u64 = 1;

/// Counts of the callers' requests and results.
#[derive(Default)]
struct Counts {
    requests: AtomicU64,
    complete: AtomicU64,
    wrong: AtomicU64,
    caller_retries: AtomicU64,
    first_token_us: AtomicU64,
    prompts: AtomicU64,
    service_calls: AtomicU64,
}

#[derive(Serialize)]
struct Summary {
    requests: u64,
    complete: u64,
    wrong: u64,
    doubled: u64,
    prompts: u64,
    service_calls: u64,
    caller_retries: u64,
    mean_first_token_ms: f64,
    reused_share: f64,
    config_versions: Vec<u64>,
}

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    let options = Options::parse(parser, &["seconds", "json"])?;
    if options.help {
        print(&format!("{HELP}\n{EXIT_CODES}"));
        return Ok(ExitCode::SUCCESS);
    }
    let seconds = options.seconds.unwrap_or(DEFAULT_SECONDS);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| CliError::Failed(error.to_string()))?;
    let summary = runtime.block_on(run_load(Duration::from_secs(seconds), options.json))?;
    // Remaining tasks of daemons and stand-ins end with the process.
    runtime.shutdown_background();
    if options.json {
        print_json(&summary);
    } else {
        print_summary(&summary);
    }
    let all_correct =
        summary.complete == summary.requests && summary.wrong == 0 && summary.doubled == 0;
    Ok(if all_correct {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn run_load(duration: Duration, quiet: bool) -> Result<Summary, CliError> {
    let print_progress = |text: &str| {
        if !quiet {
            print(&format!("{text}\n"));
        }
    };
    print_progress(
        "starting 3 daemons, 6 engines, 3 service servers, 2 stores and the log service",
    );
    let testbed = Testbed::start(TestbedConfig::default())
        .await
        .map_err(|error| CliError::Failed(error.to_string()))?;
    print_progress("all daemons are ready; waiting for the first epoch");
    testbed
        .wait_for_epoch()
        .await
        .map_err(|error| CliError::Failed(error.to_string()))?;
    let counts = Arc::new(Counts::default());
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for index in 0..PROMPT_CALLERS {
        let (caller, counts, stop) = (testbed.caller(), Arc::clone(&counts), Arc::clone(&stop));
        callers.push(tokio::spawn(async move {
            run_prompt_caller(index, &caller, &counts, &stop).await;
        }));
    }
    for index in 0..SERVICE_CALLERS {
        let (caller, counts, stop) = (testbed.caller(), Arc::clone(&counts), Arc::clone(&stop));
        callers.push(tokio::spawn(async move {
            run_service_caller(index, &caller, &counts, &stop).await;
        }));
    }
    let operator = testbed.caller();
    tokio::time::sleep(duration / 3).await;
    switch_domain(
        &operator,
        "domain_out",
        &testbed.domain_name(0),
        &print_progress,
    )
    .await?;
    tokio::time::sleep(duration / 3).await;
    switch_domain(
        &operator,
        "domain_in",
        &testbed.domain_name(0),
        &print_progress,
    )
    .await?;
    tokio::time::sleep(duration / 3).await;
    stop.store(true, Ordering::Release);
    for caller in callers {
        let _ = caller.await;
    }
    print_progress("load ended");
    let summary = summarize(&testbed, &counts);
    testbed.stop().await;
    Ok(summary)
}

async fn switch_domain(
    operator: &Caller,
    change: &str,
    domain: &str,
    print_progress: &impl Fn(&str),
) -> Result<(), CliError> {
    let failed = |error: CallerError| CliError::Failed(error.to_string());
    let config = operator
        .call_admin(0, Method::GET, "/admin/config", &Value::Null)
        .await
        .map_err(failed)?;
    let version = config["state"]["version"].as_u64().unwrap_or_default();
    let answer = operator
        .publish_change(0, version, &json!({ change: domain }))
        .await
        .map_err(failed)?;
    print_progress(&format!(
        "{change} {domain}: {} as version {}",
        answer["verdict"].as_str().unwrap_or("no verdict"),
        answer["version"]
    ));
    Ok(())
}

/// Requests completions of prompts that grow with each request, through random daemons, until
/// `stop` is set.
async fn run_prompt_caller(index: usize, caller: &Caller, counts: &Counts, stop: &AtomicBool) {
    let mut rng = SmallRng::seed_from_u64(SEED + index as u64);
    let mut histories: Vec<String> = (0..HISTORIES_PER_CALLER)
        .map(|_| random_words(&mut rng, INITIAL_WORDS))
        .collect();
    let workspace = index % 4;
    while !stop.load(Ordering::Acquire) {
        pause(&mut rng).await;
        let chosen = rng.random_range(0..histories.len());
        let added = random_words(&mut rng, ADDED_WORDS);
        histories[chosen].push_str(&added);
        counts.requests.fetch_add(1, Ordering::Relaxed);
        for attempt in 0..CALLER_ATTEMPTS {
            let daemon = rng.random_range(0..3);
            let answer = caller
                .complete(daemon, workspace, &histories[chosen], ANSWER_TOKENS)
                .await;
            match answer {
                Ok(answer) => {
                    let first_us = answer.first_token.as_micros() as u64;
                    counts.first_token_us.fetch_add(first_us, Ordering::Relaxed);
                    counts.prompts.fetch_add(1, Ordering::Relaxed);
                    counts.complete.fetch_add(1, Ordering::Relaxed);
                    break;
                }
                Err(CallerError::WrongAnswer(detail)) => {
                    eprintln!("anvilgw demo: wrong answer: {detail}");
                    counts.wrong.fetch_add(1, Ordering::Relaxed);
                    break;
                }
                Err(error) => wait_before_retry(counts, &error, attempt).await,
            }
        }
    }
}

/// Makes non-idempotent calls through random daemons until `stop` is set. Every third call is sent
/// a second time with the same idempotency key while the first one runs.
async fn run_service_caller(index: usize, caller: &Caller, counts: &Counts, stop: &AtomicBool) {
    let mut rng = SmallRng::seed_from_u64(SEED + 1_000 + index as u64);
    let mut number = 0_u64;
    while !stop.load(Ordering::Acquire) {
        pause(&mut rng).await;
        number += 1;
        let key = uuid::Uuid::now_v7().to_string();
        let body = format!("{{\"court\": {number}, \"light\": \"on\"}}");
        counts.requests.fetch_add(1, Ordering::Relaxed);
        counts.service_calls.fetch_add(1, Ordering::Relaxed);
        if number.is_multiple_of(3) {
            let (caller, key, body) = (caller.clone(), key.clone(), body.clone());
            let daemon = rng.random_range(0..3);
            tokio::spawn(async move {
                let call = caller.call_service(daemon, 1, Method::POST, "/on", Some(&key), &body);
                // The result of the duplicate does not matter, only that the call is not executed
                // twice.
                let _ = call.await;
            });
        }
        for attempt in 0..CALLER_ATTEMPTS {
            let daemon = rng.random_range(0..3);
            let call = caller.call_service(daemon, 1, Method::POST, "/on", Some(&key), &body);
            match call.await {
                Ok(_) => {
                    counts.complete.fetch_add(1, Ordering::Relaxed);
                    break;
                }
                Err(error) => wait_before_retry(counts, &error, attempt).await,
            }
        }
    }
}

/// Waits before the next attempt, or reports the request as lost after the last one.
async fn wait_before_retry(counts: &Counts, error: &CallerError, attempt: usize) {
    if attempt + 1 == CALLER_ATTEMPTS {
        eprintln!("anvilgw demo: request lost: {error}");
        return;
    }
    counts.caller_retries.fetch_add(1, Ordering::Relaxed);
    tokio::time::sleep(RETRY_DELAY).await;
}

/// Sleeps for a random time until the caller's next request.
async fn pause(rng: &mut SmallRng) {
    // Exponentially distributed pauses make requests arrive independently of each other.
    let uniform: f64 = rng.random();
    let pause_ms = -MEAN_PAUSE_MS * (1.0 - uniform).ln();
    tokio::time::sleep(Duration::from_secs_f64(pause_ms / 1e3)).await;
}

fn random_words(rng: &mut SmallRng, count: usize) -> String {
    (0..count)
        .map(|_| format!("w{:04} ", rng.random_range(0..10_000)))
        .collect()
}

fn summarize(testbed: &Testbed, counts: &Counts) -> Summary {
    let mut executions: IndexMap<String, u64> = IndexMap::new();
    for service in &testbed.services {
        for (key, count) in service.all_executions() {
            *executions.entry(key).or_default() += count;
        }
    }
    let doubled = executions.values().filter(|count| **count > 1).count() as u64;
    let load = |counter: &AtomicU64| counter.load(Ordering::Acquire);
    let prompts = load(&counts.prompts);
    let (mut reused, mut computed) = (0, 0);
    for engine in &testbed.engines {
        let counters = engine.counters();
        reused += counters.reused_tokens + counters.imported_tokens;
        computed += counters.recomputed_tokens;
    }
    Summary {
        requests: load(&counts.requests),
        complete: load(&counts.complete),
        wrong: load(&counts.wrong),
        doubled,
        prompts,
        service_calls: load(&counts.service_calls),
        caller_retries: load(&counts.caller_retries),
        mean_first_token_ms: load(&counts.first_token_us) as f64 / prompts.max(1) as f64 / 1e3,
        reused_share: reused as f64 / (reused + computed).max(1) as f64,
        config_versions: (0..testbed.config().daemons)
            .filter_map(|index| testbed.daemon(index))
            .map(anvilgw_entry::Daemon::config_version)
            .collect(),
    }
}

fn print_summary(summary: &Summary) {
    let rows = [
        ("prompts answered", summary.prompts.to_string()),
        ("service calls", summary.service_calls.to_string()),
        ("repeated by callers", summary.caller_retries.to_string()),
        (
            "mean time to first token",
            format!("{:.1} ms", summary.mean_first_token_ms),
        ),
        (
            "prompt tokens reused",
            format!("{:.0}%", summary.reused_share * 100.0),
        ),
        (
            "configuration versions",
            format!("{:?}", summary.config_versions),
        ),
    ];
    let rows: Vec<_> = rows
        .into_iter()
        .map(|(name, value)| vec![name.to_owned(), value])
        .collect();
    print_table(&["measure", "value"], &rows);
    print(&format!(
        "demo: {} requests, {} complete, {} wrong, {} doubled\n",
        summary.requests, summary.complete, summary.wrong, summary.doubled
    ));
}
