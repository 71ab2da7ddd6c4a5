//! Logs, metrics and traces.

mod logging;
mod metrics;
mod trace;

pub use logging::{LogTarget, LoggingError, logger};
pub use metrics::Metrics;
pub use trace::{Hop, Tracing};
