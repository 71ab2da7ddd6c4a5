//! A failure domain is taken out of service and returned under load.

use super::domain::{
    AFFECTED_DOMAIN, AFFECTED_DOMAIN_NAME, BALANCER_LAG, OUTPUT_TOKENS, PROMPT_WORDS, WARM_UP,
    first_token_p95_ms, load, start_bed, start_load,
};
use super::drive::{Balancer, Sample, add_request_figures, failures, runtime};
use super::health_checks::HealthCheckedEngines;
use super::{Experiment, RunOptions};
use crate::report::{Figures, Report};
use anvilgw_testbed::Testbed;
use serde_json::json;
use std::time::{Duration, Instant};

pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "domain-out",
    about: "a failure domain is taken out of service and returned at 60% load",
    run,
};

const LAST_NEW_WORK_LIMIT_S: f64 = 3.0;
const P95_RATIO_LIMIT: f64 = 1.3;
/// Time at which the domain is taken out, relative to the start of the load.
const DOMAIN_OUT_AT: Duration = Duration::from_secs(7);
/// Time at which the domain is returned, relative to the start of the load.
const DOMAIN_IN_AT: Duration = Duration::from_secs(13);
const LOAD_DURATION: Duration = Duration::from_secs(18);
/// Interval in which the request counters of the domain's engines are read.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The product's callers make one attempt, since no request may fail.
const ATTEMPTS_PER_REQUEST: u32 = 1;

/// Result of the run of the product or of the baseline.
struct RunResult {
    samples: Vec<Sample>,
    /// Time from taking the domain out to the last new request on its engines.
    last_new_work: Duration,
}

impl RunResult {
    /// Returns the 95th percentile of the time to first token while the domain is out and after its
    /// return, each relative to the one before.
    fn ratios(&self) -> [f64; 2] {
        let before = first_token_p95_ms(&self.samples, WARM_UP, DOMAIN_OUT_AT);
        [(DOMAIN_OUT_AT, DOMAIN_IN_AT), (DOMAIN_IN_AT, LOAD_DURATION)]
            .map(|(from, to)| first_token_p95_ms(&self.samples, from, to) / before)
    }

    fn figures(&self) -> Figures {
        let [out, back] = self.ratios();
        let mut figures = Figures::from_iter([
            (
                "last_new_work_s".to_owned(),
                json!(self.last_new_work.as_secs_f64()),
            ),
            ("failures".to_owned(), json!(failures(&self.samples))),
            (
                "p95_before_ms".to_owned(),
                json!(first_token_p95_ms(&self.samples, WARM_UP, DOMAIN_OUT_AT)),
            ),
            ("p95_ratio_out".to_owned(), json!(out)),
            ("p95_ratio_in".to_owned(), json!(back)),
        ]);
        add_request_figures(&mut figures, &self.samples);
        figures
    }
}

fn run(options: RunOptions) -> Report {
    let runtime = runtime();
    let (baseline, product) = runtime.block_on(async {
        let bed = start_bed().await;
        let product = run_product(&bed, options.seed).await;
        let baseline = run_baseline(&bed, options.seed).await;
        bed.stop().await;
        (baseline, product)
    });
    runtime.shutdown_background();
    let [out, back] = product.ratios();
    let last_new_work_s = product.last_new_work.as_secs_f64();
    let pass = last_new_work_s <= LAST_NEW_WORK_LIMIT_S
        && failures(&product.samples) == 0
        && out <= P95_RATIO_LIMIT
        && back <= P95_RATIO_LIMIT;
    Report {
        experiment: EXPERIMENT.name,
        seed: options.seed,
        target: Figures::from_iter([
            ("last_new_work_s".to_owned(), json!(LAST_NEW_WORK_LIMIT_S)),
            ("failures".to_owned(), json!(0)),
            ("p95_ratio_out".to_owned(), json!(P95_RATIO_LIMIT)),
            ("p95_ratio_in".to_owned(), json!(P95_RATIO_LIMIT)),
        ]),
        baseline: baseline.figures(),
        product: product.figures(),
        ratio: Figures::new(),
        pass,
    }
}

/// Takes the domain out and returns it by configuration changes, with the load on the daemons.
async fn run_product(bed: &Testbed, seed: u64) -> RunResult {
    let balancer = Balancer::start(bed, BALANCER_LAG);
    let samples = start_load(&balancer, load(seed, LOAD_DURATION), ATTEMPTS_PER_REQUEST);
    tokio::time::sleep(DOMAIN_OUT_AT).await;
    let taken_out = Instant::now();
    change_domain(bed, "domain_out").await;
    let last_new_work = last_new_work(bed, taken_out).await;
    change_domain(bed, "domain_in").await;
    RunResult {
        samples: samples.await.expect("the load does not panic"),
        last_new_work,
    }
}

/// Disconnects the domain's engines without notice, so that only the health checks find out, and
/// restores them later.
async fn run_baseline(bed: &Testbed, seed: u64) -> RunResult {
    let checked = HealthCheckedEngines::start(bed);
    let samples = checked.start_load(load(seed, LOAD_DURATION), PROMPT_WORDS, OUTPUT_TOKENS);
    tokio::time::sleep(DOMAIN_OUT_AT).await;
    let taken_out = Instant::now();
    bed.engines_in(AFFECTED_DOMAIN)
        .for_each(|engine| engine.disconnect());
    let last_new_work = last_new_work(bed, taken_out).await;
    bed.engines_in(AFFECTED_DOMAIN)
        .for_each(|engine| engine.restore());
    RunResult {
        samples: samples.await.expect("the load does not panic"),
        last_new_work,
    }
}

/// Changes the configuration of the domain through a daemon. `verb` is `domain_out` or `domain_in`.
async fn change_domain(bed: &Testbed, verb: &str) {
    let version = bed.newest_config_version();
    let change = json!({ verb: AFFECTED_DOMAIN_NAME });
    let answer = bed.caller().publish_change(0, version, &change).await;
    let answer = answer.expect("the daemon answers the operator");
    assert!(answer["verdict"] == "accepted", "{answer}");
}

/// Watches the engines of the domain until it is due to return. Returns the time from taking the
/// domain out to the last new request on them.
async fn last_new_work(bed: &Testbed, taken_out: Instant) -> Duration {
    let accepted = || -> u64 {
        let engines = bed.engines_in(AFFECTED_DOMAIN);
        engines.map(|engine| engine.counters().accepted).sum()
    };
    let (mut count, mut last) = (accepted(), Duration::ZERO);
    while taken_out.elapsed() < DOMAIN_IN_AT - DOMAIN_OUT_AT {
        tokio::time::sleep(POLL_INTERVAL).await;
        let now = accepted();
        if now != count {
            (count, last) = (now, taken_out.elapsed());
        }
    }
    last
}
