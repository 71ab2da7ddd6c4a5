//! Bounded rings between duties.

use crossbeam_channel::{Receiver as ChannelReceiver, Sender as ChannelSender, TrySendError};
pub use crossbeam_channel::{RecvTimeoutError, TryRecvError};
use quick_error::quick_error;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

quick_error! {
    /// The receiver of a ring does not keep up, or is gone.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum SendError {
        /// All slots are taken.
        Full { display("ring is full") }
        /// The receiving duty has ended.
        Closed { display("receiver of the ring is gone") }
    }
}

/// Sending side of a ring.
pub struct Sender<T> {
    inner: ChannelSender<T>,
    shared: Arc<Shared<T>>,
}

/// State of both sides.
struct Shared<T> {
    refused: AtomicU64,
    is_closed: AtomicBool,
    /// The channel keeps unread messages until its last sender is gone. Questions among them would wait
    /// for an answer until then, so whoever notices that the receiver has gone empties the channel.
    unread: ChannelReceiver<T>,
}

impl<T> Shared<T> {
    /// Drops all messages that nobody will read if the receiver has gone, and returns whether it has.
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
    /// Puts a message into the ring without waiting.
    ///
    /// # Errors
    ///
    /// [`SendError`] if the message was not taken; the refusal is counted.
    pub fn send(&self, message: T) -> Result<(), SendError> {
        self.try_send(message).map_err(|(_, is_closed)| {
            if is_closed {
                SendError::Closed
            } else {
                SendError::Full
            }
        })
    }

    /// Puts a message into the ring without waiting and returns it if it was not taken, together with
    /// whether the receiving duty has ended. For messages that the sender tries again.
    ///
    /// # Errors
    ///
    /// The message that was not taken; the refusal is counted.
    pub fn try_send(&self, message: T) -> Result<(), (T, bool)> {
        if self.shared.is_closed.load(Ordering::SeqCst) {
            return Err(self.refuse(message, true));
        }
        match self.inner.try_send(message) {
            Ok(()) => {
                // The receiver may have gone, and emptied the ring, just before.
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

    /// Number of messages refused so far.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }
}

/// Receiving side of a ring. Messages that are unread when it is dropped are dropped with it.
pub struct Receiver<T> {
    shared: Arc<Shared<T>>,
}

impl<T> Receiver<T> {
    /// Takes the next message, waiting for it up to a limit.
    ///
    /// # Errors
    ///
    /// No message came in time, or all senders are gone.
    pub fn recv_timeout(&self, limit: Duration) -> Result<T, RecvTimeoutError> {
        self.shared.unread.recv_timeout(limit)
    }

    /// Takes the next message if there is one.
    ///
    /// # Errors
    ///
    /// The ring is empty.
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

/// Creates a ring with a fixed number of slots.
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
