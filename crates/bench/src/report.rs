//! The report that a run of an experiment prints as one line of JSON.

use serde::Serialize;
use serde_json::{Map, Value};

/// Figures by name. A name ends with the unit of its figure, such as `_ms`, if it has one.
pub(crate) type Figures = Map<String, Value>;

/// Result of one run of an experiment. Its field names are the keys of the JSON line.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    /// Name of the experiment on the command line.
    pub(crate) experiment: &'static str,
    /// Seed of the random number generators of the run.
    pub(crate) seed: u64,
    /// Limits that the product has to meet, under the names of the product's figures where one
    /// figure has one limit.
    pub(crate) target: Figures,
    /// Figures of the baselines; empty if the experiment has none.
    pub(crate) baseline: Figures,
    /// Figures of the product.
    pub(crate) product: Figures,
    /// Figures of the product divided by those of the baseline.
    pub(crate) ratio: Figures,
    /// Whether the product meets every target.
    pub(crate) pass: bool,
}
