//! Bounded rings between duties.

use crossbeam_channel::TrySendError;
pub use crossbeam_channel::{Receiver, RecvTimeoutError};
use quick_error::quick_error;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

quick_error! {
    /// The receiver of a ring does not keep up, or is gone.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum RingFull {
        /// All slots are taken.
        Full { display("ring is full") }
        /// The receiving duty has ended.
        Closed { display("receiver of the ring is gone") }
    }
}

/// Sending side of a ring.
pub struct Sender<T> {
    inner: crossbeam_channel::Sender<T>,
    refused: Arc<AtomicU64>,
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self {
            inner: self.inner.clone(),
            refused: Arc::clone(&self.refused),
        }
    }
}

impl<T> Sender<T> {
    /// Puts a message into the ring without waiting.
    ///
    /// # Errors
    ///
    /// [`RingFull`] if the message was not taken; the refusal is counted.
    pub fn send(&self, message: T) -> Result<(), RingFull> {
        self.inner.try_send(message).map_err(|error| {
            self.refused.fetch_add(1, Ordering::Relaxed);
            match error {
                TrySendError::Full(_) => RingFull::Full,
                TrySendError::Disconnected(_) => RingFull::Closed,
            }
        })
    }

    /// Puts a message into the ring without waiting and returns it if it was not taken, together with
    /// whether the receiving duty has ended. For messages that the sender tries again.
    ///
    /// # Errors
    ///
    /// The message that was not taken; the refusal is counted.
    pub fn offer(&self, message: T) -> Result<(), (T, bool)> {
        self.inner.try_send(message).map_err(|error| {
            self.refused.fetch_add(1, Ordering::Relaxed);
            match error {
                TrySendError::Full(message) => (message, false),
                TrySendError::Disconnected(message) => (message, true),
            }
        })
    }

    /// Number of messages refused so far.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }
}

/// Creates a ring with a fixed number of slots.
#[must_use]
pub fn ring<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (inner, receiver) = crossbeam_channel::bounded(capacity);
    let sender = Sender {
        inner,
        refused: Arc::default(),
    };
    (sender, receiver)
}
