//! Memory for bodies of requests and answers.

use std::cell::Cell;
use std::rc::Rc;

/// Part of the process's memory that bodies may take up.
const MEMORY_PART: u64 = 3;
/// Bytes that are set aside for a body of unknown length.
const UNKNOWN_LENGTH_BYTES: u64 = 256 * 1024;

/// Bounds the memory of all bodies that are held at once. The platform ends a process that takes more
/// memory than it may.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    limit_bytes: u64,
    used_bytes: Rc<Cell<u64>>,
}

impl BodyMemory {
    /// Creates the bound for a process that may use `memory_max_bytes`.
    #[must_use]
    pub fn new(memory_max_bytes: u64) -> Self {
        Self {
            limit_bytes: memory_max_bytes / MEMORY_PART,
            used_bytes: Rc::default(),
        }
    }

    /// Sets memory aside for a body, if there is enough. It is given back when the result is dropped.
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

/// Memory that is set aside for one body.
#[derive(Debug)]
pub struct BodyReservation {
    bytes: u64,
    limit_bytes: u64,
    used_bytes: Rc<Cell<u64>>,
}

impl BodyReservation {
    /// Sets more memory aside. Returns whether there was enough.
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
