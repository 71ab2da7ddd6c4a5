//! A body that is received into one buffer, whose size is reserved as it grows.

use crate::body_memory::BodyReservation;
use bytes::Bytes;
use quick_error::quick_error;

/// Smallest size of a buffer whose body has no known length.
const BUFFER_MIN_BYTES: usize = 16 * 1024;

quick_error! {
    /// Why a body cannot be received further.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum BufferError {
        /// The body is longer than allowed.
        TooLong {
            display("the body is too long")
        }
        /// The memory for bodies is used up.
        NoMemory {
            display("not enough memory for the body")
        }
    }
}

/// The received part of a body. Small chunks take up no more than their contents.
pub(crate) struct BodyBuffer {
    bytes: Vec<u8>,
    reservation: BodyReservation,
    length_bytes: Option<usize>,
    max_bytes: usize,
}

impl BodyBuffer {
    /// Creates the buffer of a body of at most `max_bytes`. `length_bytes` is the body's length if
    /// the sender has stated it.
    pub(crate) fn new(
        reservation: BodyReservation,
        length_bytes: Option<u64>,
        max_bytes: usize,
    ) -> Self {
        Self {
            bytes: Vec::new(),
            reservation,
            length_bytes: length_bytes.and_then(|length| usize::try_from(length).ok()),
            max_bytes,
        }
    }

    /// Appends received bytes. May wait until connections without progress were closed.
    pub(crate) async fn push(&mut self, data: &[u8]) -> Result<(), BufferError> {
        let needed = self.bytes.len().saturating_add(data.len());
        if needed > self.max_bytes {
            return Err(BufferError::TooLong);
        }
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let doubled = capacity.saturating_mul(2).max(BUFFER_MIN_BYTES);
            let limit = self.length_bytes.unwrap_or(self.max_bytes);
            let grown = doubled.min(limit.min(self.max_bytes)).max(needed);
            if !self.reservation.grow((grown - capacity) as u64).await {
                return Err(BufferError::NoMemory);
            }
            self.bytes.reserve_exact(grown - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the body and its reservation.
    pub(crate) fn into_parts(self) -> (Bytes, BodyReservation) {
        (Bytes::from(self.bytes), self.reservation)
    }
}
