//! Tracks whether the daemon's copy of the operators' configuration is recent enough to use.

use std::time::Duration;

/// Age of the copy of the configuration, with its limit.
///
/// A key that operators have revoked must stop working at every daemon within a bounded time, even
/// at a daemon that cannot read the metadata store. A daemon therefore stops using a copy that is
/// too old.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationFreshness {
    limit: Duration,
    verified_at: Option<Duration>,
}

impl ConfigurationFreshness {
    /// Creates the state of a daemon that has read nothing yet. `limit` is the age at which the
    /// copy is no longer used.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            verified_at: None,
        }
    }

    /// Returns the age at which the copy is no longer used.
    #[must_use]
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// Records that the copy contains all changes up to `read_started_at`. The start of the read
    /// counts, because the metadata store may have taken its answer at any time from then on.
    pub fn on_verified(&mut self, read_started_at: Duration) {
        self.verified_at = self.verified_at.max(Some(read_started_at));
    }

    /// Returns the time up to which the copy contains all changes, or `None` if nothing was read
    /// yet.
    #[must_use]
    pub fn verified_at(&self) -> Option<Duration> {
        self.verified_at
    }

    /// Returns whether the copy is recent enough to use.
    #[must_use]
    pub fn is_current(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.limit)
    }

    /// Returns the age of the copy, or `None` if nothing was read yet.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.verified_at?))
    }
}
