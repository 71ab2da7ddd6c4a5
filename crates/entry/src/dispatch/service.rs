//! Calls of plain services: selection of a server, and idempotent calls with retries.
//! Non-idempotent calls are in [`super::claimed`].

use super::claimed::{build_claim, run_claimed_call};
use super::{ACCEPT_TIMEOUT, REPLACEMENT_INTERVAL};
use crate::backends::{Backend, BackendKind, service_model};
use crate::context::{Context, CountGuard, RequestContext};
use crate::duties::admission::AdmissionGuard;
use crate::duties::routing::{DispatchGuard, RouteQuery};
use crate::explain::{AttemptRecord, RequestRecord};
use anvilgw_admission::AdmissionRequest;
use anvilgw_core::{ErrorKind, Executed, Failure, ServerId, Stage};
use anvilgw_platform::{CallOptions, ServiceAnswer, ServiceCall, ServiceClient, SilenceSignal};
use anvilgw_router::{RouteRequest, SendOutcome, WeightVersion};
use bytes::Bytes;
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// Header with the idempotency key. The caller may set it; non-idempotent calls to backend servers
/// always have it.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Admission cost of a service call, in tokens.
const CALL_COST_TOKENS: u64 = 1;

/// A caller's request to a plain service.
#[derive(Clone)]
pub(crate) struct ServiceRequest {
    /// Index of the service in the settings.
    pub(crate) service: usize,
    /// Name of the service.
    pub(crate) name: String,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query that are sent to the service, without `/services/NAME`.
    pub(crate) path_and_query: String,
    /// The caller's headers without `authorization`.
    pub(crate) headers: HeaderMap,
    /// The caller's body, at most `body_bytes` of the limits in the settings.
    pub(crate) body: Bytes,
}

/// The server that was selected for an attempt. The request counts as running there until
/// `dispatch` is dropped.
pub(super) struct SelectedServer<'a> {
    pub(super) backend: &'a Backend,
    pub(super) client: &'a ServiceClient,
    pub(super) dispatch: DispatchGuard,
}

/// Checks the entitlement of a service call, and runs the call as idempotent or non-idempotent by
/// the settings of the service.
///
/// # Errors
///
/// The failure to report to the caller.
pub(crate) async fn run_call(
    context: Arc<Context>,
    call: RequestContext,
    request: ServiceRequest,
) -> Result<ServiceAnswer, Failure> {
    let open_request = context.open_request();
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
    let record = RequestRecord {
        workspace,
        target: request.name.clone(),
        trace_id: call.span.trace_id(),
        config_version: config.version,
        ..RequestRecord::default()
    };
    context.explain.insert(call.id, record);
    if idempotent {
        return run_idempotent(&context, &call, &request, open_request).await;
    }
    let claim = build_claim(&context, &call, &request)?;
    // The call continues if its caller disconnects: a claimed request must reach an outcome.
    let task = tokio::spawn(async move {
        run_claimed_call(&context, &call, &request, claim, open_request).await
    });
    task.await.unwrap_or_else(|error| {
        let detail = format!("the task of the call failed: {error}");
        Err(Failure::new(ErrorKind::Internal, Stage::Written, detail))
    })
}

/// Returns the uptime by which a call must have started: the end of its time in the queue, at most
/// its deadline.
pub(super) fn start_by(context: &Context, call: &RequestContext) -> Duration {
    let queue = Duration::from_millis(context.settings.limits.queue_ms);
    call.deadline.min(context.clock.uptime() + queue)
}

pub(super) async fn admit(
    context: &Context,
    call: &RequestContext,
    start_by: Duration,
) -> Result<AdmissionGuard, Failure> {
    let admission_request = AdmissionRequest {
        id: call.id,
        workspace: call.workspace,
        cost_tokens: CALL_COST_TOKENS,
        start_by,
    };
    context.admission.admit(admission_request).await
}

async fn run_idempotent(
    context: &Context,
    call: &RequestContext,
    request: &ServiceRequest,
    _open_request: CountGuard,
) -> Result<ServiceAnswer, Failure> {
    let start_by = start_by(context, call);
    let _admission_guard = admit(context, call, start_by).await?;
    let mut tried = Vec::new();
    let mut attempts = 0;
    loop {
        attempts += 1;
        let failure = match run_attempt(context, call, request, &mut tried).await {
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
        let wait = context.retry_delay(attempts, call.deadline);
        let Some(wait) = wait.filter(|_| !is_final) else {
            return Err(failure);
        };
        context
            .metrics
            .count("retries", 1, failure.kind().answer().code);
        tokio::time::sleep(wait).await;
    }
}

/// Makes one attempt. If the server falls silent and another one answers meanwhile, that answer is
/// returned; until then the call stays open.
async fn run_attempt(
    context: &Context,
    call: &RequestContext,
    request: &ServiceRequest,
    tried: &mut Vec<ServerId>,
) -> Result<ServiceAnswer, Failure> {
    let mut selected = select_server(context, call, request, tried).await?;
    context.check_before_send(selected.backend)?;
    let mut service_call = build_service_call(context, call, request, None);
    // The cause of a silent connection may affect all idle connections.
    service_call.options.fresh_connection = !tried.is_empty();
    let silence = SilenceSignal::default();
    service_call.options.silence_signal = Some(silence.clone());
    tried.push(selected.backend.id);
    let replacement = async {
        silence.silent().await;
        selected.dispatch.report_silence();
        find_replacement(context, call, request, &silence, tried).await
    };
    let result = tokio::select! {
        biased;
        result = selected.client.call(service_call) => result,
        answer = replacement => return Ok(answer),
    };
    selected.dispatch.set_outcome(send_outcome(&result));
    record_outcome(context, call, &result);
    match result {
        // For an idempotent call, an overloaded server is handled like a failed connection.
        Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => Err(Failure::new(
            ErrorKind::BackendFailed,
            Stage::AnswerComplete,
            "the backend server is overloaded",
        )),
        other => other,
    }
}

/// Sends the call to other servers until one of them has answered it. Each one has [`ACCEPT_TIMEOUT`]
/// for that while the silent one may still work on the call.
async fn find_replacement(
    context: &Context,
    call: &RequestContext,
    request: &ServiceRequest,
    silence: &SilenceSignal,
    tried: &mut Vec<ServerId>,
) -> ServiceAnswer {
    loop {
        silence.silent().await;
        if let Some(answer) = try_replacement(context, call, request, tried).await {
            return answer;
        }
        tokio::time::sleep(REPLACEMENT_INTERVAL).await;
    }
}

async fn try_replacement(
    context: &Context,
    call: &RequestContext,
    request: &ServiceRequest,
    tried: &mut Vec<ServerId>,
) -> Option<ServiceAnswer> {
    let Ok(mut selected) = select_server(context, call, request, tried).await else {
        // The servers that were tried may have recovered, and a new connection to the silent one
        // may work.
        tried.clear();
        return None;
    };
    let is_usable = context.check_before_send(selected.backend).is_ok();
    if !is_usable || !context.may_replace(call.deadline) {
        return None;
    }
    tried.push(selected.backend.id);
    let mut service_call = build_service_call(context, call, request, None);
    service_call.options.fresh_connection = true;
    let sent = tokio::time::timeout(ACCEPT_TIMEOUT, selected.client.call(service_call));
    let Ok(result) = sent.await else {
        selected.dispatch.set_outcome(SendOutcome::Failed);
        return None;
    };
    selected.dispatch.set_outcome(send_outcome(&result));
    record_outcome(context, call, &result);
    result
        .ok()
        .filter(|answer| answer.status != StatusCode::SERVICE_UNAVAILABLE)
}

/// Returns what the result of a call says about the server.
pub(super) fn send_outcome(result: &Result<ServiceAnswer, Failure>) -> SendOutcome {
    match result {
        Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => SendOutcome::Overloaded,
        Ok(_) => SendOutcome::Completed,
        Err(failure) if failure.kind() == ErrorKind::DeadlineExceeded => SendOutcome::Cancelled,
        Err(_) => SendOutcome::Failed,
    }
}

/// Selects a server of the service and records the decision for `explain`.
///
/// # Errors
///
/// A failure at stage `Queued` if no server can take the call.
pub(super) async fn select_server<'a>(
    context: &'a Context,
    call: &RequestContext,
    request: &ServiceRequest,
    tried: &[ServerId],
) -> Result<SelectedServer<'a>, Failure> {
    let query = RouteQuery {
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
    let mut attempt = AttemptRecord {
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
    context.explain.add_attempt(call.id, attempt);
    let (choice, dispatch) = result?;
    let backend = context.backends.get(choice.server);
    match backend.map(|backend| (backend, &backend.kind)) {
        Some((backend, BackendKind::Service { client, .. })) => Ok(SelectedServer {
            backend,
            client,
            dispatch,
        }),
        _ => Err(Failure::new(
            ErrorKind::Internal,
            Stage::Queued,
            "the selected backend server is not a plain service",
        )),
    }
}

/// Builds the call to the backend server, with the idempotency key `key` if there is one.
pub(super) fn build_service_call(
    context: &Context,
    call: &RequestContext,
    request: &ServiceRequest,
    key: Option<&str>,
) -> ServiceCall {
    let span = context
        .tracing
        .start_client_span("backend server", &call.span);
    let traceparent = context.tracing.traceparent(&span);
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

/// Records how the last attempt and the request ended for `explain`. A further attempt overwrites
/// the result of the request.
pub(super) fn record_outcome(
    context: &Context,
    call: &RequestContext,
    result: &Result<ServiceAnswer, Failure>,
) {
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
