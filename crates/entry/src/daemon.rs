//! Assembly, start and shutdown of a daemon.

use crate::admin;
use crate::backends::Backends;
use crate::context::{Context, WorkspaceCounts, retry_budget};
use crate::duties::admission::AdmissionService;
use crate::duties::claims::ClaimsService;
use crate::duties::control::{ControlParts, ControlService, SharedBudgets};
use crate::duties::keeping::{KeepingParts, KeepingService};
use crate::duties::routing::RoutingService;
use crate::explain::ExplainStore;
use crate::front::{self, ServerLimits};
use crate::keys::KeyTable;
use crate::log_client::FailoverLog;
use crate::observe::{LogTarget, LoggingError, Metrics, Tracing, logger};
use crate::peer::{self, PeerClient};
use crate::setup::{admission_settings, claims_setup, control_setup, routing_setup};
use crate::tasks::{apply, polls};
use anvilgw_config::{KeyHash, Output, Settings};
use anvilgw_core::{Clock, DaemonId, LogService, Stage};
use anvilgw_kernel::{EventKind, Journal, Registry, RegistryError, StopSignal, WorkerThread};
use indexmap::IndexMap;
use quick_error::quick_error;
use spdlog::{Level, Logger};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Events kept for `status`.
const JOURNAL_CAPACITY: usize = 1024;
/// Interval in which a draining daemon looks for open requests.
const DRAIN_TICK: Duration = Duration::from_millis(20);
/// Longest wait for the connections of a drained daemon to close.
const FLUSH_LIMIT: Duration = Duration::from_secs(1);
/// Position of the callers' server.
const CALLERS: usize = 0;

quick_error! {
    /// Why a daemon did not start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address cannot be used.
        Listen(address: SocketAddr, source: io::Error) {
            display("cannot listen on {}: {}", address, source)
            source(source)
        }
        /// A thread or socket was refused.
        Io(source: io::Error) {
            display("cannot start: {}", source)
            source(source)
            from()
        }
        /// The log file cannot be opened.
        Logging(source: LoggingError) {
            display("{}", source)
            source(source)
            from()
        }
        /// Two services have one name.
        Registry(source: RegistryError) {
            display("{}", source)
            source(source)
            from()
        }
        /// The settings name an unknown log level.
        LogLevel(name: String) { display("unknown log level {:?}", name) }
    }
}

/// How a daemon ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Requests that were still open when the drain ended.
    pub interrupted: usize,
}

/// A running daemon.
pub struct Daemon {
    context: Arc<Context>,
    registry: Arc<Registry>,
    stop: StopSignal,
    accepting: watch::Sender<bool>,
    stopping: watch::Sender<bool>,
    servers: Vec<JoinHandle<()>>,
    duties: Vec<WorkerThread>,
}

struct Sockets {
    callers: TcpListener,
    admin: TcpListener,
    peers: TcpListener,
    datagrams: UdpSocket,
}

struct Services {
    backends: Arc<Backends>,
    admission: Arc<AdmissionService>,
    routing: Arc<RoutingService>,
    keeping: Arc<KeepingService>,
    claims: Arc<ClaimsService>,
    control: Arc<ControlService>,
    budgets: Arc<SharedBudgets>,
    peers: Arc<PeerClient>,
}

/// What all services are built from.
pub(crate) struct Base {
    pub(crate) settings: Arc<Settings>,
    clock: Arc<dyn Clock>,
    journal: Arc<Journal>,
    log: Arc<dyn LogService>,
    pub(crate) daemon: DaemonId,
    stop: StopSignal,
}

impl Daemon {
    /// Starts a daemon on the current runtime.
    ///
    /// # Errors
    ///
    /// The reason if an address, thread or log file cannot be had. Nothing keeps running then.
    pub async fn start(settings: Settings, clock: Arc<dyn Clock>) -> Result<Self, StartError> {
        let log = Arc::new(FailoverLog::new(&settings.log, &Handle::current()));
        Self::start_with_log(settings, clock, log).await
    }

    /// Starts a daemon that uses the given log service.
    ///
    /// # Errors
    ///
    /// As [`Daemon::start`].
    pub async fn start_with_log(
        settings: Settings,
        clock: Arc<dyn Clock>,
        log: Arc<dyn LogService>,
    ) -> Result<Self, StartError> {
        let sockets = listen(&settings).await?;
        let base = Base {
            daemon: DaemonId {
                index: settings.daemon.index,
                incarnation: clock.wall_ms(),
            },
            settings: Arc::new(settings),
            clock,
            journal: Arc::new(Journal::new(JOURNAL_CAPACITY)),
            log,
            stop: StopSignal::new(),
        };
        let registry = Arc::new(Registry::new());
        let mut duties = Vec::new();
        let services = start_services(&base, sockets.datagrams, &mut duties)?;
        register(&registry, &services, &base.journal)?;
        let context = Arc::new(build_context(&base, &services)?);
        let (accepting, accepting_seen) = watch::channel(false);
        let (stopping, stopping_seen) = watch::channel(false);
        polls::start(&context, &stopping_seen);
        apply::start(&context, &stopping_seen);
        let servers = serve(
            &context,
            (sockets.callers, sockets.admin, sockets.peers),
            &accepting_seen,
            &stopping_seen,
        );
        spdlog::info!(logger: context.logger, "daemon started", kv: {
            daemon = base.daemon.to_string().as_str(),
            services = registry.names().join(",").as_str(),
        });
        Ok(Self {
            context,
            registry,
            stop: base.stop,
            accepting,
            stopping,
            servers,
            duties,
        })
    }

    /// Whether the daemon would be told ready by its readiness endpoint.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let draining = self.context.draining.load(Ordering::Acquire);
        !draining && self.context.config_for_new_work(Stage::Received).is_ok()
    }

    /// Names of its services.
    #[must_use]
    pub fn services(&self) -> Vec<&'static str> {
        self.registry.names()
    }

    /// Version of the configuration in force.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.context.control.config().version
    }

    /// Members of the current epoch. A daemon uses shares of fleet-wide budgets, such as permits for
    /// cold backend servers, some seconds after it learns of the epoch.
    #[must_use]
    pub fn epoch_members(&self) -> usize {
        self.context.control.view().epoch.members.len()
    }

    /// Drains and stops: readiness off, the balancer's lag, open requests, membership. `abort` turning
    /// true ends the drain early.
    pub async fn shutdown(mut self, mut abort: watch::Receiver<bool>) -> Shutdown {
        let context = Arc::clone(&self.context);
        context.draining.store(true, Ordering::Release);
        let wall_ms = context.clock.wall_ms();
        let cause = "shutdown was requested";
        context
            .journal
            .record(wall_ms, EventKind::Draining, "daemon", cause);
        let settings = &context.settings.daemon;
        let lag = Duration::from_millis(settings.balancer_lag_ms);
        let drain = Duration::from_millis(settings.drain_ms);
        tokio::select! {
            () = drained(&context, &self.accepting, lag, drain) => {}
            _ = abort.wait_for(|abort| *abort) => {}
        }
        let interrupted = context.open.load(Ordering::Acquire);
        context.control.leave().await;
        if interrupted == 0 {
            // The ends of the last answers may still be on their way to the callers.
            let callers = self.servers.remove(CALLERS);
            let _ = tokio::time::timeout(FLUSH_LIMIT, callers).await;
        }
        self.halt().await;
        Shutdown { interrupted }
    }

    /// Stops at once, as a crash would.
    pub async fn kill(self) {
        self.halt().await;
    }

    async fn halt(self) {
        self.accepting.send_replace(true);
        self.stopping.send_replace(true);
        self.stop.raise();
        for server in self.servers {
            server.abort();
            let _ = server.await;
        }
        self.context.tracing.shutdown();
        let duties = self.duties;
        let joined = tokio::task::spawn_blocking(move || {
            duties
                .into_iter()
                .filter(|duty| !duty.has_ended())
                .map(|duty| (duty.name(), duty.join()))
                .filter(|(_, ended_well)| !ended_well)
                .map(|(name, _)| name)
                .collect::<Vec<_>>()
        });
        for name in joined.await.unwrap_or_default() {
            spdlog::error!(logger: self.context.logger, "duty panicked", kv: { duty = name });
        }
    }
}

/// Waits for the balancer to notice, stops accepting and waits for the open requests.
async fn drained(
    context: &Context,
    accepting: &watch::Sender<bool>,
    lag: Duration,
    drain: Duration,
) {
    tokio::time::sleep(lag).await;
    accepting.send_replace(true);
    let end = context.clock.uptime() + drain;
    while context.open.load(Ordering::Acquire) > 0 && context.clock.uptime() < end {
        tokio::time::sleep(DRAIN_TICK).await;
    }
}

async fn listen(settings: &Settings) -> Result<Sockets, StartError> {
    let daemon = &settings.daemon;
    let bind = async |address: SocketAddr| {
        TcpListener::bind(address)
            .await
            .map_err(|source| StartError::Listen(address, source))
    };
    Ok(Sockets {
        callers: bind(daemon.listen).await?,
        admin: bind(daemon.admin_listen).await?,
        peers: bind(daemon.peer_listen).await?,
        datagrams: UdpSocket::bind(daemon.peer_listen)
            .map_err(|source| StartError::Listen(daemon.peer_listen, source))?,
    })
}

fn start_services(
    base: &Base,
    datagrams: UdpSocket,
    duties: &mut Vec<WorkerThread>,
) -> Result<Services, StartError> {
    let peers = Arc::new(PeerClient::default());
    let backends = Arc::new(Backends::new(&base.settings));
    let parts = ControlParts {
        log: Arc::clone(&base.log),
        socket: datagrams,
        peers: Arc::clone(&peers),
        runtime: Handle::current(),
        clock: Arc::clone(&base.clock),
        journal: Arc::clone(&base.journal),
    };
    let control = ControlService::start(control_setup(base), parts, &base.stop)?;
    duties.extend(control.duties);
    let (admission, duty) = AdmissionService::start(
        admission_settings(&base.settings),
        Arc::clone(&base.clock),
        base.stop.clone(),
    )?;
    duties.push(duty);
    let (routing, duty) = RoutingService::start(
        routing_setup(base),
        Arc::clone(&control.budgets),
        Arc::clone(&base.clock),
        Arc::clone(&base.journal),
        base.stop.clone(),
    )?;
    duties.push(duty);
    let routing = Arc::new(routing);
    let parts = KeepingParts {
        settings: Arc::clone(&base.settings),
        backends: Arc::clone(&backends),
        routing: Arc::clone(&routing),
        runtime: Handle::current(),
    };
    let (keeping, duty) = KeepingService::start(parts, base.stop.clone())?;
    duties.push(duty);
    let (claims, duty) = ClaimsService::start(
        claims_setup(base),
        Arc::clone(&base.log),
        Arc::clone(&base.clock),
        Arc::clone(&base.journal),
        &base.stop,
    )?;
    duties.push(duty);
    Ok(Services {
        backends,
        admission: Arc::new(admission),
        routing,
        keeping: Arc::new(keeping),
        claims: Arc::new(claims),
        control: Arc::new(control.service),
        budgets: control.budgets,
        peers,
    })
}

fn register(
    registry: &Registry,
    services: &Services,
    journal: &Arc<Journal>,
) -> Result<(), RegistryError> {
    registry.register("control", Arc::clone(&services.control))?;
    registry.register("budgets", Arc::clone(&services.budgets))?;
    registry.register("admission", Arc::clone(&services.admission))?;
    registry.register("routing", Arc::clone(&services.routing))?;
    registry.register("keeping", Arc::clone(&services.keeping))?;
    registry.register("claims", Arc::clone(&services.claims))?;
    registry.register("peers", Arc::clone(&services.peers))?;
    registry.register("journal", Arc::clone(journal))
}

fn build_context(base: &Base, services: &Services) -> Result<Context, StartError> {
    let settings = &base.settings;
    let logger = open_log(settings, "anvilgw", &settings.logging.output)?;
    let trace_log = match &settings.trace.output {
        Output::None => None,
        output => Some(open_log(settings, "trace", output)?),
    };
    let metrics = Metrics::new(&settings.metrics, settings.daemon.index)?;
    Ok(Context {
        daemon: base.daemon,
        clock: Arc::clone(&base.clock),
        journal: Arc::clone(&base.journal),
        metrics: Arc::new(metrics),
        tracing: Arc::new(Tracing::new(trace_log, settings.trace.sample_percent)),
        logger,
        workspace_keys: key_table(&settings.keys),
        operator_keys: key_table(&settings.operators),
        backends: Arc::clone(&services.backends),
        admission: Arc::clone(&services.admission),
        routing: Arc::clone(&services.routing),
        keeping: Arc::clone(&services.keeping),
        claims: Arc::clone(&services.claims),
        control: Arc::clone(&services.control),
        budgets: Arc::clone(&services.budgets),
        peers: Arc::clone(&services.peers),
        explain: ExplainStore::default(),
        retries: retry_budget(base.clock.uptime()),
        attempts: AtomicU64::new(0),
        open: Arc::new(AtomicUsize::new(0)),
        workspace_requests: WorkspaceCounts::new(settings.keys.len()),
        workspace_streams: WorkspaceCounts::new(settings.keys.len()),
        applied: AtomicBool::new(false),
        draining: AtomicBool::new(false),
        settings: Arc::clone(settings),
    })
}

fn open_log(settings: &Settings, name: &str, output: &Output) -> Result<Arc<Logger>, StartError> {
    let level_name = &settings.logging.level;
    let level = Level::iter()
        .find(|level| level.as_str().eq_ignore_ascii_case(level_name))
        .ok_or_else(|| StartError::LogLevel(level_name.clone()))?;
    let target = match output {
        Output::None => LogTarget::Discard,
        Output::Stderr => LogTarget::Stderr,
        Output::File(path) => LogTarget::File(path.clone()),
    };
    Ok(logger(name, level, &target)?)
}

fn key_table(keys: &IndexMap<String, Vec<KeyHash>>) -> KeyTable {
    KeyTable::new(
        (0..)
            .zip(keys.values())
            .flat_map(|(holder, hashes)| hashes.iter().map(move |hash| (*hash, holder))),
    )
}

fn serve(
    context: &Arc<Context>,
    (callers, admin, peers): (TcpListener, TcpListener, TcpListener),
    accepting: &watch::Receiver<bool>,
    stopping: &watch::Receiver<bool>,
) -> Vec<JoinHandle<()>> {
    let limits = &context.settings.limits;
    let limits = ServerLimits {
        header_bytes: limits.header_bytes,
        header_read: Duration::from_millis(limits.request_read_ms),
        connections: limits.connections as usize,
    };
    let handler = Arc::new(peer::Handler {
        claims: Arc::clone(&context.claims),
        control: Arc::clone(&context.control),
        budgets: Arc::clone(&context.budgets),
    });
    let caller_routes = front::router(Arc::clone(context));
    let admin_routes = admin::router(Arc::clone(context));
    vec![
        tokio::spawn(front::serve(
            callers,
            caller_routes,
            limits,
            accepting.clone(),
            stopping.clone(),
        )),
        tokio::spawn(front::serve(
            admin,
            admin_routes,
            limits,
            stopping.clone(),
            stopping.clone(),
        )),
        tokio::spawn(peer::serve(peers, handler, stopping.clone())),
    ]
}
