//! Delivers datagrams between members under a manual clock, with seeded loss and delay.

use anvilgw_core::{DaemonId, DomainId};
use anvilgw_fleet::{
    Contact, Epoch, Freshness, MemberEvent, Membership, MembershipAction, PeerVerdict, RecordId,
    Stale,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);

/// Offset between fleet time and each daemon's uptime, so that tests notice a mix-up of the two.
const BOOT_SPREAD: Duration = Duration::from_secs(1_000);

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

pub(crate) fn daemon(index: u32) -> DaemonId {
    DaemonId {
        index,
        incarnation: 1_000,
    }
}

pub(crate) fn contact(index: u32, incarnation: u64) -> Contact {
    Contact {
        id: DaemonId { index, incarnation },
        address: SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), 1_000 + index as u16)),
        domain: DomainId((index % 3) as u16),
    }
}

pub(crate) fn epoch(number: u64, members: impl IntoIterator<Item = u32>) -> Epoch {
    Epoch {
        number,
        members: members.into_iter().map(daemon).collect(),
        record: RecordId(u128::from(number)),
    }
}

pub(crate) struct Node {
    pub(crate) contact: Contact,
    pub(crate) membership: Membership,
    pub(crate) freshness: Freshness,
    /// Killed: receives and does nothing.
    pub(crate) down: bool,
    /// Receives, but handles nothing before it is resumed.
    pub(crate) paused: bool,
    pub(crate) reaches_log: bool,
    /// Extra time until the node handles a datagram.
    pub(crate) slowness: Duration,
    pub(crate) events: Vec<(Duration, MemberEvent)>,
    pub(crate) clock_stops: u32,
    uptime_offset: Duration,
}

impl Node {
    pub(crate) fn uptime(&self, now: Duration) -> Duration {
        self.uptime_offset + now
    }

    /// Stops the node's clock for a time that has passed.
    pub(crate) fn lose_time(&mut self, lost: Duration) {
        self.uptime_offset -= lost;
    }

    pub(crate) fn removals(&self) -> Vec<u32> {
        let removed = |event: &MemberEvent| match event {
            MemberEvent::Removed(contact, _) => Some(contact.id.index),
            _ => None,
        };
        self.events
            .iter()
            .filter_map(|(_, event)| removed(event))
            .collect()
    }
}

pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) nodes: Vec<Node>,
    pub(crate) loss: f64,
    /// Pairs (from, to) between which nothing arrives.
    pub(crate) cut: BTreeSet<(u32, u32)>,
    pub(crate) config_version: u64,
    pub(crate) epoch: Epoch,
    rng: StdRng,
    in_flight: BTreeMap<(Duration, u64), (u32, SocketAddr, Vec<u8>)>,
    sent: u64,
    seed: u64,
}

impl Fleet {
    /// Creates a fleet in which all know the first member and an epoch of all.
    pub(crate) fn new(count: u32, seed: u64) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            loss: 0.0,
            cut: BTreeSet::new(),
            config_version: 1,
            epoch: epoch(1, 0..count),
            rng: StdRng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            sent: 0,
            seed,
        };
        for index in 0..count {
            let node = fleet.node(contact(index, 1_000));
            fleet.nodes.push(node);
        }
        fleet
    }

    fn node(&self, own: Contact) -> Node {
        let uptime_offset = BOOT_SPREAD * (own.id.index + 1);
        let seed_addresses = [contact(0, 0).address];
        let rng =
            StdRng::seed_from_u64(self.seed ^ (u64::from(own.id.index) << 32) ^ own.id.incarnation);
        Node {
            contact: own,
            membership: Membership::new(own, &seed_addresses, rng, uptime_offset + self.now),
            freshness: Freshness::new(own.id),
            down: false,
            paused: false,
            reaches_log: true,
            slowness: Duration::ZERO,
            events: Vec::new(),
            clock_stops: 0,
            uptime_offset,
        }
    }

    /// Starts a new process with the same number and address.
    pub(crate) fn restart(&mut self, index: u32, incarnation: u64) {
        let node = self.node(contact(index, incarnation));
        self.nodes[index as usize] = node;
    }

    /// Cuts both directions between `side` and all others.
    pub(crate) fn partition(&mut self, side: &[u32]) {
        for a in 0..self.nodes.len() as u32 {
            for &b in side.iter().filter(|_| !side.contains(&a)) {
                self.cut.extend([(a, b), (b, a)]);
            }
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        self.run_with(time, |_| {});
    }

    /// Runs and calls `check` after each step.
    pub(crate) fn run_with(&mut self, time: Duration, mut check: impl FnMut(&mut Self)) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for index in 0..self.nodes.len() {
                self.tick(index);
            }
            check(self);
        }
    }

    fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now, u64::MAX));
        let due = std::mem::replace(&mut self.in_flight, later);
        for (key, (to, source, bytes)) in due {
            let node = &mut self.nodes[to as usize];
            if node.paused {
                self.in_flight
                    .insert((self.now + STEP, key.1), (to, source, bytes));
            } else if !node.down {
                let uptime = node.uptime(self.now);
                let daemon_status = node.freshness.daemon_status(uptime);
                let actions = node
                    .membership
                    .handle(uptime, source, &bytes, &daemon_status);
                assert_eq!(
                    node.membership.dropped_datagrams(),
                    0,
                    "unreadable datagram"
                );
                self.carry_out(to as usize, actions);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.down || node.paused {
            return;
        }
        let uptime = node.uptime(self.now);
        let live = node.membership.live_count();
        if node
            .freshness
            .is_log_read_due(uptime, live, self.rng.random())
        {
            if node.reaches_log {
                node.freshness.set_config_version(self.config_version);
                node.freshness.set_epoch(&self.epoch);
                node.freshness.on_log_read(uptime);
            } else {
                node.freshness.on_log_read_failed(uptime);
            }
        }
        if node.membership.next_tick() <= uptime {
            let daemon_status = node.freshness.daemon_status(uptime);
            let actions = node.membership.tick(uptime, &daemon_status);
            self.carry_out(index, actions);
        }
    }

    pub(crate) fn carry_out(&mut self, index: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, bytes } => self.send(index, to, bytes),
                MembershipAction::Event(event) => {
                    let node = &mut self.nodes[index];
                    let uptime = node.uptime(self.now);
                    if let MemberEvent::ReportReceived(report) = &event {
                        let verdict = node.freshness.on_peer_report(uptime, report);
                        node.clock_stops += u32::from(verdict == PeerVerdict::ClockStopped);
                    } else {
                        node.events.push((self.now, event));
                    }
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let target = u32::from(to.port()) - 1_000;
        let cut = self.cut.contains(&(from as u32, target));
        let lost = self.rng.random_bool(self.loss);
        if cut || lost || target as usize >= self.nodes.len() {
            return;
        }
        self.sent += 1;
        let delay = ms(self.rng.random_range(1..=3)) + self.nodes[target as usize].slowness;
        let source = self.nodes[from].contact.address;
        self.in_flight
            .insert((self.now + delay, self.sent), (target, source, bytes));
    }

    /// Numbers of the members that a node thinks are alive, itself included.
    pub(crate) fn live(&self, index: u32) -> Vec<u32> {
        let live = self.nodes[index as usize].membership.live();
        live.iter().map(|id| id.index).collect()
    }

    pub(crate) fn may_work(&self, index: u32) -> Result<(), Stale> {
        let node = &self.nodes[index as usize];
        node.freshness.may_take_new_work(node.uptime(self.now))
    }
}
