//! Follows what stores hold of prompts.
//!
//! In a small fleet each daemon reads the events of all stores. In a large one only the leaders of groups
//! do, and the others read the leader's log of them.

use crate::caches::{CacheStoreKey, CacheStoreSpec};
use crate::dependency::Dependency;
use crate::gateway::Gateway;
use crate::groups::Role;
use crate::log::Event;
use crate::ports::CacheError;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between two looks at the configuration and the list of servers.
const HOLDERS_PAUSE: Duration = Duration::from_millis(400);
/// Pause between two reads of the events of a holder.
const EVENTS_PAUSE: Duration = Duration::from_millis(400);
/// Time for which a holder may hold a read back until there are events. A holder keeps only a few
/// reads open at once, and a read that does not wait is charged as a health check.
const EVENTS_WAIT: Duration = Duration::from_millis(200);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Largest deviation of a pause, as a part of it.
const JITTER: f64 = 0.2;

/// Time after the start of a daemon until it knows how large the fleet is, also when the whole fleet
/// starts. Stores are followed from then on also without a known role.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// Starts a task for each holder that this daemon follows.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    loop {
        update_holders(&gateway);
        let unfollowed = take_unfollowed(&gateway);
        for key in unfollowed {
            tokio::task::spawn_local(follow(Rc::clone(&gateway), key));
        }
        // A daemon that has just started learns of its holders at once, others with the next look.
        tokio::select! {
            () = gateway.holders_known.notified() => {}
            () = sleep(HOLDERS_PAUSE) => {}
        }
    }
}

fn take_unfollowed(gateway: &Gateway) -> Vec<CacheStoreKey> {
    if !reads_stores(gateway) {
        return Vec::new();
    }
    gateway.state.borrow_mut().caches.take_unfollowed()
}

/// Whether this daemon reads the events of stores itself.
fn reads_stores(gateway: &Gateway) -> bool {
    match gateway.state.borrow().role {
        Some(Role::Follower { .. }) => false,
        Some(_) => true,
        None => gateway.uptime() >= SETTLING_TIME,
    }
}

/// Takes over the stores of the configuration.
fn update_holders(gateway: &Gateway) {
    let state = &mut *gateway.state.borrow_mut();
    let Some(configuration) = &state.configuration else {
        return;
    };
    let specs: Vec<CacheStoreSpec> = configuration
        .services()
        .filter_map(|service| service.store.clone())
        .collect();
    state.caches.set_stores(&specs);
    let is_leader = matches!(state.role, Some(Role::Leader { .. }));
    state.caches.set_log_enabled(is_leader, gateway.start_id);
}

async fn follow(gateway: Rc<Gateway>, key: CacheStoreKey) {
    let mut dependency = Dependency::new("cache events");
    loop {
        let is_wanted = reads_stores(&gateway);
        let target = {
            let state = gateway.state.borrow();
            let holder = state.caches.get(key).filter(|_| is_wanted);
            holder.map(|holder| (holder.address(), holder.next_event()))
        };
        let Some((address, since)) = target else {
            gateway.state.borrow_mut().caches.on_store_unfollowed(key);
            return;
        };
        let read = gateway.ports.caches.events(address, since, EVENTS_WAIT);
        match read.await {
            Ok(events) => {
                dependency.on_answer(&gateway);
                let now = gateway.now();
                let is_incomplete = {
                    let state = &mut *gateway.state.borrow_mut();
                    state.caches.on_events(key, events, now)
                };
                if is_incomplete {
                    read_list(&gateway, key, address).await;
                }
                sleep(gateway.jittered(EVENTS_PAUSE, JITTER)).await;
            }
            Err(CacheError::Busy) => {
                gateway.metrics.count("cache_reads_refused");
                sleep(gateway.jittered(RETRY_PAUSE, JITTER)).await;
            }
            Err(error) => {
                dependency.on_failure(&gateway, &format!("{address}: {error}"));
                gateway.state.borrow_mut().caches.on_store_lost(key);
                sleep(gateway.jittered(RETRY_PAUSE, JITTER)).await;
            }
        }
    }
}

async fn read_list(gateway: &Gateway, key: CacheStoreKey, address: SocketAddr) {
    match gateway.ports.caches.list(address).await {
        Ok(list) => {
            let now = gateway.now();
            gateway.state.borrow_mut().caches.on_listing(key, list, now);
        }
        Err(error) => {
            gateway.state.borrow_mut().caches.on_listing_failed(key);
            gateway.metrics.count("cache_lists_failed");
            gateway.log_notable(&Event::DependencyLost {
                dependency: "cache list",
                reason: &format!("{address}: {error}"),
            });
        }
    }
}
