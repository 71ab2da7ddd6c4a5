//! Bounded channels between worker threads.

use crossbeam_channel::{Receiver as ChannelReceiver, Sender as ChannelSender, TrySendError};
pub use crossbeam_channel::{RecvTimeoutError, TryRecvError};
use quick_error::quick_error;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

quick_error! {
    /// Why a message was not sent.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum SendError {
        /// The channel is full, because its receiver does not keep up.
        Full { display("channel is full") }
        /// The receiver was dropped.
        Closed { display("receiver of the channel was dropped") }
    }
}

/// Sending side of a bounded channel.
pub struct Sender<T> {
    inner: ChannelSender<T>,
    shared: Arc<Shared<T>>,
}

/// State that both sides of a channel share.
struct Shared<T> {
    refused: AtomicU64,
    is_closed: AtomicBool,
    /// Receiver of the underlying channel. The channel keeps unread messages until its last sender
    /// is dropped, and a message that carries a reply channel would leave its sender waiting until
    /// then. Whichever side finds the receiving side dropped therefore drains the channel.
    unread: ChannelReceiver<T>,
}

impl<T> Shared<T> {
    /// Drops all unread messages if the receiver was dropped. Returns whether it was.
    fn drain_if_closed(&self) -> bool {
        let is_closed = self.is_closed.load(Ordering::SeqCst);
        if is_closed {
            self.unread.try_iter().for_each(drop);
        }
        is_closed
    }
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self {
            inner: self.inner.clone(),
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<T> Sender<T> {
    /// Sends a message without waiting for a free slot.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] if the channel is full or its receiver was dropped. The refusal is
    /// counted.
    pub fn send(&self, message: T) -> Result<(), SendError> {
        self.try_send(message).map_err(|(_, is_closed)| {
            if is_closed {
                SendError::Closed
            } else {
                SendError::Full
            }
        })
    }

    /// Sends a message without waiting for a free slot, and returns the message if it was refused,
    /// so that the sender can try again.
    ///
    /// # Errors
    ///
    /// Returns the refused message, and whether the receiver was dropped. The refusal is counted.
    pub fn try_send(&self, message: T) -> Result<(), (T, bool)> {
        if self.shared.is_closed.load(Ordering::SeqCst) {
            return Err(self.refuse(message, true));
        }
        match self.inner.try_send(message) {
            Ok(()) => {
                // The receiver may have been dropped, and the channel drained, just before.
                self.shared.drain_if_closed();
                Ok(())
            }
            Err(TrySendError::Full(message)) => Err(self.refuse(message, false)),
            Err(TrySendError::Disconnected(message)) => Err(self.refuse(message, true)),
        }
    }

    fn refuse(&self, message: T, is_closed: bool) -> (T, bool) {
        self.shared.refused.fetch_add(1, Ordering::Relaxed);
        (message, is_closed)
    }

    /// Returns the number of messages refused so far, by all senders of the channel.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }
}

/// Receiving side of a bounded channel. Dropping it drops all unread messages.
pub struct Receiver<T> {
    shared: Arc<Shared<T>>,
}

impl<T> Receiver<T> {
    /// Receives the next message, and waits for it up to `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if no message came in time or all senders were dropped.
    pub fn recv_timeout(&self, limit: Duration) -> Result<T, RecvTimeoutError> {
        self.shared.unread.recv_timeout(limit)
    }

    /// Receives the next message without waiting.
    ///
    /// # Errors
    ///
    /// Returns an error if the channel is empty.
    pub fn try_recv(&self) -> Result<T, TryRecvError> {
        self.shared.unread.try_recv()
    }
}

impl<T> Drop for Receiver<T> {
    fn drop(&mut self) {
        self.shared.is_closed.store(true, Ordering::SeqCst);
        self.shared.drain_if_closed();
    }
}

/// Creates a channel that holds up to `capacity` unread messages.
#[must_use]
pub fn bounded_channel<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (inner, unread) = crossbeam_channel::bounded(capacity);
    let shared = Arc::new(Shared {
        refused: AtomicU64::new(0),
        is_closed: AtomicBool::new(false),
        unread,
    });
    let receiver = Receiver {
        shared: Arc::clone(&shared),
    };
    (Sender { inner, shared }, receiver)
}
