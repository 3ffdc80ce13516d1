//! `gradepin-testkit load`: open-loop load on servers that run already.

use crate::load::{ProxyBehavior, Repeats, Retry};
use crate::measure::{self, Load};
use clap::Args;
use std::error::Error;
use std::net::SocketAddr;

/// Settings of `load`.
#[derive(Debug, Args)]
pub struct LoadArgs {
    /// Where servers take Thrift; several are possible
    #[arg(long, required = true, value_delimiter = ',')]
    pub thrift: Vec<SocketAddr>,
    /// Where the same servers take SCGI, in the same order
    #[arg(long, value_delimiter = ',')]
    pub scgi: Vec<SocketAddr>,
    /// The part of the requests that goes over SCGI
    #[arg(long, default_value_t = 0.0, value_parser = share)]
    pub scgi_share: f64,
    /// First tries a second, of all proxies
    #[arg(long, default_value_t = 100.0)]
    pub rate: f64,
    /// Client proxies
    #[arg(long, default_value_t = 3)]
    pub proxies: usize,
    /// Seconds
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Seed of the requests and their arrivals
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// What becomes of a refused request
    #[arg(long, value_enum, default_value_t = RetryPolicy::Listed)]
    pub retry: RetryPolicy,
    /// Tries of one request with the habit 'listed'
    #[arg(long, default_value_t = 3)]
    pub tries: usize,
    /// Go on asking a server that told to stay away
    #[arg(long)]
    pub deaf: bool,
    /// The part of the keyed requests that is sent a second time, over the other front
    #[arg(long, default_value_t = 0.0, value_parser = share)]
    pub repeats: f64,
    /// Times the classes' aims and deadlines are those of the brief, in quarters
    #[arg(long, default_value_t = 4)]
    pub scale: u32,
}

/// What a client proxy does about a refusal.
#[derive(Debug, Clone, Copy, clap::ValueEnum)]
pub enum RetryPolicy {
    /// Tries each other server of its list, up to a number of tries
    Listed,
    /// Tries at once, down the list and round again
    Unlimited,
    /// Waits as long as the refusal says
    Patient,
}

fn share(text: &str) -> Result<f64, String> {
    let share = text.parse::<f64>().ok().filter(|share| (0.0..=1.0).contains(share));
    share.ok_or_else(|| format!("expected a number from 0 to 1, got '{text}'"))
}

/// Plays the load, and says whether every try was answered.
pub fn run(args: LoadArgs) -> Result<bool, Box<dyn Error>> {
    let retry = match args.retry {
        RetryPolicy::Listed => Retry::Listed(args.tries),
        RetryPolicy::Unlimited => Retry::Unlimited,
        RetryPolicy::Patient => Retry::Patient,
    };
    let repeats =
        Repeats { share: args.repeats, within_ms: 250 * u64::from(args.scale), separate_keys: false };
    let honors_retry_after = !args.deaf && retry != Retry::Unlimited;
    let habit =
        ProxyBehavior { rate: args.rate, retry, honors_retry_after, scgi_share: args.scgi_share, repeats };
    let LoadArgs { thrift, scgi, proxies, seconds, seed, scale, .. } = args;
    Ok(measure::run(&Load { thrift, scgi, proxies, seconds, seed, habit, scale })?)
}
