//! Bytes over the links of the stores per reused token.
//!
//! The baselines import every stored block that the chosen engine lacks and export every block it
//! seals. Both imports and exports count.

use super::RunOptions;
use super::reuse::WEIGHTS;
use super::serving_simulation::{LINK_BUDGET_SHARE, LINK_BYTES_PER_S};
use super::strategies::{Baseline, BaselineStrategy, GatewayStrategy};
use super::trace_run::{TraceSummary, run_trace};
use super::workload::{BATCH_MIX, generate_trace};
use crate::report::{Figures, Report};

const LINK_BYTES_RATIO_MAX: f64 = 0.8;
/// 30 minutes of load; the first quarter, in which the caches of the engines fill, is not measured.
const REQUESTS: usize = 160_000;
const REQUESTS_LONG: usize = 400_000;
/// 5 requests/s per engine.
const RATE_PER_S: f64 = 90.0;

/// Measures the gateway's link traffic against that of the best baseline.
pub(super) fn experiment(options: RunOptions) -> Report {
    let requests = if options.long {
        REQUESTS_LONG
    } else {
        REQUESTS
    };
    let trace = generate_trace(options.seed, requests, RATE_PER_S, BATCH_MIX);
    let gateway = run_trace(
        &trace,
        &mut GatewayStrategy::new(WEIGHTS, &trace, options.seed),
    );
    let mut baseline = Figures::new();
    let mut best = f64::INFINITY;
    for strategy in Baseline::ALL {
        let mut runner = BaselineStrategy::new(strategy, true, &trace, options.seed);
        let summary = run_trace(&trace, &mut runner);
        best = best.min(bytes_per_reused_token(&summary));
        insert_figures(&mut baseline, &format!("{}_", strategy.name()), &summary);
    }
    let budget = LINK_BYTES_PER_S * LINK_BUDGET_SHARE;
    let ratio_to_best = bytes_per_reused_token(&gateway) / best;
    let peak_share_of_budget = gateway.peak_link_bytes_per_s / budget;
    let mut product = Figures::new();
    insert_figures(&mut product, "", &gateway);
    let mut target = Figures::new();
    target.insert(
        "bytes_per_reused_token_ratio_max".into(),
        LINK_BYTES_RATIO_MAX.into(),
    );
    target.insert("peak_10_s_share_of_budget_max".into(), 1.0.into());
    target.insert("duplicate_block_imports_max".into(), 0.into());
    let mut ratio = Figures::new();
    ratio.insert("bytes_per_reused_token".into(), ratio_to_best.into());
    ratio.insert(
        "peak_10_s_share_of_budget".into(),
        peak_share_of_budget.into(),
    );
    Report {
        experiment: "link",
        seed: options.seed,
        target,
        baseline,
        product,
        ratio,
        pass: ratio_to_best <= LINK_BYTES_RATIO_MAX
            && peak_share_of_budget <= 1.0
            && gateway.duplicate_imports == 0,
    }
}

fn bytes_per_reused_token(summary: &TraceSummary) -> f64 {
    summary.link_bytes as f64 / summary.reused_tokens as f64
}

fn insert_figures(figures: &mut Figures, prefix: &str, summary: &TraceSummary) {
    let mut add = |name: &str, value: serde_json::Value| {
        figures.insert(format!("{prefix}{name}"), value);
    };
    add(
        "bytes_per_reused_token",
        bytes_per_reused_token(summary).into(),
    );
    add(
        "peak_10_s_bytes_per_s",
        summary.peak_link_bytes_per_s.into(),
    );
    add("duplicate_block_imports", summary.duplicate_imports.into());
    add("in_place_blocks", summary.in_place_blocks.into());
    add("imported_blocks", summary.imported_blocks.into());
}
