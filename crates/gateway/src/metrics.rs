//! Counters and latency histograms, rendered in the Prometheus text format.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use std::cell::RefCell;
use std::fmt::Write;
use std::time::Duration;

/// Longest latency that the histograms distinguish, in milliseconds. Longer ones count as this.
const LATENCY_MAX_MS: u64 = 60_000;
/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 2;
/// Quantiles in the rendered text.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// All metrics of a daemon, created when they are first used.
#[derive(Default)]
pub(crate) struct Metrics {
    counters: RefCell<IndexMap<&'static str, u64>>,
    latencies: RefCell<IndexMap<String, Histogram<u64>>>,
    rejections: RefCell<IndexMap<RejectionLabels, u64>>,
}

/// Labels under which rejections because of the load are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RejectionLabels {
    pub(crate) reason: &'static str,
    pub(crate) urgency: u8,
}

impl Metrics {
    /// Increments a counter.
    pub(crate) fn count(&self, name: &'static str) {
        *self.counters.borrow_mut().entry(name).or_default() += 1;
    }

    /// Counts a request that is rejected because of the load.
    pub(crate) fn count_rejection(&self, labels: RejectionLabels) {
        *self.rejections.borrow_mut().entry(labels).or_default() += 1;
    }

    /// Records a latency in the histogram of the given `kind` label.
    pub(crate) fn record_latency(&self, label: &str, latency: Duration) {
        let mut latencies = self.latencies.borrow_mut();
        if !latencies.contains_key(label) {
            // Creation cannot fail: both arguments are constants that the library accepts.
            let Ok(histogram) = Histogram::new_with_max(LATENCY_MAX_MS, LATENCY_DIGITS) else {
                return;
            };
            latencies.insert(label.to_owned(), histogram);
        }
        if let Some(histogram) = latencies.get_mut(label) {
            histogram.saturating_record(latency.as_millis() as u64);
        }
    }

    /// Renders all metrics.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        for (name, value) in self.counters.borrow().iter() {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "anvilgw_{name}_total {value}");
        }
        for (labels, value) in self.rejections.borrow().iter() {
            let RejectionLabels { reason, urgency } = labels;
            let _ = writeln!(
                text,
                "anvilgw_load_rejections_total{{reason=\"{reason}\",urgency=\"{urgency}\"}} {value}"
            );
        }
        for (label, histogram) in self.latencies.borrow().iter() {
            for quantile in QUANTILES {
                let value_ms = histogram.value_at_quantile(quantile);
                let _ = writeln!(
                    text,
                    "anvilgw_latency_ms{{kind=\"{label}\",quantile=\"{quantile}\"}} {value_ms}"
                );
            }
            let _ = writeln!(
                text,
                "anvilgw_latency_ms_count{{kind=\"{label}\"}} {}",
                histogram.len()
            );
        }
        text
    }
}
