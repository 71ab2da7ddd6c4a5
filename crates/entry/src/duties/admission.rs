//! The admission duty: owns the queue and the plan limits of this daemon.

use super::deliver::deliver;
use anvilgw_admission::{Action, Admission, AdmissionSettings, Offer, PlanLimits};
use anvilgw_core::{Clock, ErrorKind, Failure, RequestId, Stage, WorkspaceId};
use anvilgw_kernel::{
    Receiver, RecvTimeoutError, Sender, StopSignal, WorkerThread, bounded_channel,
};
use indexmap::IndexMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Messages that may wait for the duty: about one second of the peak load of the whole fleet.
const RING_CAPACITY: usize = 8192;
/// Longest sleep of the duty, so that it notices a stop.
const WAKEUP_MAX: Duration = Duration::from_millis(100);
/// Shortest sleep, so that a due wake-up does not spin.
const WAKEUP_MIN: Duration = Duration::from_micros(200);

enum Message {
    Offer {
        offer: Offer,
        reply: oneshot::Sender<Result<Duration, Failure>>,
    },
    Ended {
        request: RequestId,
        actual_tokens: u64,
    },
    Cancel {
        workspace: WorkspaceId,
        request: RequestId,
    },
    Limits(Vec<(WorkspaceId, PlanLimits)>),
    Capacity {
        slots: u32,
        service_tokens_per_s: f64,
    },
    Usage {
        /// Whether the counts of started requests begin anew.
        take: bool,
        reply: oneshot::Sender<Vec<(WorkspaceId, Usage)>>,
    },
}

/// Use of a plan since the last question, and what waits.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Requests taken.
    pub(crate) requests: u64,
    /// Their estimated tokens.
    pub(crate) tokens: u64,
    /// Requests that run.
    pub(crate) running: u64,
    /// Requests that wait.
    pub(crate) queued: u64,
    /// Their estimated tokens.
    pub(crate) queued_tokens: u64,
}

/// Handle of the admission duty.
pub(crate) struct AdmissionService {
    messages: Sender<Message>,
}

/// A started request. Dropping it frees its slot.
pub(crate) struct Permit {
    messages: Sender<Message>,
    request: RequestId,
    actual_tokens: u64,
    /// Time that the request waited.
    pub(crate) waited: Duration,
}

impl Permit {
    /// Replaces the estimated cost by the tokens that were really computed.
    pub(crate) fn set_actual_tokens(&mut self, tokens: u64) {
        self.actual_tokens = tokens;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let message = Message::Ended {
            request: self.request,
            actual_tokens: self.actual_tokens,
        };
        deliver(&self.messages, message);
    }
}

/// Cancels an offer whose caller has gone before it started.
struct CancelOnDrop {
    messages: Sender<Message>,
    offer: Option<Offer>,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(offer) = self.offer {
            let message = Message::Cancel {
                workspace: offer.workspace,
                request: offer.request,
            };
            deliver(&self.messages, message);
        }
    }
}

impl AdmissionService {
    /// Starts the duty.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a thread.
    pub(crate) fn start(
        settings: AdmissionSettings,
        clock: Arc<dyn Clock>,
        stop: StopSignal,
    ) -> io::Result<(Self, WorkerThread)> {
        let (messages, receiver) = bounded_channel(RING_CAPACITY);
        let duty = WorkerThread::spawn("admission", stop, move |stop| {
            Worker {
                admission: Admission::new(settings),
                waiting: IndexMap::new(),
                started: IndexMap::new(),
                clock,
            }
            .run(&receiver, &stop);
        })?;
        Ok((Self { messages }, duty))
    }

    /// Waits until the request may start.
    ///
    /// # Errors
    ///
    /// A failure at stage `Queued` if it cannot start in time.
    pub(crate) async fn admit(&self, offer: Offer) -> Result<Permit, Failure> {
        let (reply, answer) = oneshot::channel();
        let message = Message::Offer { offer, reply };
        self.messages.send(message).map_err(|error| {
            Failure::new(
                ErrorKind::Overloaded,
                Stage::Queued,
                format!("admission does not keep up: {error}"),
            )
        })?;
        let mut guard = CancelOnDrop {
            messages: self.messages.clone(),
            offer: Some(offer),
        };
        let answer = answer.await;
        guard.offer = None;
        let waited = answer.map_err(|_| {
            Failure::new(
                ErrorKind::ShuttingDown,
                Stage::Queued,
                "the daemon is stopping",
            )
        })??;
        Ok(Permit {
            messages: self.messages.clone(),
            request: offer.request,
            actual_tokens: offer.cost_tokens,
            waited,
        })
    }

    /// Replaces the limits of workspaces.
    pub(crate) fn set_limits(&self, limits: Vec<(WorkspaceId, PlanLimits)>) {
        deliver(&self.messages, Message::Limits(limits));
    }

    /// Sets this daemon's part of the fleet's capacity.
    pub(crate) fn set_capacity(&self, slots: u32, service_tokens_per_s: f64) {
        let message = Message::Capacity {
            slots,
            service_tokens_per_s,
        };
        deliver(&self.messages, message);
    }

    /// Use of all plans since the last call.
    pub(crate) async fn take_usage(&self) -> Vec<(WorkspaceId, Usage)> {
        self.ask_usage(true).await
    }

    /// Use of all plans, without a new beginning of the counts.
    pub(crate) async fn usage_now(&self) -> Vec<(WorkspaceId, Usage)> {
        self.ask_usage(false).await
    }

    async fn ask_usage(&self, take: bool) -> Vec<(WorkspaceId, Usage)> {
        let (reply, answer) = oneshot::channel();
        if self.messages.send(Message::Usage { take, reply }).is_err() {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }
}

struct Worker {
    admission: Admission,
    waiting: IndexMap<RequestId, oneshot::Sender<Result<Duration, Failure>>>,
    started: IndexMap<WorkspaceId, Usage>,
    clock: Arc<dyn Clock>,
}

impl Worker {
    fn run(mut self, messages: &Receiver<Message>, stop: &StopSignal) {
        while !stop.is_raised() {
            let now = self.clock.uptime();
            let pause = self
                .admission
                .next_wakeup(now)
                .map_or(WAKEUP_MAX, |wakeup| wakeup.saturating_sub(now))
                .clamp(WAKEUP_MIN, WAKEUP_MAX);
            match messages.recv_timeout(pause) {
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
            Message::Offer { offer, reply } => match self.admission.offer(offer, now) {
                Ok(()) => {
                    let usage = self.started.entry(offer.workspace).or_default();
                    usage.requests += 1;
                    usage.tokens += offer.cost_tokens;
                    self.waiting.insert(offer.request, reply);
                }
                Err(failure) => {
                    let _ = reply.send(Err(failure));
                }
            },
            Message::Ended {
                request,
                actual_tokens,
            } => self.admission.on_ended(request, actual_tokens, now),
            Message::Cancel { workspace, request } => {
                self.waiting.swap_remove(&request);
                if !self.admission.cancel(workspace, request) {
                    // It started while the cancellation was under way.
                    self.admission.on_ended(request, 0, now);
                }
            }
            Message::Limits(limits) => {
                for (workspace, limits) in limits {
                    self.started.entry(workspace).or_default();
                    self.admission.set_limits(workspace, limits, now);
                }
            }
            Message::Capacity {
                slots,
                service_tokens_per_s,
            } => self.admission.set_capacity(slots, service_tokens_per_s),
            Message::Usage { take, reply } => {
                let _ = reply.send(self.usage(take));
            }
        }
    }

    fn usage(&mut self, take: bool) -> Vec<(WorkspaceId, Usage)> {
        let admission = &self.admission;
        self.started
            .iter_mut()
            .map(|(&workspace, usage)| {
                let status = admission.status(workspace);
                let mut usage = match take {
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
                Action::Start {
                    request, waited, ..
                } => self.started(request, waited, now),
                Action::Refuse { request, failure } => {
                    if let Some(reply) = self.waiting.swap_remove(&request) {
                        let _ = reply.send(Err(failure));
                    }
                }
            }
        }
    }

    fn started(&mut self, request: RequestId, waited: Duration, now: Duration) {
        let delivered = self
            .waiting
            .swap_remove(&request)
            .is_some_and(|reply| reply.send(Ok(waited)).is_ok());
        if !delivered {
            self.admission.on_ended(request, 0, now);
        }
    }
}
