//! State of the claim model and what the daemons' actions do to it.

use super::{ClaimModel, DEADLINE_MS, TIMES_MS, key_of};
use crate::mutant::Mutant;
use crate::shared::{Pool, Shared};
use anvilgw_claims::{
    AnswerBody, Attempt, BatchId, ClaimRequest, ClaimSender, KeyAgeLimits, KeyTime, Now,
    OwnerAction, OwnerEvent, PartitionFold, PartitionOwner, RecordedAnswer, Reply, RequestDigest,
    SenderAction, SenderEvent, Submission, Verdict,
};
use anvilgw_core::{AttemptId, DaemonId, Executed, LogRecord, LogSlice, Offset};
use std::sync::Arc;
use std::time::Duration;

/// First HTTP status of an answer; each request's execution has its own, so that answers differ.
const FIRST_STATUS: u16 = 200;

/// An append that was handed to the log service.
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
            .with_flaw(model.mutant.and_then(Mutant::flaw));
        Self {
            id,
            owner,
            append: None,
            read: None,
        }
    }
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Answered {
    Not,
    /// The connection broke with the daemon.
    Broken,
    /// The answer of its own attempt.
    Own,
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
    /// A verdict on its way to the sender.
    pub(super) verdict: Option<Verdict>,
    /// Written by the sender and not executed yet: the check is behind it.
    pub(super) on_wire: bool,
    pub(super) executions: u8,
    pub(super) answered: Answered,
}

impl Request {
    pub(super) fn was_started(&self) -> bool {
        self.sender.is_some() || self.answered != Answered::Not
    }

    /// Whether the caller was answered and the sender has ended.
    pub(super) fn is_over(&self) -> bool {
        match &self.sender {
            // Not made yet, or ended with its daemon.
            None => true,
            Some(sender) => self.answered != Answered::Not && sender.is_ended(),
        }
    }
}

/// The log service's stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Log {
    pub(super) payloads: Vec<Arc<[u8]>>,
    /// State as an observer with all records sees it.
    pub(super) observed: PartitionFold,
}

impl Log {
    pub(super) fn push(&mut self, payload: Arc<[u8]>) -> Offset {
        let offset = Offset(self.payloads.len() as u64);
        let record = LogRecord {
            offset,
            payload: payload.to_vec(),
        };
        self.observed
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

/// Parts that states have in common.
#[derive(Default)]
pub(super) struct Pools {
    logs: Pool<Log>,
    daemons: Pool<Daemon>,
    requests: Pool<Request>,
}

impl Pools {
    pub(super) fn share(&self, world: &mut World) {
        self.logs.share(&mut world.log);
        for daemon in &mut world.daemons {
            self.daemons.share(daemon);
        }
        for request in &mut world.requests {
            self.requests.share(request);
        }
    }
}

/// State of the claim model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct World {
    /// Position of the clock.
    pub(super) time: usize,
    pub(super) log: Shared<Log>,
    /// Oldest retained offset.
    pub(super) first: Offset,
    /// Appends whose answer was lost and that may still take effect.
    pub(super) late: Vec<Arc<[u8]>>,
    pub(super) daemons: Vec<Shared<Daemon>>,
    pub(super) requests: Vec<Shared<Request>>,
    pub(super) faults_left: u8,
}

impl World {
    pub(super) fn new(model: &ClaimModel) -> Self {
        let bounds = model.bounds;
        let daemon = |index| {
            let id = DaemonId {
                index,
                incarnation: 0,
            };
            Shared::new(Daemon::new(model, id))
        };
        let request = |number: usize| {
            Shared::new(Request {
                key: number / bounds.requests_per_key,
                daemon: number % bounds.daemons,
                sender: None,
                verdict: None,
                on_wire: false,
                executions: 0,
                answered: Answered::Not,
            })
        };
        let mut world = Self {
            time: 0,
            log: Shared::new(Log {
                payloads: Vec::new(),
                observed: PartitionFold::new(KeyAgeLimits::default(), Offset(0)),
            }),
            first: Offset(0),
            late: Vec::new(),
            daemons: (0..bounds.daemons as u32).map(daemon).collect(),
            requests: (0..bounds.requests_per_key * bounds.keys)
                .map(request)
                .collect(),
            faults_left: bounds.faults,
        };
        for daemon in 0..bounds.daemons {
            world.tell_owner(model, daemon, OwnerEvent::Tick);
        }
        // The others read the empty log first, or find the records of the first daemon in it.
        world.read_log(model, 0);
        world
    }

    pub(super) fn now(&self) -> Now {
        Now {
            uptime: Duration::from_millis(TIMES_MS[self.time]),
            wall_ms: TIMES_MS[self.time],
        }
    }

    pub(super) fn was_executed_with(&self, key: usize, status: u16) -> bool {
        self.requests.iter().enumerate().any(|(number, request)| {
            request.key == key && request.executions > 0 && status_of(number) == status
        })
    }

    /// Makes the claim of a request that starts now.
    pub(super) fn new_claim(&self, number: usize) -> ClaimRequest {
        let request = &self.requests[number];
        ClaimRequest {
            key: key_of(request.key),
            body: RequestDigest([0; 32]),
            attempt: Attempt {
                holder: self.daemons[request.daemon].id,
                number: AttemptId(number as u64),
            },
            deadline_ms: TIMES_MS[self.time] + DEADLINE_MS,
            key_time: KeyTime(0),
        }
    }

    pub(super) fn tell_owner(&mut self, model: &ClaimModel, daemon: usize, event: OwnerEvent) {
        let now = self.now();
        let actions = self.daemons[daemon].edit().owner.handle(event, now);
        self.do_owner_actions(model, daemon, actions);
    }

    fn submit(&mut self, model: &ClaimModel, daemon: usize, submission: Submission) {
        let now = self.now();
        let actions = self.daemons[daemon]
            .edit()
            .owner
            .submit(submission, now)
            .expect("the model's queues are large enough");
        self.do_owner_actions(model, daemon, actions);
    }

    fn do_owner_actions(&mut self, model: &ClaimModel, index: usize, actions: Vec<OwnerAction>) {
        for action in actions {
            match action {
                OwnerAction::Append { batch, payload } => {
                    let append = Append {
                        batch,
                        payload: payload.into(),
                    };
                    self.daemons[index].edit().append = Some(append);
                }
                OwnerAction::Read { from } => {
                    self.daemons[index].edit().read = Some(from);
                }
                OwnerAction::Verdict {
                    attempt, verdict, ..
                } => self.send_verdict(model, attempt, &verdict),
                OwnerAction::Halted(error) => panic!("the model writes one format only: {error}"),
            }
        }
    }

    /// Only the time at which a granted verdict arrives makes a difference; others are delivered at
    /// once.
    fn send_verdict(&mut self, model: &ClaimModel, attempt: Attempt, verdict: &Verdict) {
        for number in 0..self.requests.len() {
            let request = &mut self.requests[number];
            let is_addressee = request
                .sender
                .as_ref()
                .is_some_and(|sender| sender.claim().attempt == attempt && !sender.is_ended());
            if is_addressee && *verdict == Verdict::Granted {
                request.edit().verdict = Some(verdict.clone());
            } else if is_addressee {
                let verdict = verdict.clone();
                self.tell_sender(model, number, SenderEvent::Verdict { attempt, verdict });
            }
        }
    }

    pub(super) fn tell_sender(&mut self, model: &ClaimModel, number: usize, event: SenderEvent) {
        let now = self.now().uptime;
        let Some(sender) = &mut self.requests[number].edit().sender else {
            return;
        };
        let was_sent = sender.is_sent();
        for action in sender.handle(event, now) {
            match action {
                SenderAction::Submit(submission) => {
                    let submission = planted(model, submission, was_sent);
                    self.submit(model, self.requests[number].daemon, submission);
                }
                SenderAction::Send(_) => self.requests[number].edit().on_wire = true,
                SenderAction::Reply(reply) => {
                    self.requests[number].edit().answered = answered(model, &reply);
                }
            }
        }
    }

    /// Fold of a daemon that starts now.
    pub(super) fn fresh_fold(&self) -> PartitionFold {
        let mut fold = PartitionFold::new(KeyAgeLimits::default(), self.first);
        for record in self.log.records(self.first) {
            fold.apply(&record).expect("the model's log has no gaps");
        }
        fold
    }

    /// Serves the read of a daemon's owner.
    pub(super) fn read_log(&mut self, model: &ClaimModel, daemon: usize) {
        let Some(from) = self.daemons[daemon].edit().read.take() else {
            return;
        };
        let first = self.first;
        if from < first {
            return self.tell_owner(model, daemon, OwnerEvent::ReadTrimmed { first });
        }
        let slice = LogSlice {
            first_offset: first,
            next_offset: self.log.end(),
            records: self.log.records(from),
        };
        self.tell_owner(model, daemon, OwnerEvent::ReadCompleted(slice));
    }

    /// Whether a daemon has anything to lose but its fold.
    pub(super) fn can_crash_matter(&self, index: usize) -> bool {
        let is_busy =
            |request: &Shared<Request>| request.daemon == index && request.sender.is_some();
        !self.daemons[index].owner.is_idle() || self.requests.iter().any(is_busy)
    }

    /// Ends a daemon. What it has written to the network may still arrive.
    pub(super) fn crash(&mut self, model: &ClaimModel, index: usize) {
        let old = &self.daemons[index];
        if let Some(append) = &old.append {
            self.late.push(Arc::clone(&append.payload));
        }
        let id = DaemonId {
            index: old.id.index,
            incarnation: old.id.incarnation + 1,
        };
        self.daemons[index] = Shared::new(Daemon::new(model, id));
        for request in &mut self.requests {
            if request.daemon == index && request.sender.is_some() {
                let request = request.edit();
                request.sender = None;
                request.verdict = None;
                if request.answered == Answered::Not {
                    request.answered = Answered::Broken;
                }
            }
        }
        self.tell_owner(model, index, OwnerEvent::Tick);
    }
}

/// Status of the answer that a request's execution gives.
pub(super) fn status_of(number: usize) -> u16 {
    FIRST_STATUS + number as u16
}

pub(super) fn answer_of(number: usize) -> RecordedAnswer {
    RecordedAnswer {
        status: status_of(number),
        body: AnswerBody::Kept {
            content_type: String::new(),
            bytes: Vec::new(),
        },
    }
}

fn planted(model: &ClaimModel, submission: Submission, was_sent: bool) -> Submission {
    match submission {
        Submission::Expire { key, attempt } if model.is(Mutant::AbandonAfterSend) && was_sent => {
            Submission::Abandon { key, attempt }
        }
        Submission::Outcome { key, attempt, .. } if model.is(Mutant::WrongAnswerRecorded) => {
            let answer = answer_of(usize::from(u16::MAX - FIRST_STATUS));
            Submission::Outcome {
                key,
                attempt,
                answer,
            }
        }
        other => other,
    }
}

fn answered(model: &ClaimModel, reply: &Reply) -> Answered {
    match reply {
        Reply::Answer => Answered::Own,
        Reply::Recorded(answer) => Answered::Recorded(answer.status),
        Reply::Failed(_) if model.is(Mutant::StageSetLate) => Answered::Failed(Executed::No),
        Reply::Failed(failure) => Answered::Failed(failure.executed()),
    }
}
