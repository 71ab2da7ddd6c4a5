//! Epochs: the numbered lists of members from which ownership and shares are derived.

use crate::record::{FoldError, Position, RecordId, decode, encode};
use anvilgw_core::{DaemonId, Offset};
use rand::RngExt;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time for which the members have to be unchanged before an epoch is proposed. An instance that is
/// replaced causes two changes within a few seconds; fewer epochs mean fewer moves of ownership.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Shortest time between two epochs, twice the time that grown shares have to wait.
const MIN_EPOCH_INTERVAL: Duration = Duration::from_secs(5);

/// Time after which a record whose append answer was lost, or which was not seen, is appended again.
const RETRY_TIME: Duration = Duration::from_secs(2);

/// Time after which an unchanged epoch is written again, so that the log, which retains records for a
/// limited time, always holds the current one.
const REFRESH_TIME: Duration = Duration::from_secs(600);

/// Record of the stream `epochs`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Unique number of the record.
    pub id: RecordId,
    /// Epoch that this one replaces; 0 for the first.
    pub expected: u64,
    /// The members.
    pub members: Vec<DaemonId>,
    /// The daemon that wrote it.
    pub proposer: DaemonId,
}

impl EpochRecord {
    /// Encodes the record for the log.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }
}

/// An accepted epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Epoch {
    /// Number, from 1.
    pub number: u64,
    /// Members, sorted, each number once.
    pub members: Vec<DaemonId>,
    /// Record that established it.
    pub record: RecordId,
}

/// Effect of a record on the fold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EpochVerdict {
    /// The record is the current epoch now.
    Accepted,
    /// Another record with the same expected epoch came first.
    Lost,
    /// The bytes are no epoch record. All daemons ignore it.
    Undecodable,
    /// The record was folded before.
    AlreadyApplied,
}

/// State of the stream `epochs`.
#[derive(Clone, Debug, Default)]
pub struct EpochFold {
    position: Position,
    current: Option<Epoch>,
}

impl EpochFold {
    /// Creates the fold of an empty stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Folds the next record.
    ///
    /// A record is accepted if it expects the current epoch. It is also accepted if it expects a later
    /// one, which only occurs in a daemon that started after older records were trimmed: its writer had
    /// seen records that this daemon cannot read any more.
    ///
    /// # Errors
    ///
    /// [`FoldError::Gap`] if records before `offset` were not folded.
    pub fn apply(&mut self, offset: Offset, payload: &[u8]) -> Result<EpochVerdict, FoldError> {
        if !self.position.advance(offset)? {
            return Ok(EpochVerdict::AlreadyApplied);
        }
        let Some(record) = decode::<EpochRecord>(payload) else {
            return Ok(EpochVerdict::Undecodable);
        };
        let number = record.expected.checked_add(1);
        let Some(number) = number.filter(|&number| number > self.number()) else {
            return Ok(EpochVerdict::Lost);
        };
        let mut members = record.members;
        // Of two processes with the same number the later one counts.
        members.sort_unstable_by(|a, b| (a.index, b.incarnation).cmp(&(b.index, a.incarnation)));
        members.dedup_by_key(|member| member.index);
        self.current = Some(Epoch {
            number,
            members,
            record: record.id,
        });
        Ok(EpochVerdict::Accepted)
    }

    /// The current epoch.
    #[must_use]
    pub fn current(&self) -> Option<&Epoch> {
        self.current.as_ref()
    }

    /// Number of the current epoch; 0 before the first.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |epoch| epoch.number)
    }

    /// Offset of the next record; `None` before the first.
    #[must_use]
    pub fn next_offset(&self) -> Option<Offset> {
        self.position.next()
    }
}

/// What the keeper has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EpochAction {
    /// Append the record to `epochs`. The outcome is learned by reading it back.
    Append(EpochRecord),
}

/// State of the epoch duty, for `status`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochStatus {
    /// This daemon does not hold the lease.
    NotHolder,
    /// The epoch lists the live members.
    Settled,
    /// The members changed; the keeper waits until they are stable.
    Settling,
    /// A record is on its way.
    Proposing,
    /// Most members of the epoch are neither alive nor gone for certain. They may run on the other
    /// side of a partition with their shares, so no epoch without them is proposed.
    NoMajority {
        /// Members alive or known to have left.
        accounted: usize,
        /// Members of the epoch.
        members: usize,
    },
}

#[derive(Clone, Debug)]
struct Proposal {
    record: EpochRecord,
    appended_at: Duration,
}

/// Proposes epochs while the daemon holds the lease of the epoch duty.
#[derive(Clone, Debug)]
pub struct EpochProposer {
    own: DaemonId,
    proposal: Option<Proposal>,
    live: Vec<DaemonId>,
    live_since: Duration,
    seen_number: u64,
    seen_since: Duration,
    status: EpochStatus,
    majority_waived: bool,
}

impl EpochProposer {
    /// Creates a keeper that has seen no epoch.
    #[must_use]
    pub fn new(own: DaemonId) -> Self {
        Self {
            own,
            proposal: None,
            live: Vec::new(),
            live_since: Duration::ZERO,
            seen_number: 0,
            seen_since: Duration::ZERO,
            status: EpochStatus::NotHolder,
            majority_waived: false,
        }
    }

    /// State of the duty.
    #[must_use]
    pub fn status(&self) -> EpochStatus {
        self.status
    }

    /// Lets the next epoch be proposed without a majority of the last one. Only for an operator who
    /// knows that the missing members don't run.
    pub fn force_next_epoch(&mut self) {
        self.majority_waived = true;
    }

    /// Decides whether to append a record. `live` are the live members (sorted, this daemon included),
    /// `left` those known to have left or to have been replaced, `holds_lease` whether the lease is
    /// valid now; it is checked again directly before the append.
    pub fn tick(
        &mut self,
        now: Duration,
        fold: &EpochFold,
        live: &[DaemonId],
        left: &[DaemonId],
        holds_lease: bool,
        rng: &mut StdRng,
    ) -> Option<EpochAction> {
        if fold.number() != self.seen_number {
            self.seen_number = fold.number();
            self.seen_since = now;
            self.proposal = None;
            self.majority_waived = false;
        }
        if live != self.live {
            self.live = live.to_vec();
            self.live_since = now;
        }
        if !holds_lease {
            self.proposal = None;
            self.status = EpochStatus::NotHolder;
            return None;
        }
        if let Some(proposal) = &mut self.proposal {
            let retry = now.saturating_sub(proposal.appended_at) >= RETRY_TIME;
            return retry.then(|| {
                proposal.appended_at = now;
                EpochAction::Append(proposal.record.clone())
            });
        }
        self.status = self.evaluate(now, fold, left);
        if self.status != EpochStatus::Proposing {
            return None;
        }
        let record = EpochRecord {
            id: RecordId(rng.random()),
            expected: fold.number(),
            members: live.to_vec(),
            proposer: self.own,
        };
        self.proposal = Some(Proposal {
            record: record.clone(),
            appended_at: now,
        });
        Some(EpochAction::Append(record))
    }

    fn evaluate(&self, now: Duration, fold: &EpochFold, left: &[DaemonId]) -> EpochStatus {
        if let Some(current) = fold.current() {
            let age = now.saturating_sub(self.seen_since);
            if current.members == self.live && age < REFRESH_TIME {
                return EpochStatus::Settled;
            }
            let accounted = current
                .members
                .iter()
                .filter(|member| {
                    left.contains(member) || self.live.iter().any(|l| l.index == member.index)
                })
                .count();
            if accounted * 2 <= current.members.len() && !self.majority_waived {
                return EpochStatus::NoMajority {
                    accounted,
                    members: current.members.len(),
                };
            }
            if age < MIN_EPOCH_INTERVAL {
                return EpochStatus::Settling;
            }
        }
        if now.saturating_sub(self.live_since) < SETTLE_TIME {
            return EpochStatus::Settling;
        }
        EpochStatus::Proposing
    }
}
