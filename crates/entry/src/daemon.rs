//! Start and shutdown of the entry daemon and the services that it consists of.

use crate::admin;
use crate::backends::Backends;
use crate::context::{Context, WorkspaceCounts, new_retry_budget};
use crate::duties::admission::AdmissionService;
use crate::duties::block_export::{BlockExportDependencies, BlockExportService};
use crate::duties::claims::ClaimsService;
use crate::duties::control::{ControlDependencies, ControlService, SharedBudgets};
use crate::duties::quarantine::QuarantineService;
use crate::duties::routing::RoutingService;
use crate::explain::ExplainStore;
use crate::front::{self, ServerLimits};
use crate::keys::KeyTable;
use crate::log_client::FailoverLog;
use crate::observe::{LogTarget, LoggingError, Metrics, Tracing, logger};
use crate::peer::{self, PeerClient};
use crate::setup::{admission_settings, claims_setup, control_setup, routing_setup};
use crate::tasks::{apply_config, polls};
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

/// Number of events that the journal keeps for the status of the daemon.
const JOURNAL_CAPACITY: usize = 1024;
/// Interval at which a draining daemon checks for open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time that a drained daemon waits for callers' connections to close.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Index in [`Daemon::servers`] of the server for callers.
const CALLER_SERVER: usize = 0;

quick_error! {
    /// Why a daemon did not start.
    #[derive(Debug)]
    pub enum StartError {
        /// The daemon cannot listen on one of its addresses.
        Listen(address: SocketAddr, source: io::Error) {
            display("cannot listen on {}: {}", address, source)
            source(source)
        }
        /// The operating system refused a thread or socket.
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
        /// Two services were registered under the same name.
        Registry(source: RegistryError) {
            display("{}", source)
            source(source)
            from()
        }
        /// The settings contain an unknown log level.
        LogLevel(name: String) { display("unknown log level {:?}", name) }
    }
}

/// Result of [`Daemon::shutdown`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Number of requests that were still open when the drain ended; their answers were truncated.
    pub interrupted: usize,
}

/// A running entry daemon with its servers, tasks and worker threads.
pub struct Daemon {
    context: Arc<Context>,
    registry: Arc<Registry>,
    stop_workers: StopSignal,
    stop_accepting: watch::Sender<bool>,
    stop_tasks: watch::Sender<bool>,
    servers: Vec<JoinHandle<()>>,
    worker_threads: Vec<WorkerThread>,
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
    block_export: Arc<BlockExportService>,
    claims: Arc<ClaimsService>,
    quarantine: Arc<QuarantineService>,
    control: Arc<ControlService>,
    budgets: Arc<SharedBudgets>,
    peers: Arc<PeerClient>,
}

/// Dependencies that the services of a daemon share.
pub(crate) struct ServiceDependencies {
    pub(crate) settings: Arc<Settings>,
    clock: Arc<dyn Clock>,
    journal: Arc<Journal>,
    log: Arc<dyn LogService>,
    pub(crate) daemon: DaemonId,
    stop_workers: StopSignal,
}

impl Daemon {
    /// Starts a daemon on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if an address, a thread or a log file cannot be obtained. Nothing keeps
    /// running in that case.
    pub async fn start(settings: Settings, clock: Arc<dyn Clock>) -> Result<Self, StartError> {
        let log = Arc::new(FailoverLog::new(&settings.log, &Handle::current()));
        Self::start_with_log(settings, clock, log).await
    }

    /// Starts a daemon that uses the given log service.
    ///
    /// # Errors
    ///
    /// Fails for the same reasons as [`Daemon::start`].
    pub async fn start_with_log(
        settings: Settings,
        clock: Arc<dyn Clock>,
        log: Arc<dyn LogService>,
    ) -> Result<Self, StartError> {
        let sockets = listen(&settings).await?;
        let dependencies = ServiceDependencies {
            daemon: DaemonId {
                index: settings.daemon.index,
                incarnation: clock.wall_ms(),
            },
            settings: Arc::new(settings),
            clock,
            journal: Arc::new(Journal::new(JOURNAL_CAPACITY)),
            log,
            stop_workers: StopSignal::new(),
        };
        let registry = Arc::new(Registry::new());
        let mut worker_threads = Vec::new();
        let services = start_services(&dependencies, sockets.datagrams, &mut worker_threads)?;
        register(&registry, &services, &dependencies.journal)?;
        let context = Arc::new(build_context(&dependencies, &services)?);
        let (stop_accepting, stop_accepting_receiver) = watch::channel(false);
        let (stop_tasks, stop_tasks_receiver) = watch::channel(false);
        polls::start(&context, &stop_tasks_receiver);
        apply_config::start(&context, &stop_tasks_receiver);
        let servers = serve(
            &context,
            (sockets.callers, sockets.admin, sockets.peers),
            &stop_accepting_receiver,
            &stop_tasks_receiver,
        );
        spdlog::info!(logger: context.logger, "daemon started", kv: {
            daemon = dependencies.daemon.to_string().as_str(),
            services = registry.names().join(",").as_str(),
        });
        Ok(Self {
            context,
            registry,
            stop_workers: dependencies.stop_workers,
            stop_accepting,
            stop_tasks,
            servers,
            worker_threads,
        })
    }

    /// Returns whether the readiness endpoint reports the daemon as ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let draining = self.context.draining.load(Ordering::Acquire);
        !draining && self.context.config_for_new_work(Stage::Received).is_ok()
    }

    /// Returns the names of the registered services.
    #[must_use]
    pub fn services(&self) -> Vec<&'static str> {
        self.registry.names()
    }

    /// Returns the version of the configuration in force; 0 before the first one was read.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.context.control.config().version
    }

    /// Returns the number of members of the current epoch. A daemon starts to use its shares of
    /// fleet-wide budgets, such as permits for cold backend servers, some seconds after it learns
    /// of the epoch.
    #[must_use]
    pub fn epoch_members(&self) -> usize {
        self.context.control.view().epoch.members.len()
    }

    /// Drains and stops the daemon.
    ///
    /// The daemon reports that it is not ready, waits until the load balancer has noticed, stops
    /// accepting connections, waits for open requests and leaves the fleet. The drain ends early
    /// when `abort` becomes true.
    pub async fn shutdown(mut self, mut abort: watch::Receiver<bool>) -> Shutdown {
        let context = Arc::clone(&self.context);
        context.draining.store(true, Ordering::Release);
        let wall_ms = context.clock.wall_ms();
        let cause = "shutdown was requested";
        context
            .journal
            .record(wall_ms, EventKind::Draining, "daemon", cause);
        let settings = &context.settings.daemon;
        let balancer_lag = Duration::from_millis(settings.balancer_lag_ms);
        let drain_limit = Duration::from_millis(settings.drain_ms);
        tokio::select! {
            () = drain(&context, &self.stop_accepting, balancer_lag, drain_limit) => {}
            _ = abort.wait_for(|abort| *abort) => {}
        }
        let interrupted = context.open_requests.load(Ordering::Acquire);
        context.control.leave().await;
        if interrupted == 0 {
            // The last bytes of the answers may not have been sent to the callers yet.
            let callers = self.servers.remove(CALLER_SERVER);
            let _ = tokio::time::timeout(FLUSH_TIMEOUT, callers).await;
        }
        self.halt().await;
        Shutdown { interrupted }
    }

    /// Stops the daemon at once, without a drain and without leaving the fleet, as a crash does.
    pub async fn kill(self) {
        self.halt().await;
    }

    async fn halt(self) {
        self.stop_accepting.send_replace(true);
        self.stop_tasks.send_replace(true);
        self.stop_workers.raise();
        for server in self.servers {
            server.abort();
            let _ = server.await;
        }
        self.context.tracing.shutdown();
        let worker_threads = self.worker_threads;
        let joined = tokio::task::spawn_blocking(move || {
            worker_threads
                .into_iter()
                .filter(|thread| !thread.has_ended())
                .map(|thread| (thread.name(), thread.join()))
                .filter(|(_, ended_normally)| !ended_normally)
                .map(|(name, _)| name)
                .collect::<Vec<_>>()
        });
        for name in joined.await.unwrap_or_default() {
            spdlog::error!(logger: self.context.logger, "duty panicked", kv: { duty = name });
        }
    }
}

/// Waits until the load balancer has noticed the drain, stops accepting connections and waits for
/// open requests, for at most `drain_limit`.
async fn drain(
    context: &Context,
    stop_accepting: &watch::Sender<bool>,
    balancer_lag: Duration,
    drain_limit: Duration,
) {
    tokio::time::sleep(balancer_lag).await;
    stop_accepting.send_replace(true);
    let end = context.clock.uptime() + drain_limit;
    while context.open_requests.load(Ordering::Acquire) > 0 && context.clock.uptime() < end {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
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
    dependencies: &ServiceDependencies,
    datagrams: UdpSocket,
    worker_threads: &mut Vec<WorkerThread>,
) -> Result<Services, StartError> {
    let peers = Arc::new(PeerClient::default());
    let backends = Arc::new(Backends::new(&dependencies.settings));
    let control_dependencies = ControlDependencies {
        log: Arc::clone(&dependencies.log),
        socket: datagrams,
        peers: Arc::clone(&peers),
        runtime: Handle::current(),
        clock: Arc::clone(&dependencies.clock),
        journal: Arc::clone(&dependencies.journal),
    };
    let control = ControlService::start(
        control_setup(dependencies),
        control_dependencies,
        &dependencies.stop_workers,
    )?;
    worker_threads.extend(control.worker_threads);
    let (admission, worker_thread) = AdmissionService::start(
        admission_settings(&dependencies.settings),
        Arc::clone(&dependencies.clock),
        dependencies.stop_workers.clone(),
    )?;
    worker_threads.push(worker_thread);
    let (routing, worker_thread) = RoutingService::start(
        routing_setup(dependencies),
        Arc::clone(&control.budgets),
        Arc::clone(&dependencies.clock),
        Arc::clone(&dependencies.journal),
        dependencies.stop_workers.clone(),
    )?;
    worker_threads.push(worker_thread);
    let routing = Arc::new(routing);
    let export_dependencies = BlockExportDependencies {
        settings: Arc::clone(&dependencies.settings),
        backends: Arc::clone(&backends),
        routing: Arc::clone(&routing),
        runtime: Handle::current(),
    };
    let (block_export, worker_thread) =
        BlockExportService::start(export_dependencies, dependencies.stop_workers.clone())?;
    worker_threads.push(worker_thread);
    let (claims, worker_thread) = ClaimsService::start(
        claims_setup(dependencies),
        Arc::clone(&dependencies.log),
        Arc::clone(&dependencies.clock),
        Arc::clone(&dependencies.journal),
        &dependencies.stop_workers,
    )?;
    worker_threads.push(worker_thread);
    Ok(Services {
        backends,
        admission: Arc::new(admission),
        routing,
        block_export: Arc::new(block_export),
        claims: Arc::new(claims),
        quarantine: start_quarantine(dependencies, worker_threads)?,
        control: Arc::new(control.service),
        budgets: control.budgets,
        peers,
    })
}

fn start_quarantine(
    dependencies: &ServiceDependencies,
    worker_threads: &mut Vec<WorkerThread>,
) -> Result<Arc<QuarantineService>, StartError> {
    let (quarantine, worker_thread) = QuarantineService::start(
        dependencies.settings.log.stream_name("quarantine"),
        Arc::clone(&dependencies.log),
        Arc::clone(&dependencies.clock),
        Arc::clone(&dependencies.journal),
        dependencies.stop_workers.clone(),
    )?;
    worker_threads.push(worker_thread);
    Ok(quarantine)
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
    registry.register("keeping", Arc::clone(&services.block_export))?;
    registry.register("claims", Arc::clone(&services.claims))?;
    registry.register("quarantine", Arc::clone(&services.quarantine))?;
    registry.register("peers", Arc::clone(&services.peers))?;
    registry.register("journal", Arc::clone(journal))
}

fn build_context(
    dependencies: &ServiceDependencies,
    services: &Services,
) -> Result<Context, StartError> {
    let settings = &dependencies.settings;
    let logger = open_log(settings, "anvilgw", &settings.logging.output)?;
    let trace_log = match &settings.trace.output {
        Output::None => None,
        output => Some(open_log(settings, "trace", output)?),
    };
    let metrics = Metrics::new(&settings.metrics, settings.daemon.index)?;
    Ok(Context {
        daemon: dependencies.daemon,
        clock: Arc::clone(&dependencies.clock),
        journal: Arc::clone(&dependencies.journal),
        metrics: Arc::new(metrics),
        tracing: Arc::new(Tracing::new(trace_log, settings.trace.sample_percent)),
        logger,
        workspace_keys: key_table(&settings.keys),
        operator_keys: key_table(&settings.operators),
        backends: Arc::clone(&services.backends),
        admission: Arc::clone(&services.admission),
        routing: Arc::clone(&services.routing),
        block_export: Arc::clone(&services.block_export),
        claims: Arc::clone(&services.claims),
        quarantine: Arc::clone(&services.quarantine),
        control: Arc::clone(&services.control),
        budgets: Arc::clone(&services.budgets),
        peers: Arc::clone(&services.peers),
        explain: ExplainStore::default(),
        retry_budget: new_retry_budget(dependencies.clock.uptime()),
        last_attempt: AtomicU64::new(0),
        open_requests: Arc::new(AtomicUsize::new(0)),
        workspace_requests: WorkspaceCounts::new(settings.keys.len()),
        workspace_streams: WorkspaceCounts::new(settings.keys.len()),
        config_applied: AtomicBool::new(false),
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
            .flat_map(|(index, hashes)| hashes.iter().map(move |hash| (*hash, index))),
    )
}

fn serve(
    context: &Arc<Context>,
    (callers, admin, peers): (TcpListener, TcpListener, TcpListener),
    stop_accepting: &watch::Receiver<bool>,
    stop_tasks: &watch::Receiver<bool>,
) -> Vec<JoinHandle<()>> {
    let limits = &context.settings.limits;
    let limits = ServerLimits {
        header_bytes: limits.header_bytes,
        header_read: Duration::from_millis(limits.request_read_ms),
        connections: limits.connections as usize,
    };
    let handler = Arc::new(peer::PeerRequestHandler {
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
            stop_accepting.clone(),
            stop_tasks.clone(),
        )),
        tokio::spawn(front::serve(
            admin,
            admin_routes,
            limits,
            stop_tasks.clone(),
            stop_tasks.clone(),
        )),
        tokio::spawn(peer::serve(peers, handler, stop_tasks.clone())),
    ]
}
