//! Reads the group leader's log of the cache stores. Runs in large fleets, where only leaders read
//! the stores' events.

use crate::cache_store_log::Cursor;
use crate::dependency::Dependency;
use crate::gateway::Gateway;
use crate::groups::Role;
use crate::http_client::HttpClients;
use crate::listeners::cache_store_log_target;
use crate::page::fetch;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between two reads of the leader's log.
const READ_PAUSE: Duration = Duration::from_millis(400);
/// Maximum random deviation of that pause, as a fraction of it.
const JITTER: f64 = 0.2;
/// Pause after a failed read, and between checks whether there is a leader to read from.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Timeout of a read. The first one may transfer several hundred kilobytes.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);

/// Reads the leader's log until the daemon ends.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    let clients = HttpClients::new(Arc::clone(&gateway.ports.clock));
    let mut dependency = Dependency::new("leader's log of the stores");
    let mut cursor = Cursor::default();
    loop {
        let Some(leader) = cache_store_leader(&gateway) else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let target = cache_store_log_target(cursor);
        let read_started_at = gateway.now();
        match fetch(&clients, leader, &target, READ_TIMEOUT).await {
            Ok(page) => {
                dependency.on_answer(&gateway);
                let now = gateway.now();
                cursor = gateway.state.borrow_mut().caches.on_cache_store_log_page(
                    page,
                    read_started_at,
                    now,
                );
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

/// Returns the leader whose log this daemon reads, or `None` if it is not a follower. Before the
/// first configuration no cache store is known, so there is nothing to read.
fn cache_store_leader(gateway: &Gateway) -> Option<SocketAddr> {
    gateway.state.borrow().configuration.as_ref()?;
    match &gateway.state.borrow().role {
        Some(Role::Follower { leader }) => Some(*leader),
        _ => None,
    }
}
