//! Follows the events of the cache stores, to know which cached parts of prompts they hold.
//!
//! In a small fleet each daemon reads the events of all cache stores. In a large fleet only the
//! leaders of groups do, and the other daemons read their leader's log of the changes.

use crate::caches::{CacheStore, CacheStoreKey, CacheStoreSpec};
use crate::dependency::Dependency;
use crate::gateway::Gateway;
use crate::groups::Role;
use crate::log::Event;
use crate::permit_client::{on_store_answer, wait_for_store_permit};
use crate::ports::CacheError;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between checks of the configuration for new cache stores.
const STORE_CHECK_PAUSE: Duration = Duration::from_millis(400);
/// Pause between two reads of a cache store's events.
const EVENTS_PAUSE: Duration = Duration::from_millis(400);
/// Time for which a cache store may hold a read back until there are events. A store keeps only a
/// few reads open at once, and a read that does not wait is charged as a health check.
const EVENTS_WAIT: Duration = Duration::from_millis(200);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Maximum random deviation of a pause, as a fraction of it.
const JITTER: f64 = 0.2;

/// Time after the start of a daemon by which it knows the size of the fleet, even if the whole
/// fleet starts at once. From then on it reads the stores' events even if it does not know its
/// role.
const ROLE_WAIT_MAX: Duration = Duration::from_secs(5);

/// Starts a task for each cache store whose events this daemon reads. Runs until the daemon ends.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    loop {
        update_stores(&gateway);
        let unfollowed = take_unfollowed(&gateway);
        for key in unfollowed {
            tokio::task::spawn_local(follow_store(Rc::clone(&gateway), key));
        }
        // A notification starts the next check at once, so that a daemon that has just started
        // knows its stores early.
        tokio::select! {
            () = gateway.cache_stores_changed.notified() => {}
            () = sleep(STORE_CHECK_PAUSE) => {}
        }
    }
}

fn take_unfollowed(gateway: &Gateway) -> Vec<CacheStoreKey> {
    if !reads_events(gateway) {
        return Vec::new();
    }
    gateway.state.borrow_mut().caches.take_unfollowed()
}

/// Returns whether this daemon reads the events of the cache stores itself.
fn reads_events(gateway: &Gateway) -> bool {
    match gateway.state.borrow().role {
        Some(Role::Follower { .. }) => false,
        Some(_) => true,
        None => gateway.uptime() >= ROLE_WAIT_MAX,
    }
}

/// Updates the set of cache stores from the configuration, and starts or stops the log for other
/// daemons.
fn update_stores(gateway: &Gateway) {
    let state = &mut *gateway.state.borrow_mut();
    let Some(configuration) = &state.configuration else {
        return;
    };
    let specs: Vec<CacheStoreSpec> = configuration
        .services()
        .filter_map(|service| service.cache_store.clone())
        .collect();
    state.caches.set_stores(&specs);
    let is_logged = state
        .role
        .as_ref()
        .is_some_and(Role::serves_cache_store_log);
    state.caches.set_log_enabled(is_logged, gateway.start_id);
}

async fn follow_store(gateway: Rc<Gateway>, key: CacheStoreKey) {
    let mut dependency = Dependency::new("cache events");
    loop {
        if !reads_events(&gateway) {
            gateway.state.borrow_mut().caches.on_store_unfollowed(key);
            return;
        }
        wait_for_store_permit(&gateway, key).await;
        let Some((address, since)) = begin_read(&gateway, key) else {
            // The store is no longer configured.
            return;
        };
        let cache_client = &gateway.ports.cache_client;
        let answer = cache_client.events(address, since, EVENTS_WAIT).await;
        on_store_answer(&gateway, key, &answer);
        match answer.result {
            Ok(events) => {
                dependency.on_answer(&gateway);
                let now = gateway.now();
                let (is_incomplete, is_restarted) = {
                    let caches = &mut gateway.state.borrow_mut().caches;
                    let is_incomplete = caches.on_events(key, events, now);
                    let next_event = caches.get(key).map_or(since, CacheStore::next_event);
                    (is_incomplete, since > 0 && next_event == 0)
                };
                if is_restarted {
                    // Until its events are read from the first one on, its parts are not used.
                    gateway.metrics.count("cache_store_restarts");
                    continue;
                }
                if is_incomplete {
                    reload_list(&gateway, key, address).await;
                }
                sleep(gateway.jittered(EVENTS_PAUSE, JITTER)).await;
            }
            Err(CacheError::Busy) => {
                gateway.metrics.count("cache_reads_refused");
                sleep(gateway.jittered(RETRY_PAUSE, JITTER)).await;
            }
            Err(error) => {
                dependency.on_failure(&gateway, &format!("{address}: {error}"));
                gateway.state.borrow_mut().caches.on_unreachable(key);
                sleep(gateway.jittered(RETRY_PAUSE, JITTER)).await;
            }
        }
    }
}

/// Records that a read of a store is started, and returns the address of the store and the position
/// of the next event to read.
fn begin_read(gateway: &Gateway, key: CacheStoreKey) -> Option<(SocketAddr, u64)> {
    let now = gateway.now();
    let caches = &mut gateway.state.borrow_mut().caches;
    let store = caches.begin_read(key, now)?;
    Some((store.address(), store.next_event()))
}

async fn reload_list(gateway: &Gateway, key: CacheStoreKey, address: SocketAddr) {
    wait_for_store_permit(gateway, key).await;
    begin_read(gateway, key);
    let answer = gateway.ports.cache_client.list(address).await;
    on_store_answer(gateway, key, &answer);
    match answer.result {
        Ok(list) => {
            let now = gateway.now();
            gateway.state.borrow_mut().caches.on_listing(key, list, now);
        }
        Err(error) => {
            let now = gateway.now();
            let caches = &mut gateway.state.borrow_mut().caches;
            caches.on_listing_failed(key, now);
            gateway.metrics.count("cache_lists_failed");
            gateway.log_notable(&Event::DependencyLost {
                dependency: "cache list",
                reason: &format!("{address}: {error}"),
            });
        }
    }
}
