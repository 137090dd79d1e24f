//! Published parts of services, found by name and type.

use std::{any, collections, fmt, sync};

use crate::{error, service};

type SharedPart = sync::Arc<dyn any::Any + Send + Sync>;

/// Maps names to shared parts of services.
///
/// A part is usually a trait object: `publish("log", store)` with
/// `store: Arc<dyn LogStore>` is found by `find::<dyn LogStore>("log")`.
#[derive(Default)]
pub struct ServiceRegistry {
    parts: sync::RwLock<collections::BTreeMap<service::ServiceName, SharedPart>>,
}

impl fmt::Debug for ServiceRegistry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts = self.lock_for_reading();
        formatter.debug_set().entries(parts.keys()).finish()
    }
}

impl ServiceRegistry {
    /// Publishes a part under a name.
    ///
    /// # Errors
    /// [`error::KernelError::NameTaken`].
    pub fn publish<T>(
        &self,
        name: impl Into<service::ServiceName>,
        part: sync::Arc<T>,
    ) -> Result<(), error::KernelError>
    where
        T: ?Sized + Send + Sync + 'static,
    {
        let name = name.into();
        let mut parts = self
            .parts
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if parts.contains_key(&name) {
            return Err(error::KernelError::NameTaken { name });
        }
        parts.insert(name, sync::Arc::new(part));
        Ok(())
    }

    /// Finds the part published under a name.
    ///
    /// # Errors
    /// [`error::KernelError::NotFound`] or [`error::KernelError::WrongType`].
    pub fn find<T>(
        &self,
        name: impl Into<service::ServiceName>,
    ) -> Result<sync::Arc<T>, error::KernelError>
    where
        T: ?Sized + Send + Sync + 'static,
    {
        let name = name.into();
        let parts = self.lock_for_reading();
        let Some(part) = parts.get(&name) else {
            return Err(error::KernelError::NotFound { name });
        };
        match part.downcast_ref::<sync::Arc<T>>() {
            Some(part) => Ok(sync::Arc::clone(part)),
            None => Err(error::KernelError::WrongType {
                name,
                wanted: any::type_name::<T>().into(),
            }),
        }
    }

    fn lock_for_reading(
        &self,
    ) -> sync::RwLockReadGuard<'_, collections::BTreeMap<service::ServiceName, SharedPart>> {
        self.parts
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
