//! Retries a request until an attempt succeeds or the retry policy gives up.

use super::attempt::{AttemptOptions, Exchange, attempt};
use super::progress::Progress;
use super::routed_request::RoutedRequest;
use crate::gateway::Gateway;
use crate::retry::{AttemptError, RetryDecision, RetryPolicy};
use anvilgw_core::Failure;
use std::rc::Rc;
use std::time::Duration;

/// Makes attempts and reads each answer with `read`, which gets the time limit of the attempt. An
/// error of `read` counts as a failed attempt.
pub(crate) async fn with_retries<T>(
    gateway: &Rc<Gateway>,
    routed: &RoutedRequest,
    progress: &mut Progress,
    mut read: impl AsyncFnMut(&mut Progress, Exchange, Duration) -> Result<T, AttemptError>,
) -> Result<T, Failure> {
    let policy = RetryPolicy::new(routed.route.kind, routed.route.attempts_max);
    loop {
        let remaining = routed.remaining(gateway.now());
        let limit =
            policy.attempt_limit(progress.sent_count, remaining, routed.route.latency_target);
        let options = AttemptOptions {
            resume_after: None,
            head_timeout: limit,
        };
        let result = match attempt(gateway, routed, progress, options).await {
            Ok(exchange) => read(progress, exchange, limit).await,
            Err(error) => Err(error),
        };
        let error = match result {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        if !error.is_before_attempt() {
            progress.on_attempt_failed(error.describe());
        }
        match policy.decide(gateway, routed, progress, &error) {
            RetryDecision::Retry => {}
            RetryDecision::Fail(_, failure) => return Err(failure),
        }
    }
}
