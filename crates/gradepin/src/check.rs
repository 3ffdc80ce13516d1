//! `gradepin check`: summarizes a server's configuration files, one line per feature; `off` marks a feature that is
//! not configured.

use crate::LoadedFiles;
use gradepin_core::config::Config;
use gradepin_node::settings::cluster::{self, KeysError};
use gradepin_node::settings::{
    ConsensusSettings, FleetSettings, OperatorSettings, RegistrySettings, ScgiSettings, StoreSettings,
};

/// Prints a summary of validated files. Reads the fleet's authentication keys, so that an invalid key file is
/// reported.
pub(crate) fn print_report(files: &LoadedFiles) -> Result<(), KeysError> {
    let (config, operator) = (&files.config, &files.operator);
    for warning in &operator.warnings {
        println!("warning: {warning}");
    }
    let (classes, tenants) = (config.settings.profiles.len(), config.settings.tenants.len());
    println!("{}: listens on {}, {classes} classes, {tenants} tenants", config.name, config.listen);
    println!(
        "registry: {}",
        operator.registry.as_ref().map_or_else(off, |settings| registry(settings, config))
    );
    println!("scgi: {}", operator.scgi.as_ref().map_or_else(off, scgi));
    println!("store: {}", operator.store.as_ref().map_or_else(off, store));
    print_cluster(operator)
}

fn off() -> String {
    "off".into()
}

fn registry(settings: &RegistrySettings, config: &Config) -> String {
    let id = settings.instance.as_ref().unwrap_or(&config.name);
    format!("{} as {id}, {} service URLs", settings.app, settings.urls.len())
}

fn scgi(settings: &ScgiSettings) -> String {
    let listeners = settings.listen.len() + settings.unix.len();
    format!("{listeners} listeners, {} routes", settings.routes.len())
}

fn store(settings: &StoreSettings) -> String {
    settings.path.display().to_string()
}

fn print_cluster(operator: &OperatorSettings) -> Result<(), KeysError> {
    let Some(cluster) = &operator.cluster else {
        println!("cluster: {}", off());
        return Ok(());
    };
    let cluster = cluster_line(cluster)?;
    if let Some(consensus) = &operator.consensus {
        println!("council: {}", consensus_line(consensus));
    }
    println!("cluster: {cluster}");
    Ok(())
}

fn cluster_line(settings: &FleetSettings) -> Result<String, KeysError> {
    let keys = cluster::keys(&settings.key_file)?;
    let (zone, seeds) = (&settings.zone, settings.seeds.len());
    let lends = if settings.leases.is_some() { "lends" } else { "doesn't lend" };
    Ok(format!("{} in zone '{zone}', {seeds} seeds, {keys:?}, {lends} slots", settings.advertise))
}

fn consensus_line(settings: &ConsensusSettings) -> String {
    let voters: Vec<&str> = settings.voters.iter().map(|name| &**name).collect();
    let limits = &settings.limits;
    let (of_fleet, of_zone) = (limits.fleet, limits.zone);
    format!("voters {}; {of_fleet} of the fleet may be out, {of_zone} of a zone", voters.join(", "))
}
