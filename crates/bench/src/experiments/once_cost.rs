//! Cost of a claim: its latency compared with one append of the log service, and the appends per
//! second that claims cause.

use super::load::{Latencies, block_on, figures, not_run_report, open_loop, poisson};
use super::{Experiment, RunOptions};
use crate::report::Report;
use anvilgw_core::LogService;
use anvilgw_platform::{HttpLogService, LogClientSettings};
use anvilgw_standin::{LogConfig, LogFaults};
use anvilgw_testbed::{Caller, Testbed, TestbedConfig, TestbedError};
use http::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep};
use uuid::Uuid;

pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "once-cost",
    about: "latency of a claim compared with one append, and appends/s of the fleet",
    run,
};

/// Daemons of the two fleets, whose difference gives the slopes.
const FLEET_SIZES: [usize; 2] = [12, 18];
/// Daemons that the design is for; figures are extrapolated to this size.
const DESIGN_FLEET_SIZE: f64 = 410.0;
/// Delay of the log service for an append.
const APPEND_MS: u64 = 10;
/// Rate limit of the log service.
const APPENDS_PER_S: u32 = 400;
/// Partitions of the claim log and interval of its group commit, as both deployments set them.
const PARTITIONS: u16 = 16;
const CLAIM_INTERVAL_MS: u64 = 80;
/// Rate of the non-idempotent calls, and also of the idempotent ones.
const CALLS_PER_DAEMON_S: f64 = 2.0;
/// Rate of the direct appends that measure the latency of the log service.
const PROBES_PER_S: f64 = 20.0;
/// Time without calls in which the appends of the idle fleet are counted.
const IDLE_PERIOD: Duration = Duration::from_secs(4);
const SHORT_RUN: Duration = Duration::from_secs(10);
const LONG_RUN: Duration = Duration::from_secs(60);
const CLAIM_TO_APPEND_MAX: f64 = 1.5;

/// Measurements of a fleet of one size.
struct FleetResult {
    daemons: usize,
    append: Latencies,
    non_idempotent: Latencies,
    idempotent: Latencies,
    failed: usize,
    idle_appends_per_s: f64,
    claim_appends_per_s: f64,
    appends_over_rate: u64,
}

impl FleetResult {
    /// Returns the latency that a claim adds, divided by the latency of an append: once with the
    /// means and once with the medians.
    fn ratios(&self) -> [f64; 2] {
        let added = self.non_idempotent.mean_ms() - self.idempotent.mean_ms();
        let added_p50 = self.non_idempotent.quantile_ms(0.5) - self.idempotent.quantile_ms(0.5);
        [
            added / self.append.mean_ms(),
            added_p50 / self.append.quantile_ms(0.5),
        ]
    }

    fn figures(&self) -> Value {
        json!({
            "non_idempotent": self.non_idempotent.figures(),
            "idempotent": self.idempotent.figures(),
            "failed": self.failed,
            "idle_appends_per_s": self.idle_appends_per_s,
            "claim_appends_per_s": self.claim_appends_per_s,
            "appends_over_rate": self.appends_over_rate,
        })
    }
}

fn run(options: RunOptions) -> Report {
    block_on(measure(options))
        .unwrap_or_else(|error| not_run_report(EXPERIMENT.name, options, &error))
}

async fn measure(options: RunOptions) -> Result<Report, TestbedError> {
    let mut fleets = Vec::new();
    for daemons in FLEET_SIZES {
        fleets.push(measure_fleet(daemons, options).await?);
    }
    Ok(report(options, &fleets))
}

async fn measure_fleet(daemons: usize, options: RunOptions) -> Result<FleetResult, TestbedError> {
    let bed = Testbed::start(TestbedConfig {
        daemons,
        engines: 0,
        stores: 0,
        partitions: PARTITIONS,
        claim_interval_ms: CLAIM_INTERVAL_MS,
        log: LogConfig {
            appends_per_s: APPENDS_PER_S,
            faults: LogFaults {
                slow_ms: APPEND_MS,
                ..LogFaults::default()
            },
            ..LogConfig::default()
        },
        ..TestbedConfig::default()
    })
    .await?;
    bed.wait_for_epoch().await?;
    let before_idle = bed.log.counters().appended;
    sleep(IDLE_PERIOD).await;
    let idle = bed.log.counters().appended - before_idle;
    let duration = if options.long { LONG_RUN } else { SHORT_RUN };
    let mut rng = StdRng::seed_from_u64(options.seed);
    let rate_per_s = CALLS_PER_DAEMON_S * daemons as f64;
    let arrivals = [(); 2].map(|()| poisson(&mut rng, rate_per_s, duration));
    let probes = poisson(&mut rng, PROBES_PER_S, duration);
    let log = HttpLogService::with_handle(
        bed.log_server.addr(),
        LogClientSettings::default(),
        Handle::current(),
    );
    let start = Instant::now();
    let before = bed.log.counters().appended;
    let (non_idempotent, idempotent, append) = tokio::join!(
        run_calls(start, &arrivals[0], &bed, Method::POST, options.seed),
        run_calls(start, &arrivals[1], &bed, Method::GET, options.seed),
        probe_appends(start, &probes, Arc::new(log)),
    );
    let elapsed_s = start.elapsed().as_secs_f64();
    let appended = bed.log.counters().appended - before - probes.len() as u64;
    let idle_appends_per_s = idle as f64 / IDLE_PERIOD.as_secs_f64();
    let fleet = FleetResult {
        daemons,
        failed: arrivals.iter().map(Vec::len).sum::<usize>()
            - (non_idempotent.count() + idempotent.count()) as usize,
        append,
        non_idempotent,
        idempotent,
        idle_appends_per_s,
        claim_appends_per_s: appended as f64 / elapsed_s - idle_appends_per_s,
        appends_over_rate: bed.log.counters().over_rate,
    };
    bed.stop().await;
    Ok(fleet)
}

/// Calls the service through daemons drawn at random and returns the latencies of the answered
/// calls. `POST` is non-idempotent and needs a claim, `GET` is idempotent.
async fn run_calls(
    start: Instant,
    arrivals: &[Duration],
    bed: &Testbed,
    method: Method,
    seed: u64,
) -> Latencies {
    let caller: Caller = bed.caller();
    let mut rng = StdRng::seed_from_u64(seed);
    let daemons = bed.config().daemons;
    let targets: Vec<_> = arrivals
        .iter()
        .map(|_| rng.random_range(0..daemons))
        .collect();
    let latencies = open_loop(start, arrivals, |index, intended_start| {
        let (caller, method, daemon) = (caller.clone(), method.clone(), targets[index]);
        async move {
            let key = Uuid::now_v7().to_string();
            let answer = caller.call_service(daemon, 0, method, "/switch", Some(&key), "on");
            answer.await.is_ok().then(|| intended_start.elapsed())
        }
    });
    latencies.await.into_iter().flatten().collect()
}

/// Appends records directly to a stream that no daemon uses and returns the latencies.
async fn probe_appends(
    start: Instant,
    arrivals: &[Duration],
    log: Arc<HttpLogService>,
) -> Latencies {
    let latencies = open_loop(start, arrivals, |_, intended_start| {
        let log = Arc::clone(&log);
        async move {
            let append = move || log.append("probe", &[0; 150]).is_ok();
            let is_ok = tokio::task::spawn_blocking(append).await.unwrap_or(false);
            is_ok.then(|| intended_start.elapsed())
        }
    });
    latencies.await.into_iter().flatten().collect()
}

fn report(options: RunOptions, fleets: &[FleetResult]) -> Report {
    let [small, large] = fleets else {
        unreachable!("there are two fleets");
    };
    let daemons = (large.daemons - small.daemons) as f64;
    let slope = |of: fn(&FleetResult) -> f64| (of(large) - of(small)) / daemons;
    let at_design = |of: fn(&FleetResult) -> f64| {
        of(large) + slope(of) * (DESIGN_FLEET_SIZE - large.daemons as f64)
    };
    // Group commit appends to a partition at most once per interval, however many daemons claim.
    let claims_max = f64::from(PARTITIONS) * 1e3 / CLAIM_INTERVAL_MS as f64;
    let idle_410 = at_design(|fleet| fleet.idle_appends_per_s).max(0.0);
    let claims_410 = at_design(|fleet| fleet.claim_appends_per_s).min(claims_max);
    let ratios = fleets.iter().flat_map(FleetResult::ratios);
    let highest_ratio = ratios.fold(0.0, f64::max);
    let appends_over_rate = fleets.iter().any(|fleet| fleet.appends_over_rate > 0);
    let failed = fleets.iter().any(|fleet| fleet.failed > 0);
    let limit = f64::from(APPENDS_PER_S);
    Report {
        experiment: EXPERIMENT.name,
        seed: options.seed,
        target: figures(json!({
            "claim_latency_to_append_max": CLAIM_TO_APPEND_MAX, "appends_per_s_410_max": limit,
            "appends_over_rate": 0,
        })),
        baseline: figures(json!({
            "append_12": small.append.figures(), "append_18": large.append.figures(),
        })),
        product: figures(json!({
            "fleet_12": small.figures(),
            "fleet_18": large.figures(),
            "idle_appends_per_s_slope": slope(|fleet| fleet.idle_appends_per_s),
            "claim_appends_per_s_slope": slope(|fleet| fleet.claim_appends_per_s),
            "claim_appends_per_s_group_commit_max": claims_max,
            "appends_per_s_410": idle_410 + claims_410,
        })),
        ratio: figures(json!({
            "claim_to_append_mean_p50_12": small.ratios(),
            "claim_to_append_mean_p50_18": large.ratios(),
        })),
        pass: highest_ratio <= CLAIM_TO_APPEND_MAX
            && idle_410 + claims_410 <= limit
            && !appends_over_rate
            && !failed,
    }
}
