//! Steps of the claim model.

use super::state::{Append, CallerResult, Request, SystemState, answer_of_request};
use super::{CLOCK_POSITIONS_MS, ClaimModel, DEADLINE_MS, LAST_START_POSITION};
use crate::mutant::Mutant;
use anvilgw_claims::{AppendFailure, ClaimSender, OwnerEvent, SenderEvent};
use anvilgw_core::{ErrorKind, Stage};
use std::fmt;
use std::time::Duration;

/// One step. A number is the index of a request, a daemon or a delayed append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// A caller makes a request.
    StartRequest(usize),
    /// The verdict on a claim reaches the sender of the request.
    DeliverVerdict(usize),
    /// The sender checks claim, deadline and freshness, and sends the request.
    SendRequest(usize),
    /// The sent request reaches the backend server and is executed.
    ExecuteRequest(usize),
    /// The backend server's answer reaches the sender.
    DeliverAnswer(usize),
    /// A daemon's append takes effect and is answered. Both are one step, since the owner's
    /// decision depends on the offset alone and not on what happens between the two.
    CompleteAppend(usize),
    /// A daemon's read of the log is served and answered.
    ReadLog(usize),
    /// The clock moves to its next position.
    AdvanceClock,
    /// Fault: the verdict on a claim is lost.
    LoseVerdict(usize),
    /// Fault: the backend server's answer is lost.
    LoseAnswer(usize),
    /// Fault: a request is cancelled, as at its deadline.
    CancelRequest(usize),
    /// Fault: the daemon's view is stale when the sender checks whether it may send.
    CheckWithStaleView(usize),
    /// Fault: the answer of an append that took effect is lost.
    LoseAppendAnswer(usize),
    /// Fault: the answer to an append is lost before the append takes effect, which may happen
    /// later.
    DelayAppend(usize),
    /// Fault: an append is refused.
    RefuseAppend(usize),
    /// A delayed append takes effect. Uses no fault, since the delay did.
    ApplyDelayedAppend(usize),
    /// Fault: a daemon crashes and restarts as a new incarnation.
    Crash(usize),
    /// Fault: a daemon crashes after its append took effect and before the answer arrives.
    CrashAfterAppend(usize),
    /// Fault: the oldest record of the log is trimmed.
    TrimLog,
}

impl Step {
    /// Returns whether progress must be possible without the step.
    pub(super) fn is_fault(self) -> bool {
        self.uses_fault() || matches!(self, Self::ApplyDelayedAppend(_))
    }

    /// Returns whether the step counts against [`super::ClaimBounds::faults`].
    fn uses_fault(self) -> bool {
        match self {
            Self::LoseVerdict(_)
            | Self::LoseAnswer(_)
            | Self::CancelRequest(_)
            | Self::CheckWithStaleView(_)
            | Self::LoseAppendAnswer(_)
            | Self::DelayAppend(_)
            | Self::RefuseAppend(_)
            | Self::Crash(_)
            | Self::CrashAfterAppend(_)
            | Self::TrimLog => true,
            Self::StartRequest(_)
            | Self::DeliverVerdict(_)
            | Self::SendRequest(_)
            | Self::ExecuteRequest(_)
            | Self::DeliverAnswer(_)
            | Self::CompleteAppend(_)
            | Self::ReadLog(_)
            | Self::AdvanceClock
            | Self::ApplyDelayedAppend(_) => false,
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StartRequest(n) => write!(f, "request {n} starts"),
            Self::DeliverVerdict(n) => write!(f, "request {n} gets its verdict"),
            Self::SendRequest(n) => write!(f, "request {n} is checked and sent"),
            Self::ExecuteRequest(n) => write!(f, "request {n} is executed"),
            Self::DeliverAnswer(n) => write!(f, "request {n} is answered by the backend server"),
            Self::CompleteAppend(n) => {
                write!(f, "append of daemon {n} takes effect and is answered")
            }
            Self::ReadLog(n) => write!(f, "daemon {n} reads the log"),
            Self::AdvanceClock => write!(f, "time passes"),
            Self::LoseVerdict(n) => write!(f, "verdict of request {n} is lost"),
            Self::LoseAnswer(n) => write!(f, "backend server's answer to request {n} is lost"),
            Self::CancelRequest(n) => write!(f, "request {n} is cancelled"),
            Self::CheckWithStaleView(n) => {
                write!(f, "request {n} is ready to send with a stale view")
            }
            Self::LoseAppendAnswer(n) => {
                write!(f, "append of daemon {n} takes effect, its answer is lost")
            }
            Self::DelayAppend(n) => write!(f, "append of daemon {n} is delayed, its answer lost"),
            Self::RefuseAppend(n) => write!(f, "append of daemon {n} is refused"),
            Self::ApplyDelayedAppend(n) => write!(f, "delayed append {n} takes effect"),
            Self::Crash(n) => write!(f, "daemon {n} crashes and restarts"),
            Self::CrashAfterAppend(n) => {
                write!(
                    f,
                    "append of daemon {n} takes effect, the daemon crashes and restarts"
                )
            }
            Self::TrimLog => write!(f, "the oldest record is trimmed"),
        }
    }
}

/// Returns all steps that are enabled in the state.
pub(super) fn enabled_steps(model: &ClaimModel, system: &SystemState) -> Vec<Step> {
    let mut steps = Vec::new();
    for (number, request) in system.requests.iter().enumerate() {
        push_request_steps(model, system, number, request, &mut steps);
    }
    for (number, daemon) in system.daemons.iter().enumerate() {
        if daemon.append.is_some() {
            steps.extend([
                Step::CompleteAppend(number),
                Step::LoseAppendAnswer(number),
                Step::DelayAppend(number),
                Step::RefuseAppend(number),
                Step::CrashAfterAppend(number),
            ]);
        }
        if daemon.read.is_some() {
            steps.push(Step::ReadLog(number));
        }
        if system.has_state_to_lose(number) {
            steps.push(Step::Crash(number));
        }
    }
    if system.clock_position + 1 < CLOCK_POSITIONS_MS.len() {
        steps.push(Step::AdvanceClock);
        // Not at the last position of the clock, after which no owner reads the log any more.
        steps.extend((0..system.delayed_appends.len()).map(Step::ApplyDelayedAppend));
    }
    if system.first_offset < system.log.end() {
        steps.push(Step::TrimLog);
    }
    steps.retain(|step| system.faults_left > 0 || !step.uses_fault());
    steps
}

fn push_request_steps(
    model: &ClaimModel,
    system: &SystemState,
    number: usize,
    request: &Request,
    steps: &mut Vec<Step>,
) {
    if request.is_in_flight {
        steps.push(Step::ExecuteRequest(number));
    }
    let Some(sender) = &request.sender else {
        // Requests of one key are interchangeable, so they start in the order of their numbers.
        let is_next = number.is_multiple_of(model.bounds.requests_per_key)
            || system.requests[number - 1].was_started();
        if request.caller_result == CallerResult::Pending
            && system.clock_position <= LAST_START_POSITION
            && is_next
        {
            steps.push(Step::StartRequest(number));
        }
        return;
    };
    if request.verdict.is_some() {
        steps.extend([Step::DeliverVerdict(number), Step::LoseVerdict(number)]);
    }
    if sender.stage() == Stage::Claimed {
        steps.extend([Step::SendRequest(number), Step::CheckWithStaleView(number)]);
    }
    if sender.stage() == Stage::Written {
        if request.executions > 0 {
            steps.push(Step::DeliverAnswer(number));
        }
        steps.push(Step::LoseAnswer(number));
    }
    // In other stages a cancelled request has the same effect as a lost verdict or a stale view.
    let may_give_up = match sender.stage() {
        Stage::Queued => request.verdict.is_none(),
        Stage::Written => request.caller_result == CallerResult::Pending,
        _ => false,
    };
    if may_give_up && !sender.is_ended() {
        steps.push(Step::CancelRequest(number));
    }
}

/// Returns the state after a step.
pub(super) fn apply(model: &ClaimModel, before: &SystemState, step: Step) -> SystemState {
    let mut system = before.clone();
    if step.uses_fault() {
        system.faults_left -= 1;
    }
    if let Some((number, event)) = sender_event(&mut system, step) {
        system.handle_sender_event(model, number, event);
        return system;
    }
    match step {
        Step::StartRequest(number) => start_request(model, &mut system, number),
        Step::ExecuteRequest(number) => {
            let request = system.requests[number].make_mut();
            request.is_in_flight = false;
            request.executions += 1;
        }
        Step::AdvanceClock => {
            system.clock_position += 1;
            for daemon in 0..system.daemons.len() {
                let was_caught_up = system.daemons[daemon].owner.is_caught_up();
                system.handle_owner_event(model, daemon, OwnerEvent::Tick);
                // The periodic read of an owner that had caught up is served at once.
                if was_caught_up {
                    system.read_log(model, daemon);
                }
            }
        }
        Step::Crash(daemon) => system.crash(model, daemon),
        Step::TrimLog => system.first_offset.0 += 1,
        Step::ApplyDelayedAppend(index) => {
            let payload = system.delayed_appends.remove(index);
            system.log.make_mut().push(payload);
        }
        Step::CrashAfterAppend(daemon) => {
            if let Some(append) = system.daemons[daemon].make_mut().append.take() {
                system.log.make_mut().push(append.payload);
            }
            system.crash(model, daemon);
        }
        Step::CompleteAppend(daemon)
        | Step::LoseAppendAnswer(daemon)
        | Step::DelayAppend(daemon)
        | Step::RefuseAppend(daemon) => complete_append(model, &mut system, daemon, step),
        Step::ReadLog(daemon) => system.read_log(model, daemon),
        Step::DeliverVerdict(_)
        | Step::SendRequest(_)
        | Step::CheckWithStaleView(_)
        | Step::DeliverAnswer(_)
        | Step::LoseAnswer(_)
        | Step::LoseVerdict(_)
        | Step::CancelRequest(_) => {}
    }
    system
}

/// Returns the request and the event if the step is an event for the sender of a request. Removes
/// the verdict that the step delivers or loses.
fn sender_event(system: &mut SystemState, step: Step) -> Option<(usize, SenderEvent)> {
    Some(match step {
        Step::DeliverVerdict(number) => {
            let request = system.requests[number].make_mut();
            let attempt = request.sender.as_ref()?.claim().attempt;
            let verdict = request.verdict.take()?;
            (number, SenderEvent::Verdict { attempt, verdict })
        }
        Step::SendRequest(number) => (
            number,
            SenderEvent::ReadyToSend {
                is_backend_usable: true,
            },
        ),
        Step::CheckWithStaleView(number) => (
            number,
            SenderEvent::ReadyToSend {
                is_backend_usable: false,
            },
        ),
        Step::DeliverAnswer(number) => (
            number,
            SenderEvent::AnswerComplete(answer_of_request(number)),
        ),
        Step::LoseAnswer(number) => (number, SenderEvent::AnswerLost(ErrorKind::BackendSilent)),
        Step::LoseVerdict(number) => {
            system.requests[number].make_mut().verdict = None;
            (number, SenderEvent::OwnerUnreachable)
        }
        Step::CancelRequest(number) => {
            (number, SenderEvent::Cancelled(ErrorKind::DeadlineExceeded))
        }
        _ => return None,
    })
}

fn start_request(model: &ClaimModel, system: &mut SystemState, number: usize) {
    let claim = system.new_claim(number);
    let deadline = system.now().uptime + Duration::from_millis(DEADLINE_MS);
    system.requests[number].make_mut().sender = Some(ClaimSender::new(claim, deadline));
    if model.has_mutant(Mutant::ClaimSkipped) || model.has_mutant(Mutant::ClaimAfterSend) {
        system.requests[number].make_mut().is_in_flight = true;
    }
    if !model.has_mutant(Mutant::ClaimSkipped) {
        system.handle_sender_event(model, number, SenderEvent::Admitted);
    }
}

fn complete_append(model: &ClaimModel, system: &mut SystemState, daemon: usize, step: Step) {
    let Some(Append { batch, payload }) = system.daemons[daemon].make_mut().append.take() else {
        return;
    };
    let failed = |failure| OwnerEvent::AppendFailed { batch, failure };
    let event = match step {
        Step::CompleteAppend(_) => OwnerEvent::Appended {
            batch,
            offset: system.log.make_mut().push(payload),
        },
        Step::LoseAppendAnswer(_) => {
            system.log.make_mut().push(payload);
            failed(AppendFailure::MaybeAppended)
        }
        Step::DelayAppend(_) => {
            system.delayed_appends.push(payload);
            failed(AppendFailure::MaybeAppended)
        }
        _ => failed(AppendFailure::NotAppended),
    };
    system.handle_owner_event(model, daemon, event);
}
