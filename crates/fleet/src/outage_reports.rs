//! Reports of the members of the epoch that they do not reach the log.
//!
//! A daemon exchanges datagrams with only a few members per second. Pings and acks therefore also
//! state, for every member of the epoch, the age of its last such report, so that a majority can be
//! counted in a large fleet too.

use crate::epoch::Epoch;
use crate::wire::MAX_OUTAGE_AGES_BYTES;
use anvilgw_core::DaemonId;
use std::time::Duration;

/// Largest member count of an epoch for which an age takes one byte; in larger epochs it takes half
/// a byte.
const MAX_FINE_MEMBERS: usize = 64;

/// Encoding of ages. An age is rounded up each time it is passed on, so a fine resolution lets it
/// be passed on more often before it expires; the coarse one keeps the list of a large epoch within
/// one datagram.
#[derive(Clone, Copy, Debug)]
struct AgeScale {
    step: Duration,
    /// Value for a member without a known report or with one that is too old to be expressed.
    unknown: u8,
    ages_per_byte: usize,
}

impl AgeScale {
    /// Returns the number of bits by which the value of a member is shifted within its byte.
    fn shift(self, rank: usize) -> usize {
        rank % self.ages_per_byte * 4
    }
}

const FINE: AgeScale = AgeScale {
    step: Duration::from_millis(8),
    unknown: 255,
    ages_per_byte: 1,
};

const COARSE: AgeScale = AgeScale {
    step: Duration::from_millis(140),
    unknown: 15,
    ages_per_byte: 2,
};

#[derive(Clone, Debug, Default)]
pub(crate) struct OutageReports {
    epoch: u64,
    members: Vec<u32>,
    /// For each member a lower bound, in uptime of this daemon, of the time of its last report;
    /// `None` if none is known.
    reported_at: Vec<Option<Duration>>,
}

impl OutageReports {
    pub(crate) fn set_epoch(&mut self, epoch: &Epoch) {
        let members: Vec<u32> = epoch.members.iter().map(|member| member.index).collect();
        self.reported_at = members
            .iter()
            .map(|index| self.rank(*index).and_then(|rank| self.reported_at[rank]))
            .collect();
        self.members = members;
        self.epoch = epoch.number;
    }

    fn rank(&self, index: u32) -> Option<usize> {
        self.members.binary_search(&index).ok()
    }

    pub(crate) fn clear(&mut self) {
        self.reported_at.fill(None);
    }

    /// Records a member's report of whether it reaches the log, made at `as_of` or later. Only
    /// reports that it does not are kept.
    pub(crate) fn record(&mut self, member: DaemonId, reaches_log: bool, as_of: Duration) {
        let Some(rank) = self.rank(member.index) else {
            return;
        };
        if !reaches_log {
            self.reported_at[rank] = self.reported_at[rank].max(Some(as_of));
        }
    }

    /// Merges the list of ages that a peer encoded at `as_of` or later.
    pub(crate) fn merge(&mut self, epoch: u64, outage_ages: &[u8], as_of: Duration) {
        // Positions in the list are meaningful only within one epoch.
        if epoch != self.epoch || outage_ages.len() != self.encoded_len() {
            return;
        }
        let scale = self.scale();
        for (rank, reported_at) in self.reported_at.iter_mut().enumerate() {
            let steps =
                (outage_ages[rank / scale.ages_per_byte] >> scale.shift(rank)) & scale.unknown;
            if steps != scale.unknown
                && let Some(at) = as_of.checked_sub(scale.step * u32::from(steps))
            {
                *reported_at = (*reported_at).max(Some(at));
            }
        }
    }

    fn encoded_len(&self) -> usize {
        self.members.len().div_ceil(self.scale().ages_per_byte)
    }

    /// Returns whether ages are encoded with the coarse resolution.
    pub(crate) fn is_coarse(&self) -> bool {
        self.members.len() > MAX_FINE_MEMBERS
    }

    fn scale(&self) -> AgeScale {
        if self.is_coarse() { COARSE } else { FINE }
    }

    /// Returns the encoded list of ages for a datagram. It is empty if the epoch has more members
    /// than a datagram has room for.
    pub(crate) fn encode(&self, now: Duration) -> Vec<u8> {
        if self.encoded_len() > MAX_OUTAGE_AGES_BYTES {
            return Vec::new();
        }
        let scale = self.scale();
        let mut bytes = vec![0xff; self.encoded_len()];
        for (rank, reported_at) in self.reported_at.iter().enumerate() {
            let steps = reported_at.map_or(scale.unknown.into(), |at| {
                // Rounded up, so that a report never looks younger than it is.
                now.saturating_sub(at)
                    .as_nanos()
                    .div_ceil(scale.step.as_nanos())
            });
            let steps = u8::try_from(steps).unwrap_or(u8::MAX).min(scale.unknown);
            let shift = scale.shift(rank);
            bytes[rank / scale.ages_per_byte] &= !(scale.unknown << shift) | (steps << shift);
        }
        bytes
    }

    /// Returns the number of members whose last report is at most `window` old.
    pub(crate) fn count(&self, now: Duration, window: Duration) -> usize {
        let recent = |at: &&Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) <= window);
        self.reported_at.iter().filter(recent).count()
    }

    pub(crate) fn member_count(&self) -> usize {
        self.members.len()
    }
}
