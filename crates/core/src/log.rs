//! Interface of the platform's append-only log service.

use crate::ids::Offset;
use quick_error::quick_error;
use std::time::Duration;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: Offset,
    /// Content, opaque to the log service.
    pub payload: Vec<u8>,
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogSlice {
    /// Offset of the oldest record that the service still holds. Equals `next_offset` if it holds
    /// none.
    pub first_offset: Offset,
    /// Offset that the next appended record will get.
    pub next_offset: Offset,
    /// The records, in offset order without gaps.
    pub records: Vec<LogRecord>,
}

quick_error! {
    /// Why a call to the log service failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum LogError {
        /// The call certainly had no effect: the service could not be reached or refused it.
        Unavailable(detail: String) {
            display("log service unavailable: {}", detail)
        }
        /// The answer was lost. An append may have taken effect.
        AnswerLost(detail: String) {
            display("answer of the log service lost: {}", detail)
        }
        /// Records from the requested offset on are no longer held.
        Trimmed(first_offset: Offset, next_offset: Offset) {
            display("records below offset {} are no longer held (next offset {})", first_offset, next_offset)
        }
        /// The answer could not be understood.
        Protocol(detail: String) {
            display("unexpected answer of the log service: {}", detail)
        }
    }
}

/// The log service. Calls block and are made from duty threads.
pub trait LogService: Send + Sync + 'static {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`LogError::AnswerLost`] if the record may have been appended, [`LogError::Unavailable`] if it
    /// certainly was not.
    fn append(&self, stream: &str, payload: &[u8]) -> Result<Offset, LogError>;

    /// Reads up to `max` records from offset `from`, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// [`LogError::Trimmed`] if `from` is older than the oldest record held.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<LogSlice, LogError>;
}
