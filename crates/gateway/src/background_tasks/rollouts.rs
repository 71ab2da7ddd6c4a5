//! Rollouts of software versions: follows orders and statuses, exchanges reports and directives with
//! the other daemons, and writes statuses as the decider of a service.

use super::peer_messages::send_message;
use crate::caches::name_hash;
use crate::dependency::Dependency;
use crate::gateway::{Gateway, State};
use crate::log::Event;
use crate::log_position::LogPosition;
use crate::peer_message::PeerMessage;
use crate::permits::members_by_rank;
use crate::ports::{AppendOutcome, RolloutRequest, StoreError, Topic};
use crate::read_origin::ReadOrigin;
use crate::rollout::{
    Decision, FleetView, RolloutDirective, RolloutReport, RolloutState, RolloutStatus,
};
use crate::rollout_metrics::{phase_name, reason_name};
use crate::service_rollouts::{OrderEffect, VersionServers};
use crate::topic_reader::{TopicReader, TopicRecords};
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Pause between two reports of a daemon.
const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// Number of decisions between two reports. Replies to reports contain the last decision, so it has
/// to be recent.
const DECISIONS_PER_REPORT: u32 = 3;
/// Pause between two reads of the log of statuses during a rollout.
const STATUS_PAUSE: Duration = Duration::from_millis(500);
/// Maximum random deviation of a pause, as a fraction of it.
const JITTER: f64 = 0.15;
/// Pause after a failed call to the metadata store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time between the removal of an order and the write of its final status, in which other daemons
/// learn of the removal.
const WITHDRAWAL_NOTICE: Duration = Duration::from_millis(1000);
/// Time after which the member that is next in rank stores the end of a removed order.
const WITHDRAWAL_PAUSE: Duration = Duration::from_secs(2);
/// Time after a restore of the metadata store until the first member in rank stores a lost status
/// again. Operators write again at this time what the store has lost.
const LOST_STATUS_NOTICE: Duration = Duration::from_millis(300);
/// Time after which the member that is next in rank stores a lost status.
const LOST_STATUS_PAUSE: Duration = Duration::from_millis(700);
/// Age of the last read of statuses from which the metadata store counts as unavailable.
const STORE_UNAVAILABLE_AGE: Duration = Duration::from_millis(2500);

/// Applies an order of operators.
pub(super) fn on_rollout_ordered(gateway: &Gateway, request: RolloutRequest) {
    let now = gateway.now();
    let (service, target, step) = (
        request.service.clone(),
        request.target.clone(),
        request.step,
    );
    let effect = {
        let state = &mut *gateway.state.borrow_mut();
        let random = state.rng.random();
        state.rollouts.on_ordered(request, random, now)
    };
    let reason = match effect {
        OrderEffect::Unchanged => return,
        OrderEffect::Started => "",
        OrderEffect::AlreadyFinal(RolloutState::Complete) => "already complete",
        OrderEffect::AlreadyFinal(_) => "already rolled back",
        OrderEffect::WrittenAgain => "written again after a restore of the store",
    };
    gateway.log_notable(&Event::RolloutOrdered {
        service: &service,
        target: &target,
        step_ms: step.as_millis() as u64,
        reason,
    });
    notify_ended(gateway, &service);
    gateway.rollouts_changed.notify_waiters();
}

/// Sends the final directive of the previous order to the daemons that have reported to this one.
/// They may learn of the removal, or of the new order, up to a second later.
fn notify_ended(gateway: &Gateway, service: &str) {
    let now = gateway.now();
    let ended = {
        let rollouts = &gateway.state.borrow().rollouts;
        rollouts.ended(service).and_then(|ended| {
            let directive = rollouts.final_directive(ended.order.id)?;
            Some((directive, ended.recent_reporters(now)))
        })
    };
    if let (Some((directive, recipients)), Some(socket)) = (ended, gateway.permit_client.socket()) {
        let message = PeerMessage::RolloutDirective(directive);
        send_message(gateway, &socket, &message, &recipients);
    }
}

/// Applies the removal of an order.
pub(super) fn on_rollout_withdrawn(gateway: &Gateway, service: &str) {
    let now = gateway.now();
    let is_known = gateway
        .state
        .borrow_mut()
        .rollouts
        .on_withdrawn(service, now);
    if is_known {
        gateway.log_notable(&Event::RolloutWithdrawn { service });
        notify_ended(gateway, service);
    }
}

/// Logs an order that cannot be decoded, unless it is already known.
pub(super) fn on_rollout_malformed(gateway: &Gateway, service: &str, reason: &str) {
    let rollouts = &mut gateway.state.borrow_mut().rollouts;
    if rollouts.on_malformed(service, reason) {
        gateway.log_notable(&Event::RolloutMalformed { service, reason });
    }
}

/// Derives the versions in force from the listed servers, once orders and statuses are known.
pub(super) fn on_servers_changed(gateway: &Gateway) {
    let state = &mut *gateway.state.borrow_mut();
    let knows_orders = state.configuration_freshness.verified_at().is_some();
    if knows_orders && state.rollouts.has_statuses() {
        state.rollouts.on_listed(&state.servers);
    }
}

/// Notes that the operators' table was read after a restore of the metadata store. It may lack orders
/// that operators have not written again yet, and the store may lack statuses.
pub(super) fn on_orders_restored(gateway: &Gateway) {
    gateway.state.borrow_mut().rollouts.on_orders_restored();
    gateway.rollouts_changed.notify_waiters();
}

/// Notes that operators have written again the orders that the restored store had lost.
pub(super) fn on_orders_complete(gateway: &Gateway) {
    gateway.state.borrow_mut().rollouts.on_orders_complete();
}

/// Reads the statuses once, and follows them while there is a rollout, until the daemon ends.
pub(crate) async fn follow_statuses(gateway: Rc<Gateway>) {
    let mut dependency = Dependency::new("metadata store, statuses");
    let clock = Arc::clone(&gateway.ports.clock);
    let mut reader = TopicReader::new(Topic::Statuses, clock);
    loop {
        let mut position = loop {
            match list_statuses(&gateway).await {
                Ok(next) => break next,
                Err(error) => dependency.on_failure(&gateway, &error.to_string()),
            }
            sleep(RETRY_PAUSE).await;
        };
        dependency.on_answer(&gateway);
        on_servers_changed(&gateway);
        loop {
            wait_for_rollout(&gateway).await;
            if gateway.state.borrow().rollouts.needs_listing() {
                break;
            }
            sleep(gateway.jittered(STATUS_PAUSE, JITTER)).await;
            match reader.read(&gateway, position, Duration::ZERO).await {
                Ok(read) => {
                    dependency.on_answer(&gateway);
                    let next = read.origin.next;
                    if !apply_read(&gateway, position, read) {
                        break;
                    }
                    position = next;
                }
                Err(StoreError::Expired(_)) => {
                    gateway.state.borrow_mut().rollouts.forget_offsets();
                    break;
                }
                Err(StoreError::Restored(_)) => break,
                Err(error) => dependency.on_failure(&gateway, &error.to_string()),
            }
        }
    }
}

/// Applies the records that were read from a position. Returns `false` if the statuses were listed
/// in another epoch meanwhile, in which the offsets mean nothing.
fn apply_read(gateway: &Gateway, from: LogPosition, read: TopicRecords) -> bool {
    if !gateway.state.borrow().rollouts.is_in_epoch(from.epoch) {
        return false;
    }
    let store = &gateway.ports.metadata_store;
    for (offset, record) in (from.offset..).zip(read.records) {
        if let Some(status) = store.decode_status(record) {
            apply_status(gateway, &status, offset);
        }
    }
    let rollouts = &mut gateway.state.borrow_mut().rollouts;
    rollouts.on_statuses_verified(read.origin.verified_at);
    true
}

/// Waits until there is a rollout that is not over, or was removed a short time ago, or the statuses
/// have to be listed again.
async fn wait_for_rollout(gateway: &Gateway) {
    loop {
        let changed = gateway.rollouts_changed.notified();
        let needs_listing = gateway.state.borrow().rollouts.needs_listing();
        if needs_listing || !unfinished_services(gateway).is_empty() {
            return;
        }
        changed.await;
    }
}

fn unfinished_services(gateway: &Gateway) -> Vec<String> {
    let now = gateway.now();
    gateway.state.borrow().rollouts.unfinished(now)
}

async fn list_statuses(gateway: &Gateway) -> Result<LogPosition, StoreError> {
    let started_at = gateway.now();
    let listing = gateway.ports.metadata_store.list_statuses().await?;
    let origin = ReadOrigin::store(listing.next, started_at, gateway.now());
    gateway.on_log_listed(Topic::Statuses, listing.statuses.len(), &origin);
    let now = gateway.now();
    let epoch = listing.next.epoch;
    gateway.state.borrow_mut().rollouts.on_listing(epoch, now);
    for (status, offset) in &listing.statuses {
        apply_status(gateway, status, *offset);
    }
    gateway
        .state
        .borrow_mut()
        .rollouts
        .on_statuses_verified(started_at);
    // Lost statuses are to be stored again.
    gateway.rollouts_changed.notify_waiters();
    Ok(listing.next)
}

fn apply_status(gateway: &Gateway, status: &RolloutStatus, offset: u64) {
    let now = gateway.now();
    let rollouts = &mut gateway.state.borrow_mut().rollouts;
    let is_changed = rollouts.on_status(status, offset, now);
    if is_changed {
        gateway.log_notable(&Event::RolloutStatus {
            service: &status.service,
            target: &status.target,
            state: status.state,
        });
        gateway.rollouts_changed.notify_waiters();
    }
}

/// Reports to the deciders and decides, while there are rollouts, until the daemon ends.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    loop {
        wait_for_rollout(&gateway).await;
        let services = unfinished_services(&gateway);
        for service in &services {
            report(&gateway, service);
            store_withdrawal(&gateway, service);
            store_lost(&gateway, service);
        }
        for _ in 0..DECISIONS_PER_REPORT {
            for service in &services {
                decide(&gateway, service);
            }
            let pause = REPORT_PAUSE / DECISIONS_PER_REPORT;
            sleep(gateway.jittered(pause, JITTER)).await;
        }
    }
}

/// Writes the status of an order that was removed, if that is up to this daemon: the first member in
/// rank, or the next ones some time later.
fn store_withdrawal(gateway: &Rc<Gateway>, service: &str) {
    let now = gateway.now();
    let state = &mut *gateway.state.borrow_mut();
    let Some((status, elapsed)) = state.rollouts.withdrawn_to_store(service, now) else {
        return;
    };
    let rank = rank_of(gateway, state.fleet.members(), service);
    if elapsed >= WITHDRAWAL_NOTICE + WITHDRAWAL_PAUSE * rank as u32
        && state.rollouts.begin_writing(service)
    {
        spawn_local(write(Rc::clone(gateway), status));
    }
}

/// Writes a status that the restored store lacks, if that is up to this daemon: the first member in
/// rank, or the next ones some time later.
fn store_lost(gateway: &Rc<Gateway>, service: &str) {
    let now = gateway.now();
    let state = &mut *gateway.state.borrow_mut();
    let Some((status, elapsed)) = state.rollouts.lost_to_store(service, now) else {
        return;
    };
    let rank = rank_of(gateway, state.fleet.members(), service);
    if elapsed >= LOST_STATUS_NOTICE + LOST_STATUS_PAUSE * rank as u32
        && state.rollouts.begin_writing(service)
    {
        spawn_local(write(Rc::clone(gateway), status));
    }
}

/// Returns the rank of this daemon for a service among the members of the fleet.
fn rank_of(gateway: &Gateway, members: &[SocketAddr], service: &str) -> usize {
    let own = own_address(gateway);
    let ranked = members_by_rank(name_hash(service), members);
    let rank = ranked.iter().position(|member| *member == own);
    rank.unwrap_or_default()
}

/// Returns the members of the fleet, or only this daemon if it exchanges no messages with others. A
/// daemon that is not a member yet decides nothing.
fn members(gateway: &Gateway) -> Vec<SocketAddr> {
    if gateway.settings.listen_peers.is_none() {
        return vec![own_address(gateway)];
    }
    gateway.state.borrow().fleet.members().to_vec()
}

/// Returns the address by which the fleet knows this daemon. Outside of a fleet, it is that for
/// clients.
fn own_address(gateway: &Gateway) -> SocketAddr {
    let settings = &gateway.settings;
    settings.listen_peers.unwrap_or(settings.listen_clients)
}

fn report(gateway: &Rc<Gateway>, service: &str) {
    let now = gateway.now();
    let (own, members) = (own_address(gateway), members(gateway));
    let is_fresh = gateway.are_rollouts_fresh();
    let (report, recipients) = {
        let state = &mut *gateway.state.borrow_mut();
        let Some(active) = state.rollouts.active_mut(service) else {
            return;
        };
        let recipients = active.recipients(name_hash(service), &members, now);
        let (phase, _) = active.in_force(is_fresh, now);
        let sender = gateway.start_id;
        let report = active.next_report(sender, phase, members.len(), &state.servers, now);
        (report, recipients)
    };
    for recipient in recipients {
        if recipient == own {
            take_report(gateway, service, report.clone());
            decide(gateway, service);
        } else if let Some(socket) = gateway.permit_client.socket() {
            let message = PeerMessage::RolloutReport(report.clone());
            send_message(gateway, &socket, &message, &[recipient]);
        }
    }
}

fn take_report(gateway: &Gateway, service: &str, report: RolloutReport) {
    let now = gateway.now();
    let state = &mut *gateway.state.borrow_mut();
    let Some(bounds) = state.rollouts.exposure_bounds() else {
        return;
    };
    let stored = state
        .rollouts
        .versions_of(service)
        .and_then(|versions| versions.status().cloned());
    if let Some(active) = state.rollouts.active_mut(service) {
        active.take_report(report, bounds, stored.as_ref(), now);
    }
}

/// Takes in a report of another daemon, for which this one is the decider, and replies.
pub(super) fn on_report(
    gateway: &Rc<Gateway>,
    socket: &UdpSocket,
    report: RolloutReport,
    sender: SocketAddr,
) {
    let service = {
        let state = gateway.state.borrow();
        state.rollouts.service_of(report.order).map(str::to_owned)
    };
    let now = gateway.now();
    let Some(service) = service else {
        let known = gateway
            .state
            .borrow()
            .rollouts
            .final_directive(report.order);
        // An order that is not known yet gets no reply.
        if let Some(directive) = known {
            let message = PeerMessage::RolloutDirective(directive);
            send_message(gateway, socket, &message, &[sender]);
        }
        return;
    };
    take_report(gateway, &service, report);
    let decision = {
        let rollouts = &mut gateway.state.borrow_mut().rollouts;
        let active = rollouts.active_mut(&service);
        active.and_then(|active| {
            active.on_reporter(sender, now);
            active.decision
        })
    };
    // Decisions follow several times in each period of reports, so the last one is recent.
    if let Some(decision) = decision.or_else(|| decide(gateway, &service)) {
        let message = PeerMessage::RolloutDirective(decision.directive);
        send_message(gateway, socket, &message, &[sender]);
    }
}

/// Takes in a directive of the daemon at the address `sender`.
pub(super) fn on_directive(gateway: &Gateway, directive: RolloutDirective, sender: SocketAddr) {
    let now = gateway.now();
    let members = members(gateway);
    let state = &mut *gateway.state.borrow_mut();
    let service = state.rollouts.service_of(directive.order);
    let Some(service) = service.map(str::to_owned) else {
        return;
    };
    let ranked = members_by_rank(name_hash(&service), &members);
    let rank = ranked.iter().position(|member| *member == sender);
    if let (Some(rank), Some(active)) = (rank, state.rollouts.active_mut(&service)) {
        active.on_directive(directive, rank, now);
    }
}

/// Decides, if this daemon is the decider of the service: applies its own directive, sends that of a
/// new phase to the other daemons, and starts to write a status if necessary.
fn decide(gateway: &Rc<Gateway>, service: &str) -> Option<Decision> {
    let now = gateway.now();
    let members = members(gateway);
    let own = own_address(gateway);
    let (decided, status, recipients) = {
        let state = &mut *gateway.state.borrow_mut();
        let view = fleet_view(state, service, members.len(), now)?;
        let active = state.rollouts.active_mut(service)?;
        let decided = active.decide(view, now)?;
        let ranked = members_by_rank(name_hash(service), &members);
        if let Some(rank) = ranked.iter().position(|member| *member == own) {
            active.on_directive(decided.decision.directive, rank, now);
        }
        let recipients = if decided.is_new_phase {
            active.recent_reporters(now)
        } else {
            Vec::new()
        };
        let versions = state.rollouts.versions_of(service)?;
        let status = decided.decision.write;
        let status = status.and_then(|state| versions.status_to_store(state));
        let status = status.filter(|_| state.rollouts.begin_writing(service));
        (decided, status, recipients)
    };
    let decision = decided.decision;
    if let Some(socket) = gateway.permit_client.socket() {
        let message = PeerMessage::RolloutDirective(decision.directive);
        send_message(gateway, &socket, &message, &recipients);
    }
    if decided.is_changed {
        log_decision(gateway, service, &decision);
    }
    if let Some(status) = status {
        spawn_local(write(Rc::clone(gateway), status));
    }
    Some(decision)
}

fn fleet_view(state: &State, service: &str, members: usize, now: Duration) -> Option<FleetView> {
    let rollouts = &state.rollouts;
    let verified_at = rollouts.statuses_verified_at().unwrap_or_default();
    let versions = rollouts.versions_of(service)?;
    let order = &rollouts.active(service)?.order;
    let servers = VersionServers::of(order, versions, &state.servers, now);
    Some(FleetView {
        members,
        target_servers: servers.target_servers,
        target_warm_slots: servers.target_warm_slots,
        base_servers: servers.base_servers,
        base_slots: servers.base_slots,
        is_store_available: now.saturating_sub(verified_at) < STORE_UNAVAILABLE_AGE,
        is_target_in_force: versions.in_force() == Some(order.target.as_str()),
    })
}

fn log_decision(gateway: &Gateway, service: &str, decision: &Decision) {
    let judgement = &decision.judgement;
    gateway.log_notable(&Event::RolloutDecision {
        service,
        phase: phase_name(decision.directive.phase),
        share: decision.directive.share.fraction(),
        reason: reason_name(decision.reason),
        target_answers: judgement.target_answers,
        target_failures: judgement.target_failures,
        base_answers: judgement.base_answers,
        base_failures: judgement.base_failures,
        failures_llr: judgement.failures_llr,
        slow_llr: judgement.slow_llr,
    });
}

/// Writes a status, and then allows the next write.
async fn write(gateway: Rc<Gateway>, status: RolloutStatus) {
    let result = write_status(&gateway, &status).await;
    if let Err(error) = result {
        gateway.metrics.count("rollout_writes_failed");
        gateway.log_notable(&Event::RolloutWriteFailed {
            service: &status.service,
            state: status.state,
            reason: &error.to_string(),
        });
        sleep(RETRY_PAUSE).await;
    }
    let rollouts = &mut gateway.state.borrow_mut().rollouts;
    rollouts.end_writing(&status.service);
}

/// Appends a status unless the stored one is final or the same. The stored statuses are read first,
/// and the append takes effect only if there is no newer one, so only one final status is stored.
async fn write_status(gateway: &Gateway, status: &RolloutStatus) -> Result<(), StoreError> {
    let at = list_statuses(gateway).await?;
    if !gateway.state.borrow().rollouts.is_to_be_stored(status) {
        return Ok(());
    }
    let store = &gateway.ports.metadata_store;
    let AppendOutcome::Stored(stored) = store.append_status(at.offset, status).await? else {
        return Ok(());
    };
    let is_listed = gateway.state.borrow().rollouts.is_in_epoch(stored.epoch);
    if stored.epoch == at.epoch && is_listed {
        apply_status(gateway, status, stored.offset);
    } else {
        // The store was restored meanwhile: it may have accepted the offset of another epoch, or lost
        // the status.
        list_statuses(gateway).await?;
    }
    Ok(())
}
