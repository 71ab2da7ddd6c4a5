//! A failure domain dies unannounced under load: its engines, service servers and daemons at once.

use super::domain::{
    BALANCER_LAG, DAEMONS, DOMAIN, TOKENS, WARM_UP, WORDS, bed, drive, load, p95_ms,
};
use super::drive::{Balancer, Sample, failures, note_requests, runtime};
use super::health_checks::HealthChecked;
use super::{Experiment, RunOptions};
use crate::report::{Figures, Report};
use anvilgw_testbed::Testbed;
use serde_json::json;
use std::time::Duration;

pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "domain-loss",
    about: "everything in a failure domain dies unannounced at 60% load",
    run,
};

const RECOVERY_LIMIT_S: f64 = 5.0;
const P95_RATIO_LIMIT: f64 = 1.3;
/// Times of the loss and of the end, since the start of the load.
const LOSS: Duration = Duration::from_secs(9);
const END: Duration = Duration::from_secs(20);
/// Arrivals from here on may still be open at the loss: an answer takes 1.6 s. What they see belongs
/// neither to the time before nor to the time after.
const LAST_UNDISTURBED: Duration = Duration::from_secs(7);
/// Stretch of arrivals of which the percentile is taken: about 140 requests.
const WINDOW: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(250);
/// Attempts of a caller for an idempotent request.
const ATTEMPTS: u32 = 4;

fn run(options: RunOptions) -> Report {
    let runtime = runtime();
    let (baseline, product) = runtime.block_on(async {
        let mut bed = bed().await;
        // The baseline needs no daemons, so it can follow the loss of some.
        let product = product(&mut bed, options.seed).await;
        restore_servers(&bed);
        let baseline = baseline(&bed, options.seed).await;
        bed.stop().await;
        (baseline, product)
    });
    runtime.shutdown_background();
    let lost = failures(&product);
    let recovery = recovery(&product);
    let is_recovered = recovery.is_some_and(|time| time.as_secs_f64() <= RECOVERY_LIMIT_S);
    Report {
        experiment: EXPERIMENT.name,
        seed: options.seed,
        target: Figures::from_iter([
            ("lost".to_owned(), json!(0)),
            ("p95_ratio".to_owned(), json!(P95_RATIO_LIMIT)),
            ("back_under_ratio_s".to_owned(), json!(RECOVERY_LIMIT_S)),
        ]),
        baseline: figures(&baseline),
        product: figures(&product),
        ratio: Figures::new(),
        pass: lost == 0 && is_recovered,
    }
}

async fn product(bed: &mut Testbed, seed: u64) -> Vec<Sample> {
    let balancer = Balancer::start(bed, BALANCER_LAG);
    let samples = drive(&balancer, load(seed, END), ATTEMPTS);
    tokio::time::sleep(LOSS).await;
    lose_servers(bed);
    let domains = bed.config().domains;
    let dead = (0..DAEMONS).filter(|daemon| daemon % domains == DOMAIN);
    let dead: Vec<_> = dead.filter_map(|daemon| bed.take_daemon(daemon)).collect();
    let kills = dead.into_iter().map(anvilgw_entry::Daemon::kill);
    futures_util::future::join_all(kills).await;
    samples.await.expect("the load does not panic")
}

async fn baseline(bed: &Testbed, seed: u64) -> Vec<Sample> {
    let checked = HealthChecked::start(bed);
    let samples = checked.drive(load(seed, END), WORDS, TOKENS);
    tokio::time::sleep(LOSS).await;
    lose_servers(bed);
    samples.await.expect("the load does not panic")
}

fn restore_servers(bed: &Testbed) {
    bed.engines.iter().for_each(|engine| engine.restore());
    bed.services.iter().for_each(|service| service.restore());
}

fn lose_servers(bed: &Testbed) {
    let domains = bed.config().domains;
    bed.engines_in(DOMAIN)
        .for_each(|engine| engine.disconnect());
    let services = bed.services.iter().skip(DOMAIN).step_by(domains);
    services.for_each(|service| service.disconnect());
}

/// Time from the loss until the percentile of each later window is under the limit; `None` if the last
/// one is not.
fn recovery(samples: &[Sample]) -> Option<Duration> {
    let limit = P95_RATIO_LIMIT * p95_ms(samples, WARM_UP, LAST_UNDISTURBED);
    let mut back = Some(Duration::ZERO);
    let mut from = LOSS;
    while from + WINDOW <= END {
        if p95_ms(samples, from, from + WINDOW) > limit {
            back = None;
        } else {
            back = back.or(Some(from - LOSS));
        }
        from += STEP;
    }
    back
}

fn figures(samples: &[Sample]) -> Figures {
    let before = p95_ms(samples, WARM_UP, LAST_UNDISTURBED);
    let back = recovery(samples).map(|time| time.as_secs_f64());
    let first_s = p95_ms(samples, LOSS, LOSS + WINDOW) / before;
    let settled = p95_ms(samples, LOSS + Duration::from_secs(5), END) / before;
    let mut figures = Figures::from_iter([
        ("lost".to_owned(), json!(failures(samples))),
        ("back_under_ratio_s".to_owned(), json!(back)),
        ("p95_before_ms".to_owned(), json!(before)),
        ("p95_ratio_first_second".to_owned(), json!(first_s)),
        ("p95_ratio_after_5_s".to_owned(), json!(settled)),
    ]);
    note_requests(&mut figures, samples);
    figures
}
