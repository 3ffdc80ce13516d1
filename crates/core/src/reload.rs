//! A configuration file that was read again, as it reaches the reducer: its classes and tenants compared with those in
//! force already, which takes a while for a large file and so is done by whoever read it.

use crate::config::Config;
use gradepin_config::change::Change;

/// What a file would change.
#[derive(Debug)]
pub struct Reload {
    /// The file, without its classes and tenants.
    pub config: Config,
    /// What it changes of classes and tenants: removals first, so that their slots can be used again.
    pub changes: Vec<Change>,
    /// Names among the changes that no slot had, of classes and of tenants.
    pub new_classes: usize,
    /// See `new_classes`.
    pub new_tenants: usize,
    /// The number of changes of names ([`crate::messages::Effect::UpdateNames`]) after which it was compared.
    pub compared_at: u64,
}
