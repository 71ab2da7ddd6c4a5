//! Queue of updates to be sent to other members.

use crate::wire::Update;

/// Largest number of queued updates. With 410 members, the updates of a restart of all of them fit
/// twice.
const MAX_QUEUED: usize = 1_024;

/// Transmissions of an update in addition to the logarithm of the member count. The logarithm lets
/// an update reach nearly all members; the additional ones make up for lost datagrams.
const EXTRA_TRANSMISSIONS: u32 = 2;

/// Number of transmissions from which an update is no longer sent at once, but only piggybacked on
/// pings and acks.
const MAX_NEW_TRANSMISSIONS: u32 = 3;

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: Update,
    len: usize,
    sent: u32,
}

/// Smallest member count assumed when the number of transmissions is calculated. While a fleet
/// forms, a daemon knows only a few of the members that updates have to reach.
const MIN_ASSUMED_MEMBERS: usize = 64;

/// Updates ordered by their number of transmissions, smallest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct GossipQueue {
    queue: Vec<QueuedUpdate>,
}

impl GossipQueue {
    /// Adds an update and drops the queued one about the same member.
    pub(crate) fn push(&mut self, update: Update) {
        self.queue
            .retain(|queued| queued.update.contact.id.index != update.contact.id.index);
        if self.queue.len() >= MAX_QUEUED {
            // The update that was sent most often needs the fewest further transmissions.
            self.queue.pop();
        }
        let len = update.encoded_len();
        self.queue.insert(
            0,
            QueuedUpdate {
                update,
                len,
                sent: 0,
            },
        );
    }

    /// Returns updates that fit into `room` bytes and counts their transmission. `first`, if given,
    /// is put in front. With `only_new`, updates that were already sent [`MAX_NEW_TRANSMISSIONS`]
    /// times are left out; they are piggybacked on pings and acks.
    pub(crate) fn take(
        &mut self,
        room: usize,
        members: usize,
        first: Option<Update>,
        only_new: bool,
    ) -> Vec<Update> {
        let members = members.max(MIN_ASSUMED_MEMBERS);
        let limit = usize::BITS - members.leading_zeros() + EXTRA_TRANSMISSIONS;
        let mut room = room;
        let mut taken: Vec<Update> = Vec::new();
        if let Some(update) = first.filter(|update| update.encoded_len() <= room) {
            room -= update.encoded_len();
            taken.push(update);
        }
        for queued in &mut self.queue {
            let is_first =
                first.is_some_and(|u| u.contact.id.index == queued.update.contact.id.index);
            let skipped = only_new && queued.sent >= MAX_NEW_TRANSMISSIONS;
            if queued.len <= room && !is_first && !skipped {
                room -= queued.len;
                queued.sent += 1;
                taken.push(queued.update);
            }
        }
        self.queue.retain(|queued| queued.sent < limit);
        self.queue.sort_by_key(|queued| queued.sent);
        taken
    }
}
