//! What stores hold of prompts.
//!
//! The directory follows the cache events of the stores. Events are late and a few are lost, so an entry may
//! be wrong: a read of a part that is gone costs about a millisecond and the part is computed, and a part
//! that is not known to be held is computed or read again. What engines hold is not followed: it changes all
//! the time, and the engine that ranks next for a prompt has probably served it before.

mod plan;
mod replication;

pub use crate::cache_store::{CacheStore, CacheStoreSpec, CachedPart, PartKey, name_hash};
use crate::store_log::{StoreChange, StoreLog, StoreUpdate};
use indexmap::{IndexMap, IndexSet};
pub use plan::{CachePlan, LocatedPrompt, PartPlan, PlanDestination, TransferPolicy};
use slotmap::{SlotMap, new_key_type};
use std::net::SocketAddr;
use std::time::Duration;

new_key_type! {
    /// Position of a store in the directory.
    pub struct CacheStoreKey;
}

/// Changes at a store since the last call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvents {
    /// Changes at each restart of the store.
    pub epoch: u64,
    /// The servers' clock in milliseconds, where it is told.
    pub clock_ms: Option<u64>,
    /// From where to continue.
    pub next: u64,
    /// Events before these were dropped.
    pub has_gap: bool,
    /// The changes in order.
    pub changes: Vec<CachedPart>,
}

/// The servers' clock, as the answers of stores tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ServerClock {
    clock_ms: u64,
    read_at: Duration,
}

impl ServerClock {
    fn at(self, time: Duration) -> u64 {
        self.clock_ms + time.saturating_sub(self.read_at).as_millis() as u64
    }
}

/// What all stores hold.
#[derive(Debug, Default)]
pub struct CacheDirectory {
    stores: SlotMap<CacheStoreKey, CacheStore>,
    by_address: IndexMap<SocketAddr, CacheStoreKey>,
    /// The stores of a configuration were taken over.
    is_configured: bool,
    clock: Option<ServerClock>,
    /// Changes at the stores, if other daemons learn them from this one.
    log: Option<StoreLog>,
}

impl CacheDirectory {
    /// Takes over the stores of a configuration and returns the new ones.
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

    /// Whether the contents of all stores are known, but for those that do not answer. At the start of
    /// a daemon they are not.
    #[must_use]
    pub fn knows_store_contents(&self) -> bool {
        let mut stores = self.stores.values();
        self.is_configured && stores.all(|store| store.was_queried)
    }

    /// Holders whose events this daemon does not read yet. They count as read from now on, until
    /// [`Self::on_store_unfollowed`].
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

    /// Notes that the events of a store are no longer read.
    pub fn on_store_unfollowed(&mut self, key: CacheStoreKey) {
        if let Some(store) = self.stores.get_mut(key) {
            store.is_followed = false;
        }
    }

    /// A store.
    #[must_use]
    pub fn get(&self, key: CacheStoreKey) -> Option<&CacheStore> {
        self.stores.get(key)
    }

    /// Takes over the events of a store. Returns whether its whole list must be read, because
    /// events are missing.
    pub fn on_events(&mut self, key: CacheStoreKey, events: CacheEvents, now: Duration) -> bool {
        if let Some(clock_ms) = events.clock_ms {
            self.on_clock(clock_ms, now);
        }
        let Some(store) = self.stores.get_mut(key) else {
            return false;
        };
        let has_restarted = store.epoch != events.epoch;
        if has_restarted {
            store.clear();
            log_update(&mut self.log, store, || StoreUpdate::Emptied);
        }
        let is_first = store.epoch == 0;
        store.epoch = events.epoch;
        store.is_reachable = true;
        store.next_event = events.next;
        for part in events.changes {
            log_update(&mut self.log, store, || part_update(&part));
            store.apply(part);
        }
        let needs_list = events.has_gap && (is_first || !has_restarted);
        store.was_queried |= !needs_list;
        needs_list
    }

    /// Takes over the whole list of a store.
    pub fn on_listing(&mut self, key: CacheStoreKey, list: CacheEvents, now: Duration) {
        if let Some(store) = self.stores.get_mut(key) {
            store.clear();
            log_update(&mut self.log, store, || StoreUpdate::Emptied);
        }
        self.on_events(key, list, now);
    }

    /// Notes that the list of a store could not be read. What its events told stays known.
    pub fn on_listing_failed(&mut self, key: CacheStoreKey) {
        if let Some(store) = self.stores.get_mut(key) {
            store.was_queried = true;
        }
    }

    /// Notes that a store does not answer. What it held is not relied on any more.
    pub fn on_store_lost(&mut self, key: CacheStoreKey) {
        if let Some(store) = self.stores.get_mut(key) {
            store.on_lost();
            log_update(&mut self.log, store, || StoreUpdate::Lost);
        }
    }

    /// The servers' clock at an uptime.
    #[must_use]
    pub fn server_clock_ms(&self, at: Duration) -> Option<u64> {
        Some(self.clock?.at(at))
    }

    /// Takes over a reading of the servers' clock. An answer that was held back tells an old time,
    /// so the reading that is ahead counts.
    fn on_clock(&mut self, clock_ms: u64, now: Duration) {
        let known_ms = self.clock.map_or(0, |clock| clock.at(now));
        if clock_ms >= known_ms {
            self.clock = Some(ServerClock {
                clock_ms,
                read_at: now,
            });
        }
    }

    /// Parts in stores that `is_retired` names by scope and hash of the identifier, by store, at most
    /// `limit` of each.
    pub fn retired_parts(
        &self,
        limit: usize,
        is_retired: impl Fn(&str, u64) -> bool,
    ) -> Vec<(SocketAddr, Vec<CachedPart>)> {
        self.stores
            .values()
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

    /// Notes that parts of a store were freed.
    pub fn on_parts_freed(&mut self, address: SocketAddr, parts: &[CachedPart]) {
        let Some(key) = self.by_address.get(&address) else {
            return;
        };
        for part in parts {
            let gone = CachedPart {
                tokens: 0,
                ..part.clone()
            };
            let store = &mut self.stores[*key];
            log_update(&mut self.log, store, || part_update(&gone));
            store.apply(gone);
        }
    }
}

fn part_update(part: &CachedPart) -> StoreUpdate {
    StoreUpdate::Part {
        scope: part.scope.clone(),
        id: part.id.clone(),
        tokens: part.tokens,
    }
}

/// Logs an update of a store. It is made only if a log is kept.
fn log_update(
    log: &mut Option<StoreLog>,
    store: &CacheStore,
    update: impl FnOnce() -> StoreUpdate,
) {
    if let Some(log) = log {
        log.push(StoreChange {
            store: store.address(),
            update: update(),
        });
    }
}
