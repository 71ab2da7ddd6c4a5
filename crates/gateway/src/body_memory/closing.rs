//! Chooses the connections of clients that are closed when memory or connections run out.

use std::time::Duration;

/// Time without a byte from or to the client after which a connection may be closed for others.
const IDLE_MIN: Duration = Duration::from_secs(1);
/// Rate below which a connection may be closed for others although it makes progress.
const RATE_MIN_BYTES_PER_S: f64 = 4096.0;

/// What is known of a connection on which the daemon waits for the client, either for bytes of a
/// request or until the client reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingConnection {
    /// Bytes that the process holds for the connection.
    pub held_bytes: u64,
    /// Time since the daemon began to wait for this client.
    pub age: Duration,
    /// Time since the last byte was received or sent.
    pub idle: Duration,
    /// Bytes that were received and sent within `age`.
    pub moved_bytes: u64,
}

impl WaitingConnection {
    /// Returns whether the connection may be closed in favor of others.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        let rate = self.moved_bytes as f64 / self.age.as_secs_f64().max(f64::EPSILON);
        self.idle >= IDLE_MIN || (self.age >= IDLE_MIN && rate < RATE_MIN_BYTES_PER_S)
    }

    /// Returns a number that is largest for the connection that holds most for longest with the
    /// least progress.
    fn cost(&self) -> f64 {
        let age_s = self.age.as_secs_f64();
        self.held_bytes as f64 * age_s * age_s / (self.moved_bytes as f64 + 1.0)
    }
}

/// Returns the connection to close first, or `None` if all of them make progress.
#[must_use]
pub fn first_to_close<K>(connections: impl Iterator<Item = (K, WaitingConnection)>) -> Option<K> {
    costliest(connections.filter(|(_, connection)| connection.is_slow()))
}

/// Returns the connection that holds most for longest with the least progress.
pub(super) fn costliest<K>(connections: impl Iterator<Item = (K, WaitingConnection)>) -> Option<K> {
    connections
        .max_by(|(_, left), (_, right)| left.cost().total_cmp(&right.cost()))
        .map(|(key, _)| key)
}
