//! Routes and request handlers of the callers' address.

use super::{body, respond, sse};
use crate::context::{Context, CountGuard, RequestContext};
use crate::dispatch::completion::Completion;
use crate::dispatch::completion_request::CompletionRequest;
use crate::dispatch::service::{self, ServiceRequest};
use anvilgw_core::{ErrorKind, Failure, RequestId, Stage, WorkspaceId};
use bytes::Bytes;
use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{new_pipeline, single_pipeline};
use gotham::prelude::{DefineSingleRoute, DrawRoutes, StateData};
use gotham::router::Router;
use gotham::router::builder::build_router;
use gotham::state::State;
use http::header::{AUTHORIZATION, HeaderName};
use http::{HeaderMap, Method, Response, StatusCode, Uri};
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Header with the time limit that the caller sets for the request, in milliseconds from its
/// receipt.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-anvilgw-deadline-ms");
const SERVICES_PREFIX: &str = "/services/";

/// The daemon's context, stored in the gotham state of each request.
#[derive(Clone, StateData)]
struct SharedContext(Arc<AssertUnwindSafe<Arc<Context>>>);

/// An authenticated request with its body. It counts as open for its workspace until it is dropped.
struct AuthenticatedRequest {
    context: Arc<Context>,
    request_context: RequestContext,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    _open_request: CountGuard,
}

/// Builds the gotham router of the callers' address.
pub(crate) fn router(context: Arc<Context>) -> Router {
    let shared = StateMiddleware::new(SharedContext(Arc::new(AssertUnwindSafe(context))));
    let (chain, pipelines) = single_pipeline(new_pipeline().add(shared).build());
    build_router(chain, pipelines, |route| {
        route.get("/healthz").to(healthz);
        route.get("/readyz").to(readyz);
        route.get("/v1/models").to_async(models);
        route.post("/v1/completions").to_async(completions);
        route
            .post("/v1/chat/completions")
            .to_async(chat_completions);
        let methods = vec![
            Method::GET,
            Method::HEAD,
            Method::POST,
            Method::PUT,
            Method::PATCH,
            Method::DELETE,
        ];
        route.request(methods, "/services/*").to_async(services);
    })
}

fn healthz(state: State) -> (State, Response<Body>) {
    let response = respond::json_response(StatusCode::OK, br#"{"status":"alive"}"#.to_vec());
    (state, response)
}

fn readyz(state: State) -> (State, Response<Body>) {
    let context = context(&state);
    let result = if context.draining.load(Ordering::Acquire) {
        Err(shutting_down_failure())
    } else {
        context.config_for_new_work(Stage::Received).map(|_| ())
    };
    let response = match result {
        Ok(()) => respond::json_response(StatusCode::OK, br#"{"status":"ready"}"#.to_vec()),
        Err(failure) => respond::failure_response(new_request_id(), &failure),
    };
    (state, response)
}

/// Returns the failure for requests that arrive while the daemon drains.
fn shutting_down_failure() -> Failure {
    let detail = "the daemon is draining";
    Failure::new(ErrorKind::ShuttingDown, Stage::Received, detail)
}

fn context(state: &State) -> Arc<Context> {
    Arc::clone(&state.borrow::<SharedContext>().0.0)
}

fn new_request_id() -> RequestId {
    RequestId(uuid::Uuid::now_v7().as_u128())
}

async fn completions(state: State) -> HandlerResult {
    respond_with(state, |request| run_completion(request, false)).await
}

async fn chat_completions(state: State) -> HandlerResult {
    respond_with(state, |request| run_completion(request, true)).await
}

async fn services(state: State) -> HandlerResult {
    respond_with(state, call_service).await
}

async fn models(state: State) -> HandlerResult {
    respond_with(state, list_models).await
}

/// Reads and authenticates the request, calls `run` and converts a failure into an error answer.
async fn respond_with<F>(
    mut state: State,
    run: impl FnOnce(AuthenticatedRequest) -> F + Send,
) -> HandlerResult
where
    F: Future<Output = Result<Response<Body>, Failure>> + Send,
{
    let id = new_request_id();
    let context = context(&state);
    // The daemon does not stop while a caller sends a request. A streamed answer counts by itself.
    let _open_request = context.open_request();
    let started = context.clock.uptime();
    let mut trace_id = String::new();
    let result = match receive_request(&mut state, Arc::clone(&context), id).await {
        Ok(request) => {
            trace_id = request.request_context.span.trace_id();
            run(request).await
        }
        Err(failure) => Err(failure),
    };
    let mut response = result.unwrap_or_else(|failure| {
        let code = failure.kind().answer().code;
        context.metrics.count("failures", 1, code);
        spdlog::info!(logger: context.logger, "request failed", kv: {
            request_id = id.to_string().as_str(),
            trace_id = trace_id.as_str(),
            code,
            executed = failure.executed().as_str(),
            detail = failure.detail(),
        });
        respond::failure_response(id, &failure)
    });
    respond::set_request_id(&mut response, id);
    let elapsed = context.clock.uptime().saturating_sub(started);
    context
        .metrics
        .time("request.first_byte", elapsed, response.status().as_str());
    Ok((state, response))
}

/// Checks the headers, authenticates the workspace, reads the deadline and then the body.
async fn receive_request(
    state: &mut State,
    context: Arc<Context>,
    id: RequestId,
) -> Result<AuthenticatedRequest, Failure> {
    let mut headers = state.take::<HeaderMap>();
    let limits = &context.settings.limits;
    body::check_headers(&headers, limits.header_bytes)?;
    let workspace_index = context
        .workspace_keys
        .authenticate(&headers)
        .ok_or_else(|| {
            let detail = "the authorization header has no valid workspace key";
            Failure::new(ErrorKind::Unauthenticated, Stage::Received, detail)
        })?;
    headers.remove(AUTHORIZATION);
    if context.draining.load(Ordering::Acquire) && !context.control.has_config() {
        return Err(shutting_down_failure());
    }
    let open_request = context.open_workspace_request(WorkspaceId(workspace_index))?;
    let requested_deadline = headers
        .get(DEADLINE_HEADER)
        .map(|value| deadline_ms(value).map(Duration::from_millis))
        .transpose()?;
    let deadline = context.clock.uptime() + context.settings.daemon.deadline(requested_deadline);
    let span = context.tracing.start_server_span("entry", &headers);
    span.set_attribute("request_id", id.to_string());
    let time_limit = Duration::from_millis(limits.request_read_ms);
    let body = body::read_body(state.take::<Body>(), limits.body_bytes, time_limit).await?;
    Ok(AuthenticatedRequest {
        request_context: RequestContext {
            id,
            workspace: WorkspaceId(workspace_index),
            deadline,
            span,
        },
        method: state.take::<Method>(),
        uri: state.take::<Uri>(),
        headers,
        body,
        context,
        _open_request: open_request,
    })
}

fn deadline_ms(value: &http::HeaderValue) -> Result<u64, Failure> {
    let ms = value.to_str().ok().and_then(|text| text.parse().ok());
    ms.ok_or_else(|| {
        let detail = "x-anvilgw-deadline-ms must be a number of milliseconds";
        Failure::new(ErrorKind::BadRequest, Stage::Received, detail)
    })
}

async fn run_completion(
    request: AuthenticatedRequest,
    is_chat: bool,
) -> Result<Response<Body>, Failure> {
    let AuthenticatedRequest {
        context,
        request_context,
        body,
        ..
    } = request;
    let completion_request =
        CompletionRequest::parse(&context.settings, request_context.workspace, is_chat, &body)?;
    let is_stream = completion_request.is_stream;
    let open_stream = context.open_stream(request_context.workspace)?;
    let completion = Completion::start(context, request_context, completion_request).await?;
    if is_stream {
        sse::stream(completion, open_stream).await
    } else {
        sse::collect(completion).await
    }
}

async fn list_models(request: AuthenticatedRequest) -> Result<Response<Body>, Failure> {
    let context = &request.context;
    let config = context.config_for_new_work(Stage::Received)?;
    let workspace = context.workspace_name(request.request_context.workspace);
    let models: Vec<_> = context
        .settings
        .models
        .keys()
        .filter(|model| config.entitlements.allows_model(workspace, model))
        .map(|model| serde_json::json!({"id": model, "object": "model", "owned_by": "operator"}))
        .collect();
    let list = serde_json::json!({"object": "list", "data": models});
    Ok(respond::json_response(
        StatusCode::OK,
        list.to_string().into_bytes(),
    ))
}

async fn call_service(request: AuthenticatedRequest) -> Result<Response<Body>, Failure> {
    let (service, name, path_and_query) = service_path(&request)?;
    let service_request = ServiceRequest {
        service,
        name,
        method: request.method,
        path_and_query,
        headers: request.headers,
        body: request.body,
    };
    let answer =
        service::run_call(request.context, request.request_context, service_request).await?;
    let mut response = Response::new(respond::full_body(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    Ok(response)
}

/// Splits `/services/NAME/rest?query` into the index and name of the service, and `/rest?query`.
///
/// # Errors
///
/// A failure of kind `NotFound` if no service has the name.
fn service_path(request: &AuthenticatedRequest) -> Result<(usize, String, String), Failure> {
    let path = request.uri.path();
    let rest = path.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let service = request.context.settings.services.get_index_of(name);
    let service = service.ok_or_else(|| {
        let detail = format!("service {name:?} does not exist");
        Failure::new(ErrorKind::NotFound, Stage::Received, detail)
    })?;
    let query = request.uri.query();
    let path_and_query = match query {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    Ok((service, name.to_owned(), path_and_query))
}
