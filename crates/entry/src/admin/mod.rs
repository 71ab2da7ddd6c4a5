//! Operators' endpoints.

use crate::context::Context;
use crate::duties::control::ChangeAnswer;
use crate::front::{failure, json, read_body};
use anvilgw_config::{ConfigChange, ConfigRecord, RecordId, Rejection};
use anvilgw_core::{ErrorKind, Failure, RequestId, Stage};
use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{new_pipeline, single_pipeline};
use gotham::prelude::{DefineSingleRoute, DrawRoutes, StateData};
use gotham::router::Router;
use gotham::router::builder::build_router;
use gotham::state::State;
use http::{HeaderMap, Response, StatusCode, Uri};
use serde::Deserialize;
use serde_json::{Value, json};
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const EXPLAIN_PREFIX: &str = "/admin/explain/";
/// Largest change: the plans and entitlements of a few thousand workspaces.
const BODY_BYTES: usize = 4 * 1024 * 1024;

#[derive(Clone, StateData)]
struct Shared(Arc<AssertUnwindSafe<Arc<Context>>>);

/// Body of `POST /admin/config`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeRequest {
    expected_version: u64,
    record_id: RecordId,
    change: ConfigChange,
}

/// Builds the router.
pub(crate) fn router(context: Arc<Context>) -> Router {
    let shared = StateMiddleware::new(Shared(Arc::new(AssertUnwindSafe(context))));
    let (chain, pipelines) = single_pipeline(new_pipeline().add(shared).build());
    build_router(chain, pipelines, |route| {
        route.get("/admin/status").to_async(status);
        route.get("/admin/explain/:id").to_async(explain);
        route.get("/admin/config").to_async(config);
        route.post("/admin/config").to_async(change);
    })
}

async fn status(state: State) -> HandlerResult {
    answer(state, |context, _, _| async move {
        Ok((StatusCode::OK, describe(&context).await))
    })
    .await
}

async fn config(state: State) -> HandlerResult {
    answer(state, |context, _, _| async move {
        if !context.control.has_config() {
            let detail = "no configuration was read yet";
            return Err(Failure::new(ErrorKind::NotReady, Stage::Received, detail));
        }
        let config = context.control.config();
        let body = json!({
            "version": config.version,
            "digest": config.digest().to_string(),
            "author": config.author,
            "written_ms": config.written_ms,
            "plans": config.plans,
            "entitlements": config.entitlements,
            "domains_out": config.domains_out,
            "instances_out": config.instances_out,
            "in_force": in_force(&context),
        });
        Ok((StatusCode::OK, body))
    })
    .await
}

async fn explain(state: State) -> HandlerResult {
    let path = state.borrow::<Uri>().path().to_owned();
    answer(state, move |context, _, _| async move {
        let id = path.strip_prefix(EXPLAIN_PREFIX).unwrap_or_default();
        let id: RequestId = id.parse().map_err(|_| {
            let detail = "a request id has 32 hexadecimal digits";
            Failure::new(ErrorKind::BadRequest, Stage::Received, detail)
        })?;
        let record = context.explain.get(id).ok_or_else(|| {
            let detail = "this daemon does not remember the request; ask the daemon that served it";
            Failure::new(ErrorKind::NotFound, Stage::Received, detail)
        })?;
        Ok((StatusCode::OK, record))
    })
    .await
}

async fn change(state: State) -> HandlerResult {
    answer(state, |context, operator, body| async move {
        let read_time = Duration::from_millis(context.settings.limits.request_read_ms);
        let body = read_body(body, BODY_BYTES, read_time).await?;
        let request: ChangeRequest = serde_json::from_slice(&body).map_err(|error| {
            let detail = format!("the change cannot be read: {error}");
            Failure::new(ErrorKind::BadRequest, Stage::Received, detail)
        })?;
        let unknown = request.change.unknown_names(&context.settings);
        if let Some(fault) = unknown.first() {
            let detail = format!("the change names something unknown: {fault}");
            return Err(Failure::new(ErrorKind::BadRequest, Stage::Received, detail));
        }
        let record = ConfigRecord {
            record_id: request.record_id,
            author: operator,
            written_ms: context.clock.wall_ms(),
            expected_version: request.expected_version,
            change: request.change,
        };
        Ok(verdict(&context, context.control.change(record).await))
    })
    .await
}

fn verdict(context: &Context, answer: ChangeAnswer) -> (StatusCode, Value) {
    match answer {
        ChangeAnswer::Accepted(version) => (
            StatusCode::OK,
            json!({"verdict": "accepted", "version": version, "in_force": in_force(context)}),
        ),
        ChangeAnswer::Rejected(rejection) => {
            let status = match rejection {
                Rejection::VersionConflict { .. } => StatusCode::CONFLICT,
                Rejection::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
                Rejection::NoEffect => StatusCode::OK,
            };
            let body = json!({
                "verdict": "rejected",
                "version": context.control.config().version,
                "reason": rejection.to_string(),
                "in_force": in_force(context),
            });
            (status, body)
        }
        ChangeAnswer::Undecided => (
            StatusCode::SERVICE_UNAVAILABLE,
            json!({
                "verdict": "undecided",
                "version": context.control.config().version,
                "reason": "the log service did not answer; the change may still take effect. \
                           Send it again with the same record id.",
                "in_force": in_force(context),
            }),
        ),
    }
}

/// Versions that the live daemons reported.
fn in_force(context: &Context) -> Vec<Value> {
    let view = context.control.view();
    view.members
        .iter()
        .filter(|member| matches!(member.state, "self" | "alive" | "suspect"))
        .map(|member| json!({"daemon": member.index, "version": member.config_version}))
        .collect()
}

async fn describe(context: &Context) -> Value {
    let view = context.control.view();
    let stale = context.control.may_take_new_work().err();
    let servers = context.routing.status().await;
    let servers: Vec<_> = servers
        .into_iter()
        .map(|server| json!({"name": server_name(context, &server), "state": server}))
        .collect();
    json!({
        "daemon": context.daemon.index,
        "instance": context.settings.daemon.instance,
        "incarnation": context.daemon.incarnation,
        "draining": context.draining.load(Ordering::Acquire),
        "open_requests": context.open.load(Ordering::Acquire),
        "config_version": context.control.config().version,
        "config_digest": context.control.config().digest().to_string(),
        "view_age_ms": context.control.view_age().map(|age| age.as_millis() as u64),
        "takes_new_work": stale.is_none(),
        "stale_reason": stale.map(|stale| stale.to_string()),
        "epoch": view.epoch.number,
        "epoch_members": view.epoch.members.len(),
        "members": view.members,
        "duties": view.duties,
        "servers": servers,
        "claims": context.claims.status().await,
        "events": context.journal.since(0),
    })
}

fn server_name(context: &Context, server: &crate::duties::routing::ServerStatus) -> String {
    let backend = context.backends.get(server.server);
    backend.map_or_else(String::new, |backend| backend.name.clone())
}

/// Authenticates the operator, runs `run` and writes its answer.
async fn answer<F>(
    mut state: State,
    run: impl FnOnce(Arc<Context>, String, Body) -> F + Send,
) -> HandlerResult
where
    F: Future<Output = Result<(StatusCode, Value), Failure>> + Send,
{
    let context = Arc::clone(&state.borrow::<Shared>().0.0);
    let headers = state.take::<HeaderMap>();
    let body = state.take::<Body>();
    let operator = operator(&context, &headers);
    let result = match operator {
        Ok(operator) => run(Arc::clone(&context), operator, body).await,
        Err(failure) => Err(failure),
    };
    Ok((state, respond(result)))
}

fn operator(context: &Context, headers: &HeaderMap) -> Result<String, Failure> {
    let holder = context.operator_keys.holder(headers);
    let name = holder.and_then(|index| context.settings.operators.get_index(index as usize));
    name.map(|(name, _)| name.clone()).ok_or_else(|| {
        let detail = "the authorization header carries no valid operator key";
        Failure::new(ErrorKind::Unauthenticated, Stage::Received, detail)
    })
}

fn respond(result: Result<(StatusCode, Value), Failure>) -> Response<Body> {
    match result {
        Ok((status, body)) => json(status, body.to_string().into_bytes()),
        Err(error) => failure(RequestId(uuid::Uuid::now_v7().as_u128()), &error),
    }
}
