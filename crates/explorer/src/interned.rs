//! Interning of the components that many model states have in common.

use indexmap::IndexSet;
use std::cell::RefCell;
use std::hash::{Hash, Hasher};
use std::ops::Deref;
use std::sync::Arc;

/// A component of a model state. [`Interner::intern`] makes equal components share one allocation,
/// so they are compared and hashed by address and take little memory.
#[derive(Debug)]
pub(crate) struct Interned<T> {
    value: Arc<T>,
    is_interned: bool,
}

impl<T> Interned<T> {
    /// Wraps a component that is not interned yet.
    #[must_use]
    pub(crate) fn new(value: T) -> Self {
        Self {
            value: Arc::new(value),
            is_interned: false,
        }
    }
}

impl<T: Clone> Interned<T> {
    /// Returns a mutable reference to this state's component. Other states that share it are not
    /// affected. The component has to be interned again before states are compared.
    pub(crate) fn make_mut(&mut self) -> &mut T {
        self.is_interned = false;
        Arc::make_mut(&mut self.value)
    }
}

impl<T> Clone for Interned<T> {
    fn clone(&self) -> Self {
        Self {
            value: Arc::clone(&self.value),
            is_interned: self.is_interned,
        }
    }
}

impl<T> Deref for Interned<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T> PartialEq for Interned<T> {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.value, &other.value)
    }
}

impl<T> Eq for Interned<T> {}

impl<T> Hash for Interned<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        Arc::as_ptr(&self.value).hash(state);
    }
}

/// The distinct components of one type.
#[derive(Debug)]
pub(crate) struct Interner<T>(RefCell<IndexSet<Arc<T>>>);

impl<T> Default for Interner<T> {
    fn default() -> Self {
        Self(RefCell::new(IndexSet::new()))
    }
}

impl<T: Eq + Hash> Interner<T> {
    /// Replaces the component by the equal one that is interned already, or adds it.
    pub(crate) fn intern(&self, component: &mut Interned<T>) {
        if component.is_interned {
            return;
        }
        let mut values = self.0.borrow_mut();
        let (index, _) = values.insert_full(Arc::clone(&component.value));
        component.value = Arc::clone(&values[index]);
        component.is_interned = true;
    }
}
