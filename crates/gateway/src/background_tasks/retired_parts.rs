//! Frees cached parts of replaced weights in the cache stores.

use crate::caches::CachedPart;
use crate::gateway::Gateway;
use crate::log::Event;
use crate::permit_client::{may_call_store, on_store_answer};
use crate::weights::is_retired;
use futures_util::future::join_all;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Maximum number of parts that are freed at one cache store in one call.
const FREED_PARTS_MAX: usize = 400;

/// Returns, by store, at most `limit` cached parts of replaced weights that no daemon reads any
/// more.
pub(super) fn retired_parts(gateway: &Gateway, limit: usize) -> Vec<(SocketAddr, Vec<CachedPart>)> {
    let now = gateway.now();
    let state = gateway.state.borrow();
    let times = gateway.old_part_times();
    state.caches.retired_parts(limit, |scope, id_hash| {
        is_retired(scope, id_hash, &state.weights, times, now)
    })
}

/// Frees retired parts in the background, so that a store that does not answer delays no switch.
#[derive(Default)]
pub(super) struct PartRetirement {
    is_running: Rc<Cell<bool>>,
}

impl PartRetirement {
    /// Starts to free the parts that no daemon reads any more, unless that is in progress.
    pub(super) fn start(&self, gateway: &Rc<Gateway>) {
        if self.is_running.get() || retired_parts(gateway, 1).is_empty() {
            return;
        }
        self.is_running.set(true);
        let is_running = Rc::clone(&self.is_running);
        let gateway = Rc::clone(gateway);
        spawn_local(async move {
            let by_store = retired_parts(&gateway, FREED_PARTS_MAX);
            let calls = by_store
                .iter()
                .map(|(address, parts)| free_parts(&gateway, *address, parts));
            join_all(calls).await;
            is_running.set(false);
        });
    }
}

async fn free_parts(gateway: &Gateway, address: SocketAddr, parts: &[CachedPart]) {
    let key = gateway.state.borrow().caches.key_of(address);
    let Some(key) = key else { return };
    if !may_call_store(gateway, key).await {
        return;
    }
    let answer = gateway.ports.cache_client.free(address, parts).await;
    on_store_answer(gateway, key, &answer);
    match answer.result {
        Ok(()) => {
            gateway.log_notable(&Event::PartsFreed {
                store: &address.to_string(),
                parts: parts.len(),
            });
            let state = &mut *gateway.state.borrow_mut();
            state.caches.on_parts_freed(address, parts);
        }
        Err(reason) => gateway.log_notable(&Event::DependencyLost {
            dependency: "store of kept cache",
            reason: &reason.to_string(),
        }),
    }
}
