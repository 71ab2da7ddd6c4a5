//! Delivers datagrams between light members of a fleet under a simulated clock.

use anvilgw_core::{DaemonId, DomainId};
use anvilgw_fleet::{
    Contact, DaemonStatus, Datagram, Epoch, Freshness, MAX_DATAGRAM_BYTES, MemberEvent, Membership,
    MembershipAction, Message, RecordId,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Start time of the processes, of the usual size.
const INCARNATION: u64 = 1_790_000_000_000;

/// IPv4 and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Time between two questions whether the log has to be read.
const READ_CHECK_PERIOD: Duration = Duration::from_millis(100);

const FIRST_PORT: u16 = 1_000;

/// Period and silence limit of the heartbeat baseline. With these it detects within 3 s.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
const HEARTBEAT_LIMIT: Duration = Duration::from_millis(2_900);

pub(crate) fn contact(index: usize) -> Contact {
    Contact {
        id: DaemonId {
            index: index as u32,
            incarnation: INCARNATION + index as u64,
        },
        address: SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), FIRST_PORT + index as u16)),
        domain: DomainId((index % 7) as u16),
    }
}

/// What a node does.
pub(crate) enum Output {
    /// Sends a datagram to the member with the index.
    Send(usize, Vec<u8>),
    /// Takes a member out of its view.
    Removed(usize),
}

/// A protocol that detects failures.
pub(crate) trait Node {
    fn handle(&mut self, now: Duration, from: usize, bytes: &[u8]) -> Vec<Output>;
    fn tick(&mut self, now: Duration) -> Vec<Output>;
    fn next_tick(&self) -> Duration;
    fn view_len(&self) -> usize;
}

/// The product: membership together with freshness, whose report travels on the probes.
pub(crate) struct Product {
    membership: Membership,
    freshness: Freshness,
    rng: StdRng,
    next_read_check: Duration,
    /// Whether the log can be read.
    pub(crate) log_up: bool,
    pub(crate) log_reads: usize,
}

impl Product {
    pub(crate) fn new(index: usize, count: usize, seed: u64) -> Self {
        let own = contact(index);
        let mut rng = StdRng::seed_from_u64(seed ^ (index as u64) << 20);
        let seeds: Vec<_> = (0..3).map(|i| contact(i).address).collect();
        let mut freshness = Freshness::new(own.id);
        freshness.set_epoch(&Epoch {
            number: 1,
            members: (0..count).map(|i| contact(i).id).collect(),
            record: RecordId(1),
        });
        let membership = Membership::new(
            own,
            &seeds,
            StdRng::seed_from_u64(rng.random()),
            Duration::ZERO,
        );
        Self {
            membership,
            freshness,
            rng,
            next_read_check: READ_CHECK_PERIOD,
            log_up: true,
            log_reads: 0,
        }
    }

    /// Whether the daemon may take new work.
    pub(crate) fn is_fresh(&self, now: Duration) -> bool {
        self.freshness.may_take_new_work(now).is_ok()
    }

    /// Reads the log, or fails to, if it is the node's turn.
    fn read_log(&mut self, now: Duration) {
        self.next_read_check = now + READ_CHECK_PERIOD;
        let members = self.membership.live_count();
        if !self
            .freshness
            .is_log_read_due(now, members, self.rng.random())
        {
            return;
        }
        self.log_reads += 1;
        if self.log_up {
            self.freshness.on_log_read(now);
        } else {
            self.freshness.on_log_read_failed(now);
        }
    }

    fn outputs(&mut self, now: Duration, actions: Vec<MembershipAction>) -> Vec<Output> {
        let mut outputs = Vec::new();
        for action in actions {
            match action {
                MembershipAction::Send { to, bytes } => {
                    let to = usize::from(to.port() - FIRST_PORT);
                    outputs.push(Output::Send(to, bytes));
                }
                MembershipAction::Event(MemberEvent::ReportReceived(report)) => {
                    self.freshness.on_peer_report(now, &report);
                }
                MembershipAction::Event(MemberEvent::Removed(contact, _)) => {
                    outputs.push(Output::Removed(contact.id.index as usize));
                }
                MembershipAction::Event(_) => {}
            }
        }
        outputs
    }
}

impl Node for Product {
    fn handle(&mut self, now: Duration, from: usize, bytes: &[u8]) -> Vec<Output> {
        let daemon_status = self.freshness.daemon_status(now);
        let source = contact(from).address;
        let actions = self.membership.handle(now, source, bytes, &daemon_status);
        self.outputs(now, actions)
    }

    fn tick(&mut self, now: Duration) -> Vec<Output> {
        if now >= self.next_read_check {
            self.read_log(now);
        }
        if now < self.membership.next_tick() {
            return Vec::new();
        }
        let daemon_status = self.freshness.daemon_status(now);
        let actions = self.membership.tick(now, &daemon_status);
        self.outputs(now, actions)
    }

    fn next_tick(&self) -> Duration {
        self.membership.next_tick().min(self.next_read_check)
    }

    fn view_len(&self) -> usize {
        self.membership.live_count()
    }
}

/// The baseline: a heartbeat to every member in every period.
pub(crate) struct Heartbeats {
    own: usize,
    heard: Vec<Option<Duration>>,
    next: Duration,
}

impl Heartbeats {
    pub(crate) fn new(index: usize, count: usize) -> Self {
        Self {
            own: index,
            heard: vec![Some(Duration::ZERO); count],
            next: HEARTBEAT_PERIOD.mul_f64(index as f64 / count as f64),
        }
    }
}

impl Node for Heartbeats {
    fn handle(&mut self, now: Duration, from: usize, bytes: &[u8]) -> Vec<Output> {
        if Datagram::decode(bytes).is_ok() {
            self.heard[from] = Some(now);
        }
        Vec::new()
    }

    fn tick(&mut self, now: Duration) -> Vec<Output> {
        self.next = now + HEARTBEAT_PERIOD / 10;
        let mut outputs = Vec::new();
        for (index, heard) in self.heard.iter_mut().enumerate() {
            if index != self.own && heard.is_some_and(|at| now.saturating_sub(at) > HEARTBEAT_LIMIT)
            {
                *heard = None;
                outputs.push(Output::Removed(index));
            }
        }
        let tenth = (now.as_millis() / 100) as usize;
        if tenth % 10 == self.own % 10 {
            let heartbeat = Datagram {
                from: contact(self.own),
                refutation: 0,
                daemon_status: DaemonStatus {
                    config_version: 1_000,
                    view_age_ms: Some(500),
                    epoch: 1_000,
                    uptime_ms: now.as_millis() as u64,
                    ..DaemonStatus::default()
                },
                message: Message::Gossip,
                updates: Vec::new(),
            };
            let bytes = heartbeat.encode();
            let others = (0..self.heard.len()).filter(|&i| i != self.own);
            outputs.extend(others.map(|index| Output::Send(index, bytes.clone())));
        }
        outputs
    }

    fn next_tick(&self) -> Duration {
        self.next
    }

    fn view_len(&self) -> usize {
        self.heard.iter().flatten().count()
    }
}

/// Shortest time between two ticks of a node.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

type Delivery = Option<(usize, Vec<u8>)>;

/// Nodes and the datagrams between them.
pub(crate) struct Net<N> {
    pub(crate) now: Duration,
    pub(crate) nodes: Vec<N>,
    pub(crate) down: Vec<bool>,
    /// Extra time until a node handles a datagram.
    pub(crate) slowness: Vec<Duration>,
    pub(crate) loss: f64,
    pub(crate) sent_bytes: Vec<usize>,
    /// Time, observer and subject of each removal.
    pub(crate) removals: Vec<(Duration, usize, usize)>,
    /// Events by time; a delivery, or a tick if there is no datagram.
    events: BinaryHeap<Reverse<(Duration, u64, usize, Delivery)>>,
    next_ticks: Vec<Duration>,
    rng: StdRng,
    sequence: u64,
}

impl<N: Node> Net<N> {
    pub(crate) fn new(nodes: Vec<N>, seed: u64) -> Self {
        let count = nodes.len();
        let mut net = Self {
            now: Duration::ZERO,
            nodes,
            down: vec![false; count],
            slowness: vec![Duration::ZERO; count],
            loss: 0.0,
            sent_bytes: vec![0; count],
            removals: Vec::new(),
            events: BinaryHeap::new(),
            next_ticks: vec![Duration::ZERO; count],
            rng: StdRng::seed_from_u64(seed),
            sequence: 0,
        };
        for index in 0..count {
            let at = net.nodes[index].next_tick();
            net.schedule_tick(at, index);
        }
        net
    }

    fn schedule_tick(&mut self, at: Duration, index: usize) {
        self.next_ticks[index] = at;
        self.schedule(at, index, None);
    }

    fn schedule(&mut self, at: Duration, index: usize, delivery: Delivery) {
        self.sequence += 1;
        self.events
            .push(Reverse((at, self.sequence, index, delivery)));
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self
            .events
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= end)
        {
            let Some(Reverse((at, _, index, delivery))) = self.events.pop() else {
                break;
            };
            self.now = at;
            let is_tick = delivery.is_none();
            let superseded = is_tick && at != self.next_ticks[index];
            if self.down[index] || superseded {
                continue;
            }
            let outputs = match delivery {
                Some((from, bytes)) => self.nodes[index].handle(at, from, &bytes),
                None => self.nodes[index].tick(at),
            };
            self.carry_out(index, outputs);
            let next = self.nodes[index].next_tick().max(at + MIN_TICK_INTERVAL);
            if is_tick || next < self.next_ticks[index] {
                self.schedule_tick(next, index);
            }
        }
        self.now = end;
    }

    fn carry_out(&mut self, index: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Removed(subject) => self.removals.push((self.now, index, subject)),
                Output::Send(to, bytes) => {
                    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
                    self.sent_bytes[index] += bytes.len() + HEADER_BYTES;
                    if to < self.nodes.len() && !self.rng.random_bool(self.loss) {
                        let delay_us = self.rng.random_range(500..3_000);
                        let delay = Duration::from_micros(delay_us) + self.slowness[to];
                        self.schedule(self.now + delay, to, Some((index, bytes)));
                    }
                }
            }
        }
    }

    pub(crate) fn bytes_per_s(&self, before: &[usize], time: Duration) -> Rates {
        let rates: Vec<f64> = self
            .sent_bytes
            .iter()
            .zip(before)
            .map(|(after, before)| (after - before) as f64 / time.as_secs_f64())
            .collect();
        Rates {
            mean: rates.iter().sum::<f64>() / rates.len() as f64,
            max: rates.iter().copied().fold(0.0, f64::max),
        }
    }
}

/// Bytes sent per second by the members.
pub(crate) struct Rates {
    pub(crate) mean: f64,
    pub(crate) max: f64,
}
