//! Learns from the leader of the group what the stores hold, in a fleet where only leaders read it.

use crate::call::Callers;
use crate::dependency::Dependency;
use crate::front::store_log_target;
use crate::gateway::Gateway;
use crate::groups::Role;
use crate::store_log::{Cursor, StorePage};
use http::header::HOST;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::Full;
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
        match read(&callers, leader, cursor).await {
            Ok(page) => {
                dependency.on_answer(&gateway);
                let now = gateway.now();
                cursor = gateway.state.borrow_mut().caches.on_store_page(page, now);
                sleep(gateway.jittered(READ_PAUSE, JITTER)).await;
            }
            Err(reason) => {
                dependency.on_failure(&gateway, &format!("{leader}: {reason}"));
                gateway.state.borrow_mut().caches.on_stores_untold();
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

async fn read(callers: &Callers, leader: SocketAddr, cursor: Cursor) -> Result<StorePage, String> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = store_log_target(cursor)
        .parse()
        .map_err(|error: http::uri::InvalidUri| error.to_string())?;
    let host = HeaderValue::from_str(&leader.to_string()).map_err(|error| error.to_string())?;
    request.headers_mut().insert(HOST, host);
    let call = callers.caller(leader).call(request, READ_TIMEOUT).await;
    let answer = call.map_err(|error| error.to_string())?;
    if answer.status != StatusCode::OK {
        return Err(format!("status {}", answer.status.as_u16()));
    }
    StorePage::decode(&answer.body).map_err(|error| error.to_string())
}
