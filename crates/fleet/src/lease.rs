//! Leases on duties that one daemon at a time carries out.

use crate::record::{FoldError, Position, RecordId, decode, encode};
use anvilgw_core::{DaemonId, Offset};
use rand::RngExt;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest lease that the fold accepts. A mistaken record must not block a duty for long.
const MAX_DURATION: Duration = Duration::from_secs(60);

/// Time after which a record whose append answer was lost, or which was not seen, is appended again.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// Delay between challengers by rank, so that normally only the first appends.
const RANK_DELAY: Duration = Duration::from_millis(200);

/// Ranks beyond this one all wait the same time.
const MAX_RANK: u32 = 25;

/// A duty of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Duty {
    /// Writes configuration snapshots.
    Snapshot,
    /// Writes epochs.
    Epoch,
    /// Gives orders to model engines.
    Orders,
    /// Copies retained prompts.
    Copies,
}

/// Record of the stream `leases`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Unique number of the record.
    pub id: RecordId,
    /// The duty.
    pub duty: Duty,
    /// The daemon that is to hold it.
    pub holder: DaemonId,
    /// Offset of the lease that this one replaces; `None` for the first of the duty.
    pub replaces: Option<Offset>,
    /// Duration; 0 gives the duty up.
    pub duration_ms: u32,
}

impl LeaseRecord {
    /// Encodes the record for the log.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }
}

/// An accepted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Fencing token: the offset of the record.
    pub token: Offset,
    /// The daemon that holds the duty.
    pub holder: DaemonId,
    /// Duration; zero if the duty was given up.
    pub duration: Duration,
    /// The record.
    pub record: RecordId,
}

/// Effect of a record on the fold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseVerdict {
    /// The record is the current lease of its duty now.
    Accepted(Duty),
    /// Another record that replaces the same lease came first.
    Lost(Duty),
    /// The bytes are no lease record. All daemons ignore it.
    Undecodable,
    /// The record was folded before.
    AlreadyApplied,
}

/// State of the stream `leases`.
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
    /// A record is accepted if it replaces the current lease. One that replaces a later lease is
    /// accepted too, which only occurs in a daemon that started after older records were trimmed.
    ///
    /// # Errors
    ///
    /// [`FoldError::Gap`] if records before `offset` were not folded.
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

    /// Forgets leases whose records are no longer held by the log, given the offset of its oldest
    /// record. Called before the records of a read are folded. A daemon that starts then knows nothing
    /// of them and accepts a lease that replaces none; a daemon that still remembered them would refuse
    /// it and accept another one. Retention is far longer than any lease, so none of them is valid.
    pub fn retain_from(&mut self, first: Offset) {
        self.current.retain(|_, lease| lease.token >= first);
    }

    /// The current lease of a duty. Whether it has expired depends on when it was read.
    #[must_use]
    pub fn current(&self, duty: Duty) -> Option<&Lease> {
        self.current.get(&duty)
    }

    /// Offset of the next record; `None` before the first.
    #[must_use]
    pub fn next_offset(&self) -> Option<Offset> {
        self.position.next()
    }
}

/// Times of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// Duration of a lease.
    pub duration: Duration,
    /// Time by which the holder stops early and challengers wait longer. It covers the difference of
    /// clock rates and the time between the holder's last check and the end of its action.
    pub margin: Duration,
    /// Age at which the holder renews.
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

/// What the holder or challenger has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Append the record to `leases`. The outcome is learned by reading it back.
    Append(LeaseRecord),
}

/// State of a duty as one daemon sees it, for `status`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStatus {
    /// This daemon holds it.
    Held {
        /// Fencing token.
        token: Offset,
    },
    /// Another daemon holds it.
    HeldElsewhere {
        /// The holder.
        holder: DaemonId,
    },
    /// Nobody holds it at the moment.
    Vacant,
    /// The log has been unreachable for longer than a lease, so nobody can hold it.
    CannotBeHeld {
        /// When the log was last reached.
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
    /// Before the first append: the lease runs from here.
    first_appended_at: Duration,
    appended_at: Duration,
}

/// One daemon's part in one duty, as holder or challenger.
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
    /// Creates a challenger that has seen no lease.
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

    /// Takes the fold into account after `leases` was read to its end at `now`.
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
        // Whatever replaced the lease, an unseen attempt to replace the same one has lost.
        self.attempt = None;
        self.held = won.filter(|_| !self.releasing).map(|attempt| Held {
            token: lease.token,
            appended_at: attempt.first_appended_at,
            valid_until: attempt.first_appended_at
                + lease.duration.saturating_sub(self.times.margin),
        });
    }

    /// The fencing token if the lease is valid now. Called directly before each action of the duty.
    #[must_use]
    pub fn token(&self, now: Duration) -> Option<Offset> {
        self.held
            .filter(|held| now < held.valid_until)
            .map(|held| held.token)
    }

    /// Drops the lease because the clock stopped: its remaining time is unknown.
    pub fn on_clock_stopped(&mut self, now: Duration) {
        self.held = None;
        self.attempt = None;
        // The challenger's wait starts again too.
        self.last_seen = self.last_seen.map(|(lease, _)| (lease, now));
    }

    /// Decides whether to append a record. `rank` is this daemon's place among the candidates (0 is
    /// the first); `None` if it is no candidate. `fresh` is whether its view is fresh.
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

    /// Gives the duty up, for example at shutdown. The daemon stops at once.
    pub fn release(&mut self, now: Duration, rng: &mut StdRng) -> Option<LeaseAction> {
        let held = self.held.take();
        self.releasing = true;
        self.attempt = None;
        held.map(|_| self.append(now, Duration::ZERO, rng))
    }

    /// State of the duty.
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

    /// When a challenger may take a lease over that it read at `read`.
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
            // An own lease that ran out, for example during a pause, can be renewed at once.
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
