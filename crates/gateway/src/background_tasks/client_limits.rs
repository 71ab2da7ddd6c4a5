//! Observes the connections of clients, and reports what was closed for lack of room.

use crate::gateway::Gateway;
use crate::listeners::ClientListener;
use crate::log::Event;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two observations.
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Counters of what was closed or refused because of the limits on clients.
const COUNTERS: [&str; 5] = [
    "client_connections_closed_for_memory",
    "client_connections_closed_for_room",
    "client_connections_closed_unread",
    "client_connections_refused",
    "client_bodies_refused",
];

/// Runs until the daemon ends. Writes at most one line of the log each time.
pub(crate) async fn run(gateway: Rc<Gateway>, clients: Rc<ClientListener>) {
    let mut logged = COUNTERS.map(|name| gateway.metrics.counter(name));
    loop {
        sleep(TICK_INTERVAL).await;
        let unread_max = *gateway.client_idle_timeout.borrow();
        gateway.body_memory.tick(gateway.now(), unread_max);
        let held = gateway.body_memory.held();
        let open = clients.open_connections();
        let metrics = &gateway.metrics;
        metrics.set("client_memory_bytes", held.total_bytes);
        metrics.set("client_memory_max_bytes", held.total_max_bytes);
        metrics.set("client_bodies_bytes", held.bodies_bytes);
        metrics.set("client_connections", open as u64);
        let counts = COUNTERS.map(|name| metrics.counter(name));
        if counts == logged {
            continue;
        }
        let since = |index: usize| counts[index] - logged[index];
        gateway.log_notable(&Event::ClientLimits {
            closed_for_memory: since(0),
            closed_for_room: since(1),
            closed_unread: since(2),
            connections_refused: since(3),
            bodies_refused: since(4),
            connections: open,
            held_bytes: held.total_bytes,
        });
        logged = counts;
    }
}
