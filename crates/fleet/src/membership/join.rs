//! Contact with addresses that are only seed_addresses, and transfer of the member list in pages.

use super::{Membership, Turn};
use crate::wire::{Claim, MAX_DATAGRAM_BYTES, Message};
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two attempts to reach an address that is only a hint, or a removed member.
const CONTACT_PERIOD: Duration = Duration::from_secs(2);

/// The same while no member is known.
const LONELY_CONTACT_PERIOD: Duration = Duration::from_millis(500);

/// Time to the next page after one that brought news.
const NEWS_SYNC_PERIOD: Duration = Duration::from_millis(200);

impl Membership {
    pub(super) fn handle_page(&mut self, next_index: Option<u32>, turn: &mut Turn<'_>) {
        self.sync_cursor = next_index.unwrap_or(0);
        self.has_full_list |= next_index.is_none();
        if self.last_change == turn.now {
            // As long as pages bring news, the list is fetched quickly, each page from another member.
            self.next_sync = self.next_sync.min(turn.now + NEWS_SYNC_PERIOD);
        }
    }

    pub(super) fn send_page(&mut self, to: SocketAddr, from_index: u32, turn: &mut Turn<'_>) {
        if !self.allowance.take_page() {
            return;
        }
        let mut datagram = self.datagram(
            turn,
            Message::Page {
                next_index: Some(u32::MAX),
            },
        );
        let mut room = MAX_DATAGRAM_BYTES.saturating_sub(datagram.encoded_len());
        let mut next_index = None;
        for entry in self.table.entries_from(from_index) {
            let len = entry.update.encoded_len();
            if len > room {
                next_index = Some(entry.update.contact.id.index);
                break;
            }
            room -= len;
            datagram.updates.push(entry.update);
        }
        datagram.message = Message::Page { next_index };
        self.push_datagram(turn, to, &datagram);
    }

    /// Contacts one address that may belong to an unknown or removed member.
    pub(super) fn contact_hint(&mut self, turn: &mut Turn<'_>) {
        let lonely = self.table.live_count() == 0;
        self.next_contact = turn.now
            + if lonely || !self.has_full_list {
                LONELY_CONTACT_PERIOD
            } else {
                CONTACT_PERIOD
            };
        let mut addresses = self.seed_addresses.clone();
        for entry in self.table.entries() {
            if entry.is_live() {
                addresses.swap_remove(&entry.update.contact.address);
            } else if entry.update.claim == Claim::Dead {
                addresses.insert(entry.update.contact.address);
            }
        }
        if !addresses.is_empty() {
            let address = addresses[self.rng.random_range(0..addresses.len())];
            let dead = self
                .table
                .entries()
                .find(|entry| !entry.is_live() && entry.update.contact.address == address)
                .map(|entry| entry.update.contact.id.index);
            self.send(turn, address, dead, Message::Sync { from_index: 0 });
        }
        if !self.has_full_list && !lonely {
            self.sync_random(turn);
        }
    }

    pub(super) fn sync_random(&mut self, turn: &mut Turn<'_>) {
        let message = Message::Sync {
            from_index: self.sync_cursor,
        };
        for contact in self.table.sample(1, None, &mut self.rng) {
            self.send(turn, contact.address, Some(contact.id.index), message);
        }
    }
}
