//! Rules of HTTP by which an answer is recognized and known to be whole.

use std::ops::RangeInclusive;

/// Status codes of final answers. Lower ones announce an answer that follows or another protocol, and
/// higher ones are not defined.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Returns whether a status is one of a final answer.
#[must_use]
pub fn is_final_status(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}

/// Returns whether a body with these transfer codings, the last value of its header, consists of
/// chunks, so that its end is marked. A body with another last coding ends with its connection.
#[must_use]
pub fn is_chunked(codings: &str) -> bool {
    let last_coding = codings.rsplit(',').next();
    last_coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
