//! Failure detection and the list of members.
//!
//! The protocol is SWIM with suspicion. Every second probe goes to the successor on a hash ring and
//! the others to a random member: random probing alone leaves a dead member unprobed for several
//! seconds now and then, while the ring bounds that time by two probe periods. News is passed on at
//! once to a few random members and afterwards on probes and answers, within a bound on the bytes
//! sent.

mod detect;
mod join;
mod send;

use crate::gossip::GossipQueue;
use crate::health::LocalHealth;
use crate::members::{Change, MemberState, MemberTable, MemberView, RemovalCause};
use crate::probe::{Probes, Timing};
use crate::send_limit::SendLimit;
use crate::wire::{Contact, DaemonStatus, Datagram, Message, ReportedState, Update};
use anvilgw_core::DaemonId;
use indexmap::IndexSet;
use rand::RngExt;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two probes.
const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// Members told of a leave.
const LEAVE_FANOUT: usize = 6;

/// Time in which a suspect can refute. With the wait for the ring probe (1 s) and the probe itself
/// (0.4 s) it keeps detection under 3 s.
const SUSPICION_TIME: Duration = Duration::from_millis(1_200);

/// Times after the start of a suspicion at which each member pings the suspect once more. They catch
/// a refutation that was lost on its way to this member.
const SUSPECT_PING_DELAYS: [Duration; 2] = [Duration::from_millis(600), Duration::from_millis(850)];

/// Time between two pages of the member list fetched from a random member. They repair lost news.
const SYNC_PERIOD: Duration = Duration::from_secs(10);

/// The same within [`CHANGE_TIME`] after members came or went.
const CHANGE_SYNC_PERIOD: Duration = Duration::from_secs(1);

/// Time after a change in which lost news is looked for more often.
const CHANGE_WINDOW: Duration = Duration::from_secs(60);

/// A tick later than this means that the process or machine was paused; its timers say nothing
/// about others.
const PAUSE_LIMIT: Duration = Duration::from_millis(250);

/// Most addresses remembered as seed_addresses.
const MAX_SEED_ADDRESSES: usize = 1_024;

/// Time to the next probe. A daemon without the log probes twice as often, since it has to hear of a
/// majority within the freshness limit; with a long list of ages it would exceed its bytes.
fn probe_period(daemon_status: &DaemonStatus) -> Duration {
    const MAX_LIST_BYTES: usize = 128;
    let has_list = (1..=MAX_LIST_BYTES).contains(&daemon_status.outage_ages.len());
    if !daemon_status.reaches_log && has_list {
        PROBE_PERIOD / 2
    } else {
        PROBE_PERIOD
    }
}

/// What the daemon has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Content.
        bytes: Vec<u8>,
    },
    /// Take note of an event.
    Event(MemberEvent),
}

/// Something that happened to the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A member joined or came back.
    Joined(Contact),
    /// A member is suspected.
    Suspected(DaemonId),
    /// A suspected member refuted.
    Recovered(DaemonId),
    /// A member is none any more.
    Removed(Contact, RemovalCause),
    /// A datagram of a member arrived; input for [`Freshness`](crate::Freshness).
    ReportReceived(PeerReport),
    /// A later process has this daemon's number. This one must stop: either its number is used
    /// twice, or its start time is earlier than that of the process before it.
    Superseded(DaemonId),
}

/// What a member said about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// The member.
    pub peer: DaemonId,
    /// Its report.
    pub daemon_status: DaemonStatus,
    /// Uptime at which the probe was sent that this report answers, if it answers one.
    pub probe_sent: Option<Duration>,
}

/// One daemon's part in failure detection.
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

/// Context of one call: the time, the report about this daemon and the actions so far.
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
    /// Creates a member that knows nobody. `seed_addresses` are addresses at which members may be found.
    #[must_use]
    pub fn new(
        own: Contact,
        seed_addresses: &[SocketAddr],
        mut rng: StdRng,
        now: Duration,
    ) -> Self {
        // A random first probe keeps daemons that start together from probing in step.
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

    /// Adds addresses from the settings or from the platform's list of instances. They are only
    /// contacted: neither an entry nor its absence changes the state of a member.
    pub fn add_seed_addresses(&mut self, addresses: &[SocketAddr]) {
        for &address in addresses {
            if self.seed_addresses.len() < MAX_SEED_ADDRESSES && address != self.own.address {
                self.seed_addresses.insert(address);
            }
        }
    }

    /// This daemon.
    #[must_use]
    pub fn own(&self) -> Contact {
        self.own
    }

    /// Members and removed members, this daemon excluded, by number.
    pub fn members(&self) -> impl Iterator<Item = MemberView> + '_ {
        self.table.views()
    }

    /// Ids of this daemon and of the members that are alive or suspected, sorted.
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

    /// Number of live members, this daemon included.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.table.live_count() + 1
    }

    /// Score of evidence that this daemon itself is slow: 0 is healthy, 1 doubles its timeouts.
    #[must_use]
    pub fn local_health(&self) -> u32 {
        self.health.score()
    }

    /// Number of datagrams dropped because they could not be decoded.
    #[must_use]
    pub fn dropped_datagrams(&self) -> u64 {
        self.dropped_datagrams
    }

    /// The process that has this daemon's number, if a later one exists.
    #[must_use]
    pub fn superseded(&self) -> Option<DaemonId> {
        self.superseded
    }

    /// When to call [`Membership::tick`] at the latest.
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

    /// Handles a datagram.
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
            // Pages repeat what is known for long; passing them on would flood the queues.
            self.apply(*update, !is_page, &mut ctx);
        }
        if self.superseded.is_none() {
            self.handle_message(source, datagram, &mut ctx);
            self.send_gossip(&mut ctx);
        }
        ctx.actions
    }

    /// Does what is due.
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

    /// Leaves the fleet. It answers nothing afterwards and needs no more ticks.
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

    /// Applies news from a datagram or from this daemon's own probes.
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
                // The answer came through others: the direct path is bad, not this daemon.
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
                Timing::InTime => self.health.improve(),
                Timing::Slow => {}
                Timing::Late => self.health.worsen(),
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
        // Only known members are pinged, so a forged request can't direct traffic elsewhere.
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
