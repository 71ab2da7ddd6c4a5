//! Follows what backend servers and stores hold of prompts.

use crate::caches::{HolderKey, StoreSpec};
use crate::dependency::Dependency;
use crate::gateway::Gateway;
use crate::log::Event;
use crate::ports::CacheError;
use indexmap::IndexMap;
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

/// Starts a task for each store and each engine.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    loop {
        for key in new_holders(&gateway) {
            tokio::task::spawn_local(follow(Rc::clone(&gateway), key));
        }
        // A daemon that has just started learns of its holders at once, others with the next look.
        tokio::select! {
            () = gateway.holders_known.notified() => {}
            () = sleep(HOLDERS_PAUSE) => {}
        }
    }
}

fn new_holders(gateway: &Gateway) -> Vec<HolderKey> {
    let state = &mut *gateway.state.borrow_mut();
    let Some(configuration) = &state.configuration else {
        return Vec::new();
    };
    let specs: Vec<StoreSpec> = configuration
        .services()
        .filter_map(|service| service.store.clone())
        .collect();
    let engines: IndexMap<SocketAddr, String> = state
        .servers
        .iter()
        .map(|(_, server)| &server.entry)
        .filter(|entry| {
            let service = configuration.service(&entry.service);
            service.is_some_and(|service| service.engine.is_some())
        })
        .map(|entry| (entry.address, entry.failure_domain.clone()))
        .collect();
    let mut added = state.caches.on_stores(&specs);
    added.extend(state.caches.on_engines(&engines));
    added
}

async fn follow(gateway: Rc<Gateway>, key: HolderKey) {
    let mut dependency = Dependency::new("cache events");
    loop {
        let target = {
            let state = gateway.state.borrow();
            let holder = state.caches.get(key);
            holder.map(|holder| (holder.address(), holder.next_event()))
        };
        let Some((address, since)) = target else {
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
                gateway.state.borrow_mut().caches.on_lost(key);
                sleep(gateway.jittered(RETRY_PAUSE, JITTER)).await;
            }
        }
    }
}

async fn read_list(gateway: &Gateway, key: HolderKey, address: SocketAddr) {
    match gateway.ports.caches.list(address).await {
        Ok(list) => {
            let now = gateway.now();
            gateway.state.borrow_mut().caches.on_list(key, list, now);
        }
        Err(error) => {
            gateway.state.borrow_mut().caches.on_list_failed(key);
            gateway.metrics.count("cache_lists_failed");
            gateway.log_notable(&Event::DependencyLost {
                dependency: "cache list",
                reason: &format!("{address}: {error}"),
            });
        }
    }
}
