//! The experiments, one file each.

mod budgets;
mod member_net;
mod membership;

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
        name: "membership",
        about: "detection time, false removals, traffic, processor time and memory by fleet size",
        run: membership::run,
    },
    Experiment {
        name: "budgets",
        about: "sum of shares under partitions and kills, and reclaim of idle share",
        run: budgets::run,
    },
];
