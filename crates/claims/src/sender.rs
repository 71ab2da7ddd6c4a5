//! One non-idempotent request on the daemon that serves its caller.

use crate::owner::Submission;
use crate::record::{Attempt, ClaimRequest, RecordedAnswer, Unavailable, Verdict};
use anvilgw_core::{ErrorKind, Failure, Stage};
use std::time::Duration;

/// What happened to the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SenderEvent {
    /// The request was admitted and its claim can be requested.
    Admitted,
    /// The owner's verdict arrived.
    Verdict {
        /// The attempt that it is about.
        attempt: Attempt,
        /// The verdict.
        verdict: Verdict,
    },
    /// The owner could not be reached, or its answer was lost.
    OwnerUnreachable,
    /// The connection to the backend server could not be opened.
    ConnectFailed,
    /// A connection is open and the request can be written now.
    ReadyToSend {
        /// Whether the daemon's view of the configuration is fresh and the server in service.
        is_backend_usable: bool,
    },
    /// The backend server began to answer.
    AnswerStarted,
    /// The complete answer was received.
    AnswerComplete(RecordedAnswer),
    /// The connection broke, went silent or the answer was not valid.
    AnswerLost(ErrorKind),
    /// The request is given up: its deadline passed, its caller left or the daemon is draining.
    Cancelled(ErrorKind),
}

/// Permission to write the request to a backend server once. Only the sender makes one, and writing
/// consumes it.
#[derive(Debug, PartialEq, Eq)]
pub struct SendPermit {
    attempt: Attempt,
}

impl SendPermit {
    /// The attempt that may be sent.
    #[must_use]
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }
}

/// What the caller gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The answer of this attempt, which the daemon has passed on or passes on now.
    Answer,
    /// The answer that was recorded for an earlier request with the key.
    Recorded(RecordedAnswer),
    /// A refusal or failure.
    Failed(Failure),
}

/// What the daemon has to do for the request.
#[derive(Debug, PartialEq, Eq)]
pub enum SenderAction {
    /// Send this to the owner of the key's partition: a claim, outcome, abandon or expiry.
    Submit(Submission),
    /// Write the request to the open connection now.
    Send(SendPermit),
    /// Answer the caller. Happens once.
    Reply(Reply),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    Received,
    Requested,
    Granted,
    Sent,
    Started,
    Ended,
}

/// State machine of one attempt, from receipt to end.
///
/// It is used for one attempt only: a repeat is a new sender with a new attempt number.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimSender {
    claim: ClaimRequest,
    deadline: Duration,
    state: State,
    was_granted: bool,
    sends: u32,
    was_answered: bool,
}

impl ClaimSender {
    /// Creates a sender for a claim; `deadline` is the uptime after which nothing is sent.
    #[must_use]
    pub fn new(claim: ClaimRequest, deadline: Duration) -> Self {
        Self {
            claim,
            deadline,
            state: State::Received,
            was_granted: false,
            sends: 0,
            was_answered: false,
        }
    }

    /// The claim of the request.
    #[must_use]
    pub fn claim(&self) -> &ClaimRequest {
        &self.claim
    }

    /// Whether the request was handed to a backend server.
    #[must_use]
    pub fn is_sent(&self) -> bool {
        self.sends > 0
    }

    /// Whether nothing is left to do.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Furthest stage that the request has reached.
    #[must_use]
    pub fn stage(&self) -> Stage {
        match self.state {
            State::Received => Stage::Received,
            State::Requested => Stage::Queued,
            State::Granted => Stage::Claimed,
            State::Sent => Stage::Written,
            State::Started => Stage::AnswerStarted,
            State::Ended if self.is_sent() => Stage::AnswerComplete,
            State::Ended => Stage::Received,
        }
    }

    /// Handles an event. Events that do not fit the state, such as late verdicts, have no effect.
    ///
    /// # Panics
    ///
    /// Panics if the request would be sent without a granted claim or a second time. That would be a
    /// defect in this module; the process must not continue with it.
    pub fn handle(&mut self, event: SenderEvent, now: Duration) -> Vec<SenderAction> {
        let mut actions = Vec::new();
        match (self.state, event) {
            (State::Received, SenderEvent::Admitted) if now >= self.deadline => {
                self.end_unsent(ErrorKind::DeadlineExceeded, Stage::Queued, &mut actions);
            }
            (State::Received, SenderEvent::Admitted) => {
                self.state = State::Requested;
                actions.push(SenderAction::Submit(Submission::Claim(self.claim)));
            }
            (State::Requested, SenderEvent::Verdict { attempt, verdict })
                if attempt == self.claim.attempt =>
            {
                self.on_verdict(verdict, &mut actions);
            }
            (State::Requested, SenderEvent::OwnerUnreachable) => {
                // The owner may have received the claim, so it has to be abandoned.
                self.give_up_claim(ErrorKind::ClaimUnavailable, Stage::Queued, &mut actions);
            }
            (State::Granted, SenderEvent::ConnectFailed) => {
                self.give_up_claim(ErrorKind::BackendFailed, Stage::Connecting, &mut actions);
            }
            (State::Granted, SenderEvent::ReadyToSend { is_backend_usable }) => {
                self.check_and_send(is_backend_usable, now, &mut actions);
            }
            (State::Sent, SenderEvent::AnswerStarted) => self.state = State::Started,
            (State::Sent | State::Started, SenderEvent::AnswerComplete(answer)) => {
                self.on_answer(answer, &mut actions);
            }
            (State::Sent | State::Started, SenderEvent::AnswerLost(kind)) => {
                self.on_answer_lost(kind, &mut actions);
            }
            (_, SenderEvent::Cancelled(kind)) => self.on_give_up(kind, &mut actions),
            _ => {}
        }
        actions
    }

    fn on_verdict(&mut self, verdict: Verdict, actions: &mut Vec<SenderAction>) {
        let (kind, stage, detail) = match verdict {
            Verdict::Granted => {
                self.state = State::Granted;
                self.was_granted = true;
                return;
            }
            Verdict::Done(answer) => {
                self.state = State::Ended;
                return self.reply(Reply::Recorded(answer), actions);
            }
            Verdict::InProgress => (
                ErrorKind::InProgress,
                Stage::ClaimedElsewhere,
                "an earlier request with this idempotency key has no outcome yet",
            ),
            Verdict::Unknown => (
                ErrorKind::OutcomeUnknown,
                Stage::ClaimedElsewhere,
                "an earlier request with this idempotency key has an unknown outcome",
            ),
            Verdict::KeyReused => (
                ErrorKind::KeyReused,
                Stage::Queued,
                "the idempotency key was used with another request",
            ),
            // An earlier request with the key may have been executed, and its records trimmed.
            Verdict::TooOld => (
                ErrorKind::KeyTooOld,
                Stage::ClaimedElsewhere,
                "the idempotency key is older than what the log is certain to hold",
            ),
            Verdict::FromFuture => (
                ErrorKind::BadRequest,
                Stage::Queued,
                "the time of the idempotency key is in the future",
            ),
            Verdict::Unavailable(reason) => (
                ErrorKind::ClaimUnavailable,
                Stage::Queued,
                unavailable_detail(reason),
            ),
        };
        self.state = State::Ended;
        self.reply(Reply::Failed(Failure::new(kind, stage, detail)), actions);
    }

    fn check_and_send(
        &mut self,
        is_backend_usable: bool,
        now: Duration,
        actions: &mut Vec<SenderAction>,
    ) {
        if now >= self.deadline {
            self.give_up_claim(ErrorKind::DeadlineExceeded, Stage::Connecting, actions);
        } else if !is_backend_usable {
            self.give_up_claim(ErrorKind::StaleView, Stage::Connecting, actions);
        } else {
            assert!(
                self.was_granted && self.sends == 0,
                "a request is sent only with a granted claim and only once"
            );
            self.sends += 1;
            self.state = State::Sent;
            actions.push(SenderAction::Send(SendPermit {
                attempt: self.claim.attempt,
            }));
        }
    }

    fn on_answer(&mut self, answer: RecordedAnswer, actions: &mut Vec<SenderAction>) {
        self.state = State::Ended;
        actions.push(SenderAction::Submit(Submission::Outcome {
            key: self.claim.key,
            attempt: self.claim.attempt,
            answer,
        }));
        self.reply(Reply::Answer, actions);
    }

    fn on_answer_lost(&mut self, kind: ErrorKind, actions: &mut Vec<SenderAction>) {
        let stage = match self.state {
            State::Started => Stage::AnswerStarted,
            _ => Stage::AnswerLost,
        };
        self.state = State::Ended;
        // Repeats learn at once that the outcome is unknown instead of after the deadline.
        actions.push(SenderAction::Submit(Submission::Expire {
            key: self.claim.key,
            attempt: self.claim.attempt,
        }));
        let failure = Failure::new(kind, stage, "the answer of the backend server was lost");
        self.reply(Reply::Failed(failure), actions);
    }

    fn on_give_up(&mut self, kind: ErrorKind, actions: &mut Vec<SenderAction>) {
        match self.state {
            State::Received => self.end_unsent(kind, Stage::Queued, actions),
            State::Requested | State::Granted => {
                let stage = self.stage();
                self.give_up_claim(kind, stage, actions);
            }
            // The caller is answered; the sender goes on, so that a late answer is recorded.
            State::Sent | State::Started => {
                let failure = Failure::new(kind, self.stage(), "given up after it was sent");
                self.reply(Reply::Failed(failure), actions);
            }
            State::Ended => {}
        }
    }

    fn give_up_claim(&mut self, kind: ErrorKind, stage: Stage, actions: &mut Vec<SenderAction>) {
        assert!(
            self.sends == 0,
            "a claim is abandoned only if its request was not sent"
        );
        actions.push(SenderAction::Submit(Submission::Abandon {
            key: self.claim.key,
            attempt: self.claim.attempt,
        }));
        self.end_unsent(kind, stage, actions);
    }

    fn end_unsent(&mut self, kind: ErrorKind, stage: Stage, actions: &mut Vec<SenderAction>) {
        self.state = State::Ended;
        let failure = Failure::new(kind, stage, "given up before it was sent");
        self.reply(Reply::Failed(failure), actions);
    }

    fn reply(&mut self, reply: Reply, actions: &mut Vec<SenderAction>) {
        if !self.was_answered {
            self.was_answered = true;
            actions.push(SenderAction::Reply(reply));
        }
    }
}

fn unavailable_detail(reason: Unavailable) -> &'static str {
    match reason {
        Unavailable::Log => "the log service did not confirm the claim",
        Unavailable::QueueFull => "too many claims wait",
        Unavailable::Undated => "the claim stream was trimmed and is not dated yet",
        Unavailable::Owner => "the owner of the claim partition did not answer",
    }
}
