//! Operator settings: a KDL file that enables features beyond the platform's configuration. Without a file all of them
//! are off.
//!
//! A file is checked completely: every unknown node, value out of range and contradiction is reported with its line and
//! column ([`Problem`]), and a file with any problem is rejected. Each block has a module, which maps the keys of the
//! file; `kdl_reader` reads their values. `active` has the classes and tenants in force, which change at run time, and
//! [`transaction`] reads changes of the configuration.

mod active;
pub mod cluster;
mod configuration;
mod consensus;
mod kdl_reader;
pub mod kdl_text;
mod problem;
mod registry;
mod scgi;
mod store;
pub mod transaction;

pub use active::ActiveSettings;
pub use cluster::FleetSettings;
pub use configuration::ConfigurationSettings;
pub use consensus::ConsensusSettings;
pub use problem::{Problem, ProblemKind};
pub use registry::{RegistrySettings, ServiceUrl, ServiceUrlError};
pub use scgi::{HeaderNames, Route, ScgiSettings};
pub use store::StoreSettings;

use gradepin_admission::Span;
use kdl_reader::Block;
use problem::Problems;
use std::path::{Path, PathBuf};

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {error}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the system.
        error: std::io::Error,
    },
    /// The content of the file is invalid.
    #[error("{}", .problems.iter().map(|p| format!("{}: {p}", path.display())).collect::<Vec<_>>().join("\n"))]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// All problems, at least one.
        problems: Vec<Problem>,
    },
}

/// The operator settings of one server.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct OperatorSettings {
    /// Pause between the publication of a planned leave and the start of the drain.
    pub leave_hold: Span,
    /// The service registry, if there is one.
    pub registry: Option<RegistrySettings>,
    /// The SCGI front end, if there is one.
    pub scgi: Option<ScgiSettings>,
    /// The store of keyed runs, if there is one.
    pub store: Option<StoreSettings>,
    /// Membership in a fleet whose servers exchange datagrams, if this server is a member.
    pub cluster: Option<FleetSettings>,
    /// The consensus group of that fleet, if there is one.
    pub consensus: Option<ConsensusSettings>,
    /// The configuration service, if classes, tenants and rules come from committed revisions.
    pub configuration: Option<ConfigurationSettings>,
    /// Names of an earlier version that the file still uses, for the log and for `check`.
    pub warnings: Vec<Problem>,
}

impl OperatorSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// If the file can't be read or is invalid; all problems are returned.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Read { path: path.into(), error })?;
        Self::parse(&text).map_err(|problems| SettingsError::Invalid { path: path.into(), problems })
    }

    /// Reads and checks the text of a file.
    ///
    /// # Errors
    /// All problems, in the order of the text.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let problems = Problems::new(text);
        let mut settings = Self::default();
        if let Some(root) = Block::document(text, &problems) {
            settings.read(root);
        }
        settings.warnings = problems.warnings();
        let problems = problems.into_sorted();
        if problems.is_empty() { Ok(settings) } else { Err(problems) }
    }

    fn read(&mut self, mut root: Block<'_>) {
        if let Some(mut leave) = root.block("leave") {
            self.leave_hold = leave.milliseconds("hold-ms", 0..=3_600_000).unwrap_or_default();
            leave.end();
        }
        self.registry = root.block("registry").map(registry::read);
        self.scgi = root.block("scgi").map(scgi::read);
        self.store = root.block("store").and_then(store::read);
        self.cluster = root.block("cluster").and_then(cluster::read);
        self.consensus = root.block("council").map(consensus::read);
        if self.consensus.is_some() && !root.has("cluster") {
            root.problem("expected a cluster beside the council: voters communicate through the cluster");
        }
        self.configuration = root.block("config").map(configuration::read);
        self.check_configuration(&root);
        root.end();
    }

    /// Checks the `config` block against the blocks beside it.
    fn check_configuration(&self, root: &Block<'_>) {
        let Some(configuration) = &self.configuration else { return };
        if !root.has("cluster") || !root.has("council") {
            root.problem(
                "expected a cluster and a council beside the config: they disseminate and commit changes",
            );
        }
        let voter_folder = self.consensus.as_ref().and_then(|consensus| consensus.folder.as_ref());
        let store_folder = self.store.as_ref().map(|store| &store.path);
        let folder = configuration.folder.as_ref();
        if folder.is_some() && (folder == voter_folder || folder == store_folder) {
            root.problem("expected config's folder to be its own");
        }
        let zone = self.cluster.as_ref().map(|cluster| &cluster.zone).filter(|zone| !zone.is_empty());
        if let Some(zone) = zone
            && !configuration.regions.is_empty()
            && !configuration.regions.contains_key(zone)
        {
            root.problem(format!("no region has the zone '{zone}' that this server is in"));
        }
    }
}

#[cfg(test)]
mod tests;
