//! Keeps the daemon a member of the fleet, which gives it a share of the shared budgets and a role
//! among the other daemons.

use crate::dependency::Dependency;
use crate::gateway::Gateway;
use crate::groups::{FleetAssignment, Member};
use crate::log::Event;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between two joins, each of which renews the membership.
const JOIN_PAUSE: Duration = Duration::from_millis(1500);
/// Minimum time between two reads of the list of members. While many daemons restart one after the
/// other, the membership changes constantly.
const MEMBERS_PAUSE: Duration = Duration::from_secs(4);
/// Pause between joins, and between reads of the list of members, shortly after the start. The
/// whole fleet may be starting, and a daemon finds its leader only once the others have joined.
const START_PAUSE: Duration = Duration::from_millis(400);
/// Time after the start during which `START_PAUSE` applies.
const START_PHASE: Duration = Duration::from_secs(2);
/// Pause after a failed join.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Joins the fleet repeatedly until the daemon shuts down, then leaves it.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    let mut dependency = Dependency::new("metadata store, fleet");
    let mut generation = 0;
    let mut members_version = None;
    let mut is_listed = false;
    let mut members_read_due_at = Duration::ZERO;
    while !gateway.is_draining.get() {
        match gateway.ports.metadata_store.join(generation).await {
            Ok(joined) => {
                dependency.on_answer(&gateway);
                let now = gateway.now();
                // A restored store assigns generations again.
                let version = Some((joined.epoch, joined.generation));
                let is_outdated = version != members_version || !is_listed;
                if is_outdated && now >= members_read_due_at {
                    is_listed = read_members(&gateway).await;
                    members_version = version;
                    members_read_due_at = now + pause_for_uptime(&gateway, MEMBERS_PAUSE);
                }
                let is_current = is_listed && version == members_version;
                confirm_members(&gateway, is_current);
                if joined.generation != generation {
                    gateway.log_notable(&Event::FleetShare {
                        generation: joined.generation,
                        share: joined.share,
                    });
                }
                generation = joined.generation;
                gateway.state.borrow_mut().share = joined.share;
                sleep(pause_for_uptime(&gateway, JOIN_PAUSE)).await;
            }
            Err(error) => {
                dependency.on_failure(&gateway, &error.to_string());
                sleep(RETRY_PAUSE).await;
            }
        }
    }
    if let Err(error) = gateway.ports.metadata_store.leave().await {
        dependency.on_failure(&gateway, &error.to_string());
    }
}

/// Returns `pause`, or the shorter `START_PAUSE` shortly after the start.
fn pause_for_uptime(gateway: &Gateway, pause: Duration) -> Duration {
    if gateway.uptime() < START_PHASE {
        START_PAUSE
    } else {
        pause
    }
}

/// Records whether the list of members is that of the current generation.
fn confirm_members(gateway: &Gateway, is_current: bool) {
    let now = gateway.now();
    let fleet = &mut gateway.state.borrow_mut().fleet;
    if is_current {
        fleet.on_confirmed(now);
    } else {
        fleet.on_outdated(now);
    }
}

/// Reads the list of members and returns whether it contains this daemon. The platform lists only
/// daemons that own a partition, and one that has just joined again gets its partitions as the
/// others release them, without a new generation.
async fn read_members(gateway: &Gateway) -> bool {
    match gateway.ports.metadata_store.members().await {
        Ok(members) => {
            apply_members(gateway, &members);
            let own_address = gateway.settings.listen_peers;
            own_address.is_none_or(|own| members.iter().any(|member| member.address == own))
        }
        Err(error) => {
            gateway.log_notable(&Event::DependencyLost {
                dependency: "metadata store, members",
                reason: &error.to_string(),
            });
            false
        }
    }
}

/// Applies the assignment that the list of members gives this daemon. If the kind of role changes,
/// load reports received so far are discarded, because they were meant for the previous role.
fn apply_members(gateway: &Gateway, members: &[Member]) {
    let Some(own_address) = gateway.settings.listen_peers else {
        return;
    };
    let own = Member {
        address: own_address,
        failure_domain: gateway.settings.failure_domain.clone(),
    };
    let FleetAssignment { role, store_reads } = FleetAssignment::of(&own, members);
    let addresses = members.iter().map(|member| member.address);
    let now = gateway.now();
    let state = &mut *gateway.state.borrow_mut();
    state.fleet.on_members(addresses.collect(), now);
    let is_same_role_kind = state
        .role
        .as_ref()
        .is_some_and(|known| std::mem::discriminant(known) == std::mem::discriminant(&role));
    if !store_reads.serves_copies() {
        state.topic_logs.clear();
    }
    state.store_reads = store_reads;
    if !is_same_role_kind {
        state.peer_loads.clear();
        gateway.log_notable(&Event::FleetRole {
            role: role.name(),
            members: members.len(),
        });
        gateway.role_changed.notify_one();
    }
    state.role = Some(role);
    gateway.cache_stores_changed.notify_one();
}
