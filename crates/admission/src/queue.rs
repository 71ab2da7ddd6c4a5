//! The admission queue of one daemon.

use crate::fair::Flow;
use crate::plan::{PlanLimits, Priority, TokenBucket};
use crate::workspace::{QueuedRequest, Workspace};
use anvilgw_core::{ErrorKind, Failure, RequestId, Stage, WorkspaceId};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Settings of the admission of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionSettings {
    /// Largest number of requests of this daemon in execution at once.
    pub slots: u32,
    /// Tokens per second that this daemon's part of the fleet's capacity serves. Used to estimate
    /// how long a request waits in the queue.
    pub service_tokens_per_s: f64,
    /// Largest number of queued requests per workspace. It bounds the memory that a burst of
    /// requests can take.
    pub queued_per_workspace_max: usize,
    /// Relative parts of the capacity that the classes get while all of them have queued requests,
    /// by [`Priority::index`].
    pub class_weights: [f64; 3],
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            slots: 256,
            service_tokens_per_s: 100_000.0,
            queued_per_workspace_max: 256,
            class_weights: [16.0, 4.0, 1.0],
        }
    }
}

/// A request for admission, with what the decision needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Estimated cost: prompt tokens to compute and tokens to generate.
    pub cost_tokens: u64,
    /// Uptime by which the request must have started; otherwise it is refused.
    pub start_by: Duration,
}

/// What the daemon does with a request that was queued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// The request starts now.
    Start {
        /// The request.
        request: RequestId,
        /// Workspace of the request.
        workspace: WorkspaceId,
        /// Time that the request was queued.
        waited: Duration,
    },
    /// The request is refused: it can no longer start in time, or its workspace was removed.
    Refuse {
        /// The request.
        request: RequestId,
        /// Failure to return to the caller.
        failure: Failure,
    },
}

/// State of one workspace, for the command `status`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceStatus {
    /// Number of queued requests.
    pub queued: usize,
    /// Estimated tokens of the queued requests.
    pub queued_tokens: u64,
    /// Number of requests in execution.
    pub running: u32,
    /// Number of requests refused so far.
    pub refused: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Class {
    /// Flow of the class among the classes.
    flow: Flow,
    /// Virtual time of the queueing among the workspaces of the class.
    virtual_time: f64,
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    workspace: WorkspaceId,
    cost_tokens: u64,
    started_at: Duration,
}

/// Admission queue and plan limits of one daemon.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    workspaces: IndexMap<WorkspaceId, Workspace>,
    /// Workspaces that may have queued requests. At any time most of the 280 workspaces have none,
    /// so walking through this set is cheaper than through all.
    backlogged: IndexSet<WorkspaceId>,
    classes: [Class; 3],
    /// Virtual time of the queueing among the classes.
    virtual_time: f64,
    running: IndexMap<RequestId, RunningRequest>,
}

impl Admission {
    /// Creates an admission queue without workspaces.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            workspaces: IndexMap::new(),
            backlogged: IndexSet::new(),
            classes: [Class::default(); 3],
            virtual_time: 0.0,
            running: IndexMap::new(),
        }
    }

    /// Sets the limits of a workspace, and adds the workspace if it is new.
    pub fn set_limits(&mut self, workspace: WorkspaceId, limits: PlanLimits, now: Duration) {
        let share = limits.share;
        if let Some(known) = self.workspaces.get_mut(&workspace) {
            let class_changed = known.limits.priority != limits.priority;
            known.limits = limits;
            known
                .requests
                .set_rate(share.requests_per_s, share.burst_requests, now);
            known
                .tokens
                .set_rate(share.tokens_per_s, share.burst_tokens, now);
            if class_changed {
                // Tags of different classes are not comparable, since each has its own virtual
                // time.
                known.flow = Flow::default();
            }
            return;
        }
        let added = Workspace {
            limits,
            requests: TokenBucket::new(share.requests_per_s, share.burst_requests, now),
            tokens: TokenBucket::new(share.tokens_per_s, share.burst_tokens, now),
            flow: Flow::default(),
            queue: VecDeque::new(),
            queued_tokens: 0,
            running: 0,
            refused: 0,
            mean_service_s: 0.0,
        };
        self.workspaces.insert(workspace, added);
    }

    /// Removes a workspace that is no longer in the plans list and refuses its queued requests. Its
    /// requests in execution end normally.
    pub fn remove_workspace(&mut self, workspace: WorkspaceId) -> Vec<AdmissionAction> {
        let removed = self.workspaces.shift_remove(&workspace);
        let queued = removed.map(|removed| removed.queue).unwrap_or_default();
        queued
            .into_iter()
            .map(|queued| AdmissionAction::Refuse {
                request: queued.request.id,
                failure: Failure::new(
                    ErrorKind::NotEntitled,
                    Stage::Queued,
                    "the workspace was removed from the plans list",
                ),
            })
            .collect()
    }

    /// Sets this daemon's part of the fleet's capacity: requests in execution at once, and tokens
    /// per second.
    pub fn set_capacity(&mut self, slots: u32, service_tokens_per_s: f64) {
        self.settings.slots = slots;
        self.settings.service_tokens_per_s = service_tokens_per_s;
    }

    /// Queues a request, unless it is not expected to start in time. [`Self::poll`] starts it,
    /// which may be at once.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the request is refused. Unless its workspace is unknown, the
    /// failure says after which time a retry is expected to be accepted.
    pub fn enqueue(&mut self, request: AdmissionRequest, now: Duration) -> Result<(), Failure> {
        let refusal = self.refusal(&request, now);
        let Some(workspace) = self.workspaces.get_mut(&request.workspace) else {
            return Err(Failure::new(
                ErrorKind::NotEntitled,
                Stage::Queued,
                "the workspace is not in the plans list",
            ));
        };
        if let Some(failure) = refusal {
            workspace.refused += 1;
            return Err(failure);
        }
        workspace.queued_tokens += request.cost_tokens;
        workspace.queue.push_back(QueuedRequest {
            request,
            queued_at: now,
        });
        self.backlogged.insert(request.workspace);
        Ok(())
    }

    /// Starts the requests that can start and refuses those that can no longer start in time. To be
    /// called after [`Self::enqueue`], after [`Self::on_request_ended`] and at
    /// [`Self::next_wakeup`].
    pub fn poll(&mut self, now: Duration) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.refuse_overdue(now, &mut actions);
        while self.running.len() < self.settings.slots as usize {
            let Some(workspace) = self.next_workspace(now) else {
                break;
            };
            actions.extend(self.start(workspace, now));
        }
        actions
    }

    /// Removes a queued request whose caller has disconnected. Returns false if the request is not
    /// queued, for example because it has started.
    pub fn cancel(&mut self, workspace: WorkspaceId, request: RequestId) -> bool {
        let Some(workspace) = self.workspaces.get_mut(&workspace) else {
            return false;
        };
        let position = workspace
            .queue
            .iter()
            .position(|queued| queued.request.id == request);
        let removed = position.and_then(|at| workspace.queue.remove(at));
        if let Some(removed) = removed {
            workspace.queued_tokens -= removed.request.cost_tokens;
        }
        removed.is_some()
    }

    /// Frees the slot of a started request that has ended. The difference between `actual_tokens`
    /// and the estimated cost is charged or refunded to its workspace.
    pub fn on_request_ended(&mut self, request: RequestId, actual_tokens: u64, now: Duration) {
        let Some(running) = self.running.swap_remove(&request) else {
            return;
        };
        let Some(workspace) = self.workspaces.get_mut(&running.workspace) else {
            return;
        };
        workspace.running = workspace.running.saturating_sub(1);
        workspace.observe_service_time(now.saturating_sub(running.started_at));
        let difference = actual_tokens as f64 - running.cost_tokens as f64;
        workspace.tokens.take(difference, now);
        let class_index = workspace.limits.priority.index();
        let class = &mut self.classes[class_index];
        let weight = f64::from(workspace.limits.weight.max(1));
        workspace
            .flow
            .correct_cost(class.virtual_time, difference, weight);
        let class_weight = self.settings.class_weights[class_index];
        class
            .flow
            .correct_cost(self.virtual_time, difference, class_weight);
    }

    /// Returns the uptime at which [`Self::poll`] has to be called even if no request is queued or
    /// ends before. `None` if no request is queued.
    #[must_use]
    pub fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        let has_free_slot = self.running.len() < self.settings.slots as usize;
        self.backlogged()
            .filter_map(|(_, workspace)| {
                let first_deadline = workspace
                    .queue
                    .iter()
                    .map(|queued| queued.request.start_by)
                    .min()?;
                let wait = workspace.limit_wait(now).filter(|_| has_free_slot);
                let start = wait.map(|wait| now + wait);
                Some(start.map_or(first_deadline, |start| start.min(first_deadline)))
            })
            .min()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.workspaces
            .values()
            .map(|workspace| workspace.queue.len())
            .sum()
    }

    /// Returns the number of requests in execution.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the state of a workspace, or none if it is unknown.
    #[must_use]
    pub fn status(&self, workspace: WorkspaceId) -> Option<WorkspaceStatus> {
        let workspace = self.workspaces.get(&workspace)?;
        Some(WorkspaceStatus {
            queued: workspace.queue.len(),
            queued_tokens: workspace.queued_tokens,
            running: workspace.running,
            refused: workspace.refused,
        })
    }

    fn backlogged(&self) -> impl Iterator<Item = (WorkspaceId, &Workspace)> {
        self.backlogged
            .iter()
            .filter_map(|id| Some((*id, self.workspaces.get(id)?)))
            .filter(|(_, workspace)| !workspace.queue.is_empty())
    }

    fn prune_backlogged(&mut self) {
        let workspaces = &self.workspaces;
        self.backlogged.retain(|id| {
            workspaces
                .get(id)
                .is_some_and(|workspace| !workspace.queue.is_empty())
        });
    }

    /// Returns the failure of a new request that is not expected to start in time.
    fn refusal(&self, request: &AdmissionRequest, now: Duration) -> Option<Failure> {
        let workspace = self.workspaces.get(&request.workspace)?;
        let time_left = request.start_by.saturating_sub(now);
        let limit_wait = workspace.limit_wait_behind_queue(request, now);
        let refuse = |kind, detail: &str, wait: Duration| {
            Failure::new(kind, Stage::Queued, detail)
                .with_retry_after(wait.saturating_sub(time_left).max(RETRY_AFTER_MIN))
        };
        let Some(limit_wait) = limit_wait else {
            let detail = "this daemon has no share of the plan's rate";
            return Some(refuse(
                ErrorKind::PlanLimit,
                detail,
                RETRY_AFTER_WITHOUT_SHARE,
            ));
        };
        if limit_wait > time_left {
            let detail = "the plan's rate limit does not allow a start before the deadline";
            return Some(refuse(ErrorKind::PlanLimit, detail, limit_wait));
        }
        if workspace.queue.len() >= self.settings.queued_per_workspace_max {
            let detail = "too many requests of the workspace are queued";
            return Some(refuse(ErrorKind::PlanLimit, detail, limit_wait));
        }
        let wait = self.queue_wait(workspace);
        let concurrency_wait = workspace.concurrency_wait();
        if concurrency_wait > time_left {
            let detail = "the plan's concurrency limit does not allow a start before the deadline";
            return Some(refuse(ErrorKind::PlanLimit, detail, concurrency_wait));
        }
        if wait > time_left {
            let detail = "the queue is too long for a start before the deadline";
            return Some(refuse(ErrorKind::Overloaded, detail, wait));
        }
        None
    }

    /// Returns the expected wait of a new request behind the queue of its workspace, if the
    /// workspace is served at its fair part of the capacity.
    fn queue_wait(&self, workspace: &Workspace) -> Duration {
        if self.running.len() < self.settings.slots as usize && workspace.queue.is_empty() {
            return Duration::ZERO;
        }
        let class = workspace.limits.priority;
        let mut class_weight = 0.0;
        let mut active = [false; 3];
        let others = self.backlogged().map(|(_, other)| other);
        let others = others.filter(|other| !std::ptr::eq(*other, workspace));
        for other in others.chain([workspace]) {
            active[other.limits.priority.index()] = true;
            if other.limits.priority == class {
                class_weight += f64::from(other.limits.weight.max(1));
            }
        }
        let weights = &self.settings.class_weights;
        let classes: f64 = Priority::ALL
            .iter()
            .filter(|other| active[other.index()])
            .map(|other| weights[other.index()])
            .sum();
        let part = weights[class.index()] / classes * f64::from(workspace.limits.weight.max(1))
            / class_weight;
        let rate = (self.settings.service_tokens_per_s * part).max(1e-9);
        let wait_s = workspace.queued_tokens as f64 / rate;
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }

    /// Returns the workspace whose request starts next: among the workspaces whose limits allow a
    /// start, the one with the smallest start tag in the class with the smallest start tag.
    fn next_workspace(&self, now: Duration) -> Option<WorkspaceId> {
        let mut best: [Option<(f64, WorkspaceId)>; 3] = [None; 3];
        for (id, workspace) in self.backlogged() {
            if workspace.limit_wait(now) != Some(Duration::ZERO) {
                continue;
            }
            let class = workspace.limits.priority.index();
            let tag = workspace.flow.start_tag(self.classes[class].virtual_time);
            if best[class].is_none_or(|(known, _)| tag < known) {
                best[class] = Some((tag, id));
            }
        }
        let class_tag = |class: &usize| self.classes[*class].flow.start_tag(self.virtual_time);
        (0..best.len())
            .filter(|class| best[*class].is_some())
            .min_by(|a, b| class_tag(a).total_cmp(&class_tag(b)))
            .and_then(|class| best[class])
            .map(|(_, id)| id)
    }

    fn start(&mut self, id: WorkspaceId, now: Duration) -> Option<AdmissionAction> {
        let workspace = self.workspaces.get_mut(&id)?;
        let queued = workspace.queue.pop_front()?;
        let cost_tokens = queued.request.cost_tokens;
        let cost = cost_tokens as f64;
        workspace.queued_tokens -= cost_tokens;
        workspace.running += 1;
        workspace.requests.take(1.0, now);
        workspace.tokens.take(cost, now);
        let class_index = workspace.limits.priority.index();
        let class = &mut self.classes[class_index];
        let weight = f64::from(workspace.limits.weight.max(1));
        workspace
            .flow
            .start_request(&mut class.virtual_time, cost, weight);
        let class_weight = self.settings.class_weights[class_index];
        class
            .flow
            .start_request(&mut self.virtual_time, cost, class_weight);
        let request = queued.request.id;
        let running = RunningRequest {
            workspace: id,
            cost_tokens,
            started_at: now,
        };
        self.running.insert(request, running);
        Some(AdmissionAction::Start {
            request,
            workspace: id,
            waited: now.saturating_sub(queued.queued_at),
        })
    }

    /// Refuses the queued requests that had to start by now. The failure names the plan limit if
    /// the limits keep the workspace from starting requests, and the load otherwise.
    fn refuse_overdue(&mut self, now: Duration, actions: &mut Vec<AdmissionAction>) {
        self.prune_backlogged();
        for id in &self.backlogged {
            let Some(workspace) = self.workspaces.get_mut(id) else {
                continue;
            };
            if workspace
                .queue
                .iter()
                .all(|queued| queued.request.start_by > now)
            {
                continue;
            }
            let is_limited = workspace.limit_wait(now) != Some(Duration::ZERO);
            let kind = if is_limited {
                ErrorKind::PlanLimit
            } else {
                ErrorKind::Overloaded
            };
            let (overdue, in_time): (VecDeque<_>, VecDeque<_>) = workspace
                .queue
                .drain(..)
                .partition(|queued| queued.request.start_by <= now);
            workspace.queue = in_time;
            workspace.refused += overdue.len() as u64;
            for queued in overdue {
                workspace.queued_tokens -= queued.request.cost_tokens;
                actions.push(AdmissionAction::Refuse {
                    request: queued.request.id,
                    failure: Failure::new(
                        kind,
                        Stage::Queued,
                        "the request could not start before the deadline",
                    ),
                });
            }
        }
    }
}

/// Shortest time after which a refused caller is told to retry, so that it does not retry at once.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Time after which a caller is told to retry if this daemon has no share of the plan. Within this
/// time shares are moved to the daemons that need them.
const RETRY_AFTER_WITHOUT_SHARE: Duration = Duration::from_secs(3);
