//! Under load, the engines, service servers and daemons of a failure domain are killed at once and
//! without a drain.

use super::domain::{
    AFFECTED_DOMAIN, BALANCER_LAG, DAEMONS, OUTPUT_TOKENS, PROMPT_WORDS, WARM_UP,
    first_token_p95_ms, load, start_bed, start_load,
};
use super::drive::{Balancer, Sample, add_request_figures, failures, runtime};
use super::health_checks::HealthCheckedEngines;
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
/// Time of the loss, relative to the start of the load.
const LOSS_AT: Duration = Duration::from_secs(9);
const LOAD_DURATION: Duration = Duration::from_secs(20);
/// End of the undisturbed time. Later arrivals may still be open at the loss, since an answer takes
/// 1.6 s, so they count neither as before nor as after it.
const UNDISTURBED_UNTIL: Duration = Duration::from_secs(7);
/// Length of the arrival window of a percentile: about 140 requests.
const WINDOW: Duration = Duration::from_secs(1);
/// Distance between the starts of two windows.
const STEP: Duration = Duration::from_millis(250);
/// Attempts that a caller makes for a request; completions are idempotent.
const ATTEMPTS_PER_REQUEST: u32 = 4;

fn run(options: RunOptions) -> Report {
    let runtime = runtime();
    let (baseline, product) = runtime.block_on(async {
        let mut bed = start_bed().await;
        // The baseline uses no daemons, so it can run after some were killed.
        let product = run_product(&mut bed, options.seed).await;
        restore_servers(&bed);
        let baseline = run_baseline(&bed, options.seed).await;
        bed.stop().await;
        (baseline, product)
    });
    runtime.shutdown_background();
    let lost = failures(&product);
    let recovery = recovery_time(&product);
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

/// Runs the load through the balancer and daemons and kills the domain.
async fn run_product(bed: &mut Testbed, seed: u64) -> Vec<Sample> {
    let balancer = Balancer::start(bed, BALANCER_LAG);
    let samples = start_load(&balancer, load(seed, LOAD_DURATION), ATTEMPTS_PER_REQUEST);
    tokio::time::sleep(LOSS_AT).await;
    lose_servers(bed);
    let domains = bed.config().domains;
    let dead = (0..DAEMONS).filter(|daemon| daemon % domains == AFFECTED_DOMAIN);
    let dead: Vec<_> = dead.filter_map(|daemon| bed.take_daemon(daemon)).collect();
    let kills = dead.into_iter().map(anvilgw_entry::Daemon::kill);
    futures_util::future::join_all(kills).await;
    samples.await.expect("the load does not panic")
}

/// Runs the load on the health-checked engines and kills those of the domain.
async fn run_baseline(bed: &Testbed, seed: u64) -> Vec<Sample> {
    let checked = HealthCheckedEngines::start(bed);
    let samples = checked.start_load(load(seed, LOAD_DURATION), PROMPT_WORDS, OUTPUT_TOKENS);
    tokio::time::sleep(LOSS_AT).await;
    lose_servers(bed);
    samples.await.expect("the load does not panic")
}

fn restore_servers(bed: &Testbed) {
    bed.engines.iter().for_each(|engine| engine.restore());
    bed.services.iter().for_each(|service| service.restore());
}

fn lose_servers(bed: &Testbed) {
    let domains = bed.config().domains;
    bed.engines_in(AFFECTED_DOMAIN)
        .for_each(|engine| engine.disconnect());
    let services = bed.services.iter().skip(AFFECTED_DOMAIN).step_by(domains);
    services.for_each(|service| service.disconnect());
}

/// Returns the time from the loss to the first window from which on the percentile of every window
/// is within the limit, or `None` if it is not within the limit in the last window.
fn recovery_time(samples: &[Sample]) -> Option<Duration> {
    let limit = P95_RATIO_LIMIT * first_token_p95_ms(samples, WARM_UP, UNDISTURBED_UNTIL);
    let mut back = Some(Duration::ZERO);
    let mut from = LOSS_AT;
    while from + WINDOW <= LOAD_DURATION {
        if first_token_p95_ms(samples, from, from + WINDOW) > limit {
            back = None;
        } else {
            back = back.or(Some(from - LOSS_AT));
        }
        from += STEP;
    }
    back
}

fn figures(samples: &[Sample]) -> Figures {
    let before = first_token_p95_ms(samples, WARM_UP, UNDISTURBED_UNTIL);
    let back = recovery_time(samples).map(|time| time.as_secs_f64());
    let first_s = first_token_p95_ms(samples, LOSS_AT, LOSS_AT + WINDOW) / before;
    let settled =
        first_token_p95_ms(samples, LOSS_AT + Duration::from_secs(5), LOAD_DURATION) / before;
    let mut figures = Figures::from_iter([
        ("lost".to_owned(), json!(failures(samples))),
        ("back_under_ratio_s".to_owned(), json!(back)),
        ("p95_before_ms".to_owned(), json!(before)),
        ("p95_ratio_first_second".to_owned(), json!(first_s)),
        ("p95_ratio_after_5_s".to_owned(), json!(settled)),
    ]);
    add_request_figures(&mut figures, samples);
    figures
}
