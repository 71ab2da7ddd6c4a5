//! Selection of the engine for an attempt, and the request to it.

use super::attempt::{EngineAnswer, RunningAttempt};
use super::{Completion, LOW_ENGINE_PRIORITY};
use crate::backends::BackendKind;
use crate::duties::routing::{ImportBlock, RouteQuery, RouteSelection};
use crate::explain::AttemptRecord;
use crate::observe::TraceSpan;
use anvilgw_core::{AttemptId, ErrorKind, Failure, Stage};
use anvilgw_platform::{CallOptions, EngineRequest, KvImport, KvSource, SilenceSignal};
use anvilgw_router::{BlockKey, Location, PrefillPriority, RouteRequest};
use http::HeaderValue;
use std::sync::Arc;

/// Whether an attempt may use an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NewConnection {
    /// It may.
    Optional,
    /// It opens a new connection. The cause of a silent connection may affect all idle connections.
    Required,
}

impl Completion {
    /// Selects an engine and prepares the request. It is sent with the first wait for the answer.
    ///
    /// # Errors
    ///
    /// A failure if no engine can take the request; nothing was sent then.
    pub(super) async fn start_attempt(
        &mut self,
        connection: NewConnection,
    ) -> Result<RunningAttempt, Failure> {
        let context = Arc::clone(&self.context);
        context.quarantine.enter(&self.suspects).await?;
        let (number, selected) = self.select_server().await?;
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
        let mut request = self.engine_request(number, &selected.imports, priority, &span);
        request.options.fresh_connection = connection == NewConnection::Required;
        context.check_before_send(backend)?;
        Ok(RunningAttempt {
            number,
            server: backend.id,
            plan: selected.choice.plan,
            dispatch: selected.dispatch,
            silence: request.options.silence_signal.clone().unwrap_or_default(),
            answer: EngineAnswer::new(client, request),
            has_first_token: false,
            span,
        })
    }

    /// Selects a server and records the decision for `explain`.
    async fn select_server(&mut self) -> Result<(AttemptId, RouteSelection), Failure> {
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
                silence_signal: Some(SilenceSignal::default()),
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
