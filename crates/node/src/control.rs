//! The control plane: reports over UDP that get no answer.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

/// Reports this server's state.
#[derive(Debug)]
pub struct Control {
    socket: UdpSocket,
    to: SocketAddr,
    name: String,
}

impl Control {
    /// Reports under a name, to an address, from the host that the server listens on.
    pub fn new(name: &str, from: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let any = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let socket = UdpSocket::bind((from.ip(), 0)).or_else(|_| UdpSocket::bind(any))?;
        socket.set_nonblocking(true)?;
        Ok(Self { socket, to, name: name.to_string() })
    }

    /// Reports to another address from now on.
    pub fn retarget(&mut self, to: SocketAddr) {
        self.to = to;
    }

    /// Sends one report; it never blocks, and the next one makes up for a lost one.
    pub fn report(&self, ready: bool) -> io::Result<()> {
        let state = if ready { "Ready" } else { "NotReady" };
        self.socket.send_to(format!("lease {} {state}", self.name).as_bytes(), self.to).map(drop)
    }
}
