//! State that the requests and duties of one daemon share.

use crate::admission::MemoryAdmission;
use crate::bodies::BodyMemory;
use crate::budget::RetryBudget;
use crate::caches::CacheDirectory;
use crate::configuration::{Configuration, Service};
use crate::freshness::ConfigurationFreshness;
use crate::groups::{Role, StoreReads};
use crate::log::{Event, EventLog, Importance};
use crate::metrics::Metrics;
use crate::peers::PeerLoads;
use crate::pool::Pool;
use crate::ports::{Caches, Codec, MetadataStore, Orders, Topic};
use crate::prefill_rate::PrefillRate;
use crate::server::{ServerKey, Servers};
use crate::settings::GatewaySettings;
use crate::topic_log::TopicLog;
use crate::weights::{OldPartTimes, PublishedWeights};
use anvilgw_core::Clock;
use bytes::Bytes;
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::SecondaryMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Part of the bound on withdrawn keys for which a copy of the configuration is relied on. The rest
/// covers the time of the read itself.
const TRUST_PART: f64 = 0.86;
/// Part of the fleet that a daemon assumes for itself before it knows its share.
const INITIAL_SHARE: f64 = 0.02;

/// What the daemon believes of the fleet and its surroundings.
pub(crate) struct State {
    pub(crate) configuration: Option<Arc<Configuration>>,
    pub(crate) trust: ConfigurationFreshness,
    pub(crate) servers: Servers,
    pub(crate) caches: CacheDirectory,
    /// How fast the engines of each service compute.
    pub(crate) computing_rates: IndexMap<String, PrefillRate>,
    pub(crate) admission: MemoryAdmission,
    /// What this daemon does among the others, once it knows them.
    pub(crate) role: Option<Role>,
    /// From where it learns what changes in the metadata store.
    pub(crate) store_reads: StoreReads,
    pub(crate) peer_loads: PeerLoads,
    /// Copies of topics of the metadata store that other daemons read from this one.
    pub(crate) topic_logs: IndexMap<Topic, TopicLog>,
    /// When the announcements of weight switches were last read.
    pub(crate) switches_read_at: Duration,
    pub(crate) has_servers: bool,
    pub(crate) share: f64,
    pub(crate) weights: IndexMap<String, PublishedWeights>,
    pub(crate) budgets: IndexMap<String, RetryBudget>,
    pub(crate) rng: SmallRng,
}

/// Interfaces to the platform and to the operating system.
pub struct Ports {
    /// Translates heads of requests and answers.
    pub codec: Box<dyn Codec>,
    /// The platform's metadata store.
    pub store: Box<dyn MetadataStore>,
    /// Gives orders to backend servers.
    pub orders: Box<dyn Orders>,
    /// Caches of prompts.
    pub caches: Box<dyn Caches>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
}

/// One daemon.
pub(crate) struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) ports: Ports,
    pub(crate) state: RefCell<State>,
    pub(crate) pools: RefCell<SecondaryMap<ServerKey, Rc<Pool>>>,
    pub(crate) bodies: BodyMemory,
    pub(crate) metrics: Metrics,
    pub(crate) is_draining: Cell<bool>,
    /// New requests are refused, because there may be no time left to end them.
    pub(crate) is_refusing: Cell<bool>,
    pub(crate) requests_in_flight: Cell<usize>,
    /// Told when the first configuration or list of servers was read, or the role has changed.
    pub(crate) holders_known: Notify,
    /// Differs for each start of a daemon.
    pub(crate) start_id: u64,
    started_at: Duration,
    log: EventLog,
}

fn trust_limit(settings: &GatewaySettings) -> Duration {
    settings.bounds.revoke.mul_f64(TRUST_PART)
}

impl Gateway {
    pub(crate) fn new(settings: GatewaySettings, ports: Ports, log: EventLog) -> Self {
        let started_at = ports.clock.uptime();
        let state = State {
            configuration: None,
            trust: ConfigurationFreshness::new(trust_limit(&settings)),
            servers: Servers::default(),
            caches: CacheDirectory::default(),
            computing_rates: IndexMap::new(),
            admission: MemoryAdmission::default(),
            role: None,
            store_reads: StoreReads::default(),
            peer_loads: PeerLoads::default(),
            topic_logs: IndexMap::new(),
            switches_read_at: Duration::ZERO,
            has_servers: false,
            share: INITIAL_SHARE,
            weights: IndexMap::new(),
            budgets: IndexMap::new(),
            rng: SmallRng::seed_from_u64(rand::random()),
        };
        Self {
            bodies: BodyMemory::new(settings.memory_max_bytes),
            settings,
            ports,
            state: RefCell::new(state),
            pools: RefCell::new(SecondaryMap::new()),
            metrics: Metrics::default(),
            is_draining: Cell::new(false),
            is_refusing: Cell::new(false),
            requests_in_flight: Cell::new(0),
            holders_known: Notify::new(),
            start_id: rand::random(),
            started_at,
            log,
        }
    }

    pub(crate) fn old_part_times(&self) -> OldPartTimes {
        OldPartTimes {
            configuration_age_max: trust_limit(&self.settings),
            weight_switch: self.settings.bounds.weight_switch,
        }
    }

    /// A pause with a random part, so that the daemons do not act in step. `jitter` is the largest
    /// deviation as a part of the pause.
    pub(crate) fn jittered(&self, pause: Duration, jitter: f64) -> Duration {
        let rng = &mut self.state.borrow_mut().rng;
        pause.mul_f64(rng.random_range(1.0 - jitter..1.0 + jitter))
    }

    pub(crate) fn now(&self) -> Duration {
        self.ports.clock.uptime()
    }

    /// Notes what this daemon read of a topic, for daemons that read it from here.
    pub(crate) fn on_topic_read(
        &self,
        topic: Topic,
        from_offset: u64,
        records: &[Bytes],
        started_at: Duration,
    ) {
        let state = &mut *self.state.borrow_mut();
        if state.store_reads.serves_copies() {
            let log = state.topic_logs.entry(topic).or_default();
            log.on_read(from_offset, records, started_at);
        }
    }

    /// Time since the start of the daemon.
    pub(crate) fn uptime(&self) -> Duration {
        self.now().saturating_sub(self.started_at)
    }

    pub(crate) fn log_routine(&self, event: &Event<'_>) {
        let time_ms = self.ports.clock.wall_ms();
        self.log.write(Importance::Routine, time_ms, event);
    }

    pub(crate) fn log_notable(&self, event: &Event<'_>) {
        let time_ms = self.ports.clock.wall_ms();
        self.log.write(Importance::Notable, time_ms, event);
    }

    pub(crate) fn log(&self) -> &EventLog {
        &self.log
    }

    /// Whether new connections should come, and the reason.
    pub(crate) fn readiness(&self) -> (bool, &'static str) {
        let state = self.state.borrow();
        if self.is_draining.get() {
            return (false, "shutting down");
        }
        if state.configuration.is_none() {
            return (false, "no configuration yet");
        }
        if !state.has_servers {
            return (false, "no list of backend servers yet");
        }
        if !state.trust.is_current(self.now()) {
            return (false, "the copy of the configuration is too old");
        }
        (true, "serving")
    }

    /// Connections to a backend server.
    pub(crate) fn pool(&self, key: ServerKey) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get(key) {
            return Rc::clone(pool);
        }
        let pool = Rc::new(Pool::default());
        pools.insert(key, Rc::clone(&pool));
        pool
    }

    /// Connections that this daemon may have open to one backend server of a service.
    pub(crate) fn connections_max(&self, service: &Service) -> usize {
        /// Part of the servers' limit that the fleet uses, so that a share that changes and
        /// connections that are being closed do not exceed it.
        const USED_PART: f64 = 0.8;
        let share = self.state.borrow().share;
        let limit = f64::from(service.connections_max) * share * USED_PART;
        (limit as usize).max(2)
    }

    /// Notes a first attempt to a service in its retry budget.
    pub(crate) fn on_first_attempt(&self, service: &str) {
        let now = self.now();
        let bound = self.settings.bounds.retries;
        let state = &mut *self.state.borrow_mut();
        let share = state.share;
        if let Some(budget) = state.budgets.get_mut(service) {
            budget.on_request(share, now);
            return;
        }
        let mut budget = RetryBudget::new(bound, self.started_at);
        budget.on_request(share, now);
        state.budgets.insert(service.to_owned(), budget);
    }

    /// Whether a retry is left in the budget of a service.
    pub(crate) fn has_retry(&self, service: &str) -> bool {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let share = state.share;
        let budget = state.budgets.get_mut(service);
        budget.is_some_and(|budget| budget.allows(share, now))
    }

    /// Takes one retry from the budget of a service.
    pub(crate) fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let share = state.share;
        state
            .budgets
            .get_mut(service)
            .is_some_and(|budget| budget.take(share, now))
    }
}
