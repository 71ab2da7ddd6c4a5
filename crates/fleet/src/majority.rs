//! Which members of the epoch recently said that they do not reach the log.
//!
//! A daemon exchanges datagrams with only a few members a second. Each datagram therefore passes on
//! for every member of the epoch how old its last such report is, so that a majority can be counted
//! in a large fleet too.

use crate::epoch::Epoch;
use crate::wire::MAX_OUTAGE_AGES_BYTES;
use anvilgw_core::DaemonId;
use std::time::Duration;

/// Epochs of up to this many members use a byte for each age, larger ones half a byte.
const MAX_BYTE_MEMBERS: usize = 64;

/// How ages are written. An age is rounded up at every hop, so a fine resolution leaves more time to
/// pass it on; the coarse one keeps the list of a large epoch in one datagram.
#[derive(Clone, Copy, Debug)]
struct Scale {
    step: Duration,
    /// Value for "not last_heard, or too long ago".
    unknown: u8,
    per_byte: usize,
}

impl Scale {
    /// Bits by which the value of a member is shifted within its byte.
    fn shift(self, rank: usize) -> usize {
        rank % self.per_byte * 4
    }
}

const FINE: Scale = Scale {
    step: Duration::from_millis(8),
    unknown: 255,
    per_byte: 1,
};

const COARSE: Scale = Scale {
    step: Duration::from_millis(140),
    unknown: 15,
    per_byte: 2,
};

#[derive(Clone, Debug, Default)]
pub(crate) struct Majority {
    epoch: u64,
    members: Vec<u32>,
    /// Uptime of this daemon at or after which the member made its last report.
    reported: Vec<Option<Duration>>,
}

impl Majority {
    pub(crate) fn set_epoch(&mut self, epoch: &Epoch) {
        let members: Vec<u32> = epoch.members.iter().map(|member| member.index).collect();
        self.reported = members
            .iter()
            .map(|index| self.rank(*index).and_then(|rank| self.reported[rank]))
            .collect();
        self.members = members;
        self.epoch = epoch.number;
    }

    fn rank(&self, index: u32) -> Option<usize> {
        self.members.binary_search(&index).ok()
    }

    pub(crate) fn clear(&mut self) {
        self.reported.fill(None);
    }

    /// Notes that a member reported at `as_of` whether it reaches the log.
    pub(crate) fn note(&mut self, member: DaemonId, reaches_log: bool, as_of: Duration) {
        let Some(rank) = self.rank(member.index) else {
            return;
        };
        if !reaches_log {
            self.reported[rank] = self.reported[rank].max(Some(as_of));
        }
    }

    /// Merges the list of a peer that made it at `as_of`.
    pub(crate) fn merge(&mut self, epoch: u64, outage_ages: &[u8], as_of: Duration) {
        // Positions in the list only have a meaning within one epoch.
        if epoch != self.epoch || outage_ages.len() != self.encoded_len() {
            return;
        }
        let scale = self.scale();
        for (rank, reported) in self.reported.iter_mut().enumerate() {
            let steps = (outage_ages[rank / scale.per_byte] >> scale.shift(rank)) & scale.unknown;
            if steps != scale.unknown
                && let Some(at) = as_of.checked_sub(scale.step * u32::from(steps))
            {
                *reported = (*reported).max(Some(at));
            }
        }
    }

    fn encoded_len(&self) -> usize {
        self.members.len().div_ceil(self.scale().per_byte)
    }

    /// Whether ages are written coarsely.
    pub(crate) fn is_large(&self) -> bool {
        self.members.len() > MAX_BYTE_MEMBERS
    }

    fn scale(&self) -> Scale {
        if self.is_large() { COARSE } else { FINE }
    }

    /// The list to send. Empty if the epoch has more members than a datagram has room for.
    pub(crate) fn encode(&self, now: Duration) -> Vec<u8> {
        if self.encoded_len() > MAX_OUTAGE_AGES_BYTES {
            return Vec::new();
        }
        let scale = self.scale();
        let mut bytes = vec![0xff; self.encoded_len()];
        for (rank, reported) in self.reported.iter().enumerate() {
            let steps = reported.map_or(scale.unknown.into(), |at| {
                // Rounded up: a report must never look younger than it is.
                now.saturating_sub(at)
                    .as_nanos()
                    .div_ceil(scale.step.as_nanos())
            });
            let steps = u8::try_from(steps).unwrap_or(u8::MAX).min(scale.unknown);
            let shift = scale.shift(rank);
            bytes[rank / scale.per_byte] &= !(scale.unknown << shift) | (steps << shift);
        }
        bytes
    }

    /// Members of the epoch that reported within `window`.
    pub(crate) fn count(&self, now: Duration, window: Duration) -> usize {
        let recent = |at: &&Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) <= window);
        self.reported.iter().filter(recent).count()
    }

    pub(crate) fn members(&self) -> usize {
        self.members.len()
    }
}
