//! Network with a simulated clock, delay and loss between the members of a fleet, each of which
//! runs its failure detector alone.

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

/// Incarnation of member 0: a start time in Unix milliseconds, so that it is encoded at its usual
/// length.
const FIRST_INCARNATION: u64 = 1_790_000_000_000;

/// Length of the IPv4 and UDP headers of a datagram, which count as traffic.
const IP_UDP_HEADER_BYTES: usize = 28;

/// Interval at which a member checks whether its read of the log is due.
const READ_CHECK_PERIOD: Duration = Duration::from_millis(100);

const FIRST_PORT: u16 = 1_000;

/// Period and timeout of the heartbeat baseline, which detects a failure within 3 s with them.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_900);

/// Returns the identity and address of a member. The port encodes the index.
pub(crate) fn contact(index: usize) -> Contact {
    Contact {
        id: DaemonId {
            index: index as u32,
            incarnation: FIRST_INCARNATION + index as u64,
        },
        address: SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), FIRST_PORT + index as u16)),
        domain: DomainId((index % 7) as u16),
    }
}

/// An action that a node requests from the network.
pub(crate) enum Output {
    /// Sends a datagram to the member with this index.
    Send(usize, Vec<u8>),
    /// Records that the node has removed the member with this index from its view.
    Removed(usize),
}

/// A member that runs a failure detection protocol.
pub(crate) trait Node {
    /// Handles a datagram from the member with the index `from`.
    fn handle(&mut self, now: Duration, from: usize, bytes: &[u8]) -> Vec<Output>;
    /// Performs the periodic work that is due.
    fn tick(&mut self, now: Duration) -> Vec<Output>;
    /// Returns the time at which [`Node::tick`] is to be called next.
    fn next_tick(&self) -> Duration;
    /// Returns the number of members, itself included, that the node considers live.
    fn view_len(&self) -> usize;
}

/// A member that runs the gateway's membership protocol and its freshness check, whose reports
/// travel on the probes.
pub(crate) struct MembershipNode {
    membership: Membership,
    freshness: Freshness,
    rng: StdRng,
    next_read_check: Duration,
    /// Whether reads of the log succeed.
    pub(crate) is_log_available: bool,
    pub(crate) log_reads: usize,
}

impl MembershipNode {
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
            is_log_available: true,
            log_reads: 0,
        }
    }

    /// Returns whether the daemon may take new work.
    pub(crate) fn is_fresh(&self, now: Duration) -> bool {
        self.freshness.may_take_new_work(now).is_ok()
    }

    /// Attempts a read of the log if one is due.
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
        if self.is_log_available {
            self.freshness.on_log_read(now);
        } else {
            self.freshness.on_log_read_failed(now);
        }
    }

    fn apply_actions(&mut self, now: Duration, actions: Vec<MembershipAction>) -> Vec<Output> {
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

impl Node for MembershipNode {
    fn handle(&mut self, now: Duration, from: usize, bytes: &[u8]) -> Vec<Output> {
        let daemon_status = self.freshness.daemon_status(now);
        let source = contact(from).address;
        let actions = self.membership.handle(now, source, bytes, &daemon_status);
        self.apply_actions(now, actions)
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
        self.apply_actions(now, actions)
    }

    fn next_tick(&self) -> Duration {
        self.membership.next_tick().min(self.next_read_check)
    }

    fn view_len(&self) -> usize {
        self.membership.live_count()
    }
}

/// The baseline: a member that sends a heartbeat to every other member in every period.
pub(crate) struct Heartbeats {
    own: usize,
    last_heard: Vec<Option<Duration>>,
    next_tick: Duration,
}

impl Heartbeats {
    pub(crate) fn new(index: usize, count: usize) -> Self {
        Self {
            own: index,
            last_heard: vec![Some(Duration::ZERO); count],
            next_tick: HEARTBEAT_PERIOD.mul_f64(index as f64 / count as f64),
        }
    }
}

impl Node for Heartbeats {
    fn handle(&mut self, now: Duration, from: usize, bytes: &[u8]) -> Vec<Output> {
        if Datagram::decode(bytes).is_ok() {
            self.last_heard[from] = Some(now);
        }
        Vec::new()
    }

    fn tick(&mut self, now: Duration) -> Vec<Output> {
        self.next_tick = now + HEARTBEAT_PERIOD / 10;
        let mut outputs = Vec::new();
        for (index, last_heard) in self.last_heard.iter_mut().enumerate() {
            if index != self.own
                && last_heard.is_some_and(|at| now.saturating_sub(at) > HEARTBEAT_TIMEOUT)
            {
                *last_heard = None;
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
            let others = (0..self.last_heard.len()).filter(|&i| i != self.own);
            outputs.extend(others.map(|index| Output::Send(index, bytes.clone())));
        }
        outputs
    }

    fn next_tick(&self) -> Duration {
        self.next_tick
    }

    fn view_len(&self) -> usize {
        self.last_heard.iter().flatten().count()
    }
}

/// Minimum interval between two ticks of a node.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// Sender and bytes of a datagram that arrives; `None` for a tick.
type Delivery = Option<(usize, Vec<u8>)>;

/// A fleet of nodes and the datagrams in flight between them.
pub(crate) struct SimulatedNetwork<N> {
    pub(crate) now: Duration,
    pub(crate) nodes: Vec<N>,
    pub(crate) down: Vec<bool>,
    /// Time that each node takes to handle a datagram, in addition to the network delay.
    pub(crate) extra_delay: Vec<Duration>,
    pub(crate) loss: f64,
    pub(crate) sent_bytes: Vec<usize>,
    /// Time, observer and removed member of each removal.
    pub(crate) removals: Vec<(Duration, usize, usize)>,
    /// Deliveries and ticks ordered by time, then by insertion: time, sequence number, node, and
    /// the datagram of a delivery.
    events: BinaryHeap<Reverse<(Duration, u64, usize, Delivery)>>,
    next_ticks: Vec<Duration>,
    rng: StdRng,
    sequence: u64,
}

impl<N: Node> SimulatedNetwork<N> {
    pub(crate) fn new(nodes: Vec<N>, seed: u64) -> Self {
        let count = nodes.len();
        let mut network = Self {
            now: Duration::ZERO,
            nodes,
            down: vec![false; count],
            extra_delay: vec![Duration::ZERO; count],
            loss: 0.0,
            sent_bytes: vec![0; count],
            removals: Vec::new(),
            events: BinaryHeap::new(),
            next_ticks: vec![Duration::ZERO; count],
            rng: StdRng::seed_from_u64(seed),
            sequence: 0,
        };
        for index in 0..count {
            let at = network.nodes[index].next_tick();
            network.schedule_tick(at, index);
        }
        network
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

    /// Advances the simulated clock by `time` and handles every event that falls into it.
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
            self.execute(index, outputs);
            let next = self.nodes[index].next_tick().max(at + MIN_TICK_INTERVAL);
            if is_tick || next < self.next_ticks[index] {
                self.schedule_tick(next, index);
            }
        }
        self.now = end;
    }

    fn execute(&mut self, index: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Removed(subject) => self.removals.push((self.now, index, subject)),
                Output::Send(to, bytes) => {
                    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
                    self.sent_bytes[index] += bytes.len() + IP_UDP_HEADER_BYTES;
                    if to < self.nodes.len() && !self.rng.random_bool(self.loss) {
                        let delay_us = self.rng.random_range(500..3_000);
                        let delay = Duration::from_micros(delay_us) + self.extra_delay[to];
                        self.schedule(self.now + delay, to, Some((index, bytes)));
                    }
                }
            }
        }
    }

    /// Returns the send rates over the last `time`, at whose start `sent_bytes` was `before`.
    pub(crate) fn bytes_per_s(&self, before: &[usize], time: Duration) -> ByteRates {
        let rates: Vec<f64> = self
            .sent_bytes
            .iter()
            .zip(before)
            .map(|(after, before)| (after - before) as f64 / time.as_secs_f64())
            .collect();
        ByteRates {
            mean: rates.iter().sum::<f64>() / rates.len() as f64,
            max: rates.iter().copied().fold(0.0, f64::max),
        }
    }
}

/// Mean and maximum over the members of the bytes that each sends per second.
pub(crate) struct ByteRates {
    pub(crate) mean: f64,
    pub(crate) max: f64,
}
