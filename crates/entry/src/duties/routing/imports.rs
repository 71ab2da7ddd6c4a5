//! Requests that wait for blocks which an earlier request imports.

use anvilgw_core::ServerId;
use anvilgw_router::{EndedImport, ImportKey, ImportRole, Imports, ShortKey, WaiterId};
use indexmap::IndexMap;
use std::time::Duration;
use tokio::sync::oneshot;

/// One import per block and server, with the requests that wait for it.
#[derive(Default)]
pub(super) struct ImportQueue {
    imports: Imports,
    waiting: IndexMap<WaiterId, Waiting>,
    next_waiter: u64,
}

struct Waiting {
    /// Blocks that are still on their way.
    blocks: usize,
    go_on: oneshot::Sender<()>,
}

impl ImportQueue {
    /// Notes that a request imports blocks to a server. An import that has not ended by `until` is no
    /// longer waited for.
    pub(super) fn start(&mut self, server: ServerId, keys: &[ShortKey], until: Duration) {
        let importer = self.waiter();
        for &block in keys {
            let key = ImportKey { server, block };
            if self.imports.join(key, importer, until) == ImportRole::Waiter {
                self.imports.remove_waiter(key, importer);
            }
        }
    }

    /// Waits for imports to a server. `None` if all of them have ended.
    pub(super) fn wait(
        &mut self,
        server: ServerId,
        keys: &[ShortKey],
    ) -> Option<oneshot::Receiver<()>> {
        let waiter = self.waiter();
        let mut blocks = 0;
        for &block in keys {
            let key = ImportKey { server, block };
            match self.imports.join(key, waiter, Duration::ZERO) {
                ImportRole::Waiter => blocks += 1,
                // The import has ended already.
                ImportRole::Importer => drop(self.imports.end(key, true)),
            }
        }
        if blocks == 0 {
            return None;
        }
        let (go_on, waits) = oneshot::channel();
        self.waiting.insert(waiter, Waiting { blocks, go_on });
        Some(waits)
    }

    /// Ends imports to a server.
    pub(super) fn end(&mut self, server: ServerId, keys: &[ShortKey]) {
        for &block in keys {
            let ended = self.imports.end(ImportKey { server, block }, true);
            self.notify(ended);
        }
    }

    /// Ends imports that took too long.
    pub(super) fn expire(&mut self, now: Duration) {
        let ended = self.imports.expire(now);
        self.notify(ended);
    }

    fn notify(&mut self, ended: impl IntoIterator<Item = EndedImport>) {
        for waiter in ended.into_iter().flat_map(|end| end.waiters) {
            let Some(waiting) = self.waiting.get_mut(&waiter) else {
                continue;
            };
            waiting.blocks -= 1;
            if waiting.blocks == 0
                && let Some(waiting) = self.waiting.swap_remove(&waiter)
            {
                // A request that has ended meanwhile does not listen any more.
                let _ = waiting.go_on.send(());
            }
        }
    }

    fn waiter(&mut self) -> WaiterId {
        self.next_waiter += 1;
        WaiterId(self.next_waiter)
    }
}
