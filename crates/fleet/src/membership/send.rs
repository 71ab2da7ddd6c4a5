//! Composition of datagrams.

use super::{Membership, MembershipAction, Turn};
use crate::wire::{Claim, Datagram, MAX_DATAGRAM_BYTES, Message};
use std::net::SocketAddr;
use std::time::Duration;

/// Random members that get news at once.
const FANOUT: usize = 3;

/// Shortest time between two such rounds. The news of many members that come or go together is
/// passed on in a few full datagrams.
const SPREAD_INTERVAL: Duration = Duration::from_millis(20);

impl Membership {
    /// Passes news on at once.
    pub(super) fn spread(&mut self, turn: &mut Turn<'_>) {
        if !self.has_news || turn.now < self.next_spread {
            return;
        }
        self.has_news = false;
        self.next_spread = turn.now + SPREAD_INTERVAL;
        for contact in self.table.sample(FANOUT, None, &mut self.rng) {
            if self.allowance.allows_gossip() {
                self.send(
                    turn,
                    contact.address,
                    Some(contact.id.index),
                    Message::Gossip,
                );
            }
        }
    }

    pub(super) fn datagram(&self, turn: &Turn<'_>, message: Message) -> Datagram {
        let mut daemon_status = turn.daemon_status.clone();
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
        turn: &mut Turn<'_>,
        to: SocketAddr,
        index: Option<u32>,
        message: Message,
    ) {
        let mut datagram = self.datagram(turn, message);
        // What is said about the receiver goes first, so that it can refute.
        let about_receiver = index
            .and_then(|index| self.table.get(index))
            .map(|entry| entry.update)
            .filter(|update| update.claim != Claim::Alive);
        let room = MAX_DATAGRAM_BYTES.saturating_sub(datagram.encoded_len());
        let carries_news = matches!(
            message,
            Message::Ping { .. } | Message::Ack { .. } | Message::Gossip
        );
        if carries_news && self.allowance.is_positive() {
            let members = self.live_count();
            datagram.updates =
                self.gossip
                    .take(room, members, about_receiver, message == Message::Gossip);
        } else {
            datagram
                .updates
                .extend(about_receiver.filter(|u| u.encoded_len() <= room));
        }
        self.push_datagram(turn, to, &datagram);
    }

    pub(super) fn push_datagram(
        &mut self,
        turn: &mut Turn<'_>,
        to: SocketAddr,
        datagram: &Datagram,
    ) {
        let bytes = datagram.encode();
        self.allowance.spend(bytes.len());
        turn.actions.push(MembershipAction::Send { to, bytes });
    }
}
