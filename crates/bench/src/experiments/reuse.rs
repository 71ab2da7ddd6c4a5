//! Share of the prompt tokens that is recomputed.
//!
//! The baselines use the engines' own prefix caches, once without and once with eager imports from
//! the stores. The lower bound is what no strategy can avoid: the tokens after the longest prefix
//! that was ever computed before.

use super::RunOptions;
use super::strategies::{Baseline, BaselineStrategy, GatewayStrategy};
use super::trace_run::{TraceSummary, run_trace};
use super::workload::{BATCH_MIX, generate_trace};
use crate::report::{Figures, Report};
use anvilgw_router::CostWeights;

const BOUND_RATIO_MAX: f64 = 1.10;
const BASELINE_RATIO_MAX: f64 = 0.5;
/// 30 minutes of load; the first quarter, in which the caches of the engines fill, is not measured.
const REQUESTS: usize = 160_000;
const REQUESTS_LONG: usize = 400_000;
/// 5 requests/s per engine.
const RATE_PER_S: f64 = 90.0;

/// Weights of a deployment whose main concerns are recomputed tokens and link use. A second of time
/// to first token costs as much as one recomputed block or the link bytes of six blocks.
pub(super) const WEIGHTS: CostWeights = CostWeights {
    per_ttft_s: 0.2,
    per_1k_recomputed_tokens: 0.05,
    per_link_gb: 0.5,
};

/// Measures the gateway's recomputed tokens against the lower bound and each baseline.
pub(super) fn experiment(options: RunOptions) -> Report {
    let requests = if options.long {
        REQUESTS_LONG
    } else {
        REQUESTS
    };
    let trace = generate_trace(options.seed, requests, RATE_PER_S, BATCH_MIX);
    let product = run_trace(
        &trace,
        &mut GatewayStrategy::new(WEIGHTS, &trace, options.seed),
    );
    let share =
        |summary: &TraceSummary| summary.recomputed_tokens as f64 / summary.prompt_tokens as f64;
    let bound_ratio = product.recomputed_tokens as f64 / product.unavoidable_tokens as f64;
    let mut baseline = Figures::new();
    let mut ratio = Figures::new();
    ratio.insert("recomputed_to_bound".into(), bound_ratio.into());
    let mut pass = bound_ratio <= BOUND_RATIO_MAX;
    for strategy in Baseline::ALL {
        for eager in [false, true] {
            let mut runner = BaselineStrategy::new(strategy, eager, &trace, options.seed);
            let summary = run_trace(&trace, &mut runner);
            let stores = if eager { "_eager_import" } else { "" };
            let name = format!("{}{stores}", strategy.name());
            let key = format!("{name}_recomputed_share");
            baseline.insert(key, share(&summary).into());
            let recomputed_ratio =
                product.recomputed_tokens as f64 / summary.recomputed_tokens as f64;
            ratio.insert(format!("recomputed_to_{name}"), recomputed_ratio.into());
            pass &= eager || recomputed_ratio <= BASELINE_RATIO_MAX;
        }
    }
    let mut target = Figures::new();
    target.insert("recomputed_to_bound_max".into(), BOUND_RATIO_MAX.into());
    let key = "recomputed_to_each_baseline_max";
    target.insert(key.into(), BASELINE_RATIO_MAX.into());
    let mut figures = Figures::new();
    figures.insert("requests".into(), product.requests.into());
    figures.insert("recomputed_share".into(), share(&product).into());
    let bound = product.unavoidable_tokens as f64 / product.prompt_tokens as f64;
    figures.insert("bound_share".into(), bound.into());
    Report {
        experiment: "reuse",
        seed: options.seed,
        target,
        baseline,
        product: figures,
        ratio,
        pass,
    }
}
