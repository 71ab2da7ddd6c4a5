//! A failure domain is taken out of service and returned under load.

use super::domain::{
    BALANCER_LAG, DOMAIN, DOMAIN_NAME, TOKENS, WARM_UP, WORDS, bed, drive, load, p95_ms,
};
use super::drive::{Balancer, Sample, failures, note_requests, runtime};
use super::health_checks::HealthChecked;
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

const LAST_WORK_LIMIT_S: f64 = 3.0;
const P95_RATIO_LIMIT: f64 = 1.3;
/// Times of the switches and of the end, since the start of the load.
const OUT: Duration = Duration::from_secs(7);
const IN: Duration = Duration::from_secs(13);
const END: Duration = Duration::from_secs(18);
/// Interval in which the engines of the domain are asked for new work.
const LOOK: Duration = Duration::from_millis(5);
/// The product's callers try once: nothing may fail.
const ATTEMPTS: u32 = 1;

/// What one way of operating reached.
struct Reached {
    samples: Vec<Sample>,
    /// Time from the switch to the last new work in the domain.
    last_work: Duration,
}

impl Reached {
    fn ratios(&self) -> [f64; 2] {
        let before = p95_ms(&self.samples, WARM_UP, OUT);
        [(OUT, IN), (IN, END)].map(|(from, to)| p95_ms(&self.samples, from, to) / before)
    }

    fn figures(&self) -> Figures {
        let [out, back] = self.ratios();
        let mut figures = Figures::from_iter([
            (
                "last_new_work_s".to_owned(),
                json!(self.last_work.as_secs_f64()),
            ),
            ("failures".to_owned(), json!(failures(&self.samples))),
            (
                "p95_before_ms".to_owned(),
                json!(p95_ms(&self.samples, WARM_UP, OUT)),
            ),
            ("p95_ratio_out".to_owned(), json!(out)),
            ("p95_ratio_in".to_owned(), json!(back)),
        ]);
        note_requests(&mut figures, &self.samples);
        figures
    }
}

fn run(options: RunOptions) -> Report {
    let runtime = runtime();
    let (baseline, product) = runtime.block_on(async {
        let bed = bed().await;
        let product = product(&bed, options.seed).await;
        let baseline = baseline(&bed, options.seed).await;
        bed.stop().await;
        (baseline, product)
    });
    runtime.shutdown_background();
    let [out, back] = product.ratios();
    let last_work_s = product.last_work.as_secs_f64();
    let pass = last_work_s <= LAST_WORK_LIMIT_S
        && failures(&product.samples) == 0
        && out <= P95_RATIO_LIMIT
        && back <= P95_RATIO_LIMIT;
    Report {
        experiment: EXPERIMENT.name,
        seed: options.seed,
        target: Figures::from_iter([
            ("last_new_work_s".to_owned(), json!(LAST_WORK_LIMIT_S)),
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

async fn product(bed: &Testbed, seed: u64) -> Reached {
    let balancer = Balancer::start(bed, BALANCER_LAG);
    let samples = drive(&balancer, load(seed, END), ATTEMPTS);
    tokio::time::sleep(OUT).await;
    let switched = Instant::now();
    switch(bed, "domain_out").await;
    let last_work = last_work(bed, switched).await;
    switch(bed, "domain_in").await;
    Reached {
        samples: samples.await.expect("the load does not panic"),
        last_work,
    }
}

/// The engines are shut off without a word, and health checks find out.
async fn baseline(bed: &Testbed, seed: u64) -> Reached {
    let checked = HealthChecked::start(bed);
    let samples = checked.drive(load(seed, END), WORDS, TOKENS);
    tokio::time::sleep(OUT).await;
    let switched = Instant::now();
    bed.engines_in(DOMAIN)
        .for_each(|engine| engine.disconnect());
    let last_work = last_work(bed, switched).await;
    bed.engines_in(DOMAIN).for_each(|engine| engine.restore());
    Reached {
        samples: samples.await.expect("the load does not panic"),
        last_work,
    }
}

async fn switch(bed: &Testbed, verb: &str) {
    let version = bed.newest_config_version();
    let change = json!({ verb: DOMAIN_NAME });
    let answer = bed.caller().publish_change(0, version, &change).await;
    let answer = answer.expect("the daemon answers the operator");
    assert!(answer["verdict"] == "accepted", "{answer}");
}

/// Watches the engines of the domain until it returns. Gives the time from the switch to the last new
/// request there.
async fn last_work(bed: &Testbed, switched: Instant) -> Duration {
    let accepted = || -> u64 {
        let engines = bed.engines_in(DOMAIN);
        engines.map(|engine| engine.counters().accepted).sum()
    };
    let (mut count, mut last) = (accepted(), Duration::ZERO);
    while switched.elapsed() < IN - OUT {
        tokio::time::sleep(LOOK).await;
        let now = accepted();
        if now != count {
            (count, last) = (now, switched.elapsed());
        }
    }
    last
}
