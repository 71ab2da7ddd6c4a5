//! Parts shared by the folds, which derive state from the records of a stream of the log.

use anvilgw_core::Offset;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Largest record that a fold accepts, in bytes. An epoch of 512 members has about 7 KB.
const MAX_RECORD_BYTES: usize = 64 * 1024;

/// Unique number of a log record, drawn at random by its writer. An append that is repeated because
/// its answer was lost uses the same number and has no further effect.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RecordId(pub u128);

quick_error! {
    /// Reason why a fold refused a record. The fold is unchanged.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum FoldError {
        /// Records between the expected and the given offset are missing. They may have changed the
        /// state, so the fold has to be rebuilt.
        Gap(expected: Offset, found: Offset) {
            display("expected offset {}, found {}", expected, found)
        }
    }
}

pub(crate) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(record, bincode::config::standard())
        .expect("a record holds only types that bincode encodes")
}

/// Decodes a record. Returns `None` if the bytes are not a valid record; such bytes have no effect
/// in any daemon.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<MAX_RECORD_BYTES>();
    let (record, used) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    (used == bytes.len()).then_some(record)
}

/// Position of a fold in its stream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Position {
    next: Option<Offset>,
}

impl Position {
    /// Checks the offset of the next record and advances to it. Returns `false` for a record that
    /// was already folded.
    pub(crate) fn advance(&mut self, offset: Offset) -> Result<bool, FoldError> {
        if let Some(expected) = self.next {
            if offset < expected {
                return Ok(false);
            }
            if offset > expected {
                return Err(FoldError::Gap(expected, offset));
            }
        }
        self.next = Some(Offset(offset.0.saturating_add(1)));
        Ok(true)
    }

    pub(crate) fn next(self) -> Option<Offset> {
        self.next
    }
}
