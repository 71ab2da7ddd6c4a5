//! Encoding of batches.
//!
//! A payload consists of magic bytes, a format version and the batch in bincode. Payloads without
//! the magic bytes are not batches and are skipped. A batch of an unknown version is an error
//! instead: if the claims of a newer release were skipped, the request of a key could be executed
//! twice.

use crate::record::Batch;
use bincode::config::{Configuration, Fixint, Limit, LittleEndian};
use quick_error::quick_error;

/// Largest size of an encoded batch in bytes.
pub const MAX_BATCH_BYTES: usize = 256 * 1024;
/// Largest number of records in a batch.
pub const MAX_BATCH_RECORDS: usize = 1_024;

/// First bytes of every encoded batch.
const MAGIC: &[u8; 3] = b"agc";
/// Format version that this release writes and reads.
const FORMAT_VERSION: u8 = 1;

quick_error! {
    /// Why a batch cannot be encoded or decoded.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CodecError {
        /// The payload does not begin with the magic bytes of a batch.
        NotABatch { display("payload is not a batch of claim records") }
        /// The batch has another format version than this release reads.
        UnknownFormat(version: u8) { display("batch has the unknown format version {}", version) }
        /// The payload begins like a batch but cannot be decoded.
        Corrupt(detail: String) { display("batch cannot be decoded: {}", detail) }
        /// The batch is larger than [`MAX_BATCH_BYTES`] or [`MAX_BATCH_RECORDS`].
        TooLarge { display("batch exceeds {} bytes or {} records", MAX_BATCH_BYTES, MAX_BATCH_RECORDS) }
    }
}

fn config() -> Configuration<LittleEndian, Fixint, Limit<MAX_BATCH_BYTES>> {
    bincode::config::standard()
        .with_fixed_int_encoding()
        .with_limit::<MAX_BATCH_BYTES>()
}

impl Batch {
    /// Encodes the batch as the payload of an append.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError::TooLarge`] if the batch has more than [`MAX_BATCH_RECORDS`] records or
    /// more than [`MAX_BATCH_BYTES`] encoded bytes.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        let mut payload = MAGIC.to_vec();
        payload.push(FORMAT_VERSION);
        let body = bincode::serde::encode_to_vec(self, config())
            .map_err(|error| CodecError::Corrupt(error.to_string()))?;
        payload.extend_from_slice(&body);
        if payload.len() > MAX_BATCH_BYTES || self.records.len() > MAX_BATCH_RECORDS {
            return Err(CodecError::TooLarge);
        }
        Ok(payload)
    }

    /// Decodes the payload of an append. A payload with bytes after the batch is corrupt.
    ///
    /// # Errors
    ///
    /// Returns a [`CodecError`] if the payload is not exactly one batch within the limits.
    pub fn decode(payload: &[u8]) -> Result<Self, CodecError> {
        let (&version, body) = payload
            .strip_prefix(MAGIC)
            .and_then(<[u8]>::split_first)
            .ok_or(CodecError::NotABatch)?;
        if version != FORMAT_VERSION {
            return Err(CodecError::UnknownFormat(version));
        }
        if payload.len() > MAX_BATCH_BYTES {
            return Err(CodecError::TooLarge);
        }
        let (batch, used): (Self, usize) = bincode::serde::decode_from_slice(body, config())
            .map_err(|error| CodecError::Corrupt(error.to_string()))?;
        if used != body.len() {
            return Err(CodecError::Corrupt(
                "there are bytes after the batch".to_owned(),
            ));
        }
        if batch.records.len() > MAX_BATCH_RECORDS {
            return Err(CodecError::TooLarge);
        }
        Ok(batch)
    }
}
