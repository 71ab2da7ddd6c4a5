//! Lease that makes one daemon at a time responsible for switching weights, built on conditional
//! appends to a log of the metadata store.
//!
//! A daemon appends a record at the end of the log that it has read. The append takes effect only
//! if no other daemon has appended in the meantime, so the log orders the holders. The fencing
//! token of a holder is one above the offset of its first record; tokens therefore increase.
//!
//! A holder whose daemon stops gives the lease up with its last record, so that another daemon can
//! take it immediately.
//!
//! Before a holder orders servers to switch, it announces them in a record. A daemon that takes
//! over therefore knows which servers its predecessor may still be ordering, and can give orders to
//! all others immediately.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time for which a holder gives orders after the start of its last append.
const VALIDITY: Duration = Duration::from_millis(1200);
/// Time after the start of an append after which the holder renews its lease.
const RENEW_AFTER: Duration = Duration::from_millis(400);
/// Time for which an order may still be in transit after it was sent.
const TRANSIT_MARGIN: Duration = Duration::from_millis(500);

/// Longest time after an order was sent at which the server carries it out, if nothing is known of
/// its answer.
pub const ORDER_EFFECT_MAX: Duration = Duration::from_secs(12);
/// Longest time after an announcement was read at which the announced order takes effect: the
/// holder sends it while its lease is valid.
pub const ANNOUNCED_EFFECT_MAX: Duration = ORDER_EFFECT_MAX
    .saturating_add(VALIDITY)
    .saturating_add(TRANSIT_MARGIN);

/// A record of the lease log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Instance that holds the lease.
    pub holder: String,
    /// Start time of the holder's daemon in Unix milliseconds, which distinguishes two daemons of
    /// one instance.
    pub incarnation: u64,
    /// Fencing token of the holder's orders.
    pub fencing_token: u64,
    /// Servers that the holder is about to order to switch, with the weights that they will load.
    pub switching: Vec<ServerWeights>,
    /// Weights that servers have loaded since the previous record.
    #[serde(default)]
    pub loaded: Vec<ServerWeights>,
    /// Announced switches that do not take place, since the previous record.
    #[serde(default)]
    pub cancelled: Vec<CancelledSwitch>,
    /// Whether the holder gives the lease up with this record, because its daemon stops.
    #[serde(default)]
    pub is_released: bool,
}

/// A version of a model's weights on one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerWeights {
    /// Identifier of the server.
    pub server: String,
    /// Name of the model.
    pub model: String,
    /// Version of the weights. A daemon that reads an old record needs it, so that it does not take
    /// the record for an announcement of newer weights or of a load that is still to come.
    pub version: u64,
}

/// An announced switch that does not take place now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelledSwitch {
    /// Server and weights of the announcement.
    #[serde(flatten)]
    pub weights: ServerWeights,
    /// Time from the record on, in milliseconds, in which this or an earlier order to the server may
    /// still take effect. Zero if none may. Records of releases without this field count as if the
    /// order had just been sent.
    #[serde(default = "order_effect_max_ms")]
    pub order_left_ms: u64,
}

fn order_effect_max_ms() -> u64 {
    ORDER_EFFECT_MAX.as_millis() as u64
}

/// Next action of a daemon on the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Append nothing: another daemon holds the lease, or no renewal is due.
    Wait,
    /// Append a record on the condition that the log ends at `offset`.
    Append {
        /// Offset of the new record, at which the log must end.
        offset: u64,
        /// Fencing token of the new record.
        fencing_token: u64,
    },
}

#[derive(Clone, Debug)]
struct SeenRecord {
    record: LeaseRecord,
    seen_at: Duration,
}

/// A switch that another daemon has announced.
#[derive(Clone, Copy, Debug)]
struct AnnouncedSwitch {
    seen_at: Duration,
}

/// One daemon's view of the lease.
#[derive(Clone, Debug)]
pub struct LeaseView {
    holder: String,
    incarnation: u64,
    order_gap: Duration,
    last: Option<SeenRecord>,
    switches_of_others: IndexMap<String, AnnouncedSwitch>,
    next_offset: u64,
    valid_until: Duration,
    renew_at: Duration,
}

impl LeaseView {
    /// Creates the view of a daemon that has not read the log. `order_gap` is the minimum time
    /// between orders of two holders to the same server.
    #[must_use]
    pub fn new(holder: String, incarnation: u64, order_gap: Duration) -> Self {
        Self {
            holder,
            incarnation,
            order_gap,
            last: None,
            switches_of_others: IndexMap::new(),
            next_offset: 0,
            valid_until: Duration::ZERO,
            renew_at: Duration::ZERO,
        }
    }

    /// Returns the offset from which to read the log next.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Applies records that were read from the log. `next_offset` is the offset after the last of
    /// them.
    pub fn on_read(&mut self, records: &[LeaseRecord], next_offset: u64, now: Duration) {
        let announcement_time = self.announcement_time();
        self.switches_of_others
            .retain(|_, announced| now < announced.seen_at + announcement_time);
        for record in records {
            self.on_record(record, now);
        }
        self.next_offset = next_offset;
    }

    fn on_record(&mut self, record: &LeaseRecord, now: Duration) {
        if !self.is_own(record) {
            self.valid_until = Duration::ZERO;
            for announced in &record.switching {
                self.switches_of_others
                    .insert(announced.server.clone(), AnnouncedSwitch { seen_at: now });
            }
        }
        self.last = Some(SeenRecord {
            record: record.clone(),
            seen_at: now,
        });
    }

    /// Returns the action of a daemon that does not hold the lease: append a record if the lease is
    /// free, wait otherwise.
    #[must_use]
    pub fn acquisition(&self, now: Duration) -> LeaseStep {
        match &self.last {
            Some(last) if last.record.is_released => self.first_append(),
            Some(last) if self.is_own(&last.record) => LeaseStep::Append {
                offset: self.next_offset,
                fencing_token: last.record.fencing_token,
            },
            Some(last) if now < last.seen_at + VALIDITY + TRANSIT_MARGIN => LeaseStep::Wait,
            _ => self.first_append(),
        }
    }

    /// Returns the append of a new holder's first record.
    fn first_append(&self) -> LeaseStep {
        LeaseStep::Append {
            offset: self.next_offset,
            fencing_token: self.next_offset + 1,
        }
    }

    /// Returns the action that keeps the lease of its holder. With `has_updates`, a record is
    /// appended even if no renewal is due.
    #[must_use]
    pub fn renewal(&self, now: Duration, has_updates: bool) -> LeaseStep {
        match (self.fencing_token(now), has_updates || now >= self.renew_at) {
            (Some(fencing_token), true) => LeaseStep::Append {
                offset: self.next_offset,
                fencing_token,
            },
            _ => LeaseStep::Wait,
        }
    }

    /// Records that the daemon's own record was stored at `offset` by an append that started at
    /// `started_at`.
    pub fn on_append_stored(&mut self, record: LeaseRecord, offset: u64, started_at: Duration) {
        self.next_offset = offset + 1;
        self.valid_until = started_at + VALIDITY;
        self.renew_at = started_at + RENEW_AFTER;
        self.last = Some(SeenRecord {
            record,
            seen_at: started_at,
        });
    }

    /// Records that an append was rejected because the log had grown, or that its result is
    /// unknown. The lease counts as lost until the log has been read.
    pub fn on_append_unconfirmed(&mut self) {
        self.valid_until = Duration::ZERO;
    }

    /// Gives up the lease after a server has reported a higher fencing token.
    pub fn on_fenced(&mut self, now: Duration) {
        self.valid_until = Duration::ZERO;
        if let Some(last) = &mut self.last {
            // Treat the daemon's own record as that of another daemon, so that the next acquisition
            // takes a new token.
            last.record.incarnation = 0;
            last.seen_at = now + self.order_gap;
        }
    }

    /// Returns the fencing token for an order at `now`, or `None` if this daemon does not hold the
    /// lease.
    #[must_use]
    pub fn fencing_token(&self, now: Duration) -> Option<u64> {
        let last = self.last.as_ref()?;
        let is_held = self.is_own(&last.record) && !last.record.is_released;
        let is_valid = is_held && now < self.valid_until;
        is_valid.then_some(last.record.fencing_token)
    }

    /// Returns whether another daemon may have ordered the server so recently that this daemon has
    /// to wait.
    #[must_use]
    pub fn is_reserved_by_other(&self, server_id: &str, now: Duration) -> bool {
        self.switches_of_others
            .get(server_id)
            .is_some_and(|announced| now < announced.seen_at + self.announcement_time())
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder == self.holder && record.incarnation == self.incarnation
    }

    /// Returns how long an announcement keeps other daemons from ordering the server: the time in
    /// which the announcing daemon may order it, and the gap between two holders' orders.
    fn announcement_time(&self) -> Duration {
        VALIDITY + TRANSIT_MARGIN + self.order_gap
    }
}
