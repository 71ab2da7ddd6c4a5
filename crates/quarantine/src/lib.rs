//! Quarantine of prompt parts under which backend servers end.
//!
//! A prompt can end each backend server that answers it (a query of death). If the end is put down
//! to the server alone, the next request with the same part ends the next server. Each daemon sees
//! only a few of these requests, so the daemons of a fleet share evidence:
//!
//! - When a server ends, each daemon reports the shared parts of the prompts that it had in flight
//!   there ([`record::EndReport`]).
//! - A part that a whole answer was received for is sound. Daemons withdraw the evidence against it
//!   ([`record::Clearance`]), so popular parts do not collect any.
//! - What is left is attributed to as few parts as possible ([`attribution`]). A part under which
//!   enough servers have ended is quarantined: requests with it are refused.
//! - After a cooldown one request with the part is sent as a trial ([`record::Trial`]). If it gets a
//!   whole answer, the part is released.
//!
//! The store of the log may be restored from an older copy. Daemons then keep what they have read a
//! short time ago, and store again what the copy lacks.
//!
//! Parts are named by callers. A workspace's requests alone can quarantine a part only for that
//! workspace, and evidence is evicted from the workspace that has most of it.
//!
//! Nothing here does I/O. Evidence is kept as records of a keyed log, which the caller stores; all
//! daemons that have read the same records come to the same result, except for parts of which they
//! themselves have seen a whole answer a moment ago.

pub mod attribution;
pub mod completions;
pub mod pending_ends;
pub mod record;
pub mod table;

mod missing;
mod quarantine;
mod refusal;

pub use quarantine::{
    Admission, COOLDOWN, COOLDOWN_MAX, LostRequests, OBJECTION_TIME, Quarantine, QuarantineChange,
    Times,
};

pub use refusal::{REFUSAL_DETAIL, UNCLAIMED_RETRY_AFTER};

use bincode::{Decode, Encode};
use std::fmt;

/// Identifies a prompt part: a hash of its identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub struct PartKey(pub u64);

impl fmt::Display for PartKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Identifies a workspace: a hash of its name, or zero for requests without a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub struct WorkspaceKey(pub u64);

/// Identifies one start of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub struct ServerStart(pub u64);

/// A prompt part in a request of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub struct Suspect {
    /// The part.
    pub part: PartKey,
    /// Workspace whose request contained it.
    pub workspace: WorkspaceKey,
}

/// Mixes the bits of a number, so that the order of the results is unrelated to that of the inputs.
fn mixed(value: u64) -> u64 {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    (value ^ (value >> 32))
        .wrapping_mul(MULTIPLIER)
        .rotate_left(31)
}
