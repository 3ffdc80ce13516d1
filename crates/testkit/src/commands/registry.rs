//! `gradepin-testkit registry`: a stand-in registry with Eureka's API.

use super::shared::each_second;
use crate::registry::faults::Script;
use crate::registry::server::{Server, ServerSettings};
use crate::registry::state::RegistrySettings;
use clap::Args;
use std::error::Error;
use std::net::SocketAddr;

/// Arguments of `registry`.
#[derive(Debug, Args)]
pub struct RegistryArgs {
    /// Address to listen at
    #[arg(long, default_value = "127.0.0.1:8761")]
    pub listen: SocketAddr,
    /// Required login, as USER:PASSWORD
    #[arg(long)]
    pub login: Option<String>,
    /// Maximum age of cached answers with all applications, in ms
    #[arg(long, default_value_t = 30_000)]
    pub cache_ms: u64,
    /// Interval between evictions of expired leases, in ms
    #[arg(long, default_value_t = 60_000)]
    pub evict_every_ms: u64,
    /// Evict expired leases even if many heartbeats are missing
    #[arg(long)]
    pub no_self_preservation: bool,
    /// Faults by time, such as '500 hang; 2500 none'
    #[arg(long, default_value = "")]
    pub faults: Script,
}

/// Runs the stand-in until a signal, with one line per second.
pub fn run(args: RegistryArgs) -> Result<bool, Box<dyn Error>> {
    let RegistryArgs { listen, login, cache_ms, evict_every_ms, no_self_preservation, faults } = args;
    let preserves = !no_self_preservation;
    let rules = RegistrySettings { cache_ms, evict_every_ms, preserves, ..RegistrySettings::default() };
    let login = login.map(|login| {
        let (user, password) = login.split_once(':').ok_or("expected USER:PASSWORD")?;
        Ok::<_, &str>((user.to_string(), password.to_string()))
    });
    let set =
        ServerSettings { rules, login: login.transpose()?, script: faults, ..ServerSettings::default() };
    let server = Server::start(listen, set)?;
    println!("a registry at {}", server.url());
    each_second(|second| {
        println!("{second:>4} s  {}", server.summary());
        true
    })?;
    Ok(true)
}
