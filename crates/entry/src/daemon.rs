//! Start and shutdown of the entry daemon.

mod build_context;
mod servers;
mod services;
mod start_error;

pub(crate) use services::ServiceDependencies;
pub use start_error::StartError;

use self::build_context::build_context;
use self::servers::{listen, serve};
use self::services::{register, start_services};
use crate::context::Context;
use crate::log_client::FailoverLog;
use crate::tasks::{apply_config, polls};
use anvilgw_config::Settings;
use anvilgw_core::{Clock, DaemonId, LogService, Stage};
use anvilgw_kernel::{EventKind, Journal, Registry, StopSignal, WorkerThread};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Number of events that the journal keeps for the status of the daemon.
const JOURNAL_CAPACITY: usize = 1024;
/// Interval at which a draining daemon checks for open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Index in [`Daemon::servers`] of the server for callers.
const CALLER_SERVER: usize = 0;

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
    /// accepting connections, waits until the answers of all open requests are sent and leaves the
    /// fleet. The drain ends early when `abort` becomes true.
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
        let mut callers = self.servers.remove(CALLER_SERVER);
        let drained = async {
            tokio::time::sleep(balancer_lag).await;
            self.stop_accepting.send_replace(true);
            let _ = tokio::time::timeout(drain_limit, drain(&context, &mut callers)).await;
        };
        tokio::select! {
            () = drained => {}
            _ = abort.wait_for(|abort| *abort) => {}
        }
        let interrupted = context.open_requests.load(Ordering::Acquire);
        context.control.leave().await;
        callers.abort();
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

/// Waits until no request is open and the server for callers has sent all answers.
async fn drain(context: &Context, callers: &mut JoinHandle<()>) {
    // Non-idempotent calls go on after their callers have closed the connection.
    while context.open_requests.load(Ordering::Acquire) > 0 {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    // The server ends when its last connection does. A caller may read a whole answer slowly.
    let _ = callers.await;
}
