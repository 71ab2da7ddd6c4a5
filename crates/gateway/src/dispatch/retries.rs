//! Retries a request until an attempt succeeds or the retry policy gives up.

use super::attempt::{Attempt, Exchange};
use super::attempt_state::AttemptState;
use super::overlap::{Overlap, overlap};
use super::progress::Progress;
use super::routed_request::RoutedRequest;
use crate::gateway::Gateway;
use crate::retry::{AttemptError, RetryDecision, RetryPolicy};
use anvilgw_core::Failure;
use futures_util::FutureExt;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Pause after another server has not accepted a request that a silent one has.
pub(super) const NOT_ACCEPTED_PAUSE: Duration = Duration::from_millis(250);

/// Makes attempts and reads each answer with `read`. An error of `read` counts as a failed attempt.
pub(crate) async fn with_retries<T>(
    gateway: &Rc<Gateway>,
    routed: &RoutedRequest,
    progress: &RefCell<Progress>,
    read: impl AsyncFn(Exchange) -> Result<T, AttemptError>,
) -> Result<T, Failure> {
    let policy = RetryPolicy::new(routed.route.kind, routed.route.attempts_max);
    let attempts = Attempts {
        gateway,
        routed,
        progress,
        policy,
        read,
    };
    loop {
        let error = match attempts.next().await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        match policy.decide(gateway, routed, &mut progress.borrow_mut(), &error) {
            RetryDecision::Retry => {}
            RetryDecision::Fail(_, failure) => return Err(failure),
        }
    }
}

/// Takes a retry for an attempt beside one that is open. Returns `false` if none is allowed.
pub(super) fn take_overlapping_retry(
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &RefCell<Progress>,
    policy: RetryPolicy,
) -> bool {
    // The open attempt may have executed the request, which restricts retries the most.
    let error = AttemptError::OutcomeUnknown(String::new());
    let refusal = policy.refusal(gateway, routed, &progress.borrow(), &error);
    refusal.is_none()
}

/// Records an attempt beside an open one. `error` is `None` if its server did not accept the request
/// in time.
pub(super) fn on_not_accepted(
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &RefCell<Progress>,
    other: &AttemptState,
    error: Option<AttemptError>,
) {
    let progress = &mut progress.borrow_mut();
    match error {
        Some(error) => progress.count_unsent(&error),
        None => {
            let reason = "the request was not accepted in time".to_owned();
            progress.on_attempt_failed(other, reason);
        }
    }
    return_unsent_retry(gateway, routed, other);
}

/// Returns the retry of an attempt beside an open one to the budget, unless it was sent.
pub(super) fn return_unsent_retry(gateway: &Gateway, routed: &RoutedRequest, other: &AttemptState) {
    if !other.is_sent() {
        gateway.return_retry(&routed.service.name);
    }
}

struct Attempts<'a, R> {
    gateway: &'a Rc<Gateway>,
    routed: &'a RoutedRequest,
    progress: &'a RefCell<Progress>,
    policy: RetryPolicy,
    read: R,
}

impl<R> Attempts<'_, R> {
    /// Makes an attempt. If it may be repeated and takes long, other servers are tried while it
    /// stays open.
    async fn next<T>(&self) -> Result<T, AttemptError>
    where
        R: AsyncFn(Exchange) -> Result<T, AttemptError>,
    {
        let state = Rc::new(AttemptState::default());
        let mut open = self.attempt(Rc::clone(&state)).boxed_local().fuse();
        tokio::select! {
            biased;
            result = &mut open => return result,
            () = self.overlap_after(&state) => {}
        }
        loop {
            let is_alone = state.is_body_begun() || !self.take_overlapping_retry();
            if is_alone {
                return open.await;
            }
            let other_state = Rc::new(AttemptState::default());
            let other = self.attempt(Rc::clone(&other_state));
            match overlap(&mut open, &state, other, &other_state).await {
                Overlap::OpenCompleted(answer) => {
                    return_unsent_retry(self.gateway, self.routed, &other_state);
                    return Ok(answer);
                }
                Overlap::Replaced { open, other } => {
                    self.on_replaced(open.as_ref(), &state, &other_state);
                    return Ok(other);
                }
                Overlap::Failed { other, .. } => return Err(other),
                Overlap::NotAccepted(error) => {
                    self.on_not_accepted(&state, &other_state, error);
                }
            }
            if let Ok(result) = timeout(NOT_ACCEPTED_PAUSE, &mut open).await {
                return result;
            }
        }
    }

    /// Waits until another server should be tried beside the attempt.
    async fn overlap_after(&self, state: &AttemptState) {
        state.sending().await;
        let remaining = self.routed.remaining(self.gateway.now());
        let latency_target = self.routed.route.latency_target;
        let attempts = self.progress.borrow().attempts_towards_max();
        let limit = self
            .policy
            .overlap_after(attempts, remaining, latency_target);
        sleep(limit).await;
    }

    fn take_overlapping_retry(&self) -> bool {
        take_overlapping_retry(self.gateway, self.routed, self.progress, self.policy)
    }

    /// Records that the other attempt has answered. The error of an open attempt that failed is
    /// already recorded.
    fn on_replaced(
        &self,
        open_error: Option<&AttemptError>,
        open: &AttemptState,
        other: &AttemptState,
    ) {
        let progress = &mut self.progress.borrow_mut();
        if open_error.is_none() {
            progress.on_attempt_failed(open, "no answer in time".to_owned());
        }
        progress.on_answering(&other.record.borrow());
    }

    fn on_not_accepted(
        &self,
        open: &AttemptState,
        other: &AttemptState,
        error: Option<AttemptError>,
    ) {
        on_not_accepted(self.gateway, self.routed, self.progress, other, error);
        self.progress
            .borrow_mut()
            .on_answering(&open.record.borrow());
    }

    /// Makes one attempt, reads its answer and logs a failure.
    async fn attempt<T>(&self, state: Rc<AttemptState>) -> Result<T, AttemptError>
    where
        R: AsyncFn(Exchange) -> Result<T, AttemptError>,
    {
        let result = self.send_and_read(Rc::clone(&state)).await;
        let progress = &mut self.progress.borrow_mut();
        match &result {
            Ok(_) => progress.on_answering(&state.record.borrow()),
            Err(error) if error.is_before_attempt() => {}
            Err(error) => progress.on_attempt_failed(&state, error.describe()),
        }
        result
    }

    async fn send_and_read<T>(&self, state: Rc<AttemptState>) -> Result<T, AttemptError>
    where
        R: AsyncFn(Exchange) -> Result<T, AttemptError>,
    {
        let attempt =
            Attempt::select(self.gateway, self.routed, self.progress, state, None).await?;
        let exchange = attempt.run().await?;
        (self.read)(exchange).await
    }
}
