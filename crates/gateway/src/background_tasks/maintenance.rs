//! Closes connections that have been idle for too long, and logs changes of readiness and the
//! requests sent to servers that name a limit.

use crate::gateway::Gateway;
use crate::log::Event;
use crate::server_notices::log_limit;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between two rounds of maintenance.
const ROUND_PAUSE: Duration = Duration::from_millis(1000);

/// Runs maintenance periodically until the daemon ends.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    let mut was_ready = None;
    loop {
        let (ready, reason) = gateway.readiness();
        if was_ready != Some(ready) {
            gateway.log_notable(&Event::Readiness { ready, reason });
            was_ready = Some(ready);
        }
        close_idle_connections(&gateway);
        log_requests_under_limits(&gateway);
        sleep(ROUND_PAUSE).await;
    }
}

/// Logs how many requests this daemon has sent to each server that names a limit.
fn log_requests_under_limits(gateway: &Gateway) {
    let mut state = gateway.state.borrow_mut();
    let limited = state
        .servers
        .iter_mut()
        .filter(|server| server.request_limit.in_force().is_some() && server.sent_since_logged > 0);
    limited.for_each(|server| log_limit(gateway, server));
}

fn close_idle_connections(gateway: &Gateway) {
    let now = gateway.now();
    let state = gateway.state.borrow();
    let mut pools = gateway.pools.borrow_mut();
    pools.retain(|key, pool| {
        pool.sweep(now);
        state.servers.get(key).is_some() || pool.open_count() > 0
    });
}
