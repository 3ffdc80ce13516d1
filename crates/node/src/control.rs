//! The control plane: reports over UDP that get no answer.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};

/// Reports this server's state.
#[derive(Debug)]
pub struct Control {
    socket: UdpSocket,
    from: IpAddr,
    to: SocketAddr,
    name: String,
}

impl Control {
    /// Reports under a name, to an address, from the host that the server listens on.
    pub fn new(name: &str, from: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let from = from.ip();
        Ok(Self { socket: socket(from, to)?, from, to, name: name.to_string() })
    }

    /// Reports to another address from now on.
    pub fn retarget(&mut self, to: SocketAddr) {
        if to.is_ipv4() != self.to.is_ipv4()
            && let Ok(socket) = socket(self.from, to)
        {
            self.socket = socket;
        }
        self.to = to;
    }

    /// Sends one report; it never blocks, and the next one makes up for a lost one.
    pub fn report(&self, ready: bool) -> io::Result<()> {
        let state = if ready { "Ready" } else { "NotReady" };
        self.socket.send_to(format!("lease {} {state}", self.name).as_bytes(), self.to).map(drop)
    }
}

/// A socket for reports to an address. Guards against one of another family than that, from which no report ever leaves: the
/// server would be on nobody's list. Where the system has no such family, reports fail and the server serves.
fn socket(from: IpAddr, to: SocketAddr) -> io::Result<UdpSocket> {
    let any = if to.is_ipv4() { Ipv4Addr::UNSPECIFIED.into() } else { Ipv6Addr::UNSPECIFIED.into() };
    let own = if from.is_ipv4() == to.is_ipv4() { from } else { any };
    let socket = UdpSocket::bind((own, 0))
        .or_else(|_| UdpSocket::bind((any, 0)))
        .or_else(|_| UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

#[cfg(test)]
mod tests;
