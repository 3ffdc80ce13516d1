//! Clients of the drill: open-loop load from several of them, whose list of servers follows the control plane's, some time late.

use super::{CORES, Drill, WORK};
use crate::fleet::Fleet;
use crate::load::{Proxy, ProxyBehavior, Records, StaticServers};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Clients, their tries of a request, and how much later than the control plane they learn who is ready.
const CLIENTS: usize = 6;
const TRIES: usize = 4;
const LATE: Duration = Duration::from_millis(300);

/// Clients whose list is kept up by calls of [`Clients::update`].
pub struct Clients {
    list: Arc<Mutex<StaticServers>>,
    proxies: Vec<Proxy>,
}

impl Clients {
    /// Starts all of them.
    pub fn start(drill: &Drill, fleet: &Fleet) -> io::Result<Self> {
        let all = fleet.nodes.iter().map(|node| node.address).collect();
        let list = Arc::new(Mutex::new(StaticServers { all, turn: 0 }));
        let rate = drill.load * f64::from(CORES) * drill.servers as f64 / WORK.as_secs_f64();
        let start = |n: usize| {
            let habit = ProxyBehavior::thrift(rate / CLIENTS as f64, TRIES, true);
            let servers = Box::new(Arc::clone(&list));
            Proxy::start_with(n as u64 + 1, drill.seed * 100 + n as u64, habit, servers, &HashMap::new(), 4)
        };
        let proxies = (0..CLIENTS).map(start).collect::<io::Result<Vec<Proxy>>>()?;
        Ok(Self { list, proxies })
    }

    /// Takes the list of who is ready.
    pub fn update(&self, fleet: &Fleet) {
        let ready = fleet.control.roster().ready(Instant::now(), LATE);
        let all: Vec<SocketAddr> =
            fleet.nodes.iter().filter(|node| ready.contains(&node.name)).map(|node| node.address).collect();
        if !all.is_empty() {
            self.list.lock().unwrap_or_else(PoisonError::into_inner).all = all;
        }
    }

    /// Stops them, and gives what each counted.
    pub fn stop(self) -> Vec<Records> {
        let stops: Vec<_> =
            self.proxies.into_iter().map(|proxy| thread::spawn(move || proxy.stop())).collect();
        stops.into_iter().filter_map(|stop| stop.join().ok()).collect()
    }
}
