//! Operators' endpoints.

mod report;

use crate::context::Context;
use crate::duties::control::ChangeOutcome as Decided;
use crate::front::{failure, json, read_body};
use anvilgw_config::{
    ChangeAnswer, ChangeRequest, ConfigRecord, ConfigReport, ConfigState, EpochForced, Rejection,
    Verdict,
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
/// Largest change: the plans and entitlements of a few thousand workspaces.
const BODY_BYTES: usize = 4 * 1024 * 1024;

#[derive(Clone, StateData)]
struct Shared(Arc<AssertUnwindSafe<Arc<Context>>>);

/// An authenticated call.
struct Call {
    context: Arc<Context>,
    operator: String,
    path: String,
    body: Bytes,
}

type Answer = Result<(StatusCode, Vec<u8>), Failure>;

/// Builds the router.
pub(crate) fn router(context: Arc<Context>) -> Router {
    let shared = StateMiddleware::new(Shared(Arc::new(AssertUnwindSafe(context))));
    let (chain, pipelines) = single_pipeline(new_pipeline().add(shared).build());
    build_router(chain, pipelines, |route| {
        route
            .get("/admin/status")
            .to_async(|state| answer(state, status));
        route
            .get("/admin/explain/:id")
            .to_async(|state| answer(state, explain));
        route
            .get("/admin/config")
            .to_async(|state| answer(state, config));
        route
            .post("/admin/config")
            .to_async(|state| answer(state, change));
        route
            .post("/admin/epoch")
            .to_async(|state| answer(state, force_epoch));
    })
}

async fn status(call: Call) -> Answer {
    to_json(StatusCode::OK, &report::status(&call.context).await)
}

async fn config(call: Call) -> Answer {
    let context = &call.context;
    if !context.control.has_config() {
        let detail = "no configuration was read yet";
        return Err(Failure::new(ErrorKind::NotReady, Stage::Received, detail));
    }
    let config = context.control.config();
    let report = ConfigReport {
        digest: config.digest().to_string(),
        state: ConfigState::clone(&config),
        in_force: report::in_force(context),
    };
    to_json(StatusCode::OK, &report)
}

async fn explain(call: Call) -> Answer {
    let id = call.path.strip_prefix(EXPLAIN_PREFIX).unwrap_or_default();
    let id: RequestId = id.parse().map_err(|_| {
        let detail = "a request id has 32 hexadecimal digits";
        Failure::new(ErrorKind::BadRequest, Stage::Received, detail)
    })?;
    let mut record = call.context.explain.get(id).ok_or_else(|| {
        let detail = "this daemon does not remember the request; ask the daemon that served it";
        Failure::new(ErrorKind::NotFound, Stage::Received, detail)
    })?;
    let servers = call.context.backends.iter();
    record.server_names = servers.map(|server| server.name.clone()).collect();
    to_json(StatusCode::OK, &record)
}

async fn change(call: Call) -> Answer {
    let bad_request = |detail: String| Failure::new(ErrorKind::BadRequest, Stage::Received, detail);
    let request: ChangeRequest = serde_json::from_slice(&call.body)
        .map_err(|error| bad_request(format!("the change cannot be read: {error}")))?;
    request
        .change
        .check()
        .map_err(|faults| bad_request(format!("the change has faults: {faults}")))?;
    let unknown = request.change.unknown_names(&call.context.settings);
    if let Some(fault) = unknown.first() {
        let detail = format!("the change names something unknown: {fault}");
        return Err(bad_request(detail));
    }
    let record = ConfigRecord {
        record_id: request.record_id,
        author: call.operator,
        written_ms: call.context.clock.wall_ms(),
        expected_version: request.expected_version,
        change: request.change,
    };
    let decided = call.context.control.change_config(record).await;
    verdict(&call.context, decided)
}

/// The daemon cannot see whether the missing members run on the other side of a partition, so only an
/// operator who knows may do this.
async fn force_epoch(call: Call) -> Answer {
    let forced = call.context.control.force_epoch().await;
    if forced {
        let cause = format!("forced by {}", call.operator);
        let context = &call.context;
        let wall_ms = context.clock.wall_ms();
        context
            .journal
            .record(wall_ms, EventKind::EpochForced, "next epoch", cause);
    }
    to_json(StatusCode::OK, &EpochForced { forced })
}

fn verdict(context: &Context, decided: Decided) -> Answer {
    let in_force = report::in_force(context);
    match decided {
        Decided::Accepted(version) => to_json(
            StatusCode::OK,
            &ChangeAnswer {
                verdict: Verdict::Accepted,
                version,
                reason: String::new(),
                rejection: None,
                in_force,
            },
        ),
        Decided::Rejected(rejection) => {
            let status = match rejection {
                Rejection::VersionConflict { .. } => StatusCode::CONFLICT,
                Rejection::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
                Rejection::NoEffect => StatusCode::OK,
            };
            let answer = ChangeAnswer {
                verdict: Verdict::Rejected,
                version: context.control.config().version,
                reason: rejection.to_string(),
                rejection: Some(rejection),
                in_force,
            };
            to_json(status, &answer)
        }
        // The record may be in the log, so the outcome is not known.
        Decided::Undecided => Err(Failure::new(
            ErrorKind::OutcomeUnknown,
            Stage::Written,
            "the log service did not answer; send the change again with the same record id",
        )),
    }
}

fn to_json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    serde_json::to_vec(value)
        .map(|json| (status, json))
        .map_err(|error| {
            let detail = format!("the answer cannot be written: {error}");
            Failure::new(ErrorKind::Internal, Stage::Received, detail)
        })
}

/// Authenticates the operator, reads the body, runs `run` and writes its answer.
async fn answer<F>(mut state: State, run: impl FnOnce(Call) -> F + Send) -> HandlerResult
where
    F: Future<Output = Answer> + Send,
{
    let result = match receive(&mut state).await {
        Ok(call) => run(call).await,
        Err(failure) => Err(failure),
    };
    let response: Response<Body> = match result {
        Ok((status, body)) => json(status, body),
        Err(error) => failure(RequestId(uuid::Uuid::now_v7().as_u128()), &error),
    };
    Ok((state, response))
}

async fn receive(state: &mut State) -> Result<Call, Failure> {
    let context = Arc::clone(&state.borrow::<Shared>().0.0);
    let headers = state.take::<HeaderMap>();
    let operator = operator(&context, &headers)?;
    let read_time = Duration::from_millis(context.settings.limits.request_read_ms);
    Ok(Call {
        operator,
        path: state.borrow::<Uri>().path().to_owned(),
        body: read_body(state.take::<Body>(), BODY_BYTES, read_time).await?,
        context,
    })
}

fn operator(context: &Context, headers: &HeaderMap) -> Result<String, Failure> {
    let holder = context.operator_keys.holder(headers);
    let name = holder.and_then(|index| context.settings.operators.get_index(index as usize));
    name.map(|(name, _)| name.clone()).ok_or_else(|| {
        let detail = "the authorization header carries no valid operator key";
        Failure::new(ErrorKind::Unauthenticated, Stage::Received, detail)
    })
}
