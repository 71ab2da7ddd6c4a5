//! Every daemon is replaced, one after another, under load.
//!
//! The balancer learns of readiness with a lag. The baseline kills the daemons without a drain.

use super::domain::{BALANCER_LAG, DAEMONS, WARM_UP, bed_with_lag, drive, load};
use super::drive::{Balancer, Sample, failures, first_tokens, note_requests, quantile_ms, runtime};
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
/// Time that a draining daemon still takes work: twice the lag of the balancer and its probes.
const DRAIN_LAG_MS: u64 = 1_200;
/// Undisturbed load before the first replacement.
const UNDISTURBED: Duration = Duration::from_secs(7);
/// Time between two replacements of the baseline.
const KILL_PAUSE: Duration = Duration::from_millis(1_500);
/// Longest run of a load; it covers the replacement of all daemons.
const PRODUCT_END: Duration = Duration::from_secs(32);
const BASELINE_END: Duration = Duration::from_secs(18);
/// The cut requests are counted, so callers do not try again.
const ATTEMPTS: u32 = 1;

/// What one way of replacing reached.
struct Reached {
    samples: Vec<Sample>,
    /// Requests that the daemons cut by their own count.
    interrupted: usize,
    /// When the last daemon was replaced.
    replaced: Duration,
}

fn run(options: RunOptions) -> Report {
    let runtime = runtime();
    let (baseline, product) = runtime.block_on(async {
        let mut bed = bed_with_lag(DRAIN_LAG_MS).await;
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

async fn replace_all(bed: &mut Testbed, seed: u64, gracefully: bool) -> Reached {
    let balancer = Balancer::start(bed, BALANCER_LAG);
    let end = if gracefully {
        PRODUCT_END
    } else {
        BASELINE_END
    };
    let started = Instant::now();
    let samples = drive(&balancer, load(seed, end), ATTEMPTS);
    tokio::time::sleep(UNDISTURBED).await;
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
    let replaced = started.elapsed();
    Reached {
        samples: samples.await.expect("the load does not panic"),
        interrupted,
        replaced,
    }
}

impl Reached {
    /// 99th percentile of the time to first token during the replacement or before it.
    fn p99_ms(&self, disturbed: bool) -> f64 {
        let (from, to) = match disturbed {
            true => (UNDISTURBED, self.replaced),
            false => (WARM_UP, UNDISTURBED),
        };
        quantile_ms(first_tokens(&self.samples, from, to), 0.99)
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
                json!(self.replaced.as_secs_f64()),
            ),
        ]);
        note_requests(&mut figures, &self.samples);
        figures
    }
}
