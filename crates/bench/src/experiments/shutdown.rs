//! Every daemon is replaced, one after another, under load.
//!
//! The balancer learns of changes in readiness with a lag. The baseline kills the daemons without a
//! drain.

use super::domain::{BALANCER_LAG, DAEMONS, WARM_UP, load, start_bed_with_drain_lag, start_load};
use super::drive::{
    Balancer, Sample, add_request_figures, failures, first_token_times, quantile_ms, runtime,
};
use super::{Experiment, RunOptions};
use crate::report::{Figures, Report};
use anvilgw_testbed::Testbed;
use serde_json::json;
use std::time::{Duration, Instant};

pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "shutdown",
    about: "every daemon is replaced under load, with a balancer that reacts with a lag",
    run,
};

const P99_RATIO_LIMIT: f64 = 1.2;
/// Time for which a draining daemon accepts requests: twice the lag of the balancer and its probes.
const DRAIN_LAG_MS: u64 = 1_200;
/// Undisturbed load before the first replacement.
const UNDISTURBED_TIME: Duration = Duration::from_secs(7);
/// Pause between two replacements in the baseline.
const KILL_PAUSE: Duration = Duration::from_millis(1_500);
/// Duration of the product's load; it covers the replacement of all daemons.
const PRODUCT_LOAD_DURATION: Duration = Duration::from_secs(32);
/// Duration of the baseline's load; it covers the replacement of all daemons.
const BASELINE_LOAD_DURATION: Duration = Duration::from_secs(18);
/// Callers make one attempt, because a retry would hide an interrupted request.
const ATTEMPTS_PER_REQUEST: u32 = 1;

/// Result of the run of the product or of the baseline.
struct RunResult {
    samples: Vec<Sample>,
    /// Requests that the daemons report as interrupted by their shutdown.
    interrupted: usize,
    /// Time from the start of the load until the last daemon was replaced.
    replaced_after: Duration,
}

fn run(options: RunOptions) -> Report {
    let runtime = runtime();
    let (baseline, product) = runtime.block_on(async {
        let mut bed = start_bed_with_drain_lag(DRAIN_LAG_MS).await;
        let product = replace_all(&mut bed, options.seed, true).await;
        let baseline = replace_all(&mut bed, options.seed, false).await;
        bed.stop().await;
        (baseline, product)
    });
    runtime.shutdown_background();
    let cut = failures(&product.samples) + product.interrupted;
    let ratio = product.p99_ms(true) / product.p99_ms(false);
    Report {
        experiment: EXPERIMENT.name,
        seed: options.seed,
        target: Figures::from_iter([
            ("cut_requests".to_owned(), json!(0)),
            ("p99_ratio".to_owned(), json!(P99_RATIO_LIMIT)),
        ]),
        baseline: baseline.figures(),
        product: product.figures(),
        ratio: Figures::new(),
        pass: cut == 0 && ratio <= P99_RATIO_LIMIT,
    }
}

/// Replaces all daemons one after another under load, with a drain if `gracefully` and with a kill
/// otherwise.
async fn replace_all(bed: &mut Testbed, seed: u64, gracefully: bool) -> RunResult {
    let balancer = Balancer::start(bed, BALANCER_LAG);
    let load_duration = if gracefully {
        PRODUCT_LOAD_DURATION
    } else {
        BASELINE_LOAD_DURATION
    };
    let started = Instant::now();
    let samples = start_load(&balancer, load(seed, load_duration), ATTEMPTS_PER_REQUEST);
    tokio::time::sleep(UNDISTURBED_TIME).await;
    let mut interrupted = 0;
    for index in 0..DAEMONS {
        if gracefully {
            let shutdown = bed.shutdown_daemon(index).await;
            interrupted += shutdown.map_or(0, |shutdown| shutdown.interrupted);
        } else {
            bed.kill_daemon(index).await;
        }
        bed.start_daemon(index).await.expect("a daemon starts");
        bed.wait_ready()
            .await
            .expect("the new daemon becomes ready");
        if !gracefully {
            tokio::time::sleep(KILL_PAUSE).await;
        }
    }
    let replaced_after = started.elapsed();
    RunResult {
        samples: samples.await.expect("the load does not panic"),
        interrupted,
        replaced_after,
    }
}

impl RunResult {
    /// Returns the 99th percentile of the time to first token during the replacement or before it.
    fn p99_ms(&self, during_replacement: bool) -> f64 {
        let (from, to) = match during_replacement {
            true => (UNDISTURBED_TIME, self.replaced_after),
            false => (WARM_UP, UNDISTURBED_TIME),
        };
        quantile_ms(first_token_times(&self.samples, from, to), 0.99)
    }

    fn figures(&self) -> Figures {
        let cut = failures(&self.samples) + self.interrupted;
        let ratio = self.p99_ms(true) / self.p99_ms(false);
        let mut figures = Figures::from_iter([
            ("cut_requests".to_owned(), json!(cut)),
            ("p99_undisturbed_ms".to_owned(), json!(self.p99_ms(false))),
            ("p99_ratio".to_owned(), json!(ratio)),
            (
                "replaced_after_s".to_owned(),
                json!(self.replaced_after.as_secs_f64()),
            ),
        ]);
        add_request_figures(&mut figures, &self.samples);
        figures
    }
}
