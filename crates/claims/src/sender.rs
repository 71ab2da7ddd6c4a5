//! State machine of one non-idempotent request on the daemon that serves its caller.

use crate::owner::Submission;
use crate::record::{Attempt, ClaimRequest, RecordedAnswer, Unavailable, Verdict};
use anvilgw_core::{ErrorKind, Failure, Stage};
use std::time::Duration;

/// Input of the sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SenderEvent {
    /// The request was admitted, so its claim can be submitted.
    Admitted,
    /// The partition's owner returned a verdict.
    Verdict {
        /// The attempt whose claim was decided.
        attempt: Attempt,
        /// The verdict.
        verdict: Verdict,
    },
    /// The partition's owner could not be reached, or its verdict was lost. It may have received
    /// the claim.
    OwnerUnreachable,
    /// The connection to the backend server could not be opened.
    ConnectFailed,
    /// The connection to the backend server is open and the request can be written now.
    ReadyToSend {
        /// Whether the daemon's view of the configuration is fresh and has the backend server in
        /// service. Otherwise the request is not sent.
        is_backend_usable: bool,
    },
    /// The first part of the backend server's answer was received.
    AnswerStarted,
    /// The backend server's answer was received completely.
    AnswerComplete(RecordedAnswer),
    /// No complete answer will be received: the connection broke or timed out, or the answer was
    /// not valid.
    AnswerLost(ErrorKind),
    /// The daemon stops working on the request: its deadline passed, its caller disconnected or the
    /// daemon is draining.
    Cancelled(ErrorKind),
}

/// Permission to write the request to a backend server once. Only a [`ClaimSender`] can create one,
/// and it cannot be copied.
#[derive(Debug, PartialEq, Eq)]
pub struct SendPermit {
    attempt: Attempt,
}

impl SendPermit {
    /// Returns the attempt whose request may be sent.
    #[must_use]
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }
}

/// Response to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The answer that the backend server gave to this attempt.
    Answer,
    /// The answer that was recorded for an earlier request with the same key.
    Recorded(RecordedAnswer),
    /// The request was refused or failed.
    Failed(Failure),
}

/// Output of the sender, which the daemon carries out.
#[derive(Debug, PartialEq, Eq)]
pub enum SenderAction {
    /// Submit this claim, outcome, abandonment or expiry to the owner of the key's partition.
    Submit(Submission),
    /// Write the request to the open connection now.
    Send(SendPermit),
    /// Respond to the caller. Returned once per request.
    Reply(Reply),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    Received,
    ClaimSubmitted,
    ClaimGranted,
    Sent,
    AnswerStarted,
    Ended,
}

/// State machine of one attempt to execute a request, from receipt to the recorded outcome.
///
/// It is used for one attempt only. If the caller repeats the request, that is another attempt with
/// its own sender and number.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimSender {
    claim: ClaimRequest,
    deadline: Duration,
    state: State,
    was_granted: bool,
    /// Number of times that the request was written to a backend server, at most one.
    sends: u32,
    has_replied: bool,
}

impl ClaimSender {
    /// Creates a sender for a claim; `deadline` is the uptime from which the request is not sent.
    #[must_use]
    pub fn new(claim: ClaimRequest, deadline: Duration) -> Self {
        Self {
            claim,
            deadline,
            state: State::Received,
            was_granted: false,
            sends: 0,
            has_replied: false,
        }
    }

    /// Returns the claim of the request.
    #[must_use]
    pub fn claim(&self) -> &ClaimRequest {
        &self.claim
    }

    /// Returns whether the request may have reached a backend server.
    #[must_use]
    pub fn is_sent(&self) -> bool {
        self.sends > 0
    }

    /// Returns whether the attempt has ended, so that further events have no effect.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Returns the stage that the request has reached.
    #[must_use]
    pub fn stage(&self) -> Stage {
        match self.state {
            State::Received => Stage::Received,
            State::ClaimSubmitted => Stage::Queued,
            State::ClaimGranted => Stage::Claimed,
            State::Sent => Stage::Written,
            State::AnswerStarted => Stage::AnswerStarted,
            State::Ended if self.is_sent() => Stage::AnswerComplete,
            State::Ended => Stage::Received,
        }
    }

    /// Handles an event and returns the actions that it leads to. Events that do not fit the state,
    /// such as late verdicts, have no effect.
    ///
    /// # Panics
    ///
    /// Panics if the request would be sent without a granted claim or a second time, or abandoned
    /// after it was sent. The request could then be executed twice, so the process must not
    /// continue with such a defect in this module.
    pub fn handle(&mut self, event: SenderEvent, now: Duration) -> Vec<SenderAction> {
        let mut actions = Vec::new();
        match (self.state, event) {
            (State::Received, SenderEvent::Admitted) if now >= self.deadline => {
                self.end_before_sending(ErrorKind::DeadlineExceeded, Stage::Queued, &mut actions);
            }
            (State::Received, SenderEvent::Admitted) => {
                self.state = State::ClaimSubmitted;
                actions.push(SenderAction::Submit(Submission::Claim(self.claim)));
            }
            (State::ClaimSubmitted, SenderEvent::Verdict { attempt, verdict })
                if attempt == self.claim.attempt =>
            {
                self.on_verdict(verdict, &mut actions);
            }
            (State::ClaimSubmitted, SenderEvent::OwnerUnreachable) => {
                // The owner may have received the claim and still append it, so it is abandoned.
                self.abandon_claim(ErrorKind::ClaimUnavailable, Stage::Queued, &mut actions);
            }
            (State::ClaimGranted, SenderEvent::ConnectFailed) => {
                self.abandon_claim(ErrorKind::BackendFailed, Stage::Connecting, &mut actions);
            }
            (State::ClaimGranted, SenderEvent::ReadyToSend { is_backend_usable }) => {
                self.check_and_send(is_backend_usable, now, &mut actions);
            }
            (State::Sent, SenderEvent::AnswerStarted) => self.state = State::AnswerStarted,
            (State::Sent | State::AnswerStarted, SenderEvent::AnswerComplete(answer)) => {
                self.on_answer_complete(answer, &mut actions);
            }
            (State::Sent | State::AnswerStarted, SenderEvent::AnswerLost(kind)) => {
                self.on_answer_lost(kind, &mut actions);
            }
            (_, SenderEvent::Cancelled(kind)) => self.on_cancelled(kind, &mut actions),
            _ => {}
        }
        actions
    }

    fn on_verdict(&mut self, verdict: Verdict, actions: &mut Vec<SenderAction>) {
        let (kind, stage, detail) = match verdict {
            Verdict::Granted => {
                self.state = State::ClaimGranted;
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
                "an earlier request with this idempotency key is still in progress",
            ),
            Verdict::Unknown => (
                ErrorKind::OutcomeUnknown,
                Stage::ClaimedElsewhere,
                "the outcome of an earlier request with this idempotency key is unknown",
            ),
            Verdict::KeyReused => (
                ErrorKind::KeyReused,
                Stage::Queued,
                "the idempotency key was used with a different request",
            ),
            // An earlier request with the key may have been executed, and its records trimmed
            // since.
            Verdict::TooOld => (
                ErrorKind::KeyTooOld,
                Stage::ClaimedElsewhere,
                "the idempotency key is too old: its records may have been trimmed from the log",
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
            self.abandon_claim(ErrorKind::DeadlineExceeded, Stage::Connecting, actions);
        } else if !is_backend_usable {
            self.abandon_claim(ErrorKind::StaleView, Stage::Connecting, actions);
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

    fn on_answer_complete(&mut self, answer: RecordedAnswer, actions: &mut Vec<SenderAction>) {
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
            State::AnswerStarted => Stage::AnswerStarted,
            _ => Stage::AnswerLost,
        };
        self.state = State::Ended;
        // With this record, repeated requests learn at once that the outcome is unknown. Otherwise
        // they would be told that the request is in progress until the claim expires.
        actions.push(SenderAction::Submit(Submission::Expire {
            key: self.claim.key,
            attempt: self.claim.attempt,
        }));
        let failure = Failure::new(kind, stage, "the answer of the backend server was lost");
        self.reply(Reply::Failed(failure), actions);
    }

    fn on_cancelled(&mut self, kind: ErrorKind, actions: &mut Vec<SenderAction>) {
        match self.state {
            State::Received => self.end_before_sending(kind, Stage::Queued, actions),
            State::ClaimSubmitted | State::ClaimGranted => {
                let stage = self.stage();
                self.abandon_claim(kind, stage, actions);
            }
            // The caller gets the failure now. The state stays, so that a late answer is recorded.
            State::Sent | State::AnswerStarted => {
                let failure =
                    Failure::new(kind, self.stage(), "cancelled after the request was sent");
                self.reply(Reply::Failed(failure), actions);
            }
            State::Ended => {}
        }
    }

    fn abandon_claim(&mut self, kind: ErrorKind, stage: Stage, actions: &mut Vec<SenderAction>) {
        assert!(
            self.sends == 0,
            "a claim is abandoned only if its request was not sent"
        );
        actions.push(SenderAction::Submit(Submission::Abandon {
            key: self.claim.key,
            attempt: self.claim.attempt,
        }));
        self.end_before_sending(kind, stage, actions);
    }

    fn end_before_sending(
        &mut self,
        kind: ErrorKind,
        stage: Stage,
        actions: &mut Vec<SenderAction>,
    ) {
        self.state = State::Ended;
        let failure = Failure::new(kind, stage, "the request was not sent");
        self.reply(Reply::Failed(failure), actions);
    }

    fn reply(&mut self, reply: Reply, actions: &mut Vec<SenderAction>) {
        if !self.has_replied {
            self.has_replied = true;
            actions.push(SenderAction::Reply(reply));
        }
    }
}

fn unavailable_detail(reason: Unavailable) -> &'static str {
    match reason {
        Unavailable::Log => "the log service did not confirm the claim",
        Unavailable::QueueFull => "the queue of the claim partition's owner is full",
        Unavailable::Undated => {
            "the claim stream was trimmed and the age of the trimmed records is not known yet"
        }
        Unavailable::Owner => "the owner of the claim partition did not answer",
    }
}
