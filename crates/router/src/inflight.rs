//! Block imports in progress and reservations of link bytes for them.

use crate::kv::ShortKey;
use anvilgw_core::ServerId;
use indexmap::IndexMap;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use std::time::Duration;

new_key_type! {
    /// Identifier of a reservation of link bytes.
    pub struct ReservationId;
}

/// Identifier of a request that waits for an import. The caller assigns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WaiterId(pub u64);

/// Key of an import: a block that a server imports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ImportKey {
    /// Server that imports the block.
    pub server: ServerId,
    /// Block to import.
    pub block: ShortKey,
}

/// Role of a request in the import of a block that it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ImportRole {
    /// The request runs the import.
    Importer,
    /// The request waits for the import that an earlier request runs.
    Waiter,
}

/// An import that ended, with the requests that waited for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedImport {
    /// Block and importing server.
    pub key: ImportKey,
    /// Whether the block can be used. If not, the waiting requests recompute it.
    pub usable: bool,
    /// Waiting requests, in order of arrival.
    pub waiters: Vec<WaiterId>,
}

#[derive(Clone, Debug)]
struct RunningImport {
    expires_at: Duration,
    waiters: Vec<WaiterId>,
}

/// Imports in progress, at most one per block and server. Later requests for the block wait for it.
#[derive(Clone, Debug, Default)]
pub struct Imports {
    running: IndexMap<ImportKey, RunningImport>,
}

impl Imports {
    /// Adds a request to the import of a block, or starts the import if there is none. An import
    /// that starts expires at `expires_at`, in case its end is never recorded.
    pub fn join(&mut self, key: ImportKey, waiter: WaiterId, expires_at: Duration) -> ImportRole {
        if let Some(import) = self.running.get_mut(&key) {
            import.waiters.push(waiter);
            return ImportRole::Waiter;
        }
        let import = RunningImport {
            expires_at,
            waiters: Vec::new(),
        };
        self.running.insert(key, import);
        ImportRole::Importer
    }

    /// Ends an import. Returns `None` if it is not in progress.
    pub fn end(&mut self, key: ImportKey, usable: bool) -> Option<EndedImport> {
        let import = self.running.shift_remove(&key)?;
        Some(EndedImport {
            key,
            usable,
            waiters: import.waiters,
        })
    }

    /// Removes a waiting request that ended for another reason.
    pub fn remove_waiter(&mut self, key: ImportKey, waiter: WaiterId) {
        if let Some(import) = self.running.get_mut(&key) {
            import.waiters.retain(|other| *other != waiter);
        }
    }

    /// Ends and returns the expired imports, as not usable.
    pub fn expire(&mut self, now: Duration) -> Vec<EndedImport> {
        let expired: Vec<_> = self
            .running
            .iter()
            .filter(|(_, import)| import.expires_at <= now)
            .map(|(key, _)| *key)
            .collect();
        expired
            .into_iter()
            .filter_map(|key| self.end(key, false))
            .collect()
    }

    /// Returns the number of imports in progress.
    #[must_use]
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns true if no import is in progress.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }
}

quick_error! {
    /// Reason why link bytes were not reserved.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum LinkRefusal {
        /// Earlier reservations would delay the transfer by `wait`, which is longer than allowed.
        Wait(wait: Duration) { display("link is reserved for the next {:?}", wait) }
        /// This daemon has no share of the link budget.
        NoShare { display("no share of the link budget") }
    }
}

/// Reserved link bytes for one transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Identifier by which the reservation is released.
    pub id: ReservationId,
    /// Earliest time at which the transfer may start.
    pub start: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Reserved {
    bytes: u64,
    start: Duration,
    /// Interval in which the bytes pass at the rate of the share.
    paced_start: Duration,
    paced_end: Duration,
    expires_at: Duration,
}

/// Reservations on one link, paced by this daemon's share of the link budget.
///
/// Transfers are queued at the rate of the share and may start up to `burst` early. The bytes that
/// start within an interval are therefore at most the share times the sum of the interval and the
/// burst, plus one transfer. Bytes that a transfer does not use are lost, unless its reservation is
/// released before its start and no other was made after it: later reservations already hold start
/// times.
#[derive(Clone, Debug)]
pub struct LinkReservations {
    share_bytes_per_s: f64,
    /// Time at which all reserved bytes have passed at the rate of the share.
    busy_until: Duration,
    burst: Duration,
    grace: Duration,
    reserved: SlotMap<ReservationId, Reserved>,
}

impl LinkReservations {
    /// Creates an empty list of reservations. A reservation expires `grace` after its bytes have
    /// passed at the rate of the share.
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

    /// Changes the share. Existing reservations keep their start times.
    pub fn set_share(&mut self, share_bytes_per_s: f64) {
        self.share_bytes_per_s = share_bytes_per_s;
    }

    /// Returns this daemon's share of the link budget, in bytes per second.
    #[must_use]
    pub fn share_bytes_per_s(&self) -> f64 {
        self.share_bytes_per_s
    }

    /// Returns the time from `now` until a new transfer may start.
    #[must_use]
    pub fn wait(&self, now: Duration) -> Duration {
        self.busy_until.saturating_sub(now + self.burst)
    }

    /// Returns the bytes of all reservations that are neither released nor expired.
    #[must_use]
    pub fn reserved_bytes(&self) -> u64 {
        self.reserved.values().map(|reserved| reserved.bytes).sum()
    }

    /// Reserves bytes for a transfer that starts within `wait_max`.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkRefusal`] if the transfer cannot start in time; nothing is reserved then.
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
        let paced_start = self.busy_until.max(now);
        let paced_end =
            paced_start + Duration::from_secs_f64(bytes as f64 / self.share_bytes_per_s);
        self.busy_until = paced_end;
        let id = self.reserved.insert(Reserved {
            bytes,
            start,
            paced_start,
            paced_end,
            expires_at: paced_end + self.grace,
        });
        Ok(Reservation { id, start })
    }

    /// Releases a reservation after its transfer, or unused.
    pub fn release(&mut self, id: ReservationId, now: Duration) {
        let Some(reserved) = self.reserved.remove(id) else {
            return;
        };
        if now <= reserved.start && reserved.paced_end == self.busy_until {
            self.busy_until = reserved.paced_start;
        }
    }

    /// Drops expired reservations, which were never released. Returns their number.
    pub fn expire(&mut self, now: Duration) -> usize {
        let before = self.reserved.len();
        self.reserved
            .retain(|_, reserved| reserved.expires_at > now);
        before - self.reserved.len()
    }
}
