//! Since when the metadata store has served reads of the servers' table, as far as the fleet knows.
//!
//! Entries of running servers expire while the metadata store is unavailable, and return after it. A
//! daemon that could not read the store does not know whether the others could. It asks them: if one of
//! them has read the store all the while, entries that are missing belong to servers that have left;
//! otherwise the store became available again when the first of them could read it.

use bincode::{Decode, Encode};
use std::time::Duration;

/// Time after the metadata store became available again during which servers whose entries expired
/// in the meantime are still used, until they publish again.
pub const EXPIRED_ENTRY_GRACE: Duration = Duration::from_millis(2000);
/// Time between two reads up to which the store counts as available in between, if no other read has
/// failed meanwhile.
const READ_GAP_MAX: Duration = Duration::from_millis(1500);

/// A time in which the store served reads, stated by its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServedStatement {
    /// Time since its beginning, in milliseconds.
    pub since_ms: u64,
    /// Time since its end, in milliseconds. Zero if it has not ended.
    pub until_ms: u64,
}

/// A time in which some daemon could read the store again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ServedTime {
    since: Duration,
    until: Duration,
}

impl ServedTime {
    /// Returns both times as one, or `None` if the store may have been unavailable between them.
    fn joined(self, other: Self) -> Option<Self> {
        let overlaps = self.since <= other.until && other.since <= self.until;
        overlaps.then(|| Self {
            since: self.since.min(other.since),
            until: self.until.max(other.until),
        })
    }
}

/// The last time in which this daemon could not read the table.
#[derive(Clone, Copy, Debug)]
struct Outage {
    /// Time up to which the table was known before.
    known_until: Duration,
    /// Time until which expired entries are used on.
    grace_end: Duration,
    /// Whether the store has lost entries itself, which are written again.
    is_restore: bool,
}

/// What a daemon knows of the availability of the servers' table.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreAvailability {
    /// Time in which this daemon's reads have succeeded.
    own: Option<ServedTime>,
    /// Whether a read has failed since.
    has_failed: bool,
    /// The same of other daemons.
    stated: Option<ServedTime>,
    outage: Option<Outage>,
}

impl StoreAvailability {
    /// Records that the store served a read of this daemon, or of the one whose copy it reads, at
    /// `served_at`.
    pub fn on_read(&mut self, served_at: Duration) {
        let is_continued =
            |own: &ServedTime| !self.has_failed && served_at <= own.until + READ_GAP_MAX;
        let since = self.own.filter(is_continued).map(|own| own.since);
        self.own = Some(ServedTime {
            since: since.unwrap_or(served_at),
            until: served_at,
        });
        self.has_failed = false;
    }

    /// Records that a read of the table failed.
    pub fn on_failure(&mut self) {
        self.has_failed = true;
    }

    /// Records what another daemon stated in an answer to a request that was sent at `asked_at`.
    /// Returns whether expired entries are used for a shorter time because of it.
    pub fn on_statement(
        &mut self,
        statement: ServedStatement,
        asked_at: Duration,
        now: Duration,
    ) -> bool {
        let ago = |from: Duration, age_ms| from.saturating_sub(Duration::from_millis(age_ms));
        let stated = ServedTime {
            since: ago(now, statement.since_ms),
            until: ago(asked_at, statement.until_ms),
        };
        if stated.since > stated.until {
            return false;
        }
        let known = self.stated.filter(|known| known.until > stated.until);
        let joined = self.stated.and_then(|known| known.joined(stated));
        self.stated = joined.or(known).or(Some(stated));
        self.narrow()
    }

    /// Returns the time up to this daemon's last read in which some daemon's reads have succeeded.
    fn served(&self) -> Option<ServedTime> {
        let own = self.own?;
        let joined = self.stated.and_then(|stated| own.joined(stated));
        joined.or(Some(own))
    }

    /// Records that the table can be read again, after it was known up to `known_until`.
    pub fn on_regained(&mut self, known_until: Duration, now: Duration) {
        self.outage = Some(Outage {
            known_until,
            grace_end: now + EXPIRED_ENTRY_GRACE,
            is_restore: false,
        });
        self.narrow();
    }

    /// Records that the store was restored from a copy without its newest entries.
    pub fn on_restored(&mut self, now: Duration) {
        self.outage = Some(Outage {
            known_until: now,
            grace_end: now + EXPIRED_ENTRY_GRACE,
            is_restore: true,
        });
    }

    /// Records that the store served the servers during the last outage.
    pub fn disregard_outage(&mut self) {
        self.outage = None;
    }

    /// Shortens the time for which expired entries are used to what is known, and returns whether it
    /// became shorter.
    fn narrow(&mut self) -> bool {
        let served = self.served();
        let (Some(outage), Some(served)) = (&mut self.outage, served) else {
            return false;
        };
        let grace_end = if outage.is_restore {
            outage.grace_end
        } else if served.since <= outage.known_until {
            Duration::ZERO
        } else {
            outage.grace_end.min(served.since + EXPIRED_ENTRY_GRACE)
        };
        let is_shorter = grace_end < outage.grace_end;
        outage.grace_end = grace_end;
        is_shorter
    }

    /// Returns the time for which servers without an entry are still used.
    #[must_use]
    pub fn grace_left(&self, now: Duration) -> Duration {
        self.outage.map_or(Duration::ZERO, |outage| {
            outage.grace_end.saturating_sub(now)
        })
    }

    /// Returns whether statements of other daemons may shorten that time.
    #[must_use]
    pub fn awaits_statements(&self, now: Duration) -> bool {
        let outage = self.outage.filter(|outage| !outage.is_restore);
        outage.is_some_and(|outage| now < outage.grace_end)
    }

    /// Returns the time up to which the table was known before it was regained last.
    #[must_use]
    pub fn known_until(&self) -> Option<Duration> {
        self.outage.map(|outage| outage.known_until)
    }

    /// Returns the time up to which this daemon has read the table.
    #[must_use]
    pub fn last_read_at(&self) -> Option<Duration> {
        self.own.map(|own| own.until)
    }

    /// Returns what this daemon states to others, or `None` if it has not read the table yet.
    #[must_use]
    pub fn statement(&self, now: Duration) -> Option<ServedStatement> {
        let served = self.served()?;
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        let is_current = !self.has_failed && now <= served.until + READ_GAP_MAX;
        Some(ServedStatement {
            since_ms: age_ms(served.since),
            // An age that is rounded down would make the time longer.
            until_ms: if is_current {
                0
            } else {
                age_ms(served.until) + 1
            },
        })
    }
}
