//! Seeded runs of weight switches in virtual time: publications that overlap, daemons that restart
//! or read the operators' table late, servers that answer nothing or carry orders out late, and
//! requests that wait in queues. Also switches of two models at once.

use anvilgw_gateway::server::{ServedModel, ServerEntry, ServerKey, ServerState, Servers};
use anvilgw_gateway::weights::{
    OrderOutcome, OrderTracker, OutdatedServer, PublishedWeights, WeightPublication, next_orders,
    oldest_allowed_version, outdated_servers,
};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const MODEL: &str = "lumen";
/// Operators' time limit for a switch.
const SWITCH_TIME: Duration = Duration::from_secs(10);
/// Time after the last publication within which all servers have to hold its version.
const ALL_SWITCHED_AFTER: Duration = Duration::from_secs(14);
const STEP: Duration = Duration::from_millis(50);
/// Length of a run after the last publication.
const TAIL: Duration = Duration::from_secs(16);
const DAEMONS: usize = 4;
/// Time that the load of new weights takes.
const LOAD_TIME: Duration = Duration::from_millis(1000);
/// Time for which a server that was ordered gets no requests at most.
const SWITCH_BLOCK_MAX: Duration = Duration::from_secs(6);
/// Time until another daemon takes the lease of one that vanished.
const LEASE_TIME: Duration = Duration::from_millis(1700);
/// Longest time that a request waits in a server's queue.
const QUEUE_TIME_MAX_MS: u64 = 4000;

/// Troubles of a run.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    /// Probability in each step that a daemon restarts.
    restart: f64,
    /// Probability in each step that the lease changes its holder.
    handover: f64,
    /// Probability in each step that a server answers nothing for some seconds.
    silence: f64,
    /// Probability that an order is not answered and carried out late.
    late_order: f64,
    /// Longest time between two reads of the operators' table, in milliseconds.
    read_gap_max_ms: u64,
}

const CALM: Trouble = Trouble {
    restart: 0.0,
    handover: 0.0,
    silence: 0.0,
    late_order: 0.0,
    read_gap_max_ms: 600,
};

const TROUBLED: Trouble = Trouble {
    restart: 0.01,
    handover: 0.02,
    silence: 0.01,
    late_order: 0.2,
    read_gap_max_ms: 3500,
};

/// A load that a server carries out, or an order that is on its way to it.
#[derive(Clone, Copy)]
struct Load {
    version: u64,
    starts_at: Duration,
    ends_at: Duration,
}

/// A server as it is, not as daemons know it.
struct Engine {
    key: ServerKey,
    version: u64,
    load: Option<Load>,
    silent_until: Duration,
}

impl Engine {
    fn is_busy(&self, now: Duration) -> bool {
        self.load.is_some_and(|load| now >= load.starts_at)
    }

    fn advance(&mut self, now: Duration) {
        if let Some(load) = self.load.filter(|load| now >= load.ends_at) {
            self.version = load.version;
            self.load = None;
        }
    }
}

/// One daemon's copy of the operators' table.
#[derive(Default)]
struct Daemon {
    published: Option<PublishedWeights>,
    verified_at: Option<Duration>,
    reads_at: Duration,
}

struct Run {
    rng: SmallRng,
    trouble: Trouble,
    servers: Servers,
    engines: Vec<Engine>,
    daemons: Vec<Daemon>,
    /// When each version was published, oldest first.
    publications: Vec<(u64, Duration)>,
    orders: OrderTracker,
    /// When there is a holder of the lease again.
    held_from: Duration,
}

impl Run {
    fn new(seed: u64, engines: usize, gap_ms: std::ops::Range<u64>, trouble: Trouble) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut servers = Servers::default();
        let engines = (0..engines).map(|index| Engine {
            key: servers.on_entry_published(entry(index), Duration::ZERO),
            version: 1,
            load: None,
            silent_until: Duration::ZERO,
        });
        let engines = engines.collect();
        let mut at = Duration::from_secs(5);
        let count = rng.random_range(2..30);
        let publications = (2..2 + count).map(|version| {
            at += Duration::from_millis(rng.random_range(gap_ms.clone()));
            (version, at)
        });
        let publications = publications.collect();
        Self {
            trouble,
            servers,
            engines,
            daemons: (0..DAEMONS).map(|_| Daemon::default()).collect(),
            publications,
            orders: OrderTracker::default(),
            held_from: Duration::ZERO,
            rng,
        }
    }

    fn newest(&self, now: Duration) -> Option<u64> {
        let published = self.publications.iter().filter(|(_, at)| *at <= now);
        published.map(|(version, _)| *version).max()
    }

    /// Returns when a version was replaced.
    fn replaced_at(&self, version: u64) -> Option<Duration> {
        let newer = self.publications.iter().find(|(newer, _)| *newer > version);
        newer.map(|(_, at)| *at)
    }

    fn last_published_at(&self) -> Duration {
        let last = self.publications.last();
        last.map_or(Duration::ZERO, |(_, at)| *at)
    }

    fn read_tables(&mut self, now: Duration) {
        let newest = self.newest(now);
        for daemon in &mut self.daemons {
            if self.rng.random_bool(self.trouble.restart) {
                *daemon = Daemon::default();
            }
            if now < daemon.reads_at {
                continue;
            }
            let pause_ms = self.rng.random_range(100..self.trouble.read_gap_max_ms);
            daemon.reads_at = now + Duration::from_millis(pause_ms);
            let published_after = daemon.verified_at.replace(now);
            let known = daemon.published.as_ref().map_or(0, |known| known.version);
            let Some(version) = newest.filter(|newest| *newest > known) else {
                continue;
            };
            let publication = WeightPublication {
                version,
                published_after,
                learned_at: now,
            };
            match &mut daemon.published {
                Some(published) => published.on_published(publication),
                None => daemon.published = Some(PublishedWeights::new(publication)),
            }
        }
    }

    /// Does what the holder of the lease does in a round.
    fn switch(&mut self, now: Duration) {
        if self.rng.random_bool(self.trouble.handover) {
            self.orders.clear();
            self.held_from = now + LEASE_TIME;
        }
        let Some(published) = self.daemons[0].published.clone() else {
            return;
        };
        let published = IndexMap::from([(MODEL.to_owned(), published)]);
        for target in outdated_servers(&self.servers, published.iter(), SWITCH_TIME) {
            if self.orders.is_poll_due(&target, now) {
                self.poll(&target, now);
            }
        }
        if now < self.held_from {
            return;
        }
        let outdated = outdated_servers(&self.servers, published.iter(), SWITCH_TIME);
        for target in next_orders(&self.servers, &outdated, &self.orders, now) {
            self.order(&target, now);
        }
    }

    fn engine(&mut self, target: &OutdatedServer) -> &mut Engine {
        let mut engines = self.engines.iter_mut();
        let engine = engines.find(|engine| engine.key == target.server);
        engine.expect("engine of the server")
    }

    fn poll(&mut self, target: &OutdatedServer, now: Duration) {
        let engine = self.engine(target);
        let is_answered = now >= engine.silent_until;
        let (version, is_busy) = (engine.version, engine.is_busy(now));
        self.orders.on_polled(target, is_answered, now);
        if !is_answered {
            return;
        }
        let server = self.servers.get_mut(target.server).expect("server");
        server.on_weights_loaded(MODEL, version);
        if version >= target.version {
            server.on_switched(MODEL, version);
        } else if !is_busy {
            self.orders.on_idle(target, now);
        }
    }

    fn order(&mut self, target: &OutdatedServer, now: Duration) {
        let is_late = self.rng.random_bool(self.trouble.late_order);
        let delay_ms = if is_late {
            self.rng.random_range(2000..8000)
        } else {
            0
        };
        let engine = self.engine(target);
        let outcome = if now < engine.silent_until {
            OrderOutcome::NoReport
        } else if engine.is_busy(now) {
            OrderOutcome::Busy
        } else {
            let starts_at = now + Duration::from_millis(delay_ms);
            engine.load = Some(Load {
                version: target.version,
                starts_at,
                ends_at: starts_at + LOAD_TIME,
            });
            let server = self.servers.get_mut(target.server).expect("server");
            server.on_switch_ordered(MODEL, target.version, now + SWITCH_BLOCK_MAX);
            if is_late {
                OrderOutcome::Unanswered
            } else {
                OrderOutcome::Accepted
            }
        };
        self.orders.on_outcome(target, outcome, now);
    }

    /// Lets each daemon send a request to each server that it may use, and returns the requests that
    /// begin too late: their version and how long after its replacement they begin.
    fn late_requests(&mut self, now: Duration) -> Vec<(u64, Duration)> {
        let mut late = Vec::new();
        for daemon in &self.daemons {
            let Some(verified_at) = daemon.verified_at else {
                continue;
            };
            let published = daemon.published.as_ref();
            let oldest = published.and_then(|one| oldest_allowed_version(one, SWITCH_TIME, now));
            for engine in &self.engines {
                let server = self.servers.get(engine.key).expect("server");
                let demanded = server.version_of(MODEL).expect("version");
                let is_usable = Some(demanded) >= oldest && !server.is_switching(now);
                if !is_usable || demanded != engine.version || engine.is_busy(now) {
                    continue;
                }
                let queue_ms = self.rng.random_range(0..QUEUE_TIME_MAX_MS);
                let begins_at = now + Duration::from_millis(queue_ms);
                let must_begin_by = published.map_or(verified_at + SWITCH_TIME, |one| {
                    one.must_begin_by(demanded, verified_at, SWITCH_TIME)
                });
                let replaced_at = self.replaced_at(demanded);
                let since = replaced_at.map(|at| begins_at.saturating_sub(at));
                if begins_at <= must_begin_by && since.is_some_and(|since| since > SWITCH_TIME) {
                    late.extend(since.map(|since| (demanded, since)));
                }
            }
        }
        late
    }

    /// Returns the versions that servers hold although their time is over.
    fn expired(&self, now: Duration) -> Vec<u64> {
        let versions = self.engines.iter().map(|engine| engine.version);
        let is_expired = |version: &u64| {
            let replaced_at = self.replaced_at(*version);
            replaced_at.is_some_and(|at| now > at + SWITCH_TIME)
        };
        versions.filter(is_expired).collect()
    }

    fn advance(&mut self, now: Duration) {
        self.read_tables(now);
        for engine in &mut self.engines {
            engine.advance(now);
            if self.rng.random_bool(self.trouble.silence) {
                let silence_ms = self.rng.random_range(500..4000);
                engine.silent_until = now + Duration::from_millis(silence_ms);
            }
        }
        self.switch(now);
    }
}

fn entry(index: usize) -> ServerEntry {
    ServerEntry {
        id: format!("s{index}"),
        service: "engines".to_owned(),
        address: ([127, 0, 0, 1], 9000 + index as u16).into(),
        failure_domain: "a".to_owned(),
        state: ServerState::Ready,
        cold_for: Duration::ZERO,
        slots: 64,
        models: vec![ServedModel {
            model: MODEL.to_owned(),
            version: 1,
        }],
        version: None,
        started_at_ms: Some(1),
        heartbeat: 1,
    }
}

/// Guards against requests that begin on weights whose time is over, however many publications
/// overlap and whatever else fails, and against servers that do not get the newest weights.
#[test]
fn no_request_begins_on_expired_weights_in_troubled_fleets() {
    const SEEDS: u64 = 40;
    for seed in 0..SEEDS {
        for (engines, gap_ms) in [(3, 200..6000), (18, 20..900), (60, 1000..5000)] {
            let mut run = Run::new(seed, engines, gap_ms, TROUBLED);
            let end = run.last_published_at() + TAIL;
            let mut now = Duration::ZERO;
            while now < end {
                run.advance(now);
                let late = run.late_requests(now);
                assert_eq!(late, [], "seed {seed}, {engines} engines, {now:?}");
                now += STEP;
            }
        }
    }
}

/// Guards against a switch that reaches the servers too late although nothing fails: servers keep
/// weights whose time is over, or the newest ones are not everywhere in time.
#[test]
fn a_switch_reaches_all_servers_in_time() {
    const SEEDS: u64 = 40;
    for seed in 0..SEEDS {
        for engines in [3, 12, 18, 60] {
            let mut run = Run::new(seed, engines, 4000..7000, CALM);
            let last_published_at = run.last_published_at();
            let mut now = Duration::ZERO;
            while now < last_published_at + TAIL {
                run.advance(now);
                let case = format!("seed {seed}, {engines} engines, {now:?}");
                assert_eq!(run.expired(now), Vec::<u64>::new(), "{case}");
                if now > last_published_at + ALL_SWITCHED_AFTER {
                    let newest = run.newest(now).expect("a publication");
                    let is_newest = |engine: &Engine| engine.version == newest;
                    assert!(run.engines.iter().all(is_newest), "{case}");
                }
                now += STEP;
            }
        }
    }
}

/// Models that all servers of the runs with two models hold.
const MODELS: [&str; 2] = ["lumen", "umbra"];

/// A server that carries out one order at a time, and rejects others meanwhile.
struct SharedEngine {
    key: ServerKey,
    load: Option<(&'static str, Duration)>,
}

/// Publishes version 2 of both models at once, and returns when the last server has loaded both.
fn switch_of_two_models(engine_count: usize) -> Option<Duration> {
    let mut servers = Servers::default();
    let mut engines: Vec<SharedEngine> = (0..engine_count)
        .map(|index| {
            let mut entry = entry(index);
            entry.models = MODELS.map(served).into();
            let key = servers.on_entry_published(entry, Duration::ZERO);
            SharedEngine { key, load: None }
        })
        .collect();
    let published = both_published();
    let mut orders = OrderTracker::default();
    let mut now = Duration::ZERO;
    while now < TAIL {
        for engine in &mut engines {
            if let Some((model, _)) = engine.load.take_if(|(_, ends_at)| now >= *ends_at) {
                let server = servers.get_mut(engine.key).expect("server");
                server.on_weights_loaded(model, 2);
                server.on_switched(model, 2);
            }
        }
        let outdated = outdated_servers(&servers, published.iter(), SWITCH_TIME);
        if outdated.is_empty() {
            return Some(now);
        }
        let mut ordered = Vec::new();
        for target in next_orders(&servers, &outdated, &orders, now) {
            assert!(!ordered.contains(&target.server), "two orders at once");
            ordered.push(target.server);
            let model = MODELS.into_iter().find(|model| *model == target.model);
            let mut of_target = engines.iter_mut().filter(|one| one.key == target.server);
            let engine = of_target.next().expect("engine of the server");
            assert!(engine.load.is_none(), "an order to a server that loads");
            engine.load = model.map(|model| (model, now + LOAD_TIME));
            orders.on_outcome(&target, OrderOutcome::Accepted, now);
        }
        now += STEP;
    }
    None
}

/// Returns publications of version 2 of both models at the start of the run.
fn both_published() -> IndexMap<String, PublishedWeights> {
    let publication = WeightPublication {
        version: 2,
        published_after: Some(Duration::ZERO),
        learned_at: Duration::ZERO,
    };
    IndexMap::from(MODELS.map(|model| (model.to_owned(), PublishedWeights::new(publication))))
}

fn served(model: &str) -> ServedModel {
    ServedModel {
        model: model.to_owned(),
        version: 1,
    }
}

/// Guards against servers that get the weights of one model only seconds after those of the other,
/// when both are published at once: an order for one model counted as one for the other.
#[test]
fn a_switch_of_two_models_reaches_all_servers_in_time() {
    for engines in [1, 2, 6, 18, 60] {
        let switched_at = switch_of_two_models(engines);
        let is_in_time = switched_at.is_some_and(|at| at <= ALL_SWITCHED_AFTER);
        assert!(is_in_time, "{engines} servers: {switched_at:?}");
    }
}

/// Guards against a large fleet whose switch takes as long as that of a small one beside it, which
/// is limited to one server at a time.
#[test]
fn the_fleet_of_each_model_has_its_own_limit() {
    let mut servers = Servers::default();
    for index in 0..20 {
        let mut entry = entry(index);
        let model = if index < 2 { MODELS[0] } else { MODELS[1] };
        entry.models = vec![served(model)];
        servers.on_entry_published(entry, Duration::ZERO);
    }
    let published = both_published();
    let outdated = outdated_servers(&servers, published.iter(), SWITCH_TIME);
    let orders = next_orders(&servers, &outdated, &OrderTracker::default(), STEP);
    let count = |model| orders.iter().filter(|one| one.model == model).count();
    assert_eq!(MODELS.map(count), [1, 3]);
}
