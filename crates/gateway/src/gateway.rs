//! State that the requests and background tasks of one daemon share.

use crate::admission::MemoryAdmission;
use crate::body_memory::BodyMemory;
use crate::budget::RetryBudget;
use crate::caches::{CacheDirectory, LinkAccount};
use crate::configuration::{ClientLimits, Configuration, Service};
use crate::connection_limit::client_connections_max;
use crate::fleet_view::FleetView;
use crate::freshness::ConfigurationFreshness;
use crate::groups::{Role, StoreReads};
use crate::log::{Event, EventLog, Importance};
use crate::log_position::{EpochSighting, LogPosition, StoreEpoch};
use crate::metrics::Metrics;
use crate::overload::ServiceOverload;
use crate::peers::PeerLoads;
use crate::pending_ends::PendingEnds;
use crate::permit_client::PermitClient;
use crate::permits::PermitIssuer;
use crate::pool::Pool;
use crate::ports::{CacheClient, Codec, MetadataStore, OrderClient, Topic};
use crate::prefill_rate::PrefillRate;
use crate::read_origin::ReadOrigin;
use crate::server::{ServerKey, Servers};
use crate::server_speed::ServiceSpeed;
use crate::service_rollouts::ServiceRollouts;
use crate::settings::{GatewaySettings, LoadControl};
use crate::store_availability::StoreAvailability;
use crate::topic_log::TopicLog;
use crate::weights::{OldPartTimes, PublishedWeights};
use crate::zone_choice::ZoneChoice;
use anvilgw_core::Clock;
use anvilgw_quarantine::{Quarantine, Times};
use bytes::Bytes;
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::SecondaryMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Fraction of the bound on withdrawn keys for which a copy of the configuration is relied on. The
/// rest covers the duration of the read itself.
const CONFIGURATION_AGE_FRACTION: f64 = 0.86;
/// Share of the fleet's budgets that a daemon assumes before it knows its own.
const INITIAL_SHARE: f64 = 0.02;

/// What the daemon currently knows about the configuration, the backend servers and the fleet.
pub(crate) struct State {
    pub(crate) configuration: Option<Arc<Configuration>>,
    /// Age of the copy of the configuration, and whether it may be relied on.
    pub(crate) configuration_freshness: ConfigurationFreshness,
    pub(crate) servers: Servers,
    pub(crate) caches: CacheDirectory,
    /// Planned transfers of prompt parts. Empty unless load is controlled by the estimated start.
    pub(crate) links: LinkAccount,
    /// Estimated prefill rate of the engines, by service.
    pub(crate) prefill_rates: IndexMap<String, PrefillRate>,
    /// Load of the services. Empty unless load is controlled by the estimated start.
    pub(crate) loads: IndexMap<String, ServiceLoad>,
    /// Limits the engines' memory that new requests may take up.
    pub(crate) admission: MemoryAdmission,
    /// Role of this daemon in the fleet, once the members are known.
    pub(crate) role: Option<Role>,
    /// Members of the fleet.
    pub(crate) fleet: FleetView,
    /// Issues permits for the servers for which this daemon is the issuer.
    pub(crate) permit_issuer: PermitIssuer,
    /// Where this daemon reads changes of the metadata store: at the store itself or at another
    /// daemon.
    pub(crate) store_reads: StoreReads,
    /// Memory that the other daemons' requests take up on the engines, as they report it.
    pub(crate) peer_loads: PeerLoads,
    /// Copies of the metadata store's topics that other daemons read from this one.
    pub(crate) topic_logs: IndexMap<Topic, TopicLog>,
    /// Where each log of the metadata store was read last.
    pub(crate) log_reads: IndexMap<Topic, ReadOrigin>,
    /// When the metadata store's newest epoch was first seen.
    pub(crate) epoch_sighting: EpochSighting,
    /// When the announced weight switches were last read.
    pub(crate) switches_read_at: Duration,
    /// Whether the list of backend servers was read at least once.
    pub(crate) has_servers: bool,
    /// Since when the metadata store has served that list.
    pub(crate) store_availability: StoreAvailability,
    /// Whether other daemons are being asked about that.
    pub(crate) is_asking_others: bool,
    /// Prompt parts that are kept from backend servers.
    pub(crate) quarantine: Quarantine,
    /// Backend servers at which answers broke off, until it is known whether they ended.
    pub(crate) pending_ends: PendingEnds,
    /// Whether the evidence of the fleet was read, or could not be read, at least once.
    pub(crate) has_asked_for_evidence: bool,
    /// This daemon's share of the fleet's budgets, 0 to 1.
    pub(crate) share: f64,
    /// Versions of the weights that operators published, by model.
    pub(crate) weights: IndexMap<String, PublishedWeights>,
    /// Retry budgets, by service.
    pub(crate) budgets: IndexMap<String, RetryBudget>,
    /// Rollouts of software versions.
    pub(crate) rollouts: ServiceRollouts,
    pub(crate) rng: SmallRng,
}

/// Load of one service.
#[derive(Default)]
pub(crate) struct ServiceLoad {
    /// Speed of its engines.
    pub(crate) speed: ServiceSpeed,
    /// Control of its overload.
    pub(crate) overload: ServiceOverload,
    /// Shares of its requests that leave each failure domain.
    pub(crate) zones: ZoneChoice,
}

/// Implementations of the interfaces to the platform, and the clock.
pub struct Ports {
    /// Translates between request metadata and headers.
    pub codec: Box<dyn Codec>,
    /// The platform's metadata store.
    pub metadata_store: Box<dyn MetadataStore>,
    /// Client of the control interface of backend servers.
    pub order_client: Box<dyn OrderClient>,
    /// Client of the cache stores.
    pub cache_client: Box<dyn CacheClient>,
    /// Source of uptimes and of the wall-clock time in the log.
    pub clock: Arc<dyn Clock>,
}

/// Shared state and interfaces of one daemon.
pub(crate) struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) ports: Ports,
    pub(crate) state: RefCell<State>,
    pub(crate) pools: RefCell<SecondaryMap<ServerKey, Rc<Pool>>>,
    pub(crate) body_memory: BodyMemory,
    /// Requests permits from the daemons that issue them.
    pub(crate) permit_client: PermitClient,
    pub(crate) metrics: Metrics,
    /// Whether the daemon is shutting down. It is then not ready, and closes each connection after
    /// its request.
    pub(crate) is_draining: Cell<bool>,
    /// Whether new requests are refused because they might not end before the shutdown does.
    pub(crate) is_refusing: Cell<bool>,
    /// Whether the process is about to end, so that requests which still wait for an answer fail.
    pub(crate) is_ending: watch::Sender<bool>,
    pub(crate) requests_in_flight: Cell<usize>,
    /// Time after which idle connections of clients are closed.
    pub(crate) client_idle_timeout: watch::Sender<Duration>,
    /// Limit on the heads of clients' requests.
    pub(crate) client_header_max_bytes: watch::Sender<usize>,
    /// Notified when the set of cache stores to follow may have changed: after the first
    /// configuration or list of servers, and when the role has changed.
    pub(crate) cache_stores_changed: Notify,
    /// Notified when there is evidence to tell the other daemons.
    pub(crate) evidence_changed: Notify,
    /// Notified when another daemon has read evidence that this one reads from it.
    pub(crate) evidence_news: Notify,
    /// Notified when the role of this daemon in the fleet has changed.
    pub(crate) role_changed: Notify,
    /// Notified when an order or a status of a rollout changes.
    pub(crate) rollouts_changed: Notify,
    /// Random number that differs between starts of a daemon.
    pub(crate) start_id: u64,
    started_at: Duration,
    log: EventLog,
}

fn configuration_age_max(settings: &GatewaySettings) -> Duration {
    settings
        .bounds
        .key_revocation
        .mul_f64(CONFIGURATION_AGE_FRACTION)
}

impl Gateway {
    pub(crate) fn new(settings: GatewaySettings, ports: Ports, log: EventLog) -> Self {
        let started_at = ports.clock.uptime();
        let state = State {
            configuration: None,
            configuration_freshness: ConfigurationFreshness::new(configuration_age_max(&settings)),
            servers: Servers::default(),
            caches: CacheDirectory::default(),
            links: LinkAccount::default(),
            prefill_rates: IndexMap::new(),
            loads: IndexMap::new(),
            admission: MemoryAdmission::default(),
            role: None,
            fleet: FleetView::default(),
            permit_issuer: PermitIssuer::default(),
            store_reads: StoreReads::default(),
            peer_loads: PeerLoads::default(),
            topic_logs: IndexMap::new(),
            log_reads: IndexMap::new(),
            epoch_sighting: EpochSighting::default(),
            switches_read_at: Duration::ZERO,
            has_servers: false,
            store_availability: StoreAvailability::default(),
            is_asking_others: false,
            quarantine: Quarantine::new(rand::random()),
            pending_ends: PendingEnds::default(),
            has_asked_for_evidence: false,
            share: INITIAL_SHARE,
            weights: IndexMap::new(),
            budgets: IndexMap::new(),
            rollouts: ServiceRollouts::new(settings.bounds.rollouts),
            rng: SmallRng::seed_from_u64(rand::random()),
        };
        Self {
            body_memory: BodyMemory::new(settings.memory_max_bytes),
            settings,
            ports,
            state: RefCell::new(state),
            pools: RefCell::new(SecondaryMap::new()),
            permit_client: PermitClient::default(),
            metrics: Metrics::default(),
            is_draining: Cell::new(false),
            is_refusing: Cell::new(false),
            is_ending: watch::Sender::new(false),
            requests_in_flight: Cell::new(0),
            client_idle_timeout: watch::Sender::new(ClientLimits::default().close_idle_after()),
            client_header_max_bytes: watch::Sender::new(ClientLimits::default().header_max_bytes),
            cache_stores_changed: Notify::new(),
            evidence_changed: Notify::new(),
            evidence_news: Notify::new(),
            role_changed: Notify::new(),
            rollouts_changed: Notify::new(),
            start_id: rand::random(),
            started_at,
            log,
        }
    }

    pub(crate) fn old_part_times(&self) -> OldPartTimes {
        OldPartTimes {
            configuration_age_max: configuration_age_max(&self.settings),
            weight_switch: self.settings.bounds.weight_switch,
        }
    }

    /// Returns a pause with random jitter, so that the daemons do not act in step. `jitter` is the
    /// largest deviation as a fraction of the pause.
    pub(crate) fn jittered(&self, pause: Duration, jitter: f64) -> Duration {
        let rng = &mut self.state.borrow_mut().rng;
        pause.mul_f64(rng.random_range(1.0 - jitter..1.0 + jitter))
    }

    /// Returns whether load is controlled by the estimated start.
    pub(crate) fn is_start_controlled(&self) -> bool {
        self.settings.load_control == LoadControl::StartTime
    }

    pub(crate) fn now(&self) -> Duration {
        self.ports.clock.uptime()
    }

    pub(crate) fn times(&self) -> Times {
        Times {
            uptime: self.now(),
            wall_ms: self.ports.clock.wall_ms(),
        }
    }

    /// Adds records that this daemon read of a topic to the copy that it serves to other daemons,
    /// if it serves any.
    pub(crate) fn on_topic_read(
        &self,
        topic: Topic,
        from: LogPosition,
        records: &[Bytes],
        started_at: Duration,
    ) {
        let state = &mut *self.state.borrow_mut();
        if state.store_reads.serves_copies() {
            let log = state.topic_logs.entry(topic).or_default();
            log.on_read(from, records, started_at);
        }
    }

    /// Records where a log was read last, for the metrics.
    pub(crate) fn on_log_read(&self, topic: Topic, origin: &ReadOrigin) {
        self.on_epoch_seen(origin.next.epoch);
        let log_reads = &mut self.state.borrow_mut().log_reads;
        log_reads.insert(topic, origin.clone());
    }

    /// Records the epoch of an answer of the metadata store. Returns the time at which this daemon
    /// first received one of that epoch.
    pub(crate) fn on_epoch_seen(&self, epoch: StoreEpoch) -> Duration {
        let now = self.now();
        let sighting = &mut self.state.borrow_mut().epoch_sighting;
        sighting.on_answer(epoch, now);
        sighting.seen_at(epoch, now)
    }

    /// Logs that all records of a log were listed, and records where.
    pub(crate) fn on_log_listed(&self, topic: Topic, records: usize, origin: &ReadOrigin) {
        self.log_notable(&Event::LogListed {
            log: topic.name(),
            records,
            origin: origin.fields(self.now()),
        });
        self.on_log_read(topic, origin);
    }

    /// Returns the time since the start of the daemon.
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

    /// Returns whether the load balancer should send new connections, and why.
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
        if !state.has_asked_for_evidence {
            return (false, "no evidence on prompts yet");
        }
        if !state.rollouts.has_statuses() {
            return (false, "no list of rollout statuses yet");
        }
        if !state.configuration_freshness.is_current(self.now()) {
            return (false, "the copy of the configuration is too old");
        }
        (true, "serving")
    }

    /// Returns whether the copies of the orders and statuses of rollouts are recent enough for
    /// requests to a version that is not in force.
    pub(crate) fn are_rollouts_fresh(&self) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        let freshness = &state.configuration_freshness;
        let statuses = state.rollouts.statuses_verified_at();
        let has_recent = |at: Duration| now.saturating_sub(at) < freshness.limit();
        freshness.is_current(now) && statuses.is_some_and(has_recent)
    }

    /// Returns the connection pool of a backend server, which is created on first use.
    pub(crate) fn pool(&self, key: ServerKey) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get(key) {
            return Rc::clone(pool);
        }
        let pool = Rc::new(Pool::default());
        pools.insert(key, Rc::clone(&pool));
        pool
    }

    /// Returns how many connections of clients may be open.
    pub(crate) fn client_connections_max(&self) -> usize {
        let count = client_connections_max(self.settings.descriptors_max);
        count.min(self.body_memory.connections_max())
    }

    /// Returns how many connections this daemon may have open to one backend server of a service:
    /// its share of the server's limit, but at least two.
    pub(crate) fn connections_max(&self, service: &Service) -> usize {
        /// Fraction of the servers' limit that the fleet uses. The rest covers changes of shares
        /// and connections that are still being closed.
        const USED_FRACTION: f64 = 0.8;
        let share = self.state.borrow().share;
        let limit = f64::from(service.connections_max) * share * USED_FRACTION;
        (limit as usize).max(2)
    }

    /// Credits the retry budget of a service with a request's first attempt.
    pub(crate) fn record_first_attempt(&self, service: &str) {
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

    /// Spends one retry from the budget of a service, and returns whether one was left.
    pub(crate) fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let share = state.share;
        state
            .budgets
            .get_mut(service)
            .is_some_and(|budget| budget.take(share, now))
    }

    /// Returns a retry that was not sent to the budget of a service.
    pub(crate) fn return_retry(&self, service: &str) {
        let state = &mut *self.state.borrow_mut();
        let share = state.share;
        if let Some(budget) = state.budgets.get_mut(service) {
            budget.put_back(share);
        }
    }
}
