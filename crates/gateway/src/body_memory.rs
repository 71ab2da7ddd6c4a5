//! Memory bound for the bodies of requests and answers.

use std::cell::Cell;
use std::rc::Rc;

/// Bodies may take up the process's memory limit divided by this.
const MEMORY_DIVISOR: u64 = 3;
/// Bytes that are reserved for a body of unknown length.
const UNKNOWN_LENGTH_BYTES: u64 = 256 * 1024;

/// Bounds the memory of all bodies that are held at once. Without it, large bodies could exceed the
/// process's memory limit, for which the platform kills the process.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    limit_bytes: u64,
    used_bytes: Rc<Cell<u64>>,
}

impl BodyMemory {
    /// Creates the bound for a process that may use `memory_max_bytes` in total.
    #[must_use]
    pub fn new(memory_max_bytes: u64) -> Self {
        Self {
            limit_bytes: memory_max_bytes / MEMORY_DIVISOR,
            used_bytes: Rc::default(),
        }
    }

    /// Reserves memory for a body, or returns `None` if the bound would be exceeded. The memory is
    /// released when the reservation is dropped.
    #[must_use]
    pub fn reserve(&self, length_bytes: Option<u64>) -> Option<BodyReservation> {
        let bytes = length_bytes.unwrap_or(UNKNOWN_LENGTH_BYTES);
        let used = self.used_bytes.get().saturating_add(bytes);
        if used > self.limit_bytes {
            return None;
        }
        self.used_bytes.set(used);
        Some(BodyReservation {
            bytes,
            limit_bytes: self.limit_bytes,
            used_bytes: Rc::clone(&self.used_bytes),
        })
    }
}

/// Memory that is reserved for one body until this is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    bytes: u64,
    limit_bytes: u64,
    used_bytes: Rc<Cell<u64>>,
}

impl BodyReservation {
    /// Reserves `bytes` more, and returns whether the bound allowed it. Reserves nothing otherwise.
    pub fn grow(&mut self, bytes: u64) -> bool {
        let used = self.used_bytes.get().saturating_add(bytes);
        if used > self.limit_bytes {
            return false;
        }
        self.used_bytes.set(used);
        self.bytes += bytes;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let rest = self.used_bytes.get().saturating_sub(self.bytes);
        self.used_bytes.set(rest);
    }
}
