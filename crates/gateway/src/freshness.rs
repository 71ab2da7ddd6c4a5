//! How long the daemon's copy of the operators' configuration may be relied on.

use std::time::Duration;

/// Age of the copy of the configuration.
///
/// A key that operators have withdrawn must stop working at every daemon in bounded time, also at
/// one that cannot read the store. Such a daemon therefore stops relying on its copy.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationFreshness {
    limit: Duration,
    verified_at: Option<Duration>,
}

impl ConfigurationFreshness {
    /// Creates the state of a daemon that has read nothing yet.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            verified_at: None,
        }
    }

    /// Age up to which the copy may be relied on.
    #[must_use]
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// Notes that the copy held all changes up to a time. The time is that at which the read was
    /// started: the store may have taken its answer from then.
    pub fn on_verified(&mut self, read_started_at: Duration) {
        self.verified_at = self.verified_at.max(Some(read_started_at));
    }

    /// Time up to which the copy holds all changes.
    #[must_use]
    pub fn verified_at(&self) -> Option<Duration> {
        self.verified_at
    }

    /// Whether the copy may be relied on.
    #[must_use]
    pub fn is_current(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.limit)
    }

    /// Age of the copy.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.verified_at?))
    }
}
