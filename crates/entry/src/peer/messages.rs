//! Messages between daemons, encoded with bincode.

use anvilgw_claims::{ClaimRequest, Record, Verdict};
use anvilgw_core::DaemonId;
use anvilgw_fleet::Transfer;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Largest message that is decoded, in bytes. It bounds what the decoder allocates.
const MAX_BYTES: usize = 4 * 1024 * 1024;

/// A call from one daemon to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Requests the configuration changes after a version.
    ConfigSince {
        /// Version that the calling daemon has.
        version: u64,
    },
    /// Requests the verdict on a claim from the owner of its partition.
    Claim(ClaimRequest),
    /// Requests that the owner of a partition records an outcome, an abandonment or an expiry.
    Record(Record),
    /// Requests a transfer of idle budget share.
    AskBudget {
        /// The daemon that requests the share.
        from: DaemonId,
        /// Number of the budget.
        budget: u32,
        /// Requested amount, in the unit of the budget.
        amount: u64,
    },
    /// Transfers budget share to the called daemon.
    Transfer(Transfer),
}

/// The answer to a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerAnswer {
    /// A `PeerUpdate` of the configuration as JSON, the format that it has everywhere else.
    Config(Vec<u8>),
    /// Verdict of the partition's owner on a claim.
    Verdict(Verdict),
    /// The record or transfer was accepted.
    Taken,
    /// Share for the calling daemon; `None` if none was idle.
    Share(Option<Transfer>),
    /// The called daemon cannot answer now, or does not accept the message.
    Unavailable,
}

/// Encodes a message.
pub(crate) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // All types in the messages can be encoded by bincode.
    bincode::serde::encode_to_vec(message, bincode::config::standard()).unwrap_or_default()
}

/// Decodes a message. Returns `None` if the bytes are malformed or longer than one message.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<MAX_BYTES>();
    let (message, used) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    (used == bytes.len()).then_some(message)
}
