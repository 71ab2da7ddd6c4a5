//! Lease on the duty of switching weights, as conditional appends to a log.
//!
//! A daemon appends a record at the end of the log it has read. The append takes effect only if no
//! other daemon appended meanwhile, so the records are in the order of their holders. The fencing
//! token of a holder is one above the offset of its first record, which makes tokens increase.
//!
//! A holder announces in a record which servers it orders to switch before it orders them. A daemon
//! that takes over therefore knows which servers its predecessor may still have ordered, and gives
//! orders to all others at once.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time after the start of an append for which its holder gives orders.
const VALIDITY: Duration = Duration::from_millis(1200);
/// Time after which a holder renews.
const RENEW_AFTER: Duration = Duration::from_millis(400);
/// Time for which an order that was sent may be on its way.
const TRANSIT_MARGIN: Duration = Duration::from_millis(500);

/// A record of the lease log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Instance that holds the lease.
    pub holder: String,
    /// Start of its daemon, which tells two daemons of one instance apart.
    pub incarnation: u64,
    /// Fencing token of its orders.
    pub fencing_token: u64,
    /// Servers that are ordered to switch weights next, with the weights to load.
    pub switching: Vec<ServerWeights>,
    /// Weights that servers have loaded since the record before.
    #[serde(default)]
    pub loaded: Vec<ServerWeights>,
}

/// Weights of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerWeights {
    /// Identifier of the server.
    pub server: String,
    /// Model.
    pub model: String,
    /// Version. A daemon that reads the log later must not take it for a newer one, or for one that the
    /// server is still to load.
    pub version: u64,
}

/// What a daemon does about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Another daemon holds it, or nothing is due.
    Wait,
    /// Append a record at this offset, with this fencing token.
    Append {
        /// Offset at which the log must end.
        offset: u64,
        /// Fencing token.
        fencing_token: u64,
    },
}

#[derive(Clone, Debug)]
struct Held {
    record: LeaseRecord,
    seen_at: Duration,
}

/// An announcement of another daemon.
#[derive(Clone, Copy, Debug)]
struct Announced {
    seen_at: Duration,
}

/// The lease as one daemon sees it.
#[derive(Clone, Debug)]
pub struct LeaseView {
    holder: String,
    incarnation: u64,
    turn_time: Duration,
    last: Option<Held>,
    announced_by_others: IndexMap<String, Announced>,
    next_offset: u64,
    valid_until: Duration,
    renew_at: Duration,
}

impl LeaseView {
    /// Creates the view of a daemon that has read nothing. `turn_time` must lie between the orders
    /// of two holders to one server.
    #[must_use]
    pub fn new(holder: String, incarnation: u64, turn_time: Duration) -> Self {
        Self {
            holder,
            incarnation,
            turn_time,
            last: None,
            announced_by_others: IndexMap::new(),
            next_offset: 0,
            valid_until: Duration::ZERO,
            renew_at: Duration::ZERO,
        }
    }

    /// Offset from which to read the log.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Takes over the records that were read, and the offset after them.
    pub fn on_read(&mut self, records: &[LeaseRecord], next_offset: u64, now: Duration) {
        let turn_over = self.server_turn_time();
        self.announced_by_others
            .retain(|_, announced| now < announced.seen_at + turn_over);
        for record in records {
            self.on_record(record, now);
        }
        self.next_offset = next_offset;
    }

    fn on_record(&mut self, record: &LeaseRecord, now: Duration) {
        if !self.is_own(record) {
            self.valid_until = Duration::ZERO;
            for announced in &record.switching {
                self.announced_by_others
                    .insert(announced.server.clone(), Announced { seen_at: now });
            }
        }
        self.last = Some(Held {
            record: record.clone(),
            seen_at: now,
        });
    }

    /// What to do now about a lease that is not held.
    #[must_use]
    pub fn acquisition(&self, now: Duration) -> LeaseStep {
        match &self.last {
            Some(held) if self.is_own(&held.record) => LeaseStep::Append {
                offset: self.next_offset,
                fencing_token: held.record.fencing_token,
            },
            Some(held) if now < held.seen_at + VALIDITY + TRANSIT_MARGIN => LeaseStep::Wait,
            _ => LeaseStep::Append {
                offset: self.next_offset,
                fencing_token: self.next_offset + 1,
            },
        }
    }

    /// What the holder does to keep the lease. `is_due` asks for a record in any case.
    #[must_use]
    pub fn renewal(&self, now: Duration, is_due: bool) -> LeaseStep {
        match (self.fencing_token(now), is_due || now >= self.renew_at) {
            (Some(fencing_token), true) => LeaseStep::Append {
                offset: self.next_offset,
                fencing_token,
            },
            _ => LeaseStep::Wait,
        }
    }

    /// Notes that the own record was stored at `offset` by an append that was started at
    /// `started_at`.
    pub fn on_append_stored(&mut self, record: LeaseRecord, offset: u64, started_at: Duration) {
        self.next_offset = offset + 1;
        self.valid_until = started_at + VALIDITY;
        self.renew_at = started_at + RENEW_AFTER;
        self.last = Some(Held {
            record,
            seen_at: started_at,
        });
    }

    /// Notes that an append found the log at another offset, or has no answer. The lease is not
    /// relied on until the log was read.
    pub fn on_append_unconfirmed(&mut self) {
        self.valid_until = Duration::ZERO;
    }

    /// Gives the lease up, after a server has seen a higher fencing token.
    pub fn on_fenced(&mut self, now: Duration) {
        self.valid_until = Duration::ZERO;
        if let Some(held) = &mut self.last {
            // The own record counts as another daemon's, so that a new token is taken later.
            held.record.incarnation = 0;
            held.seen_at = now + self.turn_time;
        }
    }

    /// The fencing token for an order now, if the lease is held.
    #[must_use]
    pub fn fencing_token(&self, now: Duration) -> Option<u64> {
        let held = self.last.as_ref()?;
        let is_valid = self.is_own(&held.record) && now < self.valid_until;
        is_valid.then_some(held.record.fencing_token)
    }

    /// Whether an order of another daemon to a server may be so recent that this daemon has to wait.
    #[must_use]
    pub fn is_reserved_by_other(&self, server_id: &str, now: Duration) -> bool {
        self.announced_by_others
            .get(server_id)
            .is_some_and(|announced| now < announced.seen_at + self.server_turn_time())
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder == self.holder && record.incarnation == self.incarnation
    }

    /// Time after an announcement in which its daemon may order the server, and the turn after it.
    fn server_turn_time(&self) -> Duration {
        VALIDITY + TRANSIT_MARGIN + self.turn_time
    }
}
