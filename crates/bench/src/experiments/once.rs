//! Non-idempotent calls under faults: each key is executed at most once, and what callers are told
//! about the execution is true.
//!
//! Each daemon has its own runtime and clock. Shutting down the runtime ends the daemon as the
//! death of its process would, and a paused clock blocks every thread of the daemon that reads it.

mod faults;
mod history;

use super::load::{Latencies, block_on, figures, not_run_report, open_loop, poisson};
use super::{Experiment, RunOptions};
use crate::report::Report;
use anvilgw_core::Executed;
use anvilgw_standin::{
    LogConfig, LogFaults, RunningStandin, ServiceConfig, ServiceFaults, ServiceStandin,
};
use anvilgw_testbed::{Caller, CallerError, SERVICE, TestbedConfig, TestbedError};
use bytes::Bytes;
use faults::{FaultEvent, FaultyBed};
use history::{Attempt, CallRecord, CheckResult, Outcome};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};
use uuid::Uuid;

pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "once",
    about: "executions per key and truth of refusals while daemons, log and connections fail",
    run,
};

const DAEMONS: usize = 4;
const SERVICE_SERVERS: usize = 3;
/// Poisson arrivals of new keys per second.
const KEYS_PER_S: f64 = 500.0;
const SHORT_RUN: Duration = Duration::from_secs(32);
const LONG_RUN: Duration = Duration::from_secs(600);
/// Fewest calls that make a valid run.
const CALLS_MIN: usize = 20_000;
/// Highest share of calls whose caller does not learn the outcome.
const UNKNOWN_SHARE_MAX: f64 = 0.005;
/// Share of the keys that are also sent to a second daemon while the first call is probably
/// running.
const CONCURRENT_SHARE: f64 = 0.2;
/// Share of the keys that are also sent to a second daemon later.
const DELAYED_SHARE: f64 = 0.2;
/// Longest time between the two calls of a key of [`CONCURRENT_SHARE`].
const CONCURRENT_GAP_MAX_MS: f64 = 30.0;
/// Longest time between the two calls of a key of [`DELAYED_SHARE`].
const DELAYED_GAP_MAX_MS: f64 = 5_000.0;
/// Duration of an execution.
const WORK_MS: u64 = 5;
const DEADLINE_MS: u64 = 3_000;
/// Time for which a caller retries a call that has no final answer: the deadline, the grace period
/// of claims without a holder (5 s) and a margin for the log service.
const CALL_TIMEOUT: Duration = Duration::from_secs(14);
/// Longest wait for the answer to one attempt: the deadline and a pause of the daemon.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(7);
const RETRY_PAUSE: Duration = Duration::from_millis(250);
const BASELINE_ATTEMPTS: usize = 5;
/// Loopback address with a port that the operating system chooses.
const EPHEMERAL_ADDR: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// One call of the load. `key` is an index into [`Workload::keys`].
#[derive(Clone, Copy, Debug)]
struct PlannedCall {
    at: Duration,
    key: usize,
    daemon: usize,
}

/// Keys and calls of a run.
struct Workload {
    keys: Vec<Uuid>,
    /// Sorted by time.
    calls: Vec<PlannedCall>,
    duration: Duration,
}

/// Draws the calls of a run: one for each key, and a second one through another daemon for a share
/// of the keys.
fn plan_load(options: RunOptions) -> Workload {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let duration = if options.long { LONG_RUN } else { SHORT_RUN };
    let arrivals = poisson(&mut rng, KEYS_PER_S, duration);
    let mut calls = Vec::new();
    for (key, at) in arrivals.iter().copied().enumerate() {
        let daemon = rng.random_range(0..DAEMONS);
        calls.push(PlannedCall { at, key, daemon });
        let draw = rng.random::<f64>();
        let gap_ms = match draw {
            draw if draw < CONCURRENT_SHARE => rng.random::<f64>() * CONCURRENT_GAP_MAX_MS,
            draw if draw < CONCURRENT_SHARE + DELAYED_SHARE => {
                rng.random::<f64>() * DELAYED_GAP_MAX_MS
            }
            _ => continue,
        };
        calls.push(PlannedCall {
            at: at + Duration::from_secs_f64(gap_ms / 1e3),
            key,
            daemon: (daemon + rng.random_range(1..DAEMONS)) % DAEMONS,
        });
    }
    calls.sort_by_key(|call| call.at);
    Workload {
        keys: arrivals.iter().map(|_| Uuid::now_v7()).collect(),
        calls,
        duration,
    }
}

fn service_config(seed: u64) -> ServiceConfig {
    ServiceConfig {
        name: SERVICE.to_owned(),
        work_ms: WORK_MS,
        seed,
        faults: ServiceFaults {
            cut_before_probability: 0.0003,
            cut_after_probability: 0.0003,
            silence_after_probability: 0.0003,
            late_probability: 0.002,
            late_ms: 500,
            ..ServiceFaults::default()
        },
        ..ServiceConfig::default()
    }
}

fn bed_config(seed: u64) -> TestbedConfig {
    let log = LogConfig {
        appends_per_s: 400,
        seed,
        faults: LogFaults {
            lose_answer_probability: 0.005,
            lose_request_probability: 0.005,
            slow_ms: 2,
            ..LogFaults::default()
        },
        ..LogConfig::default()
    };
    TestbedConfig {
        daemons: DAEMONS,
        engines: 0,
        stores: 0,
        service_servers: SERVICE_SERVERS,
        service: service_config(seed),
        log,
        deadline_ms: DEADLINE_MS,
        ..TestbedConfig::default()
    }
}

fn run(options: RunOptions) -> Report {
    block_on(measure(options))
        .unwrap_or_else(|error| not_run_report(EXPERIMENT.name, options, &error))
}

async fn measure(options: RunOptions) -> Result<Report, TestbedError> {
    let load = Arc::new(plan_load(options));
    let mut bed = FaultyBed::start(bed_config(options.seed)).await?;
    let caller = bed.bed.caller();
    let direct = start_baseline(options.seed).await?;
    let start = Instant::now();
    let (events, calls, baseline) = tokio::join!(
        bed.inject(start, load.duration, options.seed),
        run_product(start, &load, caller),
        run_baseline(start, &load, &direct),
    );
    let latencies: Latencies = calls.iter().filter_map(CallRecord::latency).collect();
    let executions = executions(&load, &bed.bed.services);
    let injected_faults = injected_faults(&load, &bed.bed.services);
    let result = history::check(
        load.keys.len(),
        &calls,
        &executions,
        &injected_faults,
        &events?,
    );
    let baseline = baseline_figures(&load, &executions_of(&load, &direct), baseline);
    bed.stop().await;
    let mut report = report(options, load.calls.len(), &result, baseline);
    report
        .product
        .insert("answered_latency".to_owned(), latencies.figures());
    Ok(report)
}

fn report(options: RunOptions, calls: usize, result: &CheckResult, baseline: Value) -> Report {
    let unknown_share = result.unknown as f64 / calls as f64;
    let pass = calls >= CALLS_MIN
        && result.executed_more_than_once == 0
        && result.untrue_no == 0
        && result.untrue_yes == 0
        && result.wrong_answers == 0
        && result.unknown_unexplained == 0
        && unknown_share <= UNKNOWN_SHARE_MAX;
    if !pass {
        let long = if options.long { " --long" } else { "" };
        eprintln!(
            "repeat with: cargo run --release --bin anvilgw-bench -- run once --seed {}{long} --json",
            options.seed
        );
        result.details.iter().for_each(|line| eprintln!("{line}"));
    }
    Report {
        experiment: EXPERIMENT.name,
        seed: options.seed,
        target: figures(json!({
            "calls_min": CALLS_MIN, "keys_executed_more_than_once": 0, "untrue_no": 0,
            "untrue_yes": 0, "unknown_share_max": UNKNOWN_SHARE_MAX, "unknown_unexplained": 0,
        })),
        baseline: figures(baseline),
        product: figures(result.figures(calls, unknown_share)),
        ratio: figures(json!({})),
        pass,
    }
}

/// Sends the calls through the daemons.
async fn run_product(start: Instant, load: &Arc<Workload>, caller: Caller) -> Vec<CallRecord> {
    let arrivals: Vec<_> = load.calls.iter().map(|call| call.at).collect();
    open_loop(start, &arrivals, |index, intended_start| {
        let (load, caller) = (Arc::clone(load), caller.clone());
        async move {
            let planned = load.calls[index];
            let key = load.keys[planned.key].to_string();
            call(&caller, start, planned, &key, intended_start).await
        }
    })
    .await
}

/// Sends a call and retries it with the same key on the next daemon until it has a final answer, as
/// a caller behind a load balancer does.
async fn call(
    caller: &Caller,
    start: Instant,
    planned: PlannedCall,
    key: &str,
    intended_start: Instant,
) -> CallRecord {
    let mut record = CallRecord::new(planned.key, planned.at);
    let mut daemon = planned.daemon;
    while intended_start.elapsed() < CALL_TIMEOUT {
        let began = start.elapsed();
        let body = "on";
        let answer = caller.call_service(daemon, 0, Method::POST, "/switch", Some(key), body);
        let answer = timeout(ATTEMPT_TIMEOUT, answer).await;
        let outcome = match answer {
            Err(_) | Ok(Err(CallerError::Connection(_))) => Outcome::NoAnswer,
            Ok(Ok(answer)) => {
                let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
                let is_own = body["key"] == key && body["execution"] == 1;
                Outcome::Answered { is_own }
            }
            Ok(Err(CallerError::Refused(_, code, executed))) => match executed {
                Some(Executed::No) => Outcome::RefusedNotExecuted(code),
                Some(Executed::Yes) => Outcome::FailedExecuted(code),
                _ if code == "in_progress" => Outcome::InProgress,
                _ => Outcome::FailedUnknown(code),
            },
            Ok(Err(error)) => Outcome::FailedUnknown(error.to_string()),
        };
        let is_final = !matches!(outcome, Outcome::NoAnswer | Outcome::InProgress);
        record.attempts.push(Attempt {
            daemon,
            began,
            ended: start.elapsed(),
            outcome,
        });
        if is_final {
            return record;
        }
        daemon = (daemon + 1) % DAEMONS;
        sleep(RETRY_PAUSE).await;
    }
    record
}

/// Returns the number of executions of each key over all service servers.
fn executions(load: &Workload, services: &[RunningStandin<ServiceStandin>]) -> Vec<u64> {
    let all: Vec<_> = services.iter().map(|s| s.all_executions()).collect();
    let sum = |key: &Uuid| all.iter().filter_map(|e| e.get(&key.to_string())).sum();
    load.keys.iter().map(sum).collect()
}

/// Returns the number of executions of each key on one service server.
fn executions_of(load: &Workload, service: &RunningStandin<ServiceStandin>) -> Vec<u64> {
    executions(load, std::slice::from_ref(service))
}

/// Returns for each key the random fault that a service server injected into one of its calls.
fn injected_faults(
    load: &Workload,
    services: &[RunningStandin<ServiceStandin>],
) -> Vec<Option<&'static str>> {
    let mut all = IndexMap::new();
    services
        .iter()
        .for_each(|s| all.extend(s.injected_faults()));
    let fault = |key: &Uuid| all.get(&key.to_string()).copied();
    load.keys.iter().map(fault).collect()
}

async fn start_baseline(seed: u64) -> Result<RunningStandin<ServiceStandin>, TestbedError> {
    Ok(ServiceStandin::start(service_config(seed), EPHEMERAL_ADDR).await?)
}

/// Sends the calls to a service server without a daemon and retries each call after any failure.
/// Returns the number of calls without an answer.
async fn run_baseline(
    start: Instant,
    load: &Arc<Workload>,
    service: &RunningStandin<ServiceStandin>,
) -> usize {
    let arrivals: Vec<_> = load.calls.iter().map(|call| call.at).collect();
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let url = format!("http://{}/switch", service.addr());
    let answered = open_loop(start, &arrivals, |index, _| {
        let (load, client, url) = (Arc::clone(load), client.clone(), url.clone());
        async move {
            let key = load.keys[load.calls[index].key].to_string();
            for _ in 0..BASELINE_ATTEMPTS {
                let request = Request::post(&url)
                    .header("idempotency-key", &key)
                    .body(Full::new(Bytes::from_static(b"on")))
                    .expect("the address is a valid URI");
                let answer = async {
                    client
                        .request(request)
                        .await?
                        .into_body()
                        .collect()
                        .await
                        .map_err(Box::<dyn std::error::Error + Send + Sync>::from)
                };
                if matches!(timeout(Duration::from_secs(1), answer).await, Ok(Ok(_))) {
                    return true;
                }
            }
            false
        }
    });
    answered.await.iter().filter(|answered| !**answered).count()
}

fn baseline_figures(load: &Workload, executions: &[u64], unanswered: usize) -> Value {
    let mut calls_of = vec![0_u64; load.keys.len()];
    load.calls.iter().for_each(|call| calls_of[call.key] += 1);
    let over = executions.iter().filter(|count| **count > 1).count();
    let single = executions.iter().zip(&calls_of);
    let single = single.filter(|(count, calls)| **calls == 1 && **count > 1);
    json!({
        "calls": load.calls.len(),
        "keys_executed_more_than_once": over,
        "keys_called_once_executed_more_than_once": single.count(),
        "unanswered": unanswered,
    })
}

/// Returns whether a fault was in effect during a part of the attempt.
fn overlaps(event: &FaultEvent, attempt: &Attempt) -> bool {
    attempt.began <= event.until && event.from <= attempt.ended
}
