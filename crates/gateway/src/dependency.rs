//! Availability of a service that the daemon depends on, for the log.

use crate::gateway::Gateway;
use crate::log::Event;
use std::time::Duration;

/// Logs when a dependency stops and resumes answering.
pub(crate) struct Dependency {
    name: &'static str,
    lost_at: Option<Duration>,
}

impl Dependency {
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            lost_at: None,
        }
    }

    /// Records that the dependency answered, and logs the end of an outage. Returns whether there was
    /// one.
    pub(crate) fn on_answer(&mut self, gateway: &Gateway) -> bool {
        let Some(lost_at) = self.lost_at.take() else {
            return false;
        };
        let now = gateway.now();
        gateway.log_notable(&Event::DependencyRegained {
            dependency: self.name,
            away_ms: now.saturating_sub(lost_at).as_millis() as u64,
        });
        true
    }

    /// Records that the dependency answered after a time in which nothing was heard of it although
    /// no call failed. This counts as an outage too.
    pub(crate) fn on_answer_after_silence(
        &mut self,
        gateway: &Gateway,
        silent_since: Duration,
    ) -> bool {
        self.lost_at.get_or_insert(silent_since);
        self.on_answer(gateway)
    }

    /// Records that the dependency failed, and logs the beginning of an outage.
    pub(crate) fn on_failure(&mut self, gateway: &Gateway, reason: &str) {
        if self.lost_at.is_some() {
            return;
        }
        self.lost_at = Some(gateway.now());
        gateway.log_notable(&Event::DependencyLost {
            dependency: self.name,
            reason,
        });
    }
}
