//! Pauses that take no time when they are zero.

use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Waits for a duration. The timer's resolution is a millisecond, so a sleep of zero would delay each
/// request of a stand-in without a configured delay by up to that.
pub(crate) async fn pause(duration: Duration) {
    pause_until(Instant::now() + duration).await;
}

/// Waits until a point in time, or not at all if it has passed.
pub(crate) async fn pause_until(end: Instant) {
    if end > Instant::now() {
        sleep_until(end).await;
    }
}
