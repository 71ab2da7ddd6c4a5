//! Decides how full the memory of an engine may be when a generation is admitted to it.
//!
//! An engine that runs out of memory preempts generations and recomputes their prompts, which
//! delays all of its generations. Some memory is therefore kept free, partly for more urgent
//! requests and partly for routes with light requests: light requests need little memory, and
//! refusing them frees hardly any. The size of the individual request does not matter, so within a
//! route large requests are refused no more often than small ones.

use indexmap::IndexMap;

/// Fraction of the memory up to which the most urgent requests of the lightest routes are admitted.
const FILLED_FRACTION_MAX: f64 = 0.92;
/// Fraction of the memory that each urgency level leaves free for the level above it.
const URGENCY_LEVEL_FRACTION: f64 = 0.03;
/// Largest distinct value of `urgency`. Larger values, which are less urgent, are treated like it.
const URGENCY_LEVEL_MAX: u8 = 3;
/// Fraction of the memory that the heaviest routes leave free for the others.
const HEAVY_ROUTE_FRACTION: f64 = 0.12;
/// Mean request size, as a fraction of the memory, from which a route counts as one of the
/// heaviest.
const HEAVY_REQUEST_FRACTION: f64 = 0.08;
/// Fraction of the memory that requests waiting for admission leave free. Otherwise daemons that
/// check at the same time would all claim the same free memory.
const WAITING_FRACTION: f64 = 0.04;
/// Weight of the newest request in the moving average of its route.
const MEAN_SMOOTHING: f64 = 0.02;

/// A request that has to be admitted to an engine's memory.
#[derive(Clone, Copy, Debug)]
pub struct MemoryRequest<'a> {
    /// Route of the request.
    pub route: &'a str,
    /// Urgency level; 0 is the most urgent.
    pub urgency: u8,
    /// Whether the request was refused before and is waiting.
    pub is_waiting: bool,
}

/// Decides on admission, based on the mean request size of each route.
#[derive(Clone, Debug, Default)]
pub struct MemoryAdmission {
    mean_tokens: IndexMap<String, f64>,
}

impl MemoryAdmission {
    /// Records the size of a request, in tokens.
    pub fn on_request(&mut self, route: &str, tokens: u64) {
        let tokens = tokens as f64;
        match self.mean_tokens.get_mut(route) {
            Some(mean) => *mean += MEAN_SMOOTHING * (tokens - *mean),
            None => {
                self.mean_tokens.insert(route.to_owned(), tokens);
            }
        }
    }

    /// Returns the number of tokens on an engine up to which the request is admitted. A capacity of
    /// zero means that the engine's memory is not known; such an engine admits any request.
    #[must_use]
    pub fn limit_tokens(&self, request: &MemoryRequest<'_>, capacity_tokens: u64) -> f64 {
        if capacity_tokens == 0 {
            return f64::INFINITY;
        }
        let capacity = capacity_tokens as f64;
        let mean = self.mean_tokens.get(request.route).copied().unwrap_or(0.0);
        let heaviness = (mean / (capacity * HEAVY_REQUEST_FRACTION)).min(1.0);
        let urgency_level = f64::from(request.urgency.min(URGENCY_LEVEL_MAX));
        let waiting_fraction = if request.is_waiting {
            WAITING_FRACTION
        } else {
            0.0
        };
        let free_fraction = urgency_level * URGENCY_LEVEL_FRACTION
            + heaviness * HEAVY_ROUTE_FRACTION
            + waiting_fraction;
        capacity * (FILLED_FRACTION_MAX - free_fraction)
    }
}
