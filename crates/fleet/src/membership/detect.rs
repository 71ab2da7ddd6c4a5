//! Probes, suspicions and removals of members.

use super::{CallContext, Membership, SUSPECT_PING_DELAYS, SUSPICION_TIME};
use crate::probe::ProbeStep;
use crate::wire::{Message, ReportedState, Update};
use anvilgw_core::DaemonId;
use std::time::Duration;

/// Number of members asked to ping a member that did not answer a direct ping.
const INDIRECT_PROBES: usize = 3;

impl Membership {
    /// Restarts all timers after a pause of this daemon, which knows nothing about that time: it
    /// drops the running probes and gives suspects the whole time to refute.
    pub(super) fn restart_timers(&mut self, now: Duration) {
        self.health.worsen();
        self.probes.clear();
        for entry in self.table.suspects() {
            entry.since = now;
            entry.suspect_pings = 0;
        }
    }

    pub(super) fn handle_due_probes(&mut self, ctx: &mut CallContext<'_>) {
        for due in self.probes.due(ctx.now) {
            match due {
                ProbeStep::RequestIndirectPings(probe) => {
                    let request = Message::PingRequest {
                        seq: probe.seq,
                        target: probe.target,
                    };
                    let except = Some(probe.target.index);
                    for relay in self.table.sample(INDIRECT_PROBES, except, &mut self.rng) {
                        self.send(ctx, relay.address, Some(relay.id.index), request);
                    }
                }
                ProbeStep::Suspect(target) => self.suspect(target, ctx),
            }
        }
    }

    pub(super) fn suspect(&mut self, target: DaemonId, ctx: &mut CallContext<'_>) {
        let Some(entry) = self.table.get(target.index) else {
            return;
        };
        if entry.update.state != ReportedState::Alive || entry.update.contact.id != target {
            return;
        }
        let update = Update {
            state: ReportedState::Suspect,
            ..entry.update
        };
        self.apply(update, true, ctx);
        self.ping(target.index, true, ctx);
        // Neighbours on the ring may have failed together: the next one is probed at once.
        self.next_probe_on_ring = true;
        self.next_probe = ctx.now;
    }

    pub(super) fn handle_due_suspicions(&mut self, ctx: &mut CallContext<'_>) {
        let limit = SUSPICION_TIME * self.health.timeout_factor();
        let mut pings = Vec::new();
        let mut dead = Vec::new();
        for entry in self.table.suspects() {
            let elapsed = ctx.now.saturating_sub(entry.since);
            if ctx.now >= entry.removal_due_at(limit) {
                dead.push(Update {
                    state: ReportedState::Dead,
                    ..entry.update
                });
            } else if SUSPECT_PING_DELAYS
                .get(entry.suspect_pings as usize)
                .is_some_and(|&after| elapsed >= after)
            {
                entry.suspect_pings += 1;
                pings.push(entry.update.contact.id.index);
            }
        }
        for index in pings {
            self.ping(index, true, ctx);
        }
        for update in dead {
            self.apply(update, true, ctx);
        }
    }

    pub(super) fn probe_next(&mut self, ctx: &mut CallContext<'_>) {
        let target = if self.next_probe_on_ring {
            self.table.ring_successor(self.own.id.index)
        } else {
            self.table.next_in_round(&mut self.rng)
        };
        self.next_probe_on_ring = !self.next_probe_on_ring;
        if let Some(index) = target {
            self.ping(index, false, ctx);
        }
    }

    pub(super) fn ping(&mut self, index: u32, is_suspect_ping: bool, ctx: &mut CallContext<'_>) {
        let Some(contact) = self.table.get(index).map(|entry| entry.update.contact) else {
            return;
        };
        let timeout_factor = self.health.timeout_factor();
        let seq = self
            .probes
            .start(contact.id, ctx.now, timeout_factor, is_suspect_ping);
        self.send(ctx, contact.address, Some(index), Message::Ping { seq });
    }
}
