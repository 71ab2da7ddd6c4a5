//! Time to first token at 80% load.
//!
//! 8 requests/s of 270 tokens per engine are 80% of the requests that it decodes at once.

use super::RunOptions;
use super::strategies::{Baseline, BaselineStrategy, Product};
use super::trace_run::{Outcome, run};
use super::workload::{INTERACTIVE_MIX, generate};
use crate::report::{Figures, Report};
use anvilgw_router::CostWeights;

const P95_MS_MAX: f64 = 320.0;
const RATIO_MAX: f64 = 0.7;
const REQUESTS: usize = 60_000;
const REQUESTS_LONG: usize = 600_000;
const RATE_PER_S: f64 = 8.0 * 18.0;

/// Weights of a deployment whose main concern is the time to first token.
const WEIGHTS: CostWeights = CostWeights {
    per_ttft_s: 1.0,
    per_1k_recomputed_tokens: 0.002,
    per_link_gb: 0.005,
};

/// Runs the experiment.
pub(super) fn experiment(options: RunOptions) -> Report {
    let requests = if options.long {
        REQUESTS_LONG
    } else {
        REQUESTS
    };
    let trace = generate(options.seed, requests, RATE_PER_S, INTERACTIVE_MIX);
    let outcome = run(&trace, &mut Product::new(WEIGHTS, &trace, options.seed));
    let mut baseline = Figures::new();
    let mut best = f64::INFINITY;
    for strategy in Baseline::ALL {
        for eager in [false, true] {
            let mut runner = BaselineStrategy::new(strategy, eager, &trace, options.seed);
            let reached = run(&trace, &mut runner);
            best = best.min(reached.ttft_p95_ms);
            let stores = if eager { "_eager_import" } else { "" };
            let prefix = format!("{}{stores}_", strategy.name());
            figures(&mut baseline, &prefix, &reached);
        }
    }
    let ratio_to_best = outcome.ttft_p95_ms / best;
    let mut product = Figures::new();
    figures(&mut product, "", &outcome);
    let mut target = Figures::new();
    target.insert("ttft_p95_ms_max".into(), P95_MS_MAX.into());
    target.insert("ttft_p95_ratio_to_best_max".into(), RATIO_MAX.into());
    let mut ratio = Figures::new();
    ratio.insert("ttft_p95_to_best_baseline".into(), ratio_to_best.into());
    Report {
        experiment: "first-token",
        seed: options.seed,
        target,
        baseline,
        product,
        ratio,
        pass: outcome.ttft_p95_ms <= P95_MS_MAX && ratio_to_best <= RATIO_MAX,
    }
}

fn figures(figures: &mut Figures, prefix: &str, outcome: &Outcome) {
    figures.insert(format!("{prefix}ttft_p50_ms"), outcome.ttft_p50_ms.into());
    figures.insert(format!("{prefix}ttft_p95_ms"), outcome.ttft_p95_ms.into());
    figures.insert(format!("{prefix}ttft_p99_ms"), outcome.ttft_p99_ms.into());
}
