//! Contact with seed addresses and removed members, and transfer of the member list in pages.

use super::{CallContext, Membership};
use crate::wire::{MAX_DATAGRAM_BYTES, Message, ReportedState};
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two attempts to reach a seed address or a removed member.
const CONTACT_PERIOD: Duration = Duration::from_secs(2);

/// Time between these attempts while no other member is known or the member list has not been
/// received in full.
const JOIN_CONTACT_PERIOD: Duration = Duration::from_millis(500);

/// Longest time to the next page request after a page that changed the list of members.
const FAST_SYNC_PERIOD: Duration = Duration::from_millis(200);

impl Membership {
    pub(super) fn handle_page(&mut self, next_index: Option<u32>, ctx: &mut CallContext<'_>) {
        self.sync_cursor = next_index.unwrap_or(0);
        self.has_full_list |= next_index.is_none();
        if self.last_change == ctx.now {
            // As long as pages bring changes, the list is fetched quickly, each page from another
            // member.
            self.next_sync = self.next_sync.min(ctx.now + FAST_SYNC_PERIOD);
        }
    }

    pub(super) fn send_page(&mut self, to: SocketAddr, from_index: u32, ctx: &mut CallContext<'_>) {
        if !self.send_limit.try_take_page() {
            return;
        }
        let mut datagram = self.datagram(
            ctx,
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
        self.push_datagram(ctx, to, &datagram);
    }

    /// Requests the first page of the member list from a random address that may belong to an
    /// unknown or a removed member.
    pub(super) fn contact_possible_member(&mut self, ctx: &mut CallContext<'_>) {
        let knows_nobody = self.table.live_count() == 0;
        self.next_contact = ctx.now
            + if knows_nobody || !self.has_full_list {
                JOIN_CONTACT_PERIOD
            } else {
                CONTACT_PERIOD
            };
        let mut addresses = self.seed_addresses.clone();
        for entry in self.table.entries() {
            if entry.is_live() {
                addresses.swap_remove(&entry.update.contact.address);
            } else if entry.update.state == ReportedState::Dead {
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
            self.send(ctx, address, dead, Message::Sync { from_index: 0 });
        }
        if !self.has_full_list && !knows_nobody {
            self.request_page(ctx);
        }
    }

    pub(super) fn request_page(&mut self, ctx: &mut CallContext<'_>) {
        let message = Message::Sync {
            from_index: self.sync_cursor,
        };
        for contact in self.table.sample(1, None, &mut self.rng) {
            self.send(ctx, contact.address, Some(contact.id.index), message);
        }
    }
}
