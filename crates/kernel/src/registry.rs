//! Registry through which the services of a daemon find each other by name.

use indexmap::IndexMap;
use quick_error::quick_error;
use std::any::Any;
use std::sync::{Arc, RwLock};

/// Type that can be registered as a service. Every type that threads can share implements it.
pub trait Service: Any + Send + Sync {}

impl<T: Any + Send + Sync> Service for T {}

quick_error! {
    /// Why a service was not registered or found.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RegistryError {
        /// Another service is registered under the name.
        Duplicate(name: String) { display("service {:?} is already registered", name) }
        /// No service is registered under the name.
        Missing(name: String) { display("service {:?} is not registered", name) }
        /// The service registered under the name has another type than the requested one.
        WrongType(name: String) { display("service {:?} has another type", name) }
    }
}

/// Table of the services of a daemon, by name.
#[derive(Default)]
pub struct Registry {
    services: RwLock<IndexMap<&'static str, Arc<dyn Any + Send + Sync>>>,
}

impl Registry {
    /// Creates an empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service under a name.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::Duplicate`] if another service is registered under the name.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the registry's lock.
    pub fn register<T: Service>(
        &self,
        name: &'static str,
        service: Arc<T>,
    ) -> Result<(), RegistryError> {
        let mut services = self.services.write().expect("registry lock");
        if services.contains_key(name) {
            return Err(RegistryError::Duplicate(name.to_owned()));
        }
        services.insert(name, service);
        Ok(())
    }

    /// Returns the service registered under a name.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::Missing`] if no service is registered under the name, and
    /// [`RegistryError::WrongType`] if it has another type.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the registry's lock.
    pub fn find<T: Service>(&self, name: &'static str) -> Result<Arc<T>, RegistryError> {
        let services = self.services.read().expect("registry lock");
        let service = services
            .get(name)
            .cloned()
            .ok_or_else(|| RegistryError::Missing(name.to_owned()))?;
        service
            .downcast()
            .map_err(|_| RegistryError::WrongType(name.to_owned()))
    }

    /// Returns the names of all services, in the order of their registration.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the registry's lock.
    #[must_use]
    pub fn names(&self) -> Vec<&'static str> {
        let services = self.services.read().expect("registry lock");
        services.keys().copied().collect()
    }
}
