//! `gradepin-testkit load`: open-loop load on running servers.

use crate::load::{ProxyBehavior, Repeats, Retry};
use crate::measure::{self, Load};
use clap::Args;
use std::error::Error;
use std::net::SocketAddr;

/// Arguments of `load`.
#[derive(Debug, Args)]
pub struct LoadArgs {
    /// Thrift addresses of the servers
    #[arg(long, required = true, value_delimiter = ',')]
    pub thrift: Vec<SocketAddr>,
    /// SCGI addresses of the same servers, in the same order
    #[arg(long, value_delimiter = ',')]
    pub scgi: Vec<SocketAddr>,
    /// Fraction of the requests sent over SCGI
    #[arg(long, default_value_t = 0.0, value_parser = share)]
    pub scgi_share: f64,
    /// Requests per second of all proxies, without retries
    #[arg(long, default_value_t = 100.0)]
    pub rate: f64,
    /// Number of client proxies
    #[arg(long, default_value_t = 3)]
    pub proxies: usize,
    /// Length in seconds
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Seed of the requests and their arrivals
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Retry policy for rejected requests
    #[arg(long, value_enum, default_value_t = RetryPolicy::Listed)]
    pub retry: RetryPolicy,
    /// Maximum attempts per request with the policy 'listed'
    #[arg(long, default_value_t = 3)]
    pub tries: usize,
    /// Ignore Retry-After when choosing a server
    #[arg(long)]
    pub deaf: bool,
    /// Fraction of the keyed requests that is sent a second time over the other protocol
    #[arg(long, default_value_t = 0.0, value_parser = share)]
    pub repeats: f64,
    /// Factor on the latency objectives and deadlines of the classes; 4 gives the full times
    #[arg(long, default_value_t = 4)]
    pub scale: u32,
}

/// Retry policy of a client proxy.
#[derive(Debug, Clone, Copy, clap::ValueEnum)]
pub enum RetryPolicy {
    /// Retry at each other server of the list, up to the maximum of attempts
    Listed,
    /// Retry immediately, cycling through the list
    Unlimited,
    /// Retry after the Retry-After time
    Patient,
}

fn share(text: &str) -> Result<f64, String> {
    let share = text.parse::<f64>().ok().filter(|share| (0.0..=1.0).contains(share));
    share.ok_or_else(|| format!("expected a number from 0 to 1, got '{text}'"))
}

/// Runs the load; returns whether every attempt was answered.
pub fn run(args: LoadArgs) -> Result<bool, Box<dyn Error>> {
    let retry = match args.retry {
        RetryPolicy::Listed => Retry::Listed(args.tries),
        RetryPolicy::Unlimited => Retry::Unlimited,
        RetryPolicy::Patient => Retry::Patient,
    };
    let repeats =
        Repeats { share: args.repeats, within_ms: 250 * u64::from(args.scale), separate_keys: false };
    let honors_retry_after = !args.deaf && retry != Retry::Unlimited;
    let behavior =
        ProxyBehavior { rate: args.rate, retry, honors_retry_after, scgi_share: args.scgi_share, repeats };
    let LoadArgs { thrift, scgi, proxies, seconds, seed, scale, .. } = args;
    Ok(measure::run(&Load { thrift, scgi, proxies, seconds, seed, behavior, scale })?)
}
