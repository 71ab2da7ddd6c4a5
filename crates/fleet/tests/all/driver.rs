//! Simulated fleet with a manual clock, whose network delivers datagrams with seeded loss and
//! delay.

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

/// Difference between the uptimes of daemons with consecutive numbers. Fleet time and uptimes
/// differ, so that tests notice if the two are confused.
const BOOT_INTERVAL: Duration = Duration::from_secs(1_000);

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

pub(crate) fn daemon_id(index: u32) -> DaemonId {
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
        members: members.into_iter().map(daemon_id).collect(),
        record: RecordId(u128::from(number)),
    }
}

pub(crate) struct Daemon {
    pub(crate) contact: Contact,
    pub(crate) membership: Membership,
    pub(crate) freshness: Freshness,
    /// Whether the daemon is killed: it receives and does nothing.
    pub(crate) down: bool,
    /// Whether the daemon is paused: datagrams for it are queued until it is resumed.
    pub(crate) paused: bool,
    pub(crate) reaches_log: bool,
    /// Additional time until the daemon processes a datagram.
    pub(crate) handling_delay: Duration,
    pub(crate) events: Vec<(Duration, MemberEvent)>,
    pub(crate) clock_stops: u32,
    uptime_offset: Duration,
}

impl Daemon {
    pub(crate) fn uptime(&self, now: Duration) -> Duration {
        self.uptime_offset + now
    }

    /// Sets the daemon's uptime back, as if its clock had stopped for the time `lost`.
    pub(crate) fn lose_uptime(&mut self, lost: Duration) {
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
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) loss: f64,
    /// Pairs (sender, receiver) between which no datagram arrives.
    pub(crate) blocked: BTreeSet<(u32, u32)>,
    pub(crate) config_version: u64,
    pub(crate) epoch: Epoch,
    rng: StdRng,
    in_flight: BTreeMap<(Duration, u64), (u32, SocketAddr, Vec<u8>)>,
    sent: u64,
    seed: u64,
}

impl Fleet {
    /// Creates a fleet in which all daemons have the first one as their seed address and have the
    /// same epoch, which lists all of them.
    pub(crate) fn new(count: u32, seed: u64) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            daemons: Vec::new(),
            loss: 0.0,
            blocked: BTreeSet::new(),
            config_version: 1,
            epoch: epoch(1, 0..count),
            rng: StdRng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            sent: 0,
            seed,
        };
        for index in 0..count {
            let daemon = fleet.new_daemon(contact(index, 1_000));
            fleet.daemons.push(daemon);
        }
        fleet
    }

    fn new_daemon(&self, own: Contact) -> Daemon {
        let uptime_offset = BOOT_INTERVAL * (own.id.index + 1);
        let seed_addresses = [contact(0, 0).address];
        let rng =
            StdRng::seed_from_u64(self.seed ^ (u64::from(own.id.index) << 32) ^ own.id.incarnation);
        Daemon {
            contact: own,
            membership: Membership::new(own, &seed_addresses, rng, uptime_offset + self.now),
            freshness: Freshness::new(own.id),
            down: false,
            paused: false,
            reaches_log: true,
            handling_delay: Duration::ZERO,
            events: Vec::new(),
            clock_stops: 0,
            uptime_offset,
        }
    }

    /// Replaces a daemon by a new process with the same number and address.
    pub(crate) fn restart(&mut self, index: u32, incarnation: u64) {
        let daemon = self.new_daemon(contact(index, incarnation));
        self.daemons[index as usize] = daemon;
    }

    /// Blocks both directions between `side` and all other daemons.
    pub(crate) fn partition(&mut self, side: &[u32]) {
        for a in 0..self.daemons.len() as u32 {
            for &b in side.iter().filter(|_| !side.contains(&a)) {
                self.blocked.extend([(a, b), (b, a)]);
            }
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        self.run_with(time, |_| {});
    }

    /// Runs the fleet for the given time and calls `check` after each step.
    pub(crate) fn run_with(&mut self, time: Duration, mut check: impl FnMut(&mut Self)) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for index in 0..self.daemons.len() {
                self.tick(index);
            }
            check(self);
        }
    }

    fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now, u64::MAX));
        let due = std::mem::replace(&mut self.in_flight, later);
        for (key, (to, source, bytes)) in due {
            let daemon = &mut self.daemons[to as usize];
            if daemon.paused {
                self.in_flight
                    .insert((self.now + STEP, key.1), (to, source, bytes));
            } else if !daemon.down {
                let uptime = daemon.uptime(self.now);
                let daemon_status = daemon.freshness.daemon_status(uptime);
                let actions = daemon
                    .membership
                    .handle(uptime, source, &bytes, &daemon_status);
                assert_eq!(
                    daemon.membership.dropped_datagrams(),
                    0,
                    "unreadable datagram"
                );
                self.carry_out(to as usize, actions);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        if daemon.down || daemon.paused {
            return;
        }
        let uptime = daemon.uptime(self.now);
        let live = daemon.membership.live_count();
        if daemon
            .freshness
            .is_log_read_due(uptime, live, self.rng.random())
        {
            if daemon.reaches_log {
                daemon.freshness.set_config_version(self.config_version);
                daemon.freshness.set_epoch(&self.epoch);
                daemon.freshness.on_log_read(uptime);
            } else {
                daemon.freshness.on_log_read_failed(uptime);
            }
        }
        if daemon.membership.next_tick() <= uptime {
            let daemon_status = daemon.freshness.daemon_status(uptime);
            let actions = daemon.membership.tick(uptime, &daemon_status);
            self.carry_out(index, actions);
        }
    }

    pub(crate) fn carry_out(&mut self, index: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, bytes } => self.send(index, to, bytes),
                MembershipAction::Event(event) => {
                    let daemon = &mut self.daemons[index];
                    let uptime = daemon.uptime(self.now);
                    if let MemberEvent::ReportReceived(report) = &event {
                        let verdict = daemon.freshness.on_peer_report(uptime, report);
                        daemon.clock_stops += u32::from(verdict == PeerVerdict::ClockStopped);
                    } else {
                        daemon.events.push((self.now, event));
                    }
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let target = u32::from(to.port()) - 1_000;
        let blocked = self.blocked.contains(&(from as u32, target));
        let lost = self.rng.random_bool(self.loss);
        if blocked || lost || target as usize >= self.daemons.len() {
            return;
        }
        self.sent += 1;
        let delay = ms(self.rng.random_range(1..=3)) + self.daemons[target as usize].handling_delay;
        let source = self.daemons[from].contact.address;
        self.in_flight
            .insert((self.now + delay, self.sent), (target, source, bytes));
    }

    /// Returns the numbers of the members that a daemon considers alive, itself included.
    pub(crate) fn live(&self, index: u32) -> Vec<u32> {
        let live = self.daemons[index as usize].membership.live();
        live.iter().map(|id| id.index).collect()
    }

    pub(crate) fn may_take_work(&self, index: u32) -> Result<(), Stale> {
        let daemon = &self.daemons[index as usize];
        daemon.freshness.may_take_new_work(daemon.uptime(self.now))
    }
}
