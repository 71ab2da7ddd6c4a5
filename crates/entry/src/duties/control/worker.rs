//! State and thread of the control worker.

use super::agreement::{Agreement, Append, MembershipInput};
use super::budgets::SharedBudgets;
use super::configuration::Configuration;
use super::log_io::{LogCalls, LogEvent, ReadOffsets, StreamNames};
use super::start::{ControlDependencies, ControlSetup};
use super::{Member, Message, View};
use crate::duties::send::send_until_accepted;
use crate::peer::{PeerAnswer, PeerClient, PeerRequest, decode, encode};
use anvilgw_config::ConfigState;
use anvilgw_core::{Clock, DaemonId};
use anvilgw_fleet::{
    BudgetAction, Contact, Duty as FleetDuty, Freshness, MemberEvent, MemberState, Membership,
    MembershipAction, OwnershipTracker, PeerReport, PeerVerdict, RemovalCause,
};
use anvilgw_kernel::{EventKind, Journal, Receiver, RecvTimeoutError, Sender, StopSignal};
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::watch;

/// Longest sleep of the worker, after which it advances its state machines.
const MAX_SLEEP: Duration = Duration::from_millis(25);
/// Interval at which shares of budgets are transferred, the view is published and a snapshot is
/// written if it is due.
const SLOW_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest interval between two fetches of the configuration from peers.
const FETCH_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of calls to peers.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Channels on which the worker publishes its state to the other services.
pub(super) struct Publishers {
    pub(super) config: watch::Sender<Arc<ConfigState>>,
    pub(super) has_config: watch::Sender<bool>,
    pub(super) freshness: watch::Sender<Freshness>,
    pub(super) view: watch::Sender<Arc<View>>,
}

/// State of the control worker, owned by its thread.
pub(super) struct Worker {
    membership: Membership,
    freshness: Freshness,
    configuration: Configuration,
    agreement: Agreement,
    ownership: OwnershipTracker,
    budgets: Arc<SharedBudgets>,
    /// Configuration versions that peers last reported.
    config_versions: IndexMap<DaemonId, u64>,
    /// Members that left the fleet or were replaced by a later process.
    departed: Vec<DaemonId>,
    log: LogCalls,
    /// Whether a read of the log is under way.
    reading: bool,
    /// Whether the last read of the log failed.
    log_failing: bool,
    /// Random part of the interval until the next read of the log, chosen again after each read.
    jitter: f64,
    /// Whether the view was fresh at the last tick.
    was_fresh: bool,
    next_slow_tick: Duration,
    last_fetch: Option<Duration>,
    last_snapshot: Option<Duration>,
    rng: StdRng,
    streams: StreamNames,
    retention: Duration,
    socket: UdpSocket,
    peers: Arc<PeerClient>,
    runtime: Handle,
    clock: Arc<dyn Clock>,
    journal: Arc<Journal>,
    messages: Sender<Message>,
    publishers: Publishers,
}

impl Worker {
    pub(super) fn new(
        setup: ControlSetup,
        dependencies: ControlDependencies,
        messages: Sender<Message>,
        log: LogCalls,
        publishers: Publishers,
        budgets: &Arc<SharedBudgets>,
    ) -> Self {
        let own = setup.own.id;
        let now = dependencies.clock.uptime();
        let mut rng = StdRng::seed_from_u64(setup.seed);
        let member_rng = StdRng::seed_from_u64(rng.random());
        Self {
            membership: Membership::new(setup.own, &setup.seed_addresses, member_rng, now),
            freshness: Freshness::new(own),
            configuration: Configuration::new(Arc::clone(&dependencies.journal)),
            agreement: Agreement::new(own, now),
            ownership: OwnershipTracker::new(own),
            budgets: Arc::clone(budgets),
            config_versions: IndexMap::new(),
            departed: Vec::new(),
            log,
            reading: false,
            log_failing: false,
            jitter: rng.random(),
            was_fresh: false,
            next_slow_tick: now,
            last_fetch: None,
            last_snapshot: None,
            rng,
            streams: setup.streams,
            retention: setup.retention,
            socket: dependencies.socket,
            peers: dependencies.peers,
            runtime: dependencies.runtime,
            clock: dependencies.clock,
            journal: dependencies.journal,
            messages,
            publishers,
        }
    }

    pub(super) fn run(mut self, messages: &Receiver<Message>, stop: &StopSignal) {
        while !stop.is_raised() {
            let sleep = self
                .membership
                .next_tick()
                .saturating_sub(self.clock.uptime())
                .min(MAX_SLEEP);
            match messages.recv_timeout(sleep) {
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Ok(message) = messages.try_recv() {
                self.handle(message);
            }
            self.tick();
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.clock.uptime();
        match message {
            Message::Datagram(source, bytes) => {
                let daemon_status = self.freshness.daemon_status(now);
                let actions = self.membership.handle(now, source, &bytes, &daemon_status);
                self.execute(actions, now);
            }
            Message::LogEvent(event) => self.on_log_event(event, now),
            Message::ChangeConfig { record, reply } => {
                if let Some(payload) = self.configuration.submit(&record, reply, now) {
                    self.log.append(&self.streams.config, payload);
                }
            }
            Message::ConfigSince { version, reply } => {
                let _ = reply.send(self.configuration.update_since(version));
            }
            Message::PeerUpdate(update) => {
                let wall_ms = self.clock.wall_ms();
                self.configuration.on_peer_update(update, wall_ms);
                self.apply_config();
            }
            Message::SeedAddresses(addresses) => self.membership.add_seed_addresses(&addresses),
            Message::ForceEpoch(reply) => {
                let _ = reply.send(self.agreement.force_epoch(now));
            }
            Message::Leave(reply) => {
                let daemon_status = self.freshness.daemon_status(now);
                let actions = self.membership.leave(now, &daemon_status);
                self.execute(actions, now);
                let releases = self.agreement.release(now, &mut self.rng);
                self.append(releases);
                let _ = reply.send(());
            }
        }
    }

    fn execute(&mut self, actions: Vec<MembershipAction>, now: Duration) {
        for action in actions {
            match action {
                // A datagram that cannot be sent counts as lost.
                MembershipAction::Send { to, bytes } => {
                    let _ = self.socket.send_to(&bytes, to);
                }
                MembershipAction::Event(event) => self.on_member_event(event, now),
            }
        }
    }

    fn on_member_event(&mut self, event: MemberEvent, now: Duration) {
        match event {
            MemberEvent::ReportReceived(report) => self.on_peer_report(&report, now),
            MemberEvent::Joined(contact) => {
                self.departed.retain(|id| *id != contact.id);
                self.record(EventKind::MemberJoined, contact.id, "the member answers");
            }
            MemberEvent::Suspected(id) => {
                self.record(EventKind::MemberSuspected, id, "no answer to probes");
            }
            MemberEvent::Recovered(id) => self.record(
                EventKind::MemberJoined,
                id,
                "the member refuted the suspicion",
            ),
            MemberEvent::Removed(contact, cause) => {
                if cause != RemovalCause::Failed {
                    self.departed.push(contact.id);
                }
                self.config_versions.swap_remove(&contact.id);
                self.record(EventKind::MemberRemoved, contact.id, &format!("{cause:?}"));
            }
            MemberEvent::Superseded(by) => self.record(
                EventKind::InvariantViolated,
                by,
                "a later process uses the index of this daemon",
            ),
        }
    }

    fn on_peer_report(&mut self, report: &PeerReport, now: Duration) {
        self.config_versions
            .insert(report.peer, report.daemon_status.config_version);
        match self.freshness.on_peer_report(now, report) {
            PeerVerdict::Current => {}
            PeerVerdict::Behind { config_version, .. } => {
                if config_version > self.configuration.version() {
                    self.fetch_config(report.peer, now);
                }
            }
            PeerVerdict::ClockStopped => {
                self.agreement.on_clock_stopped(now);
                let cause = "the clocks of peers advanced more than the local clock";
                self.record(EventKind::ClockStopped, report.peer, cause);
            }
        }
        self.publishers
            .freshness
            .send_replace(self.freshness.clone());
    }

    fn fetch_config(&mut self, peer: DaemonId, now: Duration) {
        let too_early = self
            .last_fetch
            .is_some_and(|last| now.saturating_sub(last) < FETCH_INTERVAL);
        let address = self.address_of(peer);
        let Some(address) = address.filter(|_| !too_early) else {
            return;
        };
        self.last_fetch = Some(now);
        let version = self.configuration.version();
        let request = encode(&PeerRequest::ConfigSince { version });
        let (peers, messages) = (Arc::clone(&self.peers), self.messages.clone());
        self.runtime.spawn(async move {
            let Ok(answer) = peers.call(address, request, CALL_TIMEOUT).await else {
                return;
            };
            if let Some(PeerAnswer::Config(json)) = decode(&answer)
                && let Ok(update) = serde_json::from_slice(&json)
            {
                send_until_accepted(&messages, Message::PeerUpdate(update));
            }
        });
    }

    fn address_of(&self, id: DaemonId) -> Option<SocketAddr> {
        self.membership
            .members()
            .find(|member| member.contact.id == id)
            .map(|member| member.contact.address)
    }

    fn on_log_event(&mut self, event: LogEvent, now: Duration) {
        let (started_at, result) = match event {
            LogEvent::Read { started_at, result } => (started_at, result),
            LogEvent::AppendFailed(error) => {
                let cause = error.to_string();
                let wall_ms = self.clock.wall_ms();
                self.journal
                    .record(wall_ms, EventKind::LogUnavailable, "append", cause);
                return;
            }
        };
        self.reading = false;
        self.jitter = self.rng.random();
        match result {
            Ok(read) => {
                let budgets = Arc::clone(&self.budgets);
                let (ownership, freshness) = (&mut self.ownership, &mut self.freshness);
                let journal = &self.journal;
                let wall_ms = self.clock.wall_ms();
                self.agreement
                    .on_read(&read.epochs, &read.leases, now, |epoch| {
                        budgets.on_epoch(epoch);
                        ownership.on_epoch(epoch, now);
                        freshness.set_epoch(epoch);
                        let subject = format!("epoch {}", epoch.number);
                        let cause = format!("{} members", epoch.members.len());
                        journal.record(wall_ms, EventKind::EpochApplied, subject, cause);
                    });
                let complete = self.configuration.on_read(read.config, wall_ms);
                self.apply_config();
                if complete {
                    self.freshness.on_log_read(started_at);
                }
                self.record_log_state(false, "the log service answers");
            }
            Err(error) => {
                self.freshness.on_log_read_failed(started_at);
                self.record_log_state(true, &error.to_string());
            }
        }
        self.publishers
            .freshness
            .send_replace(self.freshness.clone());
    }

    fn record_log_state(&mut self, failing: bool, cause: &str) {
        if failing != self.log_failing {
            self.log_failing = failing;
            let kind = match failing {
                true => EventKind::LogUnavailable,
                false => EventKind::LogAvailable,
            };
            self.journal
                .record(self.clock.wall_ms(), kind, "log service", cause);
        }
    }

    fn apply_config(&mut self) {
        let Some(state) = self.configuration.current() else {
            return;
        };
        assert!(
            state.version >= self.publishers.config.borrow().version,
            "the configuration version must not decrease"
        );
        self.freshness.set_config_version(state.version);
        // Receivers apply a configuration whenever they are notified, so they are notified once for
        // each version and not after every read of the log.
        self.publishers.config.send_if_modified(|published| {
            let newer = state.version > published.version;
            if newer {
                *published = state;
            }
            newer
        });
        self.publishers
            .has_config
            .send_if_modified(|has_config| !std::mem::replace(has_config, true));
    }

    fn tick(&mut self) {
        let now = self.clock.uptime();
        let daemon_status = self.freshness.daemon_status(now);
        let actions = self.membership.tick(now, &daemon_status);
        self.execute(actions, now);
        self.read_log(now);
        let fresh = self.record_freshness(now);
        let live = self.membership.live();
        let membership = MembershipInput {
            live: &live,
            departed: &self.departed,
            fresh,
        };
        let appends = self.agreement.tick(now, &membership, &mut self.rng);
        self.append(appends);
        for payload in self.configuration.take_due_retries(now) {
            self.log.append(&self.streams.config, payload);
        }
        if now >= self.next_slow_tick {
            self.next_slow_tick = now + SLOW_TICK_INTERVAL;
            self.write_snapshot(now);
            self.transfer_shares(&live);
            self.publish_view(now);
        }
    }

    fn read_log(&mut self, now: Duration) {
        let members = self.membership.live_count();
        let due = self.freshness.is_log_read_due(now, members, self.jitter)
            || self.configuration.has_pending();
        if self.reading || !due {
            return;
        }
        let from = ReadOffsets {
            config: self.configuration.next_offset(),
            epochs: self.agreement.next_epoch_offset(),
            leases: self.agreement.next_lease_offset(),
        };
        self.reading = self.log.read(now, from);
    }

    fn record_freshness(&mut self, now: Duration) -> bool {
        let result = self.freshness.may_take_new_work(now);
        let fresh = result.is_ok();
        if fresh != self.was_fresh {
            self.was_fresh = fresh;
            let (kind, cause) = match result {
                Ok(()) => (
                    EventKind::ViewFresh,
                    "new evidence of freshness arrived".to_owned(),
                ),
                Err(stale) => (EventKind::ViewStale, stale.to_string()),
            };
            self.journal
                .record(self.clock.wall_ms(), kind, "view", cause);
        }
        fresh
    }

    fn append(&self, appends: Vec<Append>) {
        for append in appends {
            // If too many appends wait, the state machine of the record issues it again.
            let _ = match append {
                Append::Epoch(payload) => self.log.append(&self.streams.epochs, payload),
                Append::Lease(payload) => self.log.append(&self.streams.leases, payload),
            };
        }
    }

    fn write_snapshot(&mut self, now: Duration) {
        let due = self
            .last_snapshot
            .is_none_or(|last| now.saturating_sub(last) >= self.retention / 4);
        if !due
            || self
                .agreement
                .fencing_token(FleetDuty::Snapshot, now)
                .is_none()
        {
            return;
        }
        if let Some(snapshot) = self.configuration.snapshot()
            && self.log.append(&self.streams.snapshots, snapshot.encode())
        {
            self.last_snapshot = Some(now);
        }
    }

    fn transfer_shares(&self, live: &[DaemonId]) {
        for action in self.budgets.tick(|member| live.contains(&member)) {
            let (to, request) = match action {
                BudgetAction::Send(transfer) => {
                    (transfer.receiver, PeerRequest::Transfer(transfer))
                }
                BudgetAction::RequestShare { to, budget, amount } => {
                    let from = self.membership.own().id;
                    let budget = budget.0;
                    (
                        to,
                        PeerRequest::AskBudget {
                            from,
                            budget,
                            amount,
                        },
                    )
                }
            };
            let Some(address) = self.address_of(to) else {
                continue;
            };
            let (peers, budgets) = (Arc::clone(&self.peers), Arc::clone(&self.budgets));
            self.runtime.spawn(async move {
                let answer = peers.call(address, encode(&request), CALL_TIMEOUT).await;
                let answer = answer.ok().and_then(|answer| decode(&answer));
                if let Some(PeerAnswer::Share(Some(transfer))) = answer {
                    // The budgets count a refused transfer; its share is lost until the next epoch.
                    let _ = budgets.on_transfer(&transfer);
                }
            });
        }
    }

    fn publish_view(&mut self, now: Duration) {
        let own = self.membership.own();
        let version = self.configuration.version();
        let own_member = member(own, "alive", Some(version));
        let others = self.membership.members().map(|other| {
            let version = self.config_versions.get(&other.contact.id).copied();
            member(other.contact, state_name(other.state), version)
        });
        let view = View {
            members: std::iter::once(own_member).chain(others).collect(),
            epoch: self.agreement.epoch().cloned().unwrap_or_default(),
            ownership: self.ownership.clone(),
            fleet_duties: self.agreement.status(now),
        };
        self.publishers.view.send_replace(Arc::new(view));
    }

    fn record(&self, kind: EventKind, subject: DaemonId, cause: &str) {
        let subject = format!("daemon {subject}");
        self.journal
            .record(self.clock.wall_ms(), kind, subject, cause);
    }
}

fn member(contact: Contact, state: &'static str, config_version: Option<u64>) -> Member {
    Member {
        index: contact.id.index,
        incarnation: contact.id.incarnation,
        address: contact.address,
        domain: contact.domain,
        state,
        config_version,
    }
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Failed => "dead",
        MemberState::Left => "leaving",
    }
}
