//! The module's settings in force, as the reducer last said: fronts read classes and tenants from them, and a reload
//! replaces them. Classes keep their places across reloads ([`gradepin_core::classes`]), so a place read from an
//! older copy still means the same.

use gradepin_decisions::Settings;
use std::sync::{Arc, PoisonError, RwLock};

/// A shared handle; each reader takes the copy in force.
#[derive(Debug, Clone)]
pub struct Live(Arc<RwLock<Arc<Settings>>>);

impl Live {
    /// With the settings of the start.
    pub fn new(settings: Arc<Settings>) -> Self {
        Self(Arc::new(RwLock::new(settings)))
    }

    /// Those in force now.
    pub fn current(&self) -> Arc<Settings> {
        Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// These are in force from now on.
    pub fn publish(&self, settings: Arc<Settings>) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = settings;
    }
}
