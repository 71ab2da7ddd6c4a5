//! Decision code as a part of a state.

use std::fmt::{self, Debug, Write};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// A value that is shared between states and compared by a digest of its `Debug` output.
///
/// The output of the decision code's types contains all of their fields, so values with equal digests
/// behave alike. Types with hash maps of random order don't qualify.
#[derive(Clone)]
pub(crate) struct Keyed<T> {
    value: Arc<T>,
    key: [u8; 16],
}

struct DigestWriter(blake3::Hasher);

impl Write for DigestWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.update(text.as_bytes());
        Ok(())
    }
}

impl<T: Debug> Keyed<T> {
    pub(crate) fn new(value: T) -> Self {
        let mut writer = DigestWriter(blake3::Hasher::new());
        write!(writer, "{value:?}").expect("the digest takes any text");
        let mut key = [0; 16];
        key.copy_from_slice(&writer.0.finalize().as_bytes()[..16]);
        Self {
            value: Arc::new(value),
            key,
        }
    }

    pub(crate) fn get(&self) -> &T {
        &self.value
    }

    pub(crate) fn key(&self) -> [u8; 16] {
        self.key
    }

    /// Changes the value and computes its digest anew.
    pub(crate) fn change<R>(&mut self, change: impl FnOnce(&mut T) -> R) -> R
    where
        T: Clone,
    {
        let mut value = T::clone(&self.value);
        let result = change(&mut value);
        *self = Self::new(value);
        result
    }
}

impl<T: Debug> Debug for Keyed<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.value.fmt(f)
    }
}

impl<T> PartialEq for Keyed<T> {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl<T> Eq for Keyed<T> {}

impl<T> Hash for Keyed<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}
