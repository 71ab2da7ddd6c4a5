//! HTTP status codes.

use std::ops::RangeInclusive;

/// Status codes of final answers. Lower ones announce an answer that follows or another protocol, and
/// higher ones are not defined.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Returns whether a status is one of a final answer.
#[must_use]
pub fn is_final_status(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}
