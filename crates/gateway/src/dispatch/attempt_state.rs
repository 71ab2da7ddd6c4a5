//! State of one attempt, which the attempt shares with its waiter.

use crate::log::{AnswerFields, Choice};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::Notify;

/// What the log tells of an attempt.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptRecord {
    /// Identifier of the backend server; empty until one is selected.
    pub(crate) server: String,
    /// Software version of that server; empty if it publishes none.
    pub(crate) version: String,
    /// What was known of the server when it was selected.
    pub(crate) choice: Option<Choice>,
    /// How the answer ends.
    pub(crate) answer: AnswerFields,
}

/// State of one attempt.
#[derive(Default)]
pub(crate) struct AttemptState {
    pub(crate) record: RefCell<AttemptRecord>,
    begin_by: Cell<Option<Duration>>,
    is_sent: Cell<bool>,
    is_body_begun: Cell<bool>,
    is_replaced: Cell<bool>,
    is_server_unreachable: Cell<bool>,
    sending: Notify,
    accepted: Notify,
}

impl AttemptState {
    /// Sets the time by which the server has to begin with the request, if there is one. Afterwards
    /// the request must no longer wait in the server's queue.
    pub(super) fn set_begin_by(&self, begin_by: Option<Duration>) {
        self.begin_by.set(begin_by);
    }

    pub(super) fn begin_by(&self) -> Option<Duration> {
        self.begin_by.get()
    }

    /// Records that the request is about to be sent.
    pub(super) fn on_sending(&self) {
        self.is_sent.set(true);
        self.sending.notify_one();
    }

    /// Records that nothing of the request was sent.
    pub(super) fn on_not_sent(&self) {
        self.is_sent.set(false);
    }

    /// Returns whether the request was sent at least in part, or is being sent.
    pub(super) fn is_sent(&self) -> bool {
        self.is_sent.get()
    }

    /// Waits until the request is about to be sent.
    pub(super) async fn sending(&self) {
        self.sending.notified().await;
    }

    /// Records that the server has begun an answer that can be delivered.
    pub(super) fn on_accepted(&self) {
        self.accepted.notify_one();
    }

    /// Waits until the server has begun an answer that can be delivered.
    pub(super) async fn accepted(&self) {
        self.accepted.notified().await;
    }

    /// Records that the body of the answer is being read. From now on no other server is asked.
    pub(super) fn on_body_begun(&self) {
        self.is_body_begun.set(true);
    }

    pub(super) fn is_body_begun(&self) -> bool {
        self.is_body_begun.get()
    }

    /// Records that another server has accepted the request instead. The attempt is dropped next.
    pub(super) fn on_replaced_by_other(&self) {
        self.is_replaced.set(true);
    }

    /// Records that the server acknowledges nothing: it has lost power, or is cut off.
    pub(super) fn on_server_unreachable(&self) {
        self.is_server_unreachable.set(true);
    }

    pub(crate) fn is_server_unreachable(&self) -> bool {
        self.is_server_unreachable.get()
    }

    pub(super) fn is_replaced(&self) -> bool {
        self.is_replaced.get()
    }
}
