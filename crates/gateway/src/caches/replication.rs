//! Replication of the cache directory from the leader of a group to its followers.

use super::{CacheDirectory, part_update};
use crate::cache_store::{CacheStore, CachedPart};
use crate::cache_store_log::{
    CacheStoreChange, CacheStoreLog, CacheStorePage, CacheUpdate, ContentsAge, Cursor,
};
use indexmap::IndexSet;
use std::net::SocketAddr;
use std::time::Duration;

impl CacheDirectory {
    /// Starts or stops logging changes at the cache stores for other daemons. `log_id` names a new
    /// log.
    pub fn set_log_enabled(&mut self, is_logged: bool, log_id: u64) {
        match (is_logged, &self.log) {
            (true, None) => self.log = Some(CacheStoreLog::new(log_id, self.next_log_first)),
            (false, Some(log)) => {
                self.next_log_first = log.end().next + 1;
                self.log = None;
            }
            _ => {}
        }
    }

    /// Returns the changes at the cache stores since a cursor, or a snapshot if not all of them are
    /// kept. `None` if this daemon keeps no log.
    #[must_use]
    pub fn cache_store_log_page(&self, cursor: Cursor, now: Duration) -> Option<CacheStorePage> {
        let log = self.log.as_ref()?;
        let since = log.since(cursor);
        let end = log.end();
        Some(CacheStorePage {
            log_id: end.log_id,
            next: end.next,
            is_snapshot: since.is_none(),
            clock_ms: self.server_clock_ms(now),
            changes: since.unwrap_or_else(|| self.store_contents()),
            ages: self.contents_ages(now),
        })
    }

    fn contents_ages(&self, now: Duration) -> Vec<ContentsAge> {
        let stores = self.stores.values();
        stores
            .filter_map(|store| {
                let age = store.contents_age(now)?;
                Some(ContentsAge {
                    store: store.address(),
                    age_ms: age.as_micros().div_ceil(1000) as u64,
                })
            })
            .collect()
    }

    fn store_contents(&self) -> Vec<CacheStoreChange> {
        let mut changes = Vec::new();
        for store in self.stores.values().filter(|store| store.was_queried) {
            let state = if store.is_reachable {
                CacheUpdate::Reset
            } else {
                CacheUpdate::Unreachable
            };
            let parts = store.parts.values().map(part_update);
            changes.extend(
                std::iter::once(state)
                    .chain(parts)
                    .map(|update| CacheStoreChange {
                        store: store.address(),
                        update,
                    }),
            );
        }
        changes
    }

    /// Applies a page of another daemon's log, the answer to a read started at `read_started_at`, and
    /// returns the cursor of the next page.
    pub fn on_cache_store_log_page(
        &mut self,
        page: CacheStorePage,
        read_started_at: Duration,
        now: Duration,
    ) -> Cursor {
        if let Some(clock_ms) = page.clock_ms {
            self.on_clock_reading(clock_ms, now);
        }
        if page.is_snapshot {
            self.clear_named(&page);
            self.restart_log();
        }
        for change in page.changes {
            self.on_store_change(change, !page.is_snapshot);
        }
        for age in page.ages {
            let key = self.by_address.get(&age.store);
            if let Some(store) = key.and_then(|key| self.stores.get_mut(*key)) {
                let age = Duration::from_millis(age.age_ms);
                store.confirmed_at = read_started_at.checked_sub(age);
            }
        }
        for store in self.stores.values_mut() {
            store.was_queried = true;
        }
        Cursor {
            log_id: page.log_id,
            next: page.next,
        }
    }

    /// Clears the contents of all stores that a page names. Of the others, which its sender has not
    /// read yet, this daemon may still know the contents from another one.
    fn clear_named(&mut self, page: &CacheStorePage) {
        let changed = page.changes.iter().map(|change| change.store);
        let aged = page.ages.iter().map(|age| age.store);
        let named: IndexSet<SocketAddr> = changed.chain(aged).collect();
        let stores = self.stores.values_mut();
        stores
            .filter(|store| named.contains(&store.address()))
            .for_each(CacheStore::clear);
    }

    /// Makes the readers of this daemon's log read a snapshot next.
    fn restart_log(&mut self) {
        if let Some(log) = &mut self.log {
            let end = log.end();
            *log = CacheStoreLog::new(end.log_id, end.next + 1);
        }
    }

    fn on_store_change(&mut self, change: CacheStoreChange, is_logged: bool) {
        let Some(key) = self.by_address.get(&change.store) else {
            // This daemon's configuration does not name the store, or not yet.
            return;
        };
        if let Some(log) = self.log.as_mut().filter(|_| is_logged) {
            log.push(change.clone());
        }
        let store = &mut self.stores[*key];
        match change.update {
            CacheUpdate::Part { scope, id, tokens } => {
                store.apply(CachedPart { scope, id, tokens });
            }
            CacheUpdate::Reset => {
                store.clear();
                store.is_reachable = true;
            }
            CacheUpdate::Unreachable => store.on_unreachable(),
        }
    }

    /// Records that the leader's log cannot be read. The known contents are kept and are read until they
    /// are too old, and requests no longer wait for the stores' contents.
    pub fn on_leader_unavailable(&mut self) {
        for store in self.stores.values_mut() {
            store.was_queried = true;
        }
    }
}
