//! Epochs and leases of the control duty.

use anvilgw_core::{DaemonId, LogSlice, Offset};
use anvilgw_fleet::{
    Duty, Epoch, EpochAction, EpochFold, EpochProposer, LeaseAction, LeaseCandidate, LeaseFold,
    LeaseTimes,
};
use rand::rngs::StdRng;
use std::time::Duration;

const DUTIES: [Duty; 4] = [Duty::Epoch, Duty::Snapshot, Duty::Orders, Duty::Copies];

/// Record to append.
pub(super) enum Append {
    /// To the stream of epochs.
    Epoch(Vec<u8>),
    /// To the stream of leases.
    Lease(Vec<u8>),
}

/// The members as input to decisions.
pub(super) struct Standing<'a> {
    /// Live members, sorted, this daemon included.
    pub(super) live: &'a [DaemonId],
    /// Members that left or were replaced.
    pub(super) left: &'a [DaemonId],
    /// Whether the view is fresh.
    pub(super) fresh: bool,
}

/// Folds of epochs and leases with their state machines.
pub(super) struct Agreement {
    own: DaemonId,
    epochs: EpochFold,
    leases: LeaseFold,
    keeper: EpochProposer,
    holders: Vec<(Duty, LeaseCandidate)>,
}

impl Agreement {
    pub(super) fn new(own: DaemonId, now: Duration) -> Self {
        let holders = DUTIES
            .into_iter()
            .map(|duty| {
                let holder = LeaseCandidate::new(own, duty, LeaseTimes::default(), now);
                (duty, holder)
            })
            .collect();
        Self {
            own,
            epochs: EpochFold::new(),
            leases: LeaseFold::new(),
            keeper: EpochProposer::new(own),
            holders,
        }
    }

    pub(super) fn next_epoch_offset(&self) -> Option<Offset> {
        self.epochs.next_offset()
    }

    pub(super) fn next_lease_offset(&self) -> Option<Offset> {
        self.leases.next_offset()
    }

    pub(super) fn epoch(&self) -> Option<&Epoch> {
        self.epochs.current()
    }

    /// Folds what was read. Every epoch is handed to `each`, in order.
    pub(super) fn on_read(
        &mut self,
        epochs: &LogSlice,
        leases: &LogSlice,
        now: Duration,
        mut each: impl FnMut(&Epoch),
    ) {
        for record in &epochs.records {
            let before = self.epochs.number();
            if self.epochs.apply(record.offset, &record.payload).is_err() {
                // Records were trimmed before they were read. The records after the gap expect the
                // epochs that are missing, so a new fold takes them over.
                self.epochs = EpochFold::new();
                let _ = self.epochs.apply(record.offset, &record.payload);
            }
            if let Some(epoch) = self.epochs.current().filter(|epoch| epoch.number > before) {
                each(epoch);
            }
        }
        self.leases.retain_from(leases.first_offset);
        for record in &leases.records {
            if self.leases.apply(record.offset, &record.payload).is_err() {
                self.leases = LeaseFold::new();
                let _ = self.leases.apply(record.offset, &record.payload);
            }
        }
        for (_, holder) in &mut self.holders {
            holder.on_log_read(now, &self.leases);
        }
    }

    /// Decides what to append.
    pub(super) fn tick(
        &mut self,
        now: Duration,
        standing: &Standing<'_>,
        rng: &mut StdRng,
    ) -> Vec<Append> {
        let rank = standing.live.iter().position(|member| *member == self.own);
        let rank = rank.and_then(|rank| u32::try_from(rank).ok());
        let mut appends: Vec<_> = self
            .holders
            .iter_mut()
            .filter_map(|(_, holder)| holder.tick(now, rank, standing.fresh, rng))
            .map(|LeaseAction::Append(record)| Append::Lease(record.encode()))
            .collect();
        let holds_lease = self.token(Duty::Epoch, now).is_some();
        let proposal = self.keeper.tick(
            now,
            &self.epochs,
            standing.live,
            standing.left,
            holds_lease,
            rng,
        );
        if let Some(EpochAction::Append(record)) = proposal {
            appends.push(Append::Epoch(record.encode()));
        }
        appends
    }

    /// The fencing token of a duty if this daemon holds it now.
    pub(super) fn token(&self, duty: Duty, now: Duration) -> Option<Offset> {
        self.holders
            .iter()
            .find(|(known, _)| *known == duty)
            .and_then(|(_, holder)| holder.token(now))
    }

    /// Allows the next epoch without a majority of the last one, if this daemon holds the duty.
    pub(super) fn force_epoch(&mut self, now: Duration) -> bool {
        let holds = self.token(Duty::Epoch, now).is_some();
        if holds {
            self.keeper.force_next_epoch();
        }
        holds
    }

    pub(super) fn on_clock_stopped(&mut self, now: Duration) {
        for (_, holder) in &mut self.holders {
            holder.on_clock_stopped(now);
        }
    }

    /// Gives all duties up.
    pub(super) fn release(&mut self, now: Duration, rng: &mut StdRng) -> Vec<Append> {
        self.holders
            .iter_mut()
            .filter_map(|(_, holder)| holder.release(now, rng))
            .map(|LeaseAction::Append(record)| Append::Lease(record.encode()))
            .collect()
    }

    /// State of all duties, for `status`.
    pub(super) fn status(&self, now: Duration) -> Vec<(String, String)> {
        let mut status: Vec<_> = self
            .holders
            .iter()
            .map(|(duty, holder)| (format!("{duty:?}"), format!("{:?}", holder.status(now))))
            .collect();
        status.push(("Epochs".to_owned(), format!("{:?}", self.keeper.status())));
        status
    }
}
