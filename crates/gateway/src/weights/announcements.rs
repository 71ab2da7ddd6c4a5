//! Applies announcements of weight switches, as records of the lease log contain them, to the
//! servers that a daemon knows.

use crate::lease::{ANNOUNCED_EFFECT_MAX, CancelledSwitch, LeaseRecord, ServerWeights};
use crate::server::{Server, Servers};
use std::time::Duration;

/// Longest time for which a server that was ordered to load weights receives no requests. It first
/// finishes its running generations.
const SWITCH_TIME_MAX: Duration = Duration::from_millis(6000);

/// Applies records of the lease log in their order. A server that is announced to be ordered gets
/// no requests until it has loaded the weights, and nothing is read from it until the order can no
/// longer take effect.
///
/// Times in records count from `now`, so a daemon that reads them late avoids reads for longer.
pub fn apply_records(servers: &mut Servers, records: &[LeaseRecord], now: Duration) {
    for record in records {
        for cancelled in &record.cancelled {
            if let Some(server) = server_of(servers, &cancelled.weights) {
                apply_cancellation(server, cancelled, now);
            }
        }
        for weights in &record.switching {
            if let Some(server) = server_of(servers, weights) {
                apply_announcement(server, weights, now);
            }
        }
        for weights in &record.loaded {
            if let Some(server) = server_of(servers, weights) {
                server.on_weights_loaded(&weights.model, weights.version);
                server.on_switched(&weights.model, weights.version);
            }
        }
    }
}

/// Applies the announcement of a switch.
pub fn apply_announcement(server: &mut Server, weights: &ServerWeights, now: Duration) {
    let ServerWeights { model, version, .. } = weights;
    let announced_until = now + ANNOUNCED_EFFECT_MAX;
    let earlier = server.model_order_pending_until(model, now);
    server.on_switch_ordered(model, *version, now + SWITCH_TIME_MAX);
    server.on_order_pending(
        model,
        *version,
        announced_until.max(earlier.unwrap_or_default()),
        None,
    );
}

/// Applies the cancellation of an announced switch. The daemon that cancels it knows all orders
/// before, so its time replaces that of earlier announcements for the model.
fn apply_cancellation(server: &mut Server, cancelled: &CancelledSwitch, now: Duration) {
    let ServerWeights { model, version, .. } = &cancelled.weights;
    server.on_switch_cancelled(model, *version);
    server.on_orders_settled(model);
    if cancelled.order_left_ms > 0 {
        let until = now + Duration::from_millis(cancelled.order_left_ms);
        server.on_order_pending(model, *version, until, None);
    }
}

fn server_of<'a>(servers: &'a mut Servers, weights: &ServerWeights) -> Option<&'a mut Server> {
    let key = servers.key_of(&weights.server)?;
    servers.get_mut(key)
}
