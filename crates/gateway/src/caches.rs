//! What stores hold of prompts.
//!
//! The directory follows the cache events of the stores. Events are late and a few are lost, so an entry may
//! be wrong: a read of a part that is gone costs about a millisecond and the part is computed, and a part
//! that is not known to be held is computed or read again. What engines hold is not followed: it changes all
//! the time, and the engine that ranks next for a prompt has probably served it before.

mod plan;
mod relay;

use crate::cache_store_log::{CacheStoreChange, CacheStoreLog, CacheUpdate};
pub use crate::holder::{HeldPart, Holder, PartKey, StoreSpec, name_hash};
use indexmap::{IndexMap, IndexSet};
pub use plan::{CachePlan, LocatedPrompt, PartPlan, PlanFor, Sources};
use slotmap::{SlotMap, new_key_type};
use std::net::SocketAddr;
use std::time::Duration;

new_key_type! {
    /// Position of a holder in the directory.
    pub struct HolderKey;
}

/// Changes at a holder since the last call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvents {
    /// Changes at each restart of the holder.
    pub epoch: u64,
    /// The servers' clock in milliseconds, where it is told.
    pub clock_ms: Option<u64>,
    /// From where to continue.
    pub next: u64,
    /// Events before these were dropped.
    pub has_gap: bool,
    /// The changes in order.
    pub changes: Vec<HeldPart>,
}

/// The servers' clock, as the answers of holders tell it.
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
    holders: SlotMap<HolderKey, Holder>,
    by_address: IndexMap<SocketAddr, HolderKey>,
    /// The stores of a configuration were taken over.
    has_stores: bool,
    clock: Option<ServerClock>,
    /// Changes at the stores, if other daemons learn them from this one.
    log: Option<CacheStoreLog>,
}

impl CacheDirectory {
    /// Takes over the stores of a configuration and returns the new ones.
    pub fn on_stores(&mut self, specs: &[StoreSpec]) -> Vec<HolderKey> {
        self.has_stores = true;
        let listed: IndexSet<SocketAddr> = specs.iter().map(|spec| spec.address).collect();
        self.holders
            .retain(|_, holder| listed.contains(&holder.address()));
        let holders = &self.holders;
        self.by_address.retain(|_, key| holders.contains_key(*key));
        let mut added = Vec::new();
        for spec in specs {
            if let Some(key) = self.by_address.get(&spec.address) {
                self.holders[*key].spec = spec.clone();
                continue;
            }
            let key = self.holders.insert(Holder::new(spec.clone()));
            self.by_address.insert(spec.address, key);
            added.push(key);
        }
        added
    }

    /// Whether the contents of all stores are known, but for those that do not answer. At the start of
    /// a daemon they are not.
    #[must_use]
    pub fn knows_stores(&self) -> bool {
        let mut stores = self.holders.values();
        self.has_stores && stores.all(|store| store.was_asked)
    }

    /// Holders whose events this daemon does not read yet. They count as read from now on, until
    /// [`Self::on_unfollowed`].
    pub fn take_unfollowed(&mut self) -> Vec<HolderKey> {
        let holders = self.holders.iter_mut();
        let unfollowed = holders.filter(|(_, holder)| !holder.is_followed);
        unfollowed
            .map(|(key, holder)| {
                holder.is_followed = true;
                key
            })
            .collect()
    }

    /// Notes that the events of a holder are no longer read.
    pub fn on_unfollowed(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.is_followed = false;
        }
    }

    /// A holder.
    #[must_use]
    pub fn get(&self, key: HolderKey) -> Option<&Holder> {
        self.holders.get(key)
    }

    /// Takes over the events of a holder. Returns whether its whole list must be read, because
    /// events are missing.
    pub fn on_events(&mut self, key: HolderKey, events: CacheEvents, now: Duration) -> bool {
        if let Some(clock_ms) = events.clock_ms {
            self.on_clock(clock_ms, now);
        }
        let Some(holder) = self.holders.get_mut(key) else {
            return false;
        };
        let has_restarted = holder.epoch != events.epoch;
        if has_restarted {
            holder.clear();
            log_update(&mut self.log, holder, || CacheUpdate::Reset);
        }
        let is_first = holder.epoch == 0;
        holder.epoch = events.epoch;
        holder.is_up = true;
        holder.next_event = events.next;
        for part in events.changes {
            log_update(&mut self.log, holder, || part_update(&part));
            holder.apply(part);
        }
        let needs_list = events.has_gap && (is_first || !has_restarted);
        holder.was_asked |= !needs_list;
        needs_list
    }

    /// Takes over the whole list of a holder.
    pub fn on_list(&mut self, key: HolderKey, list: CacheEvents, now: Duration) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.clear();
            log_update(&mut self.log, holder, || CacheUpdate::Reset);
        }
        self.on_events(key, list, now);
    }

    /// Notes that the list of a holder could not be read. What its events told stays known.
    pub fn on_list_failed(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.was_asked = true;
        }
    }

    /// Notes that a holder does not answer. What it held is not relied on any more.
    pub fn on_lost(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.on_lost();
            log_update(&mut self.log, holder, || CacheUpdate::Unreachable);
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
    pub fn retired(
        &self,
        limit: usize,
        is_retired: impl Fn(&str, u64) -> bool,
    ) -> Vec<(SocketAddr, Vec<HeldPart>)> {
        self.holders
            .values()
            .map(|store| {
                let retired = store
                    .held
                    .iter()
                    .filter(|(key, part)| is_retired(&part.scope, key.id_hash))
                    .map(|(_, part)| part.clone());
                (store.address(), retired.take(limit).collect())
            })
            .filter(|(_, parts): &(SocketAddr, Vec<HeldPart>)| !parts.is_empty())
            .collect()
    }

    /// Notes that parts of a store were freed.
    pub fn on_freed(&mut self, address: SocketAddr, parts: &[HeldPart]) {
        let Some(key) = self.by_address.get(&address) else {
            return;
        };
        for part in parts {
            let gone = HeldPart {
                tokens: 0,
                ..part.clone()
            };
            let holder = &mut self.holders[*key];
            log_update(&mut self.log, holder, || part_update(&gone));
            holder.apply(gone);
        }
    }
}

fn part_update(part: &HeldPart) -> CacheUpdate {
    CacheUpdate::Part {
        scope: part.scope.clone(),
        id: part.id.clone(),
        tokens: part.tokens,
    }
}

/// Logs an update of a store. It is made only if a log is kept.
fn log_update(
    log: &mut Option<CacheStoreLog>,
    holder: &Holder,
    update: impl FnOnce() -> CacheUpdate,
) {
    if let Some(log) = log {
        log.push(CacheStoreChange {
            store: holder.address(),
            update: update(),
        });
    }
}
