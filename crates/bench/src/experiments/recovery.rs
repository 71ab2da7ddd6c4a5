//! All daemons are killed and started again, with the log service up and with it down.
//!
//! The baseline restarts the daemons one after another, each when the one before serves.

use super::drive::{runtime, unique_prompt};
use super::{Experiment, RunOptions};
use crate::report::{Figures, Report};
use anvilgw_standin::LogFaults;
use anvilgw_testbed::{CallerError, Testbed, TestbedConfig};
use http::Method;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "recovery",
    about: "all daemons are killed and started again, with the log up and with it down",
    run,
};

const DAEMONS: usize = 6;
const SERVING_LIMIT_S: f64 = 3.0;
const PROMPT_WORDS: usize = 50;
const OUTPUT_TOKENS: u64 = 4;
/// Pause between two attempts of a caller.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Time for which the restarted daemons run with the log service down before they are probed.
const LOG_OUTAGE: Duration = Duration::from_secs(6);
/// Time after its start by which a daemon must serve, otherwise the experiment panics.
const SERVING_TIMEOUT: Duration = Duration::from_secs(30);

fn run(options: RunOptions) -> Report {
    let runtime = runtime();
    let report = runtime.block_on(measure(options));
    runtime.shutdown_background();
    report
}

async fn measure(options: RunOptions) -> Report {
    let mut bed = Testbed::start(TestbedConfig {
        daemons: DAEMONS,
        ..TestbedConfig::default()
    })
    .await
    .expect("the bed starts");
    bed.wait_for_epoch().await.expect("the fleet settles");
    let one_by_one = restart_one_by_one(&mut bed, options.seed).await;
    kill_all(&mut bed).await;
    let started = Instant::now();
    start_all(&mut bed).await;
    let together = wait_until_all_serve(&bed, options.seed, started).await;
    let without_log = restart_without_log(&mut bed, options.seed).await;
    bed.stop().await;
    let [first, all] = together;
    let mut product = Figures::from_iter([
        ("first_completion_s".to_owned(), json!(first.as_secs_f64())),
        ("all_daemons_serve_s".to_owned(), json!(all.as_secs_f64())),
    ]);
    product.extend(without_log);
    let [baseline_first, baseline_all] = one_by_one.map(|time| time.as_secs_f64());
    Report {
        experiment: EXPERIMENT.name,
        seed: options.seed,
        target: Figures::from_iter([("all_daemons_serve_s".to_owned(), json!(SERVING_LIMIT_S))]),
        baseline: Figures::from_iter([
            ("first_completion_s".to_owned(), json!(baseline_first)),
            ("all_daemons_serve_s".to_owned(), json!(baseline_all)),
        ]),
        product,
        ratio: Figures::from_iter([(
            "all_daemons_serve".to_owned(),
            json!(all.as_secs_f64() / baseline_all),
        )]),
        pass: all.as_secs_f64() <= SERVING_LIMIT_S,
    }
}

async fn kill_all(bed: &mut Testbed) {
    for index in 0..DAEMONS {
        bed.kill_daemon(index).await;
    }
}

async fn start_all(bed: &mut Testbed) {
    for index in 0..DAEMONS {
        bed.start_daemon(index).await.expect("a daemon starts");
    }
}

/// Returns the times until the first and until the last daemon serves.
async fn restart_one_by_one(bed: &mut Testbed, seed: u64) -> [Duration; 2] {
    kill_all(bed).await;
    let started = Instant::now();
    let mut first = None;
    for index in 0..DAEMONS {
        bed.start_daemon(index).await.expect("a daemon starts");
        wait_until_serving(bed, index, seed).await;
        first.get_or_insert_with(|| started.elapsed());
    }
    [first.unwrap_or_default(), started.elapsed()]
}

/// Waits for all daemons at once and returns the times since `started` at which the first and the
/// last of them serves.
async fn wait_until_all_serve(bed: &Testbed, seed: u64, started: Instant) -> [Duration; 2] {
    let waits = (0..DAEMONS).map(|index| async move {
        wait_until_serving(bed, index, seed).await;
        started.elapsed()
    });
    let times = futures_util::future::join_all(waits).await;
    let first = times.iter().min().copied().unwrap_or_default();
    [first, times.into_iter().max().unwrap_or_default()]
}

/// Waits until a daemon is ready and answers a completion.
async fn wait_until_serving(bed: &Testbed, index: usize, seed: u64) {
    let caller = bed.caller();
    let text = unique_prompt(seed, index, PROMPT_WORDS);
    let served = async {
        while !bed
            .daemon(index)
            .is_some_and(anvilgw_entry::Daemon::is_ready)
            || caller
                .complete(index, 0, &text, OUTPUT_TOKENS)
                .await
                .is_err()
        {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    };
    let served = tokio::time::timeout(SERVING_TIMEOUT, served).await;
    served.expect("a daemon serves within 30 s of its start");
}

/// Restarts all daemons during an outage of the log service. Returns what they serve during the
/// outage, and the time from its end until all daemons serve.
async fn restart_without_log(bed: &mut Testbed, seed: u64) -> Figures {
    kill_all(bed).await;
    bed.log.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    start_all(bed).await;
    tokio::time::sleep(LOG_OUTAGE).await;
    let caller = bed.caller();
    let (mut ready, mut completions, mut refusals) = (0, 0, indexmap::IndexMap::new());
    let mut status = 0;
    for index in 0..DAEMONS {
        ready += u32::from(
            bed.daemon(index)
                .is_some_and(anvilgw_entry::Daemon::is_ready),
        );
        let text = unique_prompt(seed, index, PROMPT_WORDS);
        match caller.complete(index, 0, &text, OUTPUT_TOKENS).await {
            Ok(_) => completions += 1,
            Err(error) => *refusals.entry(refusal(&error)).or_insert(0) += 1,
        }
        let call = caller.call_service(index, 0, Method::POST, "/on", None, "{}");
        if let Err(error) = call.await {
            let cause = format!("service call: {}", refusal(&error));
            *refusals.entry(cause).or_insert(0) += 1;
        }
        let report = caller
            .call_admin(index, Method::GET, "/admin/status", &Value::Null)
            .await;
        status += u32::from(report.is_ok());
    }
    bed.log.set_faults(LogFaults::default());
    let returned = Instant::now();
    let [_, all] = wait_until_all_serve(bed, seed, returned).await;
    Figures::from_iter([
        ("log_down_daemons_ready".to_owned(), json!(ready)),
        ("log_down_completions_served".to_owned(), json!(completions)),
        ("log_down_refusals".to_owned(), json!(refusals)),
        ("log_down_status_answered".to_owned(), json!(status)),
        (
            "all_serve_after_log_returns_s".to_owned(),
            json!(all.as_secs_f64()),
        ),
    ])
}

fn refusal(error: &CallerError) -> String {
    error.to_string()
}
