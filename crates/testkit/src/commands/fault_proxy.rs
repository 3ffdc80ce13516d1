//! `gradepin-testkit fault-proxy`: a proxy before a processor that breaks the link.

use crate::fault_proxy::{FaultProxy, LinkFault};
use crate::interrupt;
use clap::Args;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

/// Arguments of `fault-proxy`.
#[derive(Debug, Args)]
pub struct FaultProxyArgs {
    /// Address of the processor
    #[arg(long)]
    pub to: SocketAddr,
    /// What happens to the link again and again
    #[arg(long, value_enum, default_value_t = LinkFault::Reset)]
    pub fault: LinkFault,
    /// Random seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Prints the address of the proxy and forwards links until Ctrl-C.
pub fn run(args: FaultProxyArgs) -> Result<bool, Box<dyn Error>> {
    let proxy = FaultProxy::start(args.to, args.fault, args.seed)?;
    println!("{}", proxy.address());
    let interrupted = interrupt::flag()?;
    while !interrupted.load(std::sync::atomic::Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(100));
    }
    Ok(true)
}
