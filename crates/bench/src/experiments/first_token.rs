//! Time to first token at 80% load.
//!
//! At 8 requests/s of 270 tokens each, an engine has 80% of its decode slots in use.

use super::RunOptions;
use super::strategies::{Baseline, BaselineStrategy, GatewayStrategy};
use super::trace_run::{TraceSummary, run_trace};
use super::workload::{INTERACTIVE_MIX, generate_trace};
use crate::report::{Figures, Report};
use anvilgw_router::CostWeights;

const P95_MS_MAX: f64 = 320.0;
const P95_RATIO_MAX: f64 = 0.7;
const REQUESTS: usize = 60_000;
const REQUESTS_LONG: usize = 600_000;
const RATE_PER_S: f64 = 8.0 * 18.0;

/// Weights of a deployment whose main concern is the time to first token.
const WEIGHTS: CostWeights = CostWeights {
    per_ttft_s: 1.0,
    per_1k_recomputed_tokens: 0.002,
    per_link_gb: 0.005,
};

/// Measures the gateway's time to first token against that of the best baseline.
pub(super) fn experiment(options: RunOptions) -> Report {
    let requests = if options.long {
        REQUESTS_LONG
    } else {
        REQUESTS
    };
    let trace = generate_trace(options.seed, requests, RATE_PER_S, INTERACTIVE_MIX);
    let gateway = run_trace(
        &trace,
        &mut GatewayStrategy::new(WEIGHTS, &trace, options.seed),
    );
    let mut baseline = Figures::new();
    let mut best = f64::INFINITY;
    for strategy in Baseline::ALL {
        for eager in [false, true] {
            let mut runner = BaselineStrategy::new(strategy, eager, &trace, options.seed);
            let summary = run_trace(&trace, &mut runner);
            best = best.min(summary.ttft_p95_ms);
            let stores = if eager { "_eager_import" } else { "" };
            let prefix = format!("{}{stores}_", strategy.name());
            insert_figures(&mut baseline, &prefix, &summary);
        }
    }
    let ratio_to_best = gateway.ttft_p95_ms / best;
    let mut product = Figures::new();
    insert_figures(&mut product, "", &gateway);
    let mut target = Figures::new();
    target.insert("ttft_p95_ms_max".into(), P95_MS_MAX.into());
    target.insert("ttft_p95_ratio_to_best_max".into(), P95_RATIO_MAX.into());
    let mut ratio = Figures::new();
    ratio.insert("ttft_p95_to_best_baseline".into(), ratio_to_best.into());
    Report {
        experiment: "first-token",
        seed: options.seed,
        target,
        baseline,
        product,
        ratio,
        pass: gateway.ttft_p95_ms <= P95_MS_MAX && ratio_to_best <= P95_RATIO_MAX,
    }
}

fn insert_figures(figures: &mut Figures, prefix: &str, summary: &TraceSummary) {
    figures.insert(format!("{prefix}ttft_p50_ms"), summary.ttft_p50_ms.into());
    figures.insert(format!("{prefix}ttft_p95_ms"), summary.ttft_p95_ms.into());
    figures.insert(format!("{prefix}ttft_p99_ms"), summary.ttft_p99_ms.into());
}
