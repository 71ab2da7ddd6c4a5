//! Messages that must not be lost.

use anvilgw_kernel::Sender;
use std::time::Duration;

/// Pause between two attempts to put a message into a full ring.
const RETRY: Duration = Duration::from_millis(1);

/// Delivers a message that frees something at the receiving duty. If the ring is full, a task tries
/// again until the duty has caught up or ended.
pub(crate) fn deliver<T: Send + 'static>(messages: &Sender<T>, message: T) {
    let Err((message, false)) = messages.try_send(message) else {
        return;
    };
    let messages = messages.clone();
    let Ok(runtime) = tokio::runtime::Handle::try_current() else {
        deliver_blocking(&messages, message);
        return;
    };
    runtime.spawn(async move {
        let mut pending = message;
        while let Err((message, false)) = messages.try_send(pending) {
            pending = message;
            tokio::time::sleep(RETRY).await;
        }
    });
}

/// Variant for duty threads, which have no runtime.
fn deliver_blocking<T>(messages: &Sender<T>, message: T) {
    let mut pending = message;
    while let Err((message, false)) = messages.try_send(pending) {
        pending = message;
        std::thread::sleep(RETRY);
    }
}
