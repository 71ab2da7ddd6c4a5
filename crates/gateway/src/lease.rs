//! Lease that makes one daemon at a time responsible for switching weights, built on conditional
//! appends to a log of the metadata store.
//!
//! A daemon appends a record at the end of the log that it has read. The append takes effect only
//! if no other daemon has appended in the meantime, so the log orders the holders. The fencing
//! token of a holder is derived from the position of its first record; tokens therefore increase.
//!
//! A metadata store that is restored from an older copy loses the newest records and states a
//! higher epoch. Their holder does not know it at first and may give orders until its lease ends,
//! so other daemons wait for that time after they have first seen the epoch.
//!
//! A holder whose daemon stops gives the lease up with its last record, so that another daemon can
//! take it immediately.
//!
//! Before a holder orders servers to switch, it announces them in a record. A daemon that takes
//! over therefore knows which servers its predecessor may still be ordering, and can give orders to
//! all others immediately.

use crate::fencing_token::{epoch_of, fencing_token};
use crate::log_position::{LogPosition, StoreEpoch};
use crate::ports::AppendOutcome;
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

/// A record of the lease log with its offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// Offset of the record.
    pub offset: u64,
    /// Content.
    pub record: LeaseRecord,
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

/// An append of a record that was sent to the metadata store.
#[derive(Clone, Debug)]
pub struct StartedAppend {
    /// The record.
    pub record: LeaseRecord,
    /// When it was sent.
    pub started_at: Duration,
}

/// What the answer to an append means for the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The record was stored at the end of the log that this daemon has read.
    Stored,
    /// Another daemon has appended in the meantime.
    Conflict,
    /// The answer is of another epoch than the one in which this daemon has read the log. If the
    /// record was stored, it takes no lease.
    Restored,
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

/// What is uncertain about holders of earlier epochs, whose records the store may have lost.
#[derive(Clone, Copy, Debug, Default)]
struct EarlierHolders {
    /// Time until which one of them may give orders.
    orders_until: Duration,
    /// Time until which this daemon orders no server, because an earlier holder may have done so.
    reserved_until: Duration,
    /// The same for restores since this daemon's last stored record. It does not apply if this
    /// daemon was the only holder at the restore.
    unresolved_until: Option<Duration>,
}

impl EarlierHolders {
    fn on_restored(&mut self, orders_until: Duration, reserved_until: Duration) {
        self.orders_until = orders_until;
        self.unresolved_until = Some(reserved_until);
    }

    /// Records that this daemon's record was stored. `was_only_holder` tells whether no other
    /// daemon can have held the lease since its record before.
    fn on_append_stored(&mut self, was_only_holder: bool) {
        if let Some(until) = self.unresolved_until.take()
            && !was_only_holder
        {
            self.reserved_until = until;
        }
    }

    fn reserve_servers(&self, now: Duration) -> bool {
        let unresolved_until = self.unresolved_until.unwrap_or_default();
        now < self.reserved_until.max(unresolved_until)
    }
}

/// One daemon's view of the lease.
#[derive(Clone, Debug)]
pub struct LeaseView {
    holder: String,
    incarnation: u64,
    order_gap: Duration,
    last: Option<SeenRecord>,
    switches_of_others: IndexMap<String, AnnouncedSwitch>,
    /// Position from which to read the log next.
    position: LogPosition,
    /// Position up to which the log was read in an earlier epoch.
    known: LogPosition,
    earlier_holders: EarlierHolders,
    valid_until: Duration,
    /// Time before which no other daemon takes the lease, in any epoch: this daemon's last stored
    /// record delays the others for longer, and so does a restore after it.
    only_holder_until: Duration,
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
            position: LogPosition::default(),
            known: LogPosition::default(),
            earlier_holders: EarlierHolders::default(),
            valid_until: Duration::ZERO,
            only_holder_until: Duration::ZERO,
            renew_at: Duration::ZERO,
        }
    }

    /// Returns the position from which to read the log next.
    #[must_use]
    pub fn position(&self) -> LogPosition {
        self.position
    }

    /// Records that the metadata store was restored from a copy and is now in a higher epoch, which
    /// this daemon first saw at `seen_at`. The lease counts as lost, and the log has to be read from
    /// its first offset. A lower epoch changes nothing.
    pub fn on_epoch(&mut self, epoch: StoreEpoch, seen_at: Duration) {
        if epoch <= self.position.epoch {
            return;
        }
        // Otherwise the log was not read anew in the last epoch up to where it was known before.
        if self.position.offset >= self.known.offset {
            self.known = self.position;
        }
        self.position = LogPosition { epoch, offset: 0 };
        self.last = None;
        self.valid_until = Duration::ZERO;
        self.earlier_holders.on_restored(
            seen_at + VALIDITY + TRANSIT_MARGIN,
            seen_at + self.announcement_time(),
        );
    }

    /// Returns whether a record was read already in an earlier epoch, according to its offset and
    /// the epoch of its token.
    #[must_use]
    pub fn is_known(&self, stored: &StoredRecord) -> bool {
        stored.offset < self.known.offset
            && epoch_of(stored.record.fencing_token) <= self.known.epoch
            && self.known.epoch < self.position.epoch
    }

    /// Applies records that were read from the log, in the epoch of the view. `next_offset` is the
    /// offset after the last of them.
    pub fn on_read(&mut self, records: &[StoredRecord], next_offset: u64, now: Duration) {
        let announcement_time = self.announcement_time();
        self.switches_of_others
            .retain(|_, announced| now < announced.seen_at + announcement_time);
        for stored in records {
            self.on_record(stored, now);
        }
        self.position.offset = next_offset;
    }

    fn on_record(&mut self, stored: &StoredRecord, now: Duration) {
        let record = &stored.record;
        if !self.is_own(record) && !self.is_known(stored) {
            self.valid_until = Duration::ZERO;
            self.only_holder_until = Duration::ZERO;
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
        if self.can_retake(now) {
            return self.first_append();
        }
        if now < self.earlier_holders.orders_until {
            return LeaseStep::Wait;
        }
        let Some(last) = &self.last else {
            return self.first_append();
        };
        // A record with a token of an earlier epoch may be a late append, which neither takes nor
        // releases the lease: the holder is that of another record.
        let is_of_epoch = self.is_of_epoch(&last.record);
        if is_of_epoch && last.record.is_released {
            self.first_append()
        } else if is_of_epoch && self.is_own(&last.record) {
            LeaseStep::Append {
                offset: self.position.offset,
                fencing_token: last.record.fencing_token,
            }
        } else if now < last.seen_at + VALIDITY + TRANSIT_MARGIN {
            LeaseStep::Wait
        } else {
            self.first_append()
        }
    }

    /// Returns whether the store was restored while this daemon was the holder, and no other daemon
    /// can have taken the lease since.
    fn can_retake(&self, now: Duration) -> bool {
        self.earlier_holders.unresolved_until.is_some() && now < self.only_holder_until
    }

    /// Returns the append of a new holder's first record.
    fn first_append(&self) -> LeaseStep {
        LeaseStep::Append {
            offset: self.position.offset,
            fencing_token: fencing_token(self.position),
        }
    }

    /// Returns the action that keeps the lease of its holder. With `has_updates`, a record is
    /// appended even if no renewal is due.
    #[must_use]
    pub fn renewal(&self, now: Duration, has_updates: bool) -> LeaseStep {
        match (self.fencing_token(now), has_updates || now >= self.renew_at) {
            (Some(fencing_token), true) => LeaseStep::Append {
                offset: self.position.offset,
                fencing_token,
            },
            _ => LeaseStep::Wait,
        }
    }

    /// Applies the answer of the metadata store to an append. `seen_at` is the time at which this
    /// daemon first received an answer of its epoch.
    pub fn on_append_answer(
        &mut self,
        append: StartedAppend,
        outcome: AppendOutcome,
        seen_at: Duration,
    ) -> AppendResult {
        let (AppendOutcome::Stored(position) | AppendOutcome::Conflict(position)) = outcome;
        if position.epoch != self.position.epoch {
            // The records that precede the position were not read.
            self.on_append_unconfirmed();
            self.on_epoch(position.epoch, seen_at);
            return AppendResult::Restored;
        }
        if let AppendOutcome::Conflict(_) = outcome {
            self.on_append_unconfirmed();
            return AppendResult::Conflict;
        }
        self.on_append_stored(append, position.offset);
        AppendResult::Stored
    }

    fn on_append_stored(&mut self, append: StartedAppend, offset: u64) {
        let StartedAppend { record, started_at } = append;
        let was_only_holder = started_at < self.only_holder_until;
        self.earlier_holders.on_append_stored(was_only_holder);
        self.position.offset = offset + 1;
        self.valid_until = started_at + VALIDITY;
        self.only_holder_until = if record.is_released {
            Duration::ZERO
        } else {
            self.valid_until
        };
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
        self.only_holder_until = Duration::ZERO;
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
        self.earlier_holders.reserve_servers(now)
            || self
                .switches_of_others
                .get(server_id)
                .is_some_and(|announced| now < announced.seen_at + self.announcement_time())
    }

    fn is_of_epoch(&self, record: &LeaseRecord) -> bool {
        epoch_of(record.fencing_token) == self.position.epoch
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
