//! Messages between daemons, encoded with bincode.

use anvilgw_claims::{ClaimRequest, Record, Verdict};
use anvilgw_core::DaemonId;
use anvilgw_fleet::Transfer;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Largest length that a decoder allocates for.
const MAX_BYTES: usize = 4 * 1024 * 1024;

/// A call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Asks for configuration changes after a version.
    ConfigSince {
        /// Version that the caller has.
        version: u64,
    },
    /// Asks the owner of a partition to claim a key.
    Claim(ClaimRequest),
    /// Asks the owner of a partition to record an outcome, an abandonment or an expiry.
    Record(Record),
    /// Asks for share of a budget.
    AskBudget {
        /// The asking daemon.
        from: DaemonId,
        /// The budget.
        budget: u32,
        /// Amount wanted.
        amount: u64,
    },
    /// Hands over share of a budget.
    Transfer(Transfer),
}

/// The answer to a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerAnswer {
    /// A `PeerUpdate` of the configuration as JSON, which is its format everywhere else.
    Config(Vec<u8>),
    /// Verdict of the owner.
    Verdict(Verdict),
    /// The message was taken.
    Taken,
    /// Share for the caller, if any was idle.
    Share(Option<Transfer>),
    /// The daemon cannot answer now.
    Unavailable,
}

/// Encodes a message.
pub(crate) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // The messages hold only types that bincode encodes.
    bincode::serde::encode_to_vec(message, bincode::config::standard()).unwrap_or_default()
}

/// Decodes a message; `None` for anything that is not exactly one.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<MAX_BYTES>();
    let (message, used) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    (used == bytes.len()).then_some(message)
}
