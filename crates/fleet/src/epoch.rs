//! Epochs: numbered lists of members, from which ownership and shares are derived.

use crate::record::{FoldError, Position, RecordId, decode, encode};
use anvilgw_core::{DaemonId, Offset};
use rand::RngExt;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time for which the live members have to be unchanged before an epoch is proposed. Replacing an
/// instance causes two changes within a few seconds; one epoch for both moves less ownership.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Shortest time between two epochs: twice [`ACTIVATION_DELAY`](crate::ACTIVATION_DELAY).
const MIN_EPOCH_INTERVAL: Duration = Duration::from_secs(5);

/// Time after which a record is appended again because the answer to its append was lost or the
/// record was not read back.
const RETRY_TIME: Duration = Duration::from_secs(2);

/// Time after which an unchanged epoch is appended again. The log retains records for a limited
/// time and thereby always holds the current epoch.
const REFRESH_TIME: Duration = Duration::from_secs(600);

/// Record of the stream `epochs`, with which a daemon proposes an epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Unique number of the record.
    pub id: RecordId,
    /// Number of the epoch that this one replaces; 0 for the first.
    pub expected: u64,
    /// Members of the proposed epoch.
    pub members: Vec<DaemonId>,
    /// Daemon that wrote the record.
    pub proposer: DaemonId,
}

impl EpochRecord {
    /// Returns the encoded record for the log.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }
}

/// Epoch that was accepted by the fold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Epoch {
    /// Number of the epoch, starting at 1.
    pub number: u64,
    /// Members, sorted by member number; each number occurs once.
    pub members: Vec<DaemonId>,
    /// Unique number of the record that established the epoch.
    pub record: RecordId,
}

/// Effect of a record on the fold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EpochVerdict {
    /// The record established the current epoch.
    Accepted,
    /// Another record with the same expected epoch came first.
    Lost,
    /// The bytes are not an epoch record. All daemons ignore them.
    Undecodable,
    /// A record at this offset was already folded.
    AlreadyApplied,
}

/// Fold of the stream `epochs`: the current epoch after the records read so far.
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
    /// A record is accepted if it expects the current epoch. It is also accepted if it expects a
    /// later one. This occurs only in a daemon that started after older records were trimmed: the
    /// writer had read records that this daemon can no longer read.
    ///
    /// # Errors
    ///
    /// Returns [`FoldError::Gap`] if records before `offset` were not folded.
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
        // Of two processes with the same member number, the one that started later is the member.
        members.sort_unstable_by(|a, b| (a.index, b.incarnation).cmp(&(b.index, a.incarnation)));
        members.dedup_by_key(|member| member.index);
        self.current = Some(Epoch {
            number,
            members,
            record: record.id,
        });
        Ok(EpochVerdict::Accepted)
    }

    /// Returns the current epoch; `None` before the first.
    #[must_use]
    pub fn current(&self) -> Option<&Epoch> {
        self.current.as_ref()
    }

    /// Returns the number of the current epoch; 0 before the first.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |epoch| epoch.number)
    }

    /// Returns the offset of the next record; `None` before the first record is folded.
    #[must_use]
    pub fn next_offset(&self) -> Option<Offset> {
        self.position.next()
    }
}

/// Action that the daemon carries out for the [`EpochProposer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EpochAction {
    /// Appends the record to the stream `epochs`. Whether it was accepted is known only after it is
    /// read back.
    Append(EpochRecord),
}

/// State of the epoch duty, reported by `status`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochStatus {
    /// The daemon does not hold the lease of the epoch duty.
    NotHolder,
    /// The current epoch lists exactly the live members.
    Settled,
    /// The live members changed. The daemon waits until they are stable and the shortest time
    /// between two epochs has passed.
    Settling,
    /// A record was appended and has not been read back yet.
    Proposing,
    /// No majority of the members of the current epoch is alive or known to have left. The others
    /// may run with their shares on the other side of a partition, so no epoch without them is
    /// proposed.
    NoMajority {
        /// Number of members of the epoch that are alive or known to have left.
        accounted: usize,
        /// Number of members of the epoch.
        members: usize,
    },
}

#[derive(Clone, Debug)]
struct Proposal {
    record: EpochRecord,
    appended_at: Duration,
}

/// Proposes epochs while this daemon holds the lease of the epoch duty.
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
    /// Creates the state of a daemon that has seen no epoch.
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

    /// Returns the state of the epoch duty as of the last [`EpochProposer::tick`].
    #[must_use]
    pub fn status(&self) -> EpochStatus {
        self.status
    }

    /// Allows the next epoch to be proposed without a majority of the current one. It is meant only
    /// for an operator who knows that the missing members are not running.
    pub fn force_next_epoch(&mut self) {
        self.majority_waived = true;
    }

    /// Returns the record to append, if any. `live` are the live members (sorted, this daemon
    /// included) and `left` those known to have left or to have been replaced. `holds_lease` tells
    /// whether the lease of the epoch duty is valid now; the caller checks it again directly before
    /// the append.
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
