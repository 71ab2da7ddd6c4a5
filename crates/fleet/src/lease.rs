//! Leases of duties, each of which one daemon at a time carries out.

use crate::record::{FoldError, Position, RecordId, decode, encode};
use anvilgw_core::{DaemonId, Offset};
use rand::RngExt;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest lease that the fold accepts. It keeps an erroneous record from blocking a duty for long.
const MAX_DURATION: Duration = Duration::from_secs(60);

/// Time after which a record is appended again because the answer to its append was lost or the
/// record was not read back.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// Difference of the delays of two candidates with consecutive ranks, so that normally only the
/// first one appends.
const RANK_DELAY: Duration = Duration::from_millis(200);

/// Largest rank that adds to the delay. Candidates with larger ranks wait for the same time.
const MAX_RANK: u32 = 25;

/// Duty of the fleet, which the holder of its lease carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Duty {
    /// Writing of configuration snapshots.
    Snapshot,
    /// Writing of epochs.
    Epoch,
    /// Sending of orders to model engines.
    Orders,
    /// Copying of retained prompts.
    Copies,
}

/// Record of the stream `leases`, with which a daemon acquires, renews or gives up a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Unique number of the record.
    pub id: RecordId,
    /// Duty of the lease.
    pub duty: Duty,
    /// Daemon that is to hold the lease.
    pub holder: DaemonId,
    /// Offset of the record of the lease that this one replaces; `None` for the first lease of the
    /// duty.
    pub replaces: Option<Offset>,
    /// Duration of the lease in milliseconds; 0 gives the duty up.
    pub duration_ms: u32,
}

impl LeaseRecord {
    /// Returns the encoded record for the log.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }
}

/// Lease that was accepted by the fold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Fencing token: the offset of the record.
    pub token: Offset,
    /// Daemon that holds the lease.
    pub holder: DaemonId,
    /// Duration of the lease; zero if the duty was given up.
    pub duration: Duration,
    /// Unique number of the record.
    pub record: RecordId,
}

/// Effect of a record on the fold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseVerdict {
    /// The record established the current lease of its duty.
    Accepted(Duty),
    /// The record does not replace the current lease of its duty, usually because another record
    /// came first, or its lease is too long.
    Lost(Duty),
    /// The bytes are not a lease record. All daemons ignore them.
    Undecodable,
    /// A record at this offset was already folded.
    AlreadyApplied,
}

/// Fold of the stream `leases`: the current lease of each duty after the records read so far.
#[derive(Clone, Debug, Default)]
pub struct LeaseFold {
    position: Position,
    current: BTreeMap<Duty, Lease>,
}

impl LeaseFold {
    /// Creates the fold of an empty stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Folds the next record.
    ///
    /// A record is accepted if it replaces the current lease. It is also accepted if it replaces a
    /// later one, which occurs only in a daemon that started after older records were trimmed.
    ///
    /// # Errors
    ///
    /// Returns [`FoldError::Gap`] if records before `offset` were not folded.
    pub fn apply(&mut self, offset: Offset, payload: &[u8]) -> Result<LeaseVerdict, FoldError> {
        if !self.position.advance(offset)? {
            return Ok(LeaseVerdict::AlreadyApplied);
        }
        let Some(record) = decode::<LeaseRecord>(payload) else {
            return Ok(LeaseVerdict::Undecodable);
        };
        let current = self.current.get(&record.duty).map(|lease| lease.token);
        let duration = Duration::from_millis(record.duration_ms.into());
        let replaces_earlier = record.replaces.is_none_or(|replaced| replaced < offset);
        if record.replaces < current || !replaces_earlier || duration > MAX_DURATION {
            return Ok(LeaseVerdict::Lost(record.duty));
        }
        self.current.insert(
            record.duty,
            Lease {
                token: offset,
                holder: record.holder,
                duration,
                record: record.id,
            },
        );
        Ok(LeaseVerdict::Accepted(record.duty))
    }

    /// Drops leases whose records the log no longer holds, given the offset `first` of its oldest
    /// record. The caller does this before it folds the records of a read. A daemon that starts
    /// after the trimming knows none of these leases and accepts a lease that replaces none. A
    /// daemon that still remembered them would reject that lease and accept another one. Retention
    /// is far longer than any lease, so none of the dropped leases is valid.
    pub fn retain_from(&mut self, first: Offset) {
        self.current.retain(|_, lease| lease.token >= first);
    }

    /// Returns the last accepted lease of a duty. Whether it has expired depends on when it was
    /// read.
    #[must_use]
    pub fn current(&self, duty: Duty) -> Option<&Lease> {
        self.current.get(&duty)
    }

    /// Returns the offset of the next record; `None` before the first record is folded.
    #[must_use]
    pub fn next_offset(&self) -> Option<Offset> {
        self.position.next()
    }
}

/// Durations that govern a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// Duration of a lease. The holder counts it from the first append of the record.
    pub duration: Duration,
    /// Time by which the holder stops before the end of the lease and by which challengers wait
    /// beyond it. It covers different clock rates and the time between the holder's last check and
    /// the end of its action.
    pub margin: Duration,
    /// Age of the lease at which the holder renews it.
    pub renew_after: Duration,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(6),
            margin: Duration::from_secs(1),
            renew_after: Duration::from_secs(2),
        }
    }
}

/// Action that the daemon carries out for a [`LeaseCandidate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Appends the record to the stream `leases`. Whether it was accepted is known only after it is
    /// read back.
    Append(LeaseRecord),
}

/// State of a duty as one daemon sees it, reported by `status`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStatus {
    /// This daemon holds the lease.
    Held {
        /// Fencing token of the lease.
        token: Offset,
    },
    /// Another daemon holds the lease.
    HeldElsewhere {
        /// Daemon that holds the lease.
        holder: DaemonId,
    },
    /// No daemon holds the lease at the moment.
    Vacant,
    /// The log has been unreachable for longer than a lease lasts, so no daemon can hold one.
    CannotBeHeld {
        /// Uptime at which the log was last read.
        since: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct Held {
    token: Offset,
    appended_at: Duration,
    valid_until: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    record: LeaseRecord,
    /// Uptime directly before the first append, from which the duration of the lease counts.
    first_appended_at: Duration,
    appended_at: Duration,
}

/// State machine of one daemon for the lease of one duty, as its holder or as a challenger.
#[derive(Clone, Debug)]
pub struct LeaseCandidate {
    own: DaemonId,
    duty: Duty,
    times: LeaseTimes,
    held: Option<Held>,
    attempt: Option<Attempt>,
    last_seen: Option<(Lease, Duration)>,
    log_reached_at: Duration,
    releasing: bool,
}

impl LeaseCandidate {
    /// Creates the state of a challenger that has seen no lease.
    #[must_use]
    pub fn new(own: DaemonId, duty: Duty, times: LeaseTimes, now: Duration) -> Self {
        Self {
            own,
            duty,
            times,
            held: None,
            attempt: None,
            last_seen: None,
            log_reached_at: now,
            releasing: false,
        }
    }

    /// Processes the fold of the stream `leases`, which was read to its end at `now`.
    pub fn on_log_read(&mut self, now: Duration, fold: &LeaseFold) {
        self.log_reached_at = now;
        let Some(lease) = fold.current(self.duty).copied() else {
            return;
        };
        if self
            .last_seen
            .is_some_and(|(seen, _)| seen.token == lease.token)
        {
            return;
        }
        self.last_seen = Some((lease, now));
        let won = self
            .attempt
            .filter(|attempt| attempt.record.id == lease.record);
        // The last seen lease has been replaced. An attempt of this daemon to replace it that has
        // not been seen cannot succeed any more.
        self.attempt = None;
        self.held = won.filter(|_| !self.releasing).map(|attempt| Held {
            token: lease.token,
            appended_at: attempt.first_appended_at,
            valid_until: attempt.first_appended_at
                + lease.duration.saturating_sub(self.times.margin),
        });
    }

    /// Returns the fencing token if this daemon holds a valid lease. The caller checks it directly
    /// before each action of the duty.
    #[must_use]
    pub fn token(&self, now: Duration) -> Option<Offset> {
        self.held
            .filter(|held| now < held.valid_until)
            .map(|held| held.token)
    }

    /// Drops the lease after the clock stopped, since its remaining time is unknown.
    pub fn on_clock_stopped(&mut self, now: Duration) {
        self.held = None;
        self.attempt = None;
        // A challenger's wait starts again too.
        self.last_seen = self.last_seen.map(|(lease, _)| (lease, now));
    }

    /// Returns the record to append, if any. `rank` is this daemon's position among the candidates,
    /// starting at 0, or `None` if it is not a candidate. `fresh` tells whether its view is fresh.
    pub fn tick(
        &mut self,
        now: Duration,
        rank: Option<u32>,
        fresh: bool,
        rng: &mut StdRng,
    ) -> Option<LeaseAction> {
        if let Some(attempt) = &mut self.attempt {
            if now.saturating_sub(attempt.appended_at) < RETRY_TIME {
                return None;
            }
            attempt.appended_at = now;
            return Some(LeaseAction::Append(attempt.record));
        }
        if !fresh || self.releasing || !self.should_append(now, rank?) {
            return None;
        }
        Some(self.append(now, self.times.duration, rng))
    }

    /// Gives the duty up, for example at shutdown, and returns the record to append if this daemon
    /// holds the lease. The lease is invalid at once and is not acquired again.
    pub fn release(&mut self, now: Duration, rng: &mut StdRng) -> Option<LeaseAction> {
        let held = self.held.take();
        self.releasing = true;
        self.attempt = None;
        held.map(|_| self.append(now, Duration::ZERO, rng))
    }

    /// Returns the state of the duty.
    #[must_use]
    pub fn status(&self, now: Duration) -> LeaseStatus {
        if let Some(token) = self.token(now) {
            return LeaseStatus::Held { token };
        }
        let max_wait = self.times.duration + self.times.margin;
        if now.saturating_sub(self.log_reached_at) > max_wait {
            return LeaseStatus::CannotBeHeld {
                since: self.log_reached_at,
            };
        }
        match self.last_seen {
            Some((lease, read)) if lease.holder != self.own && now < self.expiry(&lease, read) => {
                LeaseStatus::HeldElsewhere {
                    holder: lease.holder,
                }
            }
            _ => LeaseStatus::Vacant,
        }
    }

    /// Returns the uptime from which a challenger may replace a lease that it read at `read`.
    fn expiry(&self, lease: &Lease, read: Duration) -> Duration {
        if lease.duration.is_zero() {
            return read;
        }
        read + lease.duration + self.times.margin
    }

    fn should_append(&self, now: Duration, rank: u32) -> bool {
        if let Some(held) = self.held
            && now < held.valid_until
        {
            return now.saturating_sub(held.appended_at) >= self.times.renew_after;
        }
        let delay = RANK_DELAY * rank.min(MAX_RANK);
        match &self.last_seen {
            // This daemon's own lease that ran out, for example during a pause, can be renewed at
            // once.
            Some((lease, _)) if lease.holder == self.own => true,
            Some((lease, read)) => now >= self.expiry(lease, *read) + delay,
            None => now >= self.log_reached_at + delay,
        }
    }

    fn append(&mut self, now: Duration, duration: Duration, rng: &mut StdRng) -> LeaseAction {
        let record = LeaseRecord {
            id: RecordId(rng.random()),
            duty: self.duty,
            holder: self.own,
            replaces: self.last_seen.map(|(lease, _)| lease.token),
            duration_ms: u32::try_from(duration.as_millis()).unwrap_or(u32::MAX),
        };
        self.attempt = Some(Attempt {
            record,
            first_appended_at: now,
            appended_at: now,
        });
        LeaseAction::Append(record)
    }
}
