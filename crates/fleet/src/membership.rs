//! Failure detection and the list of members.
//!
//! The protocol is SWIM with suspicion. Every second probe goes to the successor on a hash ring and
//! the others to a random member: with random probes alone, several seconds can pass before a dead
//! member is probed, while the ring bounds that time to two probe periods. Updates about members
//! are sent at once to a few random members and then piggybacked on pings and acks, within a limit
//! on the bytes sent.

mod detect;
mod join;
mod send;

use crate::gossip::GossipQueue;
use crate::health::LocalHealth;
use crate::members::{Change, MemberState, MemberTable, MemberView, RemovalCause};
use crate::probe::{AnswerTiming, Probes};
use crate::send_limit::SendLimit;
use crate::wire::{Contact, DaemonStatus, Datagram, Message, ReportedState, Update};
use anvilgw_core::DaemonId;
use indexmap::IndexSet;
use rand::RngExt;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two probes of a daemon.
const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// Number of members to which a leaving daemon sends its leave.
const LEAVE_FANOUT: usize = 6;

/// Time that a suspected member has to refute the suspicion. Together with the wait for the probe
/// along the ring (1 s) and the probe itself (0.4 s) it keeps detection below 3 s.
const SUSPICION_TIME: Duration = Duration::from_millis(1_200);

/// Times after the start of a suspicion at which each member pings the suspect again. These pings
/// make up for a refutation that was lost on its way to this member.
const SUSPECT_PING_DELAYS: [Duration; 2] = [Duration::from_millis(600), Duration::from_millis(850)];

/// Time between two requests for a page of the member list, each to a random member. The pages make
/// up for lost updates.
const SYNC_PERIOD: Duration = Duration::from_secs(10);

/// Time between two page requests within [`CHANGE_WINDOW`] after members joined or were removed.
const CHANGE_SYNC_PERIOD: Duration = Duration::from_secs(1);

/// Time after a join or a removal during which pages are requested more often.
const CHANGE_WINDOW: Duration = Duration::from_secs(60);

/// Delay of a tick above which the process or the instance is assumed to have been paused. After a
/// pause, timers that ran out say nothing about other members.
const PAUSE_LIMIT: Duration = Duration::from_millis(250);

/// Largest number of seed addresses kept.
const MAX_SEED_ADDRESSES: usize = 1_024;

/// Returns the time to the next probe. A daemon that does not reach the log probes twice as often,
/// since it has to hear from a majority within the freshness limit. It does not if its list of
/// outage ages is empty or long: with a long list it would exceed its limit on bytes sent.
fn probe_period(daemon_status: &DaemonStatus) -> Duration {
    const MAX_LIST_BYTES: usize = 128;
    let has_list = (1..=MAX_LIST_BYTES).contains(&daemon_status.outage_ages.len());
    if !daemon_status.reaches_log && has_list {
        PROBE_PERIOD / 2
    } else {
        PROBE_PERIOD
    }
}

/// Action that the daemon carries out for [`Membership`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Sends a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Encoded [`Datagram`].
        bytes: Vec<u8>,
    },
    /// Reports a change of membership or a report of a peer.
    Event(MemberEvent),
}

/// Change in the list of members as this daemon sees it, or a report of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A member joined, or came back after its removal.
    Joined(Contact),
    /// A member is suspected to have failed.
    Suspected(DaemonId),
    /// A suspected member refuted the suspicion.
    Recovered(DaemonId),
    /// A member was removed, for the given cause.
    Removed(Contact, RemovalCause),
    /// A datagram of a member arrived. Its report is the input of
    /// [`Freshness::on_peer_report`](crate::Freshness::on_peer_report).
    ReportReceived(PeerReport),
    /// A process with a later start time uses this daemon's member number. This daemon has to stop:
    /// either two daemons are configured with the number, or this process has an earlier start time
    /// than the one before it, for example because the wall clock was set back.
    Superseded(DaemonId),
}

/// Report of a member about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// Member that sent the report.
    pub peer: DaemonId,
    /// Status that the member reported.
    pub daemon_status: DaemonStatus,
    /// Uptime of this daemon at which it sent the probe that the report answers; `None` if the
    /// report does not answer a probe.
    pub probe_sent: Option<Duration>,
}

/// State machine of one daemon for failure detection and the list of members.
#[derive(Debug)]
pub struct Membership {
    own: Contact,
    refutation: u32,
    leaving: bool,
    superseded: Option<DaemonId>,
    table: MemberTable,
    gossip: GossipQueue,
    send_limit: SendLimit,
    health: LocalHealth,
    probes: Probes,
    seed_addresses: IndexSet<SocketAddr>,
    rng: StdRng,
    has_new_updates: bool,
    next_gossip: Duration,
    has_full_list: bool,
    next_probe_on_ring: bool,
    next_probe: Duration,
    next_contact: Duration,
    next_sync: Duration,
    last_change: Duration,
    sync_cursor: u32,
    dropped_datagrams: u64,
}

/// Context of one call: the current uptime, this daemon's status and the actions collected so far.
struct CallContext<'a> {
    now: Duration,
    daemon_status: &'a DaemonStatus,
    actions: Vec<MembershipAction>,
}

impl CallContext<'_> {
    fn event(&mut self, event: MemberEvent) {
        self.actions.push(MembershipAction::Event(event));
    }
}

impl Membership {
    /// Creates the state of a daemon that knows no other member. `seed_addresses` are addresses at
    /// which members may be found.
    #[must_use]
    pub fn new(
        own: Contact,
        seed_addresses: &[SocketAddr],
        mut rng: StdRng,
        now: Duration,
    ) -> Self {
        // The first probe is at a random time, so that daemons that start together do not probe in
        // step.
        let first = PROBE_PERIOD.mul_f64(rng.random::<f64>());
        let mut membership = Self {
            own,
            refutation: 0,
            leaving: false,
            superseded: None,
            table: MemberTable::default(),
            gossip: GossipQueue::default(),
            send_limit: SendLimit::new(now),
            health: LocalHealth::default(),
            probes: Probes::default(),
            seed_addresses: IndexSet::new(),
            rng,
            has_new_updates: false,
            next_gossip: now,
            has_full_list: false,
            next_probe_on_ring: true,
            next_probe: now + first,
            next_contact: now,
            next_sync: now + CHANGE_SYNC_PERIOD,
            last_change: now,
            sync_cursor: 0,
            dropped_datagrams: 0,
        };
        membership.add_seed_addresses(seed_addresses);
        membership
    }

    /// Adds addresses from the settings or from the platform's list of instances, up to a fixed
    /// number. Members are only contacted there: neither an entry nor its absence changes the state
    /// of a member.
    pub fn add_seed_addresses(&mut self, addresses: &[SocketAddr]) {
        for &address in addresses {
            if self.seed_addresses.len() < MAX_SEED_ADDRESSES && address != self.own.address {
                self.seed_addresses.insert(address);
            }
        }
    }

    /// Returns the member number, address and failure domain of this daemon.
    #[must_use]
    pub fn own(&self) -> Contact {
        self.own
    }

    /// Returns the members and the removed members that are still remembered, ordered by member
    /// number and without this daemon.
    pub fn members(&self) -> impl Iterator<Item = MemberView> + '_ {
        self.table.views()
    }

    /// Returns the ids of this daemon and of the members that are alive or suspected, sorted. A
    /// daemon that is leaving does not list itself.
    #[must_use]
    pub fn live(&self) -> Vec<DaemonId> {
        let mut live: Vec<DaemonId> = self
            .members()
            .filter(|view| matches!(view.state, MemberState::Alive | MemberState::Suspect))
            .map(|view| view.contact.id)
            .chain((!self.leaving).then_some(self.own.id))
            .collect();
        live.sort_unstable();
        live
    }

    /// Returns the number of members that are alive or suspected, this daemon included.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.table.live_count() + 1
    }

    /// Returns the score of the evidence that this daemon itself is slow: 0 means healthy, 1
    /// doubles its timeouts.
    #[must_use]
    pub fn local_health(&self) -> u32 {
        self.health.score()
    }

    /// Returns the number of datagrams dropped since the start because they could not be decoded.
    #[must_use]
    pub fn dropped_datagrams(&self) -> u64 {
        self.dropped_datagrams
    }

    /// Returns the process with a later start time that uses this daemon's member number, if there
    /// is one.
    #[must_use]
    pub fn superseded(&self) -> Option<DaemonId> {
        self.superseded
    }

    /// Returns the uptime at which [`Membership::tick`] has to be called at the latest.
    #[must_use]
    pub fn next_tick(&self) -> Duration {
        let suspects = self
            .table
            .entries()
            .filter(|entry| entry.update.state == ReportedState::Suspect)
            .map(
                |entry| match SUSPECT_PING_DELAYS.get(entry.suspect_pings as usize) {
                    Some(&after) => entry.since + after,
                    None => entry.removal_due_at(SUSPICION_TIME * self.health.timeout_factor()),
                },
            );
        suspects
            .chain(self.probes.next_due())
            .chain(self.has_new_updates.then_some(self.next_gossip))
            .chain([self.next_probe, self.next_contact, self.next_sync])
            .min()
            .unwrap_or(self.next_probe)
    }

    /// Processes a received datagram and returns the resulting actions. A datagram that cannot be
    /// decoded is counted and dropped.
    #[must_use]
    pub fn handle(
        &mut self,
        now: Duration,
        source: SocketAddr,
        bytes: &[u8],
        daemon_status: &DaemonStatus,
    ) -> Vec<MembershipAction> {
        let Ok(datagram) = Datagram::decode(bytes) else {
            self.dropped_datagrams += 1;
            return Vec::new();
        };
        if datagram.from.id == self.own.id || self.superseded.is_some() {
            return Vec::new();
        }
        let mut ctx = self.call_context(now, daemon_status);
        let is_page = matches!(datagram.message, Message::Page { .. });
        let sender = Update {
            contact: datagram.from,
            refutation: datagram.refutation,
            state: ReportedState::Alive,
        };
        self.apply(sender, true, &mut ctx);
        for update in &datagram.updates {
            // Pages repeat updates that most members have had for long; forwarding them would flood
            // the queues.
            self.apply(*update, !is_page, &mut ctx);
        }
        if self.superseded.is_none() {
            self.handle_message(source, datagram, &mut ctx);
            self.send_gossip(&mut ctx);
        }
        ctx.actions
    }

    /// Sends the probes, page requests and updates that are due, and removes suspects whose time to
    /// refute has passed.
    #[must_use]
    pub fn tick(&mut self, now: Duration, daemon_status: &DaemonStatus) -> Vec<MembershipAction> {
        let mut ctx = self.call_context(now, daemon_status);
        if self.leaving || self.superseded.is_some() {
            return ctx.actions;
        }
        if now > self.next_tick() + PAUSE_LIMIT {
            self.restart_timers(now);
        }
        self.handle_due_probes(&mut ctx);
        self.handle_due_suspicions(&mut ctx);
        if now >= self.next_probe {
            self.next_probe = now + probe_period(daemon_status);
            self.probe_next(&mut ctx);
        }
        if now >= self.next_contact {
            self.contact_possible_member(&mut ctx);
        }
        if now >= self.next_sync {
            let changed_recently = now.saturating_sub(self.last_change) < CHANGE_WINDOW;
            self.next_sync = now
                + if changed_recently {
                    CHANGE_SYNC_PERIOD
                } else {
                    SYNC_PERIOD
                };
            self.table.expire_tombstones(now);
            self.request_page(&mut ctx);
        }
        self.send_gossip(&mut ctx);
        ctx.actions
    }

    /// Announces to a few members that this daemon leaves the fleet. Afterwards the daemon answers
    /// no message and needs no ticks.
    #[must_use]
    pub fn leave(&mut self, now: Duration, daemon_status: &DaemonStatus) -> Vec<MembershipAction> {
        let mut ctx = self.call_context(now, daemon_status);
        if self.leaving {
            return ctx.actions;
        }
        self.leaving = true;
        let update = self.update_about_self(ReportedState::Left);
        self.gossip.push(update);
        for contact in self.table.sample(LEAVE_FANOUT, None, &mut self.rng) {
            self.send(
                &mut ctx,
                contact.address,
                Some(contact.id.index),
                Message::Gossip,
            );
        }
        ctx.actions
    }

    fn call_context<'a>(
        &mut self,
        now: Duration,
        daemon_status: &'a DaemonStatus,
    ) -> CallContext<'a> {
        self.send_limit.refill(now);
        CallContext {
            now,
            daemon_status,
            actions: Vec::new(),
        }
    }

    fn update_about_self(&self, state: ReportedState) -> Update {
        Update {
            contact: self.own,
            refutation: self.refutation,
            state,
        }
    }

    /// Applies an update from a datagram or from this daemon's own probes.
    fn apply(&mut self, update: Update, forward: bool, ctx: &mut CallContext<'_>) {
        if update.contact.id.index == self.own.id.index {
            self.apply_about_self(update, ctx);
            return;
        }
        let Some(change) = self.table.apply(update, ctx.now) else {
            return;
        };
        if forward {
            self.gossip.push(update);
            self.has_new_updates |= change != Change::Internal;
        }
        if !matches!(
            change,
            Change::Internal | Change::Suspected(_) | Change::Recovered(_)
        ) {
            self.last_change = ctx.now;
            self.next_sync = self.next_sync.min(ctx.now + CHANGE_SYNC_PERIOD);
        }
        match change {
            Change::Joined(contact) => ctx.event(MemberEvent::Joined(contact)),
            Change::Suspected(id) => ctx.event(MemberEvent::Suspected(id)),
            Change::Recovered(id) => ctx.event(MemberEvent::Recovered(id)),
            Change::Removed(contact, cause) => ctx.event(MemberEvent::Removed(contact, cause)),
            Change::Replaced { old, new } => {
                ctx.event(MemberEvent::Removed(old, RemovalCause::Replaced));
                ctx.event(MemberEvent::Joined(new));
            }
            Change::Internal => {}
        }
    }

    fn apply_about_self(&mut self, update: Update, ctx: &mut CallContext<'_>) {
        let id = update.contact.id;
        if id.incarnation > self.own.id.incarnation {
            if self.superseded.is_none() {
                self.superseded = Some(id);
                ctx.event(MemberEvent::Superseded(id));
            }
            return;
        }
        let reported_not_alive = id == self.own.id && update.state != ReportedState::Alive;
        if !reported_not_alive || self.leaving || update.refutation < self.refutation {
            return;
        }
        let Some(next) = update.refutation.checked_add(1) else {
            return;
        };
        self.refutation = next;
        self.health.worsen();
        let refutation = self.update_about_self(ReportedState::Alive);
        self.gossip.push(refutation);
        self.has_new_updates = true;
    }

    fn handle_message(
        &mut self,
        source: SocketAddr,
        datagram: Datagram,
        ctx: &mut CallContext<'_>,
    ) {
        let from = datagram.from.id;
        if let Some(entry) = self.table.get_mut(from.index)
            && entry.update.contact.id == from
        {
            entry.last_heard = Some(ctx.now);
        }
        let mut probe_sent = None;
        match datagram.message {
            Message::Ping { seq } if !self.leaving => {
                self.send(ctx, source, Some(from.index), Message::Ack { seq });
            }
            Message::Ack { seq } => probe_sent = self.handle_ack(seq, from, ctx),
            Message::PingRequest { seq, target } => self.relay_ping(source, seq, target, ctx),
            Message::RelayedAck { seq, target } => {
                // The answer came through a relay: the direct path is at fault, not this daemon's
                // speed.
                self.probes.answered(seq, target, ctx.now);
            }
            Message::Sync { from_index } if !self.leaving => {
                self.send_page(source, from_index, ctx);
            }
            Message::Page { next_index } => self.handle_page(next_index, ctx),
            Message::Ping { .. } | Message::Sync { .. } | Message::Gossip => {}
        }
        ctx.event(MemberEvent::ReportReceived(PeerReport {
            peer: from,
            daemon_status: datagram.daemon_status,
            probe_sent,
        }));
    }

    fn handle_ack(
        &mut self,
        seq: u32,
        from: DaemonId,
        ctx: &mut CallContext<'_>,
    ) -> Option<Duration> {
        if let Some((probe, timing)) = self.probes.answered(seq, from, ctx.now) {
            match timing {
                AnswerTiming::InTime => self.health.improve(),
                AnswerTiming::Slow => {}
                AnswerTiming::Late => self.health.worsen(),
            }
            return Some(probe.sent);
        }
        let relay = self.probes.relay_answered(seq, from)?;
        let answer = Message::RelayedAck {
            seq: relay.origin_seq,
            target: relay.target,
        };
        self.send(ctx, relay.origin, None, answer);
        None
    }

    fn relay_ping(
        &mut self,
        source: SocketAddr,
        seq: u32,
        target: DaemonId,
        ctx: &mut CallContext<'_>,
    ) {
        // Only known members are pinged, so a forged request cannot direct traffic to other
        // addresses.
        let contact = self
            .table
            .get(target.index)
            .map(|entry| entry.update.contact);
        let Some(contact) = contact.filter(|contact| contact.id == target && !self.leaving) else {
            return;
        };
        if let Some(seq) = self.probes.relay(source, seq, target, ctx.now) {
            self.send(
                ctx,
                contact.address,
                Some(target.index),
                Message::Ping { seq },
            );
        }
    }
}
