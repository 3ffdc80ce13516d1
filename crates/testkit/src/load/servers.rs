//! How a proxy finds servers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// How a proxy finds servers. A name stands for a server in the books.
pub trait Servers: Send {
    /// A server to send to, none of the avoided ones if there is another.
    fn pick(&mut self, avoided: &dyn Fn(SocketAddr) -> bool) -> Option<SocketAddr>;
}

/// A list that never changes, each in its turn.
pub struct Fixed {
    /// The servers.
    pub all: Vec<SocketAddr>,
    /// Whose turn it is.
    pub turn: usize,
}

impl Servers for Fixed {
    fn pick(&mut self, avoided: &dyn Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
        self.turn += 1;
        let turns = (0..self.all.len()).map(|n| self.all[(self.turn + n) % self.all.len()]);
        turns.clone().find(|&server| !avoided(server)).or_else(|| turns.clone().next())
    }
}

/// A list that somebody else keeps up.
impl Servers for Arc<Mutex<Fixed>> {
    fn pick(&mut self, avoided: &dyn Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
        self.lock().unwrap_or_else(PoisonError::into_inner).pick(avoided)
    }
}
