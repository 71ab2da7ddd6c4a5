//! Completions: admission, choice of a server, attempts and the resumption of broken streams.

use super::prompt::Prompt;
use crate::backends::BackendKind;
use crate::context::{Call, Context, OpenRequest};
use crate::duties::admission::Permit;
use crate::duties::keeping::CompletedPrompt;
use crate::duties::routing::{Dispatch, ImportBlock, Query, Selected};
use crate::explain::{Attempt, Record};
use crate::observe::Hop;
use anvilgw_admission::Offer;
use anvilgw_core::{AttemptId, ErrorKind, Failure, ServerId, Stage};
use anvilgw_platform::{
    CallOptions, EngineError, EngineEvent, EngineRequest, EngineStream, KvImport, KvSource,
};
use anvilgw_router::{BlockKey, Location, PrefillPriority, RouteRequest, SendOutcome, ServePlan};
use http::HeaderValue;
use std::sync::Arc;
use std::time::Duration;

/// Priority of a long prefill on the engine. Engines start requests with a higher one first; requests
/// without a priority have 0.
const LOW_PRIORITY: i32 = -1;

/// A running completion. Dropping it cancels the request at its engine.
pub(crate) struct Completion {
    context: Arc<Context>,
    call: Call,
    prompt: Prompt,
    permit: Permit,
    attempt: Option<Running>,
    next_index: u64,
    attempts: u32,
    tried: Vec<ServerId>,
    start_by: Duration,
    _open: OpenRequest,
}

struct Running {
    stream: EngineStream,
    dispatch: Dispatch,
    server: ServerId,
    plan: ServePlan,
    has_answered: bool,
    hop: Hop,
}

impl Completion {
    /// Admits the request and starts its first attempt.
    ///
    /// # Errors
    ///
    /// The failure that the caller is told.
    pub(crate) async fn start(
        context: Arc<Context>,
        call: Call,
        prompt: Prompt,
    ) -> Result<Self, Failure> {
        let open = context.open_request();
        let config = context.config_for_new_work(Stage::Received)?;
        let workspace = context.workspace_name(call.workspace).to_owned();
        prompt.check_entitlement(&config, &workspace)?;
        context.explain.start(
            call.id,
            Record {
                workspace,
                target: prompt.model_name.clone(),
                trace_id: call.hop.trace_id(),
                config_version: config.version,
                ..Record::default()
            },
        );
        let queue = Duration::from_millis(context.settings.limits.queue_ms);
        let offer = Offer {
            request: call.id,
            workspace: call.workspace,
            cost_tokens: prompt.cost_tokens(),
            start_by: call.deadline.min(context.clock.uptime() + queue),
        };
        let start_by = offer.start_by;
        let permit = context
            .admission
            .admit(offer)
            .await
            .inspect_err(|failure| {
                note_result(&context, &call, &failure.to_string());
            })?;
        let queued_ms = permit.waited.as_secs_f64() * 1e3;
        context
            .explain
            .update(call.id, |record| record.queued_ms = queued_ms);
        let mut completion = Self {
            context,
            call,
            prompt,
            permit,
            attempt: None,
            next_index: 0,
            attempts: 0,
            tried: Vec::new(),
            start_by,
            _open: open,
        };
        completion.ensure_running().await?;
        Ok(completion)
    }

    /// The request as the caller sent it.
    pub(crate) fn prompt(&self) -> &Prompt {
        &self.prompt
    }

    /// The call.
    pub(crate) fn call(&self) -> &Call {
        &self.call
    }

    /// The next event. Broken attempts are continued on another server from the next token, so no
    /// token is missing or repeated.
    ///
    /// # Errors
    ///
    /// The failure that the caller is told.
    pub(crate) async fn next(&mut self) -> Result<EngineEvent, Failure> {
        loop {
            self.ensure_running().await?;
            let Some(running) = &mut self.attempt else {
                continue;
            };
            let remaining = self.context.remaining(self.call.deadline);
            let event = tokio::time::timeout(remaining, running.stream.next()).await;
            match event {
                Err(_) => return Err(self.deadline_exceeded()),
                Ok(Ok(Some(EngineEvent::Token { index, text }))) => {
                    assert!(index == self.next_index, "tokens reach the caller in order");
                    if !running.has_answered {
                        running.has_answered = true;
                        running.dispatch.import_ended();
                    }
                    self.next_index += 1;
                    return Ok(EngineEvent::Token { index, text });
                }
                Ok(Ok(Some(finish))) => {
                    self.finish(&finish);
                    return Ok(finish);
                }
                Ok(Ok(None)) => self.broken(&EngineError::NoEnd).await?,
                Ok(Err(error)) => self.broken(&error).await?,
            }
        }
    }

    fn finish(&mut self, event: &EngineEvent) {
        if let EngineEvent::Finish { usage, .. } = event {
            if let Some(running) = &mut self.attempt
                && let Some(import) = running.plan.import
            {
                let block_tokens = u64::from(self.prompt.block_tokens);
                let with_import = u64::from(import.first_block + 1) * block_tokens;
                let found = usage.reused_tokens + usage.imported_tokens;
                running.dispatch.set_import_usable(found >= with_import);
            }
            let computed = usage.recomputed_tokens + usage.completion_tokens;
            self.permit.set_actual_tokens(computed);
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
        self.keep_prompt();
        self.end_attempt(SendOutcome::Completed, "complete");
        note_result(&self.context, &self.call, "complete");
    }

    /// Offers the blocks of the prompt, which the engine has sealed now, to the stores.
    fn keep_prompt(&self) {
        let Some(running) = &self.attempt else { return };
        if self.prompt.keys.is_empty() {
            return;
        }
        let kept = self.context.keeping.completed(CompletedPrompt {
            server: running.server,
            workspace: self.call.workspace,
            keys: self.prompt.keys.clone(),
            block_bytes: self.prompt.block_bytes,
        });
        if !kept {
            self.context
                .metrics
                .count("exports.dropped", 1, "ring full");
        }
    }

    /// Ends a broken attempt and decides whether there is another one.
    async fn broken(&mut self, error: &EngineError) -> Result<(), Failure> {
        let outcome = outcome_of(error);
        if let Some(running) = &self.attempt {
            self.tried.push(running.server);
        }
        self.end_attempt(outcome, &error.to_string());
        let failure = Failure::from(error.clone());
        let failure = if self.next_index > 0 {
            failure.with_min_stage(Stage::AnswerStarted)
        } else {
            failure
        };
        self.wait_for_retry(failure).await
    }

    async fn wait_for_retry(&mut self, failure: Failure) -> Result<(), Failure> {
        match self.context.retry(self.attempts, self.call.deadline) {
            Some(wait) => {
                self.context
                    .metrics
                    .count("retries", 1, failure.kind().answer().code);
                tokio::time::sleep(wait).await;
                Ok(())
            }
            None => {
                note_result(&self.context, &self.call, &failure.to_string());
                Err(failure)
            }
        }
    }

    fn deadline_exceeded(&mut self) -> Failure {
        let stage = match self.next_index {
            0 => Stage::Written,
            _ => Stage::AnswerStarted,
        };
        self.end_attempt(SendOutcome::Cancelled, "deadline exceeded");
        note_result(&self.context, &self.call, "deadline exceeded");
        Failure::new(
            ErrorKind::DeadlineExceeded,
            stage,
            "the deadline passed before the answer was complete",
        )
    }

    fn end_attempt(&mut self, outcome: SendOutcome, detail: &str) {
        if let Some(mut running) = self.attempt.take() {
            running.dispatch.set_outcome(outcome);
            running.hop.end();
        }
        let detail = detail.to_owned();
        self.context.explain.update(self.call.id, |record| {
            if let Some(last) = record.attempts.last_mut() {
                last.outcome.get_or_insert(detail);
            }
        });
    }

    async fn ensure_running(&mut self) -> Result<(), Failure> {
        while self.attempt.is_none() {
            self.attempts += 1;
            match self.open_attempt().await {
                Ok(running) => self.attempt = Some(running),
                Err(failure) => {
                    self.end_attempt(SendOutcome::Failed, &failure.to_string());
                    let is_final = matches!(
                        failure.kind(),
                        ErrorKind::StaleView | ErrorKind::NotReady | ErrorKind::DeadlineExceeded
                    );
                    let failure = match self.next_index {
                        0 => failure,
                        _ => failure.with_min_stage(Stage::AnswerStarted),
                    };
                    if is_final {
                        note_result(&self.context, &self.call, &failure.to_string());
                        return Err(failure);
                    }
                    if failure.kind() == ErrorKind::NoBackend {
                        // Nothing was sent, so this is a wait for capacity and no retry. Servers that
                        // were tried may have recovered meanwhile.
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

    async fn open_attempt(&mut self) -> Result<Running, Failure> {
        let context = Arc::clone(&self.context);
        let (number, selected) = self.select().await?;
        let mut dispatch = selected.dispatch;
        let backend = context.backends.get(selected.choice.server);
        let Some((backend, BackendKind::Engine { client, .. })) =
            backend.map(|backend| (backend, &backend.kind))
        else {
            let detail = "the chosen backend server is no model engine";
            return Err(Failure::new(ErrorKind::Internal, Stage::Queued, detail));
        };
        let hop = context.tracing.child("backend server", &self.call.hop);
        hop.set("server", backend.name.clone());
        if let Some(import_wait) = selected.import_wait {
            // The wait ends as well when the importer is gone.
            let remaining = context.remaining(self.call.deadline);
            let _ = tokio::time::timeout(remaining, import_wait).await;
        }
        let priority = selected.choice.priority;
        let request = self.engine_request(number, &selected.imports, priority, &hop);
        context.check_before_send(backend)?;
        let remaining = context.remaining(self.call.deadline);
        match tokio::time::timeout(remaining, client.stream(&request)).await {
            Ok(Ok(stream)) => Ok(Running {
                stream,
                dispatch,
                server: backend.id,
                plan: selected.choice.plan,
                has_answered: false,
                hop,
            }),
            Ok(Err(error)) => {
                self.tried.push(backend.id);
                dispatch.set_outcome(outcome_of(&error));
                Err(error.into())
            }
            Err(_) => Err(Failure::new(
                ErrorKind::DeadlineExceeded,
                Stage::Written,
                "the deadline passed before the backend server answered",
            )),
        }
    }

    /// Chooses a server and notes why.
    async fn select(&self) -> Result<(AttemptId, Selected), Failure> {
        let query = Query {
            request: RouteRequest {
                model: self.prompt.model,
                adapter: self.prompt.adapter,
                weight_version: self.prompt.weight_version,
                prompt_tokens: self.prompt.prompt_tokens,
                tried: self.tried.clone(),
            },
            keys: self.prompt.keys.clone(),
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
        self.context.explain.attempt(
            self.call.id,
            Attempt {
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
        hop: &Hop,
    ) -> EngineRequest {
        let traceparent = self.context.tracing.traceparent(hop);
        EngineRequest {
            request: self.call.id,
            attempt: number,
            is_chat: self.prompt.is_chat,
            body: self.prompt.body.clone(),
            blocks: self.prompt.keys.iter().map(BlockKey::to_hex).collect(),
            block_tokens: self.prompt.block_tokens.into(),
            import: imports
                .iter()
                .filter_map(|import| self.kv_import(import))
                .collect(),
            resume_from: self.next_index,
            priority: match priority {
                PrefillPriority::Normal => 0,
                PrefillPriority::Low => LOW_PRIORITY,
            },
            weight_version: self.prompt.weight_version.0,
            options: CallOptions {
                traceparent: HeaderValue::from_str(&traceparent).ok(),
                time_limit: Some(self.context.remaining(self.call.deadline)),
                // What silenced one connection may have silenced all idle ones.
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

/// What an error says about the server. Another error of the client's request says nothing.
fn outcome_of(error: &EngineError) -> SendOutcome {
    match error {
        EngineError::Refused(503, _) => SendOutcome::Overloaded,
        EngineError::Refused(400..500, _) => SendOutcome::Cancelled,
        _ => SendOutcome::Failed,
    }
}

fn note_result(context: &Context, call: &Call, result: &str) {
    context
        .explain
        .update(call.id, |record| record.result = Some(result.to_owned()));
}
