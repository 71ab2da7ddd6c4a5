//! Follows what backend servers and stores hold of prompts.
//!
//! In a small fleet each daemon reads the events of all holders. In a large one only the leaders of
//! groups read those of the stores, and the others read the leader's log of them.

use crate::caches::{EventSources, HolderKey, StoreSpec};
use crate::dependency::Dependency;
use crate::gateway::Gateway;
use crate::groups::Role;
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

/// Engines that a daemon follows at most; more of them would take most of a small instance's time.
const FOLLOWED_ENGINES_MAX: usize = 36;
/// Time after the start of a daemon until it knows how large the fleet is, also when the whole fleet
/// starts. Engines are followed from then on, and stores also without a known role.
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

fn take_unfollowed(gateway: &Gateway) -> Vec<HolderKey> {
    let sources = event_sources(gateway);
    let caches = &mut gateway.state.borrow_mut().caches;
    caches.set_predicts_engines(!sources.engines);
    caches.take_unfollowed(sources)
}

/// Whose events this daemon reads itself.
fn event_sources(gateway: &Gateway) -> EventSources {
    let state = gateway.state.borrow();
    let has_settled = gateway.uptime() >= SETTLING_TIME;
    let is_mesh = matches!(state.role, Some(Role::Mesh { .. }));
    let has_few_engines = state.caches.engine_count() <= FOLLOWED_ENGINES_MAX;
    EventSources {
        stores: match state.role {
            Some(Role::Follower { .. }) => false,
            Some(_) => true,
            None => has_settled,
        },
        engines: is_mesh && has_settled && has_few_engines,
    }
}

/// Takes over the stores of the configuration and the listed engines.
fn update_holders(gateway: &Gateway) {
    let state = &mut *gateway.state.borrow_mut();
    let Some(configuration) = &state.configuration else {
        return;
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
    state.caches.on_stores(&specs);
    state.caches.on_engines(&engines);
    let is_leader = matches!(state.role, Some(Role::Leader { .. }));
    state.caches.set_logged(is_leader, gateway.start_id);
}

async fn follow(gateway: Rc<Gateway>, key: HolderKey) {
    let mut dependency = Dependency::new("cache events");
    loop {
        let sources = event_sources(&gateway);
        let target = {
            let state = gateway.state.borrow();
            let holder = state.caches.get(key);
            let wanted = holder.filter(|_| state.caches.is_wanted(key, sources));
            wanted.map(|holder| (holder.address(), holder.next_event()))
        };
        let Some((address, since)) = target else {
            gateway.state.borrow_mut().caches.on_unfollowed(key);
            return;
        };
        if is_backing_off(&gateway, address) {
            sleep(gateway.jittered(EVENTS_PAUSE, JITTER)).await;
            continue;
        }
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

fn is_backing_off(gateway: &Gateway, address: SocketAddr) -> bool {
    let servers = &gateway.state.borrow().servers;
    servers.is_backing_off_at(address, gateway.now())
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
