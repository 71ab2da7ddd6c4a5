//! Learns from the leader of the group what the stores hold, in a fleet where only leaders read it.

use crate::call::Callers;
use crate::dependency::Dependency;
use crate::front::store_log_target;
use crate::gateway::Gateway;
use crate::groups::Role;
use crate::page::fetch;
use crate::store_log::Cursor;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between two reads of the leader's log.
const READ_PAUSE: Duration = Duration::from_millis(400);
/// Largest deviation of that pause, as a part of it.
const JITTER: f64 = 0.2;
/// Pause after a failed read, and between two looks for a leader.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time for a read. The first one may bring some hundred kilobytes.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);

/// Reads the log of the leader until the daemon ends.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    let callers = Callers::new(Arc::clone(&gateway.ports.clock));
    let mut dependency = Dependency::new("leader's log of the stores");
    let mut cursor = Cursor::default();
    loop {
        let Some(leader) = store_leader(&gateway) else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let target = store_log_target(cursor);
        match fetch(&callers, leader, &target, READ_TIMEOUT).await {
            Ok(page) => {
                dependency.on_answer(&gateway);
                let now = gateway.now();
                cursor = gateway.state.borrow_mut().caches.on_store_page(page, now);
                sleep(gateway.jittered(READ_PAUSE, JITTER)).await;
            }
            Err(reason) => {
                dependency.on_failure(&gateway, &format!("{leader}: {reason}"));
                gateway.state.borrow_mut().caches.on_leader_unavailable();
                sleep(gateway.jittered(RETRY_PAUSE, JITTER)).await;
            }
        }
    }
}

/// The daemon whose log this one reads. Without a configuration no store is known yet.
fn store_leader(gateway: &Gateway) -> Option<SocketAddr> {
    gateway.state.borrow().configuration.as_ref()?;
    match &gateway.state.borrow().role {
        Some(Role::Follower { leader }) => Some(*leader),
        _ => None,
    }
}
