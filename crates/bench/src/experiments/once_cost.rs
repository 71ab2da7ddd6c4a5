//! What a claim costs: latency compared with one append of the log service, and appends per second.

use super::load::{Latencies, block_on, figures, not_run, open_loop, poisson};
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

const FLEETS: [usize; 2] = [12, 18];
const FLEET_AT_DESIGN_SIZE: f64 = 410.0;
/// Time in which the log service stores a record.
const APPEND_MS: u64 = 10;
/// Limit of the log service.
const APPENDS_PER_S: u32 = 400;
/// Claims as both deployments set them.
const PARTITIONS: u16 = 16;
const CLAIM_INTERVAL_MS: u64 = 80;
/// Non-idempotent calls, and as many idempotent ones.
const CALLS_PER_DAEMON_S: f64 = 2.0;
const PROBES_PER_S: f64 = 20.0;
const IDLE: Duration = Duration::from_secs(4);
const SHORT: Duration = Duration::from_secs(10);
const LONG: Duration = Duration::from_secs(60);
const RATIO_MAX: f64 = 1.5;

struct Fleet {
    daemons: usize,
    append: Latencies,
    claimed: Latencies,
    idempotent: Latencies,
    failed: usize,
    idle_appends_per_s: f64,
    claim_appends_per_s: f64,
    over_rate: u64,
}

impl Fleet {
    /// Latency that the claim adds, divided by the latency of an append: of the means and of the
    /// medians.
    fn ratios(&self) -> [f64; 2] {
        let added = self.claimed.mean_ms() - self.idempotent.mean_ms();
        let added_p50 = self.claimed.quantile_ms(0.5) - self.idempotent.quantile_ms(0.5);
        [
            added / self.append.mean_ms(),
            added_p50 / self.append.quantile_ms(0.5),
        ]
    }

    fn figures(&self) -> Value {
        json!({
            "non_idempotent": self.claimed.figures(),
            "idempotent": self.idempotent.figures(),
            "failed": self.failed,
            "idle_appends_per_s": self.idle_appends_per_s,
            "claim_appends_per_s": self.claim_appends_per_s,
            "appends_over_rate": self.over_rate,
        })
    }
}

fn run(options: RunOptions) -> Report {
    block_on(measure(options)).unwrap_or_else(|error| not_run(EXPERIMENT.name, options, &error))
}

async fn measure(options: RunOptions) -> Result<Report, TestbedError> {
    let mut fleets = Vec::new();
    for daemons in FLEETS {
        fleets.push(measure_fleet(daemons, options).await?);
    }
    Ok(report(options, &fleets))
}

async fn measure_fleet(daemons: usize, options: RunOptions) -> Result<Fleet, TestbedError> {
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
    sleep(IDLE).await;
    let idle = bed.log.counters().appended - before_idle;
    let duration = if options.long { LONG } else { SHORT };
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
    let (claimed, idempotent, append) = tokio::join!(
        calls(start, &arrivals[0], &bed, Method::POST, options.seed),
        calls(start, &arrivals[1], &bed, Method::GET, options.seed),
        probe(start, &probes, Arc::new(log)),
    );
    let elapsed_s = start.elapsed().as_secs_f64();
    let appended = bed.log.counters().appended - before - probes.len() as u64;
    let idle_appends_per_s = idle as f64 / IDLE.as_secs_f64();
    let fleet = Fleet {
        daemons,
        failed: arrivals.iter().map(Vec::len).sum::<usize>()
            - (claimed.count() + idempotent.count()) as usize,
        append,
        claimed,
        idempotent,
        idle_appends_per_s,
        claim_appends_per_s: appended as f64 / elapsed_s - idle_appends_per_s,
        over_rate: bed.log.counters().over_rate,
    };
    bed.stop().await;
    Ok(fleet)
}

async fn calls(
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
    let latencies = open_loop(start, arrivals, |index, intended| {
        let (caller, method, daemon) = (caller.clone(), method.clone(), targets[index]);
        async move {
            let key = Uuid::now_v7().to_string();
            let answer = caller.call_service(daemon, 0, method, "/switch", Some(&key), "on");
            answer.await.is_ok().then(|| intended.elapsed())
        }
    });
    latencies.await.into_iter().flatten().collect()
}

/// Appends directly to a stream of its own.
async fn probe(start: Instant, arrivals: &[Duration], log: Arc<HttpLogService>) -> Latencies {
    let latencies = open_loop(start, arrivals, |_, intended| {
        let log = Arc::clone(&log);
        async move {
            let append = move || log.append("probe", &[0; 150]).is_ok();
            let is_ok = tokio::task::spawn_blocking(append).await.unwrap_or(false);
            is_ok.then(|| intended.elapsed())
        }
    });
    latencies.await.into_iter().flatten().collect()
}

fn report(options: RunOptions, fleets: &[Fleet]) -> Report {
    let [small, large] = fleets else {
        unreachable!("there are two fleets");
    };
    let daemons = (large.daemons - small.daemons) as f64;
    let slope = |of: fn(&Fleet) -> f64| (of(large) - of(small)) / daemons;
    let at_design = |of: fn(&Fleet) -> f64| {
        of(large) + slope(of) * (FLEET_AT_DESIGN_SIZE - large.daemons as f64)
    };
    // Group commit appends to a partition at most once in the interval, however many daemons claim.
    let claims_max = f64::from(PARTITIONS) * 1e3 / CLAIM_INTERVAL_MS as f64;
    let idle_410 = at_design(|fleet| fleet.idle_appends_per_s).max(0.0);
    let claims_410 = at_design(|fleet| fleet.claim_appends_per_s).min(claims_max);
    let ratios = fleets.iter().flat_map(Fleet::ratios);
    let worst = ratios.fold(0.0, f64::max);
    let over_rate = fleets.iter().any(|fleet| fleet.over_rate > 0);
    let failed = fleets.iter().any(|fleet| fleet.failed > 0);
    let limit = f64::from(APPENDS_PER_S);
    Report {
        experiment: EXPERIMENT.name,
        seed: options.seed,
        target: figures(json!({
            "claim_latency_to_append_max": RATIO_MAX, "appends_per_s_410_max": limit,
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
        pass: worst <= RATIO_MAX && idle_410 + claims_410 <= limit && !over_rate && !failed,
    }
}
