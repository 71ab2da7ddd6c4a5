//! Counts the outcomes of the requests in the logs of gateway daemons by time and route.

use crate::log_line::{LogLine, parse};
use indexmap::{IndexMap, IndexSet};
use std::io::{BufRead, Error};

/// Length of the time windows that requests are counted in.
const WINDOW_MS: u64 = 2000;
/// Column titles of the table of [`LogSummary::rows`].
pub(crate) const HEADER: [&str; 9] = [
    "second",
    "route",
    "requests",
    "answered",
    "servers",
    "first event p50",
    "p90 ms",
    "tokens fetched, computed",
    "most frequent failure",
];

/// Counts of the requests of one route that ended in one window.
#[derive(Debug, Default)]
struct RequestCounts {
    requests: u32,
    answered: u32,
    /// Backend servers that were selected.
    servers: IndexSet<String>,
    first_events_ms: Vec<u64>,
    /// Shared prompt tokens that the selected server reads from a cache store or another server.
    fetched_tokens: u64,
    /// Shared prompt tokens that are cached nowhere, so that the selected server computes them.
    computed_tokens: u64,
    /// Number of requests that were not answered, by reason.
    failures: IndexMap<String, u32>,
}

impl RequestCounts {
    fn add(&mut self, line: LogLine) {
        self.requests += 1;
        if line.outcome == "answered" && line.status < 500 {
            self.answered += 1;
        } else {
            let reason = if line.reason.is_empty() {
                line.outcome
            } else {
                line.reason
            };
            *self.failures.entry(reason).or_default() += 1;
        }
        if !line.server.is_empty() {
            self.servers.insert(line.server);
        }
        self.first_events_ms.extend(line.first_event_ms);
        if let Some(prompt) = line.choice.and_then(|choice| choice.prompt) {
            self.fetched_tokens += u64::from(prompt.fetched_tokens);
            self.computed_tokens += u64::from(prompt.computed_tokens);
        }
    }

    fn row(&self, second: u64, route: &str) -> Vec<String> {
        let mut sorted = self.first_events_ms.clone();
        sorted.sort_unstable();
        let most_frequent = self.failures.iter().max_by_key(|(_, count)| **count);
        vec![
            second.to_string(),
            route.to_owned(),
            self.requests.to_string(),
            self.answered.to_string(),
            self.servers.len().to_string(),
            quantile(&sorted, 0.5),
            quantile(&sorted, 0.9),
            format!("{}, {}", self.fetched_tokens, self.computed_tokens),
            most_frequent.map_or_else(
                || "-".to_owned(),
                |(reason, count)| format!("{count} x {reason}"),
            ),
        ]
    }
}

/// Returns the quantile of the sorted values at this fraction as text, or `-` without values.
fn quantile(sorted: &[u64], fraction: f64) -> String {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * fraction).round() as usize;
    let value = sorted.get(index);
    value.map_or_else(|| "-".to_owned(), ToString::to_string)
}

/// Counts of requests by window and route.
#[derive(Debug, Default)]
pub(crate) struct LogSummary {
    windows: IndexMap<(u64, String), RequestCounts>,
}

impl LogSummary {
    /// Counts the requests in the log lines of any number of daemons, in any order.
    ///
    /// # Errors
    ///
    /// Returns an error if the input cannot be read.
    pub(crate) fn read(input: impl BufRead) -> Result<Self, Error> {
        let mut summary = Self::default();
        for line in input.lines() {
            let line = line?;
            if let Some(line) = parse(&line).filter(|line| line.event == "request") {
                let key = (line.time_ms / WINDOW_MS, line.route.clone());
                summary.windows.entry(key).or_default().add(line);
            }
        }
        summary.windows.sort_unstable_keys();
        Ok(summary)
    }

    /// Returns whether the log has no line about the end of a request.
    pub(crate) fn is_empty(&self) -> bool {
        self.windows.is_empty()
    }

    /// Returns the rows of a table under [`HEADER`]. Seconds count from the window of the first
    /// request.
    pub(crate) fn rows(&self) -> Vec<Vec<String>> {
        let first = self.windows.first().map_or(0, |((window, _), _)| *window);
        let windows = self.windows.iter();
        windows
            .map(|((window, route), counts)| {
                let second = (window - first) * WINDOW_MS / 1000;
                let route = if route.is_empty() { "-" } else { route };
                counts.row(second, route)
            })
            .collect()
    }
}
