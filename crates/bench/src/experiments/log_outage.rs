//! The log service is unreachable and then slow: idempotent calls go on, and non-idempotent calls
//! are refused with a true `executed`.

use super::load::{Latencies, block_on, figures, not_run_report, open_loop, poisson};
use super::{Experiment, RunOptions};
use crate::report::Report;
use anvilgw_core::Executed;
use anvilgw_standin::{LogFaults, ServiceConfig};
use anvilgw_testbed::{CallerError, SERVICE, Testbed, TestbedConfig, TestbedError};
use http::Method;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use uuid::Uuid;

pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "log-outage",
    about: "idempotent calls, refusals and appends while the log service is down and then slow",
    run,
};

const DAEMONS: usize = 4;
const IDEMPOTENT_PER_S: f64 = 200.0;
const NON_IDEMPOTENT_PER_S: f64 = 40.0;
/// Duration of an execution, as of a status read that asks an outside service.
const WORK_MS: u64 = 20;
const APPENDS_PER_S: u32 = 400;
/// Delay of the slow log service: longer than this fleet's time limit for a call to it (1 s).
const SLOW_MS: u64 = 1_500;
const P95_RATIO_MAX: f64 = 1.05;
/// Time within which a claim in flight at the beginning or end of an outage is decided. Calls that
/// start in this time after the beginning may still be answered.
const CLAIM_DECISION_TIME: Duration = Duration::from_millis(4_000);

/// Durations of the phases of a run.
#[derive(Clone, Copy)]
struct PhaseDurations {
    /// The log service is unreachable.
    outage: Duration,
    /// The log service is reachable but slow.
    slow: Duration,
    /// The log service works normally.
    after: Duration,
}

impl PhaseDurations {
    fn for_options(options: RunOptions) -> Self {
        let [outage, slow, after] = if options.long {
            [60, 90, 20]
        } else {
            [8, 10, 5]
        };
        Self {
            outage: Duration::from_secs(outage),
            slow: Duration::from_secs(slow),
            after: Duration::from_secs(after),
        }
    }

    fn end_of_slow(self) -> Duration {
        self.outage + self.slow
    }

    fn total(self) -> Duration {
        self.end_of_slow() + self.after
    }
}

/// A non-idempotent call, which needs a claim.
struct ClaimedCall {
    /// Intended start, relative to the start of the load.
    at: Duration,
    key: String,
    /// Error code and reported `executed` of a failed call; `None` if it was answered.
    refused: Option<(String, Option<Executed>)>,
}

/// Results of one run of the load.
struct LoadOutcome {
    idempotent: Latencies,
    idempotent_failed: IndexMap<String, usize>,
    claimed: Vec<ClaimedCall>,
    peak_appends_per_s: u64,
    appends_over_rate: u64,
}

fn run(options: RunOptions) -> Report {
    block_on(measure(options))
        .unwrap_or_else(|error| not_run_report(EXPERIMENT.name, options, &error))
}

async fn measure(options: RunOptions) -> Result<Report, TestbedError> {
    let bed = Testbed::start(TestbedConfig {
        daemons: DAEMONS,
        engines: 0,
        stores: 0,
        service: ServiceConfig {
            name: SERVICE.to_owned(),
            work_ms: WORK_MS,
            ..ServiceConfig::default()
        },
        ..TestbedConfig::default()
    })
    .await?;
    bed.wait_for_epoch().await?;
    let phases = PhaseDurations::for_options(options);
    let undisturbed = run_load(&bed, options, phases, false).await;
    let disturbed = run_load(&bed, options, phases, true).await;
    let executions_of = |key: &str| -> u64 {
        let servers = bed.services.iter();
        servers.map(|server| server.executions(key)).sum()
    };
    let report = report(options, phases, &undisturbed, &disturbed, &executions_of);
    bed.stop().await;
    Ok(report)
}

/// Runs the load, with faults of the log service if `is_disturbed`.
async fn run_load(
    bed: &Testbed,
    options: RunOptions,
    phases: PhaseDurations,
    is_disturbed: bool,
) -> LoadOutcome {
    // The seed gives both runs the same load.
    let mut rng = StdRng::seed_from_u64(options.seed);
    let idempotent = poisson(&mut rng, IDEMPOTENT_PER_S, phases.total());
    let claimed = poisson(&mut rng, NON_IDEMPOTENT_PER_S, phases.total());
    let daemons: Vec<usize> = (0..idempotent.len().max(claimed.len()))
        .map(|_| rng.random_range(0..DAEMONS))
        .collect();
    let start = Instant::now();
    let caller = bed.caller();
    let reads = open_loop(start, &idempotent, |index, intended_start| {
        let (caller, daemon) = (caller.clone(), daemons[index]);
        async move {
            let answer = caller.call_service(daemon, 0, Method::GET, "/status", None, "");
            answer.await.map(|_| intended_start.elapsed())
        }
    });
    let calls = open_loop(start, &claimed, |index, intended_start| {
        let (caller, daemon) = (caller.clone(), daemons[index]);
        async move {
            let key = Uuid::now_v7().to_string();
            let answer = caller.call_service(daemon, 0, Method::POST, "/switch", Some(&key), "on");
            let refused = answer.await.err().map(|error| match error {
                CallerError::Refused(_, code, executions_of) => (code, executions_of),
                other => (other.to_string(), None),
            });
            let at = intended_start - start;
            ClaimedCall { at, key, refused }
        }
    });
    let disturb = async {
        if is_disturbed {
            inject_log_faults(bed, start, phases).await;
        }
    };
    let (reads, claimed, ()) = tokio::join!(reads, calls, disturb);
    let mut idempotent = Latencies::new();
    let mut idempotent_failed = IndexMap::new();
    for read in reads {
        match read {
            Ok(latency) => idempotent.record(latency),
            Err(error) => *idempotent_failed.entry(error.to_string()).or_default() += 1,
        }
    }
    let counters = bed.log.counters();
    LoadOutcome {
        idempotent,
        idempotent_failed,
        claimed,
        peak_appends_per_s: counters.peak_appends_per_s,
        appends_over_rate: counters.over_rate,
    }
}

/// Disconnects the log service, then restores it with slow answers, then removes the fault.
async fn inject_log_faults(bed: &Testbed, start: Instant, phases: PhaseDurations) {
    let normal = bed.log.faults();
    bed.log_server.disconnect();
    sleep_until(start + phases.outage).await;
    bed.log.set_faults(LogFaults {
        slow_ms: SLOW_MS,
        ..normal.clone()
    });
    bed.log_server.restore();
    sleep_until(start + phases.end_of_slow()).await;
    bed.log.set_faults(normal);
}

/// Compares the two runs. `executions_of` returns the number of executions of a key.
fn report(
    options: RunOptions,
    phases: PhaseDurations,
    undisturbed: &LoadOutcome,
    disturbed: &LoadOutcome,
    executions_of: &impl Fn(&str) -> u64,
) -> Report {
    let ratio = disturbed.idempotent.quantile_ms(0.95) / undisturbed.idempotent.quantile_ms(0.95);
    let mut refused: IndexMap<String, usize> = IndexMap::new();
    let (mut untrue, mut not_refused, mut answered_after) = (0, 0, 0);
    for call in &disturbed.claimed {
        let executions = executions_of(&call.key);
        let is_in_outage =
            call.at >= CLAIM_DECISION_TIME.min(phases.outage / 4) && call.at < phases.outage;
        match &call.refused {
            Some((code, reported)) => {
                untrue += usize::from(*reported == Some(Executed::No) && executions > 0);
                untrue += usize::from(*reported == Some(Executed::Yes) && executions == 0);
                not_refused += usize::from(is_in_outage && *reported != Some(Executed::No));
                *refused.entry(code.clone()).or_default() += 1;
            }
            None => {
                untrue += usize::from(executions != 1);
                not_refused += usize::from(is_in_outage);
                answered_after += usize::from(call.at >= phases.end_of_slow());
            }
        }
    }
    let failed: usize = disturbed.idempotent_failed.values().sum();
    let pass = ratio <= P95_RATIO_MAX
        && failed == 0
        && untrue == 0
        && not_refused == 0
        && disturbed.peak_appends_per_s <= u64::from(APPENDS_PER_S);
    Report {
        experiment: EXPERIMENT.name,
        seed: options.seed,
        target: figures(json!({
            "idempotent_p95_ratio_max": P95_RATIO_MAX, "idempotent_failed": 0,
            "untrue_refusals": 0, "not_refused_in_outage": 0,
            "peak_appends_per_s_max": APPENDS_PER_S,
        })),
        baseline: figures(json!({
            "idempotent": undisturbed.idempotent.figures(),
            "idempotent_failed": undisturbed.idempotent_failed,
            "non_idempotent_refused":
                undisturbed.claimed.iter().filter(|call| call.refused.is_some()).count(),
            "peak_appends_per_s": undisturbed.peak_appends_per_s,
        })),
        product: figures(json!({
            "outage_s": phases.outage.as_secs(), "slow_s": phases.slow.as_secs(),
            "idempotent": disturbed.idempotent.figures(),
            "idempotent_failed": disturbed.idempotent_failed,
            "non_idempotent_calls": disturbed.claimed.len(),
            "non_idempotent_refused": refused,
            "non_idempotent_answered_after_return": answered_after,
            "untrue_refusals": untrue,
            "not_refused_in_outage": not_refused,
            "peak_appends_per_s": disturbed.peak_appends_per_s,
            "appends_over_rate": disturbed.appends_over_rate,
        })),
        ratio: figures(json!({"idempotent_p95": ratio})),
        pass,
    }
}
