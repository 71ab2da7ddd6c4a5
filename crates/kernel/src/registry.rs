//! Services found by name.

use indexmap::IndexMap;
use quick_error::quick_error;
use std::any::Any;
use std::sync::{Arc, RwLock};

/// Anything that can be registered.
pub trait Service: Any + Send + Sync {}

impl<T: Any + Send + Sync> Service for T {}

quick_error! {
    /// Why a service was not registered or found.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RegistryError {
        /// The name is taken.
        Duplicate(name: String) { display("service {:?} is already registered", name) }
        /// No service has the name.
        Missing(name: String) { display("service {:?} is not registered", name) }
        /// The service with the name has another type.
        WrongType(name: String) { display("service {:?} has another type", name) }
    }
}

/// Table of services by name.
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
    /// [`RegistryError::Duplicate`] if the name is taken.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the registry.
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

    /// Finds a service by name.
    ///
    /// # Errors
    ///
    /// [`RegistryError::Missing`] if no service has the name, [`RegistryError::WrongType`] if it has
    /// another type.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the registry.
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

    /// Names of all services, in the order of registration.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the registry.
    #[must_use]
    pub fn names(&self) -> Vec<&'static str> {
        let services = self.services.read().expect("registry lock");
        services.keys().copied().collect()
    }
}
