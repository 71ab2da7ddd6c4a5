//! Pauses that return at once if their duration is zero.

use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Waits for a duration. A duration of zero does not use the timer: its resolution is a
/// millisecond, so a sleep of zero would delay each request by up to that.
pub(crate) async fn pause(duration: Duration) {
    pause_until(Instant::now() + duration).await;
}

/// Waits until a point in time, or not at all if it has passed.
pub(crate) async fn pause_until(end: Instant) {
    if end > Instant::now() {
        sleep_until(end).await;
    }
}
