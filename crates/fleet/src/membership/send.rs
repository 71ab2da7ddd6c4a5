//! Composition and sending of datagrams.

use super::{CallContext, Membership, MembershipAction};
use crate::wire::{Datagram, MAX_DATAGRAM_BYTES, Message, ReportedState};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of random members to which new updates are sent at once.
const GOSSIP_FANOUT: usize = 3;

/// Shortest time between two such rounds. When many members come or go together, their updates are
/// thereby sent in a few full datagrams.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(20);

impl Membership {
    /// Sends new updates to a few random members, if there are any and the round is due.
    pub(super) fn send_gossip(&mut self, ctx: &mut CallContext<'_>) {
        if !self.has_new_updates || ctx.now < self.next_gossip {
            return;
        }
        self.has_new_updates = false;
        self.next_gossip = ctx.now + GOSSIP_INTERVAL;
        for contact in self.table.sample(GOSSIP_FANOUT, None, &mut self.rng) {
            if self.send_limit.allows_gossip() {
                self.send(
                    ctx,
                    contact.address,
                    Some(contact.id.index),
                    Message::Gossip,
                );
            }
        }
    }

    pub(super) fn datagram(&self, ctx: &CallContext<'_>, message: Message) -> Datagram {
        let mut daemon_status = ctx.daemon_status.clone();
        if !matches!(message, Message::Ping { .. } | Message::Ack { .. }) {
            daemon_status.outage_ages = Vec::new();
        }
        Datagram {
            from: self.own,
            refutation: self.refutation,
            daemon_status,
            message,
            updates: Vec::new(),
        }
    }

    pub(super) fn send(
        &mut self,
        ctx: &mut CallContext<'_>,
        to: SocketAddr,
        index: Option<u32>,
        message: Message,
    ) {
        let mut datagram = self.datagram(ctx, message);
        // An update about the receiver goes first, so that the receiver can refute it.
        let about_receiver = index
            .and_then(|index| self.table.get(index))
            .map(|entry| entry.update)
            .filter(|update| update.state != ReportedState::Alive);
        let room = MAX_DATAGRAM_BYTES.saturating_sub(datagram.encoded_len());
        let carries_updates = matches!(
            message,
            Message::Ping { .. } | Message::Ack { .. } | Message::Gossip
        );
        if carries_updates && self.send_limit.allows_updates() {
            let members = self.live_count();
            datagram.updates =
                self.gossip
                    .take(room, members, about_receiver, message == Message::Gossip);
        } else {
            datagram
                .updates
                .extend(about_receiver.filter(|u| u.encoded_len() <= room));
        }
        self.push_datagram(ctx, to, &datagram);
    }

    pub(super) fn push_datagram(
        &mut self,
        ctx: &mut CallContext<'_>,
        to: SocketAddr,
        datagram: &Datagram,
    ) {
        let bytes = datagram.encode();
        self.send_limit.spend(bytes.len());
        ctx.actions.push(MembershipAction::Send { to, bytes });
    }
}
