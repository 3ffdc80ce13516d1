//! Reports to the control plane: one UDP datagram for each, without an answer.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};

/// Reports this server's state.
#[derive(Debug)]
pub struct Control {
    socket: UdpSocket,
    own_ip: IpAddr,
    to: SocketAddr,
    server_name: String,
}

impl Control {
    /// Reports of the server `name`, which listens on `listen`, to the control plane at `to`.
    pub fn new(name: &str, listen: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let own_ip = listen.ip();
        Ok(Self { socket: bind(own_ip, to)?, own_ip, to, server_name: name.to_string() })
    }

    /// Sends reports to another address from now on.
    pub fn retarget(&mut self, to: SocketAddr) {
        if to.is_ipv4() != self.to.is_ipv4()
            && let Ok(socket) = bind(self.own_ip, to)
        {
            self.socket = socket;
        }
        self.to = to;
    }

    /// Reports whether this server takes work; never blocks. A lost report is made up for by the next one.
    pub fn report(&self, ready: bool) -> io::Result<()> {
        let state = if ready { "Ready" } else { "NotReady" };
        self.socket.send_to(format!("lease {} {state}", self.server_name).as_bytes(), self.to).map(drop)
    }
}

/// Binds a socket for datagrams to `to`, of the same address family: from one of another family no report ever leaves, and
/// the server would be on no endpoint list. Where the system lacks the family, reports fail and the server serves.
fn bind(own_ip: IpAddr, to: SocketAddr) -> io::Result<UdpSocket> {
    let unspecified = if to.is_ipv4() { Ipv4Addr::UNSPECIFIED.into() } else { Ipv6Addr::UNSPECIFIED.into() };
    let preferred = if own_ip.is_ipv4() == to.is_ipv4() { own_ip } else { unspecified };
    let socket = UdpSocket::bind((preferred, 0))
        .or_else(|_| UdpSocket::bind((unspecified, 0)))
        .or_else(|_| UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

#[cfg(test)]
mod tests;
