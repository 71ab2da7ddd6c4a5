//! Parts of states that many states have in common.

use indexmap::IndexSet;
use std::cell::RefCell;
use std::hash::{Hash, Hasher};
use std::ops::Deref;
use std::sync::Arc;

/// A part of a state. After [`Pool::share`] equal parts are the same allocation, so that comparing
/// and hashing a state costs little and states take little memory.
#[derive(Debug)]
pub(crate) struct Shared<T> {
    part: Arc<T>,
    is_pooled: bool,
}

impl<T> Shared<T> {
    /// Wraps a part that is not in a pool yet.
    #[must_use]
    pub(crate) fn new(part: T) -> Self {
        Self {
            part: Arc::new(part),
            is_pooled: false,
        }
    }
}

impl<T: Clone> Shared<T> {
    /// Changes the part of one state only.
    pub(crate) fn edit(&mut self) -> &mut T {
        self.is_pooled = false;
        Arc::make_mut(&mut self.part)
    }
}

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self {
            part: Arc::clone(&self.part),
            is_pooled: self.is_pooled,
        }
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.part
    }
}

impl<T> PartialEq for Shared<T> {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.part, &other.part)
    }
}

impl<T> Eq for Shared<T> {}

impl<T> Hash for Shared<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        Arc::as_ptr(&self.part).hash(state);
    }
}

/// All different parts of one type.
#[derive(Debug)]
pub(crate) struct Pool<T>(RefCell<IndexSet<Arc<T>>>);

impl<T> Default for Pool<T> {
    fn default() -> Self {
        Self(RefCell::new(IndexSet::new()))
    }
}

impl<T: Eq + Hash> Pool<T> {
    /// Replaces a part by the equal one in the pool, or adds it.
    pub(crate) fn share(&self, part: &mut Shared<T>) {
        if part.is_pooled {
            return;
        }
        let mut parts = self.0.borrow_mut();
        let (index, _) = parts.insert_full(Arc::clone(&part.part));
        part.part = Arc::clone(&parts[index]);
        part.is_pooled = true;
    }
}
