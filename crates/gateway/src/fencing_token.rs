//! Fencing tokens of the lease on weight switches. A token combines the epoch of the metadata store
//! with the offset of the holder's first record, so that it rises when offsets are assigned again.

use crate::log_position::{LogPosition, StoreEpoch};

/// Number of low bits that contain the offset. Ten records a second fill them in 200 years.
const OFFSET_BITS: u32 = 36;
/// Number of bits of a token. JSON numbers above are not exact for every reader.
const TOKEN_BITS: u32 = 53;
/// Highest epoch that a token can state. Later epochs are stated as this one.
const EPOCH_MAX: u64 = (1 << (TOKEN_BITS - OFFSET_BITS)) - 1;

/// Returns the token of a holder whose first record is stored at `position`. In epoch 0 it is one
/// above the offset.
#[must_use]
pub fn fencing_token(position: LogPosition) -> u64 {
    (position.epoch.0.min(EPOCH_MAX) << OFFSET_BITS) + position.offset + 1
}

/// Returns the epoch from which a token was derived.
#[must_use]
pub fn epoch_of(fencing_token: u64) -> StoreEpoch {
    StoreEpoch(fencing_token >> OFFSET_BITS)
}
