//! A settings file that was read again, as it reaches the reducer. Whoever read it has compared its classes and tenants with
//! those in force, which takes a while for a large file.

use crate::config::Config;
use gradepin_config::change::Change;

/// What a settings file would change.
#[derive(Debug)]
pub struct Reload {
    /// The file, without its classes and tenants.
    pub config: Config,
    /// Its changes of classes and tenants: removals first, so that their slots can be used again.
    pub changes: Vec<Change>,
    /// How many class names among the changes have no slot.
    pub new_classes: usize,
    /// How many tenant names among the changes have no slot.
    pub new_tenants: usize,
    /// Edition of the names ([`crate::messages::Effect::UpdateNames`]) that it was compared with.
    pub compared_edition: u64,
}
