//! Keeps the daemon a member of the fleet, which gives it its part of the shared budgets.

use crate::dependency::Dependency;
use crate::gateway::Gateway;
use crate::groups::{FleetAssignment, Member};
use crate::log::Event;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between two joins.
const JOIN_PAUSE: Duration = Duration::from_millis(1500);
/// Shortest time between two reads of the members. When many daemons restart one after the other,
/// the membership changes all the time.
const MEMBERS_PAUSE: Duration = Duration::from_secs(4);
/// Pause between two joins, and between two reads of the members, shortly after the start. The whole fleet
/// may be starting, and each daemon finds its leader only once the others have joined.
const START_PAUSE: Duration = Duration::from_millis(400);
/// Time after the start for which that pause holds.
const START_TIME: Duration = Duration::from_secs(2);
/// Pause after a failed join.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Joins the fleet again and again until the daemon shuts down.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    let mut dependency = Dependency::new("metadata store, fleet");
    let mut generation = 0;
    let mut members_generation = 0;
    let mut read_members_at = Duration::ZERO;
    while !gateway.is_draining.get() {
        match gateway.ports.store.join(generation).await {
            Ok(joined) => {
                dependency.on_answer(&gateway);
                let now = gateway.now();
                if joined.generation != members_generation && now >= read_members_at {
                    read_members(&gateway).await;
                    members_generation = joined.generation;
                    read_members_at = now + pause_or_start(&gateway, MEMBERS_PAUSE);
                }
                if joined.generation != generation {
                    gateway.log_notable(&Event::FleetShare {
                        generation: joined.generation,
                        share: joined.share,
                    });
                }
                generation = joined.generation;
                gateway.state.borrow_mut().share = joined.share;
                sleep(pause_or_start(&gateway, JOIN_PAUSE)).await;
            }
            Err(error) => {
                dependency.on_failure(&gateway, &error.to_string());
                sleep(RETRY_PAUSE).await;
            }
        }
    }
    if let Err(error) = gateway.ports.store.leave().await {
        dependency.on_failure(&gateway, &error.to_string());
    }
}

/// A pause, or the shorter one shortly after the start.
fn pause_or_start(gateway: &Gateway, pause: Duration) -> Duration {
    if gateway.uptime() < START_TIME {
        START_PAUSE
    } else {
        pause
    }
}

async fn read_members(gateway: &Gateway) {
    match gateway.ports.store.members().await {
        Ok(members) => take_role(gateway, &members),
        Err(error) => gateway.log_notable(&Event::DependencyLost {
            dependency: "metadata store, members",
            reason: &error.to_string(),
        }),
    }
}

/// Takes the role of this daemon among the members. Reports for another role do not count any more.
fn take_role(gateway: &Gateway, members: &[Member]) {
    let Some(own) = gateway.settings.listen_peers else {
        return;
    };
    let FleetAssignment { role, store_reads } = FleetAssignment::of(own, members);
    let state = &mut *gateway.state.borrow_mut();
    let is_same_kind = state
        .role
        .as_ref()
        .is_some_and(|known| std::mem::discriminant(known) == std::mem::discriminant(&role));
    if !store_reads.serves_copies() {
        state.topic_logs.clear();
    }
    state.store_reads = store_reads;
    if !is_same_kind {
        state.peer_loads.clear();
        gateway.log_notable(&Event::FleetRole {
            role: role.name(),
            members: members.len(),
        });
    }
    state.role = Some(role);
    gateway.holders_known.notify_one();
}
