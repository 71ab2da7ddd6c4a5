//! Encoding of batches.
//!
//! A payload is a mark, a format version and the batch in bincode. The mark tells a batch from
//! foreign data, and the version from a batch of a newer program: foreign data is skipped, but
//! skipping a newer program's claims would let a key be executed twice.

use crate::record::Batch;
use bincode::config::{Configuration, Fixint, Limit, LittleEndian};
use quick_error::quick_error;

/// Largest encoded batch in bytes.
pub const MAX_BATCH_BYTES: usize = 256 * 1024;
/// Largest number of records in a batch.
pub const MAX_BATCH_RECORDS: usize = 1_024;

const MARK: &[u8; 3] = b"agc";
const FORMAT: u8 = 1;

quick_error! {
    /// Why a batch cannot be encoded or decoded.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CodecError {
        /// The payload is not a batch.
        NotABatch { display("payload is not a batch of claims") }
        /// The batch was written by a newer program.
        UnknownFormat(version: u8) { display("batch has the unknown format {}", version) }
        /// The payload has the mark of a batch but cannot be decoded.
        Corrupt(detail: String) { display("batch cannot be decoded: {}", detail) }
        /// The batch is over a limit.
        TooLarge { display("batch is over {} bytes or {} records", MAX_BATCH_BYTES, MAX_BATCH_RECORDS) }
    }
}

fn config() -> Configuration<LittleEndian, Fixint, Limit<MAX_BATCH_BYTES>> {
    bincode::config::standard()
        .with_fixed_int_encoding()
        .with_limit::<MAX_BATCH_BYTES>()
}

impl Batch {
    /// Encodes the batch.
    ///
    /// # Errors
    ///
    /// [`CodecError::TooLarge`] if it is over a limit.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        let mut payload = MARK.to_vec();
        payload.push(FORMAT);
        let body = bincode::serde::encode_to_vec(self, config())
            .map_err(|error| CodecError::Corrupt(error.to_string()))?;
        payload.extend_from_slice(&body);
        if payload.len() > MAX_BATCH_BYTES || self.records.len() > MAX_BATCH_RECORDS {
            return Err(CodecError::TooLarge);
        }
        Ok(payload)
    }

    /// Decodes a batch. Bytes after the batch make the payload corrupt.
    ///
    /// # Errors
    ///
    /// [`CodecError`] if the payload is not exactly one batch within the limits.
    pub fn decode(payload: &[u8]) -> Result<Self, CodecError> {
        let (&format, body) = payload
            .strip_prefix(MARK)
            .and_then(<[u8]>::split_first)
            .ok_or(CodecError::NotABatch)?;
        if format != FORMAT {
            return Err(CodecError::UnknownFormat(format));
        }
        if payload.len() > MAX_BATCH_BYTES {
            return Err(CodecError::TooLarge);
        }
        let (batch, used): (Self, usize) = bincode::serde::decode_from_slice(body, config())
            .map_err(|error| CodecError::Corrupt(error.to_string()))?;
        if used != body.len() {
            return Err(CodecError::Corrupt("bytes after the batch".to_owned()));
        }
        if batch.records.len() > MAX_BATCH_RECORDS {
            return Err(CodecError::TooLarge);
        }
        Ok(batch)
    }
}
