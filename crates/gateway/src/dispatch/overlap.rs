//! Tries another server while an attempt is still open.
//!
//! A sound server may be silent for seconds and go on. Its answer is therefore kept until another
//! server has accepted the request, and for as long as none does.

use super::attempt_state::AttemptState;
use crate::retry::AttemptError;
use futures_util::future::{Fuse, LocalBoxFuture};
use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::time::sleep;

/// Time from sending a request to another server until that server has to accept it. Two servers may
/// work on one request for 400 ms at most; the rest is for the network.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(300);

/// An attempt that is open. It is terminated when another one takes its place.
pub(super) type OpenAttempt<'a, A, E> = Fuse<LocalBoxFuture<'a, Result<A, E>>>;

/// How an attempt beside an open one ended.
pub(super) enum Overlap<A, B, E> {
    /// The open attempt went on, and the other one was cancelled.
    OpenCompleted(A),
    /// The other server has accepted the request. `open` is the error of the open attempt if it
    /// failed before; otherwise that attempt was dropped.
    Replaced { open: Option<E>, other: B },
    /// The other attempt failed with this error, or was cancelled because its server had not
    /// accepted the request in time. The open attempt can be waited for.
    NotAccepted(Option<AttemptError>),
    /// Neither attempt is open anymore. `open` is `None` if the other server had accepted the
    /// request before it failed.
    Failed {
        open: Option<E>,
        other: AttemptError,
    },
}

/// Waits for an open attempt and another one at the same time. The open one is dropped as soon as
/// the other server accepts the request. If the open one fails, the other may take as long as it
/// needs.
pub(super) async fn overlap<A, B, E>(
    open: &mut OpenAttempt<'_, A, E>,
    open_state: &AttemptState,
    other: impl Future<Output = Result<B, AttemptError>>,
    other_state: &AttemptState,
) -> Overlap<A, B, E> {
    let mut other = pin!(other);
    let open_error = tokio::select! {
        biased;
        result = &mut *open => match result {
            Ok(answer) => return Overlap::OpenCompleted(answer),
            Err(error) => Some(error),
        },
        result = other.as_mut() => return match result {
            Ok(other) => {
                terminate(open, open_state);
                Overlap::Replaced { open: None, other }
            }
            Err(error) => Overlap::NotAccepted(Some(error)),
        },
        () = other_state.accepted() => {
            terminate(open, open_state);
            None
        }
        () = accept_timeout(other_state) => return Overlap::NotAccepted(None),
    };
    match other.await {
        Ok(other) => Overlap::Replaced {
            open: open_error,
            other,
        },
        Err(other) => Overlap::Failed {
            open: open_error,
            other,
        },
    }
}

fn terminate<A, E>(open: &mut OpenAttempt<'_, A, E>, state: &AttemptState) {
    state.on_replaced_by_other();
    *open = Fuse::terminated();
}

async fn accept_timeout(state: &AttemptState) {
    state.sending().await;
    sleep(ACCEPT_TIMEOUT).await;
}
