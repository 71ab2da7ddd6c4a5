//! Delivery of messages that must not be lost when the channel of a worker is full.

use anvilgw_kernel::Sender;
use std::time::Duration;

/// Interval at which a message is sent again to a full channel.
const RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Sends a message that must not be lost, such as one that frees resources at the receiving worker.
///
/// If the channel is full, a task on the current runtime repeats the attempt until the channel
/// accepts the message or the worker has ended. Outside of a runtime the calling thread does so and
/// blocks.
pub(crate) fn send_until_accepted<T: Send + 'static>(messages: &Sender<T>, message: T) {
    let Err((message, false)) = messages.try_send(message) else {
        return;
    };
    let messages = messages.clone();
    let Ok(runtime) = tokio::runtime::Handle::try_current() else {
        send_until_accepted_blocking(&messages, message);
        return;
    };
    runtime.spawn(async move {
        let mut pending = message;
        while let Err((message, false)) = messages.try_send(pending) {
            pending = message;
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    });
}

/// Sends the message on the calling thread and repeats the attempt until the channel accepts it or
/// the worker has ended. Used on worker threads, which have no runtime.
fn send_until_accepted_blocking<T>(messages: &Sender<T>, message: T) {
    let mut pending = message;
    while let Err((message, false)) = messages.try_send(pending) {
        pending = message;
        std::thread::sleep(RETRY_INTERVAL);
    }
}
