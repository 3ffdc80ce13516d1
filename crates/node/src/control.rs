//! Reports readiness to the control plane, with one unacknowledged UDP datagram per report.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};

/// Sends readiness reports of this server.
#[derive(Debug)]
pub struct Control {
    socket: UdpSocket,
    own_ip: IpAddr,
    to: SocketAddr,
    server_name: String,
}

impl Control {
    /// Binds a socket for reports of the server `name`, which listens on `listen`, to the control plane at `to`.
    pub fn new(name: &str, listen: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let own_ip = listen.ip();
        Ok(Self { socket: bind(own_ip, to)?, own_ip, to, server_name: name.to_string() })
    }

    /// Changes the address that later reports are sent to.
    pub fn retarget(&mut self, to: SocketAddr) {
        if to.is_ipv4() != self.to.is_ipv4()
            && let Ok(socket) = bind(self.own_ip, to)
        {
            self.socket = socket;
        }
        self.to = to;
    }

    /// Reports whether this server is ready for requests; never blocks. If a report is lost, the next one replaces it.
    pub fn report(&self, ready: bool) -> io::Result<()> {
        let state = if ready { "Ready" } else { "NotReady" };
        self.socket.send_to(format!("lease {} {state}", self.server_name).as_bytes(), self.to).map(drop)
    }
}

/// Binds a socket of the address family of `to`: with another family no report could be sent, and the server would be
/// missing from every endpoint list. If the system lacks that family, reports fail, but the server still serves.
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
