//! How daemons refuse requests with quarantined parts.

use std::time::Duration;

/// `Retry-After` of a request that could not claim a trial, because another one has claimed it or
/// the evidence could not be written.
pub const UNCLAIMED_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Explanation that callers get with the refusal.
pub const REFUSAL_DETAIL: &str = "backend servers ended under a part of the prompt";
