//! Repeats attempts until one yields an answer or the retry policy ends the request.

use super::attempt::{AttemptOptions, Exchange, attempt};
use super::call::Call;
use super::progress::Progress;
use crate::gateway::Gateway;
use crate::retry::{AttemptError, RetryDecision, RetryPolicy};
use anvilgw_core::Failure;
use std::rc::Rc;
use std::time::Duration;

/// Makes attempts and reads each answer with `read`, which is given the time that the attempt has. A
/// cause that `read` returns is treated like a failed attempt.
pub(crate) async fn with_retries<T>(
    gateway: &Rc<Gateway>,
    call: &Call,
    progress: &mut Progress,
    mut read: impl AsyncFnMut(&Progress, Exchange, Duration) -> Result<T, AttemptError>,
) -> Result<T, Failure> {
    let policy = RetryPolicy::new(call.route.kind, call.route.attempts_max);
    loop {
        let remaining = call.remaining(gateway.now());
        let limit = policy.attempt_limit(progress.sent, remaining, call.route.latency_target);
        let options = AttemptOptions {
            resume_after: None,
            head_limit: limit,
        };
        let result = match attempt(gateway, call, progress, options).await {
            Ok(exchange) => read(progress, exchange, limit).await,
            Err(cause) => Err(cause),
        };
        let cause = match result {
            Ok(answer) => return Ok(answer),
            Err(cause) => cause,
        };
        if !matches!(cause, AttemptError::NoServer(_)) {
            progress.on_failed_attempt(cause.describe());
        }
        match policy.decide(gateway, call, progress, &cause) {
            RetryDecision::Retry => {}
            RetryDecision::Fail(failure) => return Err(failure),
        }
    }
}
