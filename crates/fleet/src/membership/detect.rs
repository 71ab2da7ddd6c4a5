//! Probes, suspicions and removals.

use super::{LAST_PINGS, Membership, SUSPICION_TIME, Turn};
use crate::probe::Due;
use crate::wire::{Claim, Message, Update};
use anvilgw_core::DaemonId;
use std::time::Duration;

/// Members asked to probe one that did not answer.
const INDIRECT_PROBES: usize = 3;

impl Membership {
    /// After a pause nothing is known about the time before: probes start again and suspects get the
    /// whole time to refute.
    pub(super) fn restart_timers(&mut self, now: Duration) {
        self.health.worsen();
        self.probes.clear();
        for entry in self.table.suspects() {
            entry.since = now;
            entry.last_pings = 0;
        }
    }

    pub(super) fn probes_due(&mut self, turn: &mut Turn<'_>) {
        for due in self.probes.due(turn.now) {
            match due {
                Due::AskOthers(probe) => {
                    let request = Message::PingRequest {
                        seq: probe.seq,
                        target: probe.target,
                    };
                    let except = Some(probe.target.index);
                    for relay in self.table.sample(INDIRECT_PROBES, except, &mut self.rng) {
                        self.send(turn, relay.address, Some(relay.id.index), request);
                    }
                }
                Due::Suspect(target) => self.suspect(target, turn),
            }
        }
    }

    pub(super) fn suspect(&mut self, target: DaemonId, turn: &mut Turn<'_>) {
        let Some(entry) = self.table.get(target.index) else {
            return;
        };
        if entry.update.claim != Claim::Alive || entry.update.contact.id != target {
            return;
        }
        let update = Update {
            claim: Claim::Suspect,
            ..entry.update
        };
        self.apply(update, true, turn);
        self.ping(target.index, true, turn);
        // Neighbours on the ring may have failed together: go on with the next one at once.
        self.ring_next = true;
        self.next_probe = turn.now;
    }

    pub(super) fn suspicions_due(&mut self, turn: &mut Turn<'_>) {
        let limit = SUSPICION_TIME * self.health.factor();
        let mut pings = Vec::new();
        let mut dead = Vec::new();
        for entry in self.table.suspects() {
            let elapsed = turn.now.saturating_sub(entry.since);
            if turn.now >= entry.removal_at(limit) {
                dead.push(Update {
                    claim: Claim::Dead,
                    ..entry.update
                });
            } else if LAST_PINGS
                .get(entry.last_pings as usize)
                .is_some_and(|&after| elapsed >= after)
            {
                entry.last_pings += 1;
                pings.push(entry.update.contact.id.index);
            }
        }
        for index in pings {
            self.ping(index, true, turn);
        }
        for update in dead {
            self.apply(update, true, turn);
        }
    }

    pub(super) fn probe_next(&mut self, turn: &mut Turn<'_>) {
        let target = if self.ring_next {
            self.table.ring_successor(self.own.id.index)
        } else {
            self.table.next_in_round(&mut self.rng)
        };
        self.ring_next = !self.ring_next;
        if let Some(index) = target {
            self.ping(index, false, turn);
        }
    }

    pub(super) fn ping(&mut self, index: u32, last_chance: bool, turn: &mut Turn<'_>) {
        let Some(contact) = self.table.get(index).map(|entry| entry.update.contact) else {
            return;
        };
        let factor = self.health.factor();
        let seq = self.probes.start(contact.id, turn.now, factor, last_chance);
        self.send(turn, contact.address, Some(index), Message::Ping { seq });
    }
}
