//! Loggers that write one JSON object per line.

use quick_error::quick_error;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{RotatingFileSink, RotationPolicy, Sink, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{Level, LevelFilter, Logger};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Size in bytes at which a log file is rotated.
const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;
/// Number of files that rotation keeps; older ones are deleted.
const MAX_FILES: usize = 4;

quick_error! {
    /// Why logging could not be set up.
    #[derive(Debug)]
    pub enum LoggingError {
        /// A log file or stream could not be opened.
        Open(path: PathBuf, source: spdlog::Error) {
            display("log {} cannot be opened: {}", path.display(), source)
            source(source)
        }
    }
}

/// Destination of log lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LogTarget {
    /// Standard error.
    Stderr,
    /// A file that is rotated at 64 MiB.
    File(PathBuf),
    /// Drops all lines. Used when many daemons share a terminal.
    Discard,
}

/// Creates the logger of a daemon.
///
/// # Errors
///
/// Fails if the target cannot be opened.
pub(crate) fn logger(
    name: &str,
    level: Level,
    target: &LogTarget,
) -> Result<Arc<Logger>, LoggingError> {
    let sink: Option<Arc<dyn Sink>> = match target {
        LogTarget::Stderr => Some(stderr_sink()?),
        LogTarget::File(path) => Some(file_sink(path)?),
        LogTarget::Discard => None,
    };
    let mut builder = Logger::builder();
    builder.level_filter(LevelFilter::MoreSevereEqual(level));
    if let Some(sink) = sink {
        builder.sink(sink);
    }
    builder
        .name(name)
        .build_arc()
        .map_err(|source| LoggingError::Open(PathBuf::from(name), source))
}

fn stderr_sink() -> Result<Arc<dyn Sink>, LoggingError> {
    let sink = StdStreamSink::builder()
        .stderr()
        .style_mode(StyleMode::Never)
        .formatter(JsonFormatter::new())
        .build_arc()
        .map_err(|source| LoggingError::Open(PathBuf::from("stderr"), source))?;
    Ok(sink)
}

fn file_sink(path: &Path) -> Result<Arc<dyn Sink>, LoggingError> {
    let sink = RotatingFileSink::builder()
        .base_path(path)
        .rotation_policy(RotationPolicy::FileSize(MAX_FILE_BYTES))
        .max_files(MAX_FILES)
        .formatter(JsonFormatter::new())
        .build_arc()
        .map_err(|source| LoggingError::Open(path.to_owned(), source))?;
    Ok(sink)
}
