//! The configuration stream: the records of changes, the state that they lead to, and the fold that
//! computes the state from the records.

mod bootstrap;
mod change;
mod fold;
mod mutation;
mod peer;
mod snapshot;
mod state;

pub use bootstrap::{Bootstrap, BootstrapError};
pub use change::{ConfigChange, ConfigRecord, RecordError, RecordId};
pub use fold::{ConfigFold, FoldError, FoldOutcome};
#[doc(hidden)]
pub use mutation::Flaw;
pub use peer::{AcceptedChange, PeerUpdate, PeerUpdateError};
pub use snapshot::{Snapshot, SnapshotError};
pub use state::{ConfigDigest, ConfigState, Outcome, RecordOutcome, Rejection};

use serde::Serialize;

/// Returns the canonical JSON of a value, the payload of records and snapshots and the input of all
/// digests.
///
/// The JSON of these types is canonical because maps keep their order, sets are sorted, and there
/// are no floating point numbers.
fn canonical_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("types of the configuration stream have text keys only")
}
