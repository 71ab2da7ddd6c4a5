//! Replacement of an attempt whose engine has fallen silent.
//!
//! A sound engine may fall silent for a while and go on, so the answer stays open until another
//! engine has accepted the request. If none does, the silent engine's answer is awaited until the
//! deadline.

use super::Completion;
use super::attempt::{EngineAnswer, RunningAttempt};
use super::start::NewConnection;
use crate::dispatch::engine_errors::send_outcome;
use crate::dispatch::{ACCEPT_TIMEOUT, REPLACEMENT_INTERVAL};
use anvilgw_core::{ErrorKind, ServerId};
use anvilgw_platform::{EngineError, EngineEvent, SilenceSignal};
use anvilgw_router::SendOutcome;

/// What ended the wait for an event.
pub(super) enum Waited {
    /// The next event of an attempt, or its error. `None` if the answer ended without a finish.
    Event(Result<Option<EngineEvent>, EngineError>),
    /// The deadline of the request has passed.
    DeadlinePassed,
}

impl Completion {
    /// Waits for the next event of the running attempt, which is the present one again afterwards.
    /// If the engine falls silent and another one accepts the request meanwhile, the attempt there
    /// takes its place.
    pub(super) async fn wait_for_event(&mut self, mut running: RunningAttempt) -> Waited {
        loop {
            let remaining = self.context.remaining(self.request_context.deadline);
            let RunningAttempt {
                server,
                answer,
                dispatch,
                silence,
                ..
            } = &mut running;
            let replacement = async {
                silence.silent().await;
                dispatch.report_silence();
                self.find_replacement(*server, silence).await
            };
            let waited = tokio::select! {
                biased;
                event = answer.next() => Waited::Event(event),
                () = tokio::time::sleep(remaining) => Waited::DeadlinePassed,
                replacement = replacement => {
                    let silent = std::mem::replace(&mut running, replacement);
                    // The silence was reported to the router when it began.
                    self.close_attempt(silent, SendOutcome::Cancelled, "silent, replaced");
                    continue;
                }
            };
            self.attempt = Some(running);
            return waited;
        }
    }

    /// Sends the request to other engines until one of them has accepted it. Each one has
    /// [`ACCEPT_TIMEOUT`] for that while `silent` may still work on the request.
    async fn find_replacement(
        &mut self,
        silent: ServerId,
        silence: &SilenceSignal,
    ) -> RunningAttempt {
        loop {
            silence.silent().await;
            if !self.tried.contains(&silent) {
                self.tried.push(silent);
            }
            if let Some(replacement) = self.try_replacement().await {
                return replacement;
            }
            tokio::time::sleep(REPLACEMENT_INTERVAL).await;
        }
    }

    /// Sends the request to another engine and returns the attempt if the engine has accepted it.
    async fn try_replacement(&mut self) -> Option<RunningAttempt> {
        let mut attempt = match self.start_attempt(NewConnection::Required).await {
            Ok(attempt) => attempt,
            Err(failure) => {
                self.record_unsent_attempt(&failure);
                if failure.kind() == ErrorKind::NoBackend {
                    // The engines that were tried may have recovered, and a new connection to the
                    // silent one may work.
                    self.tried.clear();
                }
                return None;
            }
        };
        if !self.context.may_replace(self.request_context.deadline) {
            self.close_attempt(attempt, SendOutcome::Cancelled, "no retry left");
            return None;
        }
        let accepted = EngineAnswer::wait_accepted(&mut attempt.answer, ACCEPT_TIMEOUT).await;
        if accepted == Ok(true) {
            return Some(attempt);
        }
        self.tried.push(attempt.server);
        match accepted {
            Err(error) => {
                self.on_engine_error(attempt.server, &error);
                self.close_attempt(attempt, send_outcome(&error), &error.to_string());
            }
            Ok(_) => self.close_attempt(attempt, SendOutcome::Failed, "not accepted in time"),
        }
        None
    }
}
