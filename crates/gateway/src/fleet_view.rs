//! The members of the fleet as this daemon knows them, and whether the others know the same ones.

use std::net::SocketAddr;
use std::time::Duration;

/// Time after a change of the membership in which all daemons have read the new list of members.
const SETTLING_TIME: Duration = Duration::from_secs(10);
/// Age of the last confirmation of the membership up to which it is taken for unchanged.
const CONFIRMATION_AGE_MAX: Duration = Duration::from_millis(3500);

/// Members of the fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    members: Vec<SocketAddr>,
    changed_at: Duration,
    confirmed_at: Option<Duration>,
}

impl FleetView {
    /// Applies the list of members: the addresses on which daemons exchange messages.
    pub fn on_members(&mut self, mut members: Vec<SocketAddr>, now: Duration) {
        members.sort_unstable();
        if members != self.members {
            self.changed_at = now;
        }
        self.members = members;
    }

    /// Records that the metadata store has confirmed that the membership is that of the list.
    pub fn on_confirmed(&mut self, now: Duration) {
        self.confirmed_at = Some(now);
    }

    /// Records that the membership has changed and the list is out of date.
    pub fn on_outdated(&mut self, now: Duration) {
        self.changed_at = now;
    }

    /// Returns the members, or none if the list was not read yet.
    #[must_use]
    pub fn members(&self) -> &[SocketAddr] {
        &self.members
    }

    /// Returns whether all daemons know the same members: the last change is old enough that all
    /// have read it, and the metadata store has just confirmed that there was no other.
    #[must_use]
    pub fn is_settled(&self, now: Duration) -> bool {
        let is_confirmed = self
            .confirmed_at
            .is_some_and(|at| now.saturating_sub(at) < CONFIRMATION_AGE_MAX);
        is_confirmed && now.saturating_sub(self.changed_at) >= SETTLING_TIME
    }
}
