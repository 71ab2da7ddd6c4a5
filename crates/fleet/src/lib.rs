//! Membership, view freshness, epochs, leases and shared budgets as state machines without I/O.
//!
//! Nothing in this crate opens a socket, starts a thread or reads a clock. The daemon passes in
//! messages and its current uptime, and carries out the actions that are returned. Tests,
//! experiments and the model checker therefore run the same code as the daemon.
//!
//! A fold derives state from a stream of the log by applying its records in order, so all daemons
//! that have read the same records have the same state.

mod budgets;
mod epoch;
mod freshness;
mod gossip;
mod health;
mod lease;
mod members;
mod membership;
mod mutation;
mod outage_reports;
mod probe;
mod record;
mod rendezvous;
mod send_limit;
mod wire;

pub use budgets::{BudgetAction, BudgetId, Budgets, Split, Transfer, TransferError};
pub use epoch::{
    Epoch, EpochAction, EpochFold, EpochProposer, EpochRecord, EpochStatus, EpochVerdict,
};
pub use freshness::{Freshness, PeerVerdict, Stale, StaleReason};
pub use lease::{
    Duty, Lease, LeaseAction, LeaseCandidate, LeaseFold, LeaseRecord, LeaseStatus, LeaseTimes,
    LeaseVerdict,
};
pub use members::{MemberState, MemberView, RemovalCause};
pub use membership::{MemberEvent, Membership, MembershipAction, PeerReport};
#[doc(hidden)]
pub use mutation::Flaw;
pub use record::{FoldError, RecordId};
pub use rendezvous::{OwnedResource, OwnershipTracker, owner_of};
pub use wire::{Contact, DaemonStatus, Datagram, DecodeError, MAX_DATAGRAM_BYTES, Message, Update};

use std::time::Duration;

/// Largest age of a daemon's view of the configuration and of the epochs at which the daemon still
/// takes new work.
pub const FRESHNESS_LIMIT: Duration = Duration::from_secs(2);

/// Delay between learning of an epoch or a capacity and using the shares and the ownership that it
/// adds. It is the freshness limit, after which a daemon that missed the change has stopped, plus a
/// margin for different clock rates and for the time between the last check and the use.
pub const ACTIVATION_DELAY: Duration = Duration::from_millis(2_500);
