//! A reloaded settings file, as it reaches the reducer. The shell has compared its classes and tenants with those in
//! force, which takes a while for a large file.

use crate::config::Config;
use gradepin_config::change::Change;

/// The changes that a reloaded settings file makes.
#[derive(Debug)]
pub struct Reload {
    /// The configuration in the file, without its classes and tenants.
    pub config: Config,
    /// The file's changes of classes and tenants. Removals come first, so that their slots can be reused.
    pub changes: Vec<Change>,
    /// Number of class names among the changes that need a new slot.
    pub new_classes: usize,
    /// Number of tenant names among the changes that need a new slot.
    pub new_tenants: usize,
    /// Edition of the active names ([`crate::messages::Effect::UpdateNames`]) that the file was compared with.
    pub compared_edition: u64,
}
