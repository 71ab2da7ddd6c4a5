//! Table of the members that one daemon knows.

use crate::wire::{Contact, ReportedState, Update};
use anvilgw_core::DaemonId;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;
use std::time::Duration;

/// Largest number of members and tombstones held. It is ten times the design size of a fleet and
/// bounds memory against a flood of invented members.
const MAX_ENTRIES: usize = 4_096;

/// Time for which a removed member is remembered as a tombstone. During this time older updates
/// about it are ignored, and a failed member is contacted in case a partition has ended. Partitions
/// last minutes.
const TOMBSTONE_TIME: Duration = Duration::from_secs(3_600);

/// State of a member as one daemon sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe and can still refute that it failed.
    Suspect,
    /// The member did not refute the suspicion in time.
    Failed,
    /// The member announced that it leaves.
    Left,
}

/// State and times of a member as one daemon sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Member number, address and failure domain.
    pub contact: Contact,
    /// State of the member.
    pub state: MemberState,
    /// Uptime of this daemon at which the state began.
    pub since: Duration,
    /// Uptime of this daemon at which a datagram of the member itself last arrived; `None` if none
    /// has arrived.
    pub last_heard: Option<Duration>,
}

/// Cause of the removal of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RemovalCause {
    /// The member stopped answering and did not refute the suspicion in time.
    Failed,
    /// The member announced that it leaves.
    Left,
    /// A process with a later start time uses the member's number.
    Replaced,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct MemberEntry {
    pub(crate) update: Update,
    pub(crate) since: Duration,
    pub(crate) last_heard: Option<Duration>,
    /// Number of pings sent to the member since it became suspected.
    pub(crate) suspect_pings: u32,
}

impl MemberEntry {
    pub(crate) fn is_live(&self) -> bool {
        matches!(
            self.update.state,
            ReportedState::Alive | ReportedState::Suspect
        )
    }

    /// Returns when the suspect is removed, given the time `limit` that it has to refute. A member
    /// that still sends is slow rather than dead, unless it receives nothing; it gets twice the
    /// time.
    pub(crate) fn removal_due_at(&self, limit: Duration) -> Duration {
        let still_sends = self
            .last_heard
            .is_some_and(|last_heard| last_heard > self.since);
        self.since + if still_sends { limit * 2 } else { limit }
    }

    fn view(&self) -> MemberView {
        MemberView {
            contact: self.update.contact,
            state: match self.update.state {
                ReportedState::Alive => MemberState::Alive,
                ReportedState::Suspect => MemberState::Suspect,
                ReportedState::Dead => MemberState::Failed,
                ReportedState::Left => MemberState::Left,
            },
            since: self.since,
            last_heard: self.last_heard,
        }
    }
}

/// Change that an update made in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    Joined(Contact),
    Suspected(DaemonId),
    Recovered(DaemonId),
    Removed(Contact, RemovalCause),
    Replaced {
        old: Contact,
        new: Contact,
    },
    /// The update changes only internal state, such as a refutation number.
    Internal,
}

/// Members and tombstones by member number, with the hash ring and the list of live members.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberTable {
    entries: BTreeMap<u32, MemberEntry>,
    /// Live members by the hash of their number. The hash makes it unlikely that neighbours share a
    /// failure domain.
    ring: BTreeMap<u64, u32>,
    live: Vec<u32>,
    /// Members not yet probed in the current round, in random order.
    round: Vec<u32>,
}

pub(crate) fn ring_position(index: u32) -> u64 {
    let hash = blake3::hash(&index.to_le_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

impl MemberTable {
    /// Applies an update. Returns `None` if the table already has this update or a later one, or if
    /// the table is full.
    pub(crate) fn apply(&mut self, update: Update, now: Duration) -> Option<Change> {
        let index = update.contact.id.index;
        let live = matches!(update.state, ReportedState::Alive | ReportedState::Suspect);
        let old = self.entries.get(&index).copied();
        let change = match &old {
            None if self.entries.len() >= MAX_ENTRIES => return None,
            None if live => Change::Joined(update.contact),
            None => Change::Internal,
            Some(old) if old.update.precedence() >= update.precedence() => return None,
            Some(old) => Self::transition(old, &update, live),
        };
        let same_state = old.is_some_and(|o| {
            o.update.state == update.state && o.update.contact.id == update.contact.id
        });
        let entry = MemberEntry {
            update,
            since: match &old {
                // A suspicion with a higher refutation number is a new one, with its own time to
                // refute.
                Some(old) if same_state && update.state != ReportedState::Suspect => old.since,
                _ => now,
            },
            last_heard: old.and_then(|o| {
                o.last_heard
                    .filter(|_| o.update.contact.id == update.contact.id)
            }),
            suspect_pings: 0,
        };
        self.entries.insert(index, entry);
        if old.is_some_and(|old| old.is_live()) != live {
            self.set_live(index, live);
        }
        Some(change)
    }

    fn transition(old: &MemberEntry, update: &Update, live: bool) -> Change {
        let contact = update.contact;
        let same_process = old.update.contact.id == contact.id;
        match (old.is_live(), live) {
            (true, true) if !same_process => Change::Replaced {
                old: old.update.contact,
                new: contact,
            },
            (true, true) => match (old.update.state, update.state) {
                (ReportedState::Alive, ReportedState::Suspect) => Change::Suspected(contact.id),
                (ReportedState::Suspect, ReportedState::Alive) => Change::Recovered(contact.id),
                _ => Change::Internal,
            },
            (true, false) => Change::Removed(
                old.update.contact,
                if !same_process {
                    RemovalCause::Replaced
                } else if update.state == ReportedState::Left {
                    RemovalCause::Left
                } else {
                    RemovalCause::Failed
                },
            ),
            (false, true) => Change::Joined(contact),
            (false, false) => Change::Internal,
        }
    }

    fn set_live(&mut self, index: u32, live: bool) {
        if live {
            self.ring.insert(ring_position(index), index);
            self.live.push(index);
        } else {
            self.ring.remove(&ring_position(index));
            self.live.retain(|&other| other != index);
        }
    }

    pub(crate) fn get(&self, index: u32) -> Option<&MemberEntry> {
        self.entries.get(&index)
    }

    pub(crate) fn get_mut(&mut self, index: u32) -> Option<&mut MemberEntry> {
        self.entries.get_mut(&index)
    }

    pub(crate) fn live_count(&self) -> usize {
        self.live.len()
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    pub(crate) fn entries_from(&self, index: u32) -> impl Iterator<Item = &MemberEntry> {
        self.entries.range(index..).map(|(_, entry)| entry)
    }

    pub(crate) fn views(&self) -> impl Iterator<Item = MemberView> + '_ {
        self.entries.values().map(MemberEntry::view)
    }

    pub(crate) fn suspects(&mut self) -> impl Iterator<Item = &mut MemberEntry> {
        self.entries
            .values_mut()
            .filter(|entry| entry.update.state == ReportedState::Suspect)
    }

    /// Returns the first member on the ring after `own` that is not suspected.
    pub(crate) fn ring_successor(&self, own: u32) -> Option<u32> {
        let position = ring_position(own);
        let after = self.ring.range(position..).filter(|&(&p, _)| p != position);
        let alive = |&&index: &&u32| {
            self.entries
                .get(&index)
                .is_some_and(|e| e.update.state == ReportedState::Alive)
        };
        after
            .chain(self.ring.range(..position))
            .map(|(_, index)| index)
            .find(alive)
            .copied()
    }

    /// Returns the next member in random order. Each live member occurs once in a round.
    pub(crate) fn next_in_round(&mut self, rng: &mut StdRng) -> Option<u32> {
        loop {
            if self.round.is_empty() {
                if self.live.is_empty() {
                    return None;
                }
                self.round.clone_from(&self.live);
                self.round.shuffle(rng);
            }
            let index = self.round.pop()?;
            if self.entries.get(&index).is_some_and(MemberEntry::is_live) {
                return Some(index);
            }
        }
    }

    /// Returns up to `count` different live members other than `except`, chosen at random.
    pub(crate) fn sample(
        &self,
        count: usize,
        except: Option<u32>,
        rng: &mut StdRng,
    ) -> Vec<Contact> {
        let mut chosen: Vec<u32> = Vec::with_capacity(count);
        // More draws than members wanted make up for repeated ones.
        for _ in 0..count * 3 {
            if chosen.len() == count || self.live.is_empty() {
                break;
            }
            let index = self.live[rng.random_range(0..self.live.len())];
            if Some(index) != except && !chosen.contains(&index) {
                chosen.push(index);
            }
        }
        chosen
            .iter()
            .filter_map(|index| self.entries.get(index))
            .map(|entry| entry.update.contact)
            .collect()
    }

    /// Drops tombstones older than [`TOMBSTONE_TIME`].
    pub(crate) fn expire_tombstones(&mut self, now: Duration) {
        self.entries
            .retain(|_, entry| entry.is_live() || now.saturating_sub(entry.since) < TOMBSTONE_TIME);
    }
}
