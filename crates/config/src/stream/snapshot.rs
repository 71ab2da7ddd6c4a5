//! Snapshots of the configuration, stored in the `config-snapshot` stream.

use super::canonical_json;
use super::state::{ConfigDigest, ConfigState, RecordOutcome};
use anvilgw_core::Offset;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Format of the snapshots that this version of anvilgw writes and reads.
const FORMAT: u32 = 1;

/// Result of folding all records up to an offset.
///
/// It includes the recent outcomes: a daemon that starts from a snapshot has to recognise a
/// duplicate record exactly as a daemon does that has read the original.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Offset of the last record that the snapshot includes.
    pub through_offset: Offset,
    /// Configuration after that record.
    pub state: ConfigState,
    /// Outcomes of the latest records, oldest first, at most 512.
    pub outcomes: Vec<RecordOutcome>,
}

quick_error! {
    /// Reason why a payload is not a valid snapshot.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SnapshotError {
        /// The payload is not JSON of a snapshot, or has another format.
        Malformed(detail: String) {
            display("not a configuration snapshot: {}", detail)
        }
        /// The content does not match the digest in the payload.
        WrongDigest {
            display("the digest of the configuration snapshot is wrong")
        }
    }
}

#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    format: u32,
    digest: ConfigDigest,
    snapshot: T,
}

impl Snapshot {
    /// Returns the payload of the snapshot, with its digest.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        canonical_json(&Envelope {
            format: FORMAT,
            digest: self.digest(),
            snapshot: self,
        })
    }

    /// Decodes a payload and verifies its digest.
    ///
    /// # Errors
    ///
    /// [`SnapshotError`] if the payload is damaged or has another format.
    pub fn decode(payload: &[u8]) -> Result<Self, SnapshotError> {
        let (snapshot, digest_matches) = Self::decode_unverified(payload)?;
        if digest_matches {
            Ok(snapshot)
        } else {
            Err(SnapshotError::WrongDigest)
        }
    }

    /// Decodes a payload and returns whether the content matches its digest.
    pub(super) fn decode_unverified(payload: &[u8]) -> Result<(Self, bool), SnapshotError> {
        let envelope: Envelope<Self> = serde_json::from_slice(payload)
            .map_err(|error| SnapshotError::Malformed(error.to_string()))?;
        if envelope.format != FORMAT {
            return Err(SnapshotError::Malformed(format!(
                "format {}",
                envelope.format
            )));
        }
        let digest_matches = envelope.digest == envelope.snapshot.digest();
        Ok((envelope.snapshot, digest_matches))
    }

    fn digest(&self) -> ConfigDigest {
        ConfigDigest(*blake3::hash(&canonical_json(self)).as_bytes())
    }
}
