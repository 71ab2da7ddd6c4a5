//! The log service is gone and then slow: idempotent work goes on, other calls are refused truthfully.

use super::load::{Latencies, block_on, figures, not_run, open_loop, poisson};
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
    about: "idempotent work, refusals and appends while the log service is gone and slow",
    run,
};

const DAEMONS: usize = 4;
const IDEMPOTENT_PER_S: f64 = 200.0;
const CLAIMED_PER_S: f64 = 40.0;
/// Time of an execution, such as a status read that asks the courts.
const WORK_MS: u64 = 20;
const APPENDS_PER_S: u32 = 400;
/// Answers of the slow log service take longer than this fleet's limit for a call to it (1 s).
const SLOW_MS: u64 = 1_500;
const P95_RATIO_MAX: f64 = 1.05;
/// Time within which a claim that was under way at the beginning or end of an outage is decided.
const EDGE: Duration = Duration::from_millis(4_000);

/// Lengths of the phases.
#[derive(Clone, Copy)]
struct Phases {
    outage: Duration,
    slow: Duration,
    after: Duration,
}

impl Phases {
    fn of(options: RunOptions) -> Self {
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

struct Claimed {
    at: Duration,
    key: String,
    /// The code and `executed` of a refusal.
    refused: Option<(String, Option<Executed>)>,
}

struct Outcome {
    idempotent: Latencies,
    idempotent_failed: IndexMap<String, usize>,
    claimed: Vec<Claimed>,
    peak_appends_per_s: u64,
    over_rate: u64,
}

fn run(options: RunOptions) -> Report {
    block_on(measure(options)).unwrap_or_else(|error| not_run(EXPERIMENT.name, options, &error))
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
    let phases = Phases::of(options);
    let undisturbed = load(&bed, options, phases, false).await;
    let disturbed = load(&bed, options, phases, true).await;
    let executed = |key: &str| -> u64 {
        let servers = bed.services.iter();
        servers.map(|server| server.executions(key)).sum()
    };
    let report = report(options, phases, &undisturbed, &disturbed, &executed);
    bed.stop().await;
    Ok(report)
}

async fn load(bed: &Testbed, options: RunOptions, phases: Phases, is_disturbed: bool) -> Outcome {
    // Both runs get the same load.
    let mut rng = StdRng::seed_from_u64(options.seed);
    let idempotent = poisson(&mut rng, IDEMPOTENT_PER_S, phases.total());
    let claimed = poisson(&mut rng, CLAIMED_PER_S, phases.total());
    let daemons: Vec<usize> = (0..idempotent.len().max(claimed.len()))
        .map(|_| rng.random_range(0..DAEMONS))
        .collect();
    let start = Instant::now();
    let caller = bed.caller();
    let reads = open_loop(start, &idempotent, |index, intended| {
        let (caller, daemon) = (caller.clone(), daemons[index]);
        async move {
            let answer = caller.call_service(daemon, 0, Method::GET, "/status", None, "");
            answer.await.map(|_| intended.elapsed())
        }
    });
    let calls = open_loop(start, &claimed, |index, intended| {
        let (caller, daemon) = (caller.clone(), daemons[index]);
        async move {
            let key = Uuid::now_v7().to_string();
            let answer = caller.call_service(daemon, 0, Method::POST, "/switch", Some(&key), "on");
            let refused = answer.await.err().map(|error| match error {
                CallerError::Refused(_, code, executed) => (code, executed),
                other => (other.to_string(), None),
            });
            let at = intended - start;
            Claimed { at, key, refused }
        }
    });
    let disturb = async {
        if is_disturbed {
            disturb(bed, start, phases).await;
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
    Outcome {
        idempotent,
        idempotent_failed,
        claimed,
        peak_appends_per_s: counters.peak_appends_per_s,
        over_rate: counters.over_rate,
    }
}

async fn disturb(bed: &Testbed, start: Instant, phases: Phases) {
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

fn report(
    options: RunOptions,
    phases: Phases,
    undisturbed: &Outcome,
    disturbed: &Outcome,
    executed: &impl Fn(&str) -> u64,
) -> Report {
    let ratio = disturbed.idempotent.quantile_ms(0.95) / undisturbed.idempotent.quantile_ms(0.95);
    let mut refused: IndexMap<String, usize> = IndexMap::new();
    let (mut untrue, mut unrefused, mut answered_after) = (0, 0, 0);
    for call in &disturbed.claimed {
        let executions = executed(&call.key);
        let is_in_outage = call.at >= EDGE.min(phases.outage / 4) && call.at < phases.outage;
        match &call.refused {
            Some((code, told)) => {
                untrue += usize::from(*told == Some(Executed::No) && executions > 0);
                untrue += usize::from(*told == Some(Executed::Yes) && executions == 0);
                unrefused += usize::from(is_in_outage && *told != Some(Executed::No));
                *refused.entry(code.clone()).or_default() += 1;
            }
            None => {
                untrue += usize::from(executions != 1);
                unrefused += usize::from(is_in_outage);
                answered_after += usize::from(call.at >= phases.end_of_slow());
            }
        }
    }
    let failed: usize = disturbed.idempotent_failed.values().sum();
    let pass = ratio <= P95_RATIO_MAX
        && failed == 0
        && untrue == 0
        && unrefused == 0
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
            "not_refused_in_outage": unrefused,
            "peak_appends_per_s": disturbed.peak_appends_per_s,
            "appends_over_rate": disturbed.over_rate,
        })),
        ratio: figures(json!({"idempotent_p95": ratio})),
        pass,
    }
}
