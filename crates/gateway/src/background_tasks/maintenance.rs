//! Closes connections that have been idle for too long, and logs changes of readiness, the requests
//! sent to servers that name a limit, and weights that serve no new requests any more.

use crate::gateway::Gateway;
use crate::log::Event;
use crate::server::Servers;
use crate::server_notices::log_limit;
use crate::weights::oldest_allowed_version;
use indexmap::IndexMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between two rounds of maintenance.
const ROUND_PAUSE: Duration = Duration::from_millis(1000);

/// Runs maintenance periodically until the daemon ends.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    let mut was_ready = None;
    let mut oldest_allowed = IndexMap::new();
    loop {
        let (ready, reason) = gateway.readiness();
        if was_ready != Some(ready) {
            gateway.log_notable(&Event::Readiness { ready, reason });
            was_ready = Some(ready);
        }
        close_idle_connections(&gateway);
        log_requests_under_limits(&gateway);
        log_expired_weights(&gateway, &mut oldest_allowed);
        sleep(ROUND_PAUSE).await;
    }
}

/// Logs each version whose predecessors serve no new requests any more. `logged` holds the last
/// such version of each model.
fn log_expired_weights(gateway: &Gateway, logged: &mut IndexMap<String, u64>) {
    let state = gateway.state.borrow();
    let switch_time = gateway.settings.bounds.weight_switch;
    for (model, published) in &state.weights {
        let oldest = oldest_allowed_version(published, switch_time, gateway.now());
        let Some(oldest) = oldest.filter(|oldest| logged.get(model) != Some(oldest)) else {
            continue;
        };
        logged.insert(model.clone(), oldest);
        let versions = loaded_versions(&state.servers, model);
        let servers_allowed = versions.iter().filter(|one| **one >= oldest).count();
        gateway.log_notable(&Event::WeightsExpired {
            model,
            oldest_allowed: oldest,
            servers_allowed,
            servers_expired: versions.len() - servers_allowed,
        });
    }
}

fn loaded_versions(servers: &Servers, model: &str) -> Vec<u64> {
    let versions = servers
        .iter()
        .filter_map(|(_, server)| server.reported_version_of(model));
    versions.collect()
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
