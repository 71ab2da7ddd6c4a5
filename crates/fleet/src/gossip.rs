//! Updates waiting to be passed on.

use crate::wire::Update;

/// Most updates held. At 410 members even the restart of all fits twice.
const MAX_QUEUED: usize = 1_024;

/// Transmissions of one update on top of the logarithm of the member count. The logarithm spreads
/// it to nearly all members; the rest makes up for lost datagrams.
const EXTRA_TRANSMISSIONS: u32 = 2;

/// Transmissions up to which an update is new enough to be passed on at once.
const MAX_NEW_TRANSMISSIONS: u32 = 3;

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: Update,
    len: usize,
    sent: u32,
}

/// Least member count assumed for the number of transmissions. While a fleet forms, members know only
/// a few of those that news has to reach.
const MIN_ASSUMED_MEMBERS: usize = 64;

/// Updates ordered by the number of transmissions, the least sent first.
#[derive(Clone, Debug, Default)]
pub(crate) struct GossipQueue {
    queue: Vec<QueuedUpdate>,
}

impl GossipQueue {
    /// Adds an update. It replaces older news about the same member.
    pub(crate) fn push(&mut self, update: Update) {
        self.queue
            .retain(|queued| queued.update.contact.id.index != update.contact.id.index);
        if self.queue.len() >= MAX_QUEUED {
            // The most often sent one has the least left to do.
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

    /// Takes updates that fit into `room` bytes, counting their transmission. `first` goes in front
    /// if given. With `only_new`, updates that were
    /// sent a few times before are left to probes and answers.
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
