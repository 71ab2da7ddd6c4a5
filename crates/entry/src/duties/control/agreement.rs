//! Epochs and leases, on which the daemons agree through the log.

use anvilgw_core::{DaemonId, LogSlice, Offset};
use anvilgw_fleet::{
    Duty as FleetDuty, Epoch, EpochAction, EpochFold, EpochProposer, LeaseAction, LeaseCandidate,
    LeaseFold, LeaseTimes,
};
use rand::rngs::StdRng;
use std::time::Duration;

/// Duties of the fleet, each of which one daemon at a time holds by a lease.
const FLEET_DUTIES: [FleetDuty; 4] = [
    FleetDuty::Epoch,
    FleetDuty::Snapshot,
    FleetDuty::Orders,
    FleetDuty::Copies,
];

/// A record to append, by the stream that it belongs to.
pub(super) enum Append {
    /// Encoded record for the stream of epochs.
    Epoch(Vec<u8>),
    /// Encoded record for the stream of leases.
    Lease(Vec<u8>),
}

/// State of the membership on which decisions about epochs and leases depend.
pub(super) struct MembershipInput<'a> {
    /// Live members, sorted, including this daemon.
    pub(super) live: &'a [DaemonId],
    /// Members that left the fleet or were replaced by a later process.
    pub(super) departed: &'a [DaemonId],
    /// Whether this daemon's view of the fleet is fresh.
    pub(super) fresh: bool,
}

/// Current epoch and leases as folded from the log, with the state machines that propose new ones.
pub(super) struct Agreement {
    own: DaemonId,
    epochs: EpochFold,
    leases: LeaseFold,
    epoch_proposer: EpochProposer,
    candidates: Vec<(FleetDuty, LeaseCandidate)>,
}

impl Agreement {
    pub(super) fn new(own: DaemonId, now: Duration) -> Self {
        let candidates = FLEET_DUTIES
            .into_iter()
            .map(|duty| {
                let candidate = LeaseCandidate::new(own, duty, LeaseTimes::default(), now);
                (duty, candidate)
            })
            .collect();
        Self {
            own,
            epochs: EpochFold::new(),
            leases: LeaseFold::new(),
            epoch_proposer: EpochProposer::new(own),
            candidates,
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

    /// Folds records that were read from the log. Calls `on_epoch` for each new epoch, in order.
    pub(super) fn on_read(
        &mut self,
        epochs: &LogSlice,
        leases: &LogSlice,
        now: Duration,
        mut on_epoch: impl FnMut(&Epoch),
    ) {
        for record in &epochs.records {
            let before = self.epochs.number();
            if self.epochs.apply(record.offset, &record.payload).is_err() {
                // Records were trimmed before they were read. Those after the gap build on the
                // missing epochs, so they can only be applied to a new fold.
                self.epochs = EpochFold::new();
                let _ = self.epochs.apply(record.offset, &record.payload);
            }
            if let Some(epoch) = self.epochs.current().filter(|epoch| epoch.number > before) {
                on_epoch(epoch);
            }
        }
        self.leases.retain_from(leases.first_offset);
        for record in &leases.records {
            if self.leases.apply(record.offset, &record.payload).is_err() {
                self.leases = LeaseFold::new();
                let _ = self.leases.apply(record.offset, &record.payload);
            }
        }
        for (_, candidate) in &mut self.candidates {
            candidate.on_log_read(now, &self.leases);
        }
    }

    /// Advances the state machines and returns the records to append.
    pub(super) fn tick(
        &mut self,
        now: Duration,
        membership: &MembershipInput<'_>,
        rng: &mut StdRng,
    ) -> Vec<Append> {
        let rank = membership
            .live
            .iter()
            .position(|member| *member == self.own);
        let rank = rank.and_then(|rank| u32::try_from(rank).ok());
        let mut appends: Vec<_> = self
            .candidates
            .iter_mut()
            .filter_map(|(_, candidate)| candidate.tick(now, rank, membership.fresh, rng))
            .map(|LeaseAction::Append(record)| Append::Lease(record.encode()))
            .collect();
        let holds_lease = self.fencing_token(FleetDuty::Epoch, now).is_some();
        let proposal = self.epoch_proposer.tick(
            now,
            &self.epochs,
            membership.live,
            membership.departed,
            holds_lease,
            rng,
        );
        if let Some(EpochAction::Append(record)) = proposal {
            appends.push(Append::Epoch(record.encode()));
        }
        appends
    }

    /// Returns the fencing token of a fleet duty if this daemon holds the lease of the duty now.
    pub(super) fn fencing_token(&self, duty: FleetDuty, now: Duration) -> Option<Offset> {
        self.candidates
            .iter()
            .find(|(other, _)| *other == duty)
            .and_then(|(_, candidate)| candidate.token(now))
    }

    /// Allows the next epoch to be proposed without a majority of the last one. Returns false if
    /// this daemon does not hold the lease for proposing epochs.
    pub(super) fn force_epoch(&mut self, now: Duration) -> bool {
        let holds_lease = self.fencing_token(FleetDuty::Epoch, now).is_some();
        if holds_lease {
            self.epoch_proposer.force_next_epoch();
        }
        holds_lease
    }

    pub(super) fn on_clock_stopped(&mut self, now: Duration) {
        for (_, candidate) in &mut self.candidates {
            candidate.on_clock_stopped(now);
        }
    }

    /// Releases all leases that this daemon holds and returns the records to append.
    pub(super) fn release(&mut self, now: Duration, rng: &mut StdRng) -> Vec<Append> {
        self.candidates
            .iter_mut()
            .filter_map(|(_, candidate)| candidate.release(now, rng))
            .map(|LeaseAction::Append(record)| Append::Lease(record.encode()))
            .collect()
    }

    /// Returns the states of all leases and of the epoch proposer, for the status of the daemon.
    pub(super) fn status(&self, now: Duration) -> Vec<(String, String)> {
        let mut status: Vec<_> = self
            .candidates
            .iter()
            .map(|(duty, candidate)| (format!("{duty:?}"), format!("{:?}", candidate.status(now))))
            .collect();
        status.push((
            "Epochs".to_owned(),
            format!("{:?}", self.epoch_proposer.status()),
        ));
        status
    }
}
