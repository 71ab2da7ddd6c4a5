//! Logs, metrics and traces of the entry daemon.

mod logging;
mod metrics;
mod trace;

pub(crate) use logging::{LogTarget, LoggingError, logger};
pub(crate) use metrics::Metrics;
pub(crate) use trace::{TraceSpan, Tracing};
