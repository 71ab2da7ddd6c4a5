//! The queue of one daemon.

use crate::fair::Flow;
use crate::plan::{Bucket, PlanLimits, Priority};
use crate::workspace::{QueuedRequest, Workspace};
use anvilgw_core::{ErrorKind, Failure, RequestId, Stage, WorkspaceId};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Settings of admission.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionSettings {
    /// Requests of this daemon in execution at once.
    pub slots: u32,
    /// Tokens that the daemon's part of the fleet serves per second, for the estimate of waits.
    pub service_tokens_per_s: f64,
    /// Requests that may wait per workspace. Bounds the memory that a flood can take.
    pub queued_per_workspace_max: usize,
    /// Parts of the capacity per class, by [`Priority::index`], while all classes have work.
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

/// A request that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The request.
    pub id: RequestId,
    /// Its workspace.
    pub workspace: WorkspaceId,
    /// Estimated prompt tokens to compute and tokens to generate.
    pub cost_tokens: u64,
    /// Latest time at which it must have started.
    pub start_by: Duration,
}

/// What the daemon does with a request that was queued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// It starts now.
    Start {
        /// The request.
        request: RequestId,
        /// Its workspace.
        workspace: WorkspaceId,
        /// Time it waited.
        waited: Duration,
    },
    /// It cannot start in time any more.
    Refuse {
        /// The request.
        request: RequestId,
        /// What the caller is told.
        failure: Failure,
    },
}

/// State of one workspace, for `status`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceStatus {
    /// Requests that wait.
    pub queued: usize,
    /// Their estimated tokens.
    pub queued_tokens: u64,
    /// Requests in execution.
    pub running: u32,
    /// Requests refused so far.
    pub refused: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Class {
    flow: Flow,
    /// Virtual time among the workspaces of the class.
    virtual_time: f64,
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    workspace: WorkspaceId,
    cost_tokens: u64,
    started: Duration,
}

/// Admission of one daemon.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    workspaces: IndexMap<WorkspaceId, Workspace>,
    /// Workspaces with waiting requests. Most of the 280 have none at any time.
    backlogged: IndexSet<WorkspaceId>,
    classes: [Class; 3],
    /// Virtual time among the classes.
    virtual_time: f64,
    running: IndexMap<RequestId, RunningRequest>,
}

impl Admission {
    /// Creates admission without workspaces.
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

    /// Sets the limits of a workspace: its plan with this daemon's share.
    pub fn set_limits(&mut self, workspace: WorkspaceId, limits: PlanLimits, now: Duration) {
        let share = limits.share;
        if let Some(known) = self.workspaces.get_mut(&workspace) {
            let moved = known.limits.priority != limits.priority;
            known.limits = limits;
            known
                .requests
                .set(share.requests_per_s, share.burst_requests, now);
            known
                .tokens
                .set(share.tokens_per_s, share.burst_tokens, now);
            if moved {
                // Tags of two classes are not comparable.
                known.flow = Flow::default();
            }
            return;
        }
        let added = Workspace {
            limits,
            requests: Bucket::new(share.requests_per_s, share.burst_requests, now),
            tokens: Bucket::new(share.tokens_per_s, share.burst_tokens, now),
            flow: Flow::default(),
            queue: VecDeque::new(),
            queued_tokens: 0,
            running: 0,
            refused: 0,
            service_s: 0.0,
        };
        self.workspaces.insert(workspace, added);
    }

    /// Removes a workspace that is in no plan any more and refuses what waits. Requests in
    /// execution end normally.
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
                    "the workspace was removed from the plans",
                ),
            })
            .collect()
    }

    /// Sets the capacity: requests at once and tokens per second.
    pub fn set_capacity(&mut self, slots: u32, service_tokens_per_s: f64) {
        self.settings.slots = slots;
        self.settings.service_tokens_per_s = service_tokens_per_s;
    }

    /// Takes a request into the queue, unless it certainly cannot start in time. [`Self::poll`]
    /// says when it starts, which may be at once.
    ///
    /// # Errors
    ///
    /// The [`Failure`] with the time after which the request would have been accepted.
    pub fn enqueue(&mut self, request: AdmissionRequest, now: Duration) -> Result<(), Failure> {
        let refusal = self.refusal(&request, now);
        let Some(workspace) = self.workspaces.get_mut(&request.workspace) else {
            return Err(Failure::new(
                ErrorKind::NotEntitled,
                Stage::Queued,
                "the workspace is in no plan",
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

    /// Starts what can start and refuses what cannot start in time any more. Called after
    /// [`Self::enqueue`], after [`Self::on_request_ended`] and at [`Self::next_wakeup`].
    pub fn poll(&mut self, now: Duration) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.refuse_late(now, &mut actions);
        while self.running.len() < self.settings.slots as usize {
            let Some(workspace) = self.next_workspace(now) else {
                break;
            };
            actions.extend(self.start(workspace, now));
        }
        actions
    }

    /// Takes back a waiting request whose caller is gone. Returns false if it does not wait.
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

    /// Notes the end of a request that started, with the tokens it really cost. The difference to
    /// the estimate is charged to, or given back to, its workspace.
    pub fn on_request_ended(&mut self, request: RequestId, actual_tokens: u64, now: Duration) {
        let Some(running) = self.running.swap_remove(&request) else {
            return;
        };
        let Some(workspace) = self.workspaces.get_mut(&running.workspace) else {
            return;
        };
        workspace.running = workspace.running.saturating_sub(1);
        workspace.observe_service(now.saturating_sub(running.started));
        let difference = actual_tokens as f64 - running.cost_tokens as f64;
        workspace.tokens.take(difference, now);
        let class_at = workspace.limits.priority.index();
        let class = &mut self.classes[class_at];
        let weight = f64::from(workspace.limits.weight.max(1));
        workspace
            .flow
            .correct(class.virtual_time, difference, weight);
        let class_weight = self.settings.class_weights[class_at];
        class
            .flow
            .correct(self.virtual_time, difference, class_weight);
    }

    /// Time at which [`Self::poll`] has something to do even if nothing else happens.
    #[must_use]
    pub fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        let free = self.running.len() < self.settings.slots as usize;
        self.backlogged()
            .filter_map(|(_, workspace)| {
                let late = workspace.queue.iter().map(|w| w.request.start_by).min()?;
                let wait = workspace.limit_wait(now).filter(|_| free);
                let start = wait.map(|wait| now + wait);
                Some(start.map_or(late, |start| start.min(late)))
            })
            .min()
    }

    /// Number of requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.workspaces.values().map(|w| w.queue.len()).sum()
    }

    /// Number of requests in execution.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// State of a workspace.
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

    fn forget_empty(&mut self) {
        let workspaces = &self.workspaces;
        self.backlogged
            .retain(|id| workspaces.get(id).is_some_and(|w| !w.queue.is_empty()));
    }

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
            let detail = "the plan's rate allows no start before the deadline";
            return Some(refuse(ErrorKind::PlanLimit, detail, limit_wait));
        }
        if workspace.queue.len() >= self.settings.queued_per_workspace_max {
            let detail = "too many requests of the workspace wait";
            return Some(refuse(ErrorKind::PlanLimit, detail, limit_wait));
        }
        let wait = self.queue_wait(workspace);
        let concurrency_wait = workspace.concurrency_wait();
        if concurrency_wait > time_left {
            let detail = "the plan's concurrency allows no start before the deadline";
            return Some(refuse(ErrorKind::PlanLimit, detail, concurrency_wait));
        }
        if wait > time_left {
            let detail = "the queue allows no start before the deadline";
            return Some(refuse(ErrorKind::Overloaded, detail, wait));
        }
        None
    }

    /// Expected wait behind the own queue of a workspace at its fair part of the capacity.
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

    /// The eligible workspace with the smallest start tag in the class with the smallest start tag.
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
        let class_at = workspace.limits.priority.index();
        let class = &mut self.classes[class_at];
        let weight = f64::from(workspace.limits.weight.max(1));
        workspace.flow.start(&mut class.virtual_time, cost, weight);
        let class_weight = self.settings.class_weights[class_at];
        class.flow.start(&mut self.virtual_time, cost, class_weight);
        let request = queued.request.id;
        let running = RunningRequest {
            workspace: id,
            cost_tokens,
            started: now,
        };
        self.running.insert(request, running);
        Some(AdmissionAction::Start {
            request,
            workspace: id,
            waited: now.saturating_sub(queued.queued_at),
        })
    }

    fn refuse_late(&mut self, now: Duration, actions: &mut Vec<AdmissionAction>) {
        self.forget_empty();
        for id in &self.backlogged {
            let Some(workspace) = self.workspaces.get_mut(id) else {
                continue;
            };
            if workspace.queue.iter().all(|w| w.request.start_by > now) {
                continue;
            }
            let limited = workspace.limit_wait(now) != Some(Duration::ZERO);
            let kind = if limited {
                ErrorKind::PlanLimit
            } else {
                ErrorKind::Overloaded
            };
            let (late, in_time): (VecDeque<_>, VecDeque<_>) = workspace
                .queue
                .drain(..)
                .partition(|queued| queued.request.start_by <= now);
            workspace.queue = in_time;
            workspace.refused += late.len() as u64;
            for queued in late {
                workspace.queued_tokens -= queued.request.cost_tokens;
                actions.push(AdmissionAction::Refuse {
                    request: queued.request.id,
                    failure: Failure::new(kind, Stage::Queued, "no start before the deadline"),
                });
            }
        }
    }
}

/// Shortest retry hint, so that refused callers do not return at once.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Retry hint without a share: shares are moved to where they are used within this time.
const RETRY_AFTER_WITHOUT_SHARE: Duration = Duration::from_secs(3);
