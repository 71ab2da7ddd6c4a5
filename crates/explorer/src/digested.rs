//! Values of the decision code's types inside a model state, compared by digest.

use std::fmt::{self, Debug, Write};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// A value that model states share and that is compared by a digest of its `Debug` output.
///
/// The `Debug` output of the decision code's types contains all of their fields, so values with
/// equal digests behave alike. Types that contain hash maps with a random iteration order must not
/// be used here, because equal values of them can print differently.
#[derive(Clone)]
pub(crate) struct Digested<T> {
    value: Arc<T>,
    digest: [u8; 16],
}

struct DigestWriter(blake3::Hasher);

impl Write for DigestWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.update(text.as_bytes());
        Ok(())
    }
}

impl<T: Debug> Digested<T> {
    pub(crate) fn new(value: T) -> Self {
        let mut writer = DigestWriter(blake3::Hasher::new());
        write!(writer, "{value:?}").expect("writing to the hasher does not fail");
        let mut digest = [0; 16];
        digest.copy_from_slice(&writer.0.finalize().as_bytes()[..16]);
        Self {
            value: Arc::new(value),
            digest,
        }
    }

    pub(crate) fn get(&self) -> &T {
        &self.value
    }

    pub(crate) fn digest(&self) -> [u8; 16] {
        self.digest
    }

    /// Updates a copy of the value, replaces the value by it and recomputes the digest. Other
    /// states that share the value are not affected.
    pub(crate) fn update<R>(&mut self, update: impl FnOnce(&mut T) -> R) -> R
    where
        T: Clone,
    {
        let mut value = T::clone(&self.value);
        let result = update(&mut value);
        *self = Self::new(value);
        result
    }
}

impl<T: Debug> Debug for Digested<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.value.fmt(f)
    }
}

impl<T> PartialEq for Digested<T> {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl<T> Eq for Digested<T> {}

impl<T> Hash for Digested<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}
