//! Completions: admission, attempts and resumption of broken streams.

mod attempt;
mod replacement;
mod start;

use self::attempt::RunningAttempt;
use self::replacement::Waited;
use self::start::NewConnection;
use super::completion_request::CompletionRequest;
use super::engine_errors::{is_broken_answer, send_outcome};
use crate::context::{Context, CountGuard, RequestContext};
use crate::duties::admission::AdmissionGuard;
use crate::duties::block_export::CompletedPrompt;
use crate::explain::RequestRecord;
use anvilgw_admission::AdmissionRequest;
use anvilgw_core::{AttemptId, ErrorKind, Failure, ServerId, Stage};
use anvilgw_platform::{EngineError, EngineEvent};
use anvilgw_quarantine::Suspect;
use anvilgw_router::SendOutcome;
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
        let running = completion.take_running_attempt().await?;
        completion.attempt = Some(running);
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
    /// next token, so that no token is missing or repeated. A silent attempt stays open until
    /// another server has accepted the request.
    ///
    /// # Errors
    ///
    /// The failure to report to the caller.
    pub(crate) async fn next(&mut self) -> Result<EngineEvent, Failure> {
        loop {
            let running = self.take_running_attempt().await?;
            match self.wait_for_event(running).await {
                Waited::DeadlinePassed => return Err(self.deadline_exceeded()),
                Waited::Event(Ok(Some(EngineEvent::Token { index, text }))) => {
                    self.on_token(index);
                    return Ok(EngineEvent::Token { index, text });
                }
                Waited::Event(Ok(Some(finish))) => {
                    self.handle_finish(&finish);
                    return Ok(finish);
                }
                Waited::Event(Ok(None)) => {
                    self.handle_broken_attempt(&EngineError::MissingEndMarker)
                        .await?;
                }
                Waited::Event(Err(error)) => self.handle_broken_attempt(&error).await?,
            }
        }
    }

    fn on_token(&mut self, index: u64) {
        assert!(
            index == self.next_token_index,
            "tokens must reach the caller in order"
        );
        self.next_token_index += 1;
        if let Some(running) = &mut self.attempt
            && !running.has_first_token
        {
            running.has_first_token = true;
            running.dispatch.report_import_ended();
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

    /// Ends the running attempt.
    fn end_attempt(&mut self, outcome: SendOutcome, detail: &str) {
        if let Some(running) = self.attempt.take() {
            self.close_attempt(running, outcome, detail);
        }
    }

    /// Closes an attempt, which cancels its request if it still runs.
    fn close_attempt(&self, mut attempt: RunningAttempt, outcome: SendOutcome, detail: &str) {
        attempt.dispatch.set_outcome(outcome);
        attempt.span.end();
        self.record_outcome(attempt.number, detail);
    }

    fn record_outcome(&self, number: AttemptId, detail: &str) {
        self.context
            .explain
            .update(self.request_context.id, |record| {
                let mut attempts = record.attempts.iter_mut();
                if let Some(attempt) = attempts.find(|attempt| attempt.number == number.0) {
                    attempt.outcome.get_or_insert(detail.to_owned());
                }
            });
    }

    /// Records why the attempt that was selected last was not sent.
    fn record_unsent_attempt(&self, failure: &Failure) {
        self.context
            .explain
            .update(self.request_context.id, |record| {
                if let Some(last) = record.attempts.last_mut() {
                    last.outcome.get_or_insert(failure.to_string());
                }
            });
    }

    /// Takes the running attempt, after starting attempts until one runs or the request fails.
    async fn take_running_attempt(&mut self) -> Result<RunningAttempt, Failure> {
        loop {
            if let Some(running) = self.attempt.take() {
                return Ok(running);
            }
            self.attempts += 1;
            let connection = match self.attempts {
                1 => NewConnection::Optional,
                _ => NewConnection::Required,
            };
            match self.start_attempt(connection).await {
                Ok(running) => self.attempt = Some(running),
                Err(failure) => {
                    self.record_unsent_attempt(&failure);
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
    }
}

/// Records how the request ended for `explain`.
fn record_result(context: &Context, request: &RequestContext, result: &str) {
    context
        .explain
        .update(request.id, |record| record.result = Some(result.to_owned()));
}
