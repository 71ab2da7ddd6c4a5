//! Interface of the platform's append-only log service.

use crate::ids::Offset;
use quick_error::quick_error;
use std::time::Duration;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: Offset,
    /// Content, which the log service does not interpret.
    pub payload: Vec<u8>,
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogSlice {
    /// Offset of the oldest record that the service retains. Equals `next_offset` if it retains
    /// none.
    pub first_offset: Offset,
    /// Offset that the next record appended to the stream will get.
    pub next_offset: Offset,
    /// The records, in offset order without gaps.
    pub records: Vec<LogRecord>,
}

quick_error! {
    /// Why a call to the log service failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum LogError {
        /// The service could not be reached or refused the call. The call had no effect.
        Unavailable(detail: String) {
            display("log service unavailable: {}", detail)
        }
        /// The answer was lost. An append may have taken effect nevertheless.
        AnswerLost(detail: String) {
            display("answer of the log service lost: {}", detail)
        }
        /// The service no longer retains the record at the requested offset.
        Trimmed(first_offset: Offset, next_offset: Offset) {
            display("records below offset {} are no longer held (next offset {})", first_offset, next_offset)
        }
        /// The answer could not be decoded.
        Protocol(detail: String) {
            display("unexpected answer of the log service: {}", detail)
        }
    }
}

/// Client of the log service. Its calls block the thread, so they are made from worker threads.
pub trait LogService: Send + Sync + 'static {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns [`LogError::AnswerLost`] if the record may have been appended, and
    /// [`LogError::Unavailable`] if it was not.
    fn append(&self, stream: &str, payload: &[u8]) -> Result<Offset, LogError>;

    /// Reads up to `max` records from offset `from`, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns [`LogError::Trimmed`] if `from` is below the offset of the oldest record that the
    /// service retains.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<LogSlice, LogError>;
}
