//! Registry of the experiments, each in a module of its own, and the modules that they share.

mod budgets;
mod capacity;
mod cold_start;
mod config;
mod decide_cost;
mod domain;
mod domain_loss;
mod domain_out;
mod drive;
mod first_token;
mod health_checks;
mod link;
mod load;
mod log_outage;
mod membership;
mod model_check;
mod noisy_neighbour;
mod once;
mod once_cost;
mod overhead;
mod recovery;
mod reuse;
mod serving_simulation;
mod shutdown;
mod silent_connection;
mod simulated_network;
mod stale_hints;
mod strategies;
mod trace_run;
mod whole_answer;
mod workload;

use crate::report::Report;

/// Command-line options of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunOptions {
    /// Seed of the random number generators.
    pub(crate) seed: u64,
    /// Whether to run the long variant; ignored by experiments that have none.
    pub(crate) long: bool,
}

/// Entry of an experiment in [`ALL`].
pub(crate) struct Experiment {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// One line for `anvilgw-bench list` that says what the experiment measures.
    pub(crate) about: &'static str,
    /// Runs baseline and product and compares the product's figures with the targets.
    pub(crate) run: fn(RunOptions) -> Report,
}

/// All experiments in the order of `anvilgw-bench list`.
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
    Experiment {
        name: "noisy-neighbour",
        about: "latency of a small workspace beside a flooding one",
        run: noisy_neighbour::experiment,
    },
    Experiment {
        name: "cold-start",
        about: "load on cold servers and time to full capacity",
        run: cold_start::experiment,
    },
    Experiment {
        name: "stale-hints",
        about: "blocks read through outdated hints",
        run: stale_hints::experiment,
    },
    Experiment {
        name: "decide-cost",
        about: "processor time of one routing decision",
        run: decide_cost::experiment,
    },
    model_check::EXPERIMENT,
    capacity::EXPERIMENT,
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
    once::EXPERIMENT,
    overhead::EXPERIMENT,
    config::EXPERIMENT,
    domain_out::EXPERIMENT,
    domain_loss::EXPERIMENT,
    recovery::EXPERIMENT,
    shutdown::EXPERIMENT,
    once_cost::EXPERIMENT,
    whole_answer::EXPERIMENT,
    silent_connection::EXPERIMENT,
    log_outage::EXPERIMENT,
];
