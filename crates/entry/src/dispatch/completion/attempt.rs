//! One attempt of a completion at an engine.

use crate::duties::routing::DispatchGuard;
use crate::observe::TraceSpan;
use anvilgw_core::{AttemptId, ServerId};
use anvilgw_platform::{
    EngineClient, EngineError, EngineEvent, EngineRequest, EngineStream, SilenceSignal,
};
use anvilgw_router::ServePlan;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use std::time::Duration;

/// An attempt at an engine. Dropping it cancels the request there.
pub(super) struct RunningAttempt {
    pub(super) number: AttemptId,
    pub(super) server: ServerId,
    pub(super) plan: ServePlan,
    pub(super) dispatch: DispatchGuard,
    pub(super) answer: EngineAnswer,
    /// Tells that the connection to the engine is silent.
    pub(super) silence: SilenceSignal,
    pub(super) has_first_token: bool,
    pub(super) span: TraceSpan,
}

/// Answer of an engine, from the request on.
pub(super) struct EngineAnswer {
    source: AnswerSource,
    /// First event, if it was received while waiting for the engine to accept the request.
    first_event: Option<EngineEvent>,
}

enum AnswerSource {
    /// The request is written and the head of the answer awaited.
    Opening(BoxFuture<'static, Result<EngineStream, EngineError>>),
    Open(EngineStream),
}

impl EngineAnswer {
    /// Prepares a request. It is sent with the first wait for the answer.
    pub(super) fn new(client: &EngineClient, request: EngineRequest) -> Self {
        let client = client.clone();
        let opening = async move { client.stream(&request).await };
        Self {
            source: AnswerSource::Opening(opening.boxed()),
            first_event: None,
        }
    }

    /// Waits for the next event. Dropping the future loses no event.
    ///
    /// # Errors
    ///
    /// Returns the error of the attempt, which has then ended.
    pub(super) async fn next(&mut self) -> Result<Option<EngineEvent>, EngineError> {
        if let Some(event) = self.first_event.take() {
            return Ok(Some(event));
        }
        if let AnswerSource::Opening(opening) = &mut self.source {
            self.source = AnswerSource::Open(opening.await?);
        }
        match &mut self.source {
            AnswerSource::Open(stream) => stream.next().await,
            AnswerSource::Opening(_) => Ok(None),
        }
    }

    /// Waits until the engine has accepted the request: it has sent the first event, or the head of
    /// the answer and no error until the end of `limit`. Returns whether it has.
    ///
    /// # Errors
    ///
    /// Returns the error of the attempt, which has then ended.
    pub(super) async fn wait_accepted(&mut self, limit: Duration) -> Result<bool, EngineError> {
        match tokio::time::timeout(limit, self.next()).await {
            Ok(event) => {
                self.first_event = event?;
                Ok(self.first_event.is_some())
            }
            Err(_) => Ok(matches!(self.source, AnswerSource::Open(_))),
        }
    }
}
