//! Completions: admission, selection of a server, attempts and resumption of broken streams.

use super::completion_request::CompletionRequest;
use super::engine_errors::{is_broken_answer, send_outcome};
use crate::backends::BackendKind;
use crate::context::{Context, CountGuard, RequestContext};
use crate::duties::admission::AdmissionGuard;
use crate::duties::block_export::CompletedPrompt;
use crate::duties::routing::{DispatchGuard, ImportBlock, RouteQuery, RouteSelection};
use crate::explain::{AttemptRecord, RequestRecord};
use crate::observe::TraceSpan;
use anvilgw_admission::AdmissionRequest;
use anvilgw_core::{AttemptId, ErrorKind, Failure, ServerId, Stage};
use anvilgw_platform::{
    CallOptions, EngineError, EngineEvent, EngineRequest, EngineStream, KvImport, KvSource,
};
use anvilgw_quarantine::Suspect;
use anvilgw_router::{BlockKey, Location, PrefillPriority, RouteRequest, SendOutcome, ServePlan};
use http::HeaderValue;
use std::sync::Arc;
use std::time::Duration;

/// Engine priority of requests with a long prefill. Engines start requests of higher priority
/// first; requests without a priority have 0.
const LOW_ENGINE_PRIORITY: i32 = -1;

/// A running completion request. Dropping it cancels the request at its engine.
pub(crate) struct Completion {
    context: Arc<Context>,
    request_context: RequestContext,
    request: CompletionRequest,
    /// Prefixes of the prompt under which an engine may end.
    suspects: Vec<Suspect>,
    admission_guard: AdmissionGuard,
    attempt: Option<RunningAttempt>,
    next_token_index: u64,
    attempts: u32,
    tried: Vec<ServerId>,
    start_by: Duration,
    _open_request: CountGuard,
}

/// An attempt whose request an engine has accepted.
struct RunningAttempt {
    stream: EngineStream,
    dispatch: DispatchGuard,
    server: ServerId,
    plan: ServePlan,
    has_first_token: bool,
    span: TraceSpan,
}

impl Completion {
    /// Admits the request and starts its first attempt.
    ///
    /// # Errors
    ///
    /// The failure to report to the caller.
    pub(crate) async fn start(
        context: Arc<Context>,
        request_context: RequestContext,
        request: CompletionRequest,
    ) -> Result<Self, Failure> {
        let open_request = context.open_request();
        let config = context.config_for_new_work(Stage::Received)?;
        let workspace = context.workspace_name(request_context.workspace).to_owned();
        request.check_entitlement(&config, &workspace)?;
        context.explain.insert(
            request_context.id,
            RequestRecord {
                workspace,
                target: request.model_name.clone(),
                trace_id: request_context.span.trace_id(),
                config_version: config.version,
                ..RequestRecord::default()
            },
        );
        let queue = Duration::from_millis(context.settings.limits.queue_ms);
        let admission_request = AdmissionRequest {
            id: request_context.id,
            workspace: request_context.workspace,
            cost_tokens: request.cost_tokens(),
            start_by: request_context.deadline.min(context.clock.uptime() + queue),
        };
        let start_by = admission_request.start_by;
        let admission_guard = context
            .admission
            .admit(admission_request)
            .await
            .inspect_err(|failure| {
                record_result(&context, &request_context, &failure.to_string());
            })?;
        let queued_ms = admission_guard.waited.as_secs_f64() * 1e3;
        context
            .explain
            .update(request_context.id, |record| record.queued_ms = queued_ms);
        let mut completion = Self {
            context,
            suspects: request.suspects(request_context.workspace),
            request_context,
            request,
            admission_guard,
            attempt: None,
            next_token_index: 0,
            attempts: 0,
            tried: Vec::new(),
            start_by,
            _open_request: open_request,
        };
        completion.ensure_running_attempt().await?;
        Ok(completion)
    }

    /// Returns the parsed request.
    pub(crate) fn request(&self) -> &CompletionRequest {
        &self.request
    }

    /// Returns the identifier, workspace, deadline and span of the request.
    pub(crate) fn request_context(&self) -> &RequestContext {
        &self.request_context
    }

    /// Waits for the next event of the answer. A broken attempt is resumed on another server at the
    /// next token, so that no token is missing or repeated.
    ///
    /// # Errors
    ///
    /// The failure to report to the caller.
    pub(crate) async fn next(&mut self) -> Result<EngineEvent, Failure> {
        loop {
            self.ensure_running_attempt().await?;
            let Some(running) = &mut self.attempt else {
                continue;
            };
            let remaining = self.context.remaining(self.request_context.deadline);
            let event = tokio::time::timeout(remaining, running.stream.next()).await;
            match event {
                Err(_) => return Err(self.deadline_exceeded()),
                Ok(Ok(Some(EngineEvent::Token { index, text }))) => {
                    assert!(
                        index == self.next_token_index,
                        "tokens must reach the caller in order"
                    );
                    if !running.has_first_token {
                        running.has_first_token = true;
                        running.dispatch.report_import_ended();
                    }
                    self.next_token_index += 1;
                    return Ok(EngineEvent::Token { index, text });
                }
                Ok(Ok(Some(finish))) => {
                    self.handle_finish(&finish);
                    return Ok(finish);
                }
                Ok(Ok(None)) => {
                    self.handle_broken_attempt(&EngineError::MissingEndMarker)
                        .await?;
                }
                Ok(Err(error)) => self.handle_broken_attempt(&error).await?,
            }
        }
    }

    /// Accounts for the tokens of a complete answer and ends the attempt.
    fn handle_finish(&mut self, event: &EngineEvent) {
        if let EngineEvent::Finish { usage, .. } = event {
            if let Some(running) = &mut self.attempt
                && let Some(import) = running.plan.import
            {
                let block_tokens = u64::from(self.request.block_tokens);
                let tokens_with_import = u64::from(import.first_block + 1) * block_tokens;
                let tokens_from_cache = usage.reused_tokens + usage.imported_tokens;
                running
                    .dispatch
                    .set_import_usable(tokens_from_cache >= tokens_with_import);
            }
            let computed = usage.recomputed_tokens + usage.completion_tokens;
            self.admission_guard.set_actual_tokens(computed);
            self.context
                .metrics
                .count("tokens.recomputed", usage.recomputed_tokens, "prompt");
            self.context
                .metrics
                .count("tokens.reused", usage.reused_tokens, "prompt");
            self.context
                .metrics
                .count("tokens.imported", usage.imported_tokens, "prompt");
        }
        self.context.quarantine.on_completed(&self.suspects);
        self.enqueue_block_export();
        self.end_attempt(SendOutcome::Completed, "complete");
        record_result(&self.context, &self.request_context, "complete");
    }

    /// Queues the prompt's KV cache blocks, which the engine has sealed by now, for export to the
    /// stores.
    fn enqueue_block_export(&self) {
        let Some(running) = &self.attempt else { return };
        if self.request.keys.is_empty() {
            return;
        }
        let accepted = self.context.block_export.enqueue(CompletedPrompt {
            server: running.server,
            workspace: self.request_context.workspace,
            keys: self.request.keys.clone(),
            block_bytes: self.request.block_bytes,
        });
        if !accepted {
            self.context
                .metrics
                .count("exports.dropped", 1, "ring full");
        }
    }

    /// Ends a broken attempt and waits for the next one.
    ///
    /// # Errors
    ///
    /// The failure of the attempt if it is not retried.
    async fn handle_broken_attempt(&mut self, error: &EngineError) -> Result<(), Failure> {
        let outcome = send_outcome(error);
        if let Some(running) = &self.attempt {
            self.tried.push(running.server);
            self.on_engine_error(running.server, error);
        }
        self.end_attempt(outcome, &error.to_string());
        let failure = Failure::from(error.clone());
        let failure = if self.next_token_index > 0 {
            failure.with_min_stage(Stage::AnswerStarted)
        } else {
            failure
        };
        self.wait_for_retry(failure).await
    }

    /// Waits before the next attempt, or returns `failure` if the retry budget, the number of
    /// attempts or the deadline allows none.
    async fn wait_for_retry(&mut self, failure: Failure) -> Result<(), Failure> {
        let may_be_at_fault = failure.kind() == ErrorKind::AnswerBroken;
        let is_allowed = !may_be_at_fault || self.context.quarantine.may_repeat(&self.suspects);
        let retry_delay = self
            .context
            .retry_delay(self.attempts, self.request_context.deadline);
        match retry_delay.filter(|_| is_allowed) {
            Some(wait) => {
                self.context
                    .metrics
                    .count("retries", 1, failure.kind().answer().code);
                tokio::time::sleep(wait).await;
                Ok(())
            }
            None => {
                record_result(&self.context, &self.request_context, &failure.to_string());
                Err(failure)
            }
        }
    }

    /// Tells the quarantine if an engine may have ended under the request.
    fn on_engine_error(&self, engine: ServerId, error: &EngineError) {
        if is_broken_answer(error) {
            self.context
                .quarantine
                .on_answer_broken(engine, &self.suspects);
        }
    }

    fn deadline_exceeded(&mut self) -> Failure {
        let stage = match self.next_token_index {
            0 => Stage::Written,
            _ => Stage::AnswerStarted,
        };
        self.end_attempt(SendOutcome::Cancelled, "deadline exceeded");
        record_result(&self.context, &self.request_context, "deadline exceeded");
        Failure::new(
            ErrorKind::DeadlineExceeded,
            stage,
            "the deadline passed before the answer was complete",
        )
    }

    fn end_attempt(&mut self, outcome: SendOutcome, detail: &str) {
        if let Some(mut running) = self.attempt.take() {
            running.dispatch.set_outcome(outcome);
            running.span.end();
        }
        let detail = detail.to_owned();
        self.context
            .explain
            .update(self.request_context.id, |record| {
                if let Some(last) = record.attempts.last_mut() {
                    last.outcome.get_or_insert(detail);
                }
            });
    }

    /// Starts attempts until one runs or the request fails.
    async fn ensure_running_attempt(&mut self) -> Result<(), Failure> {
        while self.attempt.is_none() {
            self.attempts += 1;
            match self.start_attempt().await {
                Ok(running) => self.attempt = Some(running),
                Err(failure) => {
                    self.end_attempt(SendOutcome::Failed, &failure.to_string());
                    let is_final = matches!(
                        failure.kind(),
                        ErrorKind::StaleView
                            | ErrorKind::NotReady
                            | ErrorKind::DeadlineExceeded
                            | ErrorKind::PromptQuarantined
                    );
                    let failure = match self.next_token_index {
                        0 => failure,
                        _ => failure.with_min_stage(Stage::AnswerStarted),
                    };
                    if is_final {
                        record_result(&self.context, &self.request_context, &failure.to_string());
                        return Err(failure);
                    }
                    if failure.kind() == ErrorKind::NoBackend {
                        // Nothing was sent, so this is a wait for capacity and not a retry. Servers
                        // that were tried may have recovered meanwhile.
                        self.attempts -= 1;
                        self.tried.clear();
                        self.context
                            .wait_for_capacity(self.start_by, failure)
                            .await?;
                        continue;
                    }
                    self.wait_for_retry(failure).await?;
                }
            }
        }
        Ok(())
    }

    async fn start_attempt(&mut self) -> Result<RunningAttempt, Failure> {
        let context = Arc::clone(&self.context);
        context.quarantine.enter(&self.suspects).await?;
        let (number, selected) = self.select_server().await?;
        let mut dispatch = selected.dispatch;
        let backend = context.backends.get(selected.choice.server);
        let Some((backend, BackendKind::Engine { client, .. })) =
            backend.map(|backend| (backend, &backend.kind))
        else {
            let detail = "the selected backend server is not a model engine";
            return Err(Failure::new(ErrorKind::Internal, Stage::Queued, detail));
        };
        let span = context
            .tracing
            .start_client_span("backend server", &self.request_context.span);
        span.set_attribute("server", backend.name.clone());
        if let Some(import_wait) = selected.import_wait {
            // The wait also ends when the request that imports the blocks is dropped.
            let remaining = context.remaining(self.request_context.deadline);
            let _ = tokio::time::timeout(remaining, import_wait).await;
        }
        let priority = selected.choice.priority;
        let request = self.engine_request(number, &selected.imports, priority, &span);
        context.check_before_send(backend)?;
        let remaining = context.remaining(self.request_context.deadline);
        match tokio::time::timeout(remaining, client.stream(&request)).await {
            Ok(Ok(stream)) => Ok(RunningAttempt {
                stream,
                dispatch,
                server: backend.id,
                plan: selected.choice.plan,
                has_first_token: false,
                span,
            }),
            Ok(Err(error)) => {
                self.tried.push(backend.id);
                self.on_engine_error(backend.id, &error);
                dispatch.set_outcome(send_outcome(&error));
                Err(error.into())
            }
            Err(_) => Err(Failure::new(
                ErrorKind::DeadlineExceeded,
                Stage::Written,
                "the deadline passed before the backend server answered",
            )),
        }
    }

    /// Selects a server and records the decision for `explain`.
    async fn select_server(&self) -> Result<(AttemptId, RouteSelection), Failure> {
        let query = RouteQuery {
            request: RouteRequest {
                model: self.request.model,
                adapter: self.request.adapter,
                weight_version: self.request.weight_version,
                prompt_tokens: self.request.prompt_tokens,
                tried: self.tried.clone(),
            },
            keys: self.request.keys.clone(),
        };
        let selected = self.context.routing.select(query).await;
        let number = self.context.next_attempt();
        let (decision, imported_blocks) = match &selected {
            Ok(selected) => (Some(selected.explanation.clone()), selected.imports.len()),
            Err(refused) => (refused.explanation.clone(), 0),
        };
        let chosen = selected
            .as_ref()
            .ok()
            .map(|selected| selected.choice.server);
        let server = chosen.and_then(|id| self.context.backends.get(id));
        self.context.explain.add_attempt(
            self.request_context.id,
            AttemptRecord {
                number: number.0,
                decision,
                imported_blocks,
                server: server.map(|server| server.name.clone()),
                outcome: None,
            },
        );
        match selected {
            Ok(selected) => Ok((number, selected)),
            Err(refused) => Err(refused.failure),
        }
    }

    fn engine_request(
        &self,
        number: AttemptId,
        imports: &[ImportBlock],
        priority: PrefillPriority,
        span: &TraceSpan,
    ) -> EngineRequest {
        let traceparent = self.context.tracing.traceparent(span);
        EngineRequest {
            request_id: self.request_context.id,
            attempt_id: number,
            is_chat: self.request.is_chat,
            body: self.request.body.clone(),
            blocks: self.request.keys.iter().map(BlockKey::to_hex).collect(),
            block_tokens: self.request.block_tokens.into(),
            import: imports
                .iter()
                .filter_map(|import| self.kv_import(import))
                .collect(),
            resume_from: self.next_token_index,
            priority: match priority {
                PrefillPriority::Normal => 0,
                PrefillPriority::Low => LOW_ENGINE_PRIORITY,
            },
            weight_version: self.request.weight_version.0,
            options: CallOptions {
                traceparent: HeaderValue::from_str(&traceparent).ok(),
                time_limit: Some(self.context.remaining(self.request_context.deadline)),
                // The cause of a silent connection may affect all idle connections.
                fresh_connection: self.attempts > 1,
                ..CallOptions::default()
            },
        }
    }

    fn kv_import(&self, import: &ImportBlock) -> Option<KvImport> {
        let source = match import.hint.location {
            Location::Server(server) => {
                KvSource::Engine(self.context.backends.get(server)?.address)
            }
            Location::Store(store, _) => {
                let (_, settings) = self.context.settings.stores.get_index(store.0.into())?;
                KvSource::Store(settings.address)
            }
        };
        Some(KvImport {
            key: import.key.to_hex(),
            source,
            generation: import.hint.generation.0,
        })
    }
}

/// Records how the request ended for `explain`.
fn record_result(context: &Context, request: &RequestContext, result: &str) {
    context
        .explain
        .update(request.id, |record| record.result = Some(result.to_owned()));
}
