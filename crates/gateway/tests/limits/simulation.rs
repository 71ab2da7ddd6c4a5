//! A fleet of daemons in virtual time, in front of the servers of one service. The decisions are
//! those of the gateway; network delays, lost messages and failures of daemons are simulated.

mod deployment;
mod event;
mod notices;
mod setup;
mod troubles;

pub(crate) use deployment::servers;
pub(crate) use setup::{Arrival, Outcome, Setup, Sharing, Trouble};

use anvilgw_gateway::configuration::Service;
use anvilgw_gateway::fleet_view::FleetView;
use anvilgw_gateway::groups::{FleetAssignment, Member, Role};
use anvilgw_gateway::notice_reports::{NoticeReporter, QUERY_TIME};
use anvilgw_gateway::permits::{
    Decision, PermitIssuer, PermitOutcome, PermitPurpose, Rate, issuer_of,
};
use anvilgw_gateway::region_constraints::RegionConstraints;
use anvilgw_gateway::request_limit::RequestRate;
use anvilgw_gateway::select::{NoServer, Query, Selected, select};
use anvilgw_gateway::server::{ServerKey, Servers};
use deployment::{address, index_of, member};
use event::{Event, Pending, Scheduled};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

/// Name of the server that names a limit.
const LIMITED: &str = "s0";
const SERVICE: &str = "s";
/// Requests per second that a cold server takes from all daemons together.
pub(crate) const COLD_PER_S: f64 = 16.0;
/// Permits that a request asks for at most, as in the gateway.
const PERMIT_ASKS_MAX: u32 = 4;
/// Time for which a daemon waits for a reply to a request for a permit.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Time within which each daemon reads a change of the membership.
const MEMBERS_READ_MS: std::ops::Range<u64> = 200..5_500;
/// Time after its first answer with a limit from which on a daemon has to obey it.
const TOLD_AFTER: Duration = Duration::from_millis(500);
/// Time from the start of a daemon until the load balancer sends it requests. It checks once a
/// second whether the daemon is ready.
const READY_AFTER: Duration = Duration::from_millis(500);
/// Pause between two confirmations of the membership.
const CONFIRM_PAUSE: Duration = Duration::from_millis(1_500);

struct Daemon {
    address: SocketAddr,
    servers: Servers,
    issuer: PermitIssuer,
    fleet: FleetView,
    role: Role,
    reporter: NoticeReporter,
    is_up: bool,
    frozen_until: Duration,
    cut_until: Duration,
    /// When the first answer with a limit arrived.
    told_at: Option<Duration>,
    started_at: Duration,
}

struct Simulation {
    setup: Setup,
    service: Service,
    daemons: Vec<Daemon>,
    /// Members that the metadata store lists.
    members: Vec<Member>,
    store_away_until: Duration,
    limit: Option<RequestRate>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    /// Requests for permits that were already replied to or have timed out.
    replied: Vec<bool>,
    scheduled: u64,
    now: Duration,
    rng: SmallRng,
    outcome: Outcome,
}

/// Runs a simulation with troubles at the given times. Both the daemons and the limit, if the first
/// trouble sets one, are in place long before.
pub(crate) fn simulate(setup: Setup, troubles: &[(Duration, Trouble)]) -> Outcome {
    let mut simulation = Simulation::new(setup);
    for (at, trouble) in troubles {
        simulation.schedule(*at, Event::Trouble(*trouble));
    }
    simulation.run();
    simulation.outcome
}

impl Simulation {
    fn new(setup: Setup) -> Self {
        let mut simulation = Self {
            setup,
            service: Service {
                name: SERVICE.to_owned(),
                connections_max: 100,
                cold_requests_per_s: COLD_PER_S,
                engine: None,
                cache_store: None,
            },
            daemons: Vec::new(),
            members: (0..setup.daemons).map(member).collect(),
            store_away_until: Duration::ZERO,
            limit: None,
            queue: BinaryHeap::new(),
            replied: Vec::new(),
            scheduled: 0,
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(setup.seed),
            outcome: Outcome::default(),
        };
        for _ in 0..setup.daemons {
            simulation.start_daemon();
        }
        simulation.schedule(Duration::ZERO, Event::Request);
        simulation
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        let number = self.scheduled;
        self.queue.push(Reverse(Scheduled { at, number, event }));
    }

    fn after(&mut self, ms: std::ops::Range<u64>, event: Event) {
        let delay = Duration::from_millis(self.rng.random_range(ms));
        self.schedule(self.now + delay, event);
    }

    fn start_daemon(&mut self) {
        let index = self.daemons.len();
        self.daemons.push(Daemon {
            address: address(index),
            servers: servers(self.setup.servers, 1),
            issuer: PermitIssuer::default(),
            fleet: FleetView::default(),
            role: Role::default(),
            reporter: NoticeReporter::default(),
            is_up: true,
            frozen_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            told_at: None,
            started_at: self.now,
        });
        self.after(0..400, Event::ReadMembers(index));
        self.after(0..1_500, Event::ConfirmMembers(index));
        self.after(0..250, Event::NoticePeriod(index));
    }

    fn run(&mut self) {
        while let Some(Reverse(scheduled)) = self.queue.pop() {
            if scheduled.at > self.setup.length {
                return;
            }
            self.now = scheduled.at;
            self.handle(scheduled.event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request => self.on_request(),
            Event::Ask(pending, issuer) => self.on_ask(pending, issuer),
            Event::Reply(pending, outcome) => self.on_reply(pending, outcome),
            Event::Answer(daemon, server, limit) => self.on_answer(daemon, server, limit),
            Event::NoticePeriod(daemon) => self.on_notice_period(daemon),
            Event::Notices(daemon, report) => self.on_notices(daemon, &report),
            Event::NoticeQuery(from, to) => self.on_notice_query(from, to),
            Event::ReadMembers(daemon) => self.read_members(daemon),
            Event::ConfirmMembers(daemon) => self.confirm_members(daemon),
            Event::Trouble(trouble) => self.on_trouble(trouble),
            Event::MembersChanged => self.on_members_changed(),
        }
    }

    /// A client sends a request to a random daemon. Clients reach frozen daemons, too: those handle
    /// it when they go on.
    fn on_request(&mut self) {
        let pause = Duration::from_secs_f64(
            -self.rng.random::<f64>().max(1e-9).ln() / self.setup.requests_per_s,
        );
        self.schedule(self.now + pause, Event::Request);
        let daemon = self.rng.random_range(0..self.daemons.len());
        let is_ready = self.now >= self.daemons[daemon].started_at + READY_AFTER;
        if is_ready && self.is_active(daemon) {
            self.outcome.requests += 1;
            self.dispatch(daemon, 0);
        }
    }

    fn is_active(&self, daemon: usize) -> bool {
        let daemon = &self.daemons[daemon];
        daemon.is_up && self.now >= daemon.frozen_until
    }

    /// Selects a server as the gateway does, and sends the request or asks for a permit.
    fn dispatch(&mut self, daemon: usize, asks: u32) {
        let (now, share) = (self.now, 1.0 / self.members.len() as f64);
        let may_ask_permits = asks < PERMIT_ASKS_MAX;
        let selected = match self.select(daemon, share, may_ask_permits) {
            Ok(selected) => selected,
            Err(NoServer::RateLimited(pause)) => {
                self.outcome.retry_after.push(pause);
                return;
            }
            Err(_) => return,
        };
        let Some(limit) = selected.permit_needed else {
            self.send(daemon, selected.server);
            return;
        };
        let pending = Pending {
            daemon,
            server: selected.server,
            limit,
            asks,
            number: self.replied.len() as u64,
        };
        self.replied.push(false);
        self.outcome.permit_requests += 1;
        let issuer = match self.setup.sharing {
            Sharing::Permits => {
                let state = &self.daemons[daemon];
                issuer_of(self.hash_of(daemon), state.fleet.members())
            }
            Sharing::FixedShares => None,
        };
        match issuer {
            None => self.on_reply(pending, PermitOutcome::NoAnswer),
            Some(issuer) if issuer == self.daemons[daemon].address => {
                let outcome = self.decide(pending, daemon);
                self.on_reply(pending, outcome);
            }
            Some(issuer) => {
                let issuer = index_of(issuer);
                if self.is_delivered(daemon, issuer) {
                    self.after(0..4, Event::Ask(pending, issuer));
                }
                let timeout = Event::Reply(pending, PermitOutcome::NoAnswer);
                self.schedule(now + REPLY_TIMEOUT, timeout);
            }
        }
    }

    fn select(
        &mut self,
        daemon: usize,
        share: f64,
        may_ask_permits: bool,
    ) -> Result<Selected, NoServer> {
        let regions = IndexMap::new();
        let constraints = RegionConstraints {
            regions: &regions,
            route: &[],
            workspace: &[],
        };
        let query = Query {
            share,
            may_ask_permits,
            ..Query::new(&self.service, constraints)
        };
        let servers = &mut self.daemons[daemon].servers;
        select(servers, &query, self.now, &mut self.rng)
    }

    fn hash_of(&self, daemon: usize) -> u64 {
        let servers = &self.daemons[daemon].servers;
        let key = servers.key_of(LIMITED).expect("limited server");
        servers.get(key).expect("server").incarnation_hash()
    }

    /// Returns whether a message from one daemon to another arrives.
    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let now = self.now;
        let is_connected = |daemon: &Daemon| daemon.is_up && now >= daemon.cut_until;
        let is_connected = is_connected(&self.daemons[from]) && is_connected(&self.daemons[to]);
        is_connected && self.rng.random::<f64>() >= self.setup.loss
    }

    fn on_ask(&mut self, pending: Pending, issuer: usize) {
        if !self.is_active(issuer) {
            return;
        }
        let outcome = self.decide(pending, issuer);
        if self.is_delivered(issuer, pending.daemon) {
            self.after(0..4, Event::Reply(pending, outcome));
        }
    }

    fn decide(&mut self, pending: Pending, issuer: usize) -> PermitOutcome {
        let hash = self.hash_of(issuer);
        let now = self.now;
        let daemon = &mut self.daemons[issuer];
        if issuer_of(hash, daemon.fleet.members()) != Some(daemon.address) {
            return PermitOutcome::NoAnswer;
        }
        let key = daemon.servers.key_of(LIMITED).expect("limited server");
        let server = daemon.servers.get(key).expect("server");
        let known = server.request_limit.allowed_rate();
        let rate = Rate {
            limit: known.map_or(pending.limit, |known| known.min(pending.limit)),
            is_settled: daemon.fleet.is_settled(now),
        };
        match daemon
            .issuer
            .decide(hash, rate, PermitPurpose::Request, now)
        {
            Decision::Granted(permits) => PermitOutcome::Granted(permits),
            Decision::Denied(pause) => PermitOutcome::Denied(pause),
        }
    }

    fn on_reply(&mut self, pending: Pending, outcome: PermitOutcome) {
        let replied = &mut self.replied[pending.number as usize];
        if std::mem::replace(replied, true) || !self.is_active(pending.daemon) {
            return;
        }
        let share = 1.0 / self.members.len() as f64;
        let servers = &mut self.daemons[pending.daemon].servers;
        let server = servers.get_mut(pending.server).expect("server");
        server.permits.on_outcome(outcome, pending.limit, self.now);
        if server.permits.take(pending.limit, share, self.now) {
            self.send(pending.daemon, pending.server);
        } else {
            self.dispatch(pending.daemon, pending.asks + 1);
        }
    }

    fn send(&mut self, daemon: usize, key: ServerKey) {
        let now = self.now;
        let server = self.daemons[daemon].servers.get_mut(key).expect("server");
        server.on_request_sent(0, now);
        let is_limited = server.entry.id == LIMITED;
        if is_limited {
            let told_at = self.daemons[daemon].told_at;
            self.outcome.arrivals.push(Arrival {
                at: now,
                daemon,
                was_told: told_at.is_some_and(|at| now >= at + TOLD_AFTER),
            });
        }
        let limit = self.limit.filter(|_| is_limited);
        self.after(20..100, Event::Answer(daemon, key, limit));
    }

    fn on_answer(&mut self, daemon: usize, key: ServerKey, limit: Option<RequestRate>) {
        let daemon = &mut self.daemons[daemon];
        if limit.is_some() {
            daemon.told_at.get_or_insert(self.now);
        }
        let server = daemon.servers.get_mut(key).expect("server");
        server.on_request_ended(0);
        match limit {
            Some(limit) => server.request_limit.on_named(limit, self.now),
            None => server.request_limit.on_not_named(self.now),
        };
    }

    fn read_members(&mut self, index: usize) {
        if self.now < self.store_away_until {
            self.schedule(self.store_away_until, Event::ReadMembers(index));
            return;
        }
        let addresses = self.members.iter().map(|member| member.address);
        let own = member(index);
        let daemon = &mut self.daemons[index];
        daemon.fleet.on_members(addresses.collect(), self.now);
        daemon.role = FleetAssignment::of(&own, &self.members).role;
        if self.now < daemon.started_at + QUERY_TIME {
            self.query_notices(index);
        }
    }

    fn confirm_members(&mut self, index: usize) {
        self.schedule(self.now + CONFIRM_PAUSE, Event::ConfirmMembers(index));
        if self.now < self.store_away_until || !self.is_active(index) {
            return;
        }
        let mut listed: Vec<SocketAddr> = self.members.iter().map(|one| one.address).collect();
        listed.sort_unstable();
        let fleet = &mut self.daemons[index].fleet;
        if fleet.members() == listed {
            fleet.on_confirmed(self.now);
        } else {
            fleet.on_outdated(self.now);
        }
    }

    fn on_members_changed(&mut self) {
        self.members = (0..self.daemons.len())
            .filter(|index| self.daemons[*index].is_up)
            .map(member)
            .collect();
        for index in 0..self.daemons.len() {
            self.after(MEMBERS_READ_MS, Event::ReadMembers(index));
        }
    }
}
