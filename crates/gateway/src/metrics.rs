//! Counters and latency histograms, served as text.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use std::cell::RefCell;
use std::fmt::Write;
use std::time::Duration;

/// Longest latency that is told apart, in milliseconds.
const LATENCY_MAX_MS: u64 = 60_000;
/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 2;
/// Quantiles that are served.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// The metrics of a daemon.
#[derive(Default)]
pub(crate) struct Metrics {
    counters: RefCell<IndexMap<&'static str, u64>>,
    latencies: RefCell<IndexMap<String, Histogram<u64>>>,
}

impl Metrics {
    /// Adds one to a counter.
    pub(crate) fn count(&self, name: &'static str) {
        *self.counters.borrow_mut().entry(name).or_default() += 1;
    }

    /// Notes a latency under a label.
    pub(crate) fn record_latency(&self, label: &str, latency: Duration) {
        let mut latencies = self.latencies.borrow_mut();
        if !latencies.contains_key(label) {
            // The arguments are constants within the range of the library.
            let Ok(histogram) = Histogram::new_with_max(LATENCY_MAX_MS, LATENCY_DIGITS) else {
                return;
            };
            latencies.insert(label.to_owned(), histogram);
        }
        if let Some(histogram) = latencies.get_mut(label) {
            histogram.saturating_record(latency.as_millis() as u64);
        }
    }

    /// The text that is served.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        for (name, value) in self.counters.borrow().iter() {
            // Writing to a string does not fail.
            let _ = writeln!(text, "anvilgw_{name}_total {value}");
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
