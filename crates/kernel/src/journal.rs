//! Bounded journal of recent events of a daemon, for its operators.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Mutex;

/// Kind of an [`Event`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A new configuration version is in force.
    ConfigApplied,
    /// A configuration record was rejected.
    ConfigRejected,
    /// The daemon's view of the configuration became too old for it to accept new requests.
    ViewStale,
    /// The daemon's view of the configuration is recent enough again.
    ViewFresh,
    /// The clock of this daemon fell behind the clocks of its peers.
    ClockStopped,
    /// A daemon joined the fleet.
    MemberJoined,
    /// A daemon is suspected to have failed.
    MemberSuspected,
    /// A daemon was removed from the fleet.
    MemberRemoved,
    /// A new epoch of the fleet is in force.
    EpochApplied,
    /// An operator allowed the next epoch to be formed without a majority of the previous one.
    EpochForced,
    /// A lease was acquired.
    LeaseAcquired,
    /// A lease was lost or given up.
    LeaseLost,
    /// A backend server is now considered cold.
    ServerCold,
    /// A backend server reached full capacity.
    ServerWarm,
    /// A circuit breaker opened.
    BreakerOpened,
    /// A circuit breaker closed.
    BreakerClosed,
    /// Prompt blocks under which engines ended were quarantined, tried or released.
    QuarantineChanged,
    /// The log service cannot be reached.
    LogUnavailable,
    /// The log service can be reached again.
    LogAvailable,
    /// A claim ended without a known outcome.
    ClaimUnknown,
    /// The daemon began to drain before it stops.
    Draining,
    /// An invariant did not hold.
    InvariantViolated,
}

/// Entry of the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Position in the journal, counted from the start of the daemon.
    pub sequence: u64,
    /// Wall clock time in milliseconds since 1970.
    pub wall_ms: u64,
    /// What happened, as one of a fixed list of kinds.
    pub kind: EventKind,
    /// Object that the event concerns, such as the name of a backend server.
    pub subject: String,
    /// Cause of the event, with the observations that led to it.
    pub cause: String,
}

struct State {
    next_sequence: u64,
    events: VecDeque<Event>,
}

/// Bounded list of the most recent events.
pub struct Journal {
    capacity: usize,
    state: Mutex<State>,
}

impl Journal {
    /// Creates a journal that keeps the last `capacity` events.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            state: Mutex::new(State {
                next_sequence: 0,
                events: VecDeque::with_capacity(capacity),
            }),
        }
    }

    /// Adds an event and drops the oldest one if the journal is full.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the journal's lock.
    pub fn record(
        &self,
        wall_ms: u64,
        kind: EventKind,
        subject: impl Into<String>,
        cause: impl Into<String>,
    ) {
        let mut state = self.state.lock().expect("journal lock");
        if state.events.len() == self.capacity {
            state.events.pop_front();
        }
        let event = Event {
            sequence: state.next_sequence,
            wall_ms,
            kind,
            subject: subject.into(),
            cause: cause.into(),
        };
        state.next_sequence += 1;
        state.events.push_back(event);
    }

    /// Returns the events from a sequence number on that are still kept, oldest first.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the journal's lock.
    #[must_use]
    pub fn since(&self, sequence: u64) -> Vec<Event> {
        let state = self.state.lock().expect("journal lock");
        state
            .events
            .iter()
            .filter(|event| event.sequence >= sequence)
            .cloned()
            .collect()
    }
}
