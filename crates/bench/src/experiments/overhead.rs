//! Cost of the entry daemon: its processor time, and the latency that it adds to a direct call of
//! an engine.
//!
//! The daemon runs on a runtime of its own. Its processor time is the sum over the workers of that
//! runtime and its duty threads, read from `schedstat` of each thread.

use super::drive::{
    Load, Sample, add_request_figures, failures, quantile_ms, runtime, unique_prompt,
};
use super::health_checks::{HttpClient, client, completion_request, stream_completion};
use super::{Experiment, RunOptions};
use crate::report::{Figures, Report};
use anvilgw_standin::EngineConfig;
use anvilgw_testbed::{Testbed, TestbedConfig};
use serde_json::json;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};

pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "overhead",
    about: "latency added by the entry daemon, and work per core of its processor time",
    run,
};

/// Limit of the time to first token that the daemon adds at the 99th percentile.
const ADDED_P99_LIMIT_MS: f64 = 1.0;
const REQUESTS_PER_CORE_S: f64 = 2_000.0;
const TOKENS_PER_CORE_S: f64 = 100_000.0;
/// Name of the worker threads of the daemon's runtime.
const WORKER_THREAD_NAME: &str = "entry-worker";
/// Worker threads of the daemon's runtime. Daemons run on small instances, and idle workers of a
/// larger runtime would spend processor time on looking for work.
const WORKER_THREAD_COUNT: usize = 2;
/// Names of the daemon's threads outside its runtime.
const DUTY_THREADS: [&str; 8] = [
    "control",
    "routing",
    "admission",
    "claims",
    "claim-log",
    "datagrams",
    "log-reads",
    "log-appends",
];
/// Slots of the engine. A single engine serves the whole load, so that direct calls and calls
/// through the daemon meet the same queue.
const ENGINE_CONCURRENCY: usize = 2_048;
const PROMPT_WORDS: usize = 20;
const WARM_UP: Duration = Duration::from_secs(2);

/// Rate, answer length and duration of a load.
#[derive(Clone, Copy)]
struct LoadPhase {
    rate_per_s: f64,
    tokens: u64,
    duration: Duration,
}

/// 500 streaming requests/s, for the latency.
const STREAMS: LoadPhase = LoadPhase {
    rate_per_s: 500.0,
    tokens: 16,
    duration: Duration::from_secs(8),
};
/// Requests of one token, for the processor time of a request.
const SHORT_REQUESTS: LoadPhase = LoadPhase {
    rate_per_s: 1_000.0,
    tokens: 1,
    duration: Duration::from_secs(5),
};
/// Long streams, for the processor time of a token: 40,000 tokens/s.
const LONG_STREAMS: LoadPhase = LoadPhase {
    rate_per_s: 80.0,
    tokens: 500,
    duration: Duration::from_secs(5),
};

fn run(options: RunOptions) -> Report {
    let load_runtime = runtime();
    let daemon_runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREAD_COUNT)
        .thread_name(WORKER_THREAD_NAME)
        .enable_all()
        .build()
        .expect("the operating system gives threads");
    let bed = start(&load_runtime, &daemon_runtime);
    let direct = Target::new(bed.engines[0].addr());
    let entry = Target::new(bed.listen_address(0));
    let warm_up = LoadPhase {
        duration: WARM_UP,
        ..STREAMS
    };
    let drive = |target: &Target, phase| load_runtime.block_on(target.drive(options.seed, phase));
    drive(&direct, warm_up);
    drive(&entry, warm_up);
    let direct_streams = drive(&direct, STREAMS);
    let (streams_s, entry_streams) = measure_cpu(|| drive(&entry, STREAMS));
    let (short_s, short) = measure_cpu(|| drive(&entry, SHORT_REQUESTS));
    let (tokens_s, tokens) = measure_cpu(|| drive(&entry, LONG_STREAMS));
    let report = report(
        options,
        &direct_streams,
        [
            (streams_s, &entry_streams),
            (short_s, &short),
            (tokens_s, &tokens),
        ],
    );
    daemon_runtime.block_on(bed.stop());
    report
}

/// Starts the stand-ins on one runtime and the daemon on the other.
fn start(load_runtime: &Runtime, daemon_runtime: &Runtime) -> Testbed {
    let config = TestbedConfig {
        daemons: 1,
        domains: 1,
        engines: 1,
        service_servers: 1,
        stores: 0,
        engine_concurrency: ENGINE_CONCURRENCY as u32,
        engine: EngineConfig {
            decode_ms: 2.0,
            max_running: ENGINE_CONCURRENCY,
            prefill_tokens_per_s: 10_000_000.0,
            ..TestbedConfig::default().engine
        },
        ..TestbedConfig::default()
    };
    let mut bed = load_runtime
        .block_on(Testbed::start_standins(config))
        .expect("stand-ins start");
    bed.publish_lists().expect("the log takes the lists");
    daemon_runtime
        .block_on(async {
            bed.start_daemon(0).await?;
            bed.wait_ready().await?;
            bed.wait_for_epoch().await
        })
        .expect("the daemon starts");
    bed
}

/// A server that a load is sent to: the engine itself or the daemon in front of it. Both get the
/// same client and the same reading of the stream.
struct Target {
    client: HttpClient,
    address: SocketAddr,
}

impl Target {
    fn new(address: SocketAddr) -> Self {
        Self {
            client: client(),
            address,
        }
    }

    /// Sends the load of a phase and returns its samples.
    async fn drive(&self, seed: u64, phase: LoadPhase) -> Vec<Sample> {
        let load = Load {
            seed,
            rate_per_s: phase.rate_per_s,
            duration: phase.duration,
        };
        let (client, address) = (self.client.clone(), self.address);
        let samples = load.start(move |number, intended_start| {
            let prompt = unique_prompt(seed, number, PROMPT_WORDS);
            let request = completion_request(address, &prompt, phase.tokens);
            stream_completion(client.clone(), request, intended_start)
        });
        samples.await.expect("the load does not panic")
    }
}

/// Runs `work` and returns the processor seconds that the daemon used meanwhile, with the result.
fn measure_cpu<T>(work: impl FnOnce() -> T) -> (f64, T) {
    let before = daemon_cpu_time();
    let result = work();
    ((daemon_cpu_time() - before).as_secs_f64(), result)
}

/// Returns the total processor time of the daemon's threads since their start. None of them ends
/// before the daemon, so differences are exact.
fn daemon_cpu_time() -> Duration {
    let tasks = fs::read_dir("/proc/self/task").expect("the kernel lists threads");
    let of_daemon = tasks.flatten().filter(|task| {
        let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        name.trim_end() == WORKER_THREAD_NAME || DUTY_THREADS.contains(&name.trim_end())
    });
    of_daemon
        .filter_map(|task| {
            let account = fs::read_to_string(task.path().join("schedstat")).ok()?;
            account.split_whitespace().next()?.parse().ok()
        })
        .map(Duration::from_nanos)
        .sum()
}

/// Returns a quantile of the time to first token.
fn first_token_ms(samples: &[Sample], quantile: f64) -> f64 {
    quantile_ms(samples.iter().map(|s| s.result.first_token), quantile)
}

/// Returns a quantile of the time to the end of the answer.
fn total_ms(samples: &[Sample], quantile: f64) -> f64 {
    quantile_ms(samples.iter().map(|s| s.result.total), quantile)
}

fn latencies(samples: &[Sample]) -> Figures {
    let mut figures = Figures::new();
    for (name, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let key = |what| format!("{what}_{name}_ms");
        figures.insert(key("first_token"), json!(first_token_ms(samples, quantile)));
        figures.insert(key("total"), json!(total_ms(samples, quantile)));
    }
    add_request_figures(&mut figures, samples);
    figures
}

/// Compares the direct streams with the loads through the daemon. `entry` holds the daemon's
/// processor seconds and the samples of [`STREAMS`], [`SHORT_REQUESTS`] and [`LONG_STREAMS`].
fn report(options: RunOptions, direct: &[Sample], entry: [(f64, &Vec<Sample>); 3]) -> Report {
    let [(streams_s, streams), (short_s, short), (tokens_s, tokens)] = entry;
    let added_p99_ms = first_token_ms(streams, 0.99) - first_token_ms(direct, 0.99);
    let requests_per_core_s = short.len() as f64 / short_s;
    let tokens_per_core_s = (tokens.len() as u64 * LONG_STREAMS.tokens) as f64 / tokens_s;
    let failed = failures(direct) + failures(streams) + failures(short) + failures(tokens);
    let mut product = latencies(streams);
    for (name, value) in [
        ("added_first_token_p99_ms", added_p99_ms),
        (
            "added_first_token_p50_ms",
            first_token_ms(streams, 0.5) - first_token_ms(direct, 0.5),
        ),
        (
            "added_total_p99_ms",
            total_ms(streams, 0.99) - total_ms(direct, 0.99),
        ),
        ("short_requests_per_core_s", requests_per_core_s),
        ("tokens_per_core_s", tokens_per_core_s),
        (
            "cores_at_500_streams_per_s",
            streams_s / STREAMS.duration.as_secs_f64(),
        ),
        ("failures", failed as f64),
    ] {
        product.insert(name.to_owned(), json!(value));
    }
    let ratio = first_token_ms(streams, 0.99) / first_token_ms(direct, 0.99);
    let target = json!({
        "added_first_token_p99_ms": ADDED_P99_LIMIT_MS,
        "short_requests_per_core_s": REQUESTS_PER_CORE_S,
        "tokens_per_core_s": TOKENS_PER_CORE_S,
        "failures": 0,
    });
    Report {
        experiment: EXPERIMENT.name,
        seed: options.seed,
        target: target.as_object().cloned().unwrap_or_default(),
        baseline: latencies(direct),
        product,
        ratio: Figures::from_iter([("first_token_p99".to_owned(), json!(ratio))]),
        pass: added_p99_ms <= ADDED_P99_LIMIT_MS
            && requests_per_core_s >= REQUESTS_PER_CORE_S
            && tokens_per_core_s >= TOKENS_PER_CORE_S
            && failed == 0,
    }
}
