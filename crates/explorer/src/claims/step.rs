//! Steps of the claim model.

use super::world::{Answered, Append, Request, World, answer_of};
use super::{ClaimModel, DEADLINE_MS, LAST_START, TIMES_MS};
use crate::mutant::Mutant;
use anvilgw_claims::{AppendFailure, ClaimSender, OwnerEvent, SenderEvent};
use anvilgw_core::{ErrorKind, Stage};
use std::fmt;
use std::time::Duration;

/// One step. Numbers name requests or daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// A caller makes a request.
    Start(usize),
    /// A verdict reaches its sender.
    DeliverVerdict(usize),
    /// The sender checks claim, deadline and freshness, and sends.
    Send(usize),
    /// What was sent reaches the backend server and is executed.
    Execute(usize),
    /// The backend server's answer reaches the sender.
    Answer(usize),
    /// An append takes effect and is answered. Nothing that happens in between could make a
    /// difference, since the owner's decision depends on the offset alone.
    Append(usize),
    /// A read is served and answered.
    ReadLog(usize),
    /// Time passes.
    Clock,
    /// Fault: a verdict is lost.
    LoseVerdict(usize),
    /// Fault: the backend server's answer is lost.
    LoseAnswer(usize),
    /// Fault: the request is given up.
    GiveUp(usize),
    /// Fault: the daemon's view is stale when it could send.
    FindStale(usize),
    /// Fault: the answer of an append that took effect is lost.
    LoseAppendAnswer(usize),
    /// Fault: the answer of an append is lost before it takes effect, which may follow.
    DelayAppend(usize),
    /// Fault: an append is refused.
    RefuseAppend(usize),
    /// A delayed append takes effect.
    LandLate(usize),
    /// Fault: a daemon dies and is replaced.
    Crash(usize),
    /// Fault: a daemon dies after its append took effect.
    AppendAndCrash(usize),
    /// Fault: the oldest record is trimmed.
    Trim,
}

impl Step {
    /// Whether progress must be possible without the step.
    pub(super) fn is_fault(self) -> bool {
        self.uses_fault() || matches!(self, Self::LandLate(_))
    }

    fn uses_fault(self) -> bool {
        match self {
            Self::LoseVerdict(_)
            | Self::LoseAnswer(_)
            | Self::GiveUp(_)
            | Self::FindStale(_)
            | Self::LoseAppendAnswer(_)
            | Self::DelayAppend(_)
            | Self::RefuseAppend(_)
            | Self::Crash(_)
            | Self::AppendAndCrash(_)
            | Self::Trim => true,
            Self::Start(_)
            | Self::DeliverVerdict(_)
            | Self::Send(_)
            | Self::Execute(_)
            | Self::Answer(_)
            | Self::Append(_)
            | Self::ReadLog(_)
            | Self::Clock
            | Self::LandLate(_) => false,
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start(n) => write!(f, "request {n} starts"),
            Self::DeliverVerdict(n) => write!(f, "request {n} gets its verdict"),
            Self::Send(n) => write!(f, "request {n} is checked and sent"),
            Self::Execute(n) => write!(f, "request {n} is executed"),
            Self::Answer(n) => write!(f, "request {n} is answered by the backend server"),
            Self::Append(n) => write!(f, "append of daemon {n} takes effect and is answered"),
            Self::ReadLog(n) => write!(f, "daemon {n} reads the log"),
            Self::Clock => write!(f, "time passes"),
            Self::LoseVerdict(n) => write!(f, "verdict of request {n} is lost"),
            Self::LoseAnswer(n) => write!(f, "backend server's answer to request {n} is lost"),
            Self::GiveUp(n) => write!(f, "request {n} is given up"),
            Self::FindStale(n) => write!(f, "request {n} is ready to send with a stale view"),
            Self::LoseAppendAnswer(n) => {
                write!(f, "append of daemon {n} takes effect, its answer is lost")
            }
            Self::DelayAppend(n) => write!(f, "append of daemon {n} is delayed, its answer lost"),
            Self::RefuseAppend(n) => write!(f, "append of daemon {n} is refused"),
            Self::LandLate(n) => write!(f, "delayed append {n} takes effect"),
            Self::Crash(n) => write!(f, "daemon {n} dies and is replaced"),
            Self::AppendAndCrash(n) => {
                write!(
                    f,
                    "append of daemon {n} takes effect, the daemon dies and is replaced"
                )
            }
            Self::Trim => write!(f, "the oldest record is trimmed"),
        }
    }
}

/// All steps that are possible.
pub(super) fn all(model: &ClaimModel, world: &World) -> Vec<Step> {
    let mut steps = Vec::new();
    for (number, request) in world.requests.iter().enumerate() {
        of_request(model, world, number, request, &mut steps);
    }
    for (number, daemon) in world.daemons.iter().enumerate() {
        if daemon.append.is_some() {
            steps.extend([
                Step::Append(number),
                Step::LoseAppendAnswer(number),
                Step::DelayAppend(number),
                Step::RefuseAppend(number),
                Step::AppendAndCrash(number),
            ]);
        }
        if daemon.read.is_some() {
            steps.push(Step::ReadLog(number));
        }
        if world.can_crash_matter(number) {
            steps.push(Step::Crash(number));
        }
    }
    if world.time + 1 < TIMES_MS.len() {
        steps.push(Step::Clock);
        // Not at the last position, after which no owner reads any more.
        steps.extend((0..world.late.len()).map(Step::LandLate));
    }
    if world.first < world.log.end() {
        steps.push(Step::Trim);
    }
    steps.retain(|step| world.faults_left > 0 || !step.uses_fault());
    steps
}

fn of_request(
    model: &ClaimModel,
    world: &World,
    number: usize,
    request: &Request,
    steps: &mut Vec<Step>,
) {
    if request.on_wire {
        steps.push(Step::Execute(number));
    }
    let Some(sender) = &request.sender else {
        // Requests of one key are alike, so they start in the order of their numbers.
        let is_next = number.is_multiple_of(model.bounds.requests_per_key)
            || world.requests[number - 1].was_started();
        if request.answered == Answered::Not && world.time <= LAST_START && is_next {
            steps.push(Step::Start(number));
        }
        return;
    };
    if request.verdict.is_some() {
        steps.extend([Step::DeliverVerdict(number), Step::LoseVerdict(number)]);
    }
    if sender.stage() == Stage::Claimed {
        steps.extend([Step::Send(number), Step::FindStale(number)]);
    }
    if sender.stage() == Stage::Written {
        if request.executions > 0 {
            steps.push(Step::Answer(number));
        }
        steps.push(Step::LoseAnswer(number));
    }
    // In other stages giving up is the same as a lost verdict or a stale view.
    let may_give_up = match sender.stage() {
        Stage::Queued => request.verdict.is_none(),
        Stage::Written => request.answered == Answered::Not,
        _ => false,
    };
    if may_give_up && !sender.is_ended() {
        steps.push(Step::GiveUp(number));
    }
}

/// The world after a step.
pub(super) fn take(model: &ClaimModel, before: &World, step: Step) -> World {
    let mut world = before.clone();
    if step.uses_fault() {
        world.faults_left -= 1;
    }
    if let Some((number, event)) = sender_event(&mut world, step) {
        world.tell_sender(model, number, event);
        return world;
    }
    match step {
        Step::Start(number) => start(model, &mut world, number),
        Step::Execute(number) => {
            let request = world.requests[number].edit();
            request.on_wire = false;
            request.executions += 1;
        }
        Step::Clock => {
            world.time += 1;
            for daemon in 0..world.daemons.len() {
                let was_caught_up = world.daemons[daemon].owner.is_caught_up();
                world.tell_owner(model, daemon, OwnerEvent::Tick);
                // The periodic read of an owner that has begun is served at once.
                if was_caught_up {
                    world.read_log(model, daemon);
                }
            }
        }
        Step::Crash(daemon) => world.crash(model, daemon),
        Step::Trim => world.first.0 += 1,
        Step::LandLate(index) => {
            let payload = world.late.remove(index);
            world.log.edit().push(payload);
        }
        Step::AppendAndCrash(daemon) => {
            if let Some(append) = world.daemons[daemon].edit().append.take() {
                world.log.edit().push(append.payload);
            }
            world.crash(model, daemon);
        }
        Step::Append(daemon)
        | Step::LoseAppendAnswer(daemon)
        | Step::DelayAppend(daemon)
        | Step::RefuseAppend(daemon) => end_append(model, &mut world, daemon, step),
        Step::ReadLog(daemon) => world.read_log(model, daemon),
        Step::DeliverVerdict(_)
        | Step::Send(_)
        | Step::FindStale(_)
        | Step::Answer(_)
        | Step::LoseAnswer(_)
        | Step::LoseVerdict(_)
        | Step::GiveUp(_) => {}
    }
    world
}

/// The event of a step that a sender handles.
fn sender_event(world: &mut World, step: Step) -> Option<(usize, SenderEvent)> {
    Some(match step {
        Step::DeliverVerdict(number) => {
            let request = world.requests[number].edit();
            let attempt = request.sender.as_ref()?.claim().attempt;
            let verdict = request.verdict.take()?;
            (number, SenderEvent::Verdict { attempt, verdict })
        }
        Step::Send(number) => (
            number,
            SenderEvent::ReadyToSend {
                is_backend_usable: true,
            },
        ),
        Step::FindStale(number) => (
            number,
            SenderEvent::ReadyToSend {
                is_backend_usable: false,
            },
        ),
        Step::Answer(number) => (number, SenderEvent::AnswerComplete(answer_of(number))),
        Step::LoseAnswer(number) => (number, SenderEvent::AnswerLost(ErrorKind::BackendSilent)),
        Step::LoseVerdict(number) => {
            world.requests[number].edit().verdict = None;
            (number, SenderEvent::OwnerUnreachable)
        }
        Step::GiveUp(number) => (number, SenderEvent::Cancelled(ErrorKind::DeadlineExceeded)),
        _ => return None,
    })
}

fn start(model: &ClaimModel, world: &mut World, number: usize) {
    let claim = world.new_claim(number);
    let deadline = world.now().uptime + Duration::from_millis(DEADLINE_MS);
    world.requests[number].edit().sender = Some(ClaimSender::new(claim, deadline));
    if model.is(Mutant::ClaimSkipped) || model.is(Mutant::ClaimAfterSend) {
        world.requests[number].edit().on_wire = true;
    }
    if !model.is(Mutant::ClaimSkipped) {
        world.tell_sender(model, number, SenderEvent::Admitted);
    }
}

fn end_append(model: &ClaimModel, world: &mut World, daemon: usize, step: Step) {
    let Some(Append { batch, payload }) = world.daemons[daemon].edit().append.take() else {
        return;
    };
    let failed = |failure| OwnerEvent::AppendFailed { batch, failure };
    let event = match step {
        Step::Append(_) => OwnerEvent::Appended {
            batch,
            offset: world.log.edit().push(payload),
        },
        Step::LoseAppendAnswer(_) => {
            world.log.edit().push(payload);
            failed(AppendFailure::MaybeAppended)
        }
        Step::DelayAppend(_) => {
            world.late.push(payload);
            failed(AppendFailure::MaybeAppended)
        }
        _ => failed(AppendFailure::NotAppended),
    };
    world.tell_owner(model, daemon, event);
}
