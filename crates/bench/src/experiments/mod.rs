//! The experiments, one file each.

mod first_token;
mod link;
mod load;
mod log_outage;
mod model;
mod model_check;
mod once;
mod once_cost;
mod reuse;
mod silent_connection;
mod simulation;
mod strategies;
mod whole_answer;
mod workload;

use crate::report::Report;

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunOptions {
    /// Seed of every random choice.
    pub(crate) seed: u64,
    /// Runs the long variant.
    pub(crate) long: bool,
}

/// One experiment.
pub(crate) struct Experiment {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// One line about what it measures.
    pub(crate) about: &'static str,
    /// Runs baseline and product.
    pub(crate) run: fn(RunOptions) -> Report,
}

/// All experiments in the order of the listing.
pub(crate) const ALL: &[Experiment] = &[
    Experiment {
        name: "reuse",
        about: "share of prompt work that is recomputed",
        run: reuse::experiment,
    },
    Experiment {
        name: "link",
        about: "bytes over store links per reused token",
        run: link::experiment,
    },
    Experiment {
        name: "first-token",
        about: "time to first token at 80% load",
        run: first_token::experiment,
    },
    model_check::EXPERIMENT,
    once::EXPERIMENT,
    once_cost::EXPERIMENT,
    whole_answer::EXPERIMENT,
    silent_connection::EXPERIMENT,
    log_outage::EXPERIMENT,
];
