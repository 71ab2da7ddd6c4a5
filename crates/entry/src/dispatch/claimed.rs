//! Non-idempotent service calls. A claim in the log ensures that a call is executed at most once
//! for an idempotency key.

use super::service::{
    IDEMPOTENCY_KEY, ServiceRequest, admit, build_service_call, record_outcome, select_server,
    send_outcome, start_by,
};
use crate::context::{Context, CountGuard, RequestContext};
use crate::duties::routing::DispatchGuard;
use crate::peer::{PeerAnswer, PeerRequest, decode, encode};
use anvilgw_claims::{
    AnswerBody, Attempt as ClaimAttempt, ClaimKey, ClaimRequest, ClaimSender, KeyError, KeyTime,
    RecordedAnswer, Reply, RequestDigest, SenderAction, SenderEvent, Submission, Unavailable,
    Verdict,
};
use anvilgw_config::UndatedKeys;
use anvilgw_core::{ErrorKind, Failure, Stage};
use anvilgw_platform::{ServiceAnswer, ServiceConnection, SilenceSignal};
use anvilgw_router::SendOutcome;
use http::header::{CONTENT_TYPE, HeaderName};
use http::{HeaderMap, HeaderValue, StatusCode};
use std::time::Duration;

/// Header with the time of an idempotency key that contains none itself, in milliseconds since
/// 1970.
const IDEMPOTENCY_KEY_TIME: HeaderName = HeaderName::from_static("idempotency-key-time");
/// Largest answer body that is recorded in the log, in bytes. Court and dispatch services answer
/// with a few hundred bytes; larger bodies would fill the log.
const MAX_RECORDED_ANSWER_BYTES: usize = 4096;
/// Time limit for the answer of a claim partition's owner. It covers an append that waits for a
/// batch and one retry of a slow log service.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for the owner to accept a record. After that, this daemon appends the record itself.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// A claim request, and the idempotency key that is sent to the backend server.
pub(super) struct Claim {
    key: String,
    request: ClaimRequest,
}

/// Builds the claim of a call from its headers, path and body.
///
/// # Errors
///
/// A failure at stage `Received` if the idempotency key is malformed, or has no time and the
/// settings do not accept that.
pub(super) fn build_claim(
    context: &Context,
    call: &RequestContext,
    request: &ServiceRequest,
) -> Result<Claim, Failure> {
    let header = |name: &HeaderName| request.headers.get(name).and_then(|v| v.to_str().ok());
    let wall_ms = context.clock.wall_ms();
    let (key, key_time) = match header(&IDEMPOTENCY_KEY) {
        Some(key) => {
            let time = match KeyTime::parse(key, header(&IDEMPOTENCY_KEY_TIME)) {
                Err(KeyError::Undated)
                    if context.settings.claims.undated_keys == UndatedKeys::Accept =>
                {
                    KeyTime(wall_ms)
                }
                other => other.map_err(|error| key_failure(&error))?,
            };
            (key.to_owned(), time)
        }
        // The caller cannot repeat a request that has no key. The daemon must not repeat it either,
        // so the request gets a claim under a generated key.
        None => (uuid::Uuid::now_v7().to_string(), KeyTime(wall_ms)),
    };
    let path = &request.path_and_query;
    let workspace = context.workspace_name(call.workspace);
    let remaining_ms = context.remaining(call.deadline).as_millis() as u64;
    let request = ClaimRequest {
        key: ClaimKey::new(workspace, &request.name, &key),
        body: RequestDigest::new(request.method.as_str(), path, &request.body),
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
        KeyError::Malformed | KeyError::InvalidTime(_) | KeyError::TimesDiffer(..) => {
            ErrorKind::BadRequest
        }
    };
    Failure::new(kind, Stage::Received, error.to_string())
}

/// Runs a non-idempotent call. The [`ClaimSender`] state machine makes the decisions; this function
/// carries out its actions.
pub(super) async fn run_claimed_call(
    context: &Context,
    call: &RequestContext,
    request: &ServiceRequest,
    claim: Claim,
    _open_request: CountGuard,
) -> Result<ServiceAnswer, Failure> {
    let start_by = start_by(context, call);
    let _admission_guard = admit(context, call, start_by).await?;
    let mut claimed = ClaimedCall {
        context,
        sender: ClaimSender::new(claim.request, call.deadline),
        reply: None,
        answer: None,
    };
    claimed.handle_event(SenderEvent::Admitted).await;
    if claimed.reply.is_none() {
        claimed.execute(call, request, &claim.key, start_by).await;
    }
    context.explain.update(call.id, |record| {
        record.claim = Some(claim.request.key.to_string());
    });
    claimed.into_result()
}

/// A non-idempotent call and what its state machine has decided so far.
struct ClaimedCall<'a> {
    context: &'a Context,
    sender: ClaimSender,
    reply: Option<Reply>,
    answer: Option<ServiceAnswer>,
}

impl ClaimedCall<'_> {
    /// Passes an event to the state machine and carries out the resulting actions, including the
    /// events that these lead to. Returns whether the call may be sent now.
    async fn handle_event(&mut self, event: SenderEvent) -> bool {
        let mut events = vec![event];
        let mut has_permit = false;
        while let Some(event) = events.pop() {
            let now = self.context.clock.uptime();
            for action in self.sender.handle(event, now) {
                match action {
                    SenderAction::Submit(Submission::Claim(claim)) => {
                        events.push(self.submit_claim(claim).await);
                    }
                    SenderAction::Submit(submission) => submit(self.context, submission).await,
                    SenderAction::Send(permit) => {
                        debug_assert_eq!(permit.attempt(), self.sender.claim().attempt);
                        has_permit = true;
                    }
                    SenderAction::Reply(reply) => self.reply = Some(reply),
                }
            }
        }
        has_permit
    }

    async fn submit_claim(&self, claim: ClaimRequest) -> SenderEvent {
        let verdict = claim_from_owner(self.context, claim).await;
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
        let mut selected = loop {
            let failure = match select_server(context, call, request, &[]).await {
                Ok(selected) => break selected,
                Err(failure) => failure,
            };
            if let Err(failure) = context.wait_for_capacity(start_by, failure).await {
                self.handle_event(SenderEvent::Cancelled(failure.kind()))
                    .await;
                return;
            }
        };
        // Connecting can take a second, so the view and the server are checked after it.
        let remaining = context.remaining(call.deadline);
        let connection = match selected.client.connect(Some(remaining)).await {
            Ok(connection) => connection,
            Err(failure) => {
                selected.dispatch.set_outcome(SendOutcome::Failed);
                record_outcome(context, call, &Err(failure));
                self.handle_event(SenderEvent::ConnectFailed).await;
                return;
            }
        };
        let is_backend_usable = context.check_before_send(selected.backend).is_ok();
        if !self
            .handle_event(SenderEvent::ReadyToSend { is_backend_usable })
            .await
        {
            return;
        }
        let result = send_call(context, call, request, key, connection, &selected.dispatch).await;
        selected.dispatch.set_outcome(send_outcome(&result));
        record_outcome(self.context, call, &result);
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
                    MAX_RECORDED_ANSWER_BYTES,
                );
                self.answer = Some(answer);
                self.handle_event(SenderEvent::AnswerComplete(recorded))
                    .await;
            }
            Err(failure) => {
                if failure.stage() >= Stage::AnswerStarted {
                    self.handle_event(SenderEvent::AnswerStarted).await;
                }
                self.handle_event(SenderEvent::AnswerLost(failure.kind()))
                    .await;
            }
        }
    }

    fn into_result(self) -> Result<ServiceAnswer, Failure> {
        let missing = || {
            let stage = self.sender.stage();
            Failure::new(
                ErrorKind::Internal,
                stage,
                "the claim protocol ended without a reply",
            )
        };
        match self.reply {
            Some(Reply::Answer) => self.answer.ok_or_else(missing),
            Some(Reply::Recorded(recorded)) => replayed_answer(recorded),
            Some(Reply::Failed(failure)) => Err(failure),
            None => Err(missing()),
        }
    }
}

/// Sends the call on an open connection and waits for the answer until the deadline. No other server
/// can take the place of one that has the call, so a silence of the server does not end the call.
async fn send_call(
    context: &Context,
    call: &RequestContext,
    request: &ServiceRequest,
    key: &str,
    connection: ServiceConnection,
    dispatch: &DispatchGuard,
) -> Result<ServiceAnswer, Failure> {
    let silence = SilenceSignal::default();
    let mut service_call = build_service_call(context, call, request, Some(key));
    service_call.options.silence_signal = Some(silence.clone());
    let report = async {
        silence.silent().await;
        dispatch.report_silence();
        std::future::pending().await
    };
    tokio::select! {
        biased;
        result = connection.send(service_call) => result,
        result = report => result,
    }
}

/// Converts the recorded answer of an earlier request into the answer of this one.
///
/// # Errors
///
/// A failure if the recorded answer has no body.
fn replayed_answer(recorded: RecordedAnswer) -> Result<ServiceAnswer, Failure> {
    let AnswerBody::Kept {
        content_type,
        bytes,
    } = recorded.body
    else {
        return Err(Failure::new(
            ErrorKind::OutcomeUnknown,
            Stage::AnswerComplete,
            "the request was executed, but its answer was too large to be recorded",
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

/// Requests the verdict on a claim from the owner of its partition. Returns `None` if the owner may
/// have received the claim but its answer was lost.
async fn claim_from_owner(context: &Context, claim: ClaimRequest) -> Option<Verdict> {
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
                // The owner did not accept the claim. A claim is valid whichever daemon appends it.
                Some(context.claims.claim(claim).await)
            }
            PeerAnswer::Verdict(verdict) => Some(verdict),
            _ => None,
        },
        Err(crate::peer::CallError::Connect(_)) => Some(context.claims.claim(claim).await),
        Err(_) => None,
    }
}

/// Submits an outcome, abandonment or expiry to the owner of the partition. This daemon appends it
/// itself if the owner does not accept it.
async fn submit(context: &Context, submission: Submission) {
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
