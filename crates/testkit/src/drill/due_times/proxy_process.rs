//! The fault proxy as a process of its own.

use crate::fault_proxy::LinkFault;
use clap::ValueEnum;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// A running proxy; the process is killed when this is dropped.
pub(super) struct ProxyProcess {
    child: Child,
    /// Address for the server's links.
    pub(super) address: SocketAddr,
}

impl ProxyProcess {
    /// Starts the kit's program as a proxy to `to`, which prints its address on its first line.
    pub(super) fn start(kit: &Path, to: SocketAddr, fault: LinkFault, seed: u64) -> io::Result<Self> {
        let fault = fault.to_possible_value().map(|value| value.get_name().to_string()).unwrap_or_default();
        let mut command = Command::new(kit);
        command.args([
            "fault-proxy",
            "--fault",
            &fault,
            "--seed",
            &seed.to_string(),
            "--to",
            &to.to_string(),
        ]);
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
        let mut line = String::new();
        if let Some(output) = child.stdout.take() {
            BufReader::new(output).read_line(&mut line)?;
        }
        let address = line.trim().parse().map_err(io::Error::other)?;
        Ok(Self { child, address })
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
