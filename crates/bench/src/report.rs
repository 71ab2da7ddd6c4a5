//! Result of an experiment.

use serde::Serialize;
use serde_json::{Map, Value};

/// Named figures; the names carry the unit.
pub(crate) type Figures = Map<String, Value>;

/// Result of one run of an experiment.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    /// Name of the experiment.
    pub(crate) experiment: &'static str,
    /// Seed of the run.
    pub(crate) seed: u64,
    /// Stated targets.
    pub(crate) target: Figures,
    /// What the baselines reached.
    pub(crate) baseline: Figures,
    /// What the product reached.
    pub(crate) product: Figures,
    /// Product divided by baseline.
    pub(crate) ratio: Figures,
    /// Whether the product meets every target.
    pub(crate) pass: bool,
}
