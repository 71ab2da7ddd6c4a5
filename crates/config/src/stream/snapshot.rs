//! Snapshots of the configuration in the `config-snapshot` stream.

use super::canonical;
use super::state::{ConfigDigest, ConfigState, RecordOutcome};
use anvilgw_core::Offset;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Format of the snapshots that this version writes and reads.
const FORMAT: u32 = 1;

/// Everything that the records up to an offset lead to.
///
/// It holds the recent outcomes too: a daemon that starts from a snapshot has to recognise a
/// duplicate record exactly as a daemon does that has read the original.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Offset of the last record that is part of it.
    pub through_offset: Offset,
    /// The configuration.
    pub state: ConfigState,
    /// Recent outcomes, oldest first.
    pub outcomes: Vec<RecordOutcome>,
}

quick_error! {
    /// Why a payload is not a good snapshot.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SnapshotError {
        /// The payload is not a snapshot of this format.
        Malformed(detail: String) {
            display("not a configuration snapshot: {}", detail)
        }
        /// The content does not match the digest.
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
    /// Encodes the snapshot with its digest.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        canonical(&Envelope {
            format: FORMAT,
            digest: self.digest(),
            snapshot: self,
        })
    }

    /// Decodes a snapshot and verifies its digest.
    ///
    /// # Errors
    ///
    /// [`SnapshotError`] if the payload is damaged or of another format.
    pub fn decode(payload: &[u8]) -> Result<Self, SnapshotError> {
        let (snapshot, is_good) = Self::parse(payload)?;
        if is_good {
            Ok(snapshot)
        } else {
            Err(SnapshotError::WrongDigest)
        }
    }

    /// Decodes a snapshot. The second value tells whether it matches its digest.
    pub(super) fn parse(payload: &[u8]) -> Result<(Self, bool), SnapshotError> {
        let envelope: Envelope<Self> = serde_json::from_slice(payload)
            .map_err(|error| SnapshotError::Malformed(error.to_string()))?;
        if envelope.format != FORMAT {
            return Err(SnapshotError::Malformed(format!(
                "format {}",
                envelope.format
            )));
        }
        let is_good = envelope.digest == envelope.snapshot.digest();
        Ok((envelope.snapshot, is_good))
    }

    fn digest(&self) -> ConfigDigest {
        ConfigDigest(*blake3::hash(&canonical(self)).as_bytes())
    }
}
