//! Frees cached parts of replaced weights in the cache stores.

use crate::caches::CachedPart;
use crate::gateway::Gateway;
use crate::log::Event;
use crate::permit_client::{may_call_store, on_store_answer};
use crate::weights::is_retired;
use std::net::SocketAddr;

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

/// Frees cached parts of replaced weights that no daemon reads any more.
pub(super) async fn free_retired_parts(gateway: &Gateway) {
    for (address, parts) in retired_parts(gateway, FREED_PARTS_MAX) {
        let key = gateway.state.borrow().caches.key_of(address);
        let Some(key) = key else { continue };
        if !may_call_store(gateway, key).await {
            continue;
        }
        let answer = gateway.ports.cache_client.free(address, &parts).await;
        on_store_answer(gateway, key, &answer);
        match answer.result {
            Ok(()) => {
                gateway.log_notable(&Event::PartsFreed {
                    store: &address.to_string(),
                    parts: parts.len(),
                });
                let state = &mut *gateway.state.borrow_mut();
                state.caches.on_parts_freed(address, &parts);
            }
            Err(reason) => gateway.log_notable(&Event::DependencyLost {
                dependency: "store of kept cache",
                reason: &reason.to_string(),
            }),
        }
    }
}
