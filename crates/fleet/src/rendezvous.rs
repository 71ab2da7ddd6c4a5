//! Ownership of resources by rendezvous hashing.

use crate::ACTIVATION_DELAY;
use crate::epoch::Epoch;
use anvilgw_core::DaemonId;
use std::time::Duration;

/// Resource that one member of an epoch owns, identified by its kind and number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OwnedResource {
    /// Partition of the claims, by number.
    ClaimPartition(u32),
    /// Shard of the prompt index, by number.
    IndexShard(u32),
    /// Shared budget, by the number of its [`BudgetId`](crate::BudgetId).
    Budget(u32),
}

impl OwnedResource {
    fn bytes(self) -> [u8; 5] {
        let (kind, number) = match self {
            Self::ClaimPartition(number) => (0, number),
            Self::IndexShard(number) => (1, number),
            Self::Budget(number) => (2, number),
        };
        let [a, b, c, d] = number.to_le_bytes();
        [kind, a, b, c, d]
    }
}

/// Returns the member that owns `resource`: the one with the highest hash of resource and member
/// number; `None` if there are no members. The start time of the process is not hashed, so a
/// restart does not move ownership.
#[must_use]
pub fn owner_of(resource: OwnedResource, members: &[DaemonId]) -> Option<DaemonId> {
    members.iter().copied().max_by_key(|member| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&resource.bytes());
        hasher.update(&member.index.to_le_bytes());
        (*hasher.finalize().as_bytes(), *member)
    })
}

/// Tracks the ownership of one daemon across epochs. The daemon uses what an epoch adds after
/// [`ACTIVATION_DELAY`], and what it owned before and still owns without a break.
#[derive(Clone, Debug)]
pub struct OwnershipTracker {
    own: DaemonId,
    /// Epochs known for less than [`ACTIVATION_DELAY`] and the last one before them, oldest first.
    known: Vec<KnownEpoch>,
}

#[derive(Clone, Debug)]
struct KnownEpoch {
    epoch: Epoch,
    known_since: Duration,
}

impl OwnershipTracker {
    /// Creates the state of a daemon that knows no epoch.
    #[must_use]
    pub fn new(own: DaemonId) -> Self {
        Self {
            own,
            known: Vec::new(),
        }
    }

    /// Records an epoch that the daemon has folded.
    pub fn on_epoch(&mut self, epoch: &Epoch, now: Duration) {
        if self
            .known
            .last()
            .is_some_and(|last| last.epoch.number >= epoch.number)
        {
            return;
        }
        let delay_passed =
            |known: &KnownEpoch| now.saturating_sub(known.known_since) >= ACTIVATION_DELAY;
        let keep_from = self.known.iter().rposition(delay_passed).unwrap_or(0);
        self.known.drain(..keep_from);
        self.known.push(KnownEpoch {
            epoch: epoch.clone(),
            known_since: now,
        });
    }

    /// Returns the member that owns `resource` in the current epoch, to which requests are sent;
    /// `None` before the first epoch.
    #[must_use]
    pub fn owner(&self, resource: OwnedResource) -> Option<DaemonId> {
        owner_of(resource, &self.known.last()?.epoch.members)
    }

    /// Returns whether this daemon may act as the owner of `resource`. The caller also checks that
    /// the daemon's view is fresh.
    #[must_use]
    pub fn may_act(&self, resource: OwnedResource, now: Duration) -> bool {
        let delay_passed =
            |known: &KnownEpoch| now.saturating_sub(known.known_since) >= ACTIVATION_DELAY;
        let Some(from) = self.known.iter().rposition(delay_passed) else {
            return false;
        };
        self.known[from..]
            .iter()
            .all(|known| owner_of(resource, &known.epoch.members) == Some(self.own))
    }
}
