//! Directory of the prompt parts that the cache stores hold.
//!
//! The directory is built from the stores' cache events. Events arrive late and a few are lost,
//! so entries may be wrong: reading a part that the store has dropped costs about a millisecond
//! and the part is then computed, and a part whose entry is missing is computed again or read
//! from an engine. The caches of engines are not tracked: they change all the time, and the
//! engine that ranks next for a prompt has most likely served the prompt before.

mod links;
mod plan;
mod replication;
mod timely_reads;

pub use crate::cache_store::{CacheStore, CacheStoreSpec, CachedPart, PartKey, name_hash};
use crate::cache_store_log::{CacheStoreChange, CacheStoreLog, CacheUpdate};
use indexmap::{IndexMap, IndexSet};
pub use links::{LinkAccount, PlannedTransfer, link_hash};
pub use plan::{CachePlan, LocatedPrompt, PartPlan, PlanDestination, TransferPolicy};
use slotmap::{SlotMap, new_key_type};
use std::net::SocketAddr;
use std::time::Duration;
pub use timely_reads::{PartSource, TimelyReads, WaitingTokens, fetch_time_limit};

new_key_type! {
    /// Key of a cache store in the [`CacheDirectory`]. It stays valid until the store is removed.
    pub struct CacheStoreKey;
}

/// Changes at a cache store since an earlier read, or a listing of all its parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvents {
    /// Epoch of the store, which differs after each restart of it.
    pub epoch: u64,
    /// Reading of the servers' clock in milliseconds, if the store reports it.
    pub clock_ms: Option<u64>,
    /// Position from which to read the following events.
    pub next: u64,
    /// Whether events before these were lost, so that the store must be listed.
    pub has_gap: bool,
    /// Changed parts in order. A part with zero tokens was dropped.
    pub changes: Vec<CachedPart>,
}

/// The newest reading of the servers' clock, and this daemon's uptime at that reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ServerClock {
    clock_ms: u64,
    read_at: Duration,
}

impl ServerClock {
    fn at(self, time: Duration) -> u64 {
        let elapsed_ms = time.saturating_sub(self.read_at).as_millis() as u64;
        self.clock_ms.saturating_add(elapsed_ms)
    }
}

/// Index of the prompt parts in all cache stores.
#[derive(Debug, Default)]
pub struct CacheDirectory {
    stores: SlotMap<CacheStoreKey, CacheStore>,
    by_address: IndexMap<SocketAddr, CacheStoreKey>,
    /// Whether the stores of a configuration have been set.
    is_configured: bool,
    clock: Option<ServerClock>,
    /// Log of changes at the cache stores, kept only while other daemons read them from this one.
    log: Option<CacheStoreLog>,
    /// Position at which the next log begins, after all positions of earlier ones.
    next_log_first: u64,
}

impl CacheDirectory {
    /// Sets the stores of a configuration, drops those that it no longer names, and returns the
    /// keys of the new ones.
    pub fn set_stores(&mut self, specs: &[CacheStoreSpec]) -> Vec<CacheStoreKey> {
        self.is_configured = true;
        let listed: IndexSet<SocketAddr> = specs.iter().map(|spec| spec.address).collect();
        self.stores
            .retain(|_, store| listed.contains(&store.address()));
        let stores = &self.stores;
        self.by_address.retain(|_, key| stores.contains_key(*key));
        let mut added = Vec::new();
        for spec in specs {
            if let Some(key) = self.by_address.get(&spec.address) {
                self.stores[*key].spec = spec.clone();
                continue;
            }
            let key = self.stores.insert(CacheStore::new(spec.clone()));
            self.by_address.insert(spec.address, key);
            added.push(key);
        }
        added
    }

    /// Returns the addresses of the configured stores.
    pub fn store_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.stores.values().map(CacheStore::address)
    }

    /// Returns whether the contents of all stores that answer are known. They are not while a
    /// daemon starts.
    #[must_use]
    pub fn knows_store_contents(&self) -> bool {
        let mut stores = self.stores.values();
        self.is_configured && stores.all(|store| store.was_queried)
    }

    /// Returns the stores whose events no task of this daemon reads, and marks them as followed
    /// until [`Self::on_store_unfollowed`].
    pub fn take_unfollowed(&mut self) -> Vec<CacheStoreKey> {
        let stores = self.stores.iter_mut();
        let unfollowed = stores.filter(|(_, store)| !store.is_followed);
        unfollowed
            .map(|(key, store)| {
                store.is_followed = true;
                key
            })
            .collect()
    }

    /// Records that the task which read a store's events has ended.
    pub fn on_store_unfollowed(&mut self, key: CacheStoreKey) {
        if let Some(store) = self.stores.get_mut(key) {
            store.is_followed = false;
        }
    }

    /// Returns the store under a key, or `None` if it is no longer configured.
    #[must_use]
    pub fn get(&self, key: CacheStoreKey) -> Option<&CacheStore> {
        self.stores.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: CacheStoreKey) -> Option<&mut CacheStore> {
        self.stores.get_mut(key)
    }

    /// Returns the key of the store at an address.
    #[must_use]
    pub fn key_of(&self, address: SocketAddr) -> Option<CacheStoreKey> {
        self.by_address.get(&address).copied()
    }

    /// Records that a read of a store's events or of its list of parts is started, and returns the
    /// store. Its contents count as confirmed at this time once the read is answered.
    pub fn begin_read(&mut self, key: CacheStoreKey, now: Duration) -> Option<&CacheStore> {
        let store = self.stores.get_mut(key)?;
        store.read_started_at = Some(now);
        Some(store)
    }

    /// Applies the events of a store. Returns whether the store must be listed because events
    /// are missing. If the store has restarted, [`CacheStore::next_event`] is zero afterwards, and
    /// its events are to be read from the first one on.
    pub fn on_events(&mut self, key: CacheStoreKey, events: CacheEvents, now: Duration) -> bool {
        if let Some(clock_ms) = events.clock_ms {
            self.on_clock_reading(clock_ms, now);
        }
        let Some(store) = self.stores.get_mut(key) else {
            return false;
        };
        let read_started_at = store.read_started_at.take().unwrap_or(now);
        let has_restarted = store.epoch != events.epoch;
        let is_from_start = store.next_event == 0;
        let is_back = !std::mem::replace(&mut store.is_reachable, true) && store.epoch != 0;
        if has_restarted {
            store.on_full_read();
        }
        if has_restarted || is_back {
            log_contents(&mut self.log, store);
        }
        store.epoch = events.epoch;
        if !has_restarted || is_from_start {
            store.next_event = events.next;
        }
        // Otherwise the position belongs to the epoch before, so events of this one are missing.
        for part in events.changes {
            log_update(&mut self.log, store, || part_update(&part));
            store.apply(part);
        }
        store.has_lost_events |= events.has_gap && !is_from_start && !has_restarted;
        store.on_read(read_started_at);
        let has_gap = events.has_gap && (is_from_start || !has_restarted);
        let needs_list = has_gap || store.is_list_retry_due(now);
        store.was_queried |= !needs_list;
        needs_list
    }

    /// Replaces what is known of a store by a listing of all its parts.
    pub fn on_listing(&mut self, key: CacheStoreKey, list: CacheEvents, now: Duration) {
        if let Some(store) = self.stores.get_mut(key) {
            store.on_full_read();
            log_update(&mut self.log, store, || CacheUpdate::Reset);
        }
        self.on_events(key, list, now);
    }

    /// Records that a store could not be listed. The parts known from its events are kept, and
    /// [`Self::on_events`] asks for another listing later.
    pub fn on_listing_failed(&mut self, key: CacheStoreKey, now: Duration) {
        if let Some(store) = self.stores.get_mut(key) {
            store.on_listing_failed(now);
        }
    }

    /// Records that a store does not answer. Its contents are not used until it answers again.
    pub fn on_unreachable(&mut self, key: CacheStoreKey) {
        if let Some(store) = self.stores.get_mut(key) {
            store.on_unreachable();
            log_update(&mut self.log, store, || CacheUpdate::Unreachable);
        }
    }

    /// Returns the servers' clock in milliseconds at an uptime of this daemon, or `None` if no
    /// store has reported it yet.
    #[must_use]
    pub fn server_clock_ms(&self, at: Duration) -> Option<u64> {
        Some(self.clock?.at(at))
    }

    /// Applies a reading of the servers' clock. A delayed answer carries an old reading, so the
    /// clock is never set back.
    fn on_clock_reading(&mut self, clock_ms: u64, now: Duration) {
        let known_ms = self.clock.map_or(0, |clock| clock.at(now));
        if clock_ms >= known_ms {
            self.clock = Some(ServerClock {
                clock_ms,
                read_at: now,
            });
        }
    }

    /// Returns, by store that answers, at most `limit` parts for which `is_retired` is true, given their
    /// scope and the hash of their identifier.
    pub fn retired_parts(
        &self,
        limit: usize,
        is_retired: impl Fn(&str, u64) -> bool,
    ) -> Vec<(SocketAddr, Vec<CachedPart>)> {
        self.stores
            .values()
            .filter(|store| store.is_reachable)
            .map(|store| {
                let retired = store
                    .parts
                    .iter()
                    .filter(|(key, part)| is_retired(&part.scope, key.id_hash))
                    .map(|(_, part)| part.clone());
                (store.address(), retired.take(limit).collect())
            })
            .filter(|(_, parts): &(SocketAddr, Vec<CachedPart>)| !parts.is_empty())
            .collect()
    }

    /// Records that parts were freed at a store.
    pub fn on_parts_freed(&mut self, address: SocketAddr, parts: &[CachedPart]) {
        let Some(key) = self.by_address.get(&address) else {
            return;
        };
        for part in parts {
            let dropped = CachedPart {
                tokens: 0,
                ..part.clone()
            };
            let store = &mut self.stores[*key];
            log_update(&mut self.log, store, || part_update(&dropped));
            store.apply(dropped);
        }
    }
}

fn part_update(part: &CachedPart) -> CacheUpdate {
    CacheUpdate::Part {
        scope: part.scope.clone(),
        id: part.id.clone(),
        tokens: part.tokens,
    }
}

/// Appends to the log that a store answers, and everything known of its contents.
fn log_contents(log: &mut Option<CacheStoreLog>, store: &CacheStore) {
    log_update(log, store, || CacheUpdate::Reset);
    for part in store.parts.values() {
        log_update(log, store, || part_update(part));
    }
}

/// Appends an update of a store to the log. The update is built only if a log is kept.
fn log_update(
    log: &mut Option<CacheStoreLog>,
    store: &CacheStore,
    update: impl FnOnce() -> CacheUpdate,
) {
    if let Some(log) = log {
        log.push(CacheStoreChange {
            store: store.address(),
            update: update(),
        });
    }
}
