//! Bytes over store links per reused token.
//!
//! The baselines import every stored block that the chosen engine lacks and export every block it
//! seals. Imports and exports both count.

use super::RunOptions;
use super::model::{LINK_BUDGET_SHARE, LINK_BYTES_PER_S};
use super::reuse::WEIGHTS;
use super::strategies::{Baseline, BaselineStrategy, Product};
use super::trace_run::{Outcome, run};
use super::workload::{BATCH_MIX, generate};
use crate::report::{Figures, Report};

const RATIO_MAX: f64 = 0.8;
/// 30 minutes of load; the first quarter, in which the caches of the engines fill, is not measured.
const REQUESTS: usize = 160_000;
const REQUESTS_LONG: usize = 400_000;
/// 5 requests/s per engine.
const RATE_PER_S: f64 = 90.0;

/// Runs the experiment.
pub(super) fn experiment(options: RunOptions) -> Report {
    let requests = if options.long {
        REQUESTS_LONG
    } else {
        REQUESTS
    };
    let trace = generate(options.seed, requests, RATE_PER_S, BATCH_MIX);
    let outcome = run(&trace, &mut Product::new(WEIGHTS, &trace, options.seed));
    let mut baseline = Figures::new();
    let mut best = f64::INFINITY;
    for strategy in Baseline::ALL {
        let mut runner = BaselineStrategy::new(strategy, true, &trace, options.seed);
        let reached = run(&trace, &mut runner);
        best = best.min(bytes_per_reused_token(&reached));
        figures(&mut baseline, &format!("{}_", strategy.name()), &reached);
    }
    let budget = LINK_BYTES_PER_S * LINK_BUDGET_SHARE;
    let ratio_to_best = bytes_per_reused_token(&outcome) / best;
    let of_budget = outcome.peak_link_bytes_per_s / budget;
    let mut product = Figures::new();
    figures(&mut product, "", &outcome);
    let mut target = Figures::new();
    target.insert("bytes_per_reused_token_ratio_max".into(), RATIO_MAX.into());
    target.insert("peak_10_s_share_of_budget_max".into(), 1.0.into());
    target.insert("duplicate_block_imports_max".into(), 0.into());
    let mut ratio = Figures::new();
    ratio.insert("bytes_per_reused_token".into(), ratio_to_best.into());
    ratio.insert("peak_10_s_share_of_budget".into(), of_budget.into());
    Report {
        experiment: "link",
        seed: options.seed,
        target,
        baseline,
        product,
        ratio,
        pass: ratio_to_best <= RATIO_MAX && of_budget <= 1.0 && outcome.duplicate_imports == 0,
    }
}

fn bytes_per_reused_token(outcome: &Outcome) -> f64 {
    outcome.link_bytes as f64 / outcome.reused_tokens as f64
}

fn figures(figures: &mut Figures, prefix: &str, outcome: &Outcome) {
    let mut add = |name: &str, value: serde_json::Value| {
        figures.insert(format!("{prefix}{name}"), value);
    };
    add(
        "bytes_per_reused_token",
        bytes_per_reused_token(outcome).into(),
    );
    add(
        "peak_10_s_bytes_per_s",
        outcome.peak_link_bytes_per_s.into(),
    );
    add("duplicate_block_imports", outcome.duplicate_imports.into());
    add("in_place_blocks", outcome.in_place_blocks.into());
    add("imported_blocks", outcome.imported_blocks.into());
}
