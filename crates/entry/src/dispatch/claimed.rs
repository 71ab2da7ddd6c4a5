//! Calls that must not be repeated: at most one execution for a key, by a claim in the log.

use super::service::{
    IDEMPOTENCY_KEY, ServiceRequest, admit, note_outcome, outcome, select, service_call, start_by,
};
use crate::context::{Context, CountGuard, RequestContext};
use crate::peer::{PeerAnswer, PeerRequest, decode, encode};
use anvilgw_claims::{
    AnswerBody, Attempt as ClaimAttempt, BodyDigest, ClaimKey, ClaimRequest, ClaimSender, KeyError,
    KeyTime, RecordedAnswer, Reply, SenderAction, SenderEvent, Submission, Unavailable, Verdict,
};
use anvilgw_config::UndatedKeys;
use anvilgw_core::{ErrorKind, Failure, Stage};
use anvilgw_platform::ServiceAnswer;
use anvilgw_router::SendOutcome;
use http::header::{CONTENT_TYPE, HeaderName};
use http::{HeaderMap, HeaderValue, StatusCode};
use std::time::Duration;

/// Time of a key that carries none, in milliseconds since 1970.
const KEY_TIME: HeaderName = HeaderName::from_static("idempotency-key-time");
/// Largest answer that is recorded with its body. Courts and dispatch services answer with a few
/// hundred bytes; larger bodies would fill the log.
const RECORDED_ANSWER_BYTES: usize = 4096;
/// Time limit for the owner of a claim partition to answer. It covers an append that waits for a
/// batch and one retry of a slow log service.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);
/// Attempts to hand a record over to the owner before the own daemon appends it.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// A claim with the text of its key.
pub(super) struct Claim {
    key: String,
    request: ClaimRequest,
}

pub(super) fn claim_request(
    context: &Context,
    call: &RequestContext,
    request: &ServiceRequest,
) -> Result<Claim, Failure> {
    let header = |name: &HeaderName| request.headers.get(name).and_then(|v| v.to_str().ok());
    let wall_ms = context.clock.wall_ms();
    let (key, key_time) = match header(&IDEMPOTENCY_KEY) {
        Some(key) => {
            let time = match KeyTime::parse(key, header(&KEY_TIME)) {
                Err(KeyError::Undated)
                    if context.settings.claims.undated_keys == UndatedKeys::Accept =>
                {
                    KeyTime(wall_ms)
                }
                other => other.map_err(|error| key_failure(&error))?,
            };
            (key.to_owned(), time)
        }
        // The caller cannot repeat a request without a key, but the daemon must not either.
        None => (uuid::Uuid::now_v7().to_string(), KeyTime(wall_ms)),
    };
    let path = &request.path_and_query;
    let workspace = context.workspace_name(call.workspace);
    let remaining_ms = context.remaining(call.deadline).as_millis() as u64;
    let request = ClaimRequest {
        key: ClaimKey::new(workspace, &request.name, &key),
        body: BodyDigest::new(request.method.as_str(), path, &request.body),
        attempt: ClaimAttempt {
            holder: context.daemon,
            number: context.next_attempt(),
        },
        deadline_ms: wall_ms + remaining_ms,
        key_time,
    };
    Ok(Claim { key, request })
}

fn key_failure(error: &KeyError) -> Failure {
    let kind = match error {
        KeyError::Undated => ErrorKind::KeyUndated,
        KeyError::Malformed | KeyError::BadTime(_) | KeyError::TimesDiffer(..) => {
            ErrorKind::BadRequest
        }
    };
    Failure::new(kind, Stage::Received, error.to_string())
}

/// Runs a non-idempotent call. The state machine of the claim decides; this function carries out.
pub(super) async fn run_claimed(
    context: &Context,
    call: &RequestContext,
    request: &ServiceRequest,
    claim: Claim,
    _open: CountGuard,
) -> Result<ServiceAnswer, Failure> {
    let start_by = start_by(context, call);
    let _permit = admit(context, call, start_by).await?;
    let mut run = ClaimedRun {
        context,
        sender: ClaimSender::new(claim.request, call.deadline),
        reply: None,
        answer: None,
    };
    run.step(SenderEvent::Admitted).await;
    if run.reply.is_none() {
        run.execute(call, request, &claim.key, start_by).await;
    }
    context.explain.update(call.id, |record| {
        record.claim = Some(claim.request.key.to_string());
    });
    run.into_result()
}

struct ClaimedRun<'a> {
    context: &'a Context,
    sender: ClaimSender,
    reply: Option<Reply>,
    answer: Option<ServiceAnswer>,
}

impl ClaimedRun<'_> {
    async fn step(&mut self, event: SenderEvent) -> bool {
        let mut events = vec![event];
        let mut may_send = false;
        while let Some(event) = events.pop() {
            let now = self.context.clock.uptime();
            for action in self.sender.handle(event, now) {
                match action {
                    SenderAction::Submit(Submission::Claim(claim)) => {
                        events.push(self.claim(claim).await);
                    }
                    SenderAction::Submit(submission) => record(self.context, submission).await,
                    SenderAction::Send(permit) => {
                        debug_assert_eq!(permit.attempt(), self.sender.claim().attempt);
                        may_send = true;
                    }
                    SenderAction::Reply(reply) => self.reply = Some(reply),
                }
            }
        }
        may_send
    }

    async fn claim(&self, claim: ClaimRequest) -> SenderEvent {
        let verdict = claim_at_owner(self.context, claim).await;
        match verdict {
            Some(verdict) => SenderEvent::Verdict {
                attempt: claim.attempt,
                verdict,
            },
            None => SenderEvent::OwnerUnreachable,
        }
    }

    async fn execute(
        &mut self,
        call: &RequestContext,
        request: &ServiceRequest,
        key: &str,
        start_by: Duration,
    ) {
        let context = self.context;
        let mut target = loop {
            let failure = match select(context, call, request, &[]).await {
                Ok(target) => break target,
                Err(failure) => failure,
            };
            if let Err(failure) = context.wait_for_capacity(start_by, failure).await {
                self.step(SenderEvent::GiveUp(failure.kind())).await;
                return;
            }
        };
        // Connecting can take a second, so the checks before sending follow it.
        let remaining = context.remaining(call.deadline);
        let ready = match target.client.connect(Some(remaining)).await {
            Ok(ready) => ready,
            Err(failure) => {
                target.dispatch.set_outcome(SendOutcome::Failed);
                note_outcome(context, call, &Err(failure));
                self.step(SenderEvent::ConnectFailed).await;
                return;
            }
        };
        let is_fresh = context.check_before_send(target.backend).is_ok();
        if !self.step(SenderEvent::ReadyToSend { is_fresh }).await {
            return;
        }
        let result = ready.send(service_call(context, call, request, Some(key)));
        let result = result.await;
        target.dispatch.set_outcome(outcome(&result));
        note_outcome(self.context, call, &result);
        match result {
            Ok(answer) => {
                let content_type = answer
                    .headers
                    .get(CONTENT_TYPE)
                    .and_then(|value| value.to_str().ok())
                    .unwrap_or_default();
                let recorded = RecordedAnswer::new(
                    answer.status.as_u16(),
                    content_type,
                    &answer.body,
                    RECORDED_ANSWER_BYTES,
                );
                self.answer = Some(answer);
                self.step(SenderEvent::Answered(recorded)).await;
            }
            Err(failure) => {
                if failure.stage() >= Stage::AnswerStarted {
                    self.step(SenderEvent::AnswerStarted).await;
                }
                self.step(SenderEvent::AnswerLost(failure.kind())).await;
            }
        }
    }

    fn into_result(self) -> Result<ServiceAnswer, Failure> {
        let missing = || {
            let stage = self.sender.stage();
            Failure::new(ErrorKind::Internal, stage, "the call ended without a reply")
        };
        match self.reply {
            Some(Reply::Answer) => self.answer.ok_or_else(missing),
            Some(Reply::Recorded(recorded)) => replay(recorded),
            Some(Reply::Failed(failure)) => Err(failure),
            None => Err(missing()),
        }
    }
}

/// Turns a recorded answer into the answer of this request.
fn replay(recorded: RecordedAnswer) -> Result<ServiceAnswer, Failure> {
    let AnswerBody::Kept {
        content_type,
        bytes,
    } = recorded.body
    else {
        return Err(Failure::new(
            ErrorKind::OutcomeUnknown,
            Stage::AnswerComplete,
            "the request was executed; its answer was too large to be kept",
        ));
    };
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&content_type)
        && !content_type.is_empty()
    {
        headers.insert(CONTENT_TYPE, value);
    }
    headers.insert("idempotent-replayed", HeaderValue::from_static("true"));
    Ok(ServiceAnswer {
        status: StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK),
        headers,
        body: bytes.into(),
    })
}

/// Asks the owner of the partition for a verdict. `None` if its answer is not known.
async fn claim_at_owner(context: &Context, claim: ClaimRequest) -> Option<Verdict> {
    let partition = claim.key.partition(context.claims.partitions());
    let owner = context.control.claim_owner(context.daemon, partition);
    let Some(address) = owner else {
        return Some(context.claims.claim(claim).await);
    };
    let request = encode(&PeerRequest::Claim(claim));
    match context.peers.call(address, request, OWNER_TIMEOUT).await {
        Ok(answer) => match decode(&answer)? {
            PeerAnswer::Verdict(Verdict::Unavailable(Unavailable::Owner))
            | PeerAnswer::Unavailable => {
                // The owner did not take the claim. Claims are correct wherever they are appended.
                Some(context.claims.claim(claim).await)
            }
            PeerAnswer::Verdict(verdict) => Some(verdict),
            _ => None,
        },
        Err(crate::peer::CallError::Connect(_)) => Some(context.claims.claim(claim).await),
        Err(_) => None,
    }
}

/// Records an outcome, abandonment or expiry at the owner, or by the own daemon if the owner does
/// not take it.
async fn record(context: &Context, submission: Submission) {
    let partition = submission.key().partition(context.claims.partitions());
    if let Some(address) = context.control.claim_owner(context.daemon, partition) {
        let request = encode(&PeerRequest::Record(submission.clone()));
        let answer = context.peers.call(address, request, RECORD_TIMEOUT).await;
        let answer = answer.ok().and_then(|answer| decode(&answer));
        if matches!(answer, Some(PeerAnswer::Taken)) {
            return;
        }
    }
    context.claims.record(submission);
}
