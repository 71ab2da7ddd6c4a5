//! Zones of requests and transfers of prompt parts: brings the choice of zones up to date, and records
//! what selections cause.

use super::routed_request::RoutedRequest;
use super::target::engine_capacity;
use crate::gateway::{Gateway, ServiceLoad};
use crate::log::{Event, ZoneChoiceFields};
use crate::select::{Selected, ZONE_COST, ZoneInputs, zone_estimates};
use crate::workspace_shares::ClaimKey;
use crate::zone_choice::ZoneChange;
use std::time::Duration;

/// Brings the workspaces and the choice of zones of the request's service up to date. Does nothing
/// unless load is controlled by the estimated start.
pub(super) fn update_service_load(gateway: &Gateway, routed: &RoutedRequest) {
    let now = gateway.now();
    if !gateway.is_start_controlled() {
        return;
    }
    let state = &mut *gateway.state.borrow_mut();
    let service = &routed.service;
    let load = state.loads.entry(service.name.clone()).or_default();
    if engine_capacity(service) > 0 {
        set_workspaces(load, routed);
    }
    if load.zones.is_update_due(now) {
        let inputs = ZoneInputs {
            servers: &state.servers,
            service: &service.name,
            capacity_tokens: engine_capacity(service),
            peer_loads: &state.peer_loads,
            speed: &load.speed,
        };
        let estimates = zone_estimates(inputs, now);
        for change in load.zones.update(estimates, ZONE_COST, now) {
            log_zone_change(gateway, &service.name, &change);
        }
    }
}

/// Sets the workspaces among which the service is divided.
fn set_workspaces(load: &mut ServiceLoad, routed: &RoutedRequest) {
    let workspaces = routed.configuration.workspaces().iter();
    let keys = workspaces.map(|workspace| ClaimKey::of(&routed.service.name, &workspace.name));
    let shares = &mut load.overload.shares;
    shares.set_workspaces(routed.configuration.version, keys);
}

fn log_zone_change(gateway: &Gateway, service: &str, change: &ZoneChange) {
    let zones = [change.home, change.other];
    gateway.log_notable(&Event::ZoneChoice(ZoneChoiceFields {
        service,
        from: &change.from,
        to: &change.to,
        leaves: change.leaves,
        start_ms: zones.map(|zone| zone.start_ms as u64),
        pressure_percent: zones.map(|zone| (zone.pressure * 100.0) as u64),
    }));
}

/// Counts the transfers that a selection causes, for the plans of later requests.
pub(super) fn record_transfers(gateway: &Gateway, selected: &Selected, now: Duration) {
    let Some(cache) = &selected.cache else { return };
    if cache.plan.late_tokens > 0 {
        gateway.metrics.count("cache_reads_too_late");
    }
    let links = &mut gateway.state.borrow_mut().links;
    links.on_planned(&cache.plan.transfers, cache.is_first_in_rank, now);
}

/// Counts whether a request stays in its zone: that of the server that ranks first for its prompt, or
/// that of this daemon.
pub(super) fn record_zone(gateway: &Gateway, selected: &Selected) {
    if !gateway.is_start_controlled() {
        return;
    }
    let state = gateway.state.borrow();
    let server = state.servers.get(selected.server);
    let own_zone = &gateway.settings.failure_domain;
    let leaves = match &selected.cache {
        Some(cache) => cache.has_left_zone,
        None => server.is_some_and(|server| server.entry.failure_domain != *own_zone),
    };
    gateway.metrics.count(if leaves {
        "requests_left_zone"
    } else {
        "requests_stayed_in_zone"
    });
}
