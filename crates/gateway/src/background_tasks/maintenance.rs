//! Closes connections that have been idle for too long, and logs changes of readiness.

use crate::gateway::Gateway;
use crate::log::Event;
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
        sleep(ROUND_PAUSE).await;
    }
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
