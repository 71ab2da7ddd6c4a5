//! State that all request handlers of the daemon share.

use crate::backends::{Backend, Backends};
use crate::duties::admission::AdmissionService;
use crate::duties::block_export::BlockExportService;
use crate::duties::claims::ClaimsService;
use crate::duties::control::{BudgetKind, ControlService, MILLI, SharedBudgets};
use crate::duties::quarantine::QuarantineService;
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

/// Mean interval at which a request checks again for a backend server with capacity. Permits for
/// cold servers move between daemons within a few hundred milliseconds.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Services, settings and counters of the daemon. One instance is shared by all handlers and tasks.
pub(crate) struct Context {
    /// Index and incarnation of this daemon.
    pub(crate) daemon: DaemonId,
    /// Settings that the daemon was started with.
    pub(crate) settings: Arc<Settings>,
    /// Source of uptime and wall-clock time.
    pub(crate) clock: Arc<dyn Clock>,
    /// Recent events, shown in the status of the daemon.
    pub(crate) journal: Arc<Journal>,
    /// Sends counters and timers to statsd.
    pub(crate) metrics: Arc<Metrics>,
    /// Creates and exports trace spans.
    pub(crate) tracing: Arc<Tracing>,
    /// Writes the daemon's log lines.
    pub(crate) logger: Arc<Logger>,
    /// API keys of the workspaces.
    pub(crate) workspace_keys: KeyTable,
    /// API keys of the operators.
    pub(crate) operator_keys: KeyTable,
    /// Backend servers of the settings with their clients.
    pub(crate) backends: Arc<Backends>,
    /// Queues requests until this daemon may start them.
    pub(crate) admission: Arc<AdmissionService>,
    /// Chooses the backend server of a request.
    pub(crate) routing: Arc<RoutingService>,
    /// Exports blocks of completed prompts to stores.
    pub(crate) block_export: Arc<BlockExportService>,
    /// Records claims on idempotency keys in the log.
    pub(crate) claims: Arc<ClaimsService>,
    /// Keeps prompts under which engines end from the other engines.
    pub(crate) quarantine: Arc<QuarantineService>,
    /// Publishes the configuration, the members of the fleet and the epoch.
    pub(crate) control: Arc<ControlService>,
    /// This daemon's shares of the fleet-wide budgets.
    pub(crate) budgets: Arc<SharedBudgets>,
    /// Client for calls to other daemons.
    pub(crate) peers: Arc<PeerClient>,
    /// Explanations of recent requests.
    pub(crate) explain: ExplainStore,
    /// Limits the retries of this daemon to its share of the fleet's retry rate.
    pub(crate) retry_budget: Mutex<RetryBudget>,
    /// Number of the attempt that was started last.
    pub(crate) last_attempt: AtomicU64,
    /// Number of requests that were received and whose answers have not ended.
    pub(crate) open_requests: Arc<AtomicUsize>,
    /// Number of open requests of each workspace.
    pub(crate) workspace_requests: WorkspaceCounts,
    /// Number of open streams of each workspace.
    pub(crate) workspace_streams: WorkspaceCounts,
    /// Whether admission and routing have received the first configuration. Before that, admission
    /// has no limits for any workspace.
    pub(crate) config_applied: AtomicBool,
    /// Whether the daemon is draining before it stops. Set by `Daemon::shutdown`.
    pub(crate) draining: AtomicBool,
}

/// Identity, deadline and trace span of one request.
#[derive(Clone)]
pub(crate) struct RequestContext {
    /// Identifier that this daemon generated for the request.
    pub(crate) id: RequestId,
    /// Workspace whose key the request carried.
    pub(crate) workspace: WorkspaceId,
    /// Uptime after which the request fails with `DeadlineExceeded`.
    pub(crate) deadline: Duration,
    /// Span from the receipt of the request to the end of its answer.
    pub(crate) span: TraceSpan,
}

/// Guard of an open request or stream. Dropping it decrements the count of open ones.
pub(crate) struct CountGuard(Arc<AtomicUsize>);

/// Number of open requests or streams of each workspace at this daemon, by index of the workspace.
pub(crate) struct WorkspaceCounts(Vec<Arc<AtomicUsize>>);

impl WorkspaceCounts {
    /// Creates counts of zero for the given number of workspaces.
    pub(crate) fn new(workspaces: usize) -> Self {
        Self((0..workspaces).map(|_| Arc::default()).collect())
    }

    /// Increments the count of a workspace, or returns `None` if it has reached `limit`.
    fn try_open(&self, workspace: WorkspaceId, limit: u32) -> Option<CountGuard> {
        let count = self.0.get(workspace.0 as usize)?;
        if count.fetch_add(1, Ordering::AcqRel) >= limit as usize {
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
    /// Counts a request as open until the guard is dropped.
    pub(crate) fn open_request(&self) -> CountGuard {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        CountGuard(Arc::clone(&self.open_requests))
    }

    /// Counts a request of a workspace as open until the guard is dropped. A connection carries one
    /// request at a time, so this also limits the busy connections of a workspace.
    ///
    /// # Errors
    ///
    /// Returns a failure at stage `Received` if the workspace has too many open requests.
    pub(crate) fn open_workspace_request(
        &self,
        workspace: WorkspaceId,
    ) -> Result<CountGuard, Failure> {
        let limit = self.settings.limits.connections_per_workspace;
        let guard = self.workspace_requests.try_open(workspace, limit);
        guard.ok_or_else(|| too_many_open("requests", limit))
    }

    /// Counts a stream of a workspace as open until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns a failure at stage `Received` if the workspace has too many open streams.
    pub(crate) fn open_stream(&self, workspace: WorkspaceId) -> Result<CountGuard, Failure> {
        let limit = self.settings.limits.streams_per_workspace;
        let guard = self.workspace_streams.try_open(workspace, limit);
        guard.ok_or_else(|| too_many_open("streams", limit))
    }

    /// Returns the name of a workspace, or an empty string if the settings have no such workspace.
    pub(crate) fn workspace_name(&self, workspace: WorkspaceId) -> &str {
        self.settings
            .keys
            .get_index(workspace.0 as usize)
            .map_or("", |(name, _)| name)
    }

    /// Returns a number that no other attempt of this process has.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        AttemptId(self.last_attempt.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Returns the configuration if the daemon may take new work.
    ///
    /// # Errors
    ///
    /// Returns a failure at the given stage if the daemon has no configuration or its view of the
    /// fleet is too old.
    pub(crate) fn config_for_new_work(&self, stage: Stage) -> Result<Arc<ConfigState>, Failure> {
        if !self.control.has_config() || !self.config_applied.load(Ordering::Acquire) {
            let detail = "no configuration is in force yet";
            return Err(Failure::new(ErrorKind::NotReady, stage, detail));
        }
        self.control
            .may_take_new_work()
            .map_err(|stale| Failure::new(ErrorKind::StaleView, stage, stale.to_string()))?;
        Ok(self.control.config())
    }

    /// Checks that the view of the fleet is fresh and the backend server in service. Called
    /// directly before a request is sent.
    ///
    /// # Errors
    ///
    /// Returns a failure at stage `Connecting`, which tells the caller that nothing was executed.
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

    /// Takes a retry from the budget and returns the time to wait before it, or `None` if the
    /// failed attempt must not be retried. `attempts` is the number of attempts so far.
    pub(crate) fn retry_delay(&self, attempts: u32, deadline: Duration) -> Option<Duration> {
        let attempt = FailedAttempt {
            attempts,
            idempotent: true,
            deadline,
        };
        self.update_retry_share();
        let now = self.clock.uptime();
        let mut budget = self.retry_budget.lock().expect("retry budget lock");
        budget.retry(&attempt, now, &mut rand::rng()).ok()
    }

    /// Takes a retry from the budget for an attempt that is to replace a silent one, and returns
    /// whether there was one. The number of such attempts of a request is not limited, because the
    /// request has not failed.
    pub(crate) fn may_replace(&self, deadline: Duration) -> bool {
        self.retry_delay(1, deadline).is_some()
    }

    /// Updates the rate of the retry budget to this daemon's share. Tokens accrue at the rate set
    /// last, so the share must be set before the first failure.
    pub(crate) fn update_retry_share(&self) {
        let share = self.budgets.share(BudgetKind::Retries) as f64 / MILLI as f64;
        let now = self.clock.uptime();
        let mut budget = self.retry_budget.lock().expect("retry budget lock");
        budget.set_share(share, now);
    }

    /// Waits for one jittered interval, after which the caller checks again for a backend server
    /// with capacity.
    ///
    /// # Errors
    ///
    /// Returns the given failure if the wait would end at or after `start_by`. The failure tells
    /// the caller when to retry.
    pub(crate) async fn wait_for_capacity(
        &self,
        start_by: Duration,
        failure: Failure,
    ) -> Result<(), Failure> {
        let pause = CAPACITY_POLL_INTERVAL.mul_f64(0.5 + rand::rng().random::<f64>());
        if self.clock.uptime() + pause >= start_by {
            return Err(failure);
        }
        tokio::time::sleep(pause).await;
        Ok(())
    }

    /// Returns the time until a deadline, or zero if it has passed.
    pub(crate) fn remaining(&self, deadline: Duration) -> Duration {
        deadline.saturating_sub(self.clock.uptime())
    }
}

fn too_many_open(what: &str, limit: u32) -> Failure {
    Failure::new(
        ErrorKind::PlanLimit,
        Stage::Received,
        format!("the workspace has reached its limit of {limit} open {what} at this daemon"),
    )
}

/// Creates a retry budget without tokens. Its rate is zero until the daemon has a share.
pub(crate) fn new_retry_budget(now: Duration) -> Mutex<RetryBudget> {
    Mutex::new(RetryBudget::new(RetrySettings::default(), 0.0, now))
}
