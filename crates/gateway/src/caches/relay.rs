//! What the directory tells other daemons of the stores, and learns from them.

use super::{CacheDirectory, part_update};
use crate::cache_store_log::{
    CacheStoreChange, CacheStoreLog, CacheStorePage, CacheUpdate, Cursor,
};
use crate::holder::{HeldPart, Holder};
use std::time::Duration;

impl CacheDirectory {
    /// Starts or stops to log changes at the stores.
    pub fn set_logged(&mut self, is_logged: bool, log_id: u64) {
        match (is_logged, &self.log) {
            (true, None) => self.log = Some(CacheStoreLog::new(log_id)),
            (false, Some(_)) => self.log = None,
            _ => {}
        }
    }

    /// What changed at the stores since a cursor, or everything. `None` if this daemon keeps no log.
    #[must_use]
    pub fn store_page(&self, cursor: Cursor, now: Duration) -> Option<CacheStorePage> {
        let log = self.log.as_ref()?;
        let since = log.since(cursor);
        let end = log.end();
        Some(CacheStorePage {
            log_id: end.log_id,
            next: end.next,
            is_snapshot: since.is_none(),
            clock_ms: self.server_clock_ms(now),
            changes: since.unwrap_or_else(|| self.store_contents()),
        })
    }

    fn store_contents(&self) -> Vec<CacheStoreChange> {
        let mut changes = Vec::new();
        for store in self.holders.values().filter(|store| store.was_asked) {
            let state = if store.is_up {
                CacheUpdate::Reset
            } else {
                CacheUpdate::Unreachable
            };
            let parts = store.held.values().map(part_update);
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

    /// Takes over what another daemon tells of the stores, and returns from where to read on.
    pub fn on_store_page(&mut self, page: CacheStorePage, now: Duration) -> Cursor {
        if let Some(clock_ms) = page.clock_ms {
            self.on_clock(clock_ms, now);
        }
        if page.is_snapshot {
            self.holders.values_mut().for_each(Holder::clear);
        }
        for change in page.changes {
            self.on_store_change(change);
        }
        for store in self.holders.values_mut() {
            store.was_asked = true;
        }
        Cursor {
            log_id: page.log_id,
            next: page.next,
        }
    }

    fn on_store_change(&mut self, change: CacheStoreChange) {
        let Some(key) = self.by_address.get(&change.store) else {
            // A store that the configuration here does not name, or not yet.
            return;
        };
        let store = &mut self.holders[*key];
        match change.update {
            CacheUpdate::Part { scope, id, tokens } => store.apply(HeldPart { scope, id, tokens }),
            CacheUpdate::Reset => {
                store.clear();
                store.is_up = true;
            }
            CacheUpdate::Unreachable => store.on_lost(),
        }
    }

    /// Notes that nobody tells what the stores hold. What is known stays known.
    pub fn on_stores_untold(&mut self) {
        for store in self.holders.values_mut() {
            store.was_asked = true;
        }
    }
}
