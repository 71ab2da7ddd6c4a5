//! HTTP endpoints for operators: status, configuration, explanations and forced epochs.

mod report;

use crate::context::Context;
use crate::duties::control::ChangeOutcome;
use crate::front::{failure_response, json_response, read_body};
use anvilgw_config::{
    ChangeRequest, ChangeResponse, ChangeVerdict, ConfigRecord, ConfigReport, ConfigState,
    ForceEpochResponse, Rejection,
};
use anvilgw_core::{ErrorKind, Failure, RequestId, Stage};
use anvilgw_kernel::EventKind;
use bytes::Bytes;
use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{new_pipeline, single_pipeline};
use gotham::prelude::{DefineSingleRoute, DrawRoutes, StateData};
use gotham::router::Router;
use gotham::router::builder::build_router;
use gotham::state::State;
use http::{HeaderMap, Response, StatusCode, Uri};
use serde::Serialize;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

const EXPLAIN_PREFIX: &str = "/admin/explain/";
/// Largest request body, in bytes. A change with the plans and entitlements of a few thousand
/// workspaces fits.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// The daemon's context, stored in the gotham state of each call.
#[derive(Clone, StateData)]
struct SharedContext(Arc<AssertUnwindSafe<Arc<Context>>>);

/// An authenticated call of an operator.
struct AdminCall {
    context: Arc<Context>,
    operator: String,
    path: String,
    body: Bytes,
}

/// Status and JSON body of the answer to a call.
type AdminResult = Result<(StatusCode, Vec<u8>), Failure>;

/// Builds the gotham router of the operators' address.
pub(crate) fn router(context: Arc<Context>) -> Router {
    let shared = StateMiddleware::new(SharedContext(Arc::new(AssertUnwindSafe(context))));
    let (chain, pipelines) = single_pipeline(new_pipeline().add(shared).build());
    build_router(chain, pipelines, |route| {
        route
            .get("/admin/status")
            .to_async(|state| respond_with(state, show_status));
        route
            .get("/admin/explain/:id")
            .to_async(|state| respond_with(state, explain_request));
        route
            .get("/admin/config")
            .to_async(|state| respond_with(state, show_config));
        route
            .post("/admin/config")
            .to_async(|state| respond_with(state, change_config));
        route
            .post("/admin/epoch")
            .to_async(|state| respond_with(state, force_epoch));
    })
}

async fn show_status(call: AdminCall) -> AdminResult {
    json_result(StatusCode::OK, &report::status(&call.context).await)
}

async fn show_config(call: AdminCall) -> AdminResult {
    let context = &call.context;
    if !context.control.has_config() {
        let detail = "no configuration has been read yet";
        return Err(Failure::new(ErrorKind::NotReady, Stage::Received, detail));
    }
    let config = context.control.config();
    let report = ConfigReport {
        digest: config.digest().to_string(),
        state: ConfigState::clone(&config),
        in_force: report::in_force(context),
    };
    json_result(StatusCode::OK, &report)
}

async fn explain_request(call: AdminCall) -> AdminResult {
    let id = call.path.strip_prefix(EXPLAIN_PREFIX).unwrap_or_default();
    let id: RequestId = id.parse().map_err(|_| {
        let detail = "a request id must have 32 hexadecimal digits";
        Failure::new(ErrorKind::BadRequest, Stage::Received, detail)
    })?;
    let mut record = call.context.explain.get(id).ok_or_else(|| {
        let detail = "this daemon has no record of the request; ask the daemon that served it";
        Failure::new(ErrorKind::NotFound, Stage::Received, detail)
    })?;
    let servers = call.context.backends.iter();
    record.server_names = servers.map(|server| server.name.clone()).collect();
    json_result(StatusCode::OK, &record)
}

async fn change_config(call: AdminCall) -> AdminResult {
    let bad_request = |detail: String| Failure::new(ErrorKind::BadRequest, Stage::Received, detail);
    let request: ChangeRequest = serde_json::from_slice(&call.body)
        .map_err(|error| bad_request(format!("the change cannot be read: {error}")))?;
    request
        .change
        .check()
        .map_err(|faults| bad_request(format!("the change has faults: {faults}")))?;
    let unknown = request.change.unknown_names(&call.context.settings);
    if let Some(fault) = unknown.first() {
        let detail = format!("the change contains an unknown name: {fault}");
        return Err(bad_request(detail));
    }
    let record = ConfigRecord {
        record_id: request.record_id,
        author: call.operator,
        written_ms: call.context.clock.wall_ms(),
        expected_version: request.expected_version,
        change: request.change,
    };
    let outcome = call.context.control.change_config(record).await;
    change_answer(&call.context, outcome)
}

/// Forces the next epoch without a majority of the members. The daemon cannot see whether the
/// missing members still run on the other side of a network partition, so this is left to an
/// operator who knows that they do not.
async fn force_epoch(call: AdminCall) -> AdminResult {
    let forced = call.context.control.force_epoch().await;
    if forced {
        let cause = format!("forced by {}", call.operator);
        let context = &call.context;
        let wall_ms = context.clock.wall_ms();
        context
            .journal
            .record(wall_ms, EventKind::EpochForced, "next epoch", cause);
    }
    json_result(StatusCode::OK, &ForceEpochResponse { forced })
}

fn change_answer(context: &Context, outcome: ChangeOutcome) -> AdminResult {
    let in_force = report::in_force(context);
    match outcome {
        ChangeOutcome::Accepted(version) => json_result(
            StatusCode::OK,
            &ChangeResponse {
                verdict: ChangeVerdict::Accepted,
                version,
                reason: String::new(),
                rejection: None,
                in_force,
            },
        ),
        ChangeOutcome::Rejected(rejection) => {
            let status = match rejection {
                Rejection::VersionConflict { .. } => StatusCode::CONFLICT,
                Rejection::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
                Rejection::NoEffect => StatusCode::OK,
            };
            let answer = ChangeResponse {
                verdict: ChangeVerdict::Rejected,
                version: context.control.config().version,
                reason: rejection.to_string(),
                rejection: Some(rejection),
                in_force,
            };
            json_result(status, &answer)
        }
        // The record may have reached the log, so the outcome is not known.
        ChangeOutcome::Undecided => Err(Failure::new(
            ErrorKind::OutcomeUnknown,
            Stage::Written,
            "the log service did not answer; send the change again with the same record id",
        )),
    }
}

fn json_result<T: Serialize>(status: StatusCode, value: &T) -> AdminResult {
    serde_json::to_vec(value)
        .map(|json| (status, json))
        .map_err(|error| {
            let detail = format!("the answer cannot be serialized: {error}");
            Failure::new(ErrorKind::Internal, Stage::Received, detail)
        })
}

/// Authenticates the operator, reads the body, calls `run` and converts its result into an answer.
async fn respond_with<F>(mut state: State, run: impl FnOnce(AdminCall) -> F + Send) -> HandlerResult
where
    F: Future<Output = AdminResult> + Send,
{
    let result = match receive_call(&mut state).await {
        Ok(call) => run(call).await,
        Err(failure) => Err(failure),
    };
    let response: Response<Body> = match result {
        Ok((status, body)) => json_response(status, body),
        Err(failure) => failure_response(RequestId(uuid::Uuid::now_v7().as_u128()), &failure),
    };
    Ok((state, response))
}

async fn receive_call(state: &mut State) -> Result<AdminCall, Failure> {
    let context = Arc::clone(&state.borrow::<SharedContext>().0.0);
    let headers = state.take::<HeaderMap>();
    let operator = authenticate_operator(&context, &headers)?;
    let time_limit = Duration::from_millis(context.settings.limits.request_read_ms);
    Ok(AdminCall {
        operator,
        path: state.borrow::<Uri>().path().to_owned(),
        body: read_body(state.take::<Body>(), MAX_BODY_BYTES, time_limit).await?,
        context,
    })
}

fn authenticate_operator(context: &Context, headers: &HeaderMap) -> Result<String, Failure> {
    let operator_index = context.operator_keys.authenticate(headers);
    let name =
        operator_index.and_then(|index| context.settings.operators.get_index(index as usize));
    name.map(|(name, _)| name.clone()).ok_or_else(|| {
        let detail = "the authorization header has no valid operator key";
        Failure::new(ErrorKind::Unauthenticated, Stage::Received, detail)
    })
}
