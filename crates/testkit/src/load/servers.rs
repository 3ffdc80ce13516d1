//! Server selection of client proxies.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Source of the servers that a proxy sends to.
pub trait Servers: Send {
    /// Picks a server to send to; an avoided one only if there is no other.
    fn pick(&mut self, avoided: &dyn Fn(SocketAddr) -> bool) -> Option<SocketAddr>;
}

/// Fixed list of servers, used round robin.
pub struct StaticServers {
    /// Addresses of the servers.
    pub all: Vec<SocketAddr>,
    /// Index of the previously picked server, before wrapping around.
    pub turn: usize,
}

impl Servers for StaticServers {
    fn pick(&mut self, avoided: &dyn Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
        self.turn += 1;
        let turns = (0..self.all.len()).map(|n| self.all[(self.turn + n) % self.all.len()]);
        turns.clone().find(|&server| !avoided(server)).or_else(|| turns.clone().next())
    }
}

/// A shared list that its owner updates.
impl Servers for Arc<Mutex<StaticServers>> {
    fn pick(&mut self, avoided: &dyn Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
        self.lock().unwrap_or_else(PoisonError::into_inner).pick(avoided)
    }
}
