//! Logs, metrics and traces.

mod logging;
mod metrics;
mod trace;

pub(crate) use logging::{LogTarget, LoggingError, logger};
pub(crate) use metrics::Metrics;
pub(crate) use trace::{TraceSpan, Tracing};
