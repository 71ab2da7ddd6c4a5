//! What every request handler can reach.

use crate::backends::{Backend, Backends};
use crate::duties::admission::AdmissionService;
use crate::duties::block_export::BlockExportService;
use crate::duties::claims::ClaimsService;
use crate::duties::control::{BudgetKind, ControlService, MILLI, SharedBudgets};
use crate::duties::routing::RoutingService;
use crate::explain::ExplainStore;
use crate::keys::KeyTable;
use crate::observe::{Metrics, TraceSpan, Tracing};
use crate::peer::PeerClient;
use anvilgw_config::{ConfigState, Settings};
use anvilgw_core::{AttemptId, Clock, DaemonId, ErrorKind, Failure, RequestId, Stage, WorkspaceId};
use anvilgw_kernel::Journal;
use anvilgw_router::{FailedAttempt, RetryBudget, RetrySettings};
use rand::RngExt;
use spdlog::Logger;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Mean pause between two looks for a backend server with capacity. Permits of cold servers move
/// between daemons within a few hundred milliseconds.
const CAPACITY_PAUSE: Duration = Duration::from_millis(20);

/// Services and settings of the daemon.
pub(crate) struct Context {
    /// This daemon.
    pub(crate) daemon: DaemonId,
    /// Settings.
    pub(crate) settings: Arc<Settings>,
    /// Clock.
    pub(crate) clock: Arc<dyn Clock>,
    /// Journal.
    pub(crate) journal: Arc<Journal>,
    /// Metrics.
    pub(crate) metrics: Arc<Metrics>,
    /// Traces.
    pub(crate) tracing: Arc<Tracing>,
    /// Log.
    pub(crate) logger: Arc<Logger>,
    /// Keys of the workspaces.
    pub(crate) workspace_keys: KeyTable,
    /// Keys of the operators.
    pub(crate) operator_keys: KeyTable,
    /// Backend servers.
    pub(crate) backends: Arc<Backends>,
    /// Admission.
    pub(crate) admission: Arc<AdmissionService>,
    /// Routing.
    pub(crate) routing: Arc<RoutingService>,
    /// Keeping of prompts in stores.
    pub(crate) block_export: Arc<BlockExportService>,
    /// Claims.
    pub(crate) claims: Arc<ClaimsService>,
    /// Control.
    pub(crate) control: Arc<ControlService>,
    /// Shares of the budgets.
    pub(crate) budgets: Arc<SharedBudgets>,
    /// Calls to other daemons.
    pub(crate) peers: Arc<PeerClient>,
    /// Explanations of recent requests.
    pub(crate) explain: ExplainStore,
    /// Retry budget.
    pub(crate) retries: Mutex<RetryBudget>,
    /// Numbers of attempts.
    pub(crate) attempts: AtomicU64,
    /// Requests from their receipt to the end of their answer.
    pub(crate) open_requests: Arc<AtomicUsize>,
    /// Open requests of each workspace.
    pub(crate) workspace_requests: WorkspaceCounts,
    /// Open streams of each workspace.
    pub(crate) workspace_streams: WorkspaceCounts,
    /// Whether the first configuration was passed on to admission and routing. Until then admission
    /// knows no workspace.
    pub(crate) applied: AtomicBool,
    /// Whether the daemon drains.
    pub(crate) draining: AtomicBool,
}

/// A request on its way through the daemon.
#[derive(Clone)]
pub(crate) struct RequestContext {
    /// Identifier.
    pub(crate) id: RequestId,
    /// Workspace.
    pub(crate) workspace: WorkspaceId,
    /// Uptime after which the request is given up.
    pub(crate) deadline: Duration,
    /// Span of the entry hop.
    pub(crate) span: TraceSpan,
}

/// Counts a request as open until it is dropped.
pub(crate) struct CountGuard(Arc<AtomicUsize>);

/// Open requests of each workspace at this daemon, by the index of the workspace.
pub(crate) struct WorkspaceCounts(Vec<Arc<AtomicUsize>>);

impl WorkspaceCounts {
    /// Creates counts of zero.
    pub(crate) fn new(workspaces: usize) -> Self {
        Self((0..workspaces).map(|_| Arc::default()).collect())
    }

    /// Counts one more, unless that would be more than `most`.
    fn try_open(&self, workspace: WorkspaceId, most: u32) -> Option<CountGuard> {
        let count = self.0.get(workspace.0 as usize)?;
        if count.fetch_add(1, Ordering::AcqRel) >= most as usize {
            count.fetch_sub(1, Ordering::AcqRel);
            return None;
        }
        Some(CountGuard(Arc::clone(count)))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Context {
    /// Counts a request as open.
    pub(crate) fn open_request(&self) -> CountGuard {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        CountGuard(Arc::clone(&self.open_requests))
    }

    /// Counts a request of a workspace. A connection carries one request at a time, so this also bounds
    /// the connections with work of a workspace.
    ///
    /// # Errors
    ///
    /// A failure at stage `Received` if the workspace has too many open.
    pub(crate) fn open_workspace_request(
        &self,
        workspace: WorkspaceId,
    ) -> Result<CountGuard, Failure> {
        let most = self.settings.limits.connections_per_workspace;
        let opened = self.workspace_requests.try_open(workspace, most);
        opened.ok_or_else(|| too_many("requests", most))
    }

    /// Counts a stream of a workspace.
    ///
    /// # Errors
    ///
    /// A failure at stage `Received` if the workspace has too many open.
    pub(crate) fn open_stream(&self, workspace: WorkspaceId) -> Result<CountGuard, Failure> {
        let most = self.settings.limits.streams_per_workspace;
        let opened = self.workspace_streams.try_open(workspace, most);
        opened.ok_or_else(|| too_many("streams", most))
    }

    /// Name of a workspace.
    pub(crate) fn workspace_name(&self, workspace: WorkspaceId) -> &str {
        self.settings
            .keys
            .get_index(workspace.0 as usize)
            .map_or("", |(name, _)| name)
    }

    /// A new attempt number.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        AttemptId(self.attempts.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// The configuration, if the daemon may take new work.
    ///
    /// # Errors
    ///
    /// A failure at the given stage if the daemon has no configuration or its view is too old.
    pub(crate) fn config_for_new_work(&self, stage: Stage) -> Result<Arc<ConfigState>, Failure> {
        if !self.control.has_config() || !self.applied.load(Ordering::Acquire) {
            let detail = "no configuration is in force yet";
            return Err(Failure::new(ErrorKind::NotReady, stage, detail));
        }
        self.control
            .may_take_new_work()
            .map_err(|stale| Failure::new(ErrorKind::StaleView, stage, stale.to_string()))?;
        Ok(self.control.config())
    }

    /// Checks directly before sending that the view is fresh and the server in service.
    ///
    /// # Errors
    ///
    /// A failure at stage `Connecting`, so that the caller learns that nothing was executed.
    pub(crate) fn check_before_send(&self, backend: &Backend) -> Result<(), Failure> {
        let config = self.config_for_new_work(Stage::Connecting)?;
        if config.is_in_service(&backend.domain, &backend.name) {
            return Ok(());
        }
        Err(Failure::new(
            ErrorKind::NoBackend,
            Stage::Connecting,
            format!("backend server {} was taken out of service", backend.name),
        ))
    }

    /// Whether a failed attempt is tried again, and after which wait.
    pub(crate) fn retry_delay(&self, attempts: u32, deadline: Duration) -> Option<Duration> {
        let attempt = FailedAttempt {
            attempts,
            idempotent: true,
            deadline,
        };
        self.update_retry_share();
        let now = self.clock.uptime();
        let mut retries = self.retries.lock().expect("retry budget lock");
        retries.retry(&attempt, now, &mut rand::rng()).ok()
    }

    /// Passes this daemon's share of the retries on. Tokens accrue at the share known so far, so it
    /// must be known before the first failure.
    pub(crate) fn update_retry_share(&self) {
        let share = self.budgets.share(BudgetKind::Retries) as f64 / MILLI as f64;
        let now = self.clock.uptime();
        let mut retries = self.retries.lock().expect("retry budget lock");
        retries.set_share(share, now);
    }

    /// Waits a moment for a backend server to have capacity.
    ///
    /// # Errors
    ///
    /// The given failure if the request must have started by then. It tells the caller when to come
    /// back.
    pub(crate) async fn wait_for_capacity(
        &self,
        start_by: Duration,
        failure: Failure,
    ) -> Result<(), Failure> {
        let pause = CAPACITY_PAUSE.mul_f64(0.5 + rand::rng().random::<f64>());
        if self.clock.uptime() + pause >= start_by {
            return Err(failure);
        }
        tokio::time::sleep(pause).await;
        Ok(())
    }

    /// Time until a deadline.
    pub(crate) fn remaining(&self, deadline: Duration) -> Duration {
        deadline.saturating_sub(self.clock.uptime())
    }
}

fn too_many(what: &str, most: u32) -> Failure {
    Failure::new(
        ErrorKind::PlanLimit,
        Stage::Received,
        format!("the workspace has {most} open {what} at this daemon"),
    )
}

/// The retry budget of a new daemon.
pub(crate) fn retry_budget(now: Duration) -> Mutex<RetryBudget> {
    Mutex::new(RetryBudget::new(RetrySettings::default(), 0.0, now))
}
