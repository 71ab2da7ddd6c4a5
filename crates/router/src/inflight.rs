//! Imports in progress and reservations of link bytes.

use crate::kv::ShortKey;
use anvilgw_core::ServerId;
use indexmap::IndexMap;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use std::time::Duration;

new_key_type! {
    /// A reservation of link bytes.
    pub struct ReservationId;
}

/// A request that waits for an import; the number is chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WaiterId(pub u64);

/// A block on its way to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ImportKey {
    /// Server that imports.
    pub server: ServerId,
    /// The block.
    pub block: ShortKey,
}

/// What a request does about a block it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ImportRole {
    /// It runs the import.
    Importer,
    /// It waits for the import of an earlier request.
    Waiter,
}

/// Requests whose import ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedImport {
    /// The block.
    pub key: ImportKey,
    /// Whether the block can be used. If not, the waiters recompute it.
    pub usable: bool,
    /// The waiters, in order of arrival.
    pub waiters: Vec<WaiterId>,
}

#[derive(Clone, Debug)]
struct ImportEntry {
    expires: Duration,
    waiters: Vec<WaiterId>,
}

/// One import per block and server; later readers wait for it.
#[derive(Clone, Debug, Default)]
pub struct Imports {
    running: IndexMap<ImportKey, ImportEntry>,
}

impl Imports {
    /// Joins the import of a block, or starts it if there is none. `expires` bounds the wait for an
    /// importer that is never heard of again.
    pub fn join(&mut self, key: ImportKey, waiter: WaiterId, expires: Duration) -> ImportRole {
        if let Some(entry) = self.running.get_mut(&key) {
            entry.waiters.push(waiter);
            return ImportRole::Waiter;
        }
        let entry = ImportEntry {
            expires,
            waiters: Vec::new(),
        };
        self.running.insert(key, entry);
        ImportRole::Importer
    }

    /// Ends an import.
    pub fn end(&mut self, key: ImportKey, usable: bool) -> Option<EndedImport> {
        let entry = self.running.shift_remove(&key)?;
        Some(EndedImport {
            key,
            usable,
            waiters: entry.waiters,
        })
    }

    /// Takes back a waiter whose request ended for another reason.
    pub fn remove_waiter(&mut self, key: ImportKey, waiter: WaiterId) {
        if let Some(entry) = self.running.get_mut(&key) {
            entry.waiters.retain(|known| *known != waiter);
        }
    }

    /// Ends imports that took too long; their waiters recompute.
    pub fn expire(&mut self, now: Duration) -> Vec<EndedImport> {
        let late: Vec<_> = self
            .running
            .iter()
            .filter(|(_, entry)| entry.expires <= now)
            .map(|(key, _)| *key)
            .collect();
        late.into_iter()
            .filter_map(|key| self.end(key, false))
            .collect()
    }

    /// Number of imports in progress.
    #[must_use]
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Whether no import is in progress.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }
}

quick_error! {
    /// Why link bytes were not reserved.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum LinkRefusal {
        /// The transfer could not start in time within the budget.
        Wait(wait: Duration) { display("link is reserved for the next {:?}", wait) }
        /// This daemon has no share of the link budget.
        NoShare { display("no share of the link budget") }
    }
}

/// A granted transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Names the reservation.
    pub id: ReservationId,
    /// Time at which the transfer may start.
    pub start: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Reserved {
    bytes: u64,
    start: Duration,
    slot: Duration,
    end: Duration,
    expires: Duration,
}

/// Reservations of one link against this daemon's share of its budget.
///
/// Transfers are lined up at the rate of the share and may run ahead of it by `burst`, so the bytes of
/// an interval are at most the share times the interval and the burst, plus one transfer. Bytes that
/// a transfer does not use are lost, unless it is released before its start and nothing was lined up
/// behind it: later reservations already hold start times.
#[derive(Clone, Debug)]
pub struct LinkLedger {
    share_bytes_per_s: f64,
    /// Time at which the reserved bytes have passed at the rate of the share.
    busy_until: Duration,
    burst: Duration,
    grace: Duration,
    reserved: SlotMap<ReservationId, Reserved>,
}

impl LinkLedger {
    /// Creates a ledger. A reservation expires `grace` after the end of its slot.
    #[must_use]
    pub fn new(share_bytes_per_s: f64, burst: Duration, grace: Duration) -> Self {
        Self {
            share_bytes_per_s,
            busy_until: Duration::ZERO,
            burst,
            grace,
            reserved: SlotMap::with_key(),
        }
    }

    /// Changes the share. Reservations keep their start times.
    pub fn set_share(&mut self, share_bytes_per_s: f64) {
        self.share_bytes_per_s = share_bytes_per_s;
    }

    /// This daemon's share of the budget.
    #[must_use]
    pub fn share_bytes_per_s(&self) -> f64 {
        self.share_bytes_per_s
    }

    /// Time until a new transfer may start.
    #[must_use]
    pub fn wait(&self, now: Duration) -> Duration {
        self.busy_until.saturating_sub(now + self.burst)
    }

    /// Bytes reserved and not yet ended.
    #[must_use]
    pub fn reserved_bytes(&self) -> u64 {
        self.reserved.values().map(|reserved| reserved.bytes).sum()
    }

    /// Reserves bytes for a transfer that starts within `wait_max`.
    ///
    /// # Errors
    ///
    /// [`LinkRefusal`] if it cannot; nothing is reserved then.
    pub fn reserve(
        &mut self,
        bytes: u64,
        now: Duration,
        wait_max: Duration,
    ) -> Result<Reservation, LinkRefusal> {
        if self.share_bytes_per_s <= 0.0 {
            return Err(LinkRefusal::NoShare);
        }
        let wait = self.wait(now);
        if wait > wait_max {
            return Err(LinkRefusal::Wait(wait));
        }
        let start = now + wait;
        let slot = self.busy_until.max(now);
        let end = slot + Duration::from_secs_f64(bytes as f64 / self.share_bytes_per_s);
        self.busy_until = end;
        let id = self.reserved.insert(Reserved {
            bytes,
            start,
            slot,
            end,
            expires: end + self.grace,
        });
        Ok(Reservation { id, start })
    }

    /// Ends a reservation after its transfer, or gives it back unused.
    pub fn release(&mut self, id: ReservationId, now: Duration) {
        let Some(reserved) = self.reserved.remove(id) else {
            return;
        };
        if now <= reserved.start && reserved.end == self.busy_until {
            self.busy_until = reserved.slot;
        }
    }

    /// Drops reservations whose transfer never ended. Returns their number.
    pub fn expire(&mut self, now: Duration) -> usize {
        let before = self.reserved.len();
        self.reserved.retain(|_, reserved| reserved.expires > now);
        before - self.reserved.len()
    }
}
