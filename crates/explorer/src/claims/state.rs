//! State of the claim model and the effects of the daemons' actions on it.

use super::{CLOCK_POSITIONS_MS, ClaimModel, DEADLINE_MS, claim_key};
use crate::interned::{Interned, Interner};
use crate::mutant::Mutant;
use anvilgw_claims::{
    AnswerBody, Attempt, BatchId, ClaimRequest, ClaimSender, KeyAgeLimits, KeyTime, Now,
    OwnerAction, OwnerEvent, PartitionFold, PartitionOwner, RecordedAnswer, Reply, RequestDigest,
    SenderAction, SenderEvent, Submission, Verdict,
};
use anvilgw_core::{AttemptId, DaemonId, Executed, LogRecord, LogSlice, Offset};
use std::sync::Arc;
use std::time::Duration;

/// HTTP status of the answer to request 0. Every request has another status, so that a recorded
/// answer tells which execution gave it.
const FIRST_STATUS: u16 = 200;

/// An append that is on its way to the log service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Append {
    pub(super) batch: BatchId,
    pub(super) payload: Arc<[u8]>,
}

/// A daemon in its current incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Daemon {
    pub(super) id: DaemonId,
    pub(super) owner: PartitionOwner,
    pub(super) append: Option<Append>,
    pub(super) read: Option<Offset>,
}

impl Daemon {
    pub(super) fn new(model: &ClaimModel, id: DaemonId) -> Self {
        let owner = PartitionOwner::new(model.owner_config(id))
            .with_flaw(model.mutant.and_then(Mutant::claims_flaw));
        Self {
            id,
            owner,
            append: None,
            read: None,
        }
    }
}

/// Result of a request as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum CallerResult {
    Pending,
    /// The daemon crashed, so the connection to it was lost.
    ConnectionLost,
    /// The answer to the request's own attempt.
    OwnAnswer,
    /// The recorded answer with this status.
    Recorded(u16),
    Failed(Executed),
}

/// One request of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Request {
    pub(super) key: usize,
    pub(super) daemon: usize,
    pub(super) sender: Option<ClaimSender>,
    /// Granted verdict that is on its way to the sender.
    pub(super) verdict: Option<Verdict>,
    /// Sent and not executed yet. The checks before sending are done.
    pub(super) is_in_flight: bool,
    pub(super) executions: u8,
    pub(super) caller_result: CallerResult,
}

impl Request {
    pub(super) fn was_started(&self) -> bool {
        self.sender.is_some() || self.caller_result != CallerResult::Pending
    }

    /// Returns whether the request leaves nothing to be done.
    pub(super) fn is_finished(&self) -> bool {
        match &self.sender {
            // The request was not made yet, or ended when its daemon crashed.
            None => true,
            Some(sender) => self.caller_result != CallerResult::Pending && sender.is_ended(),
        }
    }
}

/// The log service's stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Log {
    pub(super) payloads: Vec<Arc<[u8]>>,
    /// Fold of all records, including the trimmed ones.
    pub(super) complete_fold: PartitionFold,
}

impl Log {
    pub(super) fn push(&mut self, payload: Arc<[u8]>) -> Offset {
        let offset = Offset(self.payloads.len() as u64);
        let record = LogRecord {
            offset,
            payload: payload.to_vec(),
        };
        self.complete_fold
            .apply(&record)
            .expect("the model's log has no gaps");
        self.payloads.push(payload);
        offset
    }

    fn records(&self, from: Offset) -> Vec<LogRecord> {
        let records = self.payloads.iter().enumerate().skip(from.0 as usize);
        records
            .map(|(offset, payload)| LogRecord {
                offset: Offset(offset as u64),
                payload: payload.to_vec(),
            })
            .collect()
    }

    pub(super) fn end(&self) -> Offset {
        Offset(self.payloads.len() as u64)
    }
}

/// Interners of the components of [`SystemState`].
#[derive(Default)]
pub(super) struct Interners {
    logs: Interner<Log>,
    daemons: Interner<Daemon>,
    requests: Interner<Request>,
}

impl Interners {
    pub(super) fn intern(&self, system: &mut SystemState) {
        self.logs.intern(&mut system.log);
        for daemon in &mut system.daemons {
            self.daemons.intern(daemon);
        }
        for request in &mut system.requests {
            self.requests.intern(request);
        }
    }
}

/// State of the claim model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct SystemState {
    /// Index into [`CLOCK_POSITIONS_MS`].
    pub(super) clock_position: usize,
    pub(super) log: Interned<Log>,
    /// Oldest retained offset.
    pub(super) first_offset: Offset,
    /// Payloads of appends whose answer was lost or whose daemon crashed, and that may still take
    /// effect.
    pub(super) delayed_appends: Vec<Arc<[u8]>>,
    pub(super) daemons: Vec<Interned<Daemon>>,
    pub(super) requests: Vec<Interned<Request>>,
    pub(super) faults_left: u8,
}

impl SystemState {
    pub(super) fn new(model: &ClaimModel) -> Self {
        let bounds = model.bounds;
        let daemon = |index| {
            let id = DaemonId {
                index,
                incarnation: 0,
            };
            Interned::new(Daemon::new(model, id))
        };
        let request = |number: usize| {
            Interned::new(Request {
                key: number / bounds.requests_per_key,
                daemon: number % bounds.daemons,
                sender: None,
                verdict: None,
                is_in_flight: false,
                executions: 0,
                caller_result: CallerResult::Pending,
            })
        };
        let mut system = Self {
            clock_position: 0,
            log: Interned::new(Log {
                payloads: Vec::new(),
                complete_fold: PartitionFold::new(KeyAgeLimits::default(), Offset(0)),
            }),
            first_offset: Offset(0),
            delayed_appends: Vec::new(),
            daemons: (0..bounds.daemons as u32).map(daemon).collect(),
            requests: (0..bounds.requests_per_key * bounds.keys)
                .map(request)
                .collect(),
            faults_left: bounds.faults,
        };
        for daemon in 0..bounds.daemons {
            system.handle_owner_event(model, daemon, OwnerEvent::Tick);
        }
        // Only the first daemon reads now. The others may read the empty log as well or find
        // records of the first daemon in it.
        system.read_log(model, 0);
        system
    }

    pub(super) fn now(&self) -> Now {
        Now {
            uptime: Duration::from_millis(CLOCK_POSITIONS_MS[self.clock_position]),
            wall_ms: CLOCK_POSITIONS_MS[self.clock_position],
        }
    }

    pub(super) fn was_executed_with(&self, key: usize, status: u16) -> bool {
        self.requests.iter().enumerate().any(|(number, request)| {
            request.key == key && request.executions > 0 && status_of_request(number) == status
        })
    }

    /// Returns the claim for a request that starts now.
    pub(super) fn new_claim(&self, number: usize) -> ClaimRequest {
        let request = &self.requests[number];
        ClaimRequest {
            key: claim_key(request.key),
            body: RequestDigest([0; 32]),
            attempt: Attempt {
                holder: self.daemons[request.daemon].id,
                number: AttemptId(number as u64),
            },
            deadline_ms: CLOCK_POSITIONS_MS[self.clock_position] + DEADLINE_MS,
            key_time: KeyTime(0),
        }
    }

    pub(super) fn handle_owner_event(
        &mut self,
        model: &ClaimModel,
        daemon: usize,
        event: OwnerEvent,
    ) {
        let now = self.now();
        let actions = self.daemons[daemon].make_mut().owner.handle(event, now);
        self.apply_owner_actions(model, daemon, actions);
    }

    fn submit(&mut self, model: &ClaimModel, daemon: usize, submission: Submission) {
        let now = self.now();
        let actions = self.daemons[daemon]
            .make_mut()
            .owner
            .submit(submission, now)
            .expect("the model's queues are large enough");
        self.apply_owner_actions(model, daemon, actions);
    }

    fn apply_owner_actions(&mut self, model: &ClaimModel, index: usize, actions: Vec<OwnerAction>) {
        for action in actions {
            match action {
                OwnerAction::Append { batch, payload } => {
                    let append = Append {
                        batch,
                        payload: payload.into(),
                    };
                    self.daemons[index].make_mut().append = Some(append);
                }
                OwnerAction::Read { from } => {
                    self.daemons[index].make_mut().read = Some(from);
                }
                OwnerAction::Verdict {
                    attempt, verdict, ..
                } => self.send_verdict(model, attempt, &verdict),
                OwnerAction::Halted(error) => {
                    panic!("the model writes records of one format only: {error}")
                }
            }
        }
    }

    /// Sends a verdict to the sender of the request that it is for. Only the arrival time of a
    /// granted verdict makes a difference, so the others are delivered at once.
    fn send_verdict(&mut self, model: &ClaimModel, attempt: Attempt, verdict: &Verdict) {
        for number in 0..self.requests.len() {
            let request = &mut self.requests[number];
            let is_addressee = request
                .sender
                .as_ref()
                .is_some_and(|sender| sender.claim().attempt == attempt && !sender.is_ended());
            if is_addressee && *verdict == Verdict::Granted {
                request.make_mut().verdict = Some(verdict.clone());
            } else if is_addressee {
                let verdict = verdict.clone();
                self.handle_sender_event(model, number, SenderEvent::Verdict { attempt, verdict });
            }
        }
    }

    pub(super) fn handle_sender_event(
        &mut self,
        model: &ClaimModel,
        number: usize,
        event: SenderEvent,
    ) {
        let now = self.now().uptime;
        let Some(sender) = &mut self.requests[number].make_mut().sender else {
            return;
        };
        let was_sent = sender.is_sent();
        for action in sender.handle(event, now) {
            match action {
                SenderAction::Submit(submission) => {
                    let submission = mutate_submission(model, submission, was_sent);
                    self.submit(model, self.requests[number].daemon, submission);
                }
                SenderAction::Send(_) => self.requests[number].make_mut().is_in_flight = true,
                SenderAction::Reply(reply) => {
                    self.requests[number].make_mut().caller_result =
                        caller_result_of(model, &reply);
                }
            }
        }
    }

    /// Returns the fold that a daemon has after it starts now and reads the log.
    pub(super) fn fold_of_new_daemon(&self) -> PartitionFold {
        let mut fold = PartitionFold::new(KeyAgeLimits::default(), self.first_offset);
        for record in self.log.records(self.first_offset) {
            fold.apply(&record).expect("the model's log has no gaps");
        }
        fold
    }

    /// Serves the outstanding read of a daemon's owner, if there is one.
    pub(super) fn read_log(&mut self, model: &ClaimModel, daemon: usize) {
        let Some(from) = self.daemons[daemon].make_mut().read.take() else {
            return;
        };
        let first = self.first_offset;
        if from < first {
            return self.handle_owner_event(model, daemon, OwnerEvent::ReadTrimmed { first });
        }
        let slice = LogSlice {
            first_offset: first,
            next_offset: self.log.end(),
            records: self.log.records(from),
        };
        self.handle_owner_event(model, daemon, OwnerEvent::ReadCompleted(slice));
    }

    /// Returns whether a daemon would lose more than its fold in a crash.
    pub(super) fn has_state_to_lose(&self, index: usize) -> bool {
        let has_open_request =
            |request: &Interned<Request>| request.daemon == index && request.sender.is_some();
        !self.daemons[index].owner.is_idle() || self.requests.iter().any(has_open_request)
    }

    /// Replaces a daemon by a new incarnation. Its append and the requests that it has sent are
    /// still in flight and may take effect.
    pub(super) fn crash(&mut self, model: &ClaimModel, index: usize) {
        let old = &self.daemons[index];
        if let Some(append) = &old.append {
            self.delayed_appends.push(Arc::clone(&append.payload));
        }
        let id = DaemonId {
            index: old.id.index,
            incarnation: old.id.incarnation + 1,
        };
        self.daemons[index] = Interned::new(Daemon::new(model, id));
        for request in &mut self.requests {
            if request.daemon == index && request.sender.is_some() {
                let request = request.make_mut();
                request.sender = None;
                request.verdict = None;
                if request.caller_result == CallerResult::Pending {
                    request.caller_result = CallerResult::ConnectionLost;
                }
            }
        }
        self.handle_owner_event(model, index, OwnerEvent::Tick);
    }
}

/// Returns the status of the answer to a request.
pub(super) fn status_of_request(number: usize) -> u16 {
    FIRST_STATUS + number as u16
}

pub(super) fn answer_of_request(number: usize) -> RecordedAnswer {
    RecordedAnswer {
        status: status_of_request(number),
        body: AnswerBody::Kept {
            content_type: String::new(),
            bytes: Vec::new(),
        },
    }
}

/// Applies the mutants that alter a submission to the owner.
fn mutate_submission(model: &ClaimModel, submission: Submission, was_sent: bool) -> Submission {
    match submission {
        Submission::Expire { key, attempt }
            if model.has_mutant(Mutant::AbandonAfterSend) && was_sent =>
        {
            Submission::Abandon { key, attempt }
        }
        Submission::Outcome { key, attempt, .. }
            if model.has_mutant(Mutant::WrongAnswerRecorded) =>
        {
            let answer = answer_of_request(usize::from(u16::MAX - FIRST_STATUS));
            Submission::Outcome {
                key,
                attempt,
                answer,
            }
        }
        other => other,
    }
}

fn caller_result_of(model: &ClaimModel, reply: &Reply) -> CallerResult {
    match reply {
        Reply::Answer => CallerResult::OwnAnswer,
        Reply::Recorded(answer) => CallerResult::Recorded(answer.status),
        Reply::Failed(_) if model.has_mutant(Mutant::StageSetLate) => {
            CallerResult::Failed(Executed::No)
        }
        Reply::Failed(failure) => CallerResult::Failed(failure.executed()),
    }
}
