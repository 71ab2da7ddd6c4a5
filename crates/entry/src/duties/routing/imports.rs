//! Requests that wait for blocks that an earlier request is importing.

use anvilgw_core::ServerId;
use anvilgw_router::{EndedImport, ImportKey, ImportRole, Imports, ShortKey, WaiterId};
use indexmap::IndexMap;
use std::time::Duration;
use tokio::sync::oneshot;

/// Imports under way, at most one per block and server, with the requests that wait for them.
#[derive(Default)]
pub(super) struct ImportWaiters {
    imports: Imports,
    waiting: IndexMap<WaiterId, Waiter>,
    next_waiter: u64,
}

struct Waiter {
    /// Number of blocks whose imports have not ended.
    blocks: usize,
    resume: oneshot::Sender<()>,
}

impl ImportWaiters {
    /// Records that a request imports blocks to a server. If an import has not ended by the uptime
    /// `until`, it expires and its waiters are resumed.
    pub(super) fn start(&mut self, server: ServerId, keys: &[ShortKey], until: Duration) {
        let importer = self.new_waiter();
        for &block in keys {
            let key = ImportKey { server, block };
            if self.imports.join(key, importer, until) == ImportRole::Waiter {
                self.imports.remove_waiter(key, importer);
            }
        }
    }

    /// Returns a receiver that resolves when the imports of the blocks to a server have ended, or
    /// `None` if none of them is under way.
    pub(super) fn wait(
        &mut self,
        server: ServerId,
        keys: &[ShortKey],
    ) -> Option<oneshot::Receiver<()>> {
        let waiter = self.new_waiter();
        let mut blocks = 0;
        for &block in keys {
            let key = ImportKey { server, block };
            match self.imports.join(key, waiter, Duration::ZERO) {
                ImportRole::Waiter => blocks += 1,
                // No import was under way, so `join` has started one, which is ended again.
                ImportRole::Importer => drop(self.imports.end(key, true)),
            }
        }
        if blocks == 0 {
            return None;
        }
        let (resume, resumed) = oneshot::channel();
        self.waiting.insert(waiter, Waiter { blocks, resume });
        Some(resumed)
    }

    /// Ends the imports of blocks to a server and resumes requests that wait for no other import.
    pub(super) fn end(&mut self, server: ServerId, keys: &[ShortKey]) {
        for &block in keys {
            let ended = self.imports.end(ImportKey { server, block }, true);
            self.notify_waiters(ended);
        }
    }

    /// Ends imports that have not ended by their time limit and resumes the requests that wait for
    /// them.
    pub(super) fn expire(&mut self, now: Duration) {
        let ended = self.imports.expire(now);
        self.notify_waiters(ended);
    }

    fn notify_waiters(&mut self, ended: impl IntoIterator<Item = EndedImport>) {
        for waiter in ended.into_iter().flat_map(|end| end.waiters) {
            let Some(waiting) = self.waiting.get_mut(&waiter) else {
                continue;
            };
            waiting.blocks -= 1;
            if waiting.blocks == 0
                && let Some(waiting) = self.waiting.swap_remove(&waiter)
            {
                // The receiver is gone if the request has ended in the meantime.
                let _ = waiting.resume.send(());
            }
        }
    }

    fn new_waiter(&mut self) -> WaiterId {
        self.next_waiter += 1;
        WaiterId(self.next_waiter)
    }
}
