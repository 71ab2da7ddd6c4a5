//! Network link of limited bandwidth.

use std::time::Duration;
use tokio::time::Instant;

/// A link that carries one transfer after the other.
#[derive(Debug, Default)]
pub(crate) struct Link {
    free_at: Option<Instant>,
}

impl Link {
    /// Queues a transfer and returns the time at which it ends. A rate of 0 means no limit.
    pub(crate) fn reserve(&mut self, bytes: u64, bytes_per_s: u64) -> Instant {
        let now = Instant::now();
        if bytes_per_s == 0 {
            return now;
        }
        let start = self.free_at.map_or(now, |free_at| free_at.max(now));
        let end = start + Duration::from_secs_f64(bytes as f64 / bytes_per_s as f64);
        self.free_at = Some(end);
        end
    }
}
