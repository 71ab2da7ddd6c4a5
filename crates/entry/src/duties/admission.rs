//! The admission service, whose worker owns the request queue and the plan limits of this daemon.

use super::send::send_until_accepted;
use anvilgw_admission::{
    Admission, AdmissionAction, AdmissionRequest, AdmissionSettings, PlanLimits,
};
use anvilgw_core::{Clock, ErrorKind, Failure, RequestId, Stage, WorkspaceId};
use anvilgw_kernel::{
    Receiver, RecvTimeoutError, Sender, StopSignal, WorkerThread, bounded_channel,
};
use indexmap::IndexMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Number of messages that may wait for the worker: about one second of the peak load of the whole
/// fleet.
const CHANNEL_CAPACITY: usize = 8192;
/// Longest sleep of the worker, after which it checks whether to stop.
const MAX_SLEEP: Duration = Duration::from_millis(100);
/// Shortest sleep of the worker. It keeps a wake-up that is already due from causing a busy loop.
const MIN_SLEEP: Duration = Duration::from_micros(200);

enum Message {
    Enqueue {
        request: AdmissionRequest,
        reply: oneshot::Sender<Result<Duration, Failure>>,
    },
    RequestEnded {
        request: RequestId,
        actual_tokens: u64,
    },
    Cancel {
        workspace: WorkspaceId,
        request: RequestId,
    },
    SetLimits(Vec<(WorkspaceId, PlanLimits)>),
    SetCapacity {
        slots: u32,
        service_tokens_per_s: f64,
    },
    GetUsage {
        /// Whether the counts of accepted requests and tokens are reset to zero.
        reset: bool,
        reply: oneshot::Sender<Vec<(WorkspaceId, PlanUsage)>>,
    },
}

/// Use of a plan by the requests of its workspace at this daemon.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlanUsage {
    /// Requests accepted into the queue since the counts were reset.
    pub(crate) requests: u64,
    /// Estimated tokens of the accepted requests.
    pub(crate) tokens: u64,
    /// Requests that are running.
    pub(crate) running: u64,
    /// Requests that are waiting in the queue.
    pub(crate) queued: u64,
    /// Estimated tokens of the waiting requests.
    pub(crate) queued_tokens: u64,
}

/// Handle through which the other services and request handlers reach the admission worker.
pub(crate) struct AdmissionService {
    messages: Sender<Message>,
}

/// Slot of an admitted request. Dropping the guard frees the slot.
pub(crate) struct AdmissionGuard {
    messages: Sender<Message>,
    request: RequestId,
    actual_tokens: u64,
    /// Time that the request waited in the queue.
    pub(crate) waited: Duration,
}

impl AdmissionGuard {
    /// Sets the number of tokens that were really computed. It replaces the estimate when the guard
    /// is dropped.
    pub(crate) fn set_actual_tokens(&mut self, tokens: u64) {
        self.actual_tokens = tokens;
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let message = Message::RequestEnded {
            request: self.request,
            actual_tokens: self.actual_tokens,
        };
        send_until_accepted(&self.messages, message);
    }
}

/// Cancels a waiting request if its caller disconnects before the request has started.
struct CancelGuard {
    messages: Sender<Message>,
    request: Option<AdmissionRequest>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            let message = Message::Cancel {
                workspace: request.workspace,
                request: request.id,
            };
            send_until_accepted(&self.messages, message);
        }
    }
}

impl AdmissionService {
    /// Starts the worker thread.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a thread.
    pub(crate) fn start(
        settings: AdmissionSettings,
        clock: Arc<dyn Clock>,
        stop: StopSignal,
    ) -> io::Result<(Self, WorkerThread)> {
        let (messages, receiver) = bounded_channel(CHANNEL_CAPACITY);
        let worker_thread = WorkerThread::spawn("admission", stop, move |stop| {
            Worker {
                admission: Admission::new(settings),
                replies: IndexMap::new(),
                usage_by_workspace: IndexMap::new(),
                clock,
            }
            .run(&receiver, &stop);
        })?;
        Ok((Self { messages }, worker_thread))
    }

    /// Queues a request and waits until it may start.
    ///
    /// # Errors
    ///
    /// Returns a failure at stage `Queued` if the request is refused or cannot start in time.
    pub(crate) async fn admit(&self, request: AdmissionRequest) -> Result<AdmissionGuard, Failure> {
        let (reply, answer) = oneshot::channel();
        let message = Message::Enqueue { request, reply };
        self.messages.send(message).map_err(|error| {
            Failure::new(
                ErrorKind::Overloaded,
                Stage::Queued,
                format!("admission is overloaded: {error}"),
            )
        })?;
        let mut guard = CancelGuard {
            messages: self.messages.clone(),
            request: Some(request),
        };
        let answer = answer.await;
        guard.request = None;
        let waited = answer.map_err(|_| {
            Failure::new(
                ErrorKind::ShuttingDown,
                Stage::Queued,
                "the daemon is stopping",
            )
        })??;
        Ok(AdmissionGuard {
            messages: self.messages.clone(),
            request: request.id,
            actual_tokens: request.cost_tokens,
            waited,
        })
    }

    /// Replaces the plan limits of the given workspaces.
    pub(crate) fn set_limits(&self, limits: Vec<(WorkspaceId, PlanLimits)>) {
        send_until_accepted(&self.messages, Message::SetLimits(limits));
    }

    /// Sets the number of requests that may run at once from this daemon, and the rate at which the
    /// backend servers work off queued tokens.
    pub(crate) fn set_capacity(&self, slots: u32, service_tokens_per_s: f64) {
        let message = Message::SetCapacity {
            slots,
            service_tokens_per_s,
        };
        send_until_accepted(&self.messages, message);
    }

    /// Returns the use of all plans and resets the counts of accepted requests and tokens.
    pub(crate) async fn take_usage(&self) -> Vec<(WorkspaceId, PlanUsage)> {
        self.request_usage(true).await
    }

    /// Returns the use of all plans without resetting any counts.
    pub(crate) async fn current_usage(&self) -> Vec<(WorkspaceId, PlanUsage)> {
        self.request_usage(false).await
    }

    async fn request_usage(&self, reset: bool) -> Vec<(WorkspaceId, PlanUsage)> {
        let (reply, answer) = oneshot::channel();
        if self
            .messages
            .send(Message::GetUsage { reset, reply })
            .is_err()
        {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }
}

struct Worker {
    admission: Admission,
    replies: IndexMap<RequestId, oneshot::Sender<Result<Duration, Failure>>>,
    usage_by_workspace: IndexMap<WorkspaceId, PlanUsage>,
    clock: Arc<dyn Clock>,
}

impl Worker {
    fn run(mut self, messages: &Receiver<Message>, stop: &StopSignal) {
        while !stop.is_raised() {
            let now = self.clock.uptime();
            let sleep = self
                .admission
                .next_wakeup(now)
                .map_or(MAX_SLEEP, |wakeup| wakeup.saturating_sub(now))
                .clamp(MIN_SLEEP, MAX_SLEEP);
            match messages.recv_timeout(sleep) {
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Ok(message) = messages.try_recv() {
                self.handle(message);
            }
            self.poll();
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.clock.uptime();
        match message {
            Message::Enqueue { request, reply } => match self.admission.enqueue(request, now) {
                Ok(()) => {
                    let usage = self
                        .usage_by_workspace
                        .entry(request.workspace)
                        .or_default();
                    usage.requests += 1;
                    usage.tokens += request.cost_tokens;
                    self.replies.insert(request.id, reply);
                }
                Err(failure) => {
                    let _ = reply.send(Err(failure));
                }
            },
            Message::RequestEnded {
                request,
                actual_tokens,
            } => self.admission.on_request_ended(request, actual_tokens, now),
            Message::Cancel { workspace, request } => {
                self.replies.swap_remove(&request);
                if !self.admission.cancel(workspace, request) {
                    // The request started before the cancellation arrived.
                    self.admission.on_request_ended(request, 0, now);
                }
            }
            Message::SetLimits(limits) => {
                for (workspace, limits) in limits {
                    self.usage_by_workspace.entry(workspace).or_default();
                    self.admission.set_limits(workspace, limits, now);
                }
            }
            Message::SetCapacity {
                slots,
                service_tokens_per_s,
            } => self.admission.set_capacity(slots, service_tokens_per_s),
            Message::GetUsage { reset, reply } => {
                let _ = reply.send(self.usage(reset));
            }
        }
    }

    fn usage(&mut self, reset: bool) -> Vec<(WorkspaceId, PlanUsage)> {
        let admission = &self.admission;
        self.usage_by_workspace
            .iter_mut()
            .map(|(&workspace, usage)| {
                let status = admission.status(workspace);
                let mut usage = match reset {
                    true => std::mem::take(usage),
                    false => *usage,
                };
                if let Some(status) = status {
                    usage.running = status.running.into();
                    usage.queued = status.queued as u64;
                    usage.queued_tokens = status.queued_tokens;
                }
                (workspace, usage)
            })
            .collect()
    }

    fn poll(&mut self) {
        let now = self.clock.uptime();
        for action in self.admission.poll(now) {
            match action {
                AdmissionAction::Start {
                    request, waited, ..
                } => self.on_started(request, waited, now),
                AdmissionAction::Refuse { request, failure } => {
                    if let Some(reply) = self.replies.swap_remove(&request) {
                        let _ = reply.send(Err(failure));
                    }
                }
            }
        }
    }

    fn on_started(&mut self, request: RequestId, waited: Duration, now: Duration) {
        let delivered = self
            .replies
            .swap_remove(&request)
            .is_some_and(|reply| reply.send(Ok(waited)).is_ok());
        if !delivered {
            self.admission.on_request_ended(request, 0, now);
        }
    }
}
