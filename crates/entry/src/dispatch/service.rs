//! Calls of plain services: idempotent ones with retries, others at most once by a claim.

use crate::backends::{Backend, BackendKind, service_model};
use crate::context::{Call, Context, OpenRequest};
use crate::duties::admission::Permit;
use crate::duties::routing::{Dispatch, Query};
use crate::explain::{Attempt, Record};
use crate::peer::{PeerAnswer, PeerRequest, decode, encode};
use anvilgw_admission::Offer;
use anvilgw_claims::{
    AnswerBody, Attempt as ClaimAttempt, BodyDigest, ClaimKey, ClaimRequest, ClaimSender, KeyError,
    KeyTime, Record as ClaimRecord, RecordedAnswer, Reply, SenderAction, SenderEvent, Submission,
    Unavailable, Verdict,
};
use anvilgw_config::UndatedKeys;
use anvilgw_core::{ErrorKind, Executed, Failure, ServerId, Stage};
use anvilgw_platform::{CallOptions, ServiceAnswer, ServiceCall, ServiceClient};
use anvilgw_router::{RouteRequest, SendOutcome, WeightVersion};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// The caller's idempotency key.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Time of a key that carries none, in milliseconds since 1970.
const KEY_TIME: HeaderName = HeaderName::from_static("idempotency-key-time");
/// Tokens that a service call counts for in admission.
const CALL_COST_TOKENS: u64 = 1;
/// Largest answer that is recorded with its body. Courts and dispatch services answer with a few
/// hundred bytes; larger bodies would fill the log.
const RECORDED_ANSWER_BYTES: usize = 4096;
/// Time limit for the owner of a claim partition to answer. It covers an append that waits for a
/// batch and one retry of a slow log service.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);
/// Attempts to hand a record over to the owner before the own daemon appends it.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// A call of a plain service.
#[derive(Clone)]
pub(crate) struct ServiceRequest {
    /// Index of the service in the settings.
    pub(crate) service: usize,
    /// Name of the service.
    pub(crate) name: String,
    /// Method.
    pub(crate) method: Method,
    /// Path and query at the service.
    pub(crate) path_and_query: String,
    /// The caller's headers without its credentials.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

/// A chosen server of the service.
struct Target<'a> {
    backend: &'a Backend,
    client: &'a ServiceClient,
    dispatch: Dispatch,
}

/// Runs a call to its end.
///
/// # Errors
///
/// The failure that the caller is told.
pub(crate) async fn run(
    context: Arc<Context>,
    call: Call,
    request: ServiceRequest,
) -> Result<ServiceAnswer, Failure> {
    let open = context.open_request();
    let config = context.config_for_new_work(Stage::Received)?;
    let workspace = context.workspace_name(call.workspace).to_owned();
    if !config
        .entitlements
        .allows_service(&workspace, &request.name)
    {
        let detail = format!("the plan does not include service {:?}", request.name);
        return Err(Failure::new(
            ErrorKind::NotEntitled,
            Stage::Received,
            detail,
        ));
    }
    let path = request.path_and_query.split('?').next().unwrap_or_default();
    let idempotent = context
        .settings
        .services
        .get_index(request.service)
        .is_some_and(|(_, service)| service.is_idempotent(request.method.as_str(), path));
    let record = Record {
        workspace,
        target: request.name.clone(),
        trace_id: call.hop.trace_id(),
        config_version: config.version,
        ..Record::default()
    };
    context.explain.start(call.id, record);
    if idempotent {
        return run_idempotent(&context, &call, &request, open).await;
    }
    let claim = claim_request(&context, &call, &request)?;
    // The call goes on when its caller disconnects: a claimed request must reach an outcome.
    let task =
        tokio::spawn(async move { run_claimed(&context, &call, &request, claim, open).await });
    task.await.unwrap_or_else(|error| {
        let detail = format!("the call ended unexpectedly: {error}");
        Err(Failure::new(ErrorKind::Internal, Stage::Written, detail))
    })
}

/// Latest time at which a call must have started.
fn start_by(context: &Context, call: &Call) -> Duration {
    let queue = Duration::from_millis(context.settings.limits.queue_ms);
    call.deadline.min(context.clock.uptime() + queue)
}

async fn admit(context: &Context, call: &Call, start_by: Duration) -> Result<Permit, Failure> {
    let offer = Offer {
        request: call.id,
        workspace: call.workspace,
        cost_tokens: CALL_COST_TOKENS,
        start_by,
    };
    context.admission.admit(offer).await
}

async fn run_idempotent(
    context: &Context,
    call: &Call,
    request: &ServiceRequest,
    _open: OpenRequest,
) -> Result<ServiceAnswer, Failure> {
    let start_by = start_by(context, call);
    let _permit = admit(context, call, start_by).await?;
    let mut tried = Vec::new();
    let mut attempts = 0;
    loop {
        attempts += 1;
        let failure = match attempt(context, call, request, &mut tried).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        if failure.kind() == ErrorKind::NoBackend && failure.executed() == Executed::No {
            attempts -= 1;
            tried.clear();
            context.wait_for_capacity(start_by, failure).await?;
            continue;
        }
        let is_final = matches!(
            failure.kind(),
            ErrorKind::StaleView | ErrorKind::NotReady | ErrorKind::DeadlineExceeded
        );
        let wait = context.retry(attempts, call.deadline);
        let Some(wait) = wait.filter(|_| !is_final) else {
            return Err(failure);
        };
        context
            .metrics
            .count("retries", 1, failure.kind().answer().code);
        tokio::time::sleep(wait).await;
    }
}

async fn attempt(
    context: &Context,
    call: &Call,
    request: &ServiceRequest,
    tried: &mut Vec<ServerId>,
) -> Result<ServiceAnswer, Failure> {
    let mut target = select(context, call, request, tried).await?;
    context.check_before_send(target.backend)?;
    let mut service_call = service_call(context, call, request, None);
    // What silenced one connection may have silenced all idle ones.
    service_call.options.fresh_connection = !tried.is_empty();
    let result = target.client.call(service_call).await;
    tried.push(target.backend.id);
    target.dispatch.set_outcome(outcome(&result));
    note_outcome(context, call, &result);
    match result {
        // An overloaded or failing server is like a failed connection for an idempotent call.
        Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => Err(Failure::new(
            ErrorKind::BackendFailed,
            Stage::AnswerComplete,
            "the backend server is overloaded",
        )),
        other => other,
    }
}

fn outcome(result: &Result<ServiceAnswer, Failure>) -> SendOutcome {
    match result {
        Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => SendOutcome::Overloaded,
        Ok(_) => SendOutcome::Completed,
        Err(failure) if failure.kind() == ErrorKind::DeadlineExceeded => SendOutcome::Cancelled,
        Err(_) => SendOutcome::Failed,
    }
}

async fn select<'a>(
    context: &'a Context,
    call: &Call,
    request: &ServiceRequest,
    tried: &[ServerId],
) -> Result<Target<'a>, Failure> {
    let query = Query {
        request: RouteRequest {
            model: service_model(&context.settings, request.service),
            adapter: None,
            weight_version: WeightVersion(0),
            prompt_tokens: 1,
            tried: tried.to_vec(),
        },
        keys: Vec::new(),
    };
    let selected = context.routing.select(query).await;
    let mut attempt = Attempt {
        number: context.next_attempt().0,
        decision: None,
        imported_blocks: 0,
        server: None,
        outcome: None,
    };
    let result = match selected {
        Ok(selected) => {
            let server = context.backends.get(selected.choice.server);
            attempt.server = server.map(|server| server.name.clone());
            attempt.decision = Some(selected.explanation);
            Ok((selected.choice, selected.dispatch))
        }
        Err(refused) => {
            attempt.decision = refused.explanation;
            Err(refused.failure)
        }
    };
    context.explain.attempt(call.id, attempt);
    let (choice, dispatch) = result?;
    let backend = context.backends.get(choice.server);
    match backend.map(|backend| (backend, &backend.kind)) {
        Some((backend, BackendKind::Service { client, .. })) => Ok(Target {
            backend,
            client,
            dispatch,
        }),
        _ => Err(Failure::new(
            ErrorKind::Internal,
            Stage::Queued,
            "the chosen backend server is no plain service",
        )),
    }
}

fn service_call(
    context: &Context,
    call: &Call,
    request: &ServiceRequest,
    key: Option<&str>,
) -> ServiceCall {
    let hop = context.tracing.child("backend server", &call.hop);
    let traceparent = context.tracing.traceparent(&hop);
    let mut headers = request.headers.clone();
    if let Some(value) = key.and_then(|key| HeaderValue::from_str(key).ok()) {
        headers.insert(IDEMPOTENCY_KEY, value);
    }
    let mut service_call = ServiceCall::new(
        request.method.clone(),
        request.path_and_query.clone(),
        request.body.clone(),
    );
    service_call.headers = headers;
    service_call.options = CallOptions {
        traceparent: HeaderValue::from_str(&traceparent).ok(),
        time_limit: Some(context.remaining(call.deadline)),
        ..CallOptions::default()
    };
    service_call
}

fn note_outcome(context: &Context, call: &Call, result: &Result<ServiceAnswer, Failure>) {
    let text = match result {
        Ok(answer) => format!("status {}", answer.status.as_u16()),
        Err(failure) => failure.to_string(),
    };
    context.explain.update(call.id, |record| {
        if let Some(last) = record.attempts.last_mut() {
            last.outcome = Some(text.clone());
        }
        record.result = Some(text);
    });
}

/// A claim with the text of its key.
struct Claim {
    key: String,
    request: ClaimRequest,
}

fn claim_request(
    context: &Context,
    call: &Call,
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
async fn run_claimed(
    context: &Context,
    call: &Call,
    request: &ServiceRequest,
    claim: Claim,
    _open: OpenRequest,
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
        call: &Call,
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
    let (key, record) = match submission.clone() {
        Submission::Claim(_) => return,
        Submission::Outcome {
            key,
            attempt,
            answer,
        } => (
            key,
            ClaimRecord::Outcome {
                key,
                attempt,
                answer,
            },
        ),
        Submission::Abandon { key, attempt } => (key, ClaimRecord::Abandon { key, attempt }),
        Submission::Expire { key, attempt } => (key, ClaimRecord::Expire { key, attempt }),
    };
    let partition = key.partition(context.claims.partitions());
    if let Some(address) = context.control.claim_owner(context.daemon, partition) {
        let request = encode(&PeerRequest::Record(record));
        let answer = context.peers.call(address, request, RECORD_TIMEOUT).await;
        let answer = answer.ok().and_then(|answer| decode(&answer));
        if matches!(answer, Some(PeerAnswer::Taken)) {
            return;
        }
    }
    context.claims.record(submission);
}
