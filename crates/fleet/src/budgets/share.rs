//! Share of one daemon in one budget.

use super::{BudgetId, Split};
use crate::ACTIVATION_DELAY;
use crate::epoch::Epoch;
use anvilgw_core::DaemonId;
use std::time::Duration;

/// Window in which the peak of use is recorded. A share that was unused for one to two windows is
/// idle.
const USE_WINDOW: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
pub(super) struct BudgetShare {
    pub(super) split: Split,
    /// Owner in the current epoch. It is kept because finding it takes a hash for each member.
    pub(super) owner: Option<DaemonId>,
    pub(super) capacity: u64,
    /// Larger capacity, and the uptime from which it is used.
    pub(super) pending_capacity: Option<(u64, Duration)>,
    /// Largest part of the new epoch's base share that counts, and the uptime until which this
    /// limit applies.
    pub(super) pending_limit: Option<(u64, Duration)>,
    pub(super) received: u64,
    pub(super) received_transfers: u64,
    pub(super) given: u64,
    pub(super) in_use: u64,
    pub(super) wanted: u64,
    pub(super) window_start: Duration,
    pub(super) peak: u64,
    pub(super) previous_peak: u64,
    pub(super) last_request: Option<Duration>,
}

/// Position of this daemon among the members of an epoch.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EpochPosition {
    /// Position in the sorted list of members; `None` if the daemon is not a member.
    pub(super) rank: Option<u64>,
    pub(super) members: u64,
}

impl EpochPosition {
    pub(super) fn new(own: DaemonId, epoch: &Epoch) -> Self {
        let rank = epoch.members.iter().position(|&member| member == own);
        Self {
            rank: rank.map(|rank| rank as u64),
            members: epoch.members.len() as u64,
        }
    }

    /// Returns the daemon's base share of a budget with the given owner.
    pub(super) fn base_share(
        &self,
        own: DaemonId,
        id: BudgetId,
        split: Split,
        owner: Option<DaemonId>,
        capacity: u64,
    ) -> u64 {
        let Some(rank) = self.rank else {
            return 0;
        };
        match split {
            Split::Owner => {
                if owner == Some(own) {
                    capacity
                } else {
                    0
                }
            }
            Split::Even => {
                // Rotating by the budget's number spreads the remainders of many budgets.
                let position = (rank + u64::from(id.0)) % self.members;
                capacity / self.members + u64::from(position < capacity % self.members)
            }
        }
    }
}

impl BudgetShare {
    pub(super) fn new(split: Split, owner: Option<DaemonId>, now: Duration) -> Self {
        Self {
            split,
            owner,
            capacity: 0,
            pending_capacity: None,
            pending_limit: None,
            received: 0,
            received_transfers: 0,
            given: 0,
            in_use: 0,
            wanted: 0,
            window_start: now,
            peak: 0,
            previous_peak: 0,
            last_request: None,
        }
    }

    pub(super) fn capacity(&self, now: Duration) -> u64 {
        match self.pending_capacity {
            Some((capacity, from)) if now >= from => capacity,
            _ => self.capacity,
        }
    }

    pub(super) fn share(&self, base: u64, now: Duration) -> u64 {
        let base = match self.pending_limit {
            Some((limit, until)) if now < until => base.min(limit),
            _ => base,
        };
        (base + self.received).saturating_sub(self.given)
    }

    pub(super) fn has_pending_limit(&self, now: Duration) -> bool {
        self.pending_limit.is_some_and(|(_, until)| now < until)
    }

    /// Returns the largest use within the last one to two windows, including what waiting work
    /// wanted.
    pub(super) fn recent_use(&self) -> u64 {
        self.in_use
            .max(self.peak)
            .max(self.previous_peak)
            .max(self.wanted)
    }

    pub(super) fn observe_use(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= USE_WINDOW {
            self.previous_peak = if elapsed < USE_WINDOW * 2 {
                self.peak
            } else {
                0
            };
            self.peak = 0;
            self.window_start = now;
        }
        self.peak = self.peak.max(self.in_use);
    }

    pub(super) fn set_capacity(&mut self, capacity: u64, now: Duration) {
        let current = self.capacity(now);
        self.capacity = current;
        // Setting the same capacity again must not restart the delay: the configuration is applied
        // more often than the delay is long.
        if self
            .pending_capacity
            .is_some_and(|(pending, from)| pending == capacity && now < from)
        {
            return;
        }
        self.pending_capacity = None;
        if capacity >= current {
            if capacity > current {
                self.pending_capacity = Some((capacity, now + ACTIVATION_DELAY));
            }
            return;
        }
        let scaled = u128::from(self.received) * u128::from(capacity) / u128::from(current);
        let scaled = u64::try_from(scaled).unwrap_or(u64::MAX);
        self.received = scaled.saturating_sub(self.received_transfers);
        self.capacity = capacity;
    }
}
